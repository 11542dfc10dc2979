"""Tests of the outcome counts for the burn report."""

from __future__ import annotations

from balsamstream.config.objects import Objectives, Profile
from balsamstream.core.identity import RequestKey
from balsamstream.core.verdict import MayHaveRun, NotRun
from balsamstream.daemon.burn import MAX_IN_FLIGHT, BurnCounter
from balsamstream.report import BurnSlot, parse_page

SERVICE = "comptoir"
WALL = 1_700_000_000.0


def build_counter() -> BurnCounter:
    counter = BurnCounter("host", "medina", lambda: WALL)
    objectives = Objectives(availability=0.99, latency_ms=100)
    counter.set_profile(SERVICE, Profile("counter", objectives=objectives))
    return counter


def read_slot(counter: BurnCounter) -> BurnSlot:
    (service,) = parse_page(counter.describe()).unwrap().services
    (slot,) = service.slots
    return slot


def test_each_outcome_is_counted_once() -> None:
    counter = build_counter()
    for number, latency_s in ((1, 0.05), (2, 0.5)):
        counter.record_sent(RequestKey(number), 10.0)
        counter.record_sent(RequestKey(number), 10.04)
        counter.count_answer(SERVICE, RequestKey(number), 10.0 + latency_s)
        counter.count_answer(SERVICE, RequestKey(number), 20.0)
    counter.record_sent(RequestKey(3), 10.0)
    counter.forget_request(RequestKey(3))
    counter.count_answer(SERVICE, RequestKey(3), 11.0)
    counter.count_verdict(SERVICE, MayHaveRun("late"))
    counter.count_verdict(SERVICE, NotRun(1.0, "full"))
    counter.count_broken_flows(SERVICE, 4)
    slot = read_slot(counter)
    assert (slot.answered, slot.in_time) == (2, 1)
    assert (slot.refused_not_run, slot.may_have_run) == (1, 1)
    assert slot.broken_flows == 4


def test_number_of_tracked_requests_is_limited() -> None:
    counter = build_counter()
    for number in range(MAX_IN_FLIGHT + 10):
        counter.record_sent(RequestKey(number + 1), 0.0)
    assert len(counter._sent_at) == MAX_IN_FLIGHT
