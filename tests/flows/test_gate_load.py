"""Replays of loads at one gate, with the former queue and the one by deadline."""

from __future__ import annotations

from collections import defaultdict

import pytest

from balsamstream.flows.load_policy import LoadPolicy
from balsamstream.flows.messages import (
    TIMED_DECLINED_HEADER,
    TIMED_LOAD_MESSAGE,
    DeclineReason,
    Kind,
    Report,
    decode_control,
)
from tests.flows.gate_load import (
    START_S,
    Replay,
    Request,
    RouteLoad,
    compute_answered,
    compute_in_time,
    compute_worth,
)

FIXED = LoadPolicy()
BY_DEADLINE = LoadPolicy(by_deadline=True)
PER_S = 40.0
"""Capacity of one slot, in requests a second."""
SEEDS = (7, 8, 9)


def select(replay: Replay, start_s: float, end_s: float) -> list[Request]:
    """Return the requests that began within a time after the start."""
    return [each for each in replay.requests if start_s <= each.at - START_S <= end_s]


# Loads. Each test states what fails with the former policy.


def replay_burst(policy: LoadPolicy, seed: int) -> tuple[float, float]:
    """Return the shares in time of the steady route during a burst, and the worth."""
    replay = Replay(policy, seed=seed)
    steady, bursting = RouteLoad(443), RouteLoad(444)
    replay.add_stream(steady, 0.4 * PER_S, length_s=8.0)
    replay.add_stream(bursting, 3 * PER_S, start_s=2.0, length_s=2.0, prefix="100.64.1")
    replay.run(16.0)
    during = [each for each in select(replay, 2.0, 6.0) if each.route is steady]
    return compute_in_time(during), compute_worth(replay.requests)


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_of_one_kind_of_request_does_not_delay_another(seed: int) -> None:
    # Newest first, the steady route gets its part of the arrivals only.
    new, former = replay_burst(BY_DEADLINE, seed), replay_burst(FIXED, seed)
    assert new[0] >= 0.75
    assert former[0] <= 0.6
    assert new[1] > former[1]


def replay_return(policy: LoadPolicy, seed: int) -> tuple[float, float]:
    """Return the share in time of new requests beside a backlog, and the worth."""
    replay = Replay(policy, cold_until=START_S + 2.0, seed=seed)
    route = RouteLoad(deadline_s=5.0)
    for number in range(60):
        at_s = number * 0.0005
        replay.add_request(route, at_s, f"100.65.0.{number + 1}", age_s=2.0)
    replay.add_stream(route, 0.7 * PER_S, length_s=6.0)
    replay.run(14.0)
    return compute_in_time(replay.requests[60:]), compute_worth(replay.requests)


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_that_return_to_a_cold_host_do_not_delay_new_requests(
    seed: int,
) -> None:
    # The retries of callers that are late anyway count as the newest.
    new, former = replay_return(BY_DEADLINE, seed), replay_return(FIXED, seed)
    assert new[0] > former[0] + 0.02
    assert new[1] > former[1]


@pytest.mark.parametrize("long_share", [0.0, 0.03])
@pytest.mark.parametrize("seed", SEEDS)
def test_sustained_overload_is_spent_on_requests_that_are_in_time(
    seed: int, long_share: float
) -> None:
    # With a fixed bound, a second attempt that is late displaces a new request.
    worth = {}
    for policy in (FIXED, BY_DEADLINE):
        replay = Replay(policy, long_share=long_share, seed=seed)
        replay.add_stream(RouteLoad(), 1.5 * PER_S, length_s=10.0)
        replay.run(18.0)
        worth[policy] = compute_worth(replay.requests)
        assert replay.idle_declines == 0
    assert worth[BY_DEADLINE] >= 1.15 * worth[FIXED]


@pytest.mark.parametrize("seed", SEEDS)
def test_caller_that_sends_ten_times_as_much_does_not_crowd_out_others(
    seed: int,
) -> None:
    # Without a record of the callers, each request has the same chance.
    worst = {}
    for policy in (FIXED, BY_DEADLINE):
        replay = Replay(policy, seed=seed)
        for number in range(10):
            per_s = 1.5 * PER_S / 19 * (10 if number == 0 else 1)
            prefix = f"100.64.{number}"
            replay.add_stream(
                RouteLoad(), per_s, length_s=15.0, callers=1, prefix=prefix
            )
        replay.run(22.0)
        by_caller = defaultdict(list)
        for request in replay.requests:
            by_caller[request.caller].append(request)
        del by_caller["100.64.0.1"]
        worst[policy] = min(map(compute_worth, by_caller.values()))
    assert worst[BY_DEADLINE] >= 0.85
    assert worst[FIXED] <= 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_evacuated_data_centre_leaves_the_other_its_share(seed: int) -> None:
    # At 90 % utilisation of both, a gate gets twice the load of its own callers from
    # elsewhere, and the own ones get a third of the service without equal shares.
    own = {}
    for policy in (FIXED, BY_DEADLINE):
        replay = Replay(policy, seed=seed)
        replay.add_stream(RouteLoad(), 0.45 * PER_S, length_s=10.0)
        replay.add_stream(
            RouteLoad(),
            0.9 * PER_S,
            start_s=2.0,
            length_s=5.0,
            prefix="100.64.1",
            front="10.2.0.1",
        )
        replay.run(18.0)
        local = [each for each in select(replay, 2.0, 7.0) if each.front == "10.1.0.1"]
        own[policy] = compute_worth(local)
    assert own[BY_DEADLINE] >= 0.85
    assert own[FIXED] <= 0.8


def test_long_deadlines_are_used() -> None:
    # 100 openings of 25 ms take 2.5 s; three attempts of 0.4 s end before that.
    answered = {}
    for policy in (FIXED, BY_DEADLINE):
        replay = Replay(policy)
        route = RouteLoad(objective_s=1.0, deadline_s=7.5)
        for number in range(100):
            replay.add_request(route, number * 0.0005, f"100.65.0.{number + 1}")
        replay.run(12.0)
        answered[policy] = compute_answered(replay.requests)
    assert answered[BY_DEADLINE] >= 0.95
    assert answered[FIXED] <= 0.6


def test_result_is_the_same_without_overload() -> None:
    answers = []
    for policy in (FIXED, BY_DEADLINE):
        replay = Replay(policy)
        replay.add_stream(RouteLoad(), 0.5 * PER_S, length_s=10.0)
        replay.run(14.0)
        answers.append([each.answered_s for each in replay.requests])
        assert "declined" not in replay.events.names()
    former, new = answers
    assert sum(map(float.__eq__, former, new)) >= 0.95 * len(former)


# Failures, and messages.


def test_gate_that_restarts_has_learned_nothing_and_declines_nothing() -> None:
    # Callers retransmit; a gate without samples must not guess that it is too late.
    replay = Replay(BY_DEADLINE)
    route = RouteLoad(deadline_s=5.0)
    for number in range(20):
        replay.add_request(route, 0.5, f"100.65.0.{number + 1}")
    replay.run(0.6)
    assert replay.gate.has_pending_work
    before = len(replay.events.lines)
    replay.start_gate()
    replay.run(0.65)
    later = [line for line in replay.events.lines[before:] if line[0] == "declined"]
    assert not later
    replay.run(10.0)
    assert compute_answered(replay.requests) >= 0.9


def test_host_that_restarts_gets_the_openings_that_wait() -> None:
    # Old service times and old flows in flight must hold up or decline nothing.
    replay = Replay(BY_DEADLINE)
    for number in range(20):
        replay.add_request(RouteLoad(), 0.5, f"100.65.0.{number + 1}")
    replay.run(0.6)
    assert replay.gate._build_report(1, 1, False, replay.now).wait_ms > 0
    waiting = len(replay.gate._dispatcher)
    assert waiting > 5
    replay.restart_host()
    replay.gate.tick(replay.now)
    assert len(replay.gate._dispatcher) == waiting - 2
    assert replay.gate._build_report(1, 1, False, replay.now).wait_ms == 0
    replay.run(10.0)
    answered = sum(each.answered_s is not None for each in replay.requests)
    # The two requests in flight were lost with their flows.
    assert answered >= 17


def test_opening_of_an_older_front_waits_for_the_fixed_time() -> None:
    # An older front understands no timed decline, and states no deadline.
    replay = Replay(BY_DEADLINE, is_timed=False)
    replay.running = 1
    replay._start_next = lambda: None  # type: ignore[method-assign]
    for number in range(5):
        replay.add_request(RouteLoad(), 0.0, f"100.65.0.{number + 1}")
    replay.run(0.39)
    kinds = {message[0] for message in replay.messages}
    assert not kinds & {Kind.DECLINED, Kind.TIMED_DECLINED}
    replay.run(0.45)
    declined = [m for m in replay.messages if m[0] == Kind.DECLINED]
    assert {message[1] for message in declined} == {DeclineReason.BUSY}
    assert len(declined) == 3
    assert all(m[0] != Kind.TIMED_DECLINED for m in replay.messages)


@pytest.mark.parametrize("policy", [FIXED, BY_DEADLINE])
def test_wait_is_reported_whatever_the_policy(policy: LoadPolicy) -> None:
    # Fronts place by it, also where gates admit by the fixed policy.
    replay = Replay(policy)
    replay.add_stream(RouteLoad(), 1.5 * PER_S, length_s=2.0)
    replay.run(2.0)
    loads = [m for m in replay.messages if m[0] == Kind.TIMED_LOAD]
    assert max(TIMED_LOAD_MESSAGE.unpack(m)[-1] for m in loads) >= 50
    reports = [decode_control(m) for m in replay.messages if m[0] == Kind.CONTROL]
    assert any(isinstance(each, Report) and each.wait_ms for each in reports)


def test_timed_decline_states_the_time_that_is_left() -> None:
    replay = Replay(BY_DEADLINE)
    route = RouteLoad(objective_s=0.3, deadline_s=0.9)
    for number in range(100):
        replay.add_request(route, 0.0, f"100.65.0.{number + 1}")
    replay.run(0.5)
    declined = [m for m in replay.messages if m[0] == Kind.TIMED_DECLINED]
    assert declined
    _, reason, objective_ms, deadline_ms = TIMED_DECLINED_HEADER.unpack_from(
        declined[0]
    )
    assert reason == DeclineReason.BUSY
    assert 0 < objective_ms < 300
    assert deadline_ms == pytest.approx(objective_ms + 600, abs=1)


def test_opening_past_its_deadline_is_declined_on_arrival() -> None:
    replay = Replay(BY_DEADLINE)
    request = replay.add_request(RouteLoad(deadline_s=2.0), 0.0, "100.65.0.1")
    # 0.2 ms are left, which the header states as none.
    request.at -= 1.9998
    replay.run(0.1)
    assert [m[1] for m in replay.messages if m[0] == Kind.TIMED_DECLINED] == [
        DeclineReason.BUSY
    ]
