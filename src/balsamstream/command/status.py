"""Shows the state of the system."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..config import DataCentreState, Kind
from .daemons import fetch_pages
from .fleet import Host, list_hosts, read_balancer_data_centre
from .layout import build_layout
from .outcome import Output, Table, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..objectapi import PlatformClient, StoredObject
    from .outcome import Outcome


async def show_status(client: PlatformClient, daemons: Sequence[str]) -> Outcome:
    """Show services, hosts, data centres, balancers and the status of given daemons."""
    listed = await client.list_all()
    if not isinstance(listed, Success):
        return Failure(build_platform_fault(listed.failure(), "objects"))
    objects = listed.unwrap().objects
    hosts = list_hosts(objects)
    pages = await fetch_pages(daemons, "/status")
    tables = [
        _build_service_table(objects, hosts),
        _build_host_table(hosts),
        _build_data_centre_table(objects, hosts),
        _build_balancer_table(objects),
    ]
    if pages:
        tables.append(_build_daemon_table(pages))
    value = {table.title: _build_records(table) for table in tables}
    if pages:
        value["daemons"] = [
            _build_daemon_entry(name, page) for name, page in pages.items()
        ]
    value["version"] = listed.unwrap().version
    return Success(Output(value, tuple(tables)))


def _build_service_table(
    objects: Sequence[StoredObject], hosts: Sequence[Host]
) -> Table:
    views = {item.name: item for item in objects if item.kind is Kind.VIEW}
    rows: list[tuple[str, ...]] = []
    for item in objects:
        if item.kind is not Kind.SERVICE:
            continue
        members = [host for host in hosts if host.service == item.name]
        states = Counter(host.state for host in members)
        view = views.get(item.name)
        rows.append(
            (
                item.name,
                str(item.spec.get("address", "")),
                str(item.spec.get("profile", "")),
                str(view.spec.get("number", "")) if view else "",
                str(states["active"]),
                str(states["draining"] + states["leaving"]),
                str(states["down"]),
                str(sum(host.slots for host in members if host.state == "active")),
            )
        )
    columns = ("name", "address", "profile", "view", "active", "draining", "down")
    return Table((*columns, "active slots"), tuple(rows), "services")


def _build_host_table(hosts: Sequence[Host]) -> Table:
    rows = tuple(
        (
            host.name,
            host.service,
            host.data_centre,
            host.state,
            str(host.slots),
            host.address,
            str(host.incarnation),
        )
        for host in hosts
    )
    columns = ("name", "service", "data centre", "state", "slots", "address")
    return Table((*columns, "incarnation"), rows, "hosts")


def _build_data_centre_table(
    objects: Sequence[StoredObject], hosts: Sequence[Host]
) -> Table:
    host_counts = Counter(host.data_centre for host in hosts)
    balancer_counts = Counter(
        read_balancer_data_centre(item)
        for item in objects
        if item.kind is Kind.BALANCER
    )
    declared = {item.name: item for item in objects if item.kind is Kind.DATA_CENTRE}
    names = sorted({*declared, *host_counts, *balancer_counts} - {""})
    rows: list[tuple[str, ...]] = []
    for name in names:
        item = declared.get(name)
        state = item.spec.get("state", "") if item else DataCentreState.IN.value
        author = item.changed_by if item else ""
        counts = str(host_counts[name]), str(balancer_counts[name])
        rows.append((name, str(state), *counts, author))
    columns = ("name", "state", "hosts", "balancers", "changed by")
    return Table(columns, tuple(rows), "data centres")


def _build_balancer_table(objects: Sequence[StoredObject]) -> Table:
    rows = tuple(
        (
            item.name,
            str(item.spec.get("data_centre", "")),
            str(item.spec.get("address", "")),
            str(item.spec.get("incarnation", "")),
        )
        for item in objects
        if item.kind is Kind.BALANCER
    )
    columns = ("name", "data centre", "address", "incarnation")
    return Table(columns, rows, "balancers")


def _build_daemon_table(pages: dict[str, Result[dict[str, Any], str]]) -> Table:
    rows: list[tuple[str, ...]] = []
    for address, page in pages.items():
        match page:
            case Success(values):
                rows.extend((address, *row) for row in build_layout(values).rows)
            case Failure(text):
                rows.append((address, "error", text))
    return Table(("daemon", "field", "value"), tuple(rows), "daemons")


def _build_daemon_entry(
    address: str, page: Result[dict[str, Any], str]
) -> dict[str, Any]:
    match page:
        case Success(values):
            return {"address": address, "status": values}
        case Failure(text):
            return {"address": address, "error": text}
    raise AssertionError("unreachable")


def _build_records(table: Table) -> Any:  # noqa: ANN401 - a JSON value
    names = [column.replace(" ", "_") for column in table.columns]
    return [dict(zip(names, row)) for row in table.rows]


__all__ = ["show_status"]
