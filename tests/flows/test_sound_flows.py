"""Flows of sound hosts, which no node may reset on outdated knowledge."""

from __future__ import annotations

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.placement import LOST_TIMEOUT_S
from tests.flows.deployment import (
    Caller,
    Deployment,
    FrontNode,
    GateNode,
    list_resets,
)

OPENING_FRONT = "10.2.0.1"
OTHER_FRONT = "10.1.0.1"
FRONTS = {
    OPENING_FRONT: "sakiet",
    "10.2.0.2": "sakiet",
    "10.2.0.3": "sakiet",
    OTHER_FRONT: "medina",
    "10.3.0.1": "thyna",
}
GATES = tuple(f"10.2.0.{number}" for number in range(11, 21))
CONTACT_S = 5.0
"""Time after which rule FLOW no longer excuses a restart of the host."""
ROLL_S = 1.2
"""Time for which a gate is away at a planned restart, in seconds."""


@pytest.fixture
def deployment() -> Deployment:
    """Build more gates in one data centre than a front elsewhere is in contact with."""
    deployment = Deployment()
    for ip in GATES:
        deployment.add_gate(ip, "sakiet")
    deployment.add_gate("10.1.0.11", "medina")
    deployment.add_gate("10.3.0.11", "thyna")
    for ip, data_centre in FRONTS.items():
        deployment.add_front(ip, data_centre)
    deployment.pass_time(CONTACT_S + 1.0)
    return deployment


def take_resets(deployment: Deployment) -> list[int]:
    """Return the caller's port of each reset so far."""
    return [packet.target[1] for packet in list_resets(deployment)]


def keep_only_ready(deployment: Deployment, gate: GateNode) -> None:
    """Let all hosts but one drain, so that each new flow is placed there."""
    for each in deployment.gates.values():
        each.state = HostState.READY if each is gate else HostState.DRAINING
        each.send_heartbeat()
    deployment.run()


def make_all_ready(deployment: Deployment) -> None:
    """Let no host drain."""
    for each in deployment.gates.values():
        each.state = HostState.READY
        each.send_heartbeat()
    deployment.run()


def open_flow(deployment: Deployment, gate: GateNode, port: int = 40_001) -> Caller:
    """Open a flow at a host through the first front, with a request on it."""
    keep_only_ready(deployment, gate)
    caller = Caller(deployment, port)
    caller.open(OPENING_FRONT)
    caller.send_request(OPENING_FRONT)
    caller.acknowledge(OPENING_FRONT)
    assert caller.get_holder() is gate
    make_all_ready(deployment)
    return caller


def restart_host(gate: GateNode) -> None:
    """Restart a host, whose first heartbeat is still on its way."""
    gate.restart_host(gate.host.number + 100_000)


def find_stranger(deployment: Deployment) -> GateNode:
    """Return a gate that the front elsewhere is not in contact with."""
    fleet = deployment.fronts[OTHER_FRONT].front.fleet
    for ip in GATES:
        host = fleet.find_host(ip)
        if host is not None and not host.is_alive(deployment.now):
            return deployment.gates[ip]
    raise AssertionError("the front is in contact with all gates")


def replace_host_of_stranger(deployment: Deployment) -> GateNode:
    """Let a host leave and another come, of which the front elsewhere hears nothing."""
    gate = find_stranger(deployment)
    fleet = deployment.fronts[OTHER_FRONT].front.fleet
    host = fleet.find_host(gate.ip)
    assert host is not None
    fleet.keep_contact(host, deployment.now)
    deployment.run()
    gate.gate.handle_leave(f"i-{gate.ip}", deployment.now)
    gate.sends_heartbeats = False
    deployment.pass_time(10.0)
    restart_host(gate)
    gate.sends_heartbeats = True
    gate.send_heartbeat()
    deployment.pass_time(CONTACT_S + 1.0)
    return gate


def open_before_first_heartbeat(deployment: Deployment, gate: GateNode) -> Caller:
    """Open a flow at a host that has restarted; its first heartbeat comes after it."""
    keep_only_ready(deployment, gate)
    restart_host(gate)
    caller = Caller(deployment)
    caller.open(OPENING_FRONT)
    caller.send_request(OPENING_FRONT)
    gate.send_heartbeat()
    make_all_ready(deployment)
    deployment.pass_time(CONTACT_S + 1.0)
    assert caller.get_holder() is gate
    return caller


def search_with_late_answer(
    deployment: Deployment, caller: Caller, holder: GateNode
) -> None:
    """Send a request through the second front; the holder's answer comes last."""
    deployment.blocked_links.add((holder.ip, OTHER_FRONT))
    caller.send_request(OTHER_FRONT, b"more")
    deployment.blocked_links.discard((holder.ip, OTHER_FRONT))


def test_gate_that_answers_late_is_awaited(deployment: Deployment) -> None:
    """A front that knows nothing against a gate waits for its answer."""
    gate = find_stranger(deployment)
    caller = open_flow(deployment, gate)
    search_with_late_answer(deployment, caller, gate)
    assert take_resets(deployment) == []
    deployment.pass_time(0.5)
    assert take_resets(deployment) == []


def test_gate_behind_a_healed_link_is_awaited(deployment: Deployment) -> None:
    """A front that a cut kept from a gate asks it again before it resets a flow."""
    gate = find_stranger(deployment)
    front = deployment.fronts[OTHER_FRONT]
    cut = {(gate.ip, OTHER_FRONT), (OTHER_FRONT, gate.ip)}
    deployment.blocked_links |= cut
    host = front.front.fleet.find_host(gate.ip)
    assert host is not None
    front.front.fleet.ask_gate(host, deployment.now)
    deployment.pass_time(LOST_TIMEOUT_S + 0.5)
    deployment.blocked_links -= cut
    deployment.pass_time(CONTACT_S + 1.0)
    caller = open_flow(deployment, gate)
    search_with_late_answer(deployment, caller, gate)
    assert take_resets(deployment) == []


@pytest.mark.parametrize("phase_s", [0.0, 0.03, 0.06, 0.09])
def test_gate_behind_a_healed_link_has_time_to_answer(
    deployment: Deployment, phase_s: float
) -> None:
    """A gate that was asked long ago may answer until 0.1 s after it is asked anew."""
    gate = find_stranger(deployment)
    front = deployment.fronts[OTHER_FRONT].front
    host = front.fleet.find_host(gate.ip)
    assert host is not None
    cut = {(gate.ip, OTHER_FRONT), (OTHER_FRONT, gate.ip)}
    deployment.blocked_links |= cut
    front.fleet.ask_gate(host, deployment.now)
    deployment.pass_time(LOST_TIMEOUT_S + 0.5)
    deployment.blocked_links -= cut
    deployment.pass_time(CONTACT_S + 1.0)
    caller = open_flow(deployment, gate)
    deployment.pass_time(phase_s)
    deployment.blocked_links.add((gate.ip, OTHER_FRONT))
    caller.send_request(OTHER_FRONT, b"more")
    deployment.pass_time(0.08)
    assert take_resets(deployment) == []


def test_gate_that_a_front_knows_from_its_entry_is_awaited(
    deployment: Deployment,
) -> None:
    """A front that starts awaits a gate that it has never heard."""
    gate = find_stranger(deployment)
    caller = open_flow(deployment, gate)
    node = deployment.fronts[OTHER_FRONT]
    node.start()
    names = deployment.list_names()
    node.front.fleet.add_listed_nodes(names, deployment.now)
    deployment.pass_time(CONTACT_S + 1.0)
    search_with_late_answer(deployment, caller, gate)
    assert take_resets(deployment) == []


def test_gate_whose_host_has_come_back_is_awaited(deployment: Deployment) -> None:
    """A front that was told that a host left does not rely on it for ever."""
    gate = replace_host_of_stranger(deployment)
    caller = open_flow(deployment, gate)
    search_with_late_answer(deployment, caller, gate)
    assert take_resets(deployment) == []


def test_gate_whose_host_is_about_to_exit_is_awaited(deployment: Deployment) -> None:
    """A host that has sent its last message may still hold flows for a moment."""
    gate = find_stranger(deployment)
    fleet = deployment.fronts[OTHER_FRONT].front.fleet
    caller = open_flow(deployment, gate)
    host = fleet.find_host(gate.ip)
    assert host is not None
    fleet.keep_contact(host, deployment.now)
    deployment.run()
    gate.gate.handle_leave(f"i-{gate.ip}", deployment.now)
    gate.sends_heartbeats = False
    deployment.run()
    search_with_late_answer(deployment, caller, gate)
    assert take_resets(deployment) == []


def test_flow_opened_before_the_first_heartbeat_of_a_host_is_not_reset(
    deployment: Deployment,
) -> None:
    """A flow of a new incarnation goes on, even if it opened before its heartbeat."""
    gate = deployment.gates[GATES[0]]
    caller = open_before_first_heartbeat(deployment, gate)
    caller.send_request(OPENING_FRONT, b"more")
    deployment.pass_time(0.5)
    assert take_resets(deployment) == []


@pytest.mark.parametrize("must_wait", [False, True])
def test_delayed_first_opening_leaves_an_adopted_flow_open(
    deployment: Deployment, must_wait: bool
) -> None:
    """A first opening packet may come after its flow has opened and was adopted."""
    gate = deployment.gates[GATES[0]]
    caller = open_before_first_heartbeat(deployment, gate)
    caller.send_request(OPENING_FRONT, b"adopts")
    keep_only_ready(deployment, gate)
    busy = [Caller(deployment, 40_100 + number) for number in range(4)]
    gate.host.withholds_answers = must_wait
    for each in busy:
        each.open(OPENING_FRONT)
        each.send_request(OPENING_FRONT)
    caller.resend_first_opening(OPENING_FRONT)
    Caller(deployment, 40_200).open(OPENING_FRONT)
    gate.host.withholds_answers = False
    for each in busy:
        each.send_request(OPENING_FRONT)
    caller.acked = gate.host.number + 1 + len(b"answer request")
    caller.send_request(OPENING_FRONT, b"more")
    deployment.pass_time(0.5)
    assert caller.get_holder() is gate
    assert take_resets(deployment) == []


def test_saved_flow_opened_before_the_first_heartbeat_is_not_reset(
    deployment: Deployment,
) -> None:
    """A restored flow is not reset for an incarnation that it was opened at."""
    caller = open_before_first_heartbeat(deployment, deployment.gates[GATES[0]])
    front = deployment.fronts[OPENING_FRONT]
    saved = front.front.held_flows.list_saved()
    front.start()
    front.find_nodes()
    front.front.restore_flows(saved, deployment.now)
    deployment.pass_time(1.0)
    assert caller.get_holder() is deployment.gates[GATES[0]]
    assert take_resets(deployment) == []


def test_flow_of_a_host_whose_restart_is_learnt_late_is_not_reset(
    deployment: Deployment,
) -> None:
    """A front that hears late of a restart keeps the flows opened since then."""
    gate = deployment.gates[GATES[0]]
    keep_only_ready(deployment, gate)
    deployment.blocked_links.add((gate.ip, OPENING_FRONT))
    restart_host(gate)
    gate.send_heartbeat()
    deployment.run()
    caller = Caller(deployment)
    caller.open(OPENING_FRONT)
    caller.send_request(OPENING_FRONT)
    deployment.pass_time(CONTACT_S + 1.0)
    assert caller.get_holder() is gate
    deployment.blocked_links.clear()
    deployment.pass_time(1.0)
    assert take_resets(deployment) == []


def test_flow_of_a_gate_that_is_not_known_yet_is_not_reset(
    deployment: Deployment,
) -> None:
    """A front does not reset the flow of a gate that started after its listing."""
    newcomer = FrontNode(deployment, "10.1.0.3", "medina")
    names = deployment.list_names()
    # The entries that the gate reads are older than the front.
    gate = deployment.add_gate("10.2.0.30", "sakiet")
    deployment.fronts[newcomer.ip] = newcomer
    newcomer.front.fleet.add_listed_nodes(names, deployment.now)
    deployment.run()
    caller = open_flow(deployment, gate)
    caller.send_request(newcomer.ip, b"more")
    deployment.pass_time(0.5)
    assert take_resets(deployment) == []


@pytest.mark.parametrize("is_adopted", [False, True])
def test_flow_goes_on_after_a_late_copy_of_its_opening_at_a_restarted_gate(
    deployment: Deployment, is_adopted: bool
) -> None:
    """A late copy of an opening packet does not make a gate deny its flow."""
    gate = deployment.gates[GATES[0]]
    caller = open_flow(deployment, gate)
    acked = caller.acked + len(b"answer request")
    gate.restart()
    gate.send_heartbeat()
    deployment.run()
    caller.acked = acked
    if is_adopted:
        caller.send_request(OPENING_FRONT, b"before")
    caller.open(OPENING_FRONT, copy=1)
    caller.acked = acked
    caller.send_request(OPENING_FRONT, b"more")
    deployment.pass_time(0.5)
    assert take_resets(deployment) == []


def test_front_that_was_named_a_part_of_the_gates_resets_no_flow() -> None:
    """A front that cannot list the nodes knows them only once all were named."""
    deployment = Deployment()
    for number in range(11, 71):
        deployment.add_gate(f"10.2.0.{number}", "sakiet")
    for ip in (OPENING_FRONT, OTHER_FRONT):
        deployment.add_front(ip, FRONTS[ip])
    deployment.pass_time(1.0)
    newcomer = FrontNode(deployment, "10.1.0.3", "medina")
    deployment.fronts[newcomer.ip] = newcomer
    unheard = {(newcomer.ip, ip) for ip in FRONTS}
    deployment.blocked_links |= unheard
    for ip in (OPENING_FRONT, OTHER_FRONT):
        deployment.fronts[ip].find_nodes()
    deployment.pass_time(4.0)
    deployment.blocked_links -= unheard
    known = {host.ip for host in newcomer.front.fleet.iterate_all_hosts()}
    contacts = [
        host.ip
        for host in deployment.fronts[OPENING_FRONT].front.fleet.iterate_all_hosts()
        if host.is_alive(deployment.now)
    ]
    unknown = sorted(set(contacts) - known)
    assert known
    assert unknown
    caller = open_flow(deployment, deployment.gates[unknown[0]])
    caller.send_request(newcomer.ip, b"more")
    deployment.pass_time(1.0)
    assert take_resets(deployment) == []


def restart_gate_during_search(
    deployment: Deployment, caller: Caller, gate: GateNode
) -> list[bytes]:
    """Send a request while a gate restarts; return what the caller gets later."""
    gate.is_up = False
    caller.send_request(OTHER_FRONT, b"more")
    deployment.pass_time(ROLL_S)
    gate.is_up = True
    gate.restart()
    deployment.pass_time(1.0)
    caller.send_request(OTHER_FRONT, b"more")
    deployment.pass_time(0.5)
    return [packet.data for packet, _ in deployment.to_callers]


def test_gate_that_a_front_has_never_heard_may_restart(deployment: Deployment) -> None:
    """Guards against a front that believes an old entry rather than await a gate."""
    gate = find_stranger(deployment)
    caller = open_flow(deployment, gate)
    gate.is_up = False
    node = deployment.fronts[OTHER_FRONT]
    node.start()
    names = deployment.list_names()
    node.front.fleet.add_listed_nodes(names, deployment.now)
    deployment.run()
    answers = restart_gate_during_search(deployment, caller, gate)
    assert take_resets(deployment) == []
    assert b"answer more" in answers


def test_gate_whose_host_had_left_long_ago_may_restart(deployment: Deployment) -> None:
    """Guards against a front that believes an old report rather than await a gate."""
    gate = replace_host_of_stranger(deployment)
    caller = open_flow(deployment, gate)
    answers = restart_gate_during_search(deployment, caller, gate)
    assert take_resets(deployment) == []
    assert b"answer more" in answers


def test_gate_without_flows_long_ago_may_restart(deployment: Deployment) -> None:
    """Guards against a front that believes that a gate holds no flow still."""
    gate = find_stranger(deployment)
    fleet = deployment.fronts[OTHER_FRONT].front.fleet
    host = fleet.find_host(gate.ip)
    assert host is not None
    gate.state = HostState.DRAINING
    gate.send_heartbeat()
    fleet.keep_contact(host, deployment.now)
    deployment.pass_time(CONTACT_S + 3.0)
    assert host.is_empty
    caller = open_flow(deployment, gate)
    answers = restart_gate_during_search(deployment, caller, gate)
    assert take_resets(deployment) == []
    assert b"answer more" in answers
