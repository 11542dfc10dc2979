"""What a gate may conclude on its host's flows from before the gate's start.

In each test a host lives and holds a flow that its gate does not know.
"""

from __future__ import annotations

import pytest

from balsamstream.flows.host_record import HEARTBEATS_TO_CHECK
from tests.flows.deployment import (
    HEARTBEAT_S,
    Caller,
    Deployment,
    GateNode,
    build_deployment,
    list_resets,
    open_flow,
)

FRONT = "10.1.0.1"
OTHER_FRONT = "10.1.0.2"
GATES = tuple(f"10.1.0.{number}" for number in range(11, 14))
RESET_S = 1.0
"""Time for searches of fronts that know all gates."""


@pytest.fixture
def deployment() -> Deployment:
    """Three gates and two fronts that know each other."""
    return build_deployment(GATES, (FRONT, OTHER_FRONT))


def open_flow_at(deployment: Deployment, gate: GateNode) -> Caller:
    """Open flows until one is at a host, with a request on each."""
    for port in range(40_001, 40_100):
        caller = open_flow(deployment, port)
        if caller.get_holder() is gate:
            return caller
    raise AssertionError(f"no flow was placed at {gate.ip}")


def restart_gate(deployment: Deployment) -> tuple[Caller, GateNode]:
    """Open a flow and restart its gate, which has a heartbeat of the host since."""
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.restart()
    holder.send_heartbeat()
    return caller, holder


def check_served(deployment: Deployment, caller: Caller, holder: GateNode) -> None:
    """Check that requests on the flow are answered through either front."""
    for data in (b"one", b"another"):
        for front in (OTHER_FRONT, FRONT):
            deployment.to_callers.clear()
            caller.send_request(front, data)
            deployment.pass_time(RESET_S)
            assert list_resets(deployment) == []
            assert b"answer " + data in [each.data for each, _ in deployment.to_callers]
    assert caller.get_holder() is holder


def test_first_heartbeat_of_a_host_says_nothing_of_its_flows(
    deployment: Deployment,
) -> None:
    """Guards against a gate that starts between a host's start and its first heartbeat.

    Its earlier process took the host for the incarnation before and admitted flows.
    """
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.incarnation += 1
    holder.heartbeats = 0
    holder.restart()
    holder.send_heartbeat()
    check_served(deployment, caller, holder)


def test_late_heartbeat_of_an_earlier_host_says_nothing_of_the_next_one(
    deployment: Deployment,
) -> None:
    """Guards against a gate that takes a late heartbeat for one of its own time."""
    caller = open_flow(deployment)
    holder = caller.get_holder()
    late = holder.build_heartbeat()
    holder.incarnation += 1
    holder.heartbeats = 5
    holder.restart()
    holder.gate.handle_heartbeat(late, deployment.now)
    holder.send_heartbeat()
    check_served(deployment, caller, holder)


def test_flow_opened_before_a_late_heartbeat_of_the_host_before_is_asked_for(
    deployment: Deployment,
) -> None:
    """Guards against a gate that counts back from the arrival of a heartbeat."""
    gate = deployment.gates[GATES[0]]
    gate.sends_heartbeats = False
    late = gate.build_heartbeat()
    gate.restart_host()
    caller = open_flow_at(deployment, gate)
    deployment.pass_time(1.5)
    gate.gate.handle_heartbeat(late, deployment.now)
    gate.send_heartbeat()
    gate.sends_heartbeats = True
    check_served(deployment, caller, gate)


def test_flow_is_asked_for_after_several_starts_that_were_heard_late(
    deployment: Deployment,
) -> None:
    """Guards against a gate that forgets at the next start which flows are in doubt."""
    gate = deployment.gates[GATES[0]]
    gate.sends_heartbeats = False
    gate.restart_host(9_000)
    late = gate.build_heartbeat()
    gate.restart_host(19_000)
    caller = open_flow_at(deployment, gate)
    gate.gate.handle_heartbeat(late, deployment.now)
    gate.send_heartbeat()
    gate.sends_heartbeats = True
    check_served(deployment, caller, gate)


def test_host_whose_heartbeats_are_lost_is_asked(deployment: Deployment) -> None:
    """Guards against a gate that takes the silence of its host for its absence."""
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.sends_heartbeats = False
    holder.restart()
    deployment.pass_time(HEARTBEATS_TO_CHECK * HEARTBEAT_S + 1.0)
    check_served(deployment, caller, holder)


def test_refused_check_ends_the_doubt_of_a_gate_whose_host_was_heard(
    deployment: Deployment,
) -> None:
    """Guards against callers who wait for a host that has crashed."""
    caller, holder = restart_gate(deployment)
    holder.has_host = holder.sends_heartbeats = False
    deployment.pass_time(HEARTBEATS_TO_CHECK * HEARTBEAT_S + 0.1)
    caller.send_request(OTHER_FRONT, b"more")
    deployment.pass_time(RESET_S)
    assert len(list_resets(deployment)) == 1


def test_check_that_a_heartbeat_has_overtaken_proves_nothing(
    deployment: Deployment,
) -> None:
    """Guards against a refused connection that is read after the host has started."""
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.restart()
    checked_at = deployment.now
    deployment.pass_time(0.3)
    holder.send_heartbeat()
    holder.gate.record_refused_check(checked_at, deployment.now)
    check_served(deployment, caller, holder)


def test_check_at_a_stop_that_a_heartbeat_has_overtaken_ends_no_flow(
    deployment: Deployment,
) -> None:
    """Guards against a gate that stops and ends the flows of a host that has come."""
    caller = open_flow(deployment)
    holder = caller.get_holder()
    checked_at = deployment.now
    deployment.pass_time(0.3)
    holder.send_heartbeat()
    holder.gate.leave(deployment.now, refused_at=checked_at)
    check_served(deployment, caller, holder)


def test_late_last_message_of_an_earlier_host_says_nothing_of_the_next_one(
    deployment: Deployment,
) -> None:
    """Guards against a gate that denies flows as the host before has left."""
    caller, holder = restart_gate(deployment)
    holder.gate.handle_leave(f"i-{holder.ip}", deployment.now)
    deployment.pass_time(1.0)
    check_served(deployment, caller, holder)


def test_gate_in_doubt_is_awaited_after_the_last_message_of_its_host(
    deployment: Deployment,
) -> None:
    """Guards against a front that takes the last message of a host for its end."""
    caller, holder = restart_gate(deployment)
    holder.gate.handle_leave(f"i-{holder.ip}", deployment.now)
    holder.host.answers = False
    deployment.pass_time(0.5)
    caller.send_request(OTHER_FRONT, b"one")
    deployment.pass_time(RESET_S)
    assert list_resets(deployment) == []
    holder.host.answers = True
    check_served(deployment, caller, holder)


def test_flow_of_a_host_that_has_left_and_ended_is_reset(
    deployment: Deployment,
) -> None:
    """Guards against callers who wait for a host that has left."""
    caller, holder = restart_gate(deployment)
    holder.gate.handle_leave(f"i-{holder.ip}", deployment.now)
    holder.has_host = holder.sends_heartbeats = False
    caller.send_request(OTHER_FRONT, b"one")
    deployment.pass_time(0.5)
    assert len(list_resets(deployment)) == 1


def test_flow_is_asked_for_while_a_late_copy_of_its_opening_is_unanswered(
    deployment: Deployment,
) -> None:
    """Guards against a gate that takes the copy for the opening of another flow."""
    caller, holder = restart_gate(deployment)
    acked = caller.acked + len(b"answer request")
    holder.host.answers = False
    caller.open(FRONT, copy=1)
    holder.host.answers = True
    caller.acked = acked
    check_served(deployment, caller, holder)


@pytest.mark.parametrize("front", [FRONT, OTHER_FRONT])
def test_denials_of_an_earlier_flow_of_a_port_do_not_count(
    deployment: Deployment, front: str
) -> None:
    """Guards against a search that goes on when its port opens another flow."""
    caller = open_flow(deployment)
    ended = caller.get_holder()
    ended.restart_host(70_000)
    silent = next(each for each in deployment.gates.values() if each is not ended)
    silent.is_up = False
    caller.acknowledge(OTHER_FRONT)
    deployment.pass_time(0.3)
    caller.seq += 1_000_000_000
    caller.open(front)
    holder = caller.get_holder()
    caller.send_request(OTHER_FRONT, b"new")
    silent.is_up = True
    deployment.pass_time(RESET_S)
    assert list_resets(deployment) == []
    check_served(deployment, caller, holder)


@pytest.mark.parametrize(("age_s", "is_asked"), [(50.0, True), (62.0, False)])
def test_host_is_asked_for_as_long_as_flows_live(
    deployment: Deployment, age_s: float, is_asked: bool
) -> None:
    """Guards against a gate that denies too early, or asks for ever."""
    gate = deployment.gates[GATES[0]]
    gate.restart()
    deployment.pass_time(age_s)
    before = len(gate.host.received)
    Caller(deployment).acknowledge(FRONT)
    deployment.pass_time(0.1)
    assert (len(gate.host.received) > before) is is_asked
