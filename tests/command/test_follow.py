"""``follow`` shows a flow's log lines; ``check-node`` checks the settings of nodes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from balsamstream.command.follow import follow_flow, parse_log
from balsamstream.command.node_settings import check_node_settings
from balsamstream.command.outcome import ExitCode

if TYPE_CHECKING:
    from pathlib import Path

FLOW = "100.64.0.7:1024>198.18.0.1:443"
FRONT_LOG = f"""supervisor: restarted
time=10.000 event=desired_state node=front-1 version=7 before=4 source="store at 9"
time=10.500 event=placed node=front-1 flow={FLOW} host=10.1.0.11 work=3
time=10.600 event=placed node=front-1 flow=100.64.0.8:1024>198.18.0.1:443 work=1
time=99.000 event=store_lost node=front-1 reason="no answer"
"""
GATE_LOG = f"""time=10.501 event=declined node=gate-1 flow={FLOW} reason=draining
"""


def write_logs(directory: Path) -> list[Path]:
    front, gate = directory / "front.log", directory / "gate.log"
    front.write_text(FRONT_LOG, encoding="utf-8")
    gate.write_text(GATE_LOG, encoding="utf-8")
    return [front, gate]


def test_lines_of_all_nodes_are_sorted_by_time(tmp_path: Path) -> None:
    outcome = follow_flow(write_logs(tmp_path), "100.64.0.7:1024", 2.0)
    assert isinstance(outcome, Success)
    rows = outcome.unwrap().value
    assert [row["event"] for row in rows] == ["desired_state", "placed", "declined"]
    assert [row["seconds"] for row in rows] == ["-0.500", "+0.000", "+0.001"]
    assert rows[2]["inputs"] == "reason=draining"


def test_flow_without_lines_is_missing(tmp_path: Path) -> None:
    outcome = follow_flow(write_logs(tmp_path), "100.64.0.9:1", 2.0)
    assert isinstance(outcome, Failure)
    assert outcome.failure().code is ExitCode.MISSING


def test_quoted_values_are_not_split() -> None:
    (line,) = parse_log('time=1 event=e node=n reason="a \\"b\\" c" x=1')
    assert line.inputs == 'reason="a \\"b\\" c" x=1'


def test_check_node_reports_the_invalid_field(tmp_path: Path) -> None:
    good = {
        "name": "front-1",
        "role": "front",
        "ip": "10.1.0.1",
        "data_centre": "medina",
        "node_port": 7720,
        "metrics_port": 9464,
        "callers": "10.1.0.1:8172",
        "readiness": "10.1.0.1:8167",
        "store": "10.200.1.7:8169",
    }
    right, wrong = tmp_path / "right.yaml", tmp_path / "wrong.yaml"
    right.write_text(json.dumps(good), encoding="utf-8")
    wrong.write_text(json.dumps(good | {"node_port": 0}), encoding="utf-8")
    assert isinstance(check_node_settings([right]), Success)
    outcome = check_node_settings([right, wrong])
    assert isinstance(outcome, Failure)
    assert "node_port" in outcome.failure().lines[0]
