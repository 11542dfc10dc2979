"""Sending of packets and messages, as the parts of a front need it."""

from __future__ import annotations

from typing import Protocol


class PacketTransport(Protocol):
    """Sends to gates and callers."""

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""


__all__ = ["PacketTransport"]
