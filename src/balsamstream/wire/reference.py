"""Conversion of addresses, process references and routing versions to thrift."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.routing import RoutingVersion

from .generated.control import ttypes

if TYPE_CHECKING:
    from .structure import Structure


def write_address(address: Address) -> Structure:
    """Convert an address to its thrift structure."""
    return ttypes.Address(address.ip, address.port)


def read_address(struct: Structure) -> Address:
    """Convert a thrift structure to an address."""
    struct.validate()
    return Address(struct.ip, struct.port)


def write_ref(ref: ProcessRef) -> Structure:
    """Convert a process reference to its thrift structure."""
    return ttypes.Ref(ref.name, ref.incarnation)


def read_ref(struct: Structure) -> ProcessRef:
    """Convert a thrift structure to a process reference."""
    struct.validate()
    return ProcessRef(struct.name, struct.incarnation)


def write_version(version: RoutingVersion) -> Structure:
    """Convert a routing version to its thrift structure."""
    return ttypes.Version(version.view, version.data_centres)


def read_version(struct: Structure) -> RoutingVersion:
    """Convert a thrift structure to a routing version."""
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
