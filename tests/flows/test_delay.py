"""Choice of a host by the expected time until an answer, under the loads it is for."""

from __future__ import annotations

import itertools
import math
import statistics
from collections import Counter
from functools import cache
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.flows.choice import HostChooser
from balsamstream.flows.delay import (
    COLD_SLOWDOWN,
    REPORT_LIFETIME_S,
    DelayEstimator,
    NewFlow,
    estimate_wait,
    is_wait_known,
)
from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.messages import RouteReport
from balsamstream.flows.placement import COLD_FACTOR, Host, is_usable

from .placement_replay import (
    BY_DEADLINE,
    BY_DELAY,
    FORMER,
    ROUTE_TAG,
    SERVICE,
    Result,
    Site,
    build_host,
    replay,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.flows.load_policy import LoadPolicy

WORK_S = 0.022
NOW = 50.0
AMPLITUDE = 0.15
"""Greatest deviation of the share that a data centre sends elsewhere within 0.5 s from
its mean, at constant load and with reports that differ in age by up to 0.1 s."""
EXCESS_SPREAD = 1.5
"""Greatest standard deviation of that share within shorter times, relative to that of
independent draws with the mean as probability."""
SAME_CHOICE = 0.12
"""Greatest share of simultaneous choices of two fronts that meet at one of ten equal
hosts; independent choices meet in a tenth."""
SAME_CHOICE_OF_FIVE = 0.22
"""The same where five of the ten hosts are sooner by more than the uncertainty."""
WAVE_CENTRES = ("medina", "sakiet", "thyna", "gremda")


def get_wave_rate(data_centre: str, now: float) -> float:
    """Return a demand that varies by 55 %, out of phase between the data centres."""
    phase = WAVE_CENTRES.index(data_centre) / len(WAVE_CENTRES)
    wave = math.sin(2.0 * math.pi * (now / 8.0 + phase))
    return 0.9 * 8.5 / WORK_S * (1.0 + 0.55 * wave)


WAVES = Site(
    {"medina": [1.0] * 9, "sakiet": [1.0] * 9, "thyna": [1.0] * 8, "gremda": [1.0] * 8},
    get_wave_rate,
    work_s=WORK_S,
)
UNEVEN = Site(
    {data_centre: [1.0] * 7 + [3.0] for data_centre in WAVE_CENTRES},
    lambda _data_centre, _now: 0.8 * (7.0 + 1.0 / 3.0) / WORK_S,
    work_s=WORK_S,
)
FULL = Site(
    {data_centre: [1.0] * 4 for data_centre in WAVE_CENTRES},
    lambda _data_centre, _now: 1.5 * 4.0 / WORK_S,
    work_s=WORK_S,
    deadline_s=0.4,
    duration_s=4.0,
)


@cache
def replay_once(site_name: str, policy: LoadPolicy) -> Result:
    """Replay a load once for all tests of it."""
    sites = {"waves": WAVES, "uneven": UNEVEN, "full": FULL}
    return replay(sites[site_name], policy)


def build_pair(
    utilisation: float, *, other: float | None = None, fronts: int = 1, **more: object
) -> Site:
    """Build two data centres of eight hosts with constant loads."""
    loads = {"medina": utilisation, "sakiet": utilisation if other is None else other}
    hosts = {data_centre: [1.0] * 8 for data_centre in loads}
    return Site(
        hosts,
        lambda data_centre, _now: loads[data_centre] * 8 / WORK_S,
        work_s=WORK_S,
        fronts=fronts,
        **more,  # type: ignore[arg-type]
    )


def build_flow(number: int = 1) -> NewFlow:
    return NewFlow(number.to_bytes(12), SERVICE, ROUTE_TAG)


def build_loaded(ip: str, wait_s: float, data_centre: str = "medina") -> Host:
    host = build_host(ip, data_centre, now=NOW)
    host.wait_s = wait_s
    host.in_flight = math.ceil(wait_s / WORK_S)
    host.service_times = {ROUTE_TAG: WORK_S}
    return host


def count_chosen(
    hosts: Sequence[Host], front: str = "10.1.0.1", flows: int = 2_000
) -> Counter[str]:
    """Count how often a front in medina chooses each host."""
    chooser = HostChooser(BY_DELAY, front, "medina")
    chosen: Counter[str] = Counter()
    for number in range(flows):
        choice = chooser.choose(hosts, build_flow(number), (), (), math.inf, NOW)
        assert choice.host is not None
        chosen[choice.host.ip] += 1
    return chosen


# Replays of the loads.


def test_peak_of_a_data_centre_delays_few_requests() -> None:
    # Guards against flows that stay until all hosts of a data centre are busy, and then
    # meet at the one that reported last.
    former, by_delay = (replay_once("waves", each) for each in (FORMER, BY_DELAY))
    assert former.get_quantile(0.95) >= 0.11
    assert by_delay.get_quantile(0.95) <= 0.09
    assert by_delay.get_mean() <= 0.85 * former.get_mean()


def test_peak_of_a_data_centre_sends_few_flows_elsewhere() -> None:
    # Guards against busy data centres that exchange their flows for no gain.
    def compute_share(policy: LoadPolicy) -> float:
        return statistics.fmean(
            replay_once("waves", policy).get_share_away(data_centre)
            for data_centre in WAVE_CENTRES
        )

    assert compute_share(FORMER) >= 0.4
    assert compute_share(BY_DELAY) <= 0.25


def test_fronts_do_not_meet_at_the_host_that_reported_last() -> None:
    # Counts the flows that reach one host within 10 ms, less than half a request.
    def count_meetings(result: Result) -> int:
        windows = Counter((int(at / 0.01), host) for at, _, host in result.placed)
        return sum(count >= 3 for count in windows.values())

    former = count_meetings(replay_once("waves", FORMER))
    by_delay = count_meetings(replay_once("waves", BY_DELAY))
    assert former >= 100
    assert by_delay <= former / 2


def test_slower_hosts_delay_few_requests() -> None:
    # Guards against a choice by queue length where one host in eight is three times
    # slower: an empty queue there takes longer than a short one elsewhere.
    former, by_delay = (replay_once("uneven", each) for each in (FORMER, BY_DELAY))
    assert former.get_quantile(0.99) >= 0.12
    assert by_delay.get_quantile(0.99) <= 0.1
    assert by_delay.get_mean() <= 0.9 * former.get_mean()


def test_full_service_refuses_at_the_front() -> None:
    # Guards against packets that cross data centres only to be declined there. Some
    # still are: eight fronts may see the same opening within a blind time.
    former, by_deadline = (replay_once("full", each) for each in (FORMER, BY_DEADLINE))
    assert sum(former.declined) >= 1_000
    assert sum(by_deadline.declined) <= sum(former.declined) / 3
    assert by_deadline.refused >= 500


def test_full_service_keeps_its_hosts_busy() -> None:
    # Guards against refusals that leave capacity idle.
    former, by_deadline = (replay_once("full", each) for each in (FORMER, BY_DEADLINE))
    assert by_deadline.admitted >= 0.97 * former.admitted


@pytest.mark.parametrize("policy", [BY_DELAY, BY_DEADLINE])
def test_each_placed_flow_is_admitted_or_declined(policy: LoadPolicy) -> None:
    # Guards against flows that are counted at no host or at two; some are under way.
    result = replay_once("full", policy)
    under_way = len(result.placed) - result.admitted - len(result.declined)
    assert 0 <= under_way <= 30


def test_light_load_stays_in_its_data_centre() -> None:
    # Guards against answers between data centres, which are charged by the byte.
    result = replay(build_pair(0.2, link_s=0.0005, duration_s=4.0), BY_DELAY)
    assert result.get_share_away("medina") <= 0.1


# Shifts between data centres.


def test_share_sent_elsewhere_rises_smoothly_with_the_load() -> None:
    # Guards against a step: nothing elsewhere, then everything.
    shares = [
        statistics.fmean(
            replay(
                build_pair(load / 10, other=0.3, fronts=2, duration_s=5.0),
                BY_DELAY,
                seed,
            ).get_share_away("medina", 0.5)
            for seed in (1, 2)
        )
        for load in range(3, 14)
    ]
    steps = [after - before for before, after in itertools.pairwise(shares)]
    assert min(steps) >= -0.01
    assert max(steps) <= 0.12
    assert shares[0] <= 0.02
    assert shares[-1] >= 0.2


@given(
    st.floats(0.001, 0.08),
    st.floats(0.0, 0.08),
    st.floats(0.0, 0.01),
    st.integers(1, 5),
)
@settings(max_examples=40, deadline=None)
def test_longer_wait_never_attracts_flows(
    wait_s: float, more_s: float, link_s: float, busy: int
) -> None:
    # Guards against a share sent elsewhere that falls as the own hosts get busier.
    def count_away(wait_s: float) -> int:
        own = [build_loaded(f"10.0.0.{number}", wait_s) for number in range(3)]
        others = [
            build_loaded(f"10.0.1.{number}", 0.03, "sakiet") for number in range(3)
        ]
        for host in own:
            host.in_flight = busy
        for host in others:
            host.round_trip.min_s = 2.0 * link_s
        chosen = count_chosen([*own, *others], flows=60)
        return sum(chosen[host.ip] for host in others)

    assert count_away(wait_s + more_s) >= count_away(wait_s)


def list_shares(result: Result, data_centre: str, window_s: float) -> list[float]:
    """List the shares sent elsewhere within the windows from the first second on."""
    steps = int(7.0 / window_s)
    starts = [1.0 + step * window_s for step in range(steps)]
    return [
        result.get_share_away(data_centre, start, start + window_s) for start in starts
    ]


def compute_spread(
    result: Result, data_centre: str, load: float, window_s: float
) -> float:
    """Compute the deviation of the shares relative to that of independent draws."""
    shares = list_shares(result, data_centre, window_s)
    mean = statistics.fmean(shares)
    flows = load * 8 / WORK_S * window_s
    return statistics.pstdev(shares) / math.sqrt(mean * (1.0 - mean) / flows)


@pytest.mark.parametrize("late_s", [0.0, 0.05, 0.1])
@pytest.mark.parametrize("load", [0.7, 0.9])
def test_reports_of_different_age_cause_no_swing(late_s: float, load: float) -> None:
    # Guards against two fronts that send their flows to each other in turns.
    result = replay(build_pair(load, late={"sakiet": late_s}), BY_DELAY)
    for data_centre in ("medina", "sakiet"):
        shares = list_shares(result, data_centre, 0.5)
        mean = statistics.fmean(shares)
        assert max(abs(share - mean) for share in shares) <= AMPLITUDE
        for window_s in (0.1, 0.25):
            assert compute_spread(result, data_centre, load, window_s) <= EXCESS_SPREAD


def test_shares_vary_less_than_with_the_former_choice() -> None:
    site = build_pair(0.7)
    former, by_delay = (
        compute_spread(replay(site, policy), "medina", 0.7, 0.25)
        for policy in (FORMER, BY_DELAY)
    )
    assert former >= 1.3
    assert by_delay <= 0.85 * former


# Fronts with the same reports.


@pytest.mark.parametrize(
    ("wait_s", "bound"), [(0.0, SAME_CHOICE), (0.003, SAME_CHOICE_OF_FIVE)]
)
def test_two_fronts_seldom_choose_the_same_host(wait_s: float, bound: float) -> None:
    # Guards against fronts that all choose the host that seems a little sooner.
    hosts = [
        build_loaded(f"10.0.0.{number}", wait_s * (number % 2)) for number in range(10)
    ]
    first = HostChooser(BY_DELAY, "10.1.0.1", "medina")
    second = HostChooser(BY_DELAY, "10.1.0.2", "medina")
    same = 0
    for number in range(3_000):
        # Each front is sent other flows.
        one = first.choose(hosts, build_flow(number), (), (), math.inf, NOW)
        other = second.choose(hosts, build_flow(number + 9_000), (), (), math.inf, NOW)
        same += one.host is other.host
    assert same / 3_000 <= bound


def test_two_fronts_choose_independently_for_one_flow() -> None:
    # Guards against a hash of the flow alone, by which copies would meet.
    hosts = [build_loaded(f"10.0.0.{number}", 0.0) for number in range(10)]
    choosers = [HostChooser(BY_DELAY, f"10.1.0.{n}", "medina") for n in (1, 2)]
    same = 0
    for number in range(3_000):
        flow = build_flow(number)
        chosen = [
            each.choose(hosts, flow, (), (), math.inf, NOW).host for each in choosers
        ]
        same += chosen[0] is chosen[1]
    assert same / 3_000 <= SAME_CHOICE


def test_former_choice_of_two_fronts_is_the_same() -> None:
    hosts = [build_loaded(f"10.0.0.{number}", 0.0) for number in range(10)]
    choosers = [HostChooser(FORMER, f"10.1.0.{n}", "medina") for n in (1, 2)]
    chosen = [
        each.choose(hosts, build_flow(), (), (), math.inf, NOW).host
        for each in choosers
    ]
    assert chosen[0] is chosen[1]


def test_equal_hosts_get_equal_shares() -> None:
    # Guards against a hash that prefers some hosts.
    hosts = [build_loaded(f"10.0.0.{number}", 0.0) for number in range(7)]
    chosen = count_chosen(hosts, flows=7_000)
    assert max(chosen.values()) <= 1_150
    assert min(chosen.values()) >= 850


def test_sooner_host_is_chosen_outside_the_uncertainty() -> None:
    hosts = [build_loaded("10.0.0.1", 0.05), build_loaded("10.0.0.2", 0.0)]
    assert count_chosen(hosts, flows=100) == {"10.0.0.2": 100}


def test_older_reports_spread_the_choice() -> None:
    # Guards against trust in a report that other fronts have acted on since.
    def count_later(age_s: float) -> int:
        hosts = [build_loaded("10.0.0.1", 0.03), build_loaded("10.0.0.2", 0.05)]
        for host in hosts:
            host.reported_at -= age_s
            host.wait_s += age_s
        return count_chosen(hosts, flows=400)["10.0.0.2"]

    assert count_later(0.0) == 0
    assert count_later(0.04) > 40


# The estimate.


def test_wait_falls_with_the_age_of_the_report() -> None:
    host = build_loaded("10.0.0.1", 0.1)
    assert estimate_wait(host, WORK_S, NOW + 0.04) == pytest.approx(0.06)
    assert estimate_wait(host, WORK_S, NOW + 0.3) == 0.0


def test_placements_that_a_report_cannot_include_count() -> None:
    # Guards against a burst within one round trip that all goes to one host.
    host = build_loaded("10.0.0.1", 0.0)
    host.slots = 2
    for _ in range(3):
        host.record_placement(NOW)
    assert estimate_wait(host, WORK_S, NOW) == pytest.approx(1.5 * WORK_S)


def test_reports_include_placements_after_a_round_trip() -> None:
    # Guards against placements that count no longer although the report was sent before
    # they arrived: between distant data centres 5 ms is too short.
    host = build_loaded("10.0.0.1", 0.0)
    host.round_trip.min_s = 0.008
    host.record_placement(NOW)
    host.record_load(0, 0, NOW + 0.007)
    assert len(host.unreported) == 1
    host.record_load(1, 1, NOW + 0.011)
    assert not host.unreported


def test_gate_without_an_estimate_counts_by_its_queue() -> None:
    # Guards against a busy host that looks idle, as its gate has no samples.
    host = build_loaded("10.0.0.1", 0.0)
    host.in_flight = 4
    assert not is_wait_known(host, NOW)
    assert estimate_wait(host, WORK_S, NOW) == pytest.approx(4 * WORK_S)


def test_gate_of_an_older_release_counts_by_its_queue() -> None:
    host = build_loaded("10.0.0.1", 0.0)
    host.protocol = 1
    host.in_flight = 2
    assert estimate_wait(host, WORK_S, NOW) == pytest.approx(2 * WORK_S)


def test_old_report_leaves_the_wait_unknown() -> None:
    host = build_loaded("10.0.0.1", 5.0)
    assert is_wait_known(host, NOW + REPORT_LIFETIME_S - 0.01)
    assert not is_wait_known(host, NOW + REPORT_LIFETIME_S + 0.01)


def test_cold_host_counts_as_slower() -> None:
    estimator = DelayEstimator("10.1.0.1", "medina")
    host = build_loaded("10.0.0.1", 0.1)
    host.cold_until = NOW + 1.0
    expected = COLD_FACTOR * 0.1 + COLD_SLOWDOWN * WORK_S
    assert estimator.estimate(host, WORK_S, NOW) == pytest.approx(expected)


def test_weight_of_a_cold_queue_refuses_nothing() -> None:
    # Guards against refusals by a weight that serves the choice only.
    host = build_loaded("10.0.0.1", 0.1)
    host.cold_until = NOW + 1.0
    estimator = DelayEstimator("10.1.0.1", "medina")
    assert estimator.can_answer(host, build_flow(), WORK_S, 0.15, NOW)


def test_unknown_service_time_is_that_of_the_peers() -> None:
    estimator = DelayEstimator("10.1.0.1", "medina")
    hosts = [build_host(f"10.0.0.{number}", now=NOW) for number in range(4)]
    for host, service_ms in zip(hosts, (20.0, 30.0, 90.0), strict=False):
        host.record_routes([RouteReport(ROUTE_TAG, 10, service_ms, 0, 0)])
    typical_s = estimator.get_typical_service_s(hosts, build_flow(), NOW)
    assert typical_s == pytest.approx(0.03)


def test_route_without_answers_has_no_service_time() -> None:
    # Guards against a report of no answers that counts as an infinitely fast host.
    host = build_host("10.0.0.1", now=NOW)
    host.record_routes([RouteReport(ROUTE_TAG, 0, 0.0, 0, 0)])
    assert host.service_times == {}


def test_nothing_learned_falls_back_on_queue_lengths() -> None:
    # Guards against a front that has restarted and chooses at random.
    hosts = [build_host(f"10.0.0.{number}", now=NOW) for number in range(3)]
    for host, in_flight in zip(hosts, (6, 2, 5), strict=True):
        host.protocol = 1
        host.in_flight = in_flight
    assert count_chosen(hosts, flows=50) == {"10.0.0.1": 50}


# Properties of every choice.


@st.composite
def draw_host(draw: st.DrawFn, number: int) -> Host:
    host = build_host(
        f"10.0.0.{number}",
        draw(st.sampled_from(["medina", "sakiet", "thyna"])),
        draw(st.integers(1, 4)),
    )
    host.state = draw(st.sampled_from(HostState))
    host.last_heard_at = NOW - draw(st.floats(0.0, 3.0))
    host.reported_at = host.last_heard_at - draw(st.sampled_from([0.0, 2.0]))
    host.protocol = draw(st.integers(1, 2))
    host.in_flight = draw(st.integers(0, 60_000))
    host.wait_s = draw(st.floats(0.0, 65.0))
    host.cold_until = NOW + draw(st.floats(-1.0, 1.0))
    host.avoid_until = NOW + draw(st.floats(-0.1, 0.1))
    host.round_trip.min_s = draw(st.none() | st.floats(0.0, 1.0))
    host.service_times = draw(
        st.dictionaries(st.sampled_from([1, ROUTE_TAG]), st.floats(1e-6, 30.0))
    )
    return host


draw_hosts = st.integers(0, 8).flatmap(
    lambda count: st.tuples(*(draw_host(number) for number in range(count)))
)


@given(
    draw_hosts,
    st.sampled_from([FORMER, BY_DELAY, BY_DEADLINE]),
    st.sets(st.sampled_from(["sakiet", "thyna"])),
    st.sets(st.sampled_from(["10.0.0.0", "10.0.0.1"])),
    st.floats(-1.0, 10.0),
)
@settings(deadline=None)
def test_only_usable_hosts_are_chosen(
    hosts: tuple[Host, ...],
    policy: LoadPolicy,
    evacuated: set[str],
    declined_by: set[str],
    left_s: float,
) -> None:
    # Guards against flows to hosts that drain, have left, are evacuated or declined it.
    chooser = HostChooser(policy, "10.1.0.1", "medina")
    choice = chooser.choose(hosts, build_flow(), evacuated, declined_by, left_s, NOW)
    usable = [host for host in hosts if is_usable(host, evacuated, declined_by, NOW)]
    if choice.host is not None:
        assert choice.host in usable
        return
    if not usable:
        assert choice.reason == "no host"
        return
    # A refusal needs a known wait at each host.
    assert choice.reason == "overload"
    assert all(is_wait_known(host, NOW) for host in usable)


@given(draw_hosts, st.floats(-1.0, 10.0))
@settings(deadline=None)
def test_without_deadlines_some_usable_host_is_chosen(
    hosts: tuple[Host, ...], left_s: float
) -> None:
    # Guards against a refusal by the choice alone.
    chooser = HostChooser(BY_DELAY, "10.1.0.1", "medina")
    choice = chooser.choose(hosts, build_flow(), (), (), left_s, NOW)
    has_usable = any(is_usable(host, (), (), NOW) for host in hosts)
    assert (choice.host is not None) == has_usable


def test_declining_host_is_a_last_resort() -> None:
    # Guards against flows that go to a host that has just declined one.
    hosts = [build_loaded("10.0.0.1", 0.0), build_loaded("10.0.0.2", 0.1)]
    hosts[0].avoid_until = NOW + 0.1
    assert count_chosen(hosts, flows=20) == {"10.0.0.2": 20}
    hosts[1].avoid_until = NOW + 0.1
    assert count_chosen(hosts, flows=20) == {"10.0.0.1": 20}


def test_host_with_many_unreported_flows_is_too_late_before_any_service_time() -> None:
    """Guards against all callers of an outage at the one gate that is heard first."""
    chooser = HostChooser(BY_DEADLINE, "10.1.0.1", "medina")
    host = build_host("10.1.0.11", "medina", 1)
    host.record_load(0, 0, NOW)
    placed = 0
    for number in range(121):
        flow = NewFlow(number.to_bytes(12), SERVICE, ROUTE_TAG)
        choice = chooser.choose([host], flow, (), (), 1.5, NOW)
        if choice.host is None:
            assert choice.reason == "overload"
            continue
        host.record_placement(NOW)
        placed += 1
    assert 20 < placed <= 60
