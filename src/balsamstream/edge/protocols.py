"""Implementations of the protocols that a service may be configured with."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamstream.config.objects import Protocol as ProtocolName

from .coap import CoapProtocol
from .opaque import OpaqueProtocol

if TYPE_CHECKING:
    from .protocol import Protocol

_PROTOCOLS: Final[dict[ProtocolName, Protocol]] = {
    ProtocolName.COAP: CoapProtocol(),
    ProtocolName.OPAQUE: OpaqueProtocol(),
}


def get_protocol(name: ProtocolName) -> Protocol:
    """Return the implementation of a protocol."""
    return _PROTOCOLS[name]


__all__ = ["get_protocol"]
