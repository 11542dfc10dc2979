"""Nodes of a deployment as one node knows them, from the store and from other nodes."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .messages import NodeName
from .subset import compute_score

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .placement import Host

NAME_LIFETIME_S: Final = 60.0
"""Age of the last message of a node above which it is not named to others."""
NODE_EXPIRY_S: Final = 120.0
"""Age of the last sign of a node after which it is removed."""
NEWEST_NAMED: Final = 4
"""Recently found nodes among those that one message names."""


@dataclass(slots=True)
class Sighting:
    """When a node was last known to run.

    Attributes
    ----------
    found_at : float
        Time at which this node found it, in seconds.
    seen_at : float
        Time of its last message to any node, as far as known, in seconds.
    listed_at : float
        Time at which the store last listed it, in seconds.
    """

    found_at: float
    seen_at: float = -1e9
    listed_at: float = -1e9

    def record_age(self, age_s: float, now: float) -> None:
        """Record that another node has seen it run some time ago."""
        self.seen_at = max(self.seen_at, now - max(0.0, age_s))

    def is_expired(self, now: float) -> bool:
        """Return whether the node has given no sign for long enough to remove it."""
        return now - max(self.seen_at, self.listed_at) > NODE_EXPIRY_S


class Names:
    """Chooses which nodes a message names: newly found ones and all others in turn.

    A message names few nodes, whatever the size of the deployment. All are named within
    some rounds, and a new one at once, so that news spread like in a gossip protocol.
    """

    def __init__(self) -> None:
        self._position = 0

    def choose(
        self, sightings: dict[str, Sighting], amount: int, now: float
    ) -> list[str]:
        """Choose the nodes to name in the next message.

        Parameters
        ----------
        sightings : dict of str to Sighting
            Known nodes by address.
        amount : int
            Number of nodes to name.
        now : float
            Time, in seconds.

        Returns
        -------
        list of str
            Addresses of nodes that have run within `NAME_LIFETIME_S`.
        """
        known = [
            ip
            for ip, sighting in sightings.items()
            if now - sighting.seen_at <= NAME_LIFETIME_S
        ]
        if len(known) <= amount:
            return known
        newest = sorted(known, key=lambda ip: -sightings[ip].found_at)[:NEWEST_NAMED]
        in_turn = amount - len(newest)
        start = self._position % len(known)
        self._position = start + in_turn
        rest = (known + known)[start : start + in_turn]
        return list(dict.fromkeys(newest + rest))


@dataclass(slots=True)
class GateRoster:
    """Known gates, ranked for one front within each service and data centre.

    Attributes
    ----------
    ip : str
        Address of the front.
    hosts : dict of str to Host
        Hosts by address of their gate.
    sightings : dict of str to Sighting
        Last signs of the gates, by address.
    """

    ip: str
    hosts: dict[str, Host] = field(default_factory=dict)
    sightings: dict[str, Sighting] = field(default_factory=dict)
    _rankings: dict[str, dict[str, list[Host]]] = field(default_factory=dict)
    _by_service: dict[str, list[Host]] = field(default_factory=dict)

    def add(self, host: Host, now: float) -> None:
        """Add a host in place of any other at its address."""
        self.remove(host.ip)
        self.hosts[host.ip] = host
        self.sightings[host.ip] = Sighting(now)
        self._by_service.setdefault(host.service, []).append(host)
        by_data_centre = self._rankings.setdefault(host.service, {})
        ranking = by_data_centre.setdefault(host.data_centre, [])
        insort(ranking, host, key=lambda each: -compute_score(self.ip, each.ip))

    def remove(self, ip: str) -> None:
        """Remove the host at an address, if there is one."""
        host = self.hosts.pop(ip, None)
        if host is None:
            return
        del self.sightings[ip]
        self._by_service[host.service].remove(host)
        by_data_centre = self._rankings[host.service]
        by_data_centre[host.data_centre].remove(host)
        if not by_data_centre[host.data_centre]:
            del by_data_centre[host.data_centre]

    def get_hosts(self, service: str) -> list[Host]:
        """Return the hosts of a service."""
        return self._by_service.get(service, [])

    def iterate_rankings(self) -> Iterator[tuple[str, str, list[Host]]]:
        """Iterate over service, data centre and ranked hosts of each group."""
        for service, by_data_centre in self._rankings.items():
            for data_centre, ranking in by_data_centre.items():
                yield service, data_centre, ranking

    def get_position(self, host: Host) -> int:
        """Return the position of a host in its ranking."""
        return self._rankings[host.service][host.data_centre].index(host)

    def count_data_centres(self, service: str) -> int:
        """Return the number of data centres with gates of a service."""
        return len(self._rankings[service])

    def list_expired(self, now: float) -> list[str]:
        """List the gates without a sign for too long."""
        return [ip for ip, each in self.sightings.items() if each.is_expired(now)]

    def build_names(self, ips: Iterable[str], now: float) -> list[NodeName]:
        """Build the names of some gates for a message."""
        return [
            NodeName(
                ip,
                self.hosts[ip].data_centre,
                self.hosts[ip].service,
                max(0, round(now - self.sightings[ip].seen_at)),
            )
            for ip in ips
        ]


@dataclass(slots=True)
class FrontRoster:
    """Known fronts other than this node.

    Attributes
    ----------
    data_centres : dict of str to str
        Data centre of each front, by address.
    sightings : dict of str to Sighting
        Last signs of the fronts, by address.
    heard_at : dict of str to float
        Time of the last message that this node got from a front, in seconds.
    protocols : dict of str to int
        Version of the messages that each front has stated, by address.
    """

    data_centres: dict[str, str] = field(default_factory=dict)
    sightings: dict[str, Sighting] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    protocols: dict[str, int] = field(default_factory=dict)

    def add(self, ip: str, data_centre: str, now: float) -> None:
        """Add a front, or set its data centre."""
        self.data_centres[ip] = data_centre
        if ip not in self.sightings:
            self.sightings[ip] = Sighting(now)

    def record_heard(
        self, ip: str, data_centre: str, now: float, protocol: int = 1
    ) -> bool:
        """Record a message of a front; tell whether it was not heard before."""
        self.add(ip, data_centre, now)
        self.protocols[ip] = protocol
        self.sightings[ip].seen_at = now
        is_new = ip not in self.heard_at
        self.heard_at[ip] = now
        return is_new

    def remove(self, ip: str) -> None:
        """Remove a front."""
        self.data_centres.pop(ip, None)
        self.sightings.pop(ip, None)
        self.heard_at.pop(ip, None)
        self.protocols.pop(ip, None)

    def remove_expired(self, now: float) -> None:
        """Remove the fronts without a sign for too long."""
        for ip, sighting in list(self.sightings.items()):
            if sighting.is_expired(now):
                self.remove(ip)

    def remove_silent(self, timeout_s: float, now: float) -> list[str]:
        """Forget when silent fronts were heard; return their addresses."""
        silent = [ip for ip, at in self.heard_at.items() if now - at > timeout_s]
        for ip in silent:
            del self.heard_at[ip]
        return silent

    def handle_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the silence of fronts."""
        for ip in self.heard_at:
            self.heard_at[ip] += gap_s

    def build_names(self, ips: Iterable[str], now: float) -> list[NodeName]:
        """Build the names of some fronts for a message."""
        return [
            NodeName(
                ip,
                self.data_centres[ip],
                "",
                max(0, round(now - self.sightings[ip].seen_at)),
            )
            for ip in ips
        ]


__all__ = ["FrontRoster", "GateRoster", "Names", "Sighting"]
