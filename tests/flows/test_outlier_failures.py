"""Failures of messages, nodes and hosts while outliers are detected."""

from __future__ import annotations

from typing import Any

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.load_policy import LoadPolicy
from balsamstream.flows.messages import (
    TIMED_OPEN_HEADER,
    Kind,
    Report,
    RouteReport,
    compute_route_tag,
    compute_service_tag,
    decode_control,
    encode_control,
)
from balsamstream.flows.outliers import EJECTION_S, QUARTER_S, Use
from balsamstream.platform import packets
from standins.flow_host import RST, SYN, FlowHost, Packet

from .deployment import ROUTE, SERVICE, Caller, Deployment, FrontNode

POLICY = LoadPolicy(detects_outliers=True)
ROUTE_TAG = compute_route_tag(packets.pack_route(*ROUTE))
FRONTS = ("10.1.0.1", "10.2.0.1")
BAD = "10.1.0.11"
GATES = [f"10.1.0.{number}" for number in range(11, 17)]
FLOW_INTERVAL_S = 0.02


class ResettingHost(FlowHost):
    """Host that accepts all flows and resets them at their first request."""

    resets = True

    def _handle_on_open_flow(self, packet: Packet, held: Any) -> list[bytes]:
        if not packet.data or not self.resets:
            return super()._handle_on_open_flow(packet, held)
        held.is_ended = True
        return [self._reply(packet, RST, held.number + 1, packet.seq)]


class Load:
    """Callers that open a flow with one request through each front in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.flows = 0

    def run(self, seconds: float) -> None:
        """Open flows for a time."""
        for _ in range(round(seconds / FLOW_INTERVAL_S)):
            self.flows += 1
            caller = Caller(self.deployment, port=1_000 + self.flows)
            front = FRONTS[self.flows % len(FRONTS)]
            caller.open(front)
            caller.send_request(front)
            self.deployment.pass_time(FLOW_INTERVAL_S)

    def count_placed(self, seconds: float, ip: str = BAD) -> int:
        """Open flows for a time; return how many a host got."""
        before = self._count(ip)
        self.run(seconds)
        return self._count(ip) - before

    def _count(self, ip: str) -> int:
        return sum(
            inputs["host"] == ip
            for front in self.deployment.fronts.values()
            for name, inputs in front.events.lines
            if name == "placed"
        )


def build_deployment(policy: LoadPolicy = POLICY, loss: float = 0.0) -> Deployment:
    deployment = Deployment(policy=policy)
    for ip in GATES:
        host = ResettingHost(7_000) if ip == BAD else FlowHost(9_000)
        deployment.add_gate(ip, host=host)
    for ip in FRONTS:
        deployment.add_front(ip)
    deployment.loss = loss
    deployment.pass_time(1.0)
    return deployment


def get_use(deployment: Deployment, front: str = FRONTS[0], ip: str = BAD) -> Use:
    host = deployment.fronts[front].front.fleet.find_host(ip)
    assert host is not None
    return host.use


def get_routes(front: FrontNode, ip: str) -> list[RouteReport]:
    host = front.front.fleet.find_host(ip)
    assert host is not None
    return host.routes


@pytest.fixture
def deployment() -> Deployment:
    return build_deployment()


@pytest.fixture
def load(deployment: Deployment) -> Load:
    return Load(deployment)


def test_host_that_resets_everything_gets_only_probes(load: Load) -> None:
    load.run(3.0)
    assert all(get_use(load.deployment, front) is not Use.FULL for front in FRONTS)
    assert load.count_placed(10.0) <= 0.05 * 10.0 / FLOW_INTERVAL_S


def test_nothing_changes_without_the_policy() -> None:
    deployment = build_deployment(LoadPolicy())
    load = Load(deployment)
    load.run(3.0)
    assert get_use(deployment) is Use.FULL
    assert load.count_placed(3.0) >= 0.1 * 3.0 / FLOW_INTERVAL_S
    for ip in GATES:
        assert get_routes(deployment.fronts[FRONTS[0]], ip) == []


def test_each_request_on_an_open_flow_has_its_own_answer(
    deployment: Deployment,
) -> None:
    caller = Caller(deployment, port=2_000)
    caller.open(FRONTS[0])
    gate = caller.get_holder()
    if gate.ip == BAD:
        caller = Caller(deployment, port=2_001)
        caller.open(FRONTS[0])
        gate = caller.get_holder()
    for number in range(5):
        caller.seq += 10
        caller.send_request(FRONTS[0], b"request %02d" % number)
        deployment.pass_time(0.1)
    deployment.pass_time(1.0)
    (report,) = get_routes(deployment.fronts[FRONTS[0]], gate.ip)
    assert (report.route_tag, report.answers, report.failures) == (ROUTE_TAG, 5, 0)
    assert report.answer_bytes == len(b"answer request 00")


def test_stated_objective_limits_the_time_to_answer(deployment: Deployment) -> None:
    gate = deployment.gates[GATES[1]]
    gate.host.withholds_answers = True
    caller = Caller(deployment, port=2_000)
    opening = caller.build(SYN, seq=caller.seq).encode()
    header = TIMED_OPEN_HEADER.pack(
        Kind.TIMED_OPEN, compute_service_tag(SERVICE), 1, ROUTE_TAG, 250, 2_000
    )
    gate.gate.handle_message(header + opening, FRONTS[0], deployment.now)
    deployment.run()
    (answer, _) = deployment.to_callers[-1]
    data = caller.build(2, seq=caller.seq + 1, ack=answer.seq + 1, data=b"request")
    message = bytes((Kind.FORWARD,)) + data.encode()
    gate.gate.handle_message(message, FRONTS[0], deployment.now)
    deployment.pass_time(0.9)
    (report,) = get_routes(deployment.fronts[FRONTS[0]], gate.ip)
    assert (report.answers, report.failures) == (0, 1)


def test_lost_messages_delay_the_detection_little() -> None:
    deployment = build_deployment(loss=0.3)
    load = Load(deployment)
    load.run(5.0)
    assert any(
        "host_use" in deployment.fronts[front].events.names() for front in FRONTS
    )


def test_host_whose_reports_are_lost_keeps_its_level_for_its_time(load: Load) -> None:
    load.run(3.0)
    assert get_use(load.deployment) is not Use.FULL
    load.deployment.blocked_links.add((BAD, FRONTS[0]))
    load.run(0.5)
    assert get_use(load.deployment) is not Use.FULL
    load.run(16.0 + QUARTER_S + 1.0)
    assert get_use(load.deployment) is Use.FULL
    # It is not alive for this front, so it gets no flow anyway.
    host = load.deployment.fronts[FRONTS[0]].front.fleet.find_host(BAD)
    assert host is not None
    assert not host.is_alive(load.deployment.now)


def test_restarted_front_learns_the_levels_within_two_seconds(load: Load) -> None:
    load.run(3.0)
    front = load.deployment.fronts[FRONTS[0]]
    front.start()
    front.find_nodes()
    load.run(2.0)
    assert get_use(load.deployment) is not Use.FULL


def test_gate_of_an_earlier_release_leaves_its_host_at_full_use() -> None:
    # Its reports end before the fields that name protocol and routes.
    deployment = build_deployment()
    gate = deployment.gates[BAD]
    send = deployment.deliver_node

    def deliver(ip: str, message: bytes, sender: str) -> None:
        send(ip, shorten_report(message) if sender == gate.ip else message, sender)

    deployment.deliver_node = deliver  # type: ignore[method-assign]
    load = Load(deployment)
    load.run(3.0)
    assert get_use(deployment) is Use.FULL
    assert "messages.unreadable" not in deployment.fronts[FRONTS[0]].events.names()
    assert load.count_placed(1.0) >= 0.1 / FLOW_INTERVAL_S


def shorten_report(message: bytes) -> bytes:
    """Return a report as gates of protocol 1 send it."""
    report = decode_control(message) if message[0] == Kind.CONTROL else None
    if not isinstance(report, Report):
        return message
    fields = {name: getattr(report, name) for name in report.__struct_fields__}
    for name in ("protocol", "wait_ms", "routes"):
        del fields[name]
    return encode_control(Report(**fields))


def test_evidence_does_not_stick_to_a_host_that_starts_cold(load: Load) -> None:
    load.run(3.0)
    gate = load.deployment.gates[BAD]
    gate.restart_host(8_000)
    gate.cold_left_s = 2.0
    gate.send_heartbeat()
    gate.cold_left_s = 1.0
    load.run(1.0)
    assert get_use(load.deployment) is Use.FULL
    load.run(5.0)
    assert all(get_use(load.deployment, front) is Use.FULL for front in FRONTS)


def test_evidence_does_not_stick_to_a_host_that_left_and_came_back(load: Load) -> None:
    load.run(3.0)
    gate = load.deployment.gates[BAD]
    gate.gate.handle_leave(f"i-{BAD}", load.deployment.now)
    load.run(0.2)
    gate.restart_host(8_000)
    gate.send_heartbeat()
    load.run(1.0)
    assert gate.gate.state is HostState.READY
    assert all(get_use(load.deployment, front) is Use.FULL for front in FRONTS)
    assert load.count_placed(1.0) >= 0.1 / FLOW_INTERVAL_S


def test_gate_discards_the_evidence_of_an_earlier_incarnation(load: Load) -> None:
    load.run(1.0)
    gate = load.deployment.gates[BAD]
    gate.restart_host(8_000)
    gate.send_heartbeat()
    load.deployment.pass_time(0.6)
    assert get_routes(load.deployment.fronts[FRONTS[0]], BAD) == []


def test_recovered_host_returns_to_full_use(load: Load) -> None:
    load.run(2.0)
    assert get_use(load.deployment) is Use.PROBE
    host = load.deployment.gates[BAD].host
    assert isinstance(host, ResettingHost)
    host.resets = False
    # The window of 5 s causes one further ejection of twice the length.
    load.run(3 * EJECTION_S + 2 * QUARTER_S + 2.0)
    assert all(get_use(load.deployment, front) is Use.FULL for front in FRONTS)


def test_reports_with_routes_stay_within_the_control_traffic(load: Load) -> None:
    load.deployment.control.clear()
    load.run(4.0)
    sizes = load.deployment.control[GATES[1]]
    assert sum(sizes) / 4.0 <= 2_000.0
