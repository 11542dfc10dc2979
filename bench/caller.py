"""Callers that send requests, repeat them and come back after a refusal."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from balsamstream.core.identity import Address, FlowKey
from balsamstream.core.routing import compute_flow_key

from .backend import BackendConfig, BackendServer
from .events import EventQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from .deployment import Deployment

REPEAT_AFTER_S: Final = 2.0
"""RFC 7252 ACK_TIMEOUT."""

MOST_SENDS: Final = 4
FABRIC_NOTICE_S: Final = 1.0
"""Time in which the fabric still hands datagrams to a balancer that died."""


@dataclass(slots=True)
class Caller:
    """One flow as its caller and the backend servers know it."""

    number: int
    address: Address
    flow: FlowKey
    home: tuple[str, int] | None = None
    is_given_up: bool = False


@dataclass(slots=True)
class Request:
    """One request over all its copies."""

    number: int
    caller: Caller
    began: float
    sends: int = 0
    is_done: bool = False
    running_on: tuple[str, int] | None = None


@dataclass(slots=True)
class Tally:
    """What became of requests and flows.

    Parameters
    ----------
    broken : int
        Flows served by another run of a backend server than the one that held them,
        although that one still ran.
    lost : int
        Flows whose backend server died or restarted.
    given_up : int
        Flows that ended in a data centre that operators took out.
    """

    asked: int = 0
    answered: int = 0
    refused: int = 0
    may_have_run: int = 0
    unanswered: int = 0
    broken: int = 0
    lost: int = 0
    given_up: int = 0
    latencies: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class Site:
    """Callers and backend servers; subclasses carry requests between them.

    Parameters
    ----------
    mean_s : float
        Mean time that a backend server needs for a request.
    """

    def __init__(
        self, deployment: Deployment, seed: int, mean_s: float, warm: bool = True
    ) -> None:
        self.deployment = deployment
        self.queue = EventQueue()
        self.random = Random(seed)
        self.mean_s = mean_s
        self.tally = Tally()
        self.backends: dict[str, BackendServer] = {}
        self.entries: list[str] = []
        self.callers: list[Caller] = []
        self.requests: dict[int, Request] = {}
        self.out: set[str] = set()
        self._number = 0
        for number in range(deployment.hosts):
            self.add_backend(f"{deployment.service}-{number}", number, warm)

    def add_backend(self, name: str, number: int, warm: bool) -> BackendServer:
        """Add a backend server."""
        deployment = self.deployment
        in_flight = deployment.profile["in_flight_per_slot"] * deployment.slots
        data_centre = deployment.choose_data_centre(number)
        config = BackendConfig(
            name, data_centre, deployment.slots, self.mean_s, in_flight
        )
        seeded = Random(self.random.random())
        self.backends[name] = BackendServer(config, self.queue, seeded, warm)
        return self.backends[name]

    def add_caller(self) -> Caller:
        """Add a caller with an address of its own."""
        number = len(self.callers)
        ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        address = Address(ip, self.random.randrange(1_024, 65_536))
        flow = compute_flow_key(self.deployment.service, address)
        caller = Caller(number, address, flow)
        self.callers.append(caller)
        return caller

    def ask(self, caller: Caller) -> Request:
        """Have a caller send a new request."""
        self._number += 1
        self.tally.asked += 1
        request = Request(self._number, caller, self.queue.now)
        self.requests[request.number] = request
        self._send(request)
        return request

    def ask_all(self, seconds: float) -> None:
        """Have every caller send one request, spread over a time."""
        for caller in self.callers:
            if not caller.is_given_up:
                delay_s = self.random.uniform(0.0, seconds)
                self.queue.call_after(delay_s, self.ask, caller)
        self.queue.run_for(seconds)

    def open_flows(self, flows: int, seconds: float) -> None:
        """Open flows at an even rate, each with one request."""
        for number in range(flows):
            caller = self.add_caller()
            self.queue.call_after(number * seconds / flows, self.ask, caller)
        self.queue.run_for(seconds)

    def keep_asking(self, rate: float, seconds: float) -> None:
        """Have random callers send requests at a rate, as a Poisson process."""
        at = self.random.expovariate(rate)
        while at < seconds:
            caller = self.random.choice(self.callers)
            self.queue.call_after(at, self.ask, caller)
            at += self.random.expovariate(rate)

    def start_fittings(self, rate: float, seconds: float) -> None:
        """Open a new flow for each request, at a rate, as a Poisson process."""
        at = self.random.expovariate(rate)
        while at < seconds:
            self.queue.call_after(at, self.ask, self.add_caller())
            at += self.random.expovariate(rate)

    def enter(self, entry: str, request: Request) -> None:
        """Take a caller's datagram in at a balancer."""
        raise NotImplementedError

    def give(
        self, backend: BackendServer, request: Request, reply: Callable[[], None]
    ) -> None:
        """Give a request to a backend server and note whose flow it is now."""
        run = (backend.name, backend.runs)
        if request.running_on == run:
            return
        request.running_on = run

        def finish() -> None:
            request.running_on = None
            reply()

        caller = request.caller
        if caller.home is not None and caller.home != run:
            self._note_moved(caller)
        caller.home = run
        backend.take(caller.flow, finish)

    def finish(self, request: Request) -> None:
        """Note an answer that reached its caller."""
        if request.is_done:
            return
        self._close(request)
        self.tally.answered += 1
        self.tally.latencies.append(self.queue.now - request.began)

    def refuse(self, request: Request, retry_after_s: float | None) -> None:
        """Note a refusal; the caller comes back when it was told to."""
        if request.is_done:
            return
        self._close(request)
        if retry_after_s is None:
            self.tally.may_have_run += 1
            return
        self.tally.refused += 1
        self.queue.call_after(retry_after_s, self._come_back, request.caller)

    def _come_back(self, caller: Caller) -> None:
        if not caller.is_given_up:
            self.ask(caller)

    def _close(self, request: Request) -> None:
        request.is_done = True
        self.requests.pop(request.number, None)

    def _send(self, request: Request) -> None:
        if request.is_done:
            return
        if request.sends >= MOST_SENDS:
            self._close(request)
            self.tally.unanswered += 1
            return
        request.sends += 1
        if self.entries:
            entry = self.random.choice(self.entries)
            self.queue.call_after(self.deployment.caller_s, self.enter, entry, request)
        self.queue.call_after(REPEAT_AFTER_S, self._send, request)

    def _note_moved(self, caller: Caller) -> None:
        assert caller.home is not None
        name, run = caller.home
        held = self.backends.get(name)
        if held is None or held.runs != run or not held.is_up:
            self.tally.lost += 1
            return
        if held.config.data_centre in self.out:
            self.tally.given_up += 1
            return
        self.tally.broken += 1


__all__ = ["FABRIC_NOTICE_S", "Caller", "Request", "Site", "Tally"]
