"""Flows stay on their hosts under changes, at a small size."""

from __future__ import annotations

import pytest

from bench.balanced import BalancedSite
from bench.broken import run_change
from bench.change import CHANGES, restart_host
from bench.deployment import COMPTOIR, Deployment


class SmallDeployment(Deployment):
    """The comptoir deployment with few connections."""

    @property
    def connections(self) -> int:
        """Connections over all hosts."""
        return 350


def build_site(seed: int) -> BalancedSite:
    profile = {**COMPTOIR.profile, "flows_per_slot": 50, "drain_s": 600.0}
    small = SmallDeployment(
        "comptoir", 7, 2, COMPTOIR.data_centres, 0.0015, 0.001, profile
    )
    return BalancedSite(small, seed, 0.004)


@pytest.mark.parametrize("change", sorted(CHANGES))
def test_no_flow_moves_while_its_host_runs(change: str) -> None:
    found = run_change(build_site(seed=5), CHANGES[change])
    assert found["broken"] == 0


def test_flow_is_not_held_twice_after_its_host_restarted() -> None:
    site = build_site(seed=6)
    run_change(site, CHANGES["host restarts"])
    held = [flow for agent in site.agents.values() for flow in agent.state.flows]
    assert len(held) == len(set(held))


def test_share_of_a_restarted_host_rises_to_its_full_limit() -> None:
    settings = {**COMPTOIR.profile, "in_flight_per_slot": 8, "flow_idle_s": 30.0}
    site = BalancedSite(COMPTOIR.change_profile(**settings), 1, 0.04)
    site.start_fittings(200.0, 30.0)
    restart_host(site)
    site.queue.run_for(30.0)
    admission = site.agents["comptoir-1"].state.admission
    assert admission is not None
    assert admission.share == 1.0
