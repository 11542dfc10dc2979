"""Case 2: flows broken by each kind of change."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .change import CHANGES
from .deployment import COMPTOIR, FITTER
from .figures import compute_percentile
from .imbalance import BOARD_MEAN_S, OPEN_S
from .plain import PlainSite

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .caller import Site

ROUND_S: Final = 8.0
ROUNDS: Final = 3
DRAIN_S: Final = 3_600.0


def run_change(site: Site, change: Callable[[Site], None]) -> dict[str, Any]:
    """Open all flows, apply a change, and send three requests on every flow."""
    flows = site.deployment.connections
    site.open_flows(flows, OPEN_S)
    tally = site.tally
    tally.latencies.clear()
    before = tally.asked
    refused = tally.refused
    site.queue.call_after(0.5, change, site)
    for _ in range(ROUNDS):
        site.send_from_all(ROUND_S)
    site.queue.run_for(9.0)
    return {
        "flows": flows,
        "broken": tally.broken,
        "broken_share": round(tally.broken / flows, 5),
        "lost_with_their_host": tally.lost,
        "asked": tally.asked - before,
        "refused": tally.refused - refused,
        "may_have_run": tally.may_have_run,
        "unanswered": tally.unanswered,
        "p99_ms": round(1000 * compute_percentile(tally.latencies, 0.99), 1),
        "worst_ms": round(1000 * max(tally.latencies), 1),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure each kind of change on the deployments at full size."""
    for deployment in (COMPTOIR, FITTER):
        long = deployment.change_profile(drain_s=DRAIN_S)
        for name, change in CHANGES.items():
            yield {
                "case": "broken",
                "service": deployment.service,
                "change": name,
                "consistent_hashing": run_change(
                    PlainSite(long, seed, BOARD_MEAN_S), change
                ),
                "balsamstream": run_change(
                    BalancedSite(long, seed, BOARD_MEAN_S), change
                ),
            }


__all__ = ["measure", "run_change"]
