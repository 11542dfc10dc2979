"""Shares of a busy host that routes and data centres have, by start-time fair queuing.

Load pattern: a burst of one kind of request, or fronts of an evacuated data centre
beside local ones. Each party that waits gets its share of the slots whatever the others
send, and an unused share goes to the others. A party's next opening starts at the
virtual time at which its last one ended; the least start goes first.

Source: start-time fair queuing (Goyal, Vin and Cheng, 1996).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

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
Party = TypeVar("Party", RouteShare, SiteShare)


def merge_turns(
    queues: Iterable[tuple[Share, list[Waiting], float]], clock: float
) -> list[Waiting]:
    """Merge queues by the virtual times at which their openings start."""
    turns: list[tuple[tuple[float, float, float], Waiting]] = []
    for share, items, work_s in queues:
        start, weight, newest_at = share.get_turn(clock)
        step = work_s / share.weight
        for item in items:
            turns.append(((start, weight, newest_at), item))
            start += step
    turns.sort(key=lambda each: each[0])
    return [item for _, item in turns]


def forget_idle(shares: dict[Key, Party]) -> None:
    """Remove an idle party if there are too many; its past service is forgotten."""
    if len(shares) < MAX_SHARES:
        return
    idle = next((key for key, share in shares.items() if share.is_idle), None)
    if idle is not None:
        del shares[idle]


__all__ = [
    "RouteShare",
    "Share",
    "SiteShare",
    "Waiting",
    "forget_idle",
    "merge_turns",
]
