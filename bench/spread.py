"""Case 7: time until an accepted configuration is in force everywhere."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .deployment import BOARDS, COMPTOIR

if TYPE_CHECKING:
    from collections.abc import Iterator

STEP_S: Final = 0.01
MAX_WAIT_S: Final = 30.0
WRITES_PER_S: Final = 400.0
CHANGES: Final = (1, 100)
BALANCER_COUNTS: Final = (3, 60, 240)


def wait_for_all(site: BalancedSite) -> dict[str, float | None]:
    """Return the times until all balancers and all agents hold the newest version.

    A time is None if it exceeds `MAX_WAIT_S`.
    """
    started_at = site.queue.now
    newest = site.platform.version
    durations: dict[str, float | None] = {"balancers_s": None, "agents_s": None}
    while site.queue.now - started_at < MAX_WAIT_S and None in durations.values():
        site.queue.run_for(STEP_S)
        elapsed_s = round(site.queue.now - started_at, 3)
        entries = [
            balancer.catalogue.complete_to for balancer in site.balancers.values()
        ]
        agents = [agent.state.catalogue.complete_to for agent in site.agents.values()]
        if durations["balancers_s"] is None and min(entries) >= newest:
            durations["balancers_s"] = elapsed_s
        if durations["agents_s"] is None and min(agents) >= newest:
            durations["agents_s"] = elapsed_s
    return durations


def declare_changes(site: BalancedSite, count: int) -> None:
    """Make operators' changes at the highest write rate of the platform."""
    for number in range(count):
        state = "out" if number % 2 else "in"
        name = f"data-centre-{number % 10}"
        spec = {"state": state}
        delay_s = number / WRITES_PER_S
        site.queue.call_after(delay_s, site.platform.put, "DataCentre", name, spec)
    site.queue.run_for((count - 1) / WRITES_PER_S + 0.001)


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure single changes and a burst, over numbers of balancers."""
    sized = replace(COMPTOIR, profile=BOARDS)
    for balancers in BALANCER_COUNTS:
        site = BalancedSite(sized, seed, 0.004, balancers=balancers)
        site.queue.run_for(10.0)
        for changes in CHANGES:
            declare_changes(site, changes)
            watching = sum(
                balancer.should_watch for balancer in site.balancers.values()
            )
            yield {
                "case": "spread",
                "balancers": balancers,
                "agents": len(site.agents),
                "changes": changes,
                "watching_balancers": watching,
                **wait_for_all(site),
            }
            site.queue.run_for(5.0)


__all__ = ["measure"]
