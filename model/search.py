"""Breadth-first search over the states of a model."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator


class Model(Protocol):
    """Interface of a model for the search."""

    name: str
    bounds: str
    max_depth: int

    def start(self) -> Hashable:
        """Return the initial state."""

    def expand(self, state: Hashable) -> Iterator[tuple[str, Hashable]]:
        """Return each possible step and the state it leads to."""

    def find_violation(self, state: Hashable) -> str | None:
        """Return the property that a state violates, or None if it violates none."""


@dataclass
class Outcome:
    """Result of a search.

    Parameters
    ----------
    states : int
        Distinct states reached.
    steps : int
        Steps taken between them.
    depth : int
        Largest distance of a state from the initial one.
    finished : bool
        Whether every reachable state within the bounds was visited.
    violation : str
        The violated property, or empty.
    trace : list of str
        Labels of the steps on a shortest path to the violation.
    """

    model: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    finished: bool = False
    violation: str = ""
    trace: list[str] = field(default_factory=list)


def search(model: Model, max_s: float) -> Outcome:
    """Visit all states in the order of their distance from the initial one.

    The search ends at the first violation or after ``max_s`` seconds.
    """
    started_at = time.monotonic()
    outcome = Outcome(model.name)
    first = model.start()
    parents: dict[Hashable, tuple[Hashable, str] | None] = {first: None}
    layer = [first]
    while layer and (not model.max_depth or outcome.depth < model.max_depth):
        following: list[Hashable] = []
        for state in layer:
            if time.monotonic() - started_at > max_s:
                return _finish(outcome, parents, started_at)
            for label, reached in model.expand(state):
                outcome.steps += 1
                if reached in parents:
                    continue
                parents[reached] = (state, label)
                violation = model.find_violation(reached)
                if violation is not None:
                    outcome.violation = violation
                    outcome.trace = _build_trace(parents, reached)
                    return _finish(outcome, parents, started_at)
                following.append(reached)
        layer = following
        outcome.depth += 1 if layer else 0
    outcome.finished = True
    return _finish(outcome, parents, started_at)


def _finish(
    outcome: Outcome,
    parents: dict[Hashable, tuple[Hashable, str] | None],
    started_at: float,
) -> Outcome:
    outcome.states = len(parents)
    outcome.seconds = time.monotonic() - started_at
    return outcome


def _build_trace(
    parents: dict[Hashable, tuple[Hashable, str] | None], state: Hashable
) -> list[str]:
    trace: list[str] = []
    parent = parents[state]
    while parent is not None:
        trace.append(parent[1])
        parent = parents[parent[0]]
    return trace[::-1]


__all__ = ["Model", "Outcome", "search"]
