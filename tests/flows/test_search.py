"""Searches for flows that a front does not know, and their load on its link."""

from __future__ import annotations

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.host_record import HEARTBEATS_TO_CHECK
from balsamstream.flows.messages import Kind, encode_search_request
from balsamstream.flows.placement import LOST_TIMEOUT_S, Host
from balsamstream.flows.search import MAX_RELAY_TARGETS, plan_relays
from standins.flow_host import RST, FlowHost

from .deployment import (
    HEARTBEAT_S,
    Deployment,
    FrontNode,
    GateNode,
    list_resets,
    open_flow,
)

DATA_CENTRES = ("medina", "sakiet", "thyna")
GATES = 35
NOW = 100.0

MAX_PROOF_S = 0.2
"""Time that a gate at which no flow is expected may delay a reset: it has 0.1 s to
answer, and searches are looked at ten times a second."""
MAX_RESEND_S = 0.4
"""Time until a gate that is heard gets a search again and has asked its host: searches
are repeated after 0.2 s, and looked at ten times a second."""
LINK_BYTES_PER_S = 5e6 / 8
"""Narrowest link of a front in the users' deployments."""
QUEUE_S = 0.25
"""Queue of a link before it drops packets, in seconds."""
REQUEST_BYTES = 331
"""Size of a caller's request with its header and without a body."""
UDP_BYTES = 28


def build_hosts(amount: int = GATES) -> list[Host]:
    return [
        Host(
            f"10.{number % 3 + 1}.{number // 250}.{number % 250}",
            (f"10.{number % 3 + 1}.{number // 250}.{number % 250}", 7_720),
            data_centre=DATA_CENTRES[number % 3],
            state=HostState.READY,
            last_heard_at=NOW,
        )
        for number in range(1, amount + 1)
    ]


@pytest.mark.parametrize("rotation", [0, 1, 7])
def test_every_gate_is_searched_once_through_a_relay_in_its_data_centre(
    rotation: int,
) -> None:
    hosts = build_hosts()
    searched = []
    for group in plan_relays(hosts, rotation, NOW):
        assert {each.data_centre for each in group.targets} <= {group.relay.data_centre}
        searched += [group.relay.ip, *(each.ip for each in group.targets)]
    assert sorted(searched) == sorted(host.ip for host in hosts)
    assert len(list(plan_relays(hosts, rotation, NOW))) == len(DATA_CENTRES)


def test_next_packet_goes_through_other_relays() -> None:
    hosts = build_hosts()
    first = {group.relay.ip for group in plan_relays(hosts, 0, NOW)}
    second = {group.relay.ip for group in plan_relays(hosts, 1, NOW)}
    assert not first & second


def test_silent_or_gone_gate_is_no_relay() -> None:
    hosts = build_hosts(9)
    for host in hosts[:3]:
        host.last_heard_at = NOW - 2.0
    for host in hosts[3:6]:
        host.state = HostState.GONE
    for rotation in range(9):
        relays = {group.relay.ip for group in plan_relays(hosts, rotation, NOW)}
        assert relays == {host.ip for host in hosts[6:]}


def test_message_of_a_search_fits_a_packet_of_the_network() -> None:
    hosts = build_hosts(400)
    for group in plan_relays(hosts, 0, NOW):
        assert len(group.targets) <= MAX_RELAY_TARGETS
        message = encode_search_request(
            [each.ip for each in group.targets], bytes(1_231)
        )
        assert len(message) + UDP_BYTES <= 1_500


def replay_restart(messages: list[int], flows: int) -> float:
    """Send the searches of a front that has just started; return the share lost.

    Load pattern: all nodes lost power, and every caller's next packet arrives as the
    front starts.
    """
    queued = 0.0
    lost = sent = 0
    for _ in range(flows):
        for size in messages:
            sent += 1
            if queued > QUEUE_S * LINK_BYTES_PER_S:
                lost += 1
                continue
            queued += size + UDP_BYTES
    return lost / sent


def test_searches_after_a_full_restart_fit_the_link_of_a_front() -> None:
    hosts = build_hosts()
    packet = bytes(REQUEST_BYTES)
    relayed = [
        len(encode_search_request([each.ip for each in group.targets], packet))
        for group in plan_relays(hosts, 0, NOW)
    ]
    direct = [1 + REQUEST_BYTES] * len(hosts)
    assert replay_restart(relayed, 60) == 0.0
    assert replay_restart(direct, 60) > 0.5


def build_deployment() -> Deployment:
    deployment = Deployment()
    for number in range(9):
        deployment.add_gate(f"10.1.0.{11 + number}", DATA_CENTRES[number % 3])
    for ip in ("10.1.0.1", "10.1.0.2"):
        deployment.add_front(ip)
    deployment.pass_time(1.0)
    return deployment


def restart_host(gate: GateNode) -> None:
    """Start the host of a gate again, without any of its flows."""
    gate.host = FlowHost(9_000)
    gate.incarnation = 2
    gate.send_heartbeat()


def get_other_gate(deployment: Deployment, holder: GateNode) -> GateNode:
    """Return a gate other than the holder of a flow."""
    return next(gate for gate in deployment.gates.values() if gate is not holder)


def restart_without_host(gate: GateNode) -> None:
    """Start the process of a gate again, with no host beside it."""
    gate.restart()
    gate.has_host = gate.sends_heartbeats = False


def restart_front(deployment: Deployment) -> FrontNode:
    """Start the second front again, which lists the nodes."""
    node = deployment.fronts["10.1.0.2"]
    node.start()
    node.find_nodes()
    return node


def is_last_packet_reset(deployment: Deployment) -> bool:
    """Return whether the last packet to a caller is a reset."""
    return any(packet.flags & RST for packet, _ in deployment.to_callers[-1:])


def count_searches(deployment: Deployment, front: str) -> int:
    """Count the messages that a front sends for one packet of an unknown flow."""
    sent: list[bytes] = []
    deliver = deployment.deliver_node

    def watch(ip: str, message: bytes, sender: str) -> None:
        if sender == front and message[0] == Kind.SEARCH:
            sent.append(message)
        deliver(ip, message, sender)

    deployment.deliver_node = watch  # type: ignore[method-assign]
    caller = open_flow(deployment)
    (answer,) = caller.send_request(front, b"again")
    assert answer.data == b"answer again"
    return len(sent)


def test_front_sends_a_search_once_to_each_data_centre() -> None:
    assert count_searches(build_deployment(), "10.1.0.2") == len(DATA_CENTRES)


def test_flow_is_found_despite_unreachable_relays() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    others = [
        ip
        for ip, gate in deployment.gates.items()
        if gate.data_centre == holder.data_centre and gate is not holder
    ]
    deployment.blocked_links |= {("10.1.0.2", ip) for ip in others}
    answers = [caller.send_request("10.1.0.2", b"%d" % number) for number in range(3)]
    assert any(each and each[0].data.startswith(b"answer") for each in answers)


def test_flow_is_reset_at_once_if_every_listed_gate_was_heard() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    restart_host(holder)
    front = deployment.fronts["10.1.0.2"]
    front.start()
    front.find_nodes()
    deployment.run()
    (answer,) = caller.send_request("10.1.0.2")
    assert answer.flags & RST


def test_flow_is_not_reset_before_every_listed_gate_was_heard() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    deployment.blocked_links |= {(holder.ip, "10.1.0.2")}
    front = deployment.fronts["10.1.0.2"]
    front.start()
    front.find_nodes()
    deployment.run()
    deployment.blocked_links |= {
        (ip, holder.ip) for ip in (*deployment.gates, front.ip)
    }
    assert caller.send_request("10.1.0.2", b"more") == []
    deployment.pass_time(0.5)
    assert not list_resets(deployment)


def test_gates_may_be_unknown_after_a_pause() -> None:
    deployment = build_deployment()
    node = deployment.fronts["10.1.0.2"]
    node.find_nodes()
    assert node.front.fleet.knows_all_gates(deployment.now)
    node.front.handle_pause(5.0, deployment.now)
    assert not node.front.fleet.knows_all_gates(deployment.now)


def test_flow_is_not_given_up_while_a_listed_gate_is_away_for_a_moment() -> None:
    # Found by the soak, seed 912075: a front starts while the gate of a running host
    # restarts, and after a second it knows only the other gates.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.is_up = False
    front = deployment.fronts["10.1.0.2"]
    front.start()
    front.find_nodes()
    deployment.pass_time(1.2)
    caller.send_request("10.1.0.2", b"more")
    deployment.pass_time(0.3)
    assert not list_resets(deployment)


def test_gate_without_a_host_does_not_hold_up_a_search() -> None:
    # All nodes lose power and return, those of hosts that had left among them. Such a
    # gate does not know what its host held, and waited for its answer for ever.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    for gate in deployment.gates.values():
        gate.host = FlowHost(9_000)
        gate.incarnation = 2
        gate.restart()
    empty = get_other_gate(deployment, holder)
    empty.has_host = empty.sends_heartbeats = False
    node = deployment.fronts["10.1.0.2"]
    node.start()
    node.find_nodes()
    deployment.run()
    for gate in deployment.gates.values():
        if gate is not empty:
            gate.send_heartbeat()
    caller.send_request("10.1.0.2")
    deployment.pass_time(HEARTBEATS_TO_CHECK * HEARTBEAT_S + 0.6)
    assert len(list_resets(deployment)) == 1


def test_gate_awaits_its_host_before_it_denies_a_flow() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    restart_without_host(holder)
    deployment.pass_time(HEARTBEATS_TO_CHECK * HEARTBEAT_S - 0.5)
    caller.send_request("10.1.0.2", b"early")
    deployment.pass_time(0.3)
    assert not list_resets(deployment)
    holder.has_host = holder.sends_heartbeats = True
    holder.send_heartbeat()
    (answer,) = caller.send_request("10.1.0.2", b"again")
    assert answer.data == b"answer again"


def test_gate_denies_a_probed_flow_once_its_host_has_just_started() -> None:
    # All nodes and hosts lose power, and a front is back before the host of a gate.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    restart_without_host(holder)
    assert caller.send_request("10.1.0.2", b"early") == []
    holder.host = FlowHost(9_000)
    holder.has_host = True
    holder.incarnation = 2
    holder.heartbeats = 0
    holder.send_heartbeat()
    deployment.pass_time(MAX_RESEND_S)
    assert is_last_packet_reset(deployment)


def test_gate_that_reported_no_flows_and_vanishes_holds_up_no_search() -> None:
    # After a loss of all power the VMs of hosts that had left come back for a moment.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    empty = get_other_gate(deployment, holder)
    restart_without_host(empty)
    empty.gate.record_refused_check(deployment.now, deployment.now)
    deployment.pass_time(1.0)
    empty.is_up = False
    restart_host(holder)
    deployment.run()
    caller.send_request("10.1.0.2")
    deployment.pass_time(0.9)
    assert is_last_packet_reset(deployment)


def test_gate_that_may_hold_flows_and_vanishes_is_awaited() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    caller.get_holder().is_up = False
    deployment.pass_time(0.2)
    caller.send_request("10.1.0.2")
    deployment.pass_time(2.0)
    assert not list_resets(deployment)


def test_gate_whose_host_refuses_connections_denies_at_once() -> None:
    # All nodes lose power, and those of hosts that had left return for a moment. Such a
    # gate held up every search for two heartbeats.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    restart_without_host(holder)
    assert caller.send_request("10.1.0.2", b"early") == []
    holder.gate.record_refused_check(deployment.now, deployment.now)
    deployment.run()
    assert is_last_packet_reset(deployment)


def test_refused_check_proves_nothing_about_a_host_that_was_seen() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.restart()
    holder.send_heartbeat()
    holder.gate.record_refused_check(deployment.now, deployment.now)
    (answer,) = caller.send_request("10.1.0.2", b"again")
    assert answer.data == b"answer again"


def test_gate_without_flows_that_stops_is_not_awaited() -> None:
    # VMs of hosts that had left are removed one after the other: each front awaited
    # each of their gates for three seconds.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    empty = get_other_gate(deployment, holder)
    restart_without_host(empty)
    empty.gate.record_refused_check(deployment.now, deployment.now)
    deployment.pass_time(1.0)
    empty.gate.leave(deployment.now)
    deployment.run()
    empty.is_up = False
    restart_host(holder)
    deployment.run()
    caller.send_request("10.1.0.2")
    deployment.run()
    deployment.pass_time(MAX_PROOF_S)
    assert is_last_packet_reset(deployment)


def test_gate_that_stops_with_flows_is_awaited() -> None:
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.gate.leave(deployment.now)
    deployment.run()
    holder.is_up = False
    caller.send_request("10.1.0.2")
    deployment.pass_time(2.0)
    assert not list_resets(deployment)


def test_search_reaches_a_gate_that_is_heard_after_it_began() -> None:
    # All nodes start at once, the holder of a flow a moment after the front. The search
    # was sent once, and only a retransmission of the caller repeated it.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.is_up = False
    front = deployment.fronts["10.1.0.2"]
    front.start()
    front.find_nodes()
    deployment.run()
    assert caller.send_request("10.1.0.2", b"again") == []
    holder.is_up = True
    holder.restart()
    holder.send_heartbeat()
    answers_before = len(deployment.to_callers)
    deployment.pass_time(0.6)
    answers = [packet.data for packet, _ in deployment.to_callers[answers_before:]]
    assert b"answer again" in answers


def test_listed_gate_that_has_gone_is_awaited_no_longer_than_a_restart() -> None:
    # A host leaves, all nodes lose power before its gate is stopped, and the gate's
    # entry stays in the store.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    left = get_other_gate(deployment, holder)
    left.is_up = False
    restart_host(holder)
    restart_front(deployment)
    deployment.run()
    caller.send_request("10.1.0.2")
    deployment.pass_time(LOST_TIMEOUT_S + MAX_PROOF_S)
    assert is_last_packet_reset(deployment)


def test_gate_whose_host_ends_before_it_stops_is_not_awaited() -> None:
    # The VM of a host is removed: the host ends first, then its gate gets the signal.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.gate.leave(deployment.now, refused_at=deployment.now)
    deployment.run()
    holder.is_up = False
    caller.send_request("10.1.0.2")
    deployment.run()
    deployment.pass_time(MAX_PROOF_S)
    assert is_last_packet_reset(deployment)


def test_gate_whose_host_sends_no_heartbeat_holds_up_no_search() -> None:
    # A host that had left runs again for a moment after all nodes lost power, and
    # bounces what it does not hold. Its VM vanishes without a signal to the gate.
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    left = get_other_gate(deployment, holder)
    left.restart()
    left.sends_heartbeats = False
    restart_host(holder)
    restart_front(deployment)
    deployment.pass_time(0.6)
    caller.send_request("10.1.0.2")
    deployment.pass_time(MAX_PROOF_S)
    assert is_last_packet_reset(deployment)
    left.is_up = False
    deployment.pass_time(LOST_TIMEOUT_S + 0.6)
    caller.send_request("10.1.0.2", b"again")
    deployment.pass_time(MAX_PROOF_S)
    assert len(list_resets(deployment)) == 2


def test_load_of_a_stopping_gate_repeats_that_its_host_is_gone() -> None:
    """Guards against fronts that await a gate which has ended without flows."""
    deployment = build_deployment()
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.gate.leave(deployment.now, refused_at=deployment.now)
    deployment.pass_time(0.3)
    host = deployment.fronts["10.1.0.2"].front.fleet.find_host(holder.ip)
    assert host is not None
    assert host.state is HostState.GONE
