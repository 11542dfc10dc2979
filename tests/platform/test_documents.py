"""Decoding of the platform's documents, valid and malformed."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balsamstream.flows.heartbeat import HostState
from balsamstream.platform import packets
from balsamstream.platform.documents import (
    MalformedDocument,
    NodeEntry,
    read_desired_state,
    read_heartbeat,
    read_node,
    write_node,
)

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-a",
            "host": "198.18.0.1",
            "path_prefix": "/8443/",
            "route_type": "unsafe",
            "timeout_ms": 2500,
            "target_latency_ms": 250,
            "priority": 2,
            "backends": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "max_attempts": 2,
        },
        {
            "name": "r-b",
            "host": "198.18.0.2",
            "path_prefix": "/443/",
            "route_type": "download",
            "timeout_ms": 5000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": "b",
        },
    ],
    "services": [
        {"name": "a", "max_conns": 2000, "cold_start_s": 2.0, "cold_per_s": 5.0},
        {"name": "b"},
    ],
    "limits": {"idle_timeout_ms": 15000},
}
HEARTBEAT: dict[str, Any] = {
    "service": "a",
    "address": "10.1.0.9:8080",
    "zone": "medina",
    "version": "v1",
    "slots": 2,
    "state": "draining",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 1_791_565_685_000,
}


def test_desired_state_is_decoded() -> None:
    desired = read_desired_state(json.dumps(CONFIG).encode())
    route = desired.routes[packets.pack_route("198.18.0.1", 8443)]
    assert (desired.version, desired.flow_idle_s) == (7, 15.0)
    assert [share.service for share in route.shares] == ["a", "b"]
    assert (route.repeatable, route.deadline_s, route.objective_s) == (False, 2.5, 0.25)
    other = desired.routes[packets.pack_route("198.18.0.2", 443)]
    assert (other.repeatable, other.shares[0].service) == (True, "b")
    assert desired.services["a"].cold_per_s == 5.0


def test_shares_follow_their_weights() -> None:
    desired = read_desired_state(json.dumps(CONFIG).encode())
    route = desired.routes[packets.pack_route("198.18.0.1", 8443)]
    chosen = [route.choose_service(b"flow-%d" % n) for n in range(2_000)]
    assert 0.85 < chosen.count("a") / 2_000 < 0.95


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"\xff\xfe",
        b"{",
        b"[]",
        b'{"version": "7"}',
        json.dumps(CONFIG | {"version": None}).encode(),
        json.dumps(CONFIG | {"routes": [{"name": "x"}]}).encode(),
        json.dumps(
            CONFIG | {"routes": [CONFIG["routes"][0] | {"path_prefix": "/x/"}]}
        ).encode(),
        json.dumps(
            CONFIG | {"routes": [CONFIG["routes"][0] | {"path_prefix": "/70000/"}]}
        ).encode(),
        json.dumps(
            CONFIG | {"routes": [CONFIG["routes"][0] | {"host": "a.b.c"}]}
        ).encode(),
        json.dumps(
            CONFIG
            | {"routes": [{"name": "x", "host": "198.18.0.1", "path_prefix": "/1/"}]}
        ).encode(),
    ],
)
def test_malformed_desired_state_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedDocument):
        read_desired_state(body)


def test_heartbeat_is_decoded() -> None:
    heartbeat = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert heartbeat.host == "i-1"
    assert heartbeat.state is HostState.DRAINING
    assert (heartbeat.sequence, heartbeat.cold_left_s) == (4, 1.5)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 3},
        {"born": None},
        {"born": "1"},
        {"seq": -1},
        {"slots": 0},
        {"service": None},
        {"cold_left_ms": "soon"},
    ],
)
def test_malformed_heartbeat_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedDocument):
        read_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize("field", ["service", "zone", "slots", "state", "seq", "born"])
def test_heartbeat_without_a_field_is_rejected(field: str) -> None:
    body = {name: value for name, value in HEARTBEAT.items() if name != field}
    with pytest.raises(MalformedDocument):
        read_heartbeat("i-1", json.dumps(body).encode())


def test_node_entry_survives_encoding_and_decoding() -> None:
    node = NodeEntry("10.1.0.9", "front")
    assert read_node(write_node(node)) == node


@pytest.mark.parametrize("body", [b"null", b'{"ip": 3}', b'{"ip":"x","role":"front"}'])
def test_malformed_entry_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedDocument):
        read_node(body)
