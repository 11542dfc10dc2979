"""Names and addresses of processes, flows and requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple, NewType

FlowKey = NewType("FlowKey", int)
"""64-bit hash of a service and a caller's address."""

RequestKey = NewType("RequestKey", int)
"""64-bit hash that all copies of one request share; zero where there is no request."""

NO_REQUEST: Final = RequestKey(0)


class Address(NamedTuple):
    """An IPv4 address and a port, as sockets take them."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``.

    Raises
    ------
    ValueError
        If the text has no port or the port is not a number.
    """
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


@dataclass(frozen=True, slots=True, order=True)
class ProcessRef:
    """A process in one incarnation, from its start to its end.

    Parameters
    ----------
    name : str
        Name of the host or balancer from its settings.
    incarnation : int
        Number drawn at each start of the process.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}.{self.incarnation}"


NOBODY: Final = ProcessRef("", 0)
"""Claimant of a request that was refused: no process may run it."""

__all__ = [
    "NOBODY",
    "NO_REQUEST",
    "Address",
    "FlowKey",
    "ProcessRef",
    "RequestKey",
    "parse_address",
]
