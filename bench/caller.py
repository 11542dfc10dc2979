"""Simulated callers, which retransmit requests and retry after a refusal."""

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

MAX_TRANSMISSIONS: Final = 4
FABRIC_DETECTION_S: Final = 1.0
"""Time until the fabric stops sending datagrams to a failed balancer."""


@dataclass(slots=True)
class Caller:
    """A caller with its flow.

    Parameters
    ----------
    holder : tuple of str and int
        Name and run number of the backend server that last served the flow, or None.
    """

    number: int
    address: Address
    flow: FlowKey
    holder: tuple[str, int] | None = None
    is_given_up: bool = False


@dataclass(slots=True)
class Request:
    """A request and the state of all its copies."""

    number: int
    caller: Caller
    started_at: float
    transmissions: int = 0
    is_done: bool = False
    running_on: tuple[str, int] | None = None


@dataclass(slots=True)
class Tally:
    """Counts of the outcomes of requests and flows.

    Parameters
    ----------
    broken : int
        Flows that moved to another backend server, or another run of it, although the
        one that held them was still running.
    lost : int
        Flows whose backend server failed or restarted.
    given_up : int
        Flows that were held in an evacuated data centre.
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
        Mean processing time of a request, in seconds.
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
        self.evacuated: set[str] = set()
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
        """Add a caller with a new address."""
        number = len(self.callers)
        ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        address = Address(ip, self.random.randrange(1_024, 65_536))
        flow = compute_flow_key(self.deployment.service, address)
        caller = Caller(number, address, flow)
        self.callers.append(caller)
        return caller

    def send_request(self, caller: Caller) -> Request:
        """Send a new request of a caller."""
        self._number += 1
        self.tally.asked += 1
        request = Request(self._number, caller, self.queue.now)
        self.requests[request.number] = request
        self._send(request)
        return request

    def send_from_all(self, seconds: float) -> None:
        """Send one request of every caller, at random times within a period."""
        for caller in self.callers:
            if not caller.is_given_up:
                delay_s = self.random.uniform(0.0, seconds)
                self.queue.call_after(delay_s, self.send_request, caller)
        self.queue.run_for(seconds)

    def open_flows(self, flows: int, seconds: float) -> None:
        """Open flows at a constant rate, each with one request."""
        for number in range(flows):
            caller = self.add_caller()
            self.queue.call_after(number * seconds / flows, self.send_request, caller)
        self.queue.run_for(seconds)

    def send_at_rate(self, rate: float, seconds: float) -> None:
        """Schedule requests of random callers as a Poisson process of a rate."""
        at = self.random.expovariate(rate)
        while at < seconds:
            caller = self.random.choice(self.callers)
            self.queue.call_after(at, self.send_request, caller)
            at += self.random.expovariate(rate)

    def start_fittings(self, rate: float, seconds: float) -> None:
        """Schedule requests on new flows as a Poisson process of a rate."""
        at = self.random.expovariate(rate)
        while at < seconds:
            self.queue.call_after(at, self.send_request, self.add_caller())
            at += self.random.expovariate(rate)

    def handle_caller_datagram(self, entry: str, request: Request) -> None:
        """Handle a caller's datagram that arrives at a balancer."""
        raise NotImplementedError

    def deliver_request(
        self, backend: BackendServer, request: Request, reply: Callable[[], None]
    ) -> None:
        """Deliver a request to a backend server and record it as holder of the flow."""
        run = (backend.name, backend.runs)
        if request.running_on == run:
            return
        request.running_on = run

        def finish() -> None:
            request.running_on = None
            reply()

        caller = request.caller
        if caller.holder is not None and caller.holder != run:
            self._count_moved_flow(caller)
        caller.holder = run
        backend.handle_request(caller.flow, finish)

    def handle_answer(self, request: Request) -> None:
        """Record an answer that reached its caller."""
        if request.is_done:
            return
        self._close(request)
        self.tally.answered += 1
        self.tally.latencies.append(self.queue.now - request.started_at)

    def handle_refusal(self, request: Request, retry_after_s: float | None) -> None:
        """Record a refusal; the caller retries after the time that it names."""
        if request.is_done:
            return
        self._close(request)
        if retry_after_s is None:
            self.tally.may_have_run += 1
            return
        self.tally.refused += 1
        self.queue.call_after(retry_after_s, self._retry, request.caller)

    def _retry(self, caller: Caller) -> None:
        if not caller.is_given_up:
            self.send_request(caller)

    def _close(self, request: Request) -> None:
        request.is_done = True
        self.requests.pop(request.number, None)

    def _send(self, request: Request) -> None:
        if request.is_done:
            return
        if request.transmissions >= MAX_TRANSMISSIONS:
            self._close(request)
            self.tally.unanswered += 1
            return
        request.transmissions += 1
        if self.entries:
            entry = self.random.choice(self.entries)
            self.queue.call_after(
                self.deployment.caller_s, self.handle_caller_datagram, entry, request
            )
        self.queue.call_after(REPEAT_AFTER_S, self._send, request)

    def _count_moved_flow(self, caller: Caller) -> None:
        assert caller.holder is not None
        name, run = caller.holder
        held = self.backends.get(name)
        if held is None or held.runs != run or not held.is_up:
            self.tally.lost += 1
            return
        if held.config.data_centre in self.evacuated:
            self.tally.given_up += 1
            return
        self.tally.broken += 1


__all__ = ["FABRIC_DETECTION_S", "Caller", "Request", "Site", "Tally"]
