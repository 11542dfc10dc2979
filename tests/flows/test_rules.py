"""What a gate lets in, whatever the fronts believe."""

from __future__ import annotations

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.messages import (
    OPEN_HEADER,
    DeclineReason,
    Kind,
    compute_service_tag,
)
from standins.flow_host import RST, SYN, FlowHost

from .scene import ROUTE, SERVICE, Caller, GateNode, Scene, build_desired

FRONT = "10.1.0.1"
STALE_FRONT = "10.1.0.9"


@pytest.fixture
def scene() -> Scene:
    made = Scene()
    made.add_gate("10.1.0.11", "medina")
    made.add_gate("10.2.0.11", "sakiet")
    made.add_front(FRONT)
    made.pass_time(1.0)
    return made


def offer(scene: Scene, gate: GateNode, service: str = SERVICE, port: int = 1) -> int:
    """Send a gate an opening packet as a front would; return why it is declined."""
    sent: list[bytes] = []
    gate.send_to_node = lambda _ip, message: sent.append(message)  # type: ignore[method-assign]
    packet = Caller(scene, port).build(SYN, seq=7).encode()
    head = OPEN_HEADER.pack(Kind.OPEN, compute_service_tag(service), 1)
    gate.gate.handle_message(head + packet, STALE_FRONT, scene.now)
    declined = [each for each in sent if each[0] == Kind.DECLINED]
    del gate.send_to_node
    return declined[0][1] if declined else 0


def test_draining_host_gets_no_new_flow(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    gate.state = HostState.DRAINING
    gate.beat()
    assert offer(scene, gate) == DeclineReason.DRAINING
    caller = Caller(scene)
    caller.open(FRONT)
    assert caller.find_holder().ip == "10.2.0.11"


def test_draining_host_keeps_its_flows(scene: Scene) -> None:
    caller = Caller(scene)
    caller.open(FRONT)
    gate = caller.find_holder()
    gate.state = HostState.DRAINING
    gate.beat()
    (answer,) = caller.ask(FRONT)
    assert answer.data == b"answer request"


def test_late_heartbeat_does_not_undo_the_drain(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    gate.state = HostState.DRAINING
    gate.beat()
    gate.beat(sequence=1, state=HostState.READY)
    assert offer(scene, gate) == DeclineReason.DRAINING


def test_heartbeat_of_an_earlier_incarnation_is_not_taken(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    gate.beat(incarnation=7, sequence=1, state=HostState.DRAINING)
    gate.beat(incarnation=6, sequence=99)
    assert offer(scene, gate) == DeclineReason.DRAINING


def test_host_that_has_left_does_not_come_back(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    gate.gate.handle_leave("i-10.1.0.11", scene.now)
    gate.beat()
    assert offer(scene, gate) == DeclineReason.NOT_READY


def test_silent_host_gets_no_new_flow_until_it_is_heard(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    gate.beats = False
    scene.pass_time(5.0)
    assert offer(scene, gate) == DeclineReason.NOT_READY
    gate.beat()
    assert offer(scene, gate) == 0


def test_data_centre_that_is_out_gets_no_new_flow(scene: Scene) -> None:
    scene.evacuate(50, "medina")
    assert offer(scene, scene.gates["10.1.0.11"]) == DeclineReason.EVACUATED
    caller = Caller(scene)
    caller.open(FRONT)
    assert caller.find_holder().ip == "10.2.0.11"


def test_gate_asks_nobody_back_in_by_an_older_word(scene: Scene) -> None:
    scene.evacuate(50, "medina")
    stale = scene.add_front(STALE_FRONT)
    assert (
        not stale.front.fleet.evacuations.data_centres
        or stale.front.fleet.evacuations.revision
    )
    scene.pass_time(1.0)
    assert offer(scene, scene.gates["10.1.0.11"]) == DeclineReason.EVACUATED


def test_evacuation_that_ends_lets_flows_in_again(scene: Scene) -> None:
    scene.evacuate(50, "medina")
    scene.evacuate(60)
    assert offer(scene, scene.gates["10.1.0.11"]) == 0


def test_cold_host_gets_what_it_bears(scene: Scene) -> None:
    scene.desire(build_desired(2, {ROUTE: SERVICE}, cold_per_s=10.0))
    gate = scene.gates["10.1.0.11"]
    gate.cold_left_s = 30.0
    gate.beat()
    taken = 0
    for port in range(1, 400):
        scene.pass_time(0.01)
        taken += offer(scene, gate, port=port) == 0
    assert 35 <= taken <= 42


def test_flow_of_another_service_is_not_let_in(scene: Scene) -> None:
    gate = scene.gates["10.1.0.11"]
    assert offer(scene, gate, service="etiquettes") == DeclineReason.WRONG_SERVICE


def test_reused_address_serves_its_new_service_only(scene: Scene) -> None:
    scene.desire(build_desired(2, {ROUTE: SERVICE, ("198.18.0.2", 443): "etiquettes"}))
    old = scene.gates.pop("10.1.0.11")
    new = scene.add_gate(
        "10.1.0.11", "medina", service="etiquettes", gate_incarnation=2
    )
    new.gate.reporter.send_report(list(scene.fronts), scene.now)
    scene.run()
    caller = Caller(scene)
    caller.open(FRONT)
    assert caller.find_holder().ip == "10.2.0.11"
    other = Caller(scene, 5, route=("198.18.0.2", 443))
    other.open(FRONT)
    assert other.find_holder() is new
    assert not old.host.received


def test_caller_learns_at_once_that_all_is_out(scene: Scene) -> None:
    scene.evacuate(50, "medina", "sakiet")
    (answer,) = Caller(scene).open(FRONT)
    assert answer.flags == RST


def test_copy_of_an_opening_packet_is_not_refused_by_another_front(
    scene: Scene,
) -> None:
    scene.evacuate(50, "medina", "sakiet")
    assert Caller(scene).open(FRONT, copy=1) == []


def test_port_that_comes_again_is_placed_anew(scene: Scene) -> None:
    earlier = Caller(scene)
    earlier.open(FRONT)
    earlier.ask(FRONT)
    first = earlier.find_holder()
    first.state = HostState.DRAINING
    first.beat()
    later = Caller(scene, seq=70_000)
    later.open(FRONT)
    holders = [g for g in scene.gates.values() if g is not first]
    assert holders[0].host.holds(later.build(0))


def test_later_packet_does_not_reach_the_next_service_of_an_address(
    scene: Scene,
) -> None:
    scene.desire(build_desired(2, {ROUTE: SERVICE, ("198.18.0.2", 443): "etiquettes"}))
    caller = Caller(scene)
    caller.open(FRONT)
    caller.ask(FRONT)
    ip = caller.find_holder().ip
    del scene.gates[ip]
    # The gate can't tell what its host held before, and would ask it.
    new = GateNode(scene, ip, "medina", "etiquettes", 2, FlowHost(9_000), heartbeats=5)
    scene.gates[ip] = new
    new.beat()
    new.gate.reporter.send_report(list(scene.fronts), scene.now)
    scene.run()
    caller.ask(FRONT)
    assert not new.host.received
