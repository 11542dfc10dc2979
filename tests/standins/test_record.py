"""Tests of the comparison of callers' and backend servers' events."""

from __future__ import annotations

import pytest

from standins.events import (
    BreakReason,
    ColdWork,
    Event,
    Finished,
    FlowBroken,
    Misdirected,
    Outcome,
    Overloaded,
    PacketsReceived,
    Run,
    Started,
)
from standins.record import (
    Changes,
    Drain,
    Evacuation,
    Figures,
    Record,
    Window,
    compare,
)


def build_run(
    request: str, host: str = "h1", attempt: int = 1, time: float = 1.0
) -> Run:
    endpoint = f"127.0.0.1:{request}"
    return Run(time, host, "i1", "comptoir", "POST", request, attempt, endpoint)


def build_end(request: str, outcome: Outcome, attempt: int = 1) -> Finished:
    return Finished(1.0, 0.9, "c", "basket", request, attempt, outcome, "", "h1", 1)


def build_start(host: str, incarnation: str, time: float = 0.0) -> Started:
    return Started(time, host, incarnation, ["comptoir"], time, True)


def build_break(host: str, incarnation: str, time: float) -> FlowBroken:
    reason = BreakReason.SILENT
    return FlowBroken(time, "c", "board", host, incarnation, reason, time - 1.0)


def compare_events(
    callers: list[Event], backends: list[Event], changes: Changes | None = None
) -> Figures:
    return compare(Record(callers, backends), changes or Changes())


def test_order_run_on_two_hosts_is_doubled() -> None:
    runs: list[Event] = [build_run("1"), build_run("1", host="h2"), build_run("2")]
    ends: list[Event] = [build_end("1", Outcome.ANSWERED)]
    assert compare_events(ends, runs).doubled == 1


def test_refused_order_that_ran_is_doubled() -> None:
    figures = compare_events([build_end("1", Outcome.REFUSED)], [build_run("1")])
    assert (figures.refused_not_run, figures.doubled) == (1, 1)


def test_second_attempt_after_a_refusal_is_not_doubled() -> None:
    ends: list[Event] = [
        build_end("1", Outcome.REFUSED),
        build_end("1", Outcome.ANSWERED, attempt=2),
    ]
    figures = compare_events(ends, [build_run("1", attempt=2)])
    assert (figures.doubled, figures.lost) == (0, 0)


def test_answer_without_a_run_is_lost() -> None:
    assert compare_events([build_end("1", Outcome.ANSWERED)], []).lost == 1


def test_misdirected_request_counts() -> None:
    assert compare_events([], [Misdirected(1.0, "h1", "guide/x")]).wrong_service == 1


def test_broken_flows_are_classified_by_cause() -> None:
    evacuation = Evacuation("medina", frozenset({"h2"}), Window(5.0, 9.0))
    starts: list[Event] = [
        build_start("h1", "i1"),
        build_start("h1", "i2", time=4.0),
        build_start("h2", "i3"),
    ]
    breaks: list[Event] = [
        build_break("h1", "i1", 5.0),
        build_break("h2", "i3", 6.0),
        build_break("h2", "i3", 4.5),
        build_break("h1", "i2", 6.0),
    ]
    figures = compare_events(breaks, starts, Changes((evacuation,)))
    assert (figures.broken_flows, figures.broken_unexpectedly) == (4, 2)
    assert (figures.broken_by_restart, figures.broken_in_evacuation) == (1, 1)


def test_flow_broken_by_an_overload_counts_as_unexpected() -> None:
    backends: list[Event] = [
        build_start("h1", "i1"),
        Overloaded(1.0, "h1", "i1", 9, 1.0),
        build_start("h1", "i2", time=2.0),
    ]
    figures = compare_events([build_break("h1", "i1", 2.0)], backends)
    assert (figures.broken_unexpectedly, figures.overloads) == (1, 1)


def test_imbalance_counts_hosts_without_work() -> None:
    backends: list[Event] = [build_start("h1", "i1"), build_start("h2", "i2")]
    backends += [build_run(str(number)) for number in range(4)]
    assert compare_events([], backends).imbalance == 2.0


def test_change_timed_by_another_clock_is_rejected() -> None:
    changes = Changes(drains=(Drain("h1", 1_800_000_000.0),))
    with pytest.raises(ValueError, match="not within"):
        compare_events([], [build_start("h1", "i1"), build_run("1")], changes)


def test_late_work_is_measured_from_the_command() -> None:
    backends: list[Event] = [
        PacketsReceived(8.2, "h2", 1, 7.5),
        PacketsReceived(20.0, "h2", 1, 19.9),
        build_run("1", time=1.0),
        build_run("1", time=9.0),
        build_run("2", time=4.5),
        ColdWork(1.0, "h1", "i1", 3, 4.0),
    ]
    evacuation = Evacuation("medina", frozenset({"h2"}), Window(5.0, 9.0))
    changes = Changes((evacuation,), (Drain("h1", 3.0),))
    figures = compare_events([], backends, changes)
    assert figures.last_packet_after_evacuation_s == 2.5
    assert figures.last_new_flow_after_drain_s == 1.5
    assert figures.cold_peak == 0.75
