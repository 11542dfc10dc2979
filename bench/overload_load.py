"""Loads that the overload case replays: who sends which requests when, and what fails.

The requests of a load are drawn before its replay, so they are the same under every
policy.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.flows.desired_state import DesiredState, Route, ServiceRules, Share
from balsamstream.platform import packets

if TYPE_CHECKING:
    from collections.abc import Callable

    from .overload_site import Site

SERVICE: Final = "comptoir"
COLD_S: Final = 2.0
IDLE_S: Final = 15.0
WORK_SPREAD: Final = 0.3
"""Greatest relative difference of a request's work from the mean of its kind."""
LONG_FACTOR: Final = 7.0
KEPT_FLOWS: Final = 0.7
"""Share of the answers after which the caller uses the flow again."""
WAVE_S: Final = 6.0
GREEDY_FACTOR: Final = 10.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes
    ----------
    address : tuple of str and int
        Address and port of the route.
    route : Route
        The route.
    work_s : float
        Mean work of a request, in seconds.
    share : float
        Share of all requests, 0 to 1.
    """

    address: tuple[str, int]
    route: Route
    work_s: float
    share: float


@dataclass(slots=True, eq=False)
class Request:
    """A request of a caller and its outcome.

    Attributes
    ----------
    number, caller : int
        Index of the request, and of its caller.
    started_at : float
        Time of the first attempt, in seconds after the start of the load.
    work_s : float
        Work at a host, in seconds.
    keeps_flow : bool
        Whether the caller uses the flow again after the answer.
    sent_at : float
        Time of the first attempt on the site's clock, in seconds.
    attempts, runs : int
        Attempts of the caller, and times that a host has begun to work on it.
    is_done : bool
        Whether it was answered, has failed or was given up.
    answered_s : float or None
        Time from the first attempt to the answer, in seconds; None without an answer.
    """

    number: int
    caller: int
    kind: Kind
    started_at: float
    work_s: float
    keeps_flow: bool
    sent_at: float = 0.0
    attempts: int = 0
    runs: int = 0
    is_done: bool = False
    answered_s: float | None = None

    def finish(self, answered_s: float | None) -> None:
        """Record the outcome, unless there is one."""
        if not self.is_done:
            self.is_done = True
            self.answered_s = answered_s

    @property
    def is_within_objective(self) -> bool:
        """Whether the answer came within the route's objective."""
        objective_s = self.kind.route.objective_s
        return self.answered_s is not None and self.answered_s <= objective_s


def build_kind(
    number: int, name: str, priority: int, work_s: float, limits: tuple[float, float]
) -> Kind:
    """Build a kind of request; `limits` are its objective and deadline, in seconds."""
    shares = (Share(SERVICE, 1.0),)
    route = Route(name, shares, priority, True, limits[1], limits[0])
    return Kind((f"198.18.0.{number}", 443), route, work_s, 0.5)


KINDS: Final = (
    build_kind(1, "orders", 1, 0.019, (0.23, 0.9)),
    build_kind(2, "reports", 1, 0.029, (1.0, 7.5)),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A deployment, the demand of its callers and what fails.

    Attributes
    ----------
    name : str
        Name of the load in the results.
    utilisation : float
        Work that arrives without bursts over the capacity of all hosts.
    hosts, fronts, callers, data_centres : int
        Size; all are spread over the data centres.
    delay_s : float
        Delay of a message between two data centres, in seconds.
    length_s : float
        Time during which requests arrive, in seconds.
    burst : tuple of float
        Start and end of a burst of the first kind, in seconds, and its factor.
    wave : float
        Relative amplitude of the demand of each data centre, out of phase.
    long_share : float
        Share of the requests with `LONG_FACTOR` times the work.
    is_one_greedy : bool
        Whether the first caller sends `GREEDY_FACTOR` times as much as the others.
    disturb : callable or None
        Schedules what fails, with the load's start as time 0.
    """

    name: str
    utilisation: float
    hosts: int = 35
    fronts: int = 6
    callers: int = 24
    data_centres: int = 3
    delay_s: float = 0.001
    length_s: float = 8.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    wave: float = 0.0
    long_share: float = 0.0
    is_one_greedy: bool = False
    disturb: Callable[[Site], None] | None = None

    def build_desired_state(self) -> DesiredState:
        """Build the desired state with a route for each kind."""
        routes = {packets.pack_route(*kind.address): kind.route for kind in KINDS}
        return DesiredState(1, routes, {SERVICE: ServiceRules(0, COLD_S, 0.0)}, IDLE_S)

    def draw_requests(self, seed: int) -> list[Request]:
        """Draw the requests of a seed, in the order of their times."""
        source = random.Random(f"{self.name}-{seed}")
        starts = []
        for caller in range(self.callers):
            for kind in KINDS:
                starts += self._draw_starts(source, caller, kind)
        starts.sort(key=lambda start: start[0])
        return [
            Request(
                number,
                caller,
                kind,
                at,
                self._draw_work(source, kind),
                source.random() < KEPT_FLOWS,
            )
            for number, (at, caller, kind) in enumerate(starts)
        ]

    def _draw_starts(
        self, source: random.Random, caller: int, kind: Kind
    ) -> list[tuple[float, int, Kind]]:
        """Draw the starts of a caller's requests by thinning a Poisson process."""
        is_greedy = self.is_one_greedy and caller == 0
        weight = GREEDY_FACTOR if is_greedy else 1.0
        total_weight = self.callers + (GREEDY_FACTOR - 1.0) * self.is_one_greedy
        mean_work_s = sum(each.work_s * each.share for each in KINDS)
        mean_work_s *= 1.0 + self.long_share * (LONG_FACTOR - 1.0)
        rate = self.utilisation * self.hosts / mean_work_s * kind.share
        rate *= weight / total_weight
        max_factor = (1.0 + self.wave) * self.burst[2]
        starts = []
        at = source.expovariate(rate * max_factor)
        while at < self.length_s:
            factor = self._compute_factor(at, caller % self.data_centres, kind)
            if source.random() * max_factor < factor:
                starts.append((at, caller, kind))
            at += source.expovariate(rate * max_factor)
        return starts

    def _compute_factor(self, at: float, data_centre: int, kind: Kind) -> float:
        phase = at / WAVE_S + data_centre / self.data_centres
        factor = 1.0 + self.wave * math.sin(2.0 * math.pi * phase)
        start, end, burst = self.burst
        return factor * burst if kind is KINDS[0] and start <= at < end else factor

    def _draw_work(self, source: random.Random, kind: Kind) -> float:
        work_s = kind.work_s * source.uniform(1.0 - WORK_SPREAD, 1.0 + WORK_SPREAD)
        return work_s * (LONG_FACTOR if source.random() < self.long_share else 1.0)


def evacuate(site: Site) -> None:
    """Evacuate a data centre and return it to service."""
    site.queue.call_after(2.0, site.evacuate, site.data_centres[0])
    site.queue.call_after(6.0, site.evacuate)


def restart_hosts(site: Site) -> None:
    """Stop all hosts and start them 2 s later, cold."""
    for gate in site.gates:
        site.queue.call_after(2.0, gate.stop_host)
        site.queue.call_after(4.0, gate.start_host)


def flap_hosts(site: Site) -> None:
    """Stop and start 20 hosts again and again, out of phase."""
    for number, gate in enumerate(site.gates[:20]):
        for cycle in range(4):
            at_s = number * 0.1 + cycle * 2.0
            site.queue.call_after(at_s, gate.stop_host)
            site.queue.call_after(at_s + 0.5, gate.start_host)


def mix_speeds(site: Site) -> None:
    """Make a third of the hosts twice as slow."""
    for gate in site.gates[::3]:
        gate.slowness = 2.0


def slow_one(site: Site) -> None:
    """Make a host five times slower."""
    site.gates[0].slowness = 5.0


def fail_one(site: Site) -> None:
    """Make a host answer each request with a failure within 1 ms."""
    site.gates[0].failing_share = 1.0


def fail_half(site: Site) -> None:
    """Make a host fail half of its requests."""
    site.gates[0].failing_share = 0.5


def reset_all(site: Site) -> None:
    """Make a host that reports that it is ready reset each request."""
    site.gates[0].failing_share = 1.0
    site.gates[0].resets = True


LOADS: Final = (
    Load("burst", 0.6, burst=(3.0, 4.5, 4.0)),
    Load("return", 0.6, disturb=restart_hosts),
    Load("sustained", 1.5),
    Load("greedy caller", 1.2, is_one_greedy=True),
    Load("evacuation", 0.9, disturb=evacuate),
    Load("waves", 0.9, 34, 8, 24, 4, 0.0039, wave=0.55, long_share=0.03),
    Load("mixed speeds", 0.75, 34, 8, 24, 4, 0.0039, disturb=mix_speeds),
    Load("slow host", 0.6, 11, 3, disturb=slow_one),
    Load("fast failures", 0.6, 11, 3, disturb=fail_one),
    Load("half failures", 0.6, 11, 3, disturb=fail_half),
    Load("resets", 0.6, 11, 3, disturb=reset_all),
    Load("long requests", 0.6, 11, 3, long_share=0.03),
    Load("flapping", 0.6, 34, 8, 24, 4, 0.0039, disturb=flap_hosts),
)

__all__ = ["COLD_S", "LOADS", "SERVICE", "Kind", "Load", "Request"]
