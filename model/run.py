"""Check the core protocol within the bounds of each model: ``make model``."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import Final

from .claims import SCENARIOS, ClaimModel
from .configuration import ConfigurationModel
from .flows import CHANGES, FlowModel
from .older_flows import OlderFlowsModel
from .search import Outcome, search

MAX_SEARCH_S: Final = 140.0
"""Longest search of one model, in seconds."""

WORKERS: Final = 3


def list_models() -> list[str]:
    """Return the names of all models."""
    return [
        ConfigurationModel.name,
        OlderFlowsModel.name,
        *(change.name for change in CHANGES),
        *(bounds.name for bounds in SCENARIOS),
    ]


def build_model(
    name: str,
) -> ClaimModel | FlowModel | ConfigurationModel | OlderFlowsModel:
    """Build a model by its name."""
    if name == OlderFlowsModel.name:
        return OlderFlowsModel()
    for bounds in SCENARIOS:
        if bounds.name == name:
            return ClaimModel(bounds)
    for change in CHANGES:
        if change.name == name:
            return FlowModel(change)
    return ConfigurationModel()


def check(name: str, max_s: float = MAX_SEARCH_S) -> tuple[Outcome, str]:
    """Search one model; return the outcome and the bounds as text."""
    model = build_model(name)
    outcome = search(model, max_s)
    outcome.trace = [model.describe(label) for label in outcome.trace]
    return outcome, model.bounds


def print_outcome(outcome: Outcome, bounds: str) -> bool:
    """Print an outcome; return whether the search finished without a violation."""
    state = "complete" if outcome.finished else "INCOMPLETE"
    if outcome.violation:
        state = f"VIOLATED: {outcome.violation}"
    print(
        f"{outcome.model}\n  {outcome.states} states, {outcome.steps} steps, "
        f"depth {outcome.depth}, {outcome.seconds:.1f} s, {state}\n  bounds: {bounds}",
        flush=True,
    )
    for number, step in enumerate(outcome.trace, start=1):
        print(f"  {number}. {step}", flush=True)
    return outcome.finished and not outcome.violation


def run() -> int:
    """Search all models, `WORKERS` at a time."""
    started_at = time.monotonic()
    passed = True
    with ProcessPoolExecutor(WORKERS, mp_context=get_context("spawn")) as pool:
        searches = [pool.submit(check, name) for name in list_models()]
        for found in as_completed(searches):
            passed = print_outcome(*found.result()) and passed
    verdict = "all complete, no violation" if passed else "FAILED"
    print(f"{len(searches)} models, {time.monotonic() - started_at:.0f} s: {verdict}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(run())
