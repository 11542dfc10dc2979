"""Tests with links cut between daemons, in one or both directions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.process.deployment import check_invariants, open_deployment

if TYPE_CHECKING:
    from pathlib import Path

ORDERS = ("--boards=6", "--baskets=24")
CUT_S = 8.0


def test_host_cut_off_from_all_voters_runs_no_order_twice(tmp_path: Path) -> None:
    with open_deployment(tmp_path, callers=ORDERS, has_cuts=True) as deployment:
        fleet = deployment.fleet
        others = ["counter-1", "counter-2"]
        fleet.cut("counter-0", to=others, from_=others)
        time.sleep(CUT_S)
        balancers = ["balancer-0", "balancer-1", "balancer-2"]
        fleet.cut("counter-0", to=[*others, *balancers], from_=[])
        time.sleep(CUT_S)
        fleet.cut("counter-0", to=[], from_=[])
        time.sleep(4.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)


def test_links_cut_one_way_during_a_kill_mix_no_answers_and_repeat_no_run(
    tmp_path: Path,
) -> None:
    with open_deployment(tmp_path, callers=ORDERS, has_cuts=True) as deployment:
        fleet = deployment.fleet
        fleet.control_fabric("/duplicate", {"share": 0.3})
        fleet.cut("balancer-0", to=["counter-1"], from_=[])
        fleet.cut("balancer-1", to=[], from_=["counter-2"])
        time.sleep(CUT_S / 2)
        fleet.processes.kill("counter-0")
        time.sleep(CUT_S)
        fleet.cut("balancer-0", to=[], from_=[])
        fleet.cut("balancer-1", to=[], from_=[])
        time.sleep(3.0)
        figures = deployment.stop_and_compare()
    check_invariants(figures)
