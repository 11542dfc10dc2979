"""Case 8: effect of each setting of a profile."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from .balanced import BalancedSite
from .broken import run_change
from .change import drain_host
from .cold import run_restart
from .deployment import BOARDS, COMPTOIR, FITTER, FITTINGS
from .imbalance import BOARD_MEAN_S, FITTING_MEAN_S, run_boards, run_fittings

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Trial = tuple[str, object, str]

TRIALS: Final[tuple[Trial, ...]] = (
    ("choices", 1, "fittings"),
    ("choices", 2, "fittings"),
    ("choices", 3, "fittings"),
    ("choices", 4, "fittings"),
    ("in_flight_per_slot", 2, "fittings"),
    ("in_flight_per_slot", 4, "fittings"),
    ("in_flight_per_slot", 32, "fittings"),
    ("flows_per_slot", 900, "boards"),
    ("flows_per_slot", 1_000, "boards"),
    ("flows_per_slot", 1_100, "boards"),
    ("flow_idle_s", 30.0, "boards"),
    ("flow_idle_s", 900.0, "boards"),
    ("drain_s", 10.0, "drain"),
    ("drain_s", 3_600.0, "drain"),
    ("cold_start", {"initial_share": 0.05, "ramp_s": 10.0}, "restart"),
    ("cold_start", {"initial_share": 0.05, "ramp_s": 3.0}, "restart"),
    ("cold_start", {"initial_share": 0.3, "ramp_s": 3.0}, "restart"),
    ("cold_start", {"initial_share": 1.0, "ramp_s": 0.0}, "restart"),
    ("retry_budget", 0.0, "restart"),
    ("retry_budget", 0.5, "restart"),
    ("retry_after_s", {"least": 0.1, "most": 0.2}, "restart"),
)


def run_drain(site: BalancedSite) -> dict[str, Any]:
    """Drain a host that holds long flows."""
    return run_change(site, drain_host)


RUNS: Final[dict[str, Callable[[BalancedSite], dict[str, Any]]]] = {
    "fittings": run_fittings,
    "boards": run_boards,
    "drain": run_drain,
    "restart": run_restart,
}


def run_trial(setting: str, value: object, work: str, seed: int) -> dict[str, Any]:
    """Run one kind of work with one setting changed."""
    fitting = work in ("fittings", "restart")
    profile = {**(FITTINGS if fitting else BOARDS), setting: value}
    mean_s = FITTING_MEAN_S if fitting else BOARD_MEAN_S
    sized = replace(FITTER if fitting else COMPTOIR, profile=profile)
    return RUNS[work](BalancedSite(sized, seed, mean_s))


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure each value of each setting, one setting at a time."""
    for setting, value, work in TRIALS:
        yield {
            "case": "settings",
            "setting": setting,
            "value": value,
            "work": work,
            **run_trial(setting, value, work, seed),
        }


__all__ = ["measure", "run_trial"]
