"""Measures the effect of settings of a profile and writes tables in profiles.md.

Run it as ``PYTHONPATH=src:. python docs/operators/measure.py`` at the root. The seed is
fixed and the clock virtual, so every run gives the same figures.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from bench.balanced import BalancedSite
from bench.cold import run_restart
from bench.deployment import BOARDS, COMPTOIR, FITTER, FITTINGS
from bench.imbalance import (
    BOARD_MEAN_S,
    FIT_S,
    FITTING_MEAN_S,
    Sampler,
    describe,
    run_boards,
    run_fittings,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bench.deployment import Deployment

SEED: Final = 1
OVERLOAD: Final = 1.2
PAGE: Final = Path(__file__).with_name("profiles.md")
BEGIN: Final = "<!-- measured -->"
END: Final = "<!-- end of measured -->"

Row = tuple[str, ...]


def measure_choices() -> str:
    """Measure numbers of hosts compared for a new flow, with short and long flows."""
    rows: list[Row] = []
    for choices in (1, 2, 3, 4):
        short = FITTER.change_profile(**FITTINGS, choices=choices)
        fittings = run_fittings(BalancedSite(short, SEED, FITTING_MEAN_S))
        long = COMPTOIR.change_profile(**BOARDS, choices=choices)
        boards = run_boards(BalancedSite(long, SEED, BOARD_MEAN_S))
        rows.append(
            (
                str(choices),
                f"{fittings['in_flight']['momentary_peak_over_mean']:.2f}",
                f"{fittings['p99_ms']:.0f} ms",
                f"{boards['flows']['peak_over_mean']:.2f}",
            )
        )
    head = (
        "`choices`",
        "short requests: peak/mean in flight",
        "short requests: 99% within",
        "boards: peak/mean of flows",
    )
    return build_table(head, rows)


def measure_limits() -> str:
    """Measure limits of requests in flight under overload."""
    rows: list[Row] = []
    for limit in (2, 4, 8, 16):
        settings = {**FITTINGS, "in_flight_per_slot": limit}
        result = run_overload(FITTER.change_profile(**settings))
        rows.append(
            (
                str(limit),
                f"{result['p50_ms']:.0f} ms",
                f"{result['p99_ms']:.0f} ms",
                f"{result['answered']}",
                f"{result['refused']}",
            )
        )
    head = (
        "`in_flight_per_slot`",
        "half within",
        "99% within",
        "answered",
        "refused, not run",
    )
    return build_table(head, rows)


def measure_retries() -> str:
    """Measure retry budgets under overload."""
    rows: list[Row] = []
    for budget in (0.0, 0.1, 0.5):
        result = run_overload(FITTER.change_profile(**FITTINGS, retry_budget=budget))
        row = (f"{budget:g}", f"{result['answered']}", f"{result['refused']}")
        rows.append((*row, f"{result['p99_ms']:.0f} ms"))
    head = ("`retry_budget`", "answered", "refused, not run", "99% within")
    return build_table(head, rows)


def measure_cold_start() -> str:
    """Measure cold start settings with a host that restarts without notice."""
    rows: list[Row] = []
    for share, ramp_s in ((0.05, 10), (0.05, 2), (0.05, 30), (0.2, 10), (1.0, 0)):
        cold_start = {"initial_share": share, "ramp_s": ramp_s}
        sized = FITTER.change_profile(**FITTINGS, cold_start=cold_start)
        result = run_restart(BalancedSite(sized, SEED, FITTING_MEAN_S))
        full_s = result["full_service_after_s"]
        rows.append(
            (
                f"{share:g}, {ramp_s} s",
                f"{result['worst_in_flight_over_borne']:.2f}",
                str(result["falls"]),
                "not in 30 s" if full_s is None else f"{full_s:g} s",
                str(result["refused"]),
            )
        )
    head = (
        "`initial_share`, `ramp_s`",
        "most work over what it bears",
        "times that it fell over",
        "full service after",
        "refused, not run",
    )
    return build_table(head, rows)


def run_overload(deployment: Deployment) -> dict[str, Any]:
    """Send short requests that need `OVERLOAD` times the time of all workers."""
    site = BalancedSite(deployment, SEED, FITTING_MEAN_S)
    sampler = Sampler(site)
    rate = OVERLOAD * deployment.hosts * deployment.slots / FITTING_MEAN_S
    site.start_fittings(rate, FIT_S)
    sampler.run_for(FIT_S)
    return describe(site, sampler)


def build_table(head: Row, rows: Iterable[Row]) -> str:
    """Format a table in Markdown."""
    lines = [head, ("---",) * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


PARTS: Final[tuple[tuple[str, Callable[[], str]], ...]] = (
    (
        "Spreading: 7 hosts with 5 slots under short requests that use 70% of their "
        "time, and 7 hosts with 2 slots that hold 14,000 boards.",
        measure_choices,
    ),
    (
        "Limits: the 7 hosts with 5 slots are offered 1.2 times the short requests "
        "that they can do, for 30 s. Refused callers come back.",
        measure_limits,
    ),
    (
        "Retries: the same overload, 8 requests in flight for each slot.",
        measure_retries,
    ),
    (
        "Cold start: one of 7 hosts restarts without notice; it bears 5% at first and "
        "all after 10 s, and falls over at twice what it bears.",
        measure_cold_start,
    ),
)


def main() -> None:
    """Measure, and write the tables into the page."""
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    parts = [f"{intro}\n\n{measure()}\n" for intro, measure in PARTS]
    measured = "\n".join(parts)
    page = f"{before}{BEGIN}\n\n{measured}\n{END}{after}"
    PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
