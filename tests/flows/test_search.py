"""Searches for flows that a front does not know, and what they cost its link."""

from __future__ import annotations

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.messages import Kind, encode_search_request
from balsamstream.flows.placement import Host
from balsamstream.flows.search import MAX_RELAY_TARGETS, plan_relays
from standins.flow_host import RST, FlowHost

from .scene import Caller, Scene

DATA_CENTRES = ("medina", "sakiet", "thyna")
GATES = 35
NOW = 100.0

LINK_BYTES_PER_S = 5e6 / 8
"""The thinnest link of a front that the users have."""
QUEUE_S = 0.25
"""What a link holds back before it drops."""
REQUEST_BYTES = 331
"""A request of a caller with its head, without a body."""
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


@pytest.mark.parametrize("turn", [0, 1, 7])
def test_every_gate_is_asked_once_by_way_of_one_in_its_data_centre(turn: int) -> None:
    hosts = build_hosts()
    asked = []
    for group in plan_relays(hosts, turn, NOW):
        assert {each.data_centre for each in group.targets} <= {group.relay.data_centre}
        asked += [group.relay.ip, *(each.ip for each in group.targets)]
    assert sorted(asked) == sorted(host.ip for host in hosts)
    assert len(list(plan_relays(hosts, turn, NOW))) == len(DATA_CENTRES)


def test_next_search_goes_by_way_of_other_gates() -> None:
    hosts = build_hosts()
    first = {group.relay.ip for group in plan_relays(hosts, 0, NOW)}
    second = {group.relay.ip for group in plan_relays(hosts, 1, NOW)}
    assert not first & second


def test_gate_that_is_silent_or_gone_passes_nothing_on() -> None:
    hosts = build_hosts(9)
    for host in hosts[:3]:
        host.last_heard_at = NOW - 2.0
    for host in hosts[3:6]:
        host.state = HostState.GONE
    for turn in range(9):
        relays = {group.relay.ip for group in plan_relays(hosts, turn, NOW)}
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
    """Send the searches of a front that has just begun; return the group that is lost.

    Load pattern: all nodes lost power, and every caller's next packet is there when the
    front begins.
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


def test_searches_of_a_whole_restart_fit_a_thin_link() -> None:
    hosts = build_hosts()
    packet = bytes(REQUEST_BYTES)
    spread = [
        len(encode_search_request([each.ip for each in group.targets], packet))
        for group in plan_relays(hosts, 0, NOW)
    ]
    direct = [1 + REQUEST_BYTES] * len(hosts)
    assert replay_restart(spread, 60) == 0.0
    assert replay_restart(direct, 60) > 0.5


def build_scene() -> Scene:
    scene = Scene()
    for number in range(9):
        scene.add_gate(f"10.1.0.{11 + number}", DATA_CENTRES[number % 3])
    for ip in ("10.1.0.1", "10.1.0.2"):
        scene.add_front(ip)
    scene.pass_time(1.0)
    return scene


def count_searches(scene: Scene, front: str) -> int:
    """Count what a front sends for one packet of a flow that it does not know."""
    sent: list[bytes] = []
    deliver = scene.deliver_node

    def watch(ip: str, message: bytes, sender: str) -> None:
        if sender == front and message[0] == Kind.SEARCH:
            sent.append(message)
        deliver(ip, message, sender)

    scene.deliver_node = watch  # type: ignore[method-assign]
    caller = Caller(scene)
    caller.open("10.1.0.1")
    caller.ask("10.1.0.1")
    (answer,) = caller.ask(front, b"again")
    assert answer.data == b"answer again"
    return len(sent)


def test_front_sends_a_sought_packet_once_to_each_data_centre() -> None:
    assert count_searches(build_scene(), "10.1.0.2") == len(DATA_CENTRES)


def test_flow_is_found_though_a_gate_that_passes_packets_on_is_cut_off() -> None:
    scene = build_scene()
    caller = Caller(scene)
    caller.open("10.1.0.1")
    caller.ask("10.1.0.1")
    holder = caller.find_holder()
    others = [
        ip
        for ip, gate in scene.gates.items()
        if gate.data_centre == holder.data_centre and gate is not holder
    ]
    scene.cuts |= {("10.1.0.2", ip) for ip in others}
    answers = [caller.ask("10.1.0.2", b"%d" % number) for number in range(3)]
    assert any(each and each[0].data.startswith(b"answer") for each in answers)


def test_flow_is_given_up_at_once_where_every_listed_gate_was_heard() -> None:
    scene = build_scene()
    caller = Caller(scene)
    caller.open("10.1.0.1")
    caller.ask("10.1.0.1")
    holder = caller.find_holder()
    holder.host = FlowHost(9_000)
    holder.incarnation = 2
    holder.beat()
    front = scene.fronts["10.1.0.2"]
    front.begin()
    front.front.fleet.add_listed_nodes([], list(scene.gates), scene.now)
    scene.run()
    (answer,) = caller.ask("10.1.0.2")
    assert answer.flags & RST


def test_flow_is_not_given_up_before_every_listed_gate_was_heard() -> None:
    scene = build_scene()
    caller = Caller(scene)
    caller.open("10.1.0.1")
    caller.ask("10.1.0.1")
    holder = caller.find_holder()
    scene.cuts |= {(holder.ip, "10.1.0.2")}
    front = scene.fronts["10.1.0.2"]
    front.begin()
    front.front.fleet.add_listed_nodes([], list(scene.gates), scene.now)
    scene.run()
    scene.cuts |= {(ip, holder.ip) for ip in (*scene.gates, front.ip)}
    assert caller.ask("10.1.0.2", b"more") == []
    scene.pass_time(0.5)
    assert not any(packet.flags & RST for packet, _ in scene.to_callers)


def test_what_was_listed_before_a_pause_is_not_enough_after_it() -> None:
    scene = build_scene()
    front = scene.fronts["10.1.0.2"].front
    front.fleet.add_listed_nodes([], list(scene.gates), scene.now)
    scene.run()
    assert front.fleet.has_heard_listed_gates
    front.handle_pause(5.0, scene.now)
    assert not front.fleet.has_heard_listed_gates


@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: front and gate restart together")
def test_flow_is_not_given_up_while_a_listed_gate_is_away_for_a_moment() -> None:
    # Found by the soak, seed 912075: a front begins while the gate of a living host is
    # restarted, has run for a second, and knows the other gates only.
    scene = build_scene()
    caller = Caller(scene)
    caller.open("10.1.0.1")
    caller.ask("10.1.0.1")
    holder = caller.find_holder()
    holder.is_up = False
    front = scene.fronts["10.1.0.2"]
    front.begin()
    front.front.fleet.add_listed_nodes([], list(scene.gates), scene.now)
    scene.pass_time(1.2)
    caller.ask("10.1.0.2", b"more")
    scene.pass_time(0.3)
    assert not any(packet.flags & RST for packet, _ in scene.to_callers)
