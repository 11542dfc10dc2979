"""Queue of opening packets at a busy host: fair shares, bounded by deadlines.

Load pattern: a burst of one kind of request, which must not delay the other routes; all
callers returning to cold hosts; sustained load of 1.5 times the capacity, where a fixed
bound of the wait refuses requests that still have time and serves others that are late;
one caller that sends ten times as much as the others; fronts of an evacuated data
centre beside local ones.

Order: routes with openings that can still meet their objective before the others, as a
late answer has lost most of its use; between them start-time fair queuing, with the
weight halved for each step of priority; equal shares for the data centres of the fronts
within a route; then openings in time before late ones; among them callers with the
least recent service, and the attempts that began last. An opening whose turn cannot
come before its deadline is handed back at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .caller_record import CallerRecord, compute_level
from .fair_share import (
    Party,
    RouteShare,
    SiteShare,
    Waiting,
    choose_party,
    forget_idle,
    plan_turns,
)
from .waiting_queue import MAX_WAITING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .host_work import Forecast, HostWork
    from .waiting_queue import Opening

MAX_TIMED_WAIT_S: Final = 1.2
"""A caller ends its attempt 1.4 s after its first packet."""
MAX_ATTEMPTS: Final = 3
"""Attempts of a caller at one request. A front cannot see the earlier ones, so each may
wait for its share of the deadline: a caller at its last attempt would be gone when a
slot is free."""
UNTIMED_WAIT_S: Final = 0.4
"""Objective and deadline of an opening whose front states none."""
DEFAULT_WORK_S: Final = 0.025
"""Work that a request counts as while no service time is known. Only the ratio to the
other routes matters, and they count as the same then."""
MAX_PRIORITY_STEPS: Final = 16
"""Steps of priority beyond which the weight is no longer halved, so that virtual times
keep their precision."""
PLAN_INTERVAL_S: Final = 40e-6
"""Minimum time between two forecasts on arrival, for each opening that waits. A burst
of 512 openings then costs no more forecasts than the ticks do."""


class FairQueue:
    """Bounded queue of opening packets that wait for a slot of one host.

    Parameters
    ----------
    work : HostWork
        Learned service times of the host.
    get_data_centre : callable
        Returns the data centre of a front by its address.
    """

    def __init__(self, work: HostWork, get_data_centre: Callable[[str], str]) -> None:
        self._times = work.times
        self._get_data_centre = get_data_centre
        self._callers = CallerRecord()
        self._routes: dict[bytes, RouteShare] = {}
        self._sites: dict[bytes, SiteShare] = {}
        self._clock = 0.0
        self._next_expiry_at = 0.0
        self._plan_due = 0.0

    def __len__(self) -> int:
        return len(self._sites)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._sites

    def can_accept(self, opening: Opening, now: float) -> bool:
        """Return whether the deadline of an opening is not over yet."""
        return now < opening.deadline_at

    def count_routes(self, now: float) -> dict[bytes, int]:
        """Return the number of openings that wait and may precede a new one, by route.

        Openings that are too late for their objective follow the new one.
        """
        if not self._sites:
            return {}
        return {
            key: sum(
                item.objective_at >= now
                for site in route.sites.values()
                for item in site.waiting.values()
            )
            for key, route in self._routes.items()
        }

    def add(self, opening: Opening) -> Opening | None:
        """Add an opening packet; return one that it displaces, or None."""
        self._remove(opening.flow)
        displaced = None
        if len(self._sites) >= MAX_WAITING:
            displaced = self._displace(opening.arrived_at)
        item = self._build_item(opening)
        if not self._sites or item.expires_at < self._next_expiry_at:
            self._next_expiry_at = item.expires_at
        route, site = self._find_shares(opening)
        route.newest_at = site.newest_at = opening.arrived_at
        site.waiting[opening.flow] = item
        self._sites[opening.flow] = site
        return displaced

    def pop(self, now: float) -> Opening | None:
        """Remove and return the opening packet that is to be dispatched next."""
        if not self._sites:
            return None
        party, items = choose_party(self._list_parties(now), self._clock)
        first = self._sort(items, party.work_s, {}, now)[0]
        self._remove(first.opening.flow)
        self._clock = party.charge(self._clock)
        self._callers.add(first.caller, party.work_s, now)
        return first.opening

    def pop_expired(self, now: float) -> list[Opening]:
        """Remove and return the openings that need no longer begin."""
        if not self._sites or now <= self._next_expiry_at:
            return []
        items = list(self._iterate_items())
        expired = [each.opening for each in items if each.expires_at < now]
        for opening in expired:
            self._remove(opening.flow)
        left = (each.expires_at for each in items if each.expires_at >= now)
        self._next_expiry_at = min(left, default=now)
        return expired

    def is_plan_due(self, now: float) -> bool:
        """Return whether an arrival is a reason to forecast the turns again."""
        return now >= self._plan_due

    def pop_hopeless(self, forecast: Forecast | None, now: float) -> list[Opening]:
        """Remove and return the openings whose turn cannot come before their deadline.

        Parameters
        ----------
        forecast : Forecast or None
            Expected progress of the host; None for unknown, which returns nothing.
        now : float
            Time, in seconds.
        """
        if forecast is None or not self._sites:
            return []
        self._plan_due = now + len(self._sites) * PLAN_INTERVAL_S
        hopeless = []
        work_s = 0.0
        works_s: dict[bytes, float] = {}
        for item in self.plan(now):
            if now + forecast.compute_start_s(work_s) > item.latest_start_at:
                hopeless.append(item.opening)
                continue
            if item.route not in works_s:
                works_s[item.route] = self._get_work_s(item.route, now)
            work_s += works_s[item.route]
        for opening in hopeless:
            self._remove(opening.flow)
        return hopeless

    def plan(self, now: float) -> list[Waiting]:
        """Return the openings in the order in which they would be dispatched."""
        parties = self._list_parties(now)
        for party in parties:
            served_s: dict[bytes, float] = {}
            party.in_time = self._sort(party.in_time, party.work_s, served_s, now)
            party.late = self._sort(party.late, party.work_s, served_s, now)
        return plan_turns(parties, self._clock)

    def _list_parties(self, now: float) -> list[Party]:
        """List the routes and data centres whose openings wait."""
        parties = []
        for key, route in self._routes.items():
            work_s = self._get_work_s(key, now)
            for site in route.sites.values():
                if site.is_idle:
                    continue
                items = site.waiting.values()
                begins_at = now + work_s
                in_time = [each for each in items if each.objective_at >= begins_at]
                late = [each for each in items if each.objective_at < begins_at]
                parties.append(Party(route, site, work_s, in_time, late))
        return parties

    def drain(self) -> list[Opening]:
        """Remove and return all packets, the oldest first."""
        openings = [item.opening for item in self._iterate_items()]
        self._sites.clear()
        for route in self._routes.values():
            for site in route.sites.values():
                site.waiting.clear()
        return openings

    def clear_order(self) -> None:
        """Discard the record of past service; what waits keeps waiting."""
        openings = self.drain()
        self._routes.clear()
        self._callers.clear()
        self._clock = 0.0
        for opening in openings:
            self.add(opening)

    def _build_item(self, opening: Opening) -> Waiting:
        now = opening.arrived_at
        route = packets.get_flow_route(opening.flow)
        caller = packets.get_flow_caller(opening.flow)
        # An OPEN states no times; its bound is one of the wait alone.
        if opening.deadline_at == math.inf:
            end_at = now + UNTIMED_WAIT_S
            return Waiting(opening, route, caller, end_at, end_at, end_at)
        work_s = self._times.estimate_mean_s(route, now) or 0.0
        latest_at = opening.deadline_at - work_s
        share_s = (opening.deadline_at - now) / MAX_ATTEMPTS
        end_at = min(now + MAX_TIMED_WAIT_S, now + share_s, latest_at)
        return Waiting(opening, route, caller, end_at, latest_at, opening.objective_at)

    def _get_work_s(self, route: bytes, now: float) -> float:
        # A time of zero would let a route take any share.
        return self._times.estimate_mean_s(route, now) or DEFAULT_WORK_S

    def _find_shares(self, opening: Opening) -> tuple[RouteShare, SiteShare]:
        key = packets.get_flow_route(opening.flow)
        route = self._routes.get(key)
        if route is None:
            forget_idle(self._routes)
            route = self._routes[key] = RouteShare()
        route.weight = 0.5 ** min(opening.priority, MAX_PRIORITY_STEPS)
        data_centre = self._get_data_centre(opening.front)
        site = route.sites.get(data_centre)
        if site is None:
            forget_idle(route.sites)
            site = route.sites[data_centre] = SiteShare()
        return route, site

    def _sort(
        self,
        items: Iterable[Waiting],
        work_s: float,
        served_s: dict[bytes, float],
        now: float,
    ) -> list[Waiting]:
        """Sort the openings of one party into their order of dispatch.

        Each opening counts as served for those of its caller that follow it, which
        `served_s` records.
        """
        ranked = []
        newest = sorted(items, key=lambda each: -each.objective_at)
        for item in newest:
            total_s = served_s.get(item.caller)
            if total_s is None:
                total_s = self._callers.get_served_s(item.caller, now)
            served_s[item.caller] = total_s + work_s
            ranked.append((compute_level(total_s, work_s), item))
        ranked.sort(key=lambda each: each[0])
        return [item for _, item in ranked]

    def _displace(self, now: float) -> Opening:
        """Remove and return the last opening of the longest queue for its weight."""

        def get_length(party: Party) -> float:
            return (len(party.in_time) + len(party.late)) / party.route.weight

        longest = max(self._list_parties(now), key=get_length)
        items = longest.late or longest.in_time
        last = self._sort(items, longest.work_s, {}, now)[-1]
        self._remove(last.opening.flow)
        return last.opening

    def _remove(self, flow: bytes) -> None:
        site = self._sites.pop(flow, None)
        if site is not None:
            del site.waiting[flow]

    def _iterate_items(self) -> Iterator[Waiting]:
        """Yield the openings that wait, the oldest first."""
        for flow, site in self._sites.items():
            yield site.waiting[flow]


__all__ = ["MAX_TIMED_WAIT_S", "UNTIMED_WAIT_S", "FairQueue"]
