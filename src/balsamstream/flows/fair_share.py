"""Shares of a busy host that routes and data centres have, by start-time fair queuing.

Load pattern: a burst of one kind of request, or fronts of an evacuated data centre
beside local ones. Each party that waits gets its share of the slots whatever the others
send, and an unused share goes to the others. A party's next opening starts at the
virtual time at which its last one ended; the least start goes first.

Source: start-time fair queuing (Goyal, Vin and Cheng, 1996).
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .waiting_queue import Opening

MAX_SHARES: Final = 64
"""Idle routes, and idle data centres of a route, whose past service is remembered."""


@dataclass(slots=True, eq=False)
class Waiting:
    """An opening that waits.

    Attributes
    ----------
    opening : Opening
        The opening.
    route, caller : bytes
        Address and port of the route; address of the caller.
    expires_at : float
        Time at which it is declined if it still waits, in seconds.
    latest_start_at : float
        Time after which the host need not begin the request, in seconds. It may be
        later than `expires_at`: the caller's next attempt may then have its turn.
    objective_at : float
        Time at which the objective is over, in seconds.
    """

    opening: Opening
    route: bytes
    caller: bytes
    expires_at: float
    latest_start_at: float
    objective_at: float


@dataclass(slots=True, eq=False)
class Share:
    """One party to start-time fair queuing.

    Attributes
    ----------
    weight : float
        Share relative to the other parties.
    finish : float
        Virtual time at which its last dispatched opening ends.
    newest_at : float
        Time of its last arrival, in seconds; decides between equal virtual times.
    """

    weight: float = 1.0
    finish: float = 0.0
    newest_at: float = 0.0

    def charge(self, clock: float, work_s: float) -> float:
        """Charge a dispatched opening; return its start, the new virtual time."""
        start = max(clock, self.finish)
        self.finish = start + work_s / self.weight
        return start

    def get_turn(self, clock: float) -> tuple[float, float, float]:
        """Return when the next opening is due; the least goes first."""
        return max(clock, self.finish), -self.weight, -self.newest_at


@dataclass(slots=True, eq=False)
class SiteShare(Share):
    """Openings of one route from the fronts of one data centre."""

    waiting: dict[bytes, Waiting] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Whether no opening waits."""
        return not self.waiting


@dataclass(slots=True, eq=False)
class RouteShare(Share):
    """Openings of one route, by the data centre of their fronts."""

    clock: float = 0.0
    sites: dict[str, SiteShare] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Whether no opening waits."""
        return all(site.is_idle for site in self.sites.values())


Key = TypeVar("Key", bytes, str)
AnyShare = TypeVar("AnyShare", RouteShare, SiteShare)


@dataclass(slots=True, eq=False)
class Party:
    """Openings of one route and data centre that wait, with the shares they charge.

    Attributes
    ----------
    route : RouteShare
        Share of the route.
    site : SiteShare
        Share of the data centre within the route.
    work_s : float
        Work that one opening is charged, in seconds.
    in_time, late : list of Waiting
        Openings that can still meet their objective, and the others.
    """

    route: RouteShare
    site: SiteShare
    work_s: float
    in_time: list[Waiting]
    late: list[Waiting]

    def charge(self, clock: float) -> float:
        """Charge one opening; return the new virtual time of the queue."""
        start = self.route.charge(clock, self.work_s)
        self.route.clock = self.site.charge(self.route.clock, self.work_s)
        return start


def choose_party(
    parties: Collection[Party], clock: float
) -> tuple[Party, list[Waiting]]:
    """Choose the party whose turn it is; routes with openings in time go first.

    Returns
    -------
    Party, list of Waiting
        The party and its openings from which the next one is taken.
    """
    waiting = [each for each in parties if each.in_time or each.late]
    candidates = [each for each in waiting if each.in_time] or waiting
    first = min(candidates, key=lambda each: each.route.get_turn(clock))
    route = first.route
    sites = [each for each in waiting if each.route is route]
    party = min(sites, key=lambda each: each.site.get_turn(route.clock))
    return party, party.in_time or party.late


def plan_turns(parties: Iterable[Party], clock: float) -> list[Waiting]:
    """Return all openings in the order of their turns; nothing is charged.

    Parameters
    ----------
    parties : iterable of Party
        Parties, their openings in the order of dispatch within each.
    clock : float
        Virtual time of the queue.
    """
    routes: dict[int, RouteShare] = {}
    left = []
    for party in parties:
        route = routes.setdefault(id(party.route), copy.copy(party.route))
        in_time, late = party.in_time[::-1], party.late[::-1]
        site = copy.copy(party.site)
        left.append(Party(route, site, party.work_s, in_time, late))
    order = []
    while left:
        party, items = choose_party(left, clock)
        order.append(items.pop())
        clock = party.charge(clock)
        if not party.in_time and not party.late:
            left.remove(party)
    return order


def forget_idle(shares: dict[Key, AnyShare]) -> None:
    """Remove an idle party if there are too many; its past service is forgotten."""
    if len(shares) < MAX_SHARES:
        return
    idle = next((key for key, share in shares.items() if share.is_idle), None)
    if idle is not None:
        del shares[idle]


__all__ = [
    "Party",
    "RouteShare",
    "Share",
    "SiteShare",
    "Waiting",
    "choose_party",
    "forget_idle",
    "plan_turns",
]
