"""Shows objects stored on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from ..config import API_VERSION, Kind
from .fleet import list_hosts, read_balancer_data_centre
from .layout import build_layout
from .outcome import Output, Table, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..objectapi import PlatformClient, StoredObject
    from .outcome import Outcome


async def get_objects(client: PlatformClient, kind: Kind, name: str | None) -> Outcome:
    """Show all objects of a kind, or one of them, in a table."""
    if name is None:
        match await client.list(kind):
            case Success(listing):
                return Success(_build_objects_output(kind, listing.objects))
            case Failure(error):
                return Failure(build_platform_fault(error, kind.plural))
    match await client.get(kind, name or ""):
        case Success(stored):
            output = _build_objects_output(kind, [stored])
            return Success(Output(build_document(stored), output.tables))
        case Failure(error):
            subject = f"{kind.value.lower()} {name}"
            return Failure(build_platform_fault(error, subject))
    raise AssertionError("unreachable")


async def describe_object(client: PlatformClient, kind: Kind, name: str) -> Outcome:
    """Show every field of an object and the names of its related objects."""
    match await client.get(kind, name):
        case Failure(error):
            subject = f"{kind.value.lower()} {name}"
            return Failure(build_platform_fault(error, subject))
        case Success(stored):
            match await client.list_all():
                case Failure(error):
                    return Failure(build_platform_fault(error, "objects"))
                case Success(listing):
                    return Success(_build_description(stored, listing.objects))
    raise AssertionError("unreachable")


def build_document(stored: StoredObject) -> dict[str, Any]:
    """Build the document of an object in the form that ``apply`` accepts."""
    return {
        "apiVersion": API_VERSION,
        "kind": stored.kind.value,
        "metadata": {
            "name": stored.name,
            "resourceVersion": str(stored.version),
            "annotations": {"balsamstream/changed-by": stored.changed_by},
        },
        "spec": stored.spec,
    }


def _build_objects_output(kind: Kind, objects: Sequence[StoredObject]) -> Output:
    columns = ("name", *_COLUMNS[kind], "version", "changed by")
    rows = tuple(
        (
            stored.name,
            *_build_cells(stored),
            str(stored.version),
            stored.changed_by,
        )
        for stored in objects
    )
    value = [build_document(stored) for stored in objects]
    return Output(value, (Table(columns, rows),))


_COLUMNS = {
    Kind.PROFILE: ("requests", "deadline_ms", "choices"),
    Kind.SERVICE: ("address", "profile", "protocol"),
    Kind.DATA_CENTRE: ("state",),
    Kind.VIEW: ("number", "hosts"),
    Kind.BALANCER: ("address", "data_centre"),
}


def _build_cells(stored: StoredObject) -> tuple[str, ...]:
    if stored.kind is Kind.VIEW:
        return str(stored.spec.get("number", "")), str(len(list_hosts([stored])))
    return tuple(str(stored.spec.get(column, "")) for column in _COLUMNS[stored.kind])


def _build_description(stored: StoredObject, objects: Sequence[StoredObject]) -> Output:
    details = build_layout(stored.spec)
    rows = [
        ("kind", stored.kind.value),
        ("name", stored.name),
        ("version", str(stored.version)),
        ("changed by", stored.changed_by),
        *details.rows,
    ]
    related = _find_related(stored, objects)
    value = build_document(stored)
    value["related"] = {title: list(names) for title, names in related.items()}
    tables = [Table(("field", "value"), tuple(rows)), *details.tables]
    for title, names in related.items():
        tables.append(Table((title,), tuple((name,) for name in names)))
    return Output(value, tuple(tables))


def _find_related(
    stored: StoredObject, objects: Sequence[StoredObject]
) -> dict[str, list[str]]:
    services = [item for item in objects if item.kind is Kind.SERVICE]
    hosts = list_hosts(objects)
    match stored.kind:
        case Kind.PROFILE:
            users = [s.name for s in services if s.spec.get("profile") == stored.name]
            return {"services": users}
        case Kind.SERVICE:
            members = [
                f"{host.name} ({host.state}, {host.data_centre}, {host.slots} slots)"
                for host in hosts
                if host.service == stored.name
            ]
            return {"hosts": members}
        case Kind.DATA_CENTRE:
            inside = [h.name for h in hosts if h.data_centre == stored.name]
            balancers = [
                item.name
                for item in objects
                if item.kind is Kind.BALANCER
                and read_balancer_data_centre(item) == stored.name
            ]
            return {"hosts": inside, "balancers": balancers}
        case _:
            return {}


__all__ = ["build_document", "describe_object", "get_objects"]
