"""Open flows of sound hosts survive what goes on around them (rule FLOW)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.flows.deployment import (
    Caller,
    Deployment,
    FrontNode,
    GateNode,
    build_deployment,
    list_resets,
)

if TYPE_CHECKING:
    from standins.flow_host import Packet

FRONT = "10.1.0.1"
OTHER_FRONT = "10.1.0.2"
CALM_S = 6.0
FLOW_S = 2.0
KNOWN_RED = "KNOWN-RED.txt: issue 29"


def list_gates(amount: int) -> list[str]:
    """List the addresses of some gates."""
    return [f"10.1.0.{number + 11}" for number in range(amount)]


def exchange(caller: Caller, front: str, data: bytes = b"request") -> list[Packet]:
    """Send a request and acknowledge what the caller receives."""
    answers = caller.send_request(front, data)
    caller.seq += len(data)
    for answer in answers:
        if answer.data:
            caller.acked = max(caller.acked, answer.seq + len(answer.data))
            caller.acknowledge(front)
    return answers


def open_flow(deployment: Deployment, port: int = 40_001) -> Caller:
    """Open a flow through the first front, with a request on it."""
    caller = Caller(deployment, port)
    caller.open(FRONT)
    exchange(caller, FRONT)
    return caller


def open_flow_at(deployment: Deployment, gate: GateNode) -> Caller:
    """Open flows until one is at a gate."""
    for port in range(40_001, 40_200):
        caller = open_flow(deployment, port)
        if caller.get_holder() is gate:
            return caller
    raise AssertionError(f"no flow was placed at {gate.ip}")


def restart_front(node: FrontNode, saved: list) -> None:
    """Restart a front, which reads the nodes and its saved flows."""
    node.start()
    node.find_nodes()
    node.deployment.pass_time(1.0)
    node.front.restore_flows(saved, node.deployment.now)
    node.deployment.run()


def list_resets_of(deployment: Deployment, caller: Caller) -> list[Packet]:
    """List the resets that a caller got."""
    resets = list_resets(deployment)
    return [each for each in resets if each.target[1] == caller.port]


def test_flow_opened_before_the_first_heartbeat_of_its_host_stays_open() -> None:
    """Guards against a gate that discards the flows of a host that has just started."""
    deployment = build_deployment(list_gates(3), (FRONT,))
    gate = deployment.gates["10.1.0.11"]
    gate.restart_host()
    caller = open_flow_at(deployment, gate)
    gate.send_heartbeat()
    deployment.pass_time(CALM_S)
    exchange(caller, FRONT, b"later")
    assert caller.get_holder() is gate
    assert not list_resets_of(deployment, caller)


def test_flow_of_a_host_whose_start_was_reported_late_survives_a_front() -> None:
    """Guards against saved flows that name an earlier incarnation than their own."""
    deployment = build_deployment(list_gates(3), (FRONT,))
    gate, node = deployment.gates["10.1.0.11"], deployment.fronts[FRONT]
    deployment.blocked_links.add((gate.ip, FRONT))
    gate.restart_host()
    gate.send_heartbeat()
    caller = open_flow_at(deployment, gate)
    deployment.blocked_links.clear()
    deployment.pass_time(CALM_S)
    restart_front(node, node.front.held_flows.list_saved())
    assert caller.get_holder() is gate
    assert not list_resets_of(deployment, caller)


def test_late_copy_of_the_opening_at_a_restarted_gate_leaves_the_flow_open() -> None:
    """Guards against a gate that takes a late copy for a new flow."""
    deployment = build_deployment(list_gates(3), (FRONT,))
    caller = open_flow(deployment)
    gate = caller.get_holder()
    gate.restart()
    deployment.pass_time(1.0)
    caller.seq -= len(b"request")
    caller.resend_first_opening(FRONT)
    caller.seq += len(b"request")
    deployment.pass_time(CALM_S)
    exchange(caller, FRONT, b"later")
    assert caller.get_holder() is gate
    assert not list_resets_of(deployment, caller)


@pytest.mark.xfail(strict=True, reason=KNOWN_RED)
def test_packet_of_a_flow_whose_gate_restarts_reaches_few_other_hosts() -> None:
    """Guards against gates that have restarted and pass a search to their hosts."""
    deployment = build_deployment(list_gates(6), (FRONT,))
    caller = open_flow(deployment)
    holder = caller.get_holder()
    others = [gate for gate in deployment.gates.values() if gate is not holder]
    for gate in others:
        gate.restart()
    deployment.pass_time(1.0)
    restart_front(deployment.fronts[FRONT], [])
    holder.is_up = False
    before = [len(gate.host.received) for gate in others]
    deployment.pass_time(0.5)
    caller.send_request(FRONT, b"later")
    deployment.pass_time(FLOW_S)
    arrivals = sum(len(gate.host.received) for gate in others) - sum(before)
    assert arrivals < 3


def test_gate_that_was_cut_off_once_is_awaited_after_the_cut_has_healed() -> None:
    """Guards against a gate that counts as lost for good after one lost hello."""
    deployment = build_deployment(list_gates(30), (FRONT, OTHER_FRONT))
    fleet = deployment.fronts[OTHER_FRONT].front.fleet
    contacts = {host.ip for host in fleet._contacts.iterate_gates()}
    gate = [each for each in deployment.gates.values() if each.ip not in contacts][-1]
    caller = open_flow_at_own_contact(deployment, gate)
    cut = {(gate.ip, OTHER_FRONT), (OTHER_FRONT, gate.ip)}
    deployment.blocked_links |= cut | {
        (other, gate.ip) for other in deployment.gates if other != gate.ip
    }
    unknown = Caller(deployment, 50_000, acked=77)
    unknown.send_request(OTHER_FRONT)
    deployment.pass_time(3.5)
    deployment.blocked_links.clear()
    deployment.pass_time(CALM_S)
    exchange(caller, OTHER_FRONT, b"later")
    assert caller.get_holder() is gate
    assert not list_resets_of(deployment, caller)


def open_flow_at_own_contact(deployment: Deployment, gate: GateNode) -> Caller:
    """Open a flow at a gate with which the first front is in contact."""
    fleet = deployment.fronts[FRONT].front.fleet
    fleet.keep_contact(fleet.find_host(gate.ip), deployment.now)
    deployment.run()
    return open_flow_at(deployment, gate)


@pytest.mark.xfail(strict=True, reason=KNOWN_RED)
def test_restart_of_a_host_that_never_held_a_flow_leaves_the_flow_open() -> None:
    """Guards against a front that records a holder which has not confirmed the flow."""
    deployment = build_deployment(list_gates(1), (FRONT, OTHER_FRONT))
    wrong = deployment.gates["10.1.0.11"]
    wrong.has_host = False
    deployment.blocked_links.add((wrong.ip, FRONT))
    caller = Caller(deployment)
    caller.open(FRONT)
    deployment.pass_time(0.2)
    right = deployment.add_gate("10.1.0.12")
    right.host.number = 5_000
    deployment.pass_time(0.1)
    caller.open(OTHER_FRONT, copy=1)
    deployment.pass_time(0.2)
    caller.acked = right.host.number + 1
    caller.acknowledge(FRONT)
    exchange(caller, OTHER_FRONT)
    assert caller.get_holder() is right
    deployment.blocked_links.clear()
    deployment.pass_time(CALM_S)
    wrong.has_host = True
    wrong.restart_host()
    deployment.pass_time(CALM_S)
    assert caller.get_holder() is right
    assert not list_resets_of(deployment, caller)
