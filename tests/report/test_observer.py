"""Observers count each outcome once from the decisions' actions."""

from __future__ import annotations

from balsamstream.core.identity import NO_REQUEST, Address, FlowKey, RequestKey
from balsamstream.core.message import (
    Cancel,
    Count,
    Deliver,
    Refusal,
    RefuseCaller,
    Send,
)
from balsamstream.core.routing import RoutingVersion
from balsamstream.core.verdict import MayHaveRun, NotRun
from balsamstream.report import BurnRecord, BurnSlot
from balsamstream.report.observer import AgentObserver, BalancerObserver

WALL_S = 1_800_000_000.0
CALLER = Address("127.0.0.1", 9)
FLOW = FlowKey(1)


def deliver(request: int) -> Deliver:
    return Deliver(FLOW, CALLER, RequestKey(request), 2_000, b"")


def refuse(verdict: NotRun | MayHaveRun) -> Send:
    refusal = Refusal(7, FLOW, CALLER, RoutingVersion(1, 1), verdict, b"")
    return Send(CALLER, refusal)


def read_slot(record: BurnRecord) -> BurnSlot:
    (burn,) = record.build_page(WALL_S).services
    (slot,) = burn.slots
    return slot


def test_agent_counts_each_answer_once_with_its_latency() -> None:
    record = BurnRecord("comptoir-1", "medina")
    observer = AgentObserver(record, "comptoir")
    observer.note_actions([deliver(1), deliver(2), deliver(NO_REQUEST)], 5.0, WALL_S)
    observer.note_actions([deliver(1), Cancel(FLOW, RequestKey(2))], 5.2, WALL_S)
    for request in (1, 1, 2, 3, NO_REQUEST):
        observer.note_answer(FLOW, RequestKey(request), 5.3, WALL_S)
    slot = read_slot(record)
    assert (slot.answered, slot.in_time) == (1, 0)


def test_agent_counts_refusals_by_verdict_and_broken_flows() -> None:
    record = BurnRecord("comptoir-1", "medina")
    actions = [
        refuse(NotRun(1.0, "full")),
        refuse(NotRun(1.0, "full")),
        refuse(MayHaveRun("late")),
        Count("broken_flows", 3),
        Count("flow_given_up", 5),
    ]
    AgentObserver(record, "comptoir").note_actions(actions, 5.0, WALL_S)
    slot = read_slot(record)
    assert (slot.refused_not_run, slot.may_have_run, slot.broken_flows) == (2, 1, 3)


def test_balancer_counts_its_own_refusals_of_known_services() -> None:
    record = BurnRecord("balancer-1", "medina")
    observer = BalancerObserver(record, {7: "comptoir"}.get)
    refusals = [
        RefuseCaller(number, CALLER, NotRun(1.0, "no host"), b"") for number in (7, 8)
    ]
    observer.note_actions([*refusals, refuse(NotRun(1.0, "relayed"))], WALL_S)
    assert read_slot(record).refused_not_run == 1
