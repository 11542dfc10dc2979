"""A request's whole path through the decisions."""

from __future__ import annotations

from balsamstream.core.identity import Address
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
    assert [told.payload for told in network.told] == [b"answer request"]


def test_order_runs_once_though_copies_enter_at_both_balancers() -> None:
    network = build_network()
    caller = Address("127.0.0.1", 40001)
    kind = RequestKind.NON_REPEATABLE
    network.send_request("balancer-1", "comptoir", caller, 7, kind)
    network.send_request("balancer-2", "comptoir", caller, 7, kind)
    network.settle()
    network.send_request("balancer-2", "comptoir", caller, 7, kind)
    network.settle()
    assert len(network.runs) == 1
    assert {told.payload for told in network.told} == {b"answer request"}


def test_order_without_any_host_is_refused_as_not_run() -> None:
    network = build_network()
    network.platform.put("DataCentre", "medina", {"state": "out"})
    network.pass_time(3.0)
    caller = Address("127.0.0.1", 40002)
    network.send_request(
        "balancer-1", "comptoir", caller, 9, RequestKind.NON_REPEATABLE
    )
    network.settle()
    assert network.runs == []
    assert isinstance(network.told[0].verdict, NotRun)


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


def test_flows_elsewhere_stay_when_a_data_centre_returns() -> None:
    network = Network()
    network.declare("comptoir", 5683)
    network.add_balancer("balancer-1")
    for number in range(4):
        data_centre = "thyna" if number % 2 else "medina"
        network.add_agent(f"comptoir-{number}", "comptoir", data_centre)
    network.platform.put("DataCentre", "thyna", {"state": "out"})
    network.pass_time(9.0)
    callers = [Address("127.0.0.1", 43000 + number) for number in range(40)]
    for number, caller in enumerate(callers):
        network.send_request("balancer-1", "comptoir", caller, number + 1)
        network.settle()
    network.pass_time(9.0)
    before = {run.flow: run.host for run in network.runs}
    network.platform.put("DataCentre", "thyna", {"state": "in"})
    network.runs.clear()
    for step in range(10):
        network.step()
        for number, caller in enumerate(callers):
            request = 1000 * (step + 1) + number
            network.send_request("balancer-1", "comptoir", caller, request)
            network.settle()
    moved = [run for run in network.runs if before[run.flow] != run.host]
    assert moved == []
