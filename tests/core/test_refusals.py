"""Tests that a refusal as not run holds for every copy that the host received."""

from __future__ import annotations

from balsamstream.core.identity import Address
from balsamstream.core.message import RequestKind
from balsamstream.core.verdict import MayHaveRun, NotRun
from tests.core.network import Network
from tests.core.test_path import build_network

FIRST = Address("127.0.0.1", 40000)
SECOND = Address("127.0.0.1", 40001)


def build_full_host() -> Network:
    """Return a network of one host at its limit of one request in flight."""
    network = Network()
    network.auto_answer = False
    profile = {
        "in_flight_per_slot": 1,
        "cold_start": {"initial_share": 1.0, "ramp_s": 1},
        "shed": ["non-repeatable", "new-flow", "repeatable"],
    }
    network.declare("comptoir", 5683, profile)
    network.add_balancer("balancer-1")
    network.add_agent("comptoir-0", "comptoir", slots=1)
    network.pass_time(6.0)
    send(network, FIRST, 1)
    assert len(network.runs) == 1
    return network


def send(network: Network, caller: Address, request: int) -> None:
    kind = RequestKind.REPEATABLE
    network.send_request("balancer-1", "comptoir", caller, request, kind)
    network.settle()


def test_copy_of_a_delivered_request_is_not_refused_as_not_run() -> None:
    network = build_full_host()
    network.pass_time(2.2)
    send(network, SECOND, 2)
    assert len(network.runs) == 2
    network.caller_replies.clear()
    send(network, FIRST, 1)
    assert [type(reply.verdict) for reply in network.caller_replies] == [MayHaveRun]


def test_refused_request_is_not_run_by_a_later_copy() -> None:
    network = build_full_host()
    agent = network.agents["comptoir-0"]
    flow = next(iter(agent.state.flows))
    network.caller_replies.clear()
    send(network, FIRST, 2)
    answer = agent.handle_answer(flow, network.runs[0].request, b"answer", network.now)
    network.carry_out(agent.state.config.address, answer)
    network.settle()
    send(network, FIRST, 2)
    verdicts = [
        reply.verdict for reply in network.caller_replies if reply.verdict is not None
    ]
    assert [type(verdict) for verdict in verdicts] == [NotRun, NotRun]
    assert len(network.runs) == 1


def test_new_flow_is_refused_as_not_run_at_the_bound_of_the_table() -> None:
    network = build_network(1)
    state = network.agents["comptoir-0"].state
    network.send_request("balancer-1", "comptoir", Address("127.0.0.1", 46000), 1)
    network.settle()
    state.max_flows = 1
    caller = Address("127.0.0.1", 46001)
    kind = RequestKind.NON_REPEATABLE
    network.send_request("balancer-1", "comptoir", caller, 2, kind)
    network.settle()
    assert len(network.runs) == 1
    assert isinstance(network.caller_replies[-1].verdict, NotRun)
