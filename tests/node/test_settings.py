"""Loading and checking of node settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from balsamstream.node.settings import SettingsError, load_settings, read_settings

ROOT = Path(__file__).resolve().parents[2]
GATE: dict[str, Any] = {
    "name": "gate-1",
    "role": "gate",
    "ip": "10.1.0.11",
    "data_centre": "medina",
    "node_port": 7720,
    "metrics_port": 9464,
    "callers": "10.1.0.11:8172",
    "readiness": "10.1.0.11:8167",
    "store": "10.200.1.7:8169",
    "seeds": ["10.1.0.10:8166"],
    "host": {
        "service": "comptoir",
        "address": "10.1.0.11:8165",
        "packets": "10.1.0.11:8162",
        "heartbeats": "10.1.0.11:8166",
        "heartbeat_ms": 770,
    },
}
BLOCK_STYLE = b"""
name: front-1
role: front
ip: 10.1.0.10
data_centre: medina
node_port: 7720
metrics_port: 9464
callers: "10.1.0.10:8172"
readiness: "10.1.0.10:8167"
store: "10.200.1.7:8169"
log_level: event
"""


def test_flow_and_block_style_yaml_are_read() -> None:
    settings = read_settings(json.dumps(GATE).encode())
    assert settings.host is not None
    assert settings.host.heartbeat_ms == 770
    assert read_settings(BLOCK_STYLE).log_level == "event"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"node_port": 0}, "node_port"),
        ({"node_port": "x"}, "node_port"),
        ({"ip": "here"}, "ip"),
        ({"callers": "10.1.0.11"}, "callers"),
        ({"role": "leader"}, "role"),
        ({"surprise": 1}, "surprise"),
        ({"host": None}, "host"),
        ({"role": "front"}, "host"),
        ({"host": GATE["host"] | {"heartbeat_ms": 0}}, "heartbeat_ms"),
        ({"grace_s": -1}, "grace_s"),
        ({"seeds": "10.1.0.10:8166"}, "seeds"),
    ],
)
def test_invalid_field_is_named_in_the_error(
    change: dict[str, Any], named: str
) -> None:
    with pytest.raises(SettingsError, match=named):
        read_settings(json.dumps(GATE | change).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"a: [", b"- 1", b"{"])
def test_malformed_file_is_rejected(body: bytes) -> None:
    with pytest.raises(SettingsError):
        read_settings(body)


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="none"):
        load_settings(str(tmp_path / "none"))


@pytest.mark.parametrize("name", ["front", "gate"])
def test_deployment_template_yields_valid_settings(name: str) -> None:
    text = (ROOT / "deploy" / f"{name}.yaml").read_text(encoding="utf-8")
    values = {
        "{{node_name|json}}": '"n"',
        "{{ip|json}}": '"10.1.0.11"',
        "{{zone|json}}": '"medina"',
        "{{port_range.0}}": "7720",
        "{{listen.datagram_addr|json}}": '"10.1.0.11:8172"',
        "{{listen.ready|json}}": '"10.1.0.11:8167"',
        "{{listen.outbound|json}}": '"10.1.0.11:8162"',
        "{{listen.control|json}}": '"10.1.0.11:8166"',
        "{{platform.address|json}}": '"10.200.1.7:8169"',
        "{{bounds.grace_s}}": "6",
        "{{service|json}}": '"comptoir"',
        "{{app|json}}": '"10.1.0.11:8165"',
        "{{heartbeat_ms}}": "770",
        "{{#seeds}}{{.|json}}{{,}}{{/seeds}}": '"10.1.0.10:8166"',
    }
    for placeholder, value in values.items():
        text = text.replace(placeholder, value)
    assert "{{" not in text
    assert read_settings(text.encode()).role == name
