"""Case 7: time from an accepted configuration to in force everywhere."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .deployment import BOARDS, COMPTOIR

if TYPE_CHECKING:
    from collections.abc import Iterator

STEP_S: Final = 0.01
MOST_S: Final = 30.0
WRITES_PER_S: Final = 400.0
CHANGES: Final = (1, 100)
BALANCER_COUNTS: Final = (3, 60, 240)


def wait_for_all(site: BalancedSite) -> dict[str, float | None]:
    """Return when the last balancer and the last agent hold the newest version."""
    began = site.queue.now
    newest = site.platform.version
    found: dict[str, float | None] = {"balancers_s": None, "agents_s": None}
    while site.queue.now - began < MOST_S and None in found.values():
        site.queue.run_for(STEP_S)
        passed = round(site.queue.now - began, 3)
        entries = [held.catalogue.complete_to for held in site.balancers.values()]
        agents = [held.state.catalogue.complete_to for held in site.agents.values()]
        if found["balancers_s"] is None and min(entries) >= newest:
            found["balancers_s"] = passed
        if found["agents_s"] is None and min(agents) >= newest:
            found["agents_s"] = passed
    return found


def declare_changes(site: BalancedSite, count: int) -> None:
    """Have operators make changes as fast as the platform takes writes."""
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
            readers = sum(held.should_watch for held in site.balancers.values())
            yield {
                "case": "spread",
                "balancers": balancers,
                "agents": len(site.agents),
                "changes": changes,
                "watching_balancers": readers,
                **wait_for_all(site),
            }
            site.queue.run_for(5.0)


__all__ = ["measure"]
