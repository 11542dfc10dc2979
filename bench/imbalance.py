"""Case 1: balance of flows and of work in flight over the hosts."""

from __future__ import annotations

from dataclasses import asdict, replace
from statistics import fmean
from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .deployment import BOARDS, DEPLOYMENTS, FITTINGS
from .figures import compute_percentile, measure_spread
from .plain import PlainSite

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .caller import Site
    from .deployment import Deployment

BOARD_MEAN_S: Final = 0.004
FITTING_MEAN_S: Final = 0.04
FITTING_UTILISATION: Final = 0.7
"""Share of the workers' time taken by fittings."""

OPEN_S: Final = 40.0
ASK_S: Final = 20.0
FIT_S: Final = 30.0
SAMPLE_S: Final = 0.1


class Sampler:
    """Samples the work in flight of each host."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._peaks: list[float] = []
        self._sums = dict.fromkeys(site.backends, 0.0)

    def run_for(self, seconds: float) -> None:
        """Advance the clock and sample."""
        for _ in range(round(seconds / SAMPLE_S)):
            self._site.queue.run_for(SAMPLE_S)
            self._sample()

    def report(self) -> dict[str, Any]:
        """Return the spread of the sums and the mean of the samples' peaks."""
        spread: dict[str, Any] = asdict(measure_spread(list(self._sums.values())))
        peak = fmean(self._peaks) if self._peaks else 0.0
        spread["momentary_peak_over_mean"] = round(peak, 3)
        return spread

    def _sample(self) -> None:
        values = {
            name: backend.in_flight for name, backend in self._site.backends.items()
        }
        for name, value in values.items():
            self._sums[name] += value
        mean = fmean(values.values())
        if mean > 0:
            self._peaks.append(max(values.values()) / mean)


def run_boards(site: Site) -> dict[str, Any]:
    """Open long flows at full size, each with occasional requests."""
    deployment = site.deployment
    site.open_flows(deployment.connections, OPEN_S)
    sampler = Sampler(site)
    site.send_at_rate(deployment.connections / 20.0, ASK_S)
    sampler.run_for(ASK_S)
    return describe(site, sampler)


def run_fittings(site: Site) -> dict[str, Any]:
    """Open a flow for each short request, with well utilised workers."""
    deployment = site.deployment
    workers = deployment.hosts * deployment.slots
    rate = FITTING_UTILISATION * workers / FITTING_MEAN_S
    sampler = Sampler(site)
    site.start_fittings(rate, FIT_S)
    sampler.run_for(FIT_S)
    return describe(site, sampler)


def describe(site: Site, sampler: Sampler) -> dict[str, Any]:
    """Return the spreads and the outcomes of the requests."""
    tally = site.tally
    latencies = tally.latencies
    flows = [len(backend.flows) for backend in site.backends.values()]
    received = [backend.requests_received for backend in site.backends.values()]
    return {
        "flows": asdict(measure_spread(flows)),
        "requests": asdict(measure_spread(received)),
        "in_flight": sampler.report(),
        "p50_ms": round(1000 * compute_percentile(latencies, 0.5), 2),
        "p99_ms": round(1000 * compute_percentile(latencies, 0.99), 2),
        "answered": tally.answered,
        "refused": tally.refused,
        "broken": tally.broken,
    }


def build_sites(deployment: Deployment, seed: int, mean_s: float) -> dict[str, Site]:
    """Build one site for each method of balancing."""
    return {
        "hashing": PlainSite(deployment, seed, mean_s),
        "random": PlainSite(deployment, seed, mean_s, by_random=True),
        "balsamstream": BalancedSite(deployment, seed, mean_s),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure all services with long boards and with short fittings."""
    for deployment in DEPLOYMENTS:
        for work, mean_s in (("boards", BOARD_MEAN_S), ("fittings", FITTING_MEAN_S)):
            run = run_boards if work == "boards" else run_fittings
            line: dict[str, Any] = {
                "case": "imbalance",
                "service": deployment.service,
                "work": work,
            }
            profile = BOARDS if work == "boards" else FITTINGS
            sized = replace(deployment, profile=profile)
            for name, site in build_sites(sized, seed, mean_s).items():
                line[name] = run(site)
            yield line


__all__ = ["Sampler", "build_sites", "describe", "measure", "run_fittings"]
