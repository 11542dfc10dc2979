"""Names and addresses of processes and routing versions as thrift structures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.routing import RoutingVersion

from .generated.control import ttypes

if TYPE_CHECKING:
    from .structure import Structure


def write_address(address: Address) -> Structure:
    """Write an address."""
    return ttypes.Address(address.ip, address.port)


def read_address(struct: Structure) -> Address:
    """Read an address."""
    struct.validate()
    return Address(struct.ip, struct.port)


def write_ref(ref: ProcessRef) -> Structure:
    """Write the name of one run of a process."""
    return ttypes.Ref(ref.name, ref.incarnation)


def read_ref(struct: Structure) -> ProcessRef:
    """Read the name of one run of a process."""
    struct.validate()
    return ProcessRef(struct.name, struct.incarnation)


def write_version(version: RoutingVersion) -> Structure:
    """Write a routing version."""
    return ttypes.Version(version.view, version.data_centres)


def read_version(struct: Structure) -> RoutingVersion:
    """Read a routing version."""
    struct.validate()
    return RoutingVersion(struct.view, struct.data_centres)


__all__ = [
    "read_address",
    "read_ref",
    "read_version",
    "write_address",
    "write_ref",
    "write_version",
]
