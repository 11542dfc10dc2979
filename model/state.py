"""Canonical encoding of live objects, and a cache of their transitions."""

from __future__ import annotations

import pickle
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from random import Random
from typing import Any, Final

ATOMIC_TYPES: Final = (int, float, str, bytes, bool, type(None))

Frozen = Any
"""A hashable value that is equal for equal contents of the encoded object."""

Process = Any
"""A process of a model, as a live object."""


class FixedRandom(Random):
    """Random source that draws the lower bound, so that steps are deterministic."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower bound."""
        return a


def freeze(value: object, ignored: frozenset[str] = frozenset()) -> Frozen:
    """Return a hashable value that is equal for equal states.

    Parameters
    ----------
    value : object
        Nested data classes, containers and plain objects.
    ignored : frozenset of str
        Attributes that are no part of the state, such as caches.
    """
    if isinstance(value, ATOMIC_TYPES):
        return value
    if isinstance(value, Enum):
        return (type(value).__name__, value.value)
    if isinstance(value, Random) or callable(value):
        return None
    if isinstance(value, Mapping):
        pairs = [(freeze(k, ignored), freeze(v, ignored)) for k, v in value.items()]
        return ("map", tuple(sorted(pairs, key=repr)))
    if isinstance(value, (set, frozenset)):
        return ("set", tuple(sorted((freeze(f, ignored) for f in value), key=repr)))
    if hasattr(value, "__iter__"):
        return tuple(freeze(entry, ignored) for entry in value)
    if is_dataclass(value):
        names = [entry.name for entry in fields(value)]
    else:
        names = list(vars(value)) if hasattr(value, "__dict__") else value.__slots__
    return (
        type(value).__name__,
        *((n, freeze(getattr(value, n), ignored)) for n in names if n not in ignored),
    )


class TransitionCache:
    """Numbers the distinct states of processes and caches their steps.

    A step is a pure function of the process state and its input, so the decision code
    runs once for each distinct pair, however many global states contain it.

    Parameters
    ----------
    ignored : frozenset of str
        Attributes that are no part of the state.
    project : callable
        Returns the part of a process that is its state.
    """

    def __init__(
        self,
        ignored: frozenset[str] = frozenset(),
        project: Callable[[Any], Any] = lambda process: process,
    ) -> None:
        self._ignored = ignored
        self._project = project
        self._numbers: dict[Frozen, int] = {}
        self._live: list[Any] = []
        self._copies: dict[int, bytes] = {}
        self._steps: dict[tuple[int, Any], tuple[int, Any]] = {}

    def number(self, process: Process) -> int:
        """Return the number of a process's state; the object must not change later."""
        key = freeze(self._project(process), self._ignored)
        known = self._numbers.get(key)
        if known is not None:
            return known
        self._numbers[key] = len(self._live)
        self._live.append(process)
        return len(self._live) - 1

    def get(self, number: int) -> Process:
        """Return the process in a state; it must not be modified."""
        return self._live[number]

    def run(
        self, number: int, key: Frozen, act: Callable[[Process], Any]
    ) -> tuple[int, Any]:
        """Return the next state and the effect of a step, cached or run now."""
        return self.find(number, key) or self.step(number, key, act)

    def find(self, number: int, key: Frozen) -> tuple[int, Any] | None:
        """Return the cached next state and effect of a step, or None if not cached."""
        return self._steps.get((number, key))

    def step(
        self, number: int, key: Frozen, act: Callable[[Process], Any]
    ) -> tuple[int, Any]:
        """Run a step on a copy; return the next state and the effect."""
        process = pickle.loads(self._copy(number))
        effect = act(process)
        result = (self.number(process), effect)
        self._steps[(number, key)] = result
        return result

    def _copy(self, number: int) -> bytes:
        known = self._copies.get(number)
        if known is None:
            known = self._copies[number] = pickle.dumps(self._live[number], -1)
        return known


__all__ = ["FixedRandom", "Frozen", "TransitionCache", "freeze"]
