"""Tests that a host drops messages and packets of another service."""

from __future__ import annotations

from dataclasses import replace

from balsamstream.core.action import Count
from balsamstream.core.identity import (
    NO_REQUEST,
    Address,
    FlowKey,
    ProcessRef,
    RequestKey,
)
from balsamstream.core.message import (
    ClaimRequest,
    HolderRequest,
    LoadReport,
    Message,
    Packet,
    RequestKind,
    SealRequest,
)
from balsamstream.core.routing import RoutingVersion
from tests.core.test_path import build_network

ELSEWHERE = Address("127.0.0.1", 9)
REF = ProcessRef("fitter-1", 77)


def build_packet(service: int) -> Packet:
    return Packet(
        service,
        FlowKey(5),
        ELSEWHERE,
        ELSEWHERE,
        RoutingVersion(1, 1),
        RequestKind.NON_REPEATABLE,
        RequestKey(6),
        1_000,
        b"order",
    )


def test_messages_of_another_service_are_counted_and_dropped() -> None:
    agent = build_network().agents["comptoir-0"]
    messages: list[Message] = [
        ClaimRequest("fitter", 1, RequestKey(1), REF),
        HolderRequest("fitter", FlowKey(1)),
        LoadReport("fitter", "fitter-1", 1, 2, 3, 4),
        SealRequest("fitter", 9, REF, 0),
    ]
    for message in messages:
        assert agent.handle_message(ELSEWHERE, message, 200.0) == [
            Count("wrong_service")
        ]


def test_packet_of_another_service_runs_nothing() -> None:
    agent = build_network().agents["comptoir-0"]
    packet = build_packet(agent.state.service_number)
    wrong = replace(packet, service=agent.state.service_number + 1)
    assert agent.handle_message(ELSEWHERE, wrong, 200.0) == [Count("wrong_service")]


def test_non_repeatable_request_without_a_key_is_dropped() -> None:
    network = build_network()
    agent = network.agents["comptoir-0"]
    packet = replace(build_packet(agent.state.service_number), request=NO_REQUEST)
    actions = agent.handle_message(ELSEWHERE, packet, 200.0)
    assert actions == [Count("request_without_key")]
