"""Callers, fronts and a host around one gate, replayed on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.messages import (
    OPEN_HEADER,
    TIMED_DECLINED_HEADER,
    TIMED_OPEN_HEADER,
    Hello,
    Kind,
    clamp_ms,
    compute_route_tag,
    compute_service_tag,
    encode_control,
)
from balsamstream.platform import packets
from standins.flow_host import ACK, SYN, Packet, decode
from tests.flows.deployment import RecordedEvents, to_number

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.flows.load_policy import LoadPolicy

SERVICE = "comptoir"
TICK_S = 0.02
LINK_S = 0.001
COPIES_S = (0.2, 0.6)
ATTEMPT_S = 1.4
ATTEMPTS = 3
HOST_QUEUE = 8
START_S = 100.0
HEARTBEAT_S = 1.0
FRONTS = {"10.1.0.1": "medina", "10.2.0.1": "kasbah"}


@dataclass(frozen=True)
class RouteLoad:
    """A route and the requests that come on it.

    Attributes
    ----------
    port : int
        Port of the route.
    work_s, objective_s, deadline_s : float
        Work, objective and deadline of a request, in seconds.
    priority : int
        Priority of the route.
    """

    port: int = 443
    work_s: float = 0.025
    objective_s: float = 0.25
    deadline_s: float = 2.0
    priority: int = 1


@dataclass
class Request:
    """A request of a caller and its outcome.

    Attributes
    ----------
    at : float
        Time of the first attempt, in seconds.
    route : RouteLoad
        Route of the request.
    caller, front : str
        Addresses of the caller and of the front that it reaches.
    attempts : int
        Flows opened for it.
    answered_s : float or None
        Time until the answer, or None without one.
    failed_s : float or None
        Time until the caller was refused for the last time.
    """

    at: float
    route: RouteLoad
    caller: str
    front: str
    attempts: int = 0
    answered_s: float | None = None
    failed_s: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within the objective."""
        return self.answered_s is not None and self.answered_s <= self.route.objective_s

    @property
    def worth(self) -> float:
        """1 for an answer within the objective, 0.3 for a later one."""
        if self.answered_s is None:
            return 0.0
        return 1.0 if self.is_in_time else 0.3


@dataclass
class Attempt:
    """One flow of a request."""

    request: Request
    port: int
    is_over: bool = False
    is_open: bool = False


@dataclass
class Replay:
    """One gate with its host, and the callers of a load.

    Attributes
    ----------
    policy : LoadPolicy
        Decisions of the gate; openings are timed only if it decides by deadline.
    slots : int
        Slots of the host.
    cold_until : float
        Time until which the host is 1.6 times slower.
    long_share : float
        Share of the requests that take seven times as long.
    is_timed : bool
        Whether the fronts send timed openings.
    seed : int
        Seed of the arrival times.
    idle_declines : int
        Openings declined while a slot was idle.
    messages : list of bytes
        Messages of the gate to fronts.
    """

    policy: LoadPolicy
    slots: int = 1
    cold_until: float = 0.0
    long_share: float = 0.0
    is_timed: bool = True
    seed: int = 7
    messages: list[bytes] = field(default_factory=list)
    events: RecordedEvents = field(default_factory=RecordedEvents)
    requests: list[Request] = field(default_factory=list)
    idle_declines: int = 0
    running: int = 0

    def __post_init__(self) -> None:
        self.now = START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._ports = itertools.count()
        self._random = random.Random(self.seed)
        self._attempts: dict[bytes, Attempt] = {}
        self._queue: deque[Packet] = deque()
        self._is_running = False
        self.incarnation = 1
        self.start_gate()

    def start_gate(self) -> None:
        """Start the gate's process without any state."""
        self.gate = Gate(
            self,
            self.events,
            ip="10.1.0.9",
            service=SERVICE,
            data_centre="medina",
            incarnation=self.incarnation,
            heartbeat_s=HEARTBEAT_S,
            policy=self.policy,
            now=self.now,
        )
        self._send_heartbeat()
        self._send_hellos()

    def restart_host(self) -> None:
        """Restart the host, which loses its flows and its queue."""
        self.incarnation += 1
        self.running = 0
        self._queue.clear()
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        heartbeat = Heartbeat(
            "h",
            self.incarnation,
            max(1, int(self.now * 10)),
            SERVICE,
            "medina",
            HostState.READY,
            self.slots,
            0.0,
        )
        self.gate.handle_heartbeat(heartbeat, self.now)

    def _send_hellos(self) -> None:
        for ip, data_centre in FRONTS.items():
            hello = Hello(
                data_centre, False, False, False, 0, 0, 0, [], "", 0.0, 0.0, 0, [], 2
            )
            self.gate.handle_message(encode_control(hello), ip, self.now)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        entry = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def add_stream(
        self,
        route: RouteLoad,
        per_s: float,
        *,
        start_s: float = 0.0,
        length_s: float,
        callers: int = 50,
        prefix: str = "100.64.0",
        front: str = "10.1.0.1",
    ) -> None:
        """Add requests at random times from callers of equal rate."""
        at_s = start_s
        while True:
            at_s += self._random.expovariate(per_s)
            if at_s > start_s + length_s:
                return
            caller = f"{prefix}.{1 + self._random.randrange(callers)}"
            self.add_request(route, at_s, caller, front)

    def add_request(
        self,
        route: RouteLoad,
        at_s: float,
        caller: str,
        front: str = "10.1.0.1",
        age_s: float = 0.0,
    ) -> Request:
        """Add one request; its first attempt was an age before."""
        request = Request(START_S + at_s - age_s, route, caller, front)
        self.requests.append(request)
        self.schedule(START_S + at_s - self.now, lambda: self._attempt(request))
        return request

    def run(self, length_s: float) -> None:
        """Run to the end of a time after the start."""
        end = START_S + length_s
        if not self._is_running:
            self._is_running = True
            self.schedule(0.0, self._tick)
            self.schedule(0.0, self._beat)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _tick(self) -> None:
        self.gate.tick(self.now)
        self.schedule(TICK_S, self._tick)

    def _beat(self) -> None:
        self._send_heartbeat()
        self._send_hellos()
        self.schedule(HEARTBEAT_S, self._beat)

    # Callers and fronts.

    def _attempt(self, request: Request) -> None:
        if request.attempts >= ATTEMPTS:
            request.failed_s = self.now - request.at
            return
        if self.now - request.at >= request.route.deadline_s:
            return
        request.attempts += 1
        number = next(self._ports)
        attempt = Attempt(request, 1_024 + number % 60_000)
        flow = packets.get_flow(self._build(attempt, SYN, seq=7).encode())
        self._attempts[flow] = attempt
        self._open(attempt, 0)
        for copy, delay_s in enumerate(COPIES_S, 1):
            self.schedule(delay_s, lambda copy=copy: self._open(attempt, copy))
        self.schedule(ATTEMPT_S, lambda: self._end_attempt(attempt))

    def _end_attempt(self, attempt: Attempt) -> None:
        if attempt.is_over or attempt.is_open:
            return
        attempt.is_over = True
        self._attempt(attempt.request)

    def _build(self, attempt: Attempt, flags: int, **more: Any) -> Packet:
        request = attempt.request
        source = (to_number(request.caller), attempt.port)
        target = (to_number("198.18.0.1"), request.route.port)
        return Packet(source, target, flags, **more)

    def _open(self, attempt: Attempt, copy: int) -> None:
        request = attempt.request
        if attempt.is_over or attempt.is_open:
            return
        packet = self._build(attempt, SYN, seq=7, ack=copy).encode()
        message = self._build_open(packet, request) + packet
        self.schedule(
            LINK_S, lambda: self.gate.handle_message(message, request.front, self.now)
        )

    def _build_open(self, packet: bytes, request: Request) -> bytes:
        route, tag = request.route, compute_service_tag(SERVICE)
        if not (self.policy.by_deadline and self.is_timed):
            return OPEN_HEADER.pack(Kind.OPEN, tag, route.priority)
        return TIMED_OPEN_HEADER.pack(
            Kind.TIMED_OPEN,
            tag,
            route.priority,
            compute_route_tag(packets.get_route(packet)),
            clamp_ms(request.at + route.objective_s - self.now),
            clamp_ms(request.at + route.deadline_s - self.now),
        )

    def send_to_node(self, _ip: str, message: bytes) -> None:
        """Handle a message to a front."""
        self.messages.append(message)
        match message[0]:
            case Kind.DECLINED:
                packet = message[2:]
            case Kind.TIMED_DECLINED:
                packet = message[TIMED_DECLINED_HEADER.size :]
            case _:
                return
        if self.running < self.slots:
            self.idle_declines += 1
        attempt = self._attempts[packets.get_flow(packet)]
        self.schedule(LINK_S, lambda: self._end_attempt(attempt))

    def send_to_caller(self, packet: bytes) -> None:
        """Handle a packet to a caller."""
        attempt = self._attempts[packets.get_host_packet_flow(packet)]
        self.schedule(LINK_S, lambda: self._receive(attempt, decode(packet)))

    def _receive(self, attempt: Attempt, packet: Packet) -> None:
        if attempt.is_over:
            return
        request = attempt.request
        if packet.flags & SYN:
            if not attempt.is_open:
                attempt.is_open = True
                sent = self._build(
                    attempt, ACK, seq=8, ack=packet.seq + 1, data=b"request"
                )
                self._forward(sent, request.front)
            return
        if packet.data:
            attempt.is_over = True
            if self.now - request.at <= request.route.deadline_s:
                request.answered_s = self.now - request.at

    def _forward(self, packet: Packet, front: str) -> None:
        message = bytes((Kind.FORWARD,)) + packet.encode()
        self.schedule(
            LINK_S, lambda: self.gate.handle_message(message, front, self.now)
        )

    def handle_newer_era(self, era: int) -> None:
        """Ignore it."""

    # The host.

    def send_to_host(self, body: bytes) -> None:
        """Handle a packet at the host."""
        packet = decode(body)
        if packet.flags & SYN:
            self._answer(packet, SYN | ACK, b"")
        elif packet.data and len(self._queue) < HOST_QUEUE:
            self._queue.append(packet)
            self._start_next()

    def _start_next(self) -> None:
        if self.running >= self.slots or not self._queue:
            return
        packet = self._queue.popleft()
        self.running += 1
        self.schedule(self._get_work_s(packet), self._build_end(packet))

    def _build_end(self, packet: Packet) -> Callable[[], None]:
        incarnation = self.incarnation

        def end() -> None:
            if incarnation != self.incarnation:
                return
            self.running -= 1
            self._start_next()
            self._answer(packet, ACK, b"answer")

        return end

    def _get_work_s(self, packet: Packet) -> float:
        key = packets.get_flow(packet.encode())
        work_s = self._attempts[key].request.route.work_s
        if self.now < self.cold_until:
            work_s *= 1.6
        if self._random.random() < self.long_share:
            work_s *= 7.0
        return work_s

    def _answer(self, packet: Packet, flags: int, data: bytes) -> None:
        seq = 500 if flags & SYN else 501
        answer = Packet(
            packet.target, packet.source, flags, seq, packet.seq + 1, data
        ).encode()
        incarnation = self.incarnation

        def deliver() -> None:
            if incarnation == self.incarnation:
                self.gate.handle_host_packet(answer, self.now)

        self.schedule(0.0002, deliver)


def compute_worth(requests: list[Request]) -> float:
    """Return the mean worth of requests."""
    return sum(each.worth for each in requests) / len(requests)


def compute_answered(requests: list[Request]) -> float:
    """Return the share of requests that were answered before their deadline."""
    return sum(each.answered_s is not None for each in requests) / len(requests)


def compute_in_time(requests: list[Request]) -> float:
    """Return the share of requests that were answered within the objective."""
    return sum(each.is_in_time for each in requests) / len(requests)
