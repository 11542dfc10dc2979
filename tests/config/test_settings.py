"""Settings files of the daemon are loaded or rejected with locations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from balsamstream.config import Address
from balsamstream.daemon.settings import (
    AgentSettings,
    BalancerSettings,
    EdgeSettings,
    Key,
    LogLevel,
    MetricsSettings,
    PlatformSettings,
    RoleName,
    Settings,
)
from balsamstream.daemon.settings_file import load_settings

if TYPE_CHECKING:
    from pathlib import Path

SECRET = "0f" * 32
BALANCER = f"""\
role: balancer
name: balancer-1
data_centre: medina
address: 127.0.0.1:6001
keys: [{{id: 1, secret_file: key}}, {{id: 2, secret: {SECRET}}}]
platform: {{url: "https://127.0.0.1:8001", ca_file: ca.pem}}
peers: ["127.0.0.1:6002"]
metrics: {{statsd: "127.0.0.1:8125"}}
log: {{level: warning}}
status_address: 127.0.0.1:6101
balancer:
  edge: {{listen: "127.0.0.1:6201"}}
"""
AGENT = f"""\
role: agent
name: comptoir-1
data_centre: medina
address: 127.0.0.1:7001
keys: [{{id: 1, secret: {SECRET}}}]
platform: {{url: "http://127.0.0.1:8001", ca_file: null}}
agent:
  service: comptoir
  slots: 2
  backend_server: 127.0.0.1:9001
"""


def write(folder: Path, text: str) -> Path:
    (folder / "key").write_text(SECRET + "\n", encoding="ascii")
    path = folder / "settings.yaml"
    path.write_text(text, encoding="utf-8")
    return path


def test_balancer_settings_are_loaded(tmp_path: Path) -> None:
    assert load_settings(write(tmp_path, BALANCER)) == Success(
        Settings(
            role=RoleName.BALANCER,
            name="balancer-1",
            data_centre="medina",
            address=Address("127.0.0.1", 6001),
            keys=(Key(1, b"\x0f" * 32), Key(2, b"\x0f" * 32)),
            platform=PlatformSettings(
                "https://127.0.0.1:8001", str(tmp_path / "ca.pem")
            ),
            peers=(Address("127.0.0.1", 6002),),
            metrics=MetricsSettings(Address("127.0.0.1", 8125)),
            log_level=LogLevel.WARNING,
            status_address=Address("127.0.0.1", 6101),
            balancer=BalancerSettings(EdgeSettings(Address("127.0.0.1", 6201))),
        )
    )


def test_agent_settings_are_loaded_and_hide_the_secret(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, AGENT)).unwrap()
    assert settings.agent == AgentSettings("comptoir", 2, Address("127.0.0.1", 9001))
    assert SECRET not in repr(settings)


@pytest.mark.parametrize(
    ("old", "new", "line", "field"),
    [
        ("log:", "logs:", 9, "logs"),
        ("level: warning", "level: loud", 9, "log.level"),
        ("secret_file: key", "secret_file: none", 5, "keys.0"),
        (SECRET, "abc", 5, "keys.1"),
        ("{id: 2,", "{id: 1,", 1, ""),
        ("role: balancer", "role: agent", 1, ""),
        ("status_address: 127.0.0.1:6101", "status_address: 127.0.0.1:6001", 1, ""),
        ("https:", "http:", 6, "platform"),
        ("https://127", "ftp://127", 6, "platform.url"),
        ("127.0.0.1:6002", "127.0.0.1", 7, "peers.0"),
        ("name: balancer-1\n", "", 1, "name"),
        ("name:", "---\nname:", 0, ""),
    ],
)
def test_invalid_settings_are_rejected_at_their_line_and_field(
    tmp_path: Path, old: str, new: str, line: int, field: str
) -> None:
    assert old in BALANCER
    path = write(tmp_path, BALANCER.replace(old, new))
    result = load_settings(path)
    assert isinstance(result, Failure)
    places = [(item.file, item.line, item.field) for item in result.failure()]
    assert (str(path), line, field) in places


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (f"secret: {SECRET}", f"secret: {SECRET[:-1]}"),
        (f"secret: {SECRET}", f"secret: [{SECRET}]"),
        (f"{{id: 2, secret: {SECRET}}}", SECRET),
        (f"secret: {SECRET}", f"secrets: {SECRET}"),
    ],
)
def test_problems_contain_no_secret(tmp_path: Path, old: str, new: str) -> None:
    result = load_settings(write(tmp_path, BALANCER.replace(old, new)))
    problems = result.failure()
    assert all(SECRET[:8] not in str(problem) for problem in problems)
