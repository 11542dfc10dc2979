"""Checks of the guarantees against the observations of callers and hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from standins.flow_site import RequestOutcome, SocketHost

MAX_DRAIN_DELAY_S: Final = 3.0
MAX_EVACUATION_DELAY_S: Final = 5.0
CONFIG_APPLY_S: Final = 3.0
RECOVERY_S: Final = 4.0
"""Time after a fault's end during which the VM is exempt from some checks."""
MAX_GATE_DOWN_S: Final = 2.5
"""A gate that was down for longer may be considered lost, with its flows."""


@dataclass(slots=True)
class Span:
    """An interval during which a fault held, in seconds of the event loop's clock."""

    start: float
    end: float = float("inf")

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether it overlaps another interval."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class FaultRecord:
    """Faults injected by the soak, which some checks take into account.

    Attributes
    ----------
    nodes_down : dict of str to list of Span
        When each VM's node was down, paused or cut off.
    evacuated : dict of str to list of Span
        When each data centre was evacuated.
    store_down : list of Span
        When some node got no responses from the store.
    """

    nodes_down: dict[str, list[Span]] = field(default_factory=dict)
    evacuated: dict[str, list[Span]] = field(default_factory=dict)
    store_down: list[Span] = field(default_factory=list)

    def start_span(self, spans: list[Span], now: float) -> Span:
        """Add an interval that starts now and has no end yet."""
        span = Span(now)
        spans.append(span)
        return span

    def was_node_down(self, vm: str, start: float, end: float) -> bool:
        """Return whether a VM's node was down at some time in an interval."""
        spans = self.nodes_down.get(vm, [])
        return any(span.overlaps(start, end) for span in spans)

    def was_store_down(self, start: float, end: float) -> bool:
        """Return whether the store was down at some time in an interval."""
        return any(span.overlaps(start, end) for span in self.store_down)


def check_host(host: SocketHost, record: FaultRecord) -> list[str]:
    """Check the new flows of a host; return the violations of guarantees."""
    violations = []
    vm = host.vm
    for at, service in host.opened_flows:
        if service != vm.service:
            violations.append(f"ROUTE: {vm.name} got a flow of {service}")
        if host.drained_at and at > host.drained_at + MAX_DRAIN_DELAY_S:
            violations.append(
                f"DRAIN: {vm.name} got a flow {at - host.drained_at:.2f} s "
                "after its drain was acknowledged"
            )
        for span in record.evacuated.get(vm.data_centre, []):
            deadline = span.start + MAX_EVACUATION_DELAY_S
            if not deadline < at < span.end:
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
    """Check the outcome of a request; return the violations of guarantees.

    Parameters
    ----------
    outcome : RequestOutcome
        Its outcome.
    expected : bytes
        The complete answer to it.
    host : SocketHost or None
        The host that opened its flow, or None if that has ended since.
    record : FaultRecord
        Faults injected by the soak.
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
        and min(span.end, outcome.ended_at) - span.start > MAX_GATE_DOWN_S
        for span in spans
    )
    if not was_lost:
        violations.append(
            f"FLOW: port {outcome.port} was reset though {host.vm.name} is up"
        )
    return violations


__all__ = ["CONFIG_APPLY_S", "FaultRecord", "Span", "check_host", "check_outcome"]
