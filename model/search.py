"""Breadth-first search over the states of a model."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator


class Model(Protocol):
    """What the search asks of a model."""

    name: str
    bounds: str
    most_depth: int

    def start(self) -> Hashable:
        """Return the first state."""

    def expand(self, state: Hashable) -> Iterator[tuple[str, Hashable]]:
        """Return each possible step and the state it leads to."""

    def judge(self, state: Hashable) -> str | None:
        """Return the property that a state breaks."""


@dataclass
class Outcome:
    """What a search saw.

    Parameters
    ----------
    states : int
        Distinct states reached.
    steps : int
        Steps taken between them.
    depth : int
        Length of the longest shortest path.
    finished : bool
        Whether every reachable state was seen.
    broken : str
        The property broken, or empty.
    trace : list of str
        Shortest path to the broken property.
    """

    model: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    finished: bool = False
    broken: str = ""
    trace: list[str] = field(default_factory=list)


def search(model: Model, most_s: float) -> Outcome:
    """Visit all states in the order of their distance from the first one."""
    began = time.monotonic()
    outcome = Outcome(model.name)
    first = model.start()
    parents: dict[Hashable, tuple[Hashable, str] | None] = {first: None}
    layer = [first]
    while layer and (not model.most_depth or outcome.depth < model.most_depth):
        following: list[Hashable] = []
        for state in layer:
            if time.monotonic() - began > most_s:
                return _close(outcome, parents, began)
            for label, reached in model.expand(state):
                outcome.steps += 1
                if reached in parents:
                    continue
                parents[reached] = (state, label)
                broken = model.judge(reached)
                if broken is not None:
                    outcome.broken = broken
                    outcome.trace = _trace(parents, reached)
                    return _close(outcome, parents, began)
                following.append(reached)
        layer = following
        outcome.depth += 1 if layer else 0
    outcome.finished = True
    return _close(outcome, parents, began)


def _close(
    outcome: Outcome,
    parents: dict[Hashable, tuple[Hashable, str] | None],
    began: float,
) -> Outcome:
    outcome.states = len(parents)
    outcome.seconds = time.monotonic() - began
    return outcome


def _trace(
    parents: dict[Hashable, tuple[Hashable, str] | None], state: Hashable
) -> list[str]:
    trace: list[str] = []
    parent = parents[state]
    while parent is not None:
        trace.append(parent[1])
        parent = parents[parent[0]]
    return trace[::-1]


__all__ = ["Model", "Outcome", "search"]
