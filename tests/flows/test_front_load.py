"""Placement, refusals and second placements of a front, and single failures.

The gates are messages that the tests write, so that each wait and each age is given.
"""

from __future__ import annotations

import itertools
import math

import pytest

from balsamstream.flows.front import Front
from balsamstream.flows.load_policy import LoadPolicy
from balsamstream.flows.messages import (
    LOAD_MESSAGE,
    MAX_MS,
    TIMED_DECLINED_HEADER,
    TIMED_LOAD_MESSAGE,
    TIMED_OPEN_HEADER,
    DeclineReason,
    Hello,
    Kind,
    Report,
    RouteReport,
    compute_route_tag,
    compute_service_tag,
    decode_control,
    encode_control,
)
from balsamstream.flows.openings import ATTEMPT_S, MAX_PLACEMENTS
from balsamstream.platform import packets
from standins.flow_host import RST, SYN, Packet, decode

from .deployment import (
    ROUTE,
    SERVICE,
    Caller,
    Deployment,
    RecordedEvents,
    build_desired,
    to_number,
)

BY_DEADLINE = LoadPolicy(by_delay=True, by_deadline=True)
FORMER = LoadPolicy()
FRONT = "10.1.0.1"
OWN = "10.1.0.11"
FIRST, SECOND, THIRD = "10.2.0.11", "10.2.0.12", "10.2.0.13"
ROUTE_TAG = compute_route_tag(packets.pack_route(*ROUTE))
DEADLINE_S = 2.0
OBJECTIVE_S = 0.25


class FrontAlone:
    """A front whose gates are written messages."""

    def __init__(self, policy: LoadPolicy = BY_DEADLINE) -> None:
        self.now = 100.0
        self.events = RecordedEvents()
        self.opened: list[tuple[str, bytes]] = []
        self.hellos: list[str] = []
        self.resets: list[Packet] = []
        self._sequences = itertools.count(1)
        self.front = Front(
            self,
            self.events,
            ip=FRONT,
            data_centre="medina",
            node_port=7_720,
            now=self.now,
            policy=policy,
        )
        desired = build_desired(1, {ROUTE: SERVICE})
        self.front.fleet.apply_desired_state(desired, "test", self.now)

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Record an opening."""
        self.opened.append((address[0], message))

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Record a hello."""
        match decode_control(message):
            case Hello():
                self.hellos.append(ip)

    def send_to_caller(self, packet: bytes) -> None:
        """Record a reset."""
        self.resets.append(decode(packet))

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Fetch nothing."""

    def handle_newer_era(self, era: int) -> None:
        """Read nothing."""

    def report(
        self,
        ip: str,
        wait_ms: int = 0,
        *,
        protocol: int = 2,
        in_flight: int | None = None,
    ) -> None:
        """Deliver a report of a gate."""
        report = Report(
            gate_incarnation=1,
            sequence=next(self._sequences),
            host=f"i-{ip}",
            service=SERVICE,
            data_centre="medina" if ip == OWN else "sakiet",
            state=1,
            slots=1,
            cold_left_s=0.0,
            in_flight=math.ceil(wait_ms / 25) if in_flight is None else in_flight,
            flows=0,
            evacuations_era=0,
            evacuations_revision=0,
            seeks_hello=False,
            may_hold_flows=True,
            protocol=protocol,
            wait_ms=wait_ms if protocol > 1 else 0,
            routes=[RouteReport(ROUTE_TAG, 32, 25.0, 100, 0)],
        )
        self.front.handle_message(encode_control(report), ip, self.now)

    def send_load(self, ip: str, wait_ms: int, *, is_timed: bool = True) -> None:
        """Deliver a load message of a gate."""
        values = (next(self._sequences), math.ceil(wait_ms / 25), 0, 1)
        if is_timed:
            message = TIMED_LOAD_MESSAGE.pack(Kind.TIMED_LOAD, *values, wait_ms)
        else:
            message = LOAD_MESSAGE.pack(Kind.LOAD, *values)
        self.front.handle_message(message, ip, self.now)

    def open(self, copy: int = 0, port: int = 40_001) -> bytes:
        """Send an opening packet or a copy of it; return it."""
        packet = Packet(
            (to_number("100.64.0.7"), port),
            (to_number(ROUTE[0]), ROUTE[1]),
            SYN,
            seq=7,
            ack=copy,
        ).encode()
        self.front.handle_caller_packet(packet, self.now)
        return packet

    def decline(
        self, packet: bytes, left_s: float, reason: DeclineReason = DeclineReason.BUSY
    ) -> None:
        """Let the last gate decline a timed opening."""
        header = TIMED_DECLINED_HEADER.pack(
            Kind.TIMED_DECLINED, reason, 0, round(left_s * 1_000)
        )
        self.front.handle_message(header + packet, self.opened[-1][0], self.now)

    def get_targets(self) -> list[str]:
        """Return the gates that openings were sent to, in order."""
        return [ip for ip, _ in self.opened]

    def get_last(self, event: str) -> dict[str, object]:
        """Return the fields of the last event of a name."""
        return [fields for name, fields in self.events.lines if name == event][-1]

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and run the periodic work."""
        self.now += seconds
        self.front.tick(self.now)


@pytest.fixture
def alone() -> FrontAlone:
    made = FrontAlone()
    made.report(OWN, 0)
    made.report(FIRST, 200)
    made.report(SECOND, 300)
    made.report(THIRD, 400)
    return made


# Openings.


def test_timed_opening_states_the_time_left(alone: FrontAlone) -> None:
    packet = alone.open()
    ip, message = alone.opened[-1]
    assert ip == OWN
    assert TIMED_OPEN_HEADER.unpack_from(message) == (
        Kind.TIMED_OPEN,
        compute_service_tag(SERVICE),
        1,
        ROUTE_TAG,
        250,
        2_000,
    )
    assert message[TIMED_OPEN_HEADER.size :] == packet


def test_copy_has_less_time_left(alone: FrontAlone) -> None:
    # Guards against gates that work for callers whose deadline is over.
    alone.open()
    alone.send_load(OWN, 25)
    alone.now += 0.2
    alone.open(copy=1)
    *_, objective_ms, deadline_ms = TIMED_OPEN_HEADER.unpack_from(alone.opened[-1][1])
    assert alone.get_targets() == [OWN, OWN]
    assert (objective_ms, deadline_ms) == (50, 1_800)


def test_gate_of_an_older_release_gets_the_former_opening() -> None:
    # Guards against message kinds that a gate of protocol 1 does not know.
    alone = FrontAlone()
    alone.report(OWN, protocol=1)
    alone.open()
    assert alone.opened[-1][1][0] == Kind.OPEN


def test_former_policy_sends_the_former_opening() -> None:
    alone = FrontAlone(FORMER)
    alone.report(OWN)
    alone.open()
    assert alone.opened[-1][1][0] == Kind.OPEN
    assert "expected_s" not in alone.get_last("placed")


def test_former_policy_learns_no_round_trip() -> None:
    # Guards against a change of behaviour where the decisions are off.
    alone = FrontAlone(FORMER)
    for _ in range(4):
        alone.report(OWN)
        alone.pass_time(0.5)
    host = alone.front.fleet.find_host(OWN)
    assert host is not None
    assert host.round_trip.min_s is None


def test_round_trip_is_learned_from_hellos_and_reports() -> None:
    alone = FrontAlone()
    alone.report(OWN)
    for _ in range(3):
        alone.pass_time(0.492)
        assert alone.hellos[-1] == OWN
        alone.now += 0.008
        alone.report(OWN)
    alone.pass_time(0.5)
    host = alone.front.fleet.find_host(OWN)
    assert host is not None
    assert host.round_trip.min_s == pytest.approx(0.008)


def test_load_without_a_wait_makes_it_unknown(alone: FrontAlone) -> None:
    # Guards against the wait of an earlier report beside the load of a later one.
    alone.send_load(FIRST, 0, is_timed=False)
    host = alone.front.fleet.find_host(FIRST)
    assert host is not None
    assert host.wait_s == 0.0


def test_log_states_delay_and_age_of_the_report(alone: FrontAlone) -> None:
    alone.now += 0.05
    alone.open()
    placed = alone.get_last("placed")
    assert placed["expected_s"] == 0.025
    assert placed["report_age_s"] == 0.05
    assert placed["left_s"] == DEADLINE_S
    assert placed["declined_as"] == ""


# Refusals.


def test_flow_that_no_host_can_answer_is_refused_at_once() -> None:
    # Guards against packets that cross data centres only to be refused there.
    alone = FrontAlone()
    for ip in (OWN, FIRST, SECOND):
        alone.report(ip, 2_100)
    alone.open()
    assert alone.opened == []
    assert [each.flags & RST for each in alone.resets] == [RST]
    refused = alone.get_last("refused")
    assert refused["reason"] == "overload"
    assert refused["expected_s"] == pytest.approx(2.125)


def test_former_policy_sends_that_flow_to_a_full_host() -> None:
    alone = FrontAlone(FORMER)
    for ip in (OWN, FIRST, SECOND):
        alone.report(ip, 2_100)
    alone.open()
    assert len(alone.opened) == 1
    assert alone.resets == []


def test_copy_without_its_first_packet_is_not_refused() -> None:
    # Guards against a reset of a flow that was opened through another front.
    alone = FrontAlone()
    alone.report(OWN, 2_100)
    alone.open(copy=1)
    assert alone.opened == []
    assert alone.resets == []
    assert alone.get_last("ignored")["reason"] == "overload"


@pytest.mark.parametrize("protocol", [1, 2])
def test_unknown_wait_refuses_nothing(protocol: int) -> None:
    # Guards against refusals by a gate that reports no wait: an older release, or one
    # that has no samples yet.
    alone = FrontAlone()
    alone.report(OWN, 2_100)
    alone.report(FIRST, 0, protocol=protocol, in_flight=500)
    alone.open()
    assert alone.get_targets() == [FIRST]


def test_wait_from_before_a_pause_refuses_nothing() -> None:
    # Guards against refusals by reports that a pause of this process has made old.
    alone = FrontAlone()
    alone.report(OWN, 9_000)
    alone.now += 2.0
    alone.front.handle_pause(2.0, alone.now)
    alone.open()
    assert alone.get_targets() == [OWN]


def test_refusal_asks_for_more_gates() -> None:
    # Guards against refusals while hosts that this front does not know are idle.
    alone = FrontAlone()
    alone.report(OWN, 2_100)
    alone.open()
    assert "contacts.widened" in alone.events.names()


# Second placements.


def test_busy_decline_is_followed_by_another_host(alone: FrontAlone) -> None:
    # Guards against an attempt that ends although another host has capacity.
    packet = alone.open()
    alone.decline(packet, 1.9)
    assert alone.get_targets() == [OWN, FIRST]
    assert alone.resets == []
    *_, deadline_ms = TIMED_OPEN_HEADER.unpack_from(alone.opened[-1][1])
    assert deadline_ms == 1_900
    assert alone.get_last("placed")["declined_as"] == "busy"


def test_former_policy_refuses_after_a_busy_decline() -> None:
    alone = FrontAlone(FORMER)
    alone.report(OWN)
    alone.report(FIRST)
    packet = alone.open()
    alone.decline(packet, 1.9)
    assert alone.get_targets() == [OWN]
    assert len(alone.resets) == 1


def test_busy_decline_is_a_refusal_if_the_others_are_too_late(
    alone: FrontAlone,
) -> None:
    # Guards against a second wait that ends after the caller's deadline.
    packet = alone.open()
    alone.decline(packet, 0.1)
    assert alone.get_targets() == [OWN]
    assert len(alone.resets) == 1
    assert alone.get_last("refused")["reason"] == "overload"


def test_second_wait_ends_before_the_attempt() -> None:
    # Guards against a slot for an attempt that its caller has given up.
    alone = FrontAlone()
    alone.report(OWN, 0)
    alone.report(FIRST, 400)
    packet = alone.open()
    alone.decline(packet, DEADLINE_S - ATTEMPT_S + 0.3)
    assert alone.get_targets() == [OWN]
    assert len(alone.resets) == 1


@pytest.mark.parametrize(("in_flight", "targets"), [(0, [OWN, FIRST]), (2, [OWN])])
def test_second_host_of_unknown_wait_has_a_free_slot(
    in_flight: int, targets: list[str]
) -> None:
    # Guards against a flow that waits at one host after another without an estimate.
    alone = FrontAlone()
    alone.report(OWN)
    alone.report(FIRST, protocol=1, in_flight=in_flight)
    packet = alone.open()
    alone.decline(packet, 1.9)
    assert alone.get_targets() == targets
    assert len(alone.resets) == 2 - len(targets)


def test_flow_that_all_hosts_decline_is_refused(alone: FrontAlone) -> None:
    packet = alone.open()
    for _ in range(4):
        alone.decline(packet, 1.9)
    assert sorted(alone.get_targets()) == sorted([OWN, FIRST, SECOND, THIRD])
    assert len(alone.resets) == 1
    assert alone.get_last("refused")["reason"] == "busy"


def test_flow_is_offered_to_few_hosts(alone: FrontAlone) -> None:
    # Guards against a flow that wanders through a whole service.
    for number in range(8):
        alone.report(f"10.2.0.{30 + number}", 10)
    packet = alone.open()
    for _ in range(MAX_PLACEMENTS):
        alone.decline(packet, 1.9)
    assert len(alone.opened) == MAX_PLACEMENTS
    assert len(alone.resets) == 1


def test_busy_decline_of_an_older_gate_counts_its_wait() -> None:
    # Guards against a second wait beyond the deadline after 0.4 s at an older gate,
    # which does not state the time left.
    alone = FrontAlone()
    alone.report(OWN, protocol=1)
    alone.report(FIRST, 1_100)
    packet = alone.open()
    decline = bytes((Kind.DECLINED, DeclineReason.BUSY))
    alone.front.handle_message(decline + packet, OWN, alone.now)
    assert alone.get_targets() == [OWN]
    assert len(alone.resets) == 1


def test_deadline_beyond_the_header_is_no_elapsed_time() -> None:
    # Guards against routes with deadlines above 65.5 s, which headers cannot hold.
    alone = FrontAlone()
    desired = build_desired(2, {ROUTE: SERVICE}, deadline_s=600.0)
    alone.front.fleet.apply_desired_state(desired, "test", alone.now)
    alone.report(OWN)
    alone.report(FIRST, 100)
    packet = alone.open()
    alone.decline(packet, MAX_MS / 1_000)
    assert alone.get_targets() == [OWN, FIRST]


# Fronts with these decisions and gates of an earlier release or of this one.


def test_flow_is_served_through_a_gate() -> None:
    deployment = Deployment(front_policy=BY_DEADLINE)
    deployment.add_gate(OWN)
    deployment.add_front(FRONT)
    deployment.pass_time(1.0)
    caller = Caller(deployment)
    caller.open(FRONT)
    (answer,) = caller.send_request(FRONT)
    assert answer.data == b"answer request"


def test_flow_that_waited_at_gates_without_estimates_is_refused() -> None:
    # Load pattern: more callers than all hosts can serve, at gates that report no wait.
    # Placed at one host after another, an opening packet outlived its caller's attempt
    # and then took a slot, and the service collapsed.
    deployment = Deployment(front_policy=BY_DEADLINE)
    for ip in (OWN, FIRST):
        deployment.add_gate(ip).host.withholds_answers = True
    deployment.add_front(FRONT)
    deployment.pass_time(1.0)
    for port in range(1, 13):
        caller = Caller(deployment, port)
        caller.open(FRONT)
        caller.send_request(FRONT)
    late = Caller(deployment, 99)
    assert late.open(FRONT) == []
    deployment.pass_time(ATTEMPT_S)
    answers = [p for p, _ in deployment.to_callers if p.target == late.build(0).source]
    assert [answer.flags for answer in answers] == [RST]


# Single failures.


def test_link_cut_between_a_decline_and_the_second_host(alone: FrontAlone) -> None:
    # Guards against copies that follow their flow into a cut link until the caller
    # gives up: the second host does not report the flow.
    packet = alone.open()
    alone.decline(packet, 1.9)
    alone.now += 0.2
    for ip in (OWN, SECOND, THIRD):
        alone.send_load(ip, 300)
    alone.open(copy=1)
    assert alone.get_targets()[:2] == [OWN, FIRST]
    assert alone.get_targets()[2] in (SECOND, THIRD)
    assert alone.resets == []


def test_copy_stays_at_a_second_host_that_reports(alone: FrontAlone) -> None:
    # Guards against two hosts that hold one flow.
    packet = alone.open()
    alone.decline(packet, 1.9)
    alone.now += 0.1
    alone.send_load(FIRST, 225)
    alone.now += 0.1
    alone.open(copy=1)
    assert alone.get_targets() == [OWN, FIRST, FIRST]


def test_pause_of_the_front_is_no_cut_link(alone: FrontAlone) -> None:
    # Guards against two hosts that hold one flow after a pause of this process.
    packet = alone.open()
    alone.decline(packet, 1.9)
    alone.now += 0.2
    alone.front.handle_pause(0.2, alone.now)
    alone.open(copy=1)
    assert alone.get_targets() == [OWN, FIRST, FIRST]


def test_copy_of_a_flow_that_was_not_declined_stays(alone: FrontAlone) -> None:
    # Guards against two hosts that hold one flow.
    alone.open()
    alone.now += 0.2
    alone.open(copy=1)
    assert alone.get_targets() == [OWN, OWN]


def test_front_with_knowledge_from_three_seconds_ago(alone: FrontAlone) -> None:
    # Guards against placements by reports of which nothing is true any more.
    alone.now += 3.0
    alone.open()
    assert alone.opened == []
    assert alone.get_last("refused")["reason"] == "no host"
    alone.report(THIRD, 400)
    alone.open(port=40_002)
    assert alone.get_targets() == [THIRD]


def test_restarted_front_places_by_queue_lengths() -> None:
    # Guards against a front that has learned nothing and refuses or chooses blindly.
    alone = FrontAlone()
    alone.open()
    alone.report(FIRST, protocol=1, in_flight=5)
    alone.report(SECOND, protocol=1, in_flight=1)
    alone.pass_time(0.05)
    assert alone.get_targets() == [SECOND]


def test_truncated_decline_is_dropped(alone: FrontAlone) -> None:
    packet = alone.open()
    header = TIMED_DECLINED_HEADER.pack(Kind.TIMED_DECLINED, DeclineReason.BUSY, 0, 0)
    for size in range(1, len(header + packet)):
        alone.front.handle_message((header + packet)[:size], OWN, alone.now)
    assert alone.get_targets() == [OWN]
    assert "messages.unreadable" in alone.events.names()
