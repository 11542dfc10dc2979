"""Case 3: load on a host that has just started, and its time to full service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .change import restart_host
from .deployment import COMPTOIR, FITTER, FITTINGS
from .imbalance import FITTING_MEAN_S, FITTING_UTILISATION
from .plain import PlainSite

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .caller import Site
    from .deployment import Deployment

BEFORE_S: Final = 5.0
AFTER_S: Final = 30.0
STEP_S: Final = 0.5
FULL_SHARE: Final = 0.8
"""A host is in full service at this share of the mean requests of all hosts."""


def run_restart(site: Site) -> dict[str, Any]:
    """Restart a host without notice under short fittings, and watch it recover."""
    deployment = site.deployment
    workers = deployment.hosts * deployment.slots
    rate = FITTING_UTILISATION * workers / FITTING_MEAN_S
    site.start_fittings(rate, BEFORE_S + AFTER_S)
    site.queue.run_for(BEFORE_S)
    backend = list(site.backends.values())[1]
    asked, refused = site.tally.asked, site.tally.refused
    site.queue.call_after(0.0, restart_host, site)
    site.queue.call_after(0.0, _reset_max_load_ratios, site)
    full_after = _measure_recovery(site, backend.name)
    answered = site.tally.answered
    return {
        "worst_in_flight_over_borne": round(backend.max_load_ratio, 2),
        "falls": sum(backend.crashes for backend in site.backends.values()),
        "full_service_after_s": full_after,
        "asked": site.tally.asked - asked,
        "refused": site.tally.refused - refused,
        "unanswered": site.tally.unanswered,
        "may_have_run": site.tally.may_have_run,
        "answered_in_all": answered,
    }


def _reset_max_load_ratios(site: Site) -> None:
    for backend in site.backends.values():
        backend.max_load_ratio = 0.0


def _measure_recovery(site: Site, name: str) -> float | None:
    """Return when the host first received its share for three steps in a row.

    None if it did not within `AFTER_S`; time passes by that much in any case.
    """
    in_row = 0
    for step in range(1, round(AFTER_S / STEP_S) + 1):
        before = {
            key: backend.requests_received for key, backend in site.backends.items()
        }
        site.queue.run_for(STEP_S)
        received = {
            key: backend.requests_received - before[key]
            for key, backend in site.backends.items()
        }
        mean = sum(received.values()) / len(received)
        in_row = in_row + 1 if received[name] >= FULL_SHARE * mean else 0
        if in_row == 3:
            site.queue.run_for(AFTER_S - step * STEP_S)
            return step * STEP_S
    return None


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure with and without spare capacity on the other hosts."""
    for deployment in (FITTER, COMPTOIR):
        sized: Deployment = deployment.change_profile(**FITTINGS)
        yield {
            "case": "cold",
            "service": deployment.service,
            "hashing": run_restart(PlainSite(sized, seed, FITTING_MEAN_S)),
            "balsamstream": run_restart(BalancedSite(sized, seed, FITTING_MEAN_S)),
        }


__all__ = ["measure", "run_restart"]
