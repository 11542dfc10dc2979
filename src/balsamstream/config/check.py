"""Checks declared objects against each other and against the stored ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .objects import ConfigObject, Profile, Protocol, Repeatability, ServiceSpec
from .parse import get_object_kind

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .address import Address
    from .file import LoadedObject
    from .kind import Kind
    from .problem import Problem


def check_consistency(
    loaded: Sequence[LoadedObject], stored: Iterable[ConfigObject] = ()
) -> list[Problem]:
    """Check declared objects against each other and against the stored ones.

    Parameters
    ----------
    loaded : sequence of LoadedObject
        The objects to be applied.
    stored : iterable of ConfigObject
        The objects stored on the platform; those that `loaded` replaces are
        ignored.

    Returns
    -------
    list of Problem
        Duplicate names, services whose profile does not exist or does not fit
        their protocol, addresses used by more than one service.
    """
    replaced = {(entry.kind, entry.item.name) for entry in loaded}
    kept = [item for item in stored if _identify(item) not in replaced]
    return [
        *_check_names(loaded),
        *_check_profiles(loaded, kept),
        *_check_protocols(loaded, kept),
        *_check_addresses(loaded, kept),
    ]


def _identify(item: ConfigObject) -> tuple[Kind, str]:
    return get_object_kind(item), item.name


def _check_names(loaded: Sequence[LoadedObject]) -> list[Problem]:
    problems: list[Problem] = []
    first: dict[tuple[Kind, str], LoadedObject] = {}
    for entry in loaded:
        key = _identify(entry.item)
        if key not in first:
            first[key] = entry
            continue
        other = first[key].document
        text = (
            f"{entry.kind.value} {entry.item.name} is defined twice, first at "
            f"{other.file}:{other.find_line('metadata.name')}"
        )
        problems.append(entry.build_problem("metadata.name", text))
    return problems


def _check_profiles(
    loaded: Sequence[LoadedObject], kept: Sequence[ConfigObject]
) -> list[Problem]:
    items = [*(entry.item for entry in loaded), *kept]
    names = {item.name for item in items if isinstance(item, Profile)}
    problems: list[Problem] = []
    for entry in loaded:
        if not isinstance(entry.item, ServiceSpec) or entry.item.profile in names:
            continue
        text = f"no profile is named {entry.item.profile}"
        problems.append(entry.build_problem("spec.profile", text))
    return problems


def _check_protocols(
    loaded: Sequence[LoadedObject], kept: Sequence[ConfigObject]
) -> list[Problem]:
    """Find opaque services whose profile requires at-most-once requests.

    Without parsing requests, a copy cannot be distinguished from a new request.
    """
    items = [*kept, *(entry.item for entry in loaded)]
    non_repeatable = {
        item.name
        for item in items
        if isinstance(item, Profile) and item.requests is Repeatability.NON_REPEATABLE
    }
    opaque = {
        item.profile: item.name
        for item in items
        if isinstance(item, ServiceSpec) and item.protocol is Protocol.OPAQUE
    }
    problems: list[Problem] = []
    for entry in loaded:
        item = entry.item
        if isinstance(item, Profile) and item.name in non_repeatable & opaque.keys():
            text = f"service {opaque[item.name]} is opaque, its requests are not parsed"
            problems.append(entry.build_problem("spec.requests", text))
        if not isinstance(item, ServiceSpec) or item.protocol is not Protocol.OPAQUE:
            continue
        if item.profile in non_repeatable:
            text = f"profile {item.profile} needs a protocol with parsed requests"
            problems.append(entry.build_problem("spec.protocol", text))
    return problems


def _check_addresses(
    loaded: Sequence[LoadedObject], kept: Sequence[ConfigObject]
) -> list[Problem]:
    users: dict[Address, str] = {
        item.address: f"service {item.name} on the platform"
        for item in kept
        if isinstance(item, ServiceSpec)
    }
    problems: list[Problem] = []
    for entry in loaded:
        if not isinstance(entry.item, ServiceSpec):
            continue
        user = users.get(entry.item.address)
        if user is not None:
            text = f"address {entry.item.address} is used by {user}"
            problems.append(entry.build_problem("spec.address", text))
            continue
        document = entry.document
        line = document.find_line("spec.address")
        place = f"{document.file}:{line}"
        users[entry.item.address] = f"service {entry.item.name} at {place}"
    return problems


__all__ = ["check_consistency"]
