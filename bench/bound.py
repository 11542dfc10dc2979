"""Best service that is possible after a loss of all power, by a replay of callers.

One scheduler knows every request, its age and whether its caller still waits. It has
all hosts from the moment at which they and the nodes run. What is lost in this replay
cannot be had by decisions; the difference to a measured day can.

Assumptions: requests arrive at random at a constant rate; work is log-normal; a host
works on one request at a time and is slower during its cold start; requests that wait
are repeated as soon as the nodes run, those that must not be repeated fail.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from balsamstream.flows.delay import COLD_SLOWDOWN

if TYPE_CHECKING:
    from collections.abc import Iterator

COLD_S: Final = 2.0
HANDSHAKE_S: Final = 0.01
"""Reset, new opening and its acknowledgement."""
SPREAD: Final = 0.5
LATE_WORTH: Final = 0.3
WINDOW_S: Final = 2.0
SEEDS: Final = 20
MARGIN_S: Final = 6.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes
    ----------
    share : float
        Share of all requests.
    objective_s, deadline_s, work_s : float
        Objective, deadline and mean work, in seconds.
    worth : float
        Worth of an answer within the objective.
    is_repeatable : bool
        Whether the caller may repeat it.
    """

    share: float
    objective_s: float
    deadline_s: float
    work_s: float
    worth: float = 1.0
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Outage:
    """A loss of power and what serves after it.

    Attributes
    ----------
    name : str
        Name of the case.
    down_s : float
        Time until nodes and hosts run, in seconds.
    per_s : float
        Requests a second.
    hosts : int
        Hosts that serve them.
    kinds : tuple of Kind
        Kinds of request.
    """

    name: str
    down_s: float
    per_s: float
    hosts: int
    kinds: tuple[Kind, ...]


@dataclass(slots=True, eq=False)
class Request:
    """A request and its outcome."""

    kind: Kind
    sent_at: float
    work_s: float
    heard_at: float = math.inf
    worth: float = 0.0

    def compute_worth(self, end_at: float) -> float:
        """Return the worth of an answer at a time, in seconds."""
        if end_at > self.sent_at + self.kind.deadline_s:
            return 0.0
        if end_at > self.sent_at + self.kind.objective_s:
            return self.kind.worth * LATE_WORTH
        return self.kind.worth


def draw_requests(outage: Outage, seed: int) -> list[Request]:
    """Draw the requests from the loss of power on, in order of their arrival."""
    source = random.Random(seed)
    weights = [kind.share for kind in outage.kinds]
    requests = []
    now = 0.0
    while now < outage.down_s + MARGIN_S:
        now += source.expovariate(outage.per_s)
        (kind,) = source.choices(outage.kinds, weights)
        scale = math.exp(-(SPREAD**2) / 2)
        work_s = kind.work_s * scale * source.lognormvariate(0.0, SPREAD)
        request = Request(kind, now, work_s)
        request.heard_at = compute_heard(outage, request)
        requests.append(request)
    return requests


def compute_heard(outage: Outage, request: Request) -> float:
    """Return when the system can first begin a request; infinity for never."""
    if request.sent_at >= outage.down_s:
        return request.sent_at
    if not request.kind.is_repeatable:
        return math.inf
    return outage.down_s + HANDSHAKE_S


def serve(outage: Outage, requests: list[Request]) -> None:
    """Serve requests by their worth, the youngest first; set the worth of each."""
    free = [outage.down_s] * outage.hosts
    coming = sorted(requests, key=lambda each: -each.heard_at)
    waiting: list[Request] = []
    while coming or waiting:
        now = heapq.heappop(free)
        while coming and coming[-1].heard_at <= now:
            waiting.append(coming.pop())
        if not waiting:
            if not coming or math.isinf(coming[-1].heard_at):
                return
            heapq.heappush(free, coming[-1].heard_at)
            continue
        heapq.heappush(free, _serve_best(outage, waiting, now))


def _serve_best(outage: Outage, waiting: list[Request], now: float) -> float:
    """Serve the request with the most worth; return when its host is free."""
    is_cold = now < outage.down_s + COLD_S
    factor = COLD_SLOWDOWN if is_cold else 1.0

    def rate(request: Request) -> tuple[float, float]:
        worth = request.compute_worth(now + request.work_s * factor)
        return worth, request.sent_at

    best = max(waiting, key=rate)
    waiting.remove(best)
    best.worth = rate(best)[0]
    return now + best.work_s * factor if best.worth else now


def compute_windows(outage: Outage, first_seed: int = 0) -> list[float]:
    """Return the share of the worth in each two seconds from the loss of power on."""
    earned: dict[int, float] = {}
    owed: dict[int, float] = {}
    for seed in range(first_seed, first_seed + SEEDS):
        requests = draw_requests(outage, seed)
        serve(outage, requests)
        for request in requests:
            window = int(request.sent_at / WINDOW_S)
            earned[window] = earned.get(window, 0.0) + request.worth
            owed[window] = owed.get(window, 0.0) + request.kind.worth
    return [round(earned[key] / owed[key], 3) for key in sorted(owed)][:3]


KINDS: Final = (
    Kind(0.73, 0.1, 1.5, 0.015),
    Kind(0.21, 0.12, 2.0, 0.02, worth=2.0, is_repeatable=False),
    Kind(0.06, 0.5, 8.0, 0.005),
)
CASES: Final = (
    Outage("1.5 s without power, nodes at once", 1.5, 190.0, 9, KINDS),
    Outage("1.5 s without power, nodes after 0.3 s", 1.8, 190.0, 9, KINDS),
    Outage("0.73 s without power, nodes at once", 0.73, 145.0, 9, KINDS),
    Outage("0.73 s without power, nodes after 0.3 s", 1.03, 145.0, 9, KINDS),
)


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Yield the result of each case."""
    for outage in CASES:
        windows = compute_windows(outage, seed)
        yield {"case": "bound", "outage": outage.name, "windows": windows}


__all__ = ["CASES", "Kind", "Outage", "compute_windows", "measure"]
