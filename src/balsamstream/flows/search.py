"""Finding the host of a flow that a front does not know.

Load pattern: a front ends or joins, and the routers hand its flows to other fronts in
the middle; or all nodes begin at once, and every caller's next packet belongs to a flow
that nobody knows. Each such packet goes to all gates of the service at once; the gate
that holds the flow delivers it and says so, so no packet waits for the search. A front
has a thin link and its gates do not, so it sends the packet to one gate of each data
centre, which passes it on to the others there.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .heartbeat import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .placement import Host

SEEK_S: Final = 2.0
"""A search that found nothing begins anew with a packet that comes later."""
MOST_OTHERS: Final = 48
"""Gates that one gate passes a packet on to: their addresses and the largest packet
fit 1,500 bytes together."""


@dataclass(slots=True)
class Seek:
    """A search for the host of one flow.

    Attributes
    ----------
    started_at : float
        When it began, in seconds.
    turn : int
        Chooses the gates that pass the next packet on.
    packet : bytes
        The caller's last packet.
    refused : set of str
        Gates whose hosts do not hold the flow.
    awaited : int
        Gates that have to deny the flow before it can be lost.
    """

    started_at: float
    turn: int
    packet: bytes = b""
    refused: set[str] = field(default_factory=set)
    awaited: int = 0

    def is_over(self, now: float) -> bool:
        """Tell whether the search is too old to go on."""
        return now - self.started_at > SEEK_S

    def is_lost(self, gates: set[str]) -> bool:
        """Tell whether no host holds the flow: every gate known has said so."""
        return bool(gates) and gates <= self.refused


@dataclass(frozen=True, slots=True)
class Part:
    """Gates of one data centre that are asked together.

    Attributes
    ----------
    relay : Host
        The gate that is sent the packet.
    others : list of Host
        The gates that it passes the packet on to.
    """

    relay: Host
    others: list[Host]


def begin_seek(flow: bytes, now: float) -> Seek:
    """Begin a search; different flows go by way of different gates."""
    return Seek(now, zlib.crc32(flow))


def plan_search(hosts: Iterable[Host], turn: int, now: float) -> Iterator[Part]:
    """Part the gates to ask.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts whose gates have not yet denied the flow.
    turn : int
        Another number chooses other gates to pass the packet on, as one that has ended
        may not be missed yet.
    now : float
        Time, in seconds.

    Yields
    ------
    Part
        One for each data centre, more where it has many gates.
    """
    by_data_centre: dict[str, list[Host]] = {}
    for host in hosts:
        by_data_centre.setdefault(host.data_centre, []).append(host)
    for group in by_data_centre.values():
        for begin in range(0, len(group), MOST_OTHERS + 1):
            part = group[begin : begin + MOST_OTHERS + 1]
            alive = [host for host in part if _is_alive(host, now)] or part
            relay = alive[turn % len(alive)]
            yield Part(relay, [host for host in part if host is not relay])


def _is_alive(host: Host, now: float) -> bool:
    return host.is_heard(now) and host.state is not HostState.GONE


__all__ = ["MOST_OTHERS", "SEEK_S", "Part", "Seek", "begin_seek", "plan_search"]
