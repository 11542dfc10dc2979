"""Tests with a failing platform and with conflicting changes by operators."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from standins.fleet import OperatorError
from tests.process.deployment import COUNTER, check_invariants, open_deployment

if TYPE_CHECKING:
    from pathlib import Path

MAX_APPLY_S = 6.0


def test_service_continues_while_the_platform_is_down(tmp_path: Path) -> None:
    with open_deployment(tmp_path) as deployment:
        fleet = deployment.fleet
        fleet.control_platform({"down": True})
        time.sleep(1.0)
        fleet.processes.kill("balancer-1")
        fleet.start_balancer("balancer-1", "medina")
        fleet.wait_daemon("balancer-1")
        fleet.processes.kill("counter-2")
        time.sleep(9.0)
        fleet.control_platform({"down": False})
        time.sleep(3.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert 2 * figures.answered > figures.requests


def test_change_applies_everywhere_in_time_though_an_answer_is_lost(
    tmp_path: Path,
) -> None:
    with open_deployment(tmp_path) as deployment:
        deployment.fleet.control_platform({"lose_answers": 1})
        started_at = time.monotonic()
        deployment.fleet.run_command("datacentre", "out", "thyna")
        waiting = set(deployment.fleet.daemons)
        while waiting and time.monotonic() - started_at < MAX_APPLY_S:
            waiting = {
                name
                for name in waiting
                if deployment.read_status(name)["data_centres_out"] != ["thyna"]
            }
            time.sleep(0.1)
        check_invariants(deployment.stop_and_compare())
    assert waiting == set()


def test_operators_with_conflicting_changes_leave_one_whole_configuration(
    tmp_path: Path,
) -> None:
    with open_deployment(tmp_path) as deployment:
        fleet = deployment.fleet

        def set_state(state: str) -> bool:
            try:
                fleet.run_command("datacentre", state, "thyna")
            except OperatorError:
                return False
            return True

        with ThreadPoolExecutor(2) as pool:
            results = list(pool.map(set_state, ["out", "in", "out", "in"]))
        assert any(results)
        time.sleep(MAX_APPLY_S)
        outs = {
            str(deployment.read_status(name)["data_centres_out"])
            for name in fleet.daemons
        }
        check_invariants(deployment.stop_and_compare())
    assert len(outs) == 1


def test_invalid_configuration_changes_nothing(tmp_path: Path) -> None:
    with open_deployment(tmp_path) as deployment:
        fleet = deployment.fleet
        path = fleet.write_configuration({COUNTER: {"deadline_ms": -1}})
        before = fleet.run_command("--output", "json", "get", "profiles")
        with pytest.raises(OperatorError, match="deadline_ms"):
            fleet.run_command("apply", str(path))
        assert fleet.run_command("--output", "json", "get", "profiles") == before
        check_invariants(deployment.stop_and_compare())
