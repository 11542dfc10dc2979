"""Model of what a gate may deny that restarts beside a host.

The real `Gate` meets a host that crashes, leaves and starts again under the same name,
heartbeats and last messages that come at any time and again, late copies of an opening
packet, and checks whether anything listens at the host's address.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.messages import OPEN_HEADER, Kind, compute_service_tag
from balsamstream.platform import packets
from standins.flow_host import ACK, SYN, Packet

from .state import TransitionCache

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SERVICE: Final = "comptoir"
FRONT: Final = "10.1.0.1"
HOST: Final = "i-1"
CALLER: Final = (0x6440_0007, 40_001)
ROUTE: Final = (0xC612_0001, 443)
FIRST_SEQ: Final = 7
HEARD_AT: Final = 1.0
CHECKED_AT: Final = 2.0
"""Time of all checks, in seconds: after each heartbeat, as a check during which one
arrives proves nothing."""
MAX_STARTS: Final = 3
MAX_GATES: Final = 3
HEARTBEATS: Final = 2
LEAVE: Final = 0
"""Stands in place of the sequence number for the last message of a host."""
NO_GATE: Final = -1


@dataclass
class Transport:
    """Counts what a gate sends, and keeps no messages.

    Attributes
    ----------
    to_host : int
        Packets sent to the host.
    denials : int
        Messages to fronts that the host does not hold a flow.
    """

    to_host: int = 0
    denials: int = 0

    def send_to_host(self, packet: bytes) -> None:
        """Count a packet."""
        self.to_host += 1

    def send_to_caller(self, packet: bytes) -> None:
        """Ignore a packet."""

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Count a denial."""
        self.denials += message[0] in (Kind.STRAY, Kind.NOT_HELD)

    def handle_newer_era(self, era: int) -> None:
        """Ignore a restore of the store."""


@dataclass
class Silence:
    """Ignores all events."""

    def emit(self, event: str, **inputs: object) -> None:
        """Ignore an event."""

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Ignore a decision."""

    def count(self, name: str, amount: int = 1) -> None:
        """Ignore a count."""

    def observe_opening(self, seconds: float) -> None:
        """Ignore a time."""

    observe_waiting = observe_service = observe_opening
    observe_expected_wait = observe_answer = observe_opening


@dataclass
class GateProcess:
    """A gate with its transport."""

    transport: Transport = field(default_factory=Transport)
    gate: Gate = field(init=False)

    def __post_init__(self) -> None:
        self.gate = Gate(
            self.transport,
            Silence(),
            ip="10.1.0.11",
            service=SERVICE,
            data_centre="medina",
            incarnation=1,
            heartbeat_s=1.0,
            now=0.0,
        )

    def project(self) -> tuple[object, ...]:
        """Return what its decisions on the flow depend on."""
        host = self.gate._host._last_heartbeat
        older = self.gate._older_flows
        entry = self.gate._flows.get(FLOW)
        return (
            host and (host.incarnation, host.sequence, host.state),
            older._probes.has_seen_all_flows,
            FLOW in older._unsettled,
            entry and (entry.host_next_seq, entry.max_ack_ahead, entry.initial_seq),
            self.gate._dispatcher.find_dispatched(FLOW) is not None,
        )


class State(NamedTuple):
    """Global state.

    Attributes
    ----------
    host : int
        Incarnation of the host that runs, 0 for none.
    starts, gates : int
        Starts of the host and of the gate so far.
    gate : int
        Number of the gate's state, `NO_GATE` for none.
    holder : int
        Incarnation at which the flow has opened, 0 for none.
    sent : frozenset of tuple of int
        Messages of the host, by incarnation and sequence number.
    """

    host: int
    starts: int
    gates: int
    gate: int
    holder: int
    sent: frozenset[tuple[int, int]]


class OlderFlowsModel:
    """State space of one gate, one host and one flow."""

    name = "older flows: a gate restarts beside a host"
    bounds = (
        f"{MAX_STARTS} starts of the host, {MAX_GATES} of the gate, 1 flow, "
        f"{HEARTBEATS} heartbeats and a last message a start, each at any time and "
        "again, a check of the host's address and a copy of the opening packet at any "
        "time"
    )
    max_depth = 0

    def __init__(self) -> None:
        self._cache = TransitionCache(project=GateProcess.project)

    def start(self) -> State:
        """Return the state with a gate and no host."""
        return State(0, 0, 1, self._cache.number(GateProcess()), 0, frozenset())

    def describe(self, label: str) -> str:
        """Return a step as text for the trace."""
        return label

    def find_violation(self, state: State) -> str | None:
        """Return the property that a state violates, or None if it violates none."""
        if state.gate == NO_GATE or not state.holder or state.holder != state.host:
            return None
        message = _build_later_packet(state.holder)

        def forward(process: GateProcess) -> int:
            process.transport.denials = 0
            process.gate.handle_message(message, FRONT, HEARD_AT)
            return process.transport.denials

        key = ("later packet", state.holder)
        _, denials = self._cache.run(state.gate, key, forward)
        return "the gate denies a flow that its host holds" if denials else None

    def expand(self, state: State) -> Iterator[tuple[str, State]]:
        """Return each possible step and the state it leads to."""
        yield from self._change_host(state)
        yield from self._change_gate(state)
        if state.gate == NO_GATE:
            return
        for incarnation, sequence in sorted(state.sent):
            yield from self._deliver(state, incarnation, sequence)
        if not state.host:
            yield from self._act(state, "a connection is refused", _refuse_check)
            return
        if not state.holder:
            yield from self._open(state)
        else:
            for is_answered in (False, True):
                yield from self._copy(state, is_answered=is_answered)

    def _change_host(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.host:
            if state.starts < MAX_STARTS:
                started = state.starts + 1
                reached = state._replace(host=started, starts=started)
                yield f"host {started} starts", reached
            return
        yield f"host {state.host} crashes", state._replace(host=0)
        left = state.sent | {(state.host, LEAVE)}
        yield f"host {state.host} leaves", state._replace(host=0, sent=left)
        for sequence in range(1, HEARTBEATS + 1):
            message = (state.host, sequence)
            is_next = sequence == 1 or (state.host, sequence - 1) in state.sent
            if is_next and message not in state.sent:
                label = f"host {state.host} sends heartbeat {sequence}"
                yield label, state._replace(sent=state.sent | {message})

    def _change_gate(self, state: State) -> Iterator[tuple[str, State]]:
        if state.gate != NO_GATE:
            yield "the gate is killed", state._replace(gate=NO_GATE)
        elif state.gates < MAX_GATES:
            fresh = self._cache.number(GateProcess())
            reached = state._replace(gate=fresh, gates=state.gates + 1)
            yield "the gate starts", reached

    def _deliver(
        self, state: State, incarnation: int, sequence: int
    ) -> Iterator[tuple[str, State]]:
        def hear(process: GateProcess) -> None:
            if sequence == LEAVE:
                process.gate.handle_leave(HOST, HEARD_AT)
                return
            heartbeat = _build_heartbeat(incarnation, sequence)
            process.gate.handle_heartbeat(heartbeat, HEARD_AT)

        kind = "last message" if sequence == LEAVE else f"heartbeat {sequence}"
        yield from self._act(state, f"{kind} of host {incarnation} arrives", hear)

    def _open(self, state: State) -> Iterator[tuple[str, State]]:
        """Let the flow open at the host, if the gate lets its opening packet pass."""
        answer = _build_answer(state.host)
        later = _build_later_packet(state.host)

        def open_flow(process: GateProcess) -> bool:
            process.transport.to_host = 0
            process.gate.handle_message(_build_opening(0), FRONT, HEARD_AT)
            if not process.transport.to_host:
                return False
            process.gate.handle_host_packet(answer, HEARD_AT)
            process.gate.handle_message(later, FRONT, HEARD_AT)
            return process.transport.to_host > 1

        key = ("open", state.host)
        after, is_open = self._cache.run(state.gate, key, open_flow)
        if is_open:
            reached = state._replace(gate=after, holder=state.host)
            yield f"the flow opens at host {state.host}", reached

    def _copy(self, state: State, *, is_answered: bool) -> Iterator[tuple[str, State]]:
        answer = _build_answer(state.host)

        def copy(process: GateProcess) -> None:
            process.transport.to_host = 0
            process.gate.handle_message(_build_opening(1), FRONT, HEARD_AT)
            if is_answered and process.transport.to_host:
                process.gate.handle_host_packet(answer, HEARD_AT)

        label = f"a copy of the opening packet, answered: {is_answered}"
        yield from self._act(state, f"{label}, at host {state.host}", copy)

    def _act(
        self, state: State, label: str, act: Callable[[GateProcess], None]
    ) -> Iterator[tuple[str, State]]:
        """Let the gate take a step that changes nothing else."""
        after, _ = self._cache.run(state.gate, label, act)
        if after != state.gate:
            yield label, state._replace(gate=after)


def _refuse_check(process: GateProcess) -> None:
    process.gate.record_refused_check(CHECKED_AT, CHECKED_AT)


def _build_heartbeat(incarnation: int, sequence: int) -> Heartbeat:
    return Heartbeat(
        host=HOST,
        incarnation=incarnation,
        sequence=sequence,
        service=SERVICE,
        data_centre="medina",
        state=HostState.READY,
        slots=4,
        cold_left_s=0.0,
    )


def _build_opening(copy: int) -> bytes:
    packet = Packet(CALLER, ROUTE, SYN, FIRST_SEQ, copy).encode()
    return OPEN_HEADER.pack(Kind.OPEN, compute_service_tag(SERVICE), 1) + packet


def _build_answer(incarnation: int) -> bytes:
    """Build the answer of a host to the opening packet."""
    seq = 1_000_000 * incarnation
    return Packet(ROUTE, CALLER, SYN | ACK, seq, FIRST_SEQ + 1).encode()


def _build_later_packet(incarnation: int) -> bytes:
    """Build a packet of the flow after the handshake."""
    ack = 1_000_000 * incarnation + 1
    packet = Packet(CALLER, ROUTE, ACK, FIRST_SEQ + 1, ack, b"request").encode()
    return bytes((Kind.FORWARD,)) + packet


FLOW: Final = packets.get_flow(Packet(CALLER, ROUTE, SYN, FIRST_SEQ).encode())

__all__ = ["OlderFlowsModel", "State"]
