"""A flow has one holder, whichever host places it and however late."""

from __future__ import annotations

from dataclasses import replace

from balsamstream.core.action import Send
from balsamstream.core.identity import Address, ProcessRef, RequestKey
from balsamstream.core.message import (
    HeldFlowsReply,
    LoadReport,
    Packet,
    PacketFlag,
    RequestKind,
)
from balsamstream.core.ownership import Disposition
from balsamstream.core.routing import Routing, RoutingVersion, compute_flow_key
from balsamstream.core.view import Join, Member, View, edit_view
from tests.core.network import Network


def build_network(hosts: int) -> Network:
    network = Network()
    network.declare("comptoir", 5683)
    network.add_balancer("balancer-1")
    for number in range(hosts):
        network.add_agent(f"comptoir-{number}", "comptoir")
    network.pass_time(6.0)
    return network


def find_caller(
    network: Network, owners: list[str], routings: list[Routing]
) -> Address:
    """Return a caller whose flow has these owners under these routings."""
    for port in range(40_000, 50_000):
        caller = Address("127.0.0.1", port)
        flow = compute_flow_key("comptoir", caller)
        found = [routing.find_owner(flow) for routing in routings]
        if [member.ref.name for member in found if member is not None] == owners:
            return caller
    raise AssertionError("no such caller")


def report_load(network: Network, to: str, host: str, flows: int) -> None:
    """Send an agent a made-up load report of another host."""
    report = LoadReport("comptoir", host, flows, 10**9, 0, 10**9)
    if flows:
        report = LoadReport("comptoir", host, flows, 1, flows, 1)
    network.agents[to].handle_message(Address("127.0.0.1", 1), report, network.now)


def build_packet(network: Network, caller: Address, request: int) -> Packet:
    agent = network.agents["comptoir-0"]
    return Packet(
        agent.state.service_number,
        compute_flow_key("comptoir", caller),
        caller,
        network.balancers["balancer-1"].config.address,
        agent.state.routing.version,
        RequestKind.REPEATABLE,
        RequestKey(request),
        2000,
        b"request",
    )


def test_flow_placed_by_an_owner_that_is_late_stays_where_it_opened() -> None:
    network = build_network(2)
    late = network.agents["comptoir-0"]
    address = late.state.config.address
    before = late.state.routing
    network.is_cut = lambda sender, to: to == address
    network.add_agent("comptoir-2", "comptoir")
    network.pass_time(1.0)
    after = network.agents["comptoir-2"].state.routing
    assert late.state.routing is before
    assert len(after.eligible) == 3
    caller = find_caller(network, ["comptoir-0", "comptoir-2"], [before, after])
    report_load(network, "comptoir-0", "comptoir-1", 0)
    packet = build_packet(network, caller, 1)
    balancer = network.balancers["balancer-1"].config.address
    network.carry_out(address, late.handle_message(balancer, packet, network.now))
    network.settle()
    network.is_cut = lambda sender, to: False
    network.pass_time(1.0)
    assert network.agents["comptoir-2"].ownership.is_synced
    report_load(network, "comptoir-2", "comptoir-1", 9)
    network.send_request("balancer-1", "comptoir", caller, 2)
    network.settle()
    assert len(network.runs) == 2
    assert len({run.host for run in network.runs}) == 1


def test_flow_forwarded_by_a_full_host_stays_where_it_opened() -> None:
    network = build_network(3)
    routing = network.agents["comptoir-0"].state.routing
    for port in range(40_000, 41_000):
        caller = Address("127.0.0.1", port)
        flow = compute_flow_key("comptoir", caller)
        ranked = [member.ref.name[-1] for member in routing.rank(flow)]
        compared = [member.ref.name[-1] for member in routing.list_candidates(flow, 2)]
        if ranked == ["0", "1", "2"] and compared == ["0", "1"]:
            break
    full = network.agents["comptoir-1"]
    assert full.state.admission is not None
    slots, full.state.admission.slots = full.state.admission.slots, 0
    full.state.flows.record_caller_packet(
        compute_flow_key("other", caller), caller, caller, 0.0
    )
    report_load(network, "comptoir-0", "comptoir-1", 0)
    report_load(network, "comptoir-1", "comptoir-2", 0)
    report_load(network, "comptoir-1", "comptoir-0", 9)
    balancer = network.balancers["balancer-1"].config.address
    owner = network.agents["comptoir-0"]
    owner.state.flows.record_caller_packet(
        compute_flow_key("other", caller), caller, caller, 0.0
    )
    address = owner.state.config.address
    for request in (1, 2):
        packet = build_packet(network, caller, request)
        network.carry_out(address, owner.handle_message(balancer, packet, network.now))
        network.settle()
        full.state.admission.slots = slots
    assert [run.host.name for run in network.runs] == ["comptoir-2", "comptoir-2"]


def test_recorded_holders_that_name_each_other_do_not_block_a_flow_forever() -> None:
    network = build_network(2)
    routing = network.agents["comptoir-0"].state.routing
    caller = find_caller(network, ["comptoir-0"], [routing])
    flow = compute_flow_key("comptoir", caller)
    for host, other in (("comptoir-0", "comptoir-1"), ("comptoir-1", "comptoir-0")):
        ref = network.agents[other].state.config.ref
        network.agents[host].ownership._record_holder(flow, ref)
    for request in (1, 2):
        network.send_request("balancer-1", "comptoir", caller, request)
        network.settle()
    assert 2 in {run.request for run in network.runs}


def test_packets_that_waited_for_a_holder_follow_one_that_did_not() -> None:
    network = build_network(2)
    owner = network.agents["comptoir-0"]
    address = owner.state.config.address
    caller = find_caller(network, ["comptoir-0"], [owner.state.routing])
    report_load(network, "comptoir-0", "comptoir-1", 9)
    balancer = network.balancers["balancer-1"].config.address
    network.carry_out(address, owner.ownership.start_sync(network.now))
    reports, network.undelivered = network.undelivered, []
    first = build_packet(network, caller, 1)
    network.carry_out(address, owner.handle_message(balancer, first, network.now))
    queries, network.undelivered = network.undelivered, reports
    network.settle()
    assert owner.ownership.is_synced
    second = build_packet(network, caller, 2)
    network.carry_out(address, owner.handle_message(balancer, second, network.now))
    report_load(network, "comptoir-0", "comptoir-1", 0)
    owner.state.flows.record_caller_packet(
        compute_flow_key("x", caller), caller, caller, 0.0
    )
    network.undelivered += queries
    network.settle()
    assert len(network.runs) == 2
    assert len({run.host for run in network.runs}) == 1


def test_packets_that_cross_a_forwarded_one_open_the_flow_once() -> None:
    network = build_network(3)
    routing = network.agents["comptoir-0"].state.routing
    caller = find_caller(network, ["comptoir-0"], [routing])
    flow = compute_flow_key("comptoir", caller)
    full = network.agents["comptoir-1"].state
    full.max_flows = 0
    ref = full.config.ref
    network.agents["comptoir-0"].ownership._record_holder(flow, ref)
    report_load(network, "comptoir-1", "comptoir-0", 0)
    for request in (1, 2):
        network.send_request("balancer-1", "comptoir", caller, request)
    network.settle()
    assert len({run.host for run in network.runs}) == 1


def test_routing_without_active_hosts_has_no_candidates() -> None:
    routing = Routing(View("comptoir", 1), frozenset(), 0)
    flow = compute_flow_key("comptoir", Address("127.0.0.1", 40_000))
    assert routing.list_candidates(flow, 2) == []


def test_report_that_a_flow_came_back_does_not_replace_its_recorded_holder() -> None:
    network = build_network(3)
    owner = network.agents["comptoir-0"]
    flow = compute_flow_key("comptoir", Address("127.0.0.1", 40_000))
    owner.ownership._record_holder(flow, network.agents["comptoir-2"].state.config.ref)
    me = owner.state.config.ref
    report = HeldFlowsReply("comptoir", RoutingVersion(0, 0), me, -1, False, (flow,))
    owner.handle_message(Address("127.0.0.1", 1), report, network.now)
    assert owner.ownership.find_holder(flow) == "comptoir-2"


def test_change_of_the_view_keeps_the_holder_of_a_flow_just_forwarded() -> None:
    network = build_network(3)
    routing = network.agents["comptoir-0"].state.routing
    caller = find_caller(network, ["comptoir-0"], [routing])
    flow = compute_flow_key("comptoir", caller)
    full = network.agents["comptoir-1"]
    full.state.max_flows = 0
    full.ownership.place(
        replace(build_packet(network, caller, 1), flags=PacketFlag.PLACED),
        network.agents["comptoir-0"].state.config.address,
        network.now,
    )
    holder = full.ownership.find_holder(flow)
    full.ownership.start_sync(network.now)
    assert holder is not None
    assert full.ownership.find_holder(flow) == holder


def test_owner_that_lost_the_bucket_during_a_query_forwards_the_packet() -> None:
    network = build_network(2)
    routing = network.agents["comptoir-0"].state.routing
    view = routing.view
    joined = Member(ProcessRef("comptoir-9", 9), Address("127.0.0.1", 7999), "m", 2)
    later = Routing(edit_view(view, Join(joined)), frozenset(), 0)
    caller = find_caller(network, ["comptoir-0", "comptoir-9"], [routing, later])
    owner = network.agents["comptoir-0"]
    owner.ownership.start_sync(network.now)
    packet = build_packet(network, caller, 1)
    owner.ownership.place(packet, packet.via, network.now)
    owner.state.routing = later
    placements, _ = owner.ownership.tick(network.now + 1.0)
    (placement,) = placements
    assert placement.disposition is Disposition.FORWARDED
    (sent,) = [each for each in placement.actions if isinstance(each, Send)]
    assert sent.to == joined.address
