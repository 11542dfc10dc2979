"""Messages and packets that reach a host of another service."""

from __future__ import annotations

from dataclasses import replace

from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import (
    ClaimAsk,
    Count,
    HolderAsk,
    LoadReport,
    Message,
    Packet,
    RequestKind,
    SealAsk,
)
from balsamstream.core.routing import RoutingVersion
from tests.core.test_path import build_network

ELSEWHERE = Address("127.0.0.1", 9)
REF = ProcessRef("fitter-1", 77)


def test_messages_of_another_service_are_counted_and_dropped() -> None:
    agent = build_network().agents["comptoir-0"]
    messages: list[Message] = [
        ClaimAsk("fitter", 1, RequestKey(1), REF),
        HolderAsk("fitter", FlowKey(1)),
        LoadReport("fitter", "fitter-1", 1, 2, 3, 4),
        SealAsk("fitter", 9, REF, 0),
    ]
    for message in messages:
        assert agent.receive(ELSEWHERE, message, 200.0) == [Count("wrong_service")]


def test_packet_of_another_service_runs_nothing() -> None:
    network = build_network()
    agent = network.agents["comptoir-0"]
    number = agent.state.number
    packet = Packet(
        number,
        FlowKey(5),
        ELSEWHERE,
        ELSEWHERE,
        RoutingVersion(1, 1),
        RequestKind.NON_REPEATABLE,
        RequestKey(6),
        1_000,
        b"order",
    )
    wrong = replace(packet, service=number + 1)
    assert agent.receive(ELSEWHERE, wrong, 200.0) == [Count("wrong_service")]
