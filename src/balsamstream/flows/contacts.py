"""Nodes that a front exchanges hellos with.

They are the gates that it has chosen, the gates that have chosen it, the gates that
hold flows of its callers, and some other fronts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .heartbeat import HostState
from .subset import (
    LOCAL_FRONTS,
    MAX_WIDENING,
    REMOTE_FRONTS,
    choose_from_ranking,
    choose_fronts,
    count_gates,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from .placement import Host
    from .roster import FrontRoster, GateRoster

WIDENED_S: Final = 5.0
"""Time for which a front stays in contact with more gates after it found only busy
ones."""


class Contacts:
    """Chooses the nodes that a front exchanges hellos with.

    Parameters
    ----------
    ip, data_centre : str
        Address and data centre of the front.
    gates : GateRoster
        Known gates.
    fronts : FrontRoster
        Known other fronts.

    Attributes
    ----------
    fronts : list of str
        Addresses of the chosen fronts.
    """

    def __init__(
        self, ip: str, data_centre: str, gates: GateRoster, fronts: FrontRoster
    ) -> None:
        self._ip = ip
        self._data_centre = data_centre
        self._gates = gates
        self._known_fronts = fronts
        self._chosen: dict[str, Host] = {}
        self._kept_until: dict[str, float] = {}
        self._widening: dict[str, tuple[int, float]] = {}
        self.fronts: list[str] = []

    def choose(self, evacuated: Collection[str], now: float) -> None:
        """Choose gates and fronts again.

        Parameters
        ----------
        evacuated : collection of str
            Data centres that get no new flows.
        now : float
            Time, in seconds.
        """

        def is_usable(host: Host) -> bool:
            is_ready = host.state is HostState.READY and host.is_alive(now)
            return is_ready and host.data_centre not in evacuated

        self._expire(now)
        self._chosen = {}
        for service, data_centre, ranking in self._gates.iterate_rankings():
            wanted = self._count_wanted(service, data_centre)
            for host in choose_from_ranking(ranking, wanted, is_usable):
                self._chosen[host.ip] = host
        self.fronts = choose_fronts(
            self._ip,
            self._data_centre,
            self._known_fronts.data_centres.items(),
            self._known_fronts.heard_at.__contains__,
            local=LOCAL_FRONTS,
            remote=REMOTE_FRONTS,
        )

    def _count_wanted(self, service: str, data_centre: str) -> int:
        return count_gates(
            data_centre == self._data_centre,
            self._gates.count_data_centres(service),
            self._widening.get(service, (1, 0.0))[0],
        )

    def _expire(self, now: float) -> None:
        for ip, until in list(self._kept_until.items()):
            if now >= until:
                del self._kept_until[ip]
        for service, (_, until) in list(self._widening.items()):
            if now >= until:
                del self._widening[service]

    def iterate_gates(self) -> Iterator[Host]:
        """Iterate over the hosts of all gates to exchange hellos with."""
        yield from self._chosen.values()
        for ip in self._kept_until:
            host = self._gates.hosts.get(ip)
            if host is not None and ip not in self._chosen:
                yield host

    def includes_front(self, ip: str) -> bool:
        """Return whether a front is a contact."""
        return ip in self.fronts

    def is_preferred(self, host: Host) -> bool:
        """Return whether a host that was just found ranks among the first."""
        wanted = self._count_wanted(host.service, host.data_centre)
        return self._gates.get_position(host) < wanted

    def keep(self, ip: str, until: float) -> bool:
        """Keep a gate for some time; tell whether it was no contact before."""
        is_new = ip not in self._kept_until and ip not in self._chosen
        self._kept_until[ip] = until
        return is_new

    def widen(self, service: str, now: float) -> bool:
        """Choose more gates of a service for some time; tell whether that is new."""
        factor, until = self._widening.get(service, (1, 0.0))
        if factor >= MAX_WIDENING or now < until - WIDENED_S / 2:
            return False
        self._widening[service] = (factor * 2, now + WIDENED_S)
        return True


__all__ = ["Contacts"]
