"""Round trips that a front learns from hellos and reports."""

from __future__ import annotations

from balsamstream.flows.round_trip import RoundTrip

INTERVAL_S = 0.5


def exchange(round_trip: RoundTrip, start: float, *answers_s: float) -> float:
    """Send a hello, receive reports after it, and return the time of the next hello."""
    round_trip.record_hello(start)
    for answer_s in answers_s:
        round_trip.record_report(start + answer_s)
    return start + INTERVAL_S


def learn(*rounds: tuple[float, ...], start: float = 10.0) -> RoundTrip:
    """Exchange hellos with the given answers to each."""
    round_trip = RoundTrip()
    now = start
    for answers_s in rounds:
        now = exchange(round_trip, now, *answers_s)
    round_trip.record_hello(now)
    return round_trip


def test_minimum_is_learned() -> None:
    learned = learn((0.009,), (0.008,), (0.03,)).min_s
    assert learned is not None
    assert round(learned, 6) == 0.008


def test_nothing_is_learned_without_an_answer() -> None:
    assert learn((), ()).min_s is None


def test_unasked_report_before_the_answer_gives_no_sample() -> None:
    # Guards against a host that seems next door, as its state changed after a hello.
    learned = learn((0.009,), (0.001, 0.009)).min_s
    assert learned is not None
    assert round(learned, 6) == 0.009


def test_unasked_reports_in_place_of_a_lost_answer_give_no_sample() -> None:
    # Guards against the same where the answer is lost and the state changes twice.
    learned = learn((0.009,), (0.001, 0.002)).min_s
    assert learned is not None
    assert round(learned, 6) == 0.009


def test_answer_to_an_earlier_hello_gives_no_sample() -> None:
    # Guards against a late answer that is taken for one to the next hello.
    round_trip = RoundTrip()
    round_trip.record_hello(10.0)
    round_trip.record_hello(10.01)
    round_trip.record_report(10.012)
    round_trip.record_hello(10.5)
    assert round_trip.min_s is None


def test_learning_goes_on_after_a_lost_answer() -> None:
    learned = learn((), (0.009,), (0.008,)).min_s
    assert learned is not None
    assert round(learned, 6) == 0.008


def test_minimum_is_dropped_within_a_minute() -> None:
    # Guards against a way that has become longer and is never believed to have.
    rounds = [(0.001,)] * 2 + [(0.009,)] * 130
    learned = learn(*rounds).min_s
    assert learned is not None
    assert round(learned, 6) == 0.009
