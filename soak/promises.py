"""What must hold, judged by what callers and hosts have seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from standins.flow_site import RequestOutcome, SocketHost

DRAIN_S: Final = 3.0
EVACUATE_S: Final = 5.0
CONFIG_APPLY_S: Final = 3.0
IN_TOUCH_S: Final = 4.0
"""A machine that a fault has touched is judged again so long after its end."""
GATE_LOST_S: Final = 2.5
"""A gate that was away for longer may be taken for gone with its flows."""


@dataclass(slots=True)
class Span:
    """A time in which something was so, in seconds of the loop's clock."""

    begin: float
    end: float = float("inf")

    def touches(self, begin: float, end: float) -> bool:
        """Tell whether it overlaps another time."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class Record:
    """What the soak itself did, for the judgement.

    Attributes
    ----------
    away : dict of str to list of Span
        When each machine's node was down, paused or cut off.
    out : dict of str to list of Span
        When each data centre was taken out.
    store_away : list of Span
        When the store gave no answers to some node.
    """

    away: dict[str, list[Span]] = field(default_factory=dict)
    out: dict[str, list[Span]] = field(default_factory=dict)
    store_away: list[Span] = field(default_factory=list)

    def begin(self, spans: list[Span], now: float) -> Span:
        """Note the begin of a time."""
        span = Span(now)
        spans.append(span)
        return span

    def was_away(self, vm: str, begin: float, end: float) -> bool:
        """Tell whether a machine's node was away in a time."""
        spans = self.away.get(vm, [])
        return any(span.touches(begin, end) for span in spans)

    def was_store_away(self, begin: float, end: float) -> bool:
        """Tell whether the store was away in a time."""
        return any(span.touches(begin, end) for span in self.store_away)


def judge_host(host: SocketHost, record: Record) -> list[str]:
    """Judge the new flows that one run of a host was given."""
    broken = []
    vm = host.vm
    for at, service in host.opened_flows:
        if service != vm.service:
            broken.append(f"ROUTE: {vm.name} got a flow of {service}")
        if host.drained_at and at > host.drained_at + DRAIN_S:
            broken.append(
                f"DRAIN: {vm.name} got a flow {at - host.drained_at:.2f} s "
                "after it was acknowledged as draining"
            )
        for span in record.out.get(vm.data_centre, []):
            late = span.begin + EVACUATE_S
            if not late < at < span.end:
                continue
            touched = record.was_away(vm.name, at - IN_TOUCH_S, at)
            if not touched and not record.was_store_away(span.begin, at):
                broken.append(f"EVAC: {vm.name} got a flow at {at:.2f}")
    broken += [f"UNASKED: {text}" for text in host.flows.faults]
    return broken


def judge_outcome(
    outcome: RequestOutcome, expected: bytes, host: SocketHost | None, record: Record
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
    broken = []
    if outcome.answer and outcome.answer != expected:
        broken.append(f"MIXED: port {outcome.port} got {outcome.answer[:40]!r}")
    if not (outcome.was_open and outcome.was_reset) or host is None:
        return broken
    spans = record.away.get(host.vm.name, [])
    began = outcome.ended_at - outcome.took_s
    gone = any(
        span.touches(began - IN_TOUCH_S, outcome.ended_at)
        and min(span.end, outcome.ended_at) - span.begin > GATE_LOST_S
        for span in spans
    )
    if not gone:
        broken.append(
            f"FLOW: port {outcome.port} was reset though {host.vm.name} lives"
        )
    return broken


__all__ = ["CONFIG_APPLY_S", "Record", "Span", "judge_host", "judge_outcome"]
