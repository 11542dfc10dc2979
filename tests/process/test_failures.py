"""Tests with kills, pauses, restarts and faulty links, alone and overlapping."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.process.deployment import check_invariants, open_deployment

if TYPE_CHECKING:
    from pathlib import Path

PAUSE_S = 7.0
"""Longer than the time after which other processes mark a silent host down."""


def test_killed_balancer_breaks_no_flow(tmp_path: Path) -> None:
    with open_deployment(tmp_path) as deployment:
        deployment.fleet.processes.kill("balancer-0")
        time.sleep(1.0)
        deployment.fleet.disconnect_balancer("balancer-0")
        time.sleep(4.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert figures.lost == 0
    assert figures.broken_flows == 0


def test_agent_paused_during_orders_runs_none_twice(tmp_path: Path) -> None:
    with open_deployment(
        tmp_path, callers=("--boards=6", "--baskets=30")
    ) as deployment:
        processes = deployment.fleet.processes
        for host in ("counter-0", "counter-1"):
            deployment.fleet.control_backend(host, {"slow_ms": 300})
        deployment.pause_while_busy("counter-0")
        time.sleep(PAUSE_S)
        processes.resume("counter-0")
        time.sleep(2.0)
        deployment.pause_while_busy("counter-1")
        time.sleep(1.0)
        processes.kill("counter-2")
        time.sleep(PAUSE_S)
        processes.resume("counter-1")
        time.sleep(4.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)


def test_restart_without_notice_breaks_only_its_own_flows(tmp_path: Path) -> None:
    options = ("--cold-s=3", "--cold-share=0.2")
    with open_deployment(tmp_path, backend_options=options) as deployment:
        deployment.fleet.processes.kill("fitting-1.backend")
        deployment.fleet.start_backend(deployment.hosts["fitting-1"])
        time.sleep(2.0)
        deployment.fleet.control_backend("counter-1", {"restart": True})
        time.sleep(8.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert figures.broken_unexpectedly == 0
    assert figures.overloads == 0


def test_duplicated_reordered_and_lost_datagrams_mix_no_answers(tmp_path: Path) -> None:
    with open_deployment(tmp_path) as deployment:
        deployment.fleet.control_fabric("/duplicate", {"share": 0.3})
        deployment.fleet.control_fabric("/reorder", {"share": 0.2})
        deployment.fleet.control_fabric("/lose", {"share": 0.05})
        time.sleep(8.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert figures.broken_flows == 0


def test_refused_order_has_not_run_on_full_hosts(tmp_path: Path) -> None:
    profile = {"in_flight_per_slot": 1, "cold_start": {"initial_share": 0.5}}
    callers = ("--boards=4", "--baskets=60", "--fits=20")
    with open_deployment(tmp_path, profile=profile, callers=callers) as deployment:
        deployment.fleet.control_fabric("/duplicate", {"share": 0.2})
        time.sleep(6.0)
        deployment.fleet.processes.kill("counter-1")
        time.sleep(5.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert figures.refused_not_run > 0
