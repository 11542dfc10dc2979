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

SEARCH_TIMEOUT_S: Final = 2.0
"""A search that found nothing begins anew with a packet that comes later."""
MAX_RELAY_TARGETS: Final = 48
"""Gates that one gate passes a packet on to: their addresses and the largest packet
fit 1,500 bytes together."""


@dataclass(slots=True)
class Search:
    """A search for the host of one flow.

    Attributes
    ----------
    started_at : float
        When it began, in seconds.
    rotation : int
        Chooses the gates that pass the next packet on.
    packet : bytes
        The caller's last packet.
    denied_by : set of str
        Gates whose hosts do not hold the flow.
    expected_denials : int
        Gates that have to deny the flow before it can be lost.
    """

    started_at: float
    rotation: int
    packet: bytes = b""
    denied_by: set[str] = field(default_factory=set)
    expected_denials: int = 0

    def is_expired(self, now: float) -> bool:
        """Tell whether the search is too old to go on."""
        return now - self.started_at > SEARCH_TIMEOUT_S

    def is_lost(self, gates: set[str]) -> bool:
        """Tell whether no host holds the flow: every gate known has said so."""
        return bool(gates) and gates <= self.denied_by


@dataclass(frozen=True, slots=True)
class RelayGroup:
    """Gates of one data centre that are asked together.

    Attributes
    ----------
    relay : Host
        The gate that is sent the packet.
    targets : list of Host
        The gates that it passes the packet on to.
    """

    relay: Host
    targets: list[Host]


def start_search(flow: bytes, now: float) -> Search:
    """Begin a search; different flows go by way of different gates."""
    return Search(now, zlib.crc32(flow))


def plan_relays(
    hosts: Iterable[Host], rotation: int, now: float
) -> Iterator[RelayGroup]:
    """Part the gates to ask.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts whose gates have not yet denied the flow.
    rotation : int
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
        for start in range(0, len(group), MAX_RELAY_TARGETS + 1):
            gates = group[start : start + MAX_RELAY_TARGETS + 1]
            alive = [host for host in gates if _can_relay(host, now)] or gates
            relay = alive[rotation % len(alive)]
            yield RelayGroup(relay, [host for host in gates if host is not relay])


def _can_relay(host: Host, now: float) -> bool:
    return host.is_alive(now) and host.state is not HostState.GONE


__all__ = [
    "MAX_RELAY_TARGETS",
    "SEARCH_TIMEOUT_S",
    "RelayGroup",
    "Search",
    "start_search",
    "plan_relays",
]
