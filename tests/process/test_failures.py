"""Kills, freezes, restarts and cuts, alone and one within another."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.process.deployment import check_invariants, open_deployment

if TYPE_CHECKING:
    from pathlib import Path

FREEZE_S = 7.0
"""Longer than it takes others to mark a silent host down."""


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


def test_agent_frozen_in_the_middle_of_orders_runs_none_twice(tmp_path: Path) -> None:
    with open_deployment(
        tmp_path, callers=("--boards=6", "--baskets=30")
    ) as deployment:
        processes = deployment.fleet.processes
        for host in ("counter-0", "counter-1"):
            deployment.fleet.control_backend(host, {"slow_ms": 300})
        deployment.pause_while_busy("counter-0")
        time.sleep(FREEZE_S)
        processes.resume("counter-0")
        time.sleep(2.0)
        deployment.pause_while_busy("counter-1")
        time.sleep(1.0)
        processes.kill("counter-2")
        time.sleep(FREEZE_S)
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


def test_doubled_and_reordered_datagrams_cross_no_answer(tmp_path: Path) -> None:
    with open_deployment(tmp_path) as deployment:
        deployment.fleet.control_fabric("/duplicate", {"share": 0.3})
        deployment.fleet.control_fabric("/reorder", {"share": 0.2})
        deployment.fleet.control_fabric("/lose", {"share": 0.05})
        time.sleep(8.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
    assert figures.broken_flows == 0


def test_refused_order_has_not_run_though_hosts_are_full(tmp_path: Path) -> None:
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
