"""Tests of the schedule of an agent's own reads of the platform."""

from __future__ import annotations

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.message import Changes, Ping, Pong
from balsamstream.daemon.read_schedule import (
    INITIAL_READ_INTERVAL_S,
    MAX_BALANCERS,
    MAX_READ_INTERVAL_S,
    ReadSchedule,
)

BALANCER = Address("127.0.0.1", 1)
AGENT = Address("127.0.0.1", 2)
CHANGES = Changes(0, 5, False, False, ())


def count_reads(schedule: ReadSchedule, start_s: int, end_s: int) -> int:
    return sum(
        schedule.try_start_read(float(second)) for second in range(start_s, end_s)
    )


def test_interval_of_reads_grows() -> None:
    schedule = ReadSchedule(0.0)
    assert not schedule.try_start_read(INITIAL_READ_INTERVAL_S / 2)
    assert count_reads(schedule, 1, 20) >= 3
    assert 30 <= count_reads(schedule, 100, 1000) <= 90


def test_only_changes_from_a_balancer_postpone_reads() -> None:
    schedule = ReadSchedule(0.0)
    schedule.handle_message(BALANCER, Ping(1), 0.0)
    schedule.handle_message(BALANCER, CHANGES, 100.0)
    assert not schedule.try_start_read(100.0 + MAX_READ_INTERVAL_S - 0.1)
    schedule.handle_message(AGENT, CHANGES, 120.0)
    schedule.handle_message(AGENT, Pong(1, ProcessRef("agent", 1)), 120.0)
    assert schedule.try_start_read(120.0 + 0.1)


def test_balancer_without_configuration_postpones_no_read() -> None:
    schedule = ReadSchedule(0.0)
    schedule.record_balancers([BALANCER])
    schedule.handle_message(BALANCER, Changes(0, 0, False, False, ()), 100.0)
    assert schedule.try_start_read(100.0)


def test_number_of_known_balancers_is_limited() -> None:
    schedule = ReadSchedule(0.0)
    schedule.record_balancers(Address("127.0.0.1", port) for port in range(2000))
    assert len(schedule._balancers) == MAX_BALANCERS
