"""Resets of flows that ended when their hosts restarted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from balsamstream.flows.held_flows import MIN_AGE_S
from tests.flows.deployment import (
    Caller,
    Deployment,
    GateNode,
    build_deployment,
    list_resets,
)

if TYPE_CHECKING:
    from balsamstream.flows.held_flows import SavedFlow

FRONT = "10.1.0.1"
HOSTS = ("10.1.0.11", "10.1.0.12", "10.1.0.13")
CALLERS = 12


@pytest.fixture
def deployment() -> Deployment:
    return build_deployment(HOSTS, (FRONT,))


def open_flows(deployment: Deployment) -> list[Caller]:
    """Open flows on all hosts, with a request on each."""
    callers = [Caller(deployment, 40_100 + number) for number in range(CALLERS)]
    for caller in callers:
        caller.open(FRONT)
        caller.send_request(FRONT)
        caller.acknowledge(FRONT)
    return callers


def restart_host(gate: GateNode) -> None:
    """Restart a host; its flows are gone."""
    gate.restart_host()
    gate.send_heartbeat()


def take_resets(deployment: Deployment) -> dict[int, int]:
    """Return the sequence numbers of all resets so far, by the caller's port."""
    return {packet.target[1]: packet.seq for packet in list_resets(deployment)}


def lose_power(deployment: Deployment) -> list[SavedFlow]:
    """Stop front, gates and hosts after a while; return what the front has saved."""
    deployment.pass_time(MIN_AGE_S + 1.0)
    node = deployment.fronts[FRONT]
    saved = node.front.held_flows.list_saved()
    node.start()
    return saved


def return_power(deployment: Deployment, saved: list[SavedFlow]) -> None:
    """Start the gates, list the nodes and restore the saved flows."""
    node = deployment.fronts[FRONT]
    for gate in deployment.gates.values():
        gate.restart()
    node.find_nodes()
    deployment.pass_time(1.0)
    node.front.restore_flows(saved, deployment.now)
    deployment.run()


def test_flows_of_a_restarted_host_are_reset_before_their_next_request(
    deployment: Deployment,
) -> None:
    """Guards against requests that are lost on flows which ended long before."""
    callers = open_flows(deployment)
    holders = {caller.port: caller.get_holder() for caller in callers}
    deployment.pass_time(MIN_AGE_S + 1.0)
    restarted = deployment.gates[HOSTS[0]]
    restart_host(restarted)
    deployment.pass_time(0.1)
    expected = {
        caller.port: caller.acked
        for caller in callers
        if holders[caller.port] is restarted
    }
    assert expected
    assert take_resets(deployment) == expected


def test_flow_that_may_be_at_the_new_incarnation_is_not_reset(
    deployment: Deployment,
) -> None:
    open_flows(deployment)
    for gate in deployment.gates.values():
        gate.incarnation += 1
        gate.send_heartbeat()
    deployment.run()
    assert take_resets(deployment) == {}


def test_flow_that_its_caller_has_ended_is_not_reset(deployment: Deployment) -> None:
    for caller in open_flows(deployment):
        caller.end(FRONT)
    deployment.pass_time(MIN_AGE_S + 1.0)
    for gate in deployment.gates.values():
        restart_host(gate)
    deployment.pass_time(0.1)
    assert take_resets(deployment) == {}


def test_flows_are_reset_after_a_loss_of_all_power(deployment: Deployment) -> None:
    """Guards against callers that learn of the loss only by a failed request."""
    callers = open_flows(deployment)
    saved = lose_power(deployment)
    for gate in deployment.gates.values():
        restart_host(gate)
    return_power(deployment, saved)
    assert take_resets(deployment) == {each.port: each.acked for each in callers}


def test_flows_go_on_if_only_the_nodes_were_restarted(deployment: Deployment) -> None:
    callers = open_flows(deployment)
    return_power(deployment, lose_power(deployment))
    assert take_resets(deployment) == {}
    for caller in callers:
        assert caller.send_request(FRONT)
    assert take_resets(deployment) == {}


def test_saved_flows_are_judged_by_hosts_heard_later(deployment: Deployment) -> None:
    callers = open_flows(deployment)
    saved = lose_power(deployment)
    deployment.fronts[FRONT].front.restore_flows(saved, deployment.now)
    for gate in deployment.gates.values():
        restart_host(gate)
    return_power(deployment, [])
    assert len(take_resets(deployment)) == len(callers)
