"""The path of a request through the decisions of balancers and agents."""

from __future__ import annotations

from balsamstream.core.identity import Address, FlowKey, ProcessRef
from balsamstream.core.message import RequestKind
from balsamstream.core.verdict import NotRun
from tests.core.network import Network


def build_network(hosts: int = 3) -> Network:
    network = Network()
    network.declare("comptoir", 5683)
    for name in ("balancer-1", "balancer-2"):
        network.add_balancer(name)
    for number in range(hosts):
        network.add_agent(f"comptoir-{number}", "comptoir")
    network.pass_time(6.0)
    return network


def test_repeatable_request_is_answered() -> None:
    network = build_network()
    network.send_request("balancer-1", "comptoir", Address("127.0.0.1", 40000), 1)
    network.settle()
    assert [reply.payload for reply in network.caller_replies] == [b"answer request"]


def test_non_repeatable_request_runs_once_if_copies_enter_at_two_balancers() -> None:
    network = build_network()
    caller = Address("127.0.0.1", 40001)
    kind = RequestKind.NON_REPEATABLE
    network.send_request("balancer-1", "comptoir", caller, 7, kind)
    network.send_request("balancer-2", "comptoir", caller, 7, kind)
    network.settle()
    network.send_request("balancer-2", "comptoir", caller, 7, kind)
    network.settle()
    assert len(network.runs) == 1
    assert {reply.payload for reply in network.caller_replies} == {b"answer request"}


def test_non_repeatable_request_without_any_host_is_refused_as_not_run() -> None:
    network = build_network()
    network.platform.put("DataCentre", "medina", {"state": "out"})
    network.pass_time(3.0)
    caller = Address("127.0.0.1", 40002)
    network.send_request(
        "balancer-1", "comptoir", caller, 9, RequestKind.NON_REPEATABLE
    )
    network.settle()
    assert network.runs == []
    assert isinstance(network.caller_replies[0].verdict, NotRun)


def test_established_flow_stays_when_a_host_joins() -> None:
    network = build_network()
    callers = [Address("127.0.0.1", 41000 + number) for number in range(40)]
    for number, caller in enumerate(callers):
        network.send_request("balancer-1", "comptoir", caller, number + 1)
    network.settle()
    before = {run.flow: run.host for run in network.runs}
    network.add_agent("comptoir-9", "comptoir")
    network.pass_time(4.0)
    network.runs.clear()
    for number, caller in enumerate(callers):
        network.send_request("balancer-2", "comptoir", caller, number + 100)
    network.pass_time(1.0)
    assert {run.flow: run.host for run in network.runs} == before


def test_host_starts_cold_when_its_data_centre_returns() -> None:
    network = build_network()
    admission = network.agents["comptoir-0"].state.admission
    assert admission is not None
    admission.share = 1.0
    network.platform.put("DataCentre", "medina", {"state": "out"})
    network.pass_time(3.0)
    network.platform.put("DataCentre", "medina", {"state": "in"})
    network.pass_time(3.0)
    assert admission.share == admission.profile.cold_start.initial_share


def build_two_data_centres() -> Network:
    network = Network()
    network.declare("comptoir", 5683)
    network.add_balancer("balancer-1")
    for number in range(4):
        data_centre = "thyna" if number % 2 else "medina"
        network.add_agent(f"comptoir-{number}", "comptoir", data_centre)
    network.pass_time(6.0)
    return network


def send_requests(network: Network, callers: list[Address], base: int) -> None:
    for number, caller in enumerate(callers):
        network.send_request("balancer-1", "comptoir", caller, base + number)
        network.settle()


def find_holders(network: Network) -> dict[FlowKey, ProcessRef]:
    return {run.flow: run.host for run in network.runs}


def check_flows_stay_on_return(network: Network, callers: list[Address]) -> None:
    before = find_holders(network)
    network.platform.put("DataCentre", "thyna", {"state": "in"})
    network.runs.clear()
    for step in range(10):
        network.step()
        send_requests(network, callers, 10_000 * (step + 1))
    assert [run for run in network.runs if before[run.flow] != run.host] == []


def test_flows_elsewhere_stay_when_a_data_centre_returns() -> None:
    network = build_two_data_centres()
    network.platform.put("DataCentre", "thyna", {"state": "out"})
    network.pass_time(9.0)
    callers = [Address("127.0.0.1", 43000 + number) for number in range(40)]
    send_requests(network, callers, 1)
    network.pass_time(9.0)
    check_flows_stay_on_return(network, callers)


def test_returning_hosts_do_not_use_holders_recorded_before() -> None:
    network = build_two_data_centres()
    callers = [Address("127.0.0.1", 44000 + number) for number in range(60)]
    send_requests(network, callers, 1)
    network.platform.put("DataCentre", "thyna", {"state": "out"})
    network.pass_time(3.0)
    restarted = network.agents["comptoir-0"]
    actions = restarted.handle_backend_refused(next(iter(restarted.state.flows)), 0.0)
    network.carry_out(restarted.state.config.address, actions)
    network.pass_time(1.0)
    send_requests(network, callers, 1_000)
    network.pass_time(4.0)
    send_requests(network, callers, 2_000)
    check_flows_stay_on_return(network, callers)


def test_host_that_lost_its_buckets_forgets_the_holders_of_their_flows() -> None:
    network = build_two_data_centres()
    callers = [Address("127.0.0.1", 45000 + number) for number in range(60)]
    send_requests(network, callers, 1)
    flows = [run.flow for run in network.runs]
    owner = network.agents["comptoir-1"]
    assert any(owner.ownership.find_holder(flow) for flow in flows)
    network.platform.put("DataCentre", "thyna", {"state": "out"})
    network.pass_time(3.0)
    assert not any(owner.ownership.find_holder(flow) for flow in flows)
