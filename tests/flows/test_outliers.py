"""Levels of use that a front sets from the answers of the hosts."""

from __future__ import annotations

import statistics

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.flows.deviations import (
    MIN_ANSWERS,
    compute_peer_median,
    find_deviations,
)
from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.messages import RouteReport
from balsamstream.flows.outliers import (
    EJECTION_S,
    EVALUATION_INTERVAL_S,
    EVIDENCE_TIMEOUT_S,
    MAX_EJECTION_S,
    PROBE_INTERVAL_S,
    QUARTER_S,
    REPORT_ROUND_S,
    OutlierDetector,
    Use,
)
from balsamstream.flows.placement import Host, choose_host

from .deployment import RecordedEvents
from .outlier_replay import build_report

GOOD = RouteReport(7, 100, 20.0, 500, 0)
FAILING = RouteReport(7, 0, 0.0, 0, 100)
HALF_FAILING = RouteReport(7, 50, 20.0, 500, 50)
SLOW = RouteReport(7, 30, 100.0, 500, 0)
FAST = RouteReport(7, 100, 1.0, 500, 0)
SHORT = RouteReport(7, 100, 20.0, 60, 0)
FEW = RouteReport(7, 0, 0.0, 0, MIN_ANSWERS - 1)
START = 100.0


class Fleet:
    """Hosts of one service, the detector of one front, and a clock."""

    def __init__(self, count: int) -> None:
        self.now = START
        self.events = RecordedEvents()
        self.hosts = [build_host(number) for number in range(count)]
        self.detector = OutlierDetector(self.events, "route-{}".format, self.now)

    def report(self, *reports: RouteReport | None, name: str = "") -> None:
        """Deliver a report of each host; None for no report, GOOD for the others."""
        padding = (GOOD,) * (len(self.hosts) - len(reports))
        for host, report in zip(self.hosts, reports + padding, strict=True):
            if report is not None:
                self.deliver(host, [report], name=name)

    def deliver(
        self,
        host: Host,
        routes: list[RouteReport],
        name: str = "",
        cold_left_s: float = 0.0,
    ) -> None:
        """Deliver a report of one host."""
        report = build_report(host, FixedRecord(routes), 0, self.now)
        changes = {"host": name or f"i-{host.ip}", "cold_left_s": cold_left_s}
        report = type(report)(**(to_fields(report) | changes))
        self.detector.handle_report(host, report, self.now)
        host.name = report.host
        host.cold_until = self.now + cold_left_s
        host.routes = report.routes
        host.record_load(0, 0, self.now)

    def run(self, seconds: float, *reports: RouteReport | None) -> None:
        """Let time pass with reports twice a second."""
        for _ in range(round(seconds / EVALUATION_INTERVAL_S)):
            self.report(*reports)
            self.now += REPORT_ROUND_S
            self.detector.tick(self.hosts, self.now)
            self.now += EVALUATION_INTERVAL_S - REPORT_ROUND_S

    def count_reduced(self) -> int:
        """Return the number of ready hosts at a reduced level."""
        return sum(
            host.use is not Use.FULL and host.state is HostState.READY
            for host in self.hosts
        )

    def get_changes(self, ip: str) -> list[tuple[str, str]]:
        """Return the levels that a host was set to, with the reasons."""
        return [
            (inputs["use"], inputs["reason"])
            for name, inputs in self.events.lines
            if name == "host_use" and inputs["host"] == ip
        ]


class FixedRecord:
    """Record of a gate that reports given routes."""

    def __init__(self, routes: list[RouteReport]) -> None:
        self._routes = routes

    def build_reports(self, _now: float) -> list[RouteReport]:
        """Return the routes."""
        return self._routes


def to_fields(report: object) -> dict[str, object]:
    return {name: getattr(report, name) for name in report.__struct_fields__}  # type: ignore[attr-defined]


def build_host(number: int) -> Host:
    return Host(
        f"10.0.0.{number}",
        ("", 1),
        service="comptoir",
        data_centre="medina",
        state=HostState.READY,
        last_heard_at=START,
    )


def build_flow(number: int) -> bytes:
    return number.to_bytes(12)


# Criteria.


@pytest.mark.parametrize(
    ("report", "criterion", "value", "peers"),
    [
        (FAILING, "failures", 1.0, 0.0),
        (HALF_FAILING, "failures", 0.5, 0.0),
        (SLOW, "slow", 100.0, 20.0),
        (FAST, "fast", 1.0, 20.0),
        (SHORT, "bytes", 60.0, 500.0),
    ],
)
def test_deviation_is_found_and_logged_with_the_peers_figures(
    report: RouteReport, criterion: str, value: float, peers: float
) -> None:
    fleet = Fleet(6)
    fleet.run(0.5, report)
    assert [host.use for host in fleet.hosts] == [Use.PROBE] + [Use.FULL] * 5
    (change,) = [inputs for name, inputs in fleet.events.lines if name == "host_use"]
    assert change == {
        "host": "10.0.0.0",
        "service": "comptoir",
        "use": "probe",
        "before": "full",
        "reason": criterion,
        "route": "route-7",
        "value": value,
        "peers": peers,
        "requests": report.answers + report.failures,
        "ejection_s": EJECTION_S,
        "reduced": 1,
        "limit": 2,
    }


@pytest.mark.parametrize(
    "report",
    [
        FEW,
        RouteReport(7, 76, 20.0, 500, 24),
        RouteReport(7, 100, 59.0, 500, 0),
        RouteReport(7, 100, 7.0, 500, 0),
        RouteReport(7, 100, 20.0, 251, 0),
    ],
)
def test_host_within_the_bounds_stays_at_full_use(report: RouteReport) -> None:
    fleet = Fleet(6)
    fleet.run(2.0, report)
    assert fleet.count_reduced() == 0


@pytest.mark.parametrize(("answers", "size"), [(9, 153), (22, 215), (45, 218)])
def test_host_with_some_small_answers_stays_at_full_use(
    answers: int, size: int
) -> None:
    """Guards against an ejection of healthy hosts whose answers vary in size."""
    fleet = Fleet(10)
    fleet.run(1.0, RouteReport(7, answers, 20.0, size, 0))
    assert fleet.hosts[0].use is Use.FULL


def test_host_with_fewer_than_four_peers_stays_at_full_use() -> None:
    fleet = Fleet(4)
    fleet.run(2.0, FAILING)
    assert fleet.count_reduced() == 0


def test_peers_count_only_on_routes_that_they_serve() -> None:
    fleet = Fleet(8)
    other = RouteReport(9, 100, 100.0, 50, 0)
    fleet.run(2.0, FAILING, other, other, other, other)
    assert fleet.count_reduced() == 0


def test_failures_that_all_hosts_share_reduce_none() -> None:
    # Under overload, all hosts shed alike.
    fleet = Fleet(8)
    fleet.run(2.0, *[RouteReport(7, 80, 20.0, 500, 20)] * 4, HALF_FAILING)
    reports = [RouteReport(7, 70, 20.0, 500, 30)] * 7
    fleet.run(2.0, RouteReport(7, 10, 20.0, 500, 90), *reports)
    assert ("probe", "failures") not in fleet.get_changes("10.0.0.0")


def test_difference_of_a_millisecond_is_no_deviation() -> None:
    fleet = Fleet(6)
    quick = RouteReport(7, 100, 0.5, 500, 0)
    fleet.run(1.0, RouteReport(7, 100, 2.0, 500, 0), *[quick] * 5)
    assert fleet.count_reduced() == 0


@given(st.lists(st.floats(0.0, 1e3), min_size=2, max_size=40), st.data())
@settings(deadline=None)
def test_peer_median_is_the_median_of_the_other_figures(
    values: list[float], data: st.DataObject
) -> None:
    index = data.draw(st.integers(0, len(values) - 1))
    peers = values[:index] + values[index + 1 :]
    found = compute_peer_median(sorted(values), values[index])
    assert found == pytest.approx(statistics.median(peers))


# Levels.


def test_ejection_ends_with_a_quarter_and_then_full_use() -> None:
    fleet = Fleet(6)
    fleet.run(0.5, FAILING)
    fleet.run(EJECTION_S + QUARTER_S + 1.0)
    changes = [use for use, _ in fleet.get_changes("10.0.0.0")]
    assert changes == ["probe", "quarter", "full"]


def test_ejections_within_a_minute_last_twice_as_long_each() -> None:
    fleet = Fleet(6)
    fleet.run(70.0, FAILING)
    lengths = [
        inputs["ejection_s"]
        for name, inputs in fleet.events.lines
        if name == "host_use" and inputs["use"] == "probe"
    ]
    assert lengths[:5] == [2.0, 4.0, 8.0, 16.0, 16.0]
    assert max(lengths) == MAX_EJECTION_S


def test_ejection_is_short_again_after_a_quiet_minute() -> None:
    fleet = Fleet(6)
    fleet.run(10.0, FAILING)
    fleet.run(90.0)
    fleet.events.lines.clear()
    fleet.run(0.5, FAILING)
    (change,) = [inputs for name, inputs in fleet.events.lines if name == "host_use"]
    assert change["ejection_s"] == EJECTION_S


def test_level_stays_until_its_time_ends_without_reports() -> None:
    # The reports are lost; old evidence neither prolongs nor ends an ejection.
    fleet = Fleet(6)
    fleet.run(1.0, FAILING)
    silent = (None,) * len(fleet.hosts)
    fleet.run(EJECTION_S - 1.0, *silent)
    assert fleet.hosts[0].use is Use.PROBE
    for _ in range(20):
        fleet.run(0.5, *silent)
        for host in fleet.hosts:
            host.last_heard_at = fleet.now
    assert fleet.hosts[0].use is Use.FULL


def test_old_evidence_ejects_no_host() -> None:
    fleet = Fleet(6)
    fleet.report(FAILING)
    fleet.now += EVIDENCE_TIMEOUT_S + 0.1
    for host in fleet.hosts:
        host.last_heard_at = fleet.now
    fleet.detector.tick(fleet.hosts, fleet.now)
    assert fleet.count_reduced() == 0


def test_evaluation_waits_for_a_round_of_reports() -> None:
    fleet = Fleet(6)
    fleet.now += EVALUATION_INTERVAL_S / 2.0
    fleet.report(FAILING)
    fleet.detector.tick(fleet.hosts, fleet.now)
    assert fleet.count_reduced() == 0
    fleet.now += REPORT_ROUND_S
    fleet.detector.tick(fleet.hosts, fleet.now)
    assert fleet.count_reduced() == 1


# Bounds.


def test_worst_hosts_are_reduced_first() -> None:
    fleet = Fleet(9)
    fleet.run(0.5, SLOW, SLOW, HALF_FAILING, FAILING, FAILING)
    reduced = [host.ip for host in fleet.hosts if host.use is not Use.FULL]
    assert reduced == ["10.0.0.2", "10.0.0.3", "10.0.0.4"]
    assert fleet.events.names().count("outliers.spared") == 2


def test_worse_host_takes_the_place_of_a_milder_case() -> None:
    fleet = Fleet(5)
    fleet.run(1.0, SLOW)
    fleet.run(1.0, SLOW, FAILING)
    assert [host.use for host in fleet.hosts[:2]] == [Use.FULL, Use.PROBE]
    assert fleet.get_changes("10.0.0.0")[-1] == ("full", "a worse host")


def test_equal_cases_do_not_displace_each_other() -> None:
    fleet = Fleet(5)
    fleet.run(6.0, SLOW, RouteReport(7, 30, 110.0, 500, 0))
    assert fleet.get_changes("10.0.0.0") == []


def test_hosts_of_an_evacuated_data_centre_do_not_count_as_ready() -> None:
    # Otherwise more than a third of the hosts that get new flows would be reduced.
    fleet = Fleet(12)
    for host in fleet.hosts[6:]:
        host.data_centre = "sakiet"
    fleet.report(SLOW, SLOW, FAILING, FAILING)
    fleet.detector.evaluate(fleet.hosts, fleet.now, {"sakiet"})
    reduced = [host.ip for host in fleet.hosts if host.use is not Use.FULL]
    assert reduced == ["10.0.0.2", "10.0.0.3"]


def test_mildest_case_returns_when_ready_hosts_leave() -> None:
    fleet = Fleet(9)
    fleet.run(1.0, SLOW, HALF_FAILING, FAILING)
    assert fleet.count_reduced() == 3
    for host in fleet.hosts[6:]:
        host.state = HostState.GONE
    fleet.run(0.5, SLOW, HALF_FAILING, FAILING)
    assert [host.use for host in fleet.hosts[:3]] == [Use.FULL, Use.PROBE, Use.PROBE]
    assert fleet.get_changes("10.0.0.0")[-1] == ("full", "too many")


REPORTS = st.sampled_from(
    [GOOD, GOOD, FAILING, HALF_FAILING, SLOW, FAST, SHORT, FEW, None]
)
ROUNDS = st.lists(
    st.tuples(
        st.lists(REPORTS, min_size=12, max_size=12),
        st.lists(st.booleans(), min_size=12, max_size=12),
        st.sampled_from([0.1, 0.5, 0.5, 1.0, 4.0]),
    ),
    min_size=1,
    max_size=25,
)


@given(st.integers(1, 12), ROUNDS)
@settings(max_examples=150, deadline=None)
def test_at_most_a_third_of_the_ready_hosts_is_reduced(
    count: int,
    rounds: list[tuple[list[RouteReport | None], list[bool], float]],
) -> None:
    fleet = Fleet(count)
    for reports, are_ready, gap_s in rounds:
        for host, is_ready in zip(fleet.hosts, are_ready, strict=False):
            host.state = HostState.READY if is_ready else HostState.UNKNOWN
        fleet.report(*reports[:count])
        fleet.now += gap_s
        fleet.detector.evaluate(fleet.hosts, fleet.now)
        ready = [
            host
            for host in fleet.hosts
            if host.state is HostState.READY and host.is_alive(fleet.now)
        ]
        reduced = [host for host in ready if host.use is not Use.FULL]
        assert 3 * len(reduced) <= len(ready)


@given(st.integers(5, 12), ROUNDS)
@settings(max_examples=60, deadline=None)
def test_all_hosts_return_to_full_use_when_the_evidence_ends(
    count: int,
    rounds: list[tuple[list[RouteReport | None], list[bool], float]],
) -> None:
    fleet = Fleet(count)
    for reports, _, gap_s in rounds:
        fleet.report(*reports[:count])
        fleet.now += gap_s
        fleet.detector.evaluate(fleet.hosts, fleet.now)
    fleet.run(MAX_EJECTION_S + QUARTER_S + 2 * EVALUATION_INTERVAL_S)
    assert [host.use for host in fleet.hosts] == [Use.FULL] * count


# Placement.


def choose(fleet: Fleet, flow: int, *declined_by: str) -> Host | None:
    return choose_host(
        fleet.hosts, "medina", (), declined_by, fleet.now, build_flow(flow)
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(Use),
            st.booleans(),
            st.booleans(),
            st.integers(0, 3),
            st.booleans(),
        ),
        min_size=1,
        max_size=8,
    ),
    st.binary(min_size=12, max_size=12),
)
@settings(deadline=None)
def test_reduced_host_is_chosen_if_there_is_no_other(
    states: list[tuple[Use, bool, bool, int, bool]], flow: bytes
) -> None:
    fleet = Fleet(len(states))
    usable = []
    for host, state in zip(fleet.hosts, states, strict=True):
        host.use, is_ready, has_declined, host.in_flight, may_probe = state
        host.state = HostState.READY if is_ready else HostState.DRAINING
        host.probe_due = 0.0 if may_probe else fleet.now + 0.5
        if is_ready and not has_declined:
            usable.append(host)
    declined_by = [
        host.ip for host, state in zip(fleet.hosts, states, strict=True) if state[2]
    ]
    chosen = choose_host(fleet.hosts, "medina", (), declined_by, fleet.now, flow)
    assert (chosen is not None) == bool(usable)
    if any(host.use is Use.FULL for host in usable):
        assert chosen is not None
        assert chosen.is_eligible(flow, fleet.now)


def test_busy_host_is_chosen_before_an_idle_one_that_the_level_excludes() -> None:
    fleet = Fleet(2)
    fleet.hosts[0].use = Use.PROBE
    fleet.hosts[0].probe_due = fleet.now + 1.0
    fleet.hosts[1].in_flight = 5
    assert choose(fleet, 1) is fleet.hosts[1]
    assert choose(fleet, 1, "10.0.0.1") is fleet.hosts[0]


def test_quarter_level_admits_a_quarter_of_the_flows() -> None:
    fleet = Fleet(2)
    fleet.hosts[0].use = Use.QUARTER
    fleet.hosts[1].in_flight = 1
    chosen = [choose(fleet, flow) for flow in range(4_000)]
    share = sum(host is fleet.hosts[0] for host in chosen) / len(chosen)
    assert 0.22 <= share <= 0.28
    again = [choose(fleet, flow) for flow in range(4_000)]
    assert again == chosen


def test_probe_level_admits_one_flow_a_second() -> None:
    fleet = Fleet(2)
    fleet.run(0.5)
    fleet.hosts[0].use = Use.PROBE
    fleet.hosts[1].in_flight = 1
    probes = 0
    for flow in range(1_000):
        fleet.now += 0.01
        fleet.hosts[0].record_load(0, 0, fleet.now)
        fleet.hosts[1].record_load(1, 1, fleet.now)
        chosen = choose(fleet, flow)
        if chosen is fleet.hosts[0]:
            chosen.record_placement(fleet.now)
            probes += 1
    assert probes == pytest.approx(10.0 / PROBE_INTERVAL_S, abs=1)


# Replaced hosts.


def test_host_of_another_name_returns_to_full_use() -> None:
    fleet = Fleet(6)
    fleet.run(1.0, FAILING)
    fleet.deliver(fleet.hosts[0], [], name="i-replaced")
    assert fleet.hosts[0].use is Use.FULL
    assert fleet.get_changes("10.0.0.0")[-1] == ("full", "new incarnation")


def test_host_that_starts_cold_returns_to_full_use_once() -> None:
    fleet = Fleet(6)
    fleet.run(1.0, FAILING)
    fleet.deliver(fleet.hosts[0], [], cold_left_s=2.0)
    assert fleet.hosts[0].use is Use.FULL
    # The rest of the same cold start is no further incarnation.
    fleet.deliver(fleet.hosts[0], [FAILING], cold_left_s=2.0)
    fleet.now += 0.5
    fleet.detector.evaluate(fleet.hosts, fleet.now)
    assert fleet.hosts[0].use is Use.PROBE
    fleet.deliver(fleet.hosts[0], [FAILING], cold_left_s=1.5)
    assert fleet.hosts[0].use is Use.PROBE


def test_host_that_always_reports_a_cold_start_is_compared() -> None:
    fleet = Fleet(6)
    for _ in range(4):
        fleet.report(None)
        fleet.deliver(fleet.hosts[0], [FAILING], cold_left_s=2.0)
        fleet.now += 0.5
        fleet.detector.evaluate(fleet.hosts, fleet.now)
    assert fleet.hosts[0].use is Use.PROBE


def test_new_incarnation_starts_with_a_short_ejection() -> None:
    fleet = Fleet(6)
    fleet.run(10.0, FAILING)
    fleet.deliver(fleet.hosts[0], [], name="i-replaced")
    fleet.events.lines.clear()
    fleet.hosts[0].name = "i-10.0.0.0"
    fleet.run(0.5, FAILING)
    changes = [inputs for name, inputs in fleet.events.lines if name == "host_use"]
    assert changes[0]["ejection_s"] == EJECTION_S


def test_host_without_evidence_deviates_from_nothing() -> None:
    # A gate of an earlier release reports no routes.
    fleet = Fleet(6)
    fleet.run(1.0)
    fleet.hosts[0].routes = []
    assert find_deviations(fleet.hosts) == {}
