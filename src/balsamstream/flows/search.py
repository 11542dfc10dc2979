"""State and fan-out of a search for the host of a flow.

Load pattern: a front stops or joins, and the routers move flows to other fronts
mid-stream; or all nodes start at once, and no node knows the flow of any packet. Each
such packet goes to all gates of the service at once. The holder delivers it and reports
that it holds the flow, so no packet waits for the search. The link of a front is
narrower than those of the gates, so a front sends the packet to one gate of each data
centre, which relays it to the other gates there.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .heartbeat import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .placement import Host

SEARCH_TIMEOUT_S: Final = 4.0
"""Age at which a search ends without a result; a later packet starts a new one."""
MAX_SEQ_STEP_BYTES: Final = 1 << 20
"""Distance of the sequence numbers of two packets that belong to one flow."""
MAX_RELAY_TARGETS: Final = 48
"""Gates that one gate relays a packet to: their addresses and the largest packet fit
into 1,500 bytes."""


@dataclass(slots=True)
class Search:
    """A search for the host of one flow.

    Attributes
    ----------
    started_at : float
        Time of the first packet, in seconds.
    rotation : int
        Selects the gates that relay the next packet; rises with each packet.
    packet : bytes
        Last packet of the caller.
    denied_by : set of str
        Gates whose hosts do not hold the flow, by address.
    expected_denials : int
        Number of gates that must deny the flow before the search can advance.
    is_wide : bool
        Whether the search asks the gates of all services, not only of the route's.
    sent_at : float
        Time at which the packet was last sent to gates, in seconds.
    asked : set of str
        Gates believed absent that were sent the packet directly, by address.
    asked_at : float
        Time at which the last of them was sent it, in seconds.
    """

    started_at: float
    rotation: int
    packet: bytes
    denied_by: set[str] = field(default_factory=set)
    expected_denials: int = 0
    is_wide: bool = False
    sent_at: float = 0.0
    asked: set[str] = field(default_factory=set)
    asked_at: float = 0.0

    def concerns(self, packet: bytes) -> bool:
        """Return whether a packet belongs to the flow that is searched for.

        If not, the caller has used its port for another one since.
        """
        step = packets.get_seq(packet) - packets.get_seq(self.packet)
        return (
            min(step & packets.SEQ_MASK, -step & packets.SEQ_MASK) <= MAX_SEQ_STEP_BYTES
        )

    def is_expired(self, now: float) -> bool:
        """Return whether the search has reached its timeout."""
        return now - self.started_at > SEARCH_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class RelayGroup:
    """Gates of one data centre that get a packet through one of them.

    Attributes
    ----------
    relay : Host
        Gate that the front sends the packet to.
    targets : list of Host
        Gates that the relay sends it on to.
    """

    relay: Host
    targets: list[Host]


def start_search(flow: bytes, packet: bytes, now: float) -> Search:
    """Start a search; the initial rotation spreads flows over the relays."""
    return Search(now, zlib.crc32(flow), packet)


def plan_relays(
    hosts: Iterable[Host], rotation: int, now: float
) -> Iterator[RelayGroup]:
    """Divide the gates of a search into relay groups.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts whose gates have not denied the flow.
    rotation : int
        Selects the relays. Each packet takes other ones, as a gate that has stopped may
        not have timed out yet.
    now : float
        Time, in seconds.

    Yields
    ------
    RelayGroup
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
    "plan_relays",
    "start_search",
]
