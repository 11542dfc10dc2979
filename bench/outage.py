"""Case 4: operators evacuate a data centre and bring it back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .deployment import COMPTOIR, FITTER, FITTINGS
from .figures import compute_percentile
from .imbalance import FITTING_MEAN_S
from .plain import PlainSite

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .backend import BackendServer
    from .caller import Site

UTILISATION: Final = 0.4
"""Share of all workers' time; two of three data centres can sustain it."""

BEFORE_S: Final = 5.0
OUT_S: Final = 20.0
BACK_S: Final = 40.0
STEP_S: Final = 0.5
FULL_SHARE: Final = 0.8


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts of a site at one moment."""

    asked: int
    answered: int
    refused: int
    unanswered: int
    may_have_run: int

    @classmethod
    def read(cls, site: Site) -> Snapshot:
        """Read the counts."""
        tally = site.tally
        return cls(
            tally.asked,
            tally.answered,
            tally.refused,
            tally.unanswered,
            tally.may_have_run,
        )

    def report_since(self, earlier: Snapshot) -> dict[str, int]:
        """Return what was counted since an earlier moment."""
        return {
            "asked": self.asked - earlier.asked,
            "answered": self.answered - earlier.answered,
            "refused": self.refused - earlier.refused,
            "unanswered": self.unanswered - earlier.unanswered,
            "may_have_run": self.may_have_run - earlier.may_have_run,
        }


def take_out(site: Site, data_centre: str) -> None:
    """Evacuate a data centre."""
    site.evacuated.add(data_centre)
    match site:
        case BalancedSite():
            site.platform.put("DataCentre", data_centre, {"state": "out"})
        case PlainSite():
            for backend in list_hosts(site, data_centre):
                site.change_hosts(remove=backend.name)


def bring_back(site: Site, data_centre: str) -> None:
    """Bring a data centre back, with its backend servers restarted."""
    site.evacuated.discard(data_centre)
    for backend in list_hosts(site, data_centre):
        backend.restart()
        backend.max_load_ratio = 0.0
    match site:
        case BalancedSite():
            for backend in list_hosts(site, data_centre):
                site.restart_host(backend.name)
            site.platform.put("DataCentre", data_centre, {"state": "in"})
        case PlainSite():
            for backend in list_hosts(site, data_centre):
                site.change_hosts(add=backend.name)


def list_hosts(site: Site, data_centre: str) -> list[BackendServer]:
    """Return the backend servers of a data centre."""
    hosts = site.backends.values()
    return [backend for backend in hosts if backend.config.data_centre == data_centre]


def run_outage(site: Site) -> dict[str, Any]:
    """Evacuate a data centre for a while and bring it back with cold hosts."""
    deployment = site.deployment
    data_centre = deployment.data_centres[1]
    rate = UTILISATION * deployment.hosts * deployment.slots / FITTING_MEAN_S
    site.start_fittings(rate, BEFORE_S + OUT_S + BACK_S)
    boards = [site.add_caller() for _ in range(500)]
    for caller in boards:
        site.queue.call_after(
            site.random.uniform(0, BEFORE_S / 2), site.send_request, caller
        )
    site.queue.run_for(BEFORE_S)
    ordered = site.queue.now
    at_order = Snapshot.read(site)
    site.tally.latencies.clear()
    take_out(site, data_centre)
    for caller in boards:
        site.queue.call_after(site.random.uniform(0, OUT_S), site.send_request, caller)
    site.queue.run_for(OUT_S)
    last = max(backend.last_received_at for backend in list_hosts(site, data_centre))
    at_return = Snapshot.read(site)
    p99_out = compute_percentile(site.tally.latencies, 0.99)
    bring_back(site, data_centre)
    full_after = _measure_return(site, data_centre)
    returned = list_hosts(site, data_centre)
    return {
        "last_packet_after_s": round(last - ordered, 3),
        "meanwhile": at_return.report_since(at_order),
        "meanwhile_p99_ms": round(1000 * p99_out, 1),
        "broken": site.tally.broken,
        "given_up": site.tally.given_up,
        "return_full_after_s": full_after,
        "return_worst_over_borne": round(
            max(backend.max_load_ratio for backend in returned), 2
        ),
        "falls": sum(backend.crashes for backend in site.backends.values()),
        "after_return": Snapshot.read(site).report_since(at_return),
    }


def _measure_return(site: Site, data_centre: str) -> float | None:
    full: float | None = None
    names = {backend.name for backend in list_hosts(site, data_centre)}
    for step in range(1, round(BACK_S / STEP_S) + 1):
        before = {
            key: backend.requests_received for key, backend in site.backends.items()
        }
        site.queue.run_for(STEP_S)
        received = {
            key: backend.requests_received - before[key]
            for key, backend in site.backends.items()
        }
        mean = sum(received.values()) / len(received)
        returned = sum(received[name] for name in names) / len(names)
        if full is None and returned >= FULL_SHARE * mean:
            full = step * STEP_S
    return full


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure both deployments."""
    for deployment in (COMPTOIR, FITTER):
        sized = deployment.change_profile(**FITTINGS)
        yield {
            "case": "outage",
            "service": deployment.service,
            "hashing": run_outage(PlainSite(sized, seed, FITTING_MEAN_S)),
            "balsamstream": run_outage(BalancedSite(sized, seed, FITTING_MEAN_S)),
        }


__all__ = ["measure", "run_outage"]
