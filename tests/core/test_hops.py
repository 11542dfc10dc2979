"""A packet that agents have forwarded too often is refused."""

from __future__ import annotations

from dataclasses import replace

from balsamstream.core.agent import MAX_HOPS
from balsamstream.core.identity import Address
from balsamstream.core.message import Packet
from balsamstream.core.verdict import NotRun
from tests.core.test_path import build_network


def test_packet_at_the_limit_is_refused_as_not_run() -> None:
    network = build_network()
    network.send_request("balancer-1", "comptoir", Address("127.0.0.1", 40_000), 1)
    (sent,) = [each for each in network.undelivered if isinstance(each.message, Packet)]
    network.undelivered.remove(sent)
    at_limit = replace(sent.message, hops=MAX_HOPS)
    network.undelivered.append(replace(sent, message=at_limit))
    network.settle()
    assert network.runs == []
    assert [type(reply.verdict) for reply in network.caller_replies] == [NotRun]
