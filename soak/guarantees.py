"""What must hold, judged by what callers and hosts have seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from standins.flow_site import RequestOutcome, SocketHost

DRAIN_S: Final = 3.0
EVACUATE_S: Final = 5.0
CONFIG_APPLY_S: Final = 3.0
RECOVERY_S: Final = 4.0
"""A machine that a fault has touched is judged again so long after its end."""
GATE_LOST_S: Final = 2.5
"""A gate that was away for longer may be taken for gone with its flows."""


@dataclass(slots=True)
class Span:
    """A time in which something was so, in seconds of the loop's clock."""

    start: float
    end: float = float("inf")

    def overlaps(self, start: float, end: float) -> bool:
        """Tell whether it overlaps another time."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class FaultRecord:
    """What the soak itself did, for the judgement.

    Attributes
    ----------
    away : dict of str to list of Span
        When each machine's node was down, paused or cut off.
    out : dict of str to list of Span
        When each data centre was taken out.
    store_down : list of Span
        When the store gave no answers to some node.
    """

    nodes_down: dict[str, list[Span]] = field(default_factory=dict)
    evacuated: dict[str, list[Span]] = field(default_factory=dict)
    store_down: list[Span] = field(default_factory=list)

    def start_span(self, spans: list[Span], now: float) -> Span:
        """Note the begin of a time."""
        span = Span(now)
        spans.append(span)
        return span

    def was_node_down(self, vm: str, start: float, end: float) -> bool:
        """Tell whether a machine's node was away in a time."""
        spans = self.nodes_down.get(vm, [])
        return any(span.overlaps(start, end) for span in spans)

    def was_store_down(self, start: float, end: float) -> bool:
        """Tell whether the store was away in a time."""
        return any(span.overlaps(start, end) for span in self.store_down)


def check_host(host: SocketHost, record: FaultRecord) -> list[str]:
    """Judge the new flows that one run of a host was given."""
    violations = []
    vm = host.vm
    for at, service in host.opened_flows:
        if service != vm.service:
            violations.append(f"ROUTE: {vm.name} got a flow of {service}")
        if host.drained_at and at > host.drained_at + DRAIN_S:
            violations.append(
                f"DRAIN: {vm.name} got a flow {at - host.drained_at:.2f} s "
                "after it was acknowledged as draining"
            )
        for span in record.evacuated.get(vm.data_centre, []):
            late = span.start + EVACUATE_S
            if not late < at < span.end:
                continue
            was_down = record.was_node_down(vm.name, at - RECOVERY_S, at)
            if not was_down and not record.was_store_down(span.start, at):
                violations.append(f"EVAC: {vm.name} got a flow at {at:.2f}")
    violations += [f"UNASKED: {text}" for text in host.flows.faults]
    return violations


def check_outcome(
    outcome: RequestOutcome,
    expected: bytes,
    host: SocketHost | None,
    record: FaultRecord,
) -> list[str]:
    """Judge one request.

    Parameters
    ----------
    outcome : Outcome
        What became of it.
    expected : bytes
        The whole answer to it.
    host : SocketHost or None
        The run of a host that its flow was opened at, None where that is over.
    record : Record
        What the soak did.
    """
    violations = []
    if outcome.answer and outcome.answer != expected:
        violations.append(f"MIXED: port {outcome.port} got {outcome.answer[:40]!r}")
    if not (outcome.was_open and outcome.was_reset) or host is None:
        return violations
    spans = record.nodes_down.get(host.vm.name, [])
    started_at = outcome.ended_at - outcome.took_s
    was_lost = any(
        span.overlaps(started_at - RECOVERY_S, outcome.ended_at)
        and min(span.end, outcome.ended_at) - span.start > GATE_LOST_S
        for span in spans
    )
    if not was_lost:
        violations.append(
            f"FLOW: port {outcome.port} was reset though {host.vm.name} lives"
        )
    return violations


__all__ = ["CONFIG_APPLY_S", "FaultRecord", "Span", "check_host", "check_outcome"]
