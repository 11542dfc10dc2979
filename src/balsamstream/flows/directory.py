"""Directory of a front: which nodes there are, from the store and from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .placement import Host
from .roster import NAME_LIFETIME_S, FrontRoster, GateRoster, Names
from .subset import is_address

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .events import Events
    from .messages import NodeName

NAMED_GATES: Final = 12
"""Gates named in one message to a front."""
NAMED_FRONTS: Final = 6
"""Fronts named in one message."""
NAMES_PER_MESSAGE: Final = 24
"""Nodes named in one message to a front that has just started."""
NAMES_DELAY_S: Final = 1.0
"""Time that a front which has just started waits for the rest of the names."""
RECENT_S: Final = 10.0
"""Time since a gate was found for which a front that has started may not know it."""
MAX_NEWS: Final = 240
"""Gates that wait to be named at once; further ones are named in turn."""
UNLISTED_S: Final = 10.0
"""Time after which a front that neither the store nor another front tells which nodes
there are takes those that it knows for all."""
UNKNOWN_EXPIRY_S: Final = 4.0
"""Time for which a node of which only the address is known gets hellos."""


class Directory:
    """Nodes that a front knows, and whether they are all that there are.

    Parameters
    ----------
    events : Events
        Counts invalid names.
    ip : str
        Address of this front.
    node_port : int
        Port on which nodes receive messages.
    now : float
        Time, in seconds.

    Attributes
    ----------
    gates : GateRoster
        Known gates.
    fronts : FrontRoster
        Known other fronts.
    needs_names : bool
        Whether this front has not learnt yet which nodes there are.
    """

    def __init__(self, events: Events, ip: str, node_port: int, now: float) -> None:
        self._events = events
        self._ip = ip
        self._node_port = node_port
        self._unknown: dict[str, float] = {}
        self._gate_names = Names()
        self._front_names = Names()
        self._news: list[str] = []
        self.gates = GateRoster(ip)
        self.fronts = FrontRoster()
        self.forget_completeness(now)

    def is_complete(self, now: float) -> bool:
        """Return whether every gate that runs should be known by now.

        True once the store has listed the nodes or a front has named all of them, and
        in any case some seconds after the start or a pause of this front.
        """
        return now >= self._complete_at

    def forget_completeness(self, now: float) -> None:
        """Record that there may be nodes that are not known, as after a pause."""
        self.needs_names = True
        self._complete_at = now + UNLISTED_S

    def _record_completeness(self, at: float) -> None:
        self.needs_names = False
        self._complete_at = min(self._complete_at, at)

    @property
    def unknown(self) -> list[str]:
        """Addresses of nodes of which nothing else is known."""
        return list(self._unknown)

    def add_address(self, ip: str, now: float) -> bool:
        """Add a node of which only the address is known; tell whether that is new."""
        is_known = ip in self.fronts.data_centres or ip in self.gates.hosts
        if ip == self._ip or is_known or not is_address(ip):
            return False
        is_new = ip not in self._unknown
        self._unknown[ip] = now
        return is_new

    def add_listed(self, names: Iterable[NodeName], now: float) -> list[Host]:
        """Add the nodes that the store lists; return the hosts that are new.

        Parameters
        ----------
        names : iterable of NodeName
            Nodes that have an entry.
        now : float
            Time, in seconds.
        """
        added = []
        for name in names:
            if not self._is_other_node(name):
                continue
            added += self._add(name, now)
            self._get_roster(name).sightings[name.ip].listed_at = now
        self._record_completeness(now)
        return added

    def add_named(self, names: list[NodeName], gates: int, now: float) -> list[Host]:
        """Add the nodes that another front names; return the hosts that are new.

        Parameters
        ----------
        names : list of NodeName
            Nodes that have run lately.
        now : float
            Time, in seconds.
        gates : int
            Gates that the other front knows; 0 if it does not know all itself.
        """
        added = []
        for name in names:
            if not self._is_other_node(name):
                continue
            added += self._add(name, now)
            self._get_roster(name).sightings[name.ip].record_age(name.age_s, now)
        if self.needs_names and 0 < gates <= len(self.gates.hosts):
            self._record_completeness(now + NAMES_DELAY_S)
        return added

    def _is_other_node(self, name: NodeName) -> bool:
        if is_address(name.ip):
            return name.ip != self._ip
        self._events.count("names.invalid")
        return False

    def _get_roster(self, name: NodeName) -> GateRoster | FrontRoster:
        return self.gates if name.service else self.fronts

    def _add(self, name: NodeName, now: float) -> list[Host]:
        self._unknown.pop(name.ip, None)
        if not name.service:
            if name.ip not in self.fronts.data_centres:
                self.fronts.add(name.ip, name.data_centre, now)
            return []
        if name.ip in self.gates.hosts:
            return []
        return [self.add_host(name.ip, name.service, name.data_centre, now)]

    def add_host(self, ip: str, service: str, data_centre: str, now: float) -> Host:
        """Add a host in place of any other at its address."""
        self._unknown.pop(ip, None)
        host = Host(ip, (ip, self._node_port), service=service, data_centre=data_centre)
        self.gates.add(host, now)
        return host

    def record_front(self, ip: str, data_centre: str, now: float) -> bool:
        """Record a message of a front; tell whether it was not heard before."""
        self._unknown.pop(ip, None)
        return self.fronts.record_heard(ip, data_centre, now)

    def expire(self, now: float) -> list[str]:
        """Remove nodes without a sign for too long; return the gates among them."""
        self.fronts.remove_expired(now)
        lost = self.gates.list_expired(now)
        for ip in lost:
            self.gates.remove(ip)
        for ip, found_at in list(self._unknown.items()):
            if now - found_at > UNKNOWN_EXPIRY_S:
                del self._unknown[ip]
        return lost

    # Names for other nodes.

    def choose_fronts(self, now: float) -> list[NodeName]:
        """Choose fronts to name in the next message."""
        ips = self._front_names.choose(self.fronts.sightings, NAMED_FRONTS, now)
        return self.fronts.build_names(ips, now)

    def count_gates(self, now: float) -> int:
        """Count the gates heard or listed lately; 0 if this front may not know all."""
        if self.needs_names:
            return 0
        signs = [max(s.seen_at, s.listed_at) for s in self.gates.sightings.values()]
        return sum(now - sign_at <= NAME_LIFETIME_S for sign_at in signs)

    def choose_nodes(self, now: float) -> list[NodeName]:
        """Choose nodes to name in the next message to a front."""
        ips = self._gate_names.choose(self.gates.sightings, NAMED_GATES, now)
        return self.gates.build_names(ips, now) + self.choose_fronts(now)

    def list_recent_gates(self, now: float) -> list[NodeName]:
        """List the gates found lately, the latest first, as far as a message holds."""
        sightings = self.gates.sightings
        running = Names().choose(sightings, len(sightings), now)
        recent = [ip for ip in running if now - sightings[ip].found_at <= RECENT_S]
        recent.sort(key=lambda ip: -sightings[ip].found_at)
        return self.gates.build_names(recent[:NAMES_PER_MESSAGE], now)

    def take_news(self, now: float) -> list[NodeName]:
        """Take the gates that no message has named yet, as far as a message holds."""
        ips = [ip for ip in self._news[:NAMES_PER_MESSAGE] if ip in self.gates.hosts]
        del self._news[:NAMES_PER_MESSAGE]
        return self.gates.build_names(ips, now)

    @property
    def has_news(self) -> bool:
        """Whether a gate was found that no message has named yet."""
        return bool(self._news)

    def record_news(self, host: Host) -> None:
        """Record that other fronts may not know a gate that was found."""
        if len(self._news) < MAX_NEWS:
            self._news.append(host.ip)

    def iterate_all_names(self, now: float) -> Iterator[list[NodeName]]:
        """Iterate over the names of all nodes that run, in parts for one message."""
        names = []
        for roster in (self.gates, self.fronts):
            sightings = roster.sightings
            ips = Names().choose(sightings, len(sightings), now)
            names += roster.build_names(ips, now)
        for start in range(0, max(1, len(names)), NAMES_PER_MESSAGE):
            yield names[start : start + NAMES_PER_MESSAGE]


__all__ = ["Directory"]
