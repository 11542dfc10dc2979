"""A host in an evacuated data centre runs no further request."""

from __future__ import annotations

from balsamstream.core.identity import Address
from balsamstream.core.message import Changes, RequestKind
from tests.core.network import Network


def test_claim_won_after_the_data_centre_was_evacuated_does_not_run() -> None:
    network = Network()
    network.declare("comptoir", 5683)
    network.add_balancer("balancer-1")
    agent = network.add_agent("comptoir-0", "comptoir")
    network.pass_time(6.0)
    caller = Address("127.0.0.1", 40000)
    kind = RequestKind.NON_REPEATABLE
    network.send_request("balancer-1", "comptoir", caller, 1, kind)
    packet = network.undelivered.pop()
    network.deliver(packet)
    network.platform.put("DataCentre", "medina", {"state": "out"})
    changes = network.platform.list_changes()
    assert isinstance(changes, Changes)
    agent.handle_message(packet.sender, changes, network.now)
    network.settle()
    assert network.runs == []
    assert network.counts["refused_not_run"] == 1
