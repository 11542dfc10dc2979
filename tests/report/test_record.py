"""``BurnRecord`` keeps exact counts of the last hour in bounded memory."""

from __future__ import annotations

import json
import random
from collections import Counter

from returns.result import Failure, Success

from balsamstream.config import Objectives
from balsamstream.report import (
    BurnPage,
    BurnRecord,
    HostLoad,
    ServiceBurn,
    build_page_document,
    parse_page,
)
from balsamstream.report.assessment import add_slots

START_S = 1_800_000_000.0


def make_record(max_slots: int = 5_000) -> BurnRecord:
    record = BurnRecord("comptoir-1", "medina", max_slots)
    record.set_objectives("comptoir", "counter", Objectives(0.99, 100))
    return record


def get_only_service(page: BurnPage) -> ServiceBurn:
    (burn,) = page.services
    return burn


def test_events_are_counted_in_their_time_slot() -> None:
    record = make_record()
    record.count_answer("comptoir", 0.1, START_S)
    record.count_answer("comptoir", 0.1001, START_S + 9.99)
    record.count_refused_not_run("comptoir", START_S + 10)
    record.count_may_have_run("comptoir", START_S + 10)
    record.count_broken_flows("comptoir", START_S + 10)
    first, second = get_only_service(record.build_page(START_S + 20)).slots
    assert (first.answered, first.in_time, sum(first.latency)) == (2, 1, 2)
    assert (second.refused_not_run, second.may_have_run) == (1, 1)
    assert (second.broken_flows, second.requests, second.bad) == (1, 2, 2)
    assert second.start_s == START_S + 10


def test_slots_older_than_an_hour_are_removed() -> None:
    record = make_record()
    for minute in range(180):
        record.count_refused_not_run("comptoir", START_S + minute * 60)
    now = START_S + 179 * 60
    slots = get_only_service(record.build_page(now)).slots
    assert len(slots) == 60
    assert min(slot.start_s for slot in slots) > now - 3_600 - 10
    assert get_only_service(record.build_page(now + 3_600)).slots == ()


def test_counts_match_a_plain_counter_when_the_clock_jumps() -> None:
    source = random.Random(11)
    record = make_record()
    now = START_S
    counts: Counter[int] = Counter()
    for _ in range(20_000):
        now += source.expovariate(1.0)
        if source.random() < 0.001:
            now += source.uniform(-8_000, 8_000)
        record.count_refused_not_run("comptoir", now)
        number = int(now // 10)
        counts[number] += 1
        # Slots outside the hour before the newest event are removed for good, even
        # if the clock then jumps back.
        for old in [n for n in counts if not number - 360 < n <= number]:
            del counts[old]
    slots = get_only_service(record.build_page(now)).slots
    kept = {slot.start_s // 10: slot.refused_not_run for slot in slots}
    assert all(counts[number] == count for number, count in kept.items())
    assert add_slots(slots).refused_not_run == sum(counts.values())


def test_slots_are_bounded_and_dropped_slots_are_reported() -> None:
    record = make_record(max_slots=100)
    for number in range(150):
        record.count_refused_not_run(f"service-{number}", START_S)
    page = record.build_page(START_S)
    assert sum(len(burn.slots) for burn in page.services) == 100
    assert page.dropped_slots == 50
    record.remove_service("service-149")
    record.count_refused_not_run("service-200", START_S)
    services = record.build_page(START_S).services
    assert "service-149" not in [burn.service for burn in services]


def test_page_round_trips_through_json() -> None:
    record = make_record()
    record.set_hosts("comptoir", [HostLoad("comptoir-1", 2, 900, 12)])
    record.count_answer("comptoir", 20.0, START_S)
    page = record.build_page(START_S)
    assert parse_page(json.loads(json.dumps(build_page_document(page)))) == Success(
        page
    )
    assert isinstance(parse_page({"daemon": "x"}), Failure)
    assert isinstance(parse_page([]), Failure)
