"""When an agent reads the platform itself."""

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
KNOWING = Changes(0, 5, False, False, ())


def count_reads(schedule: ReadSchedule, begin_s: int, end_s: int) -> int:
    return sum(
        schedule.try_start_read(float(second)) for second in range(begin_s, end_s)
    )


def test_reads_become_rarer() -> None:
    schedule = ReadSchedule(0.0)
    assert not schedule.try_start_read(INITIAL_READ_INTERVAL_S / 2)
    assert count_reads(schedule, 1, 20) >= 3
    assert 30 <= count_reads(schedule, 100, 1000) <= 90


def test_only_a_balancer_puts_reads_off() -> None:
    schedule = ReadSchedule(0.0)
    schedule.handle_message(BALANCER, Ping(1), 0.0)
    schedule.handle_message(BALANCER, KNOWING, 100.0)
    assert not schedule.try_start_read(100.0 + MAX_READ_INTERVAL_S - 0.1)
    schedule.handle_message(AGENT, KNOWING, 120.0)
    schedule.handle_message(AGENT, Pong(1, ProcessRef("agent", 1)), 120.0)
    assert schedule.try_start_read(120.0 + 0.1)


def test_a_balancer_that_knows_nothing_puts_no_read_off() -> None:
    schedule = ReadSchedule(0.0)
    schedule.record_balancers([BALANCER])
    schedule.handle_message(BALANCER, Changes(0, 0, False, False, ()), 100.0)
    assert schedule.try_start_read(100.0)


def test_known_balancers_are_bounded() -> None:
    schedule = ReadSchedule(0.0)
    schedule.record_balancers(Address("127.0.0.1", port) for port in range(2000))
    assert len(schedule._balancers) == MAX_BALANCERS
