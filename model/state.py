"""Canonical encoding of live objects, and a memory of their steps."""

from __future__ import annotations

import pickle
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from random import Random
from typing import Any, Final

PLAIN: Final = (int, float, str, bytes, bool, type(None))

Frozen = Any
"""A value that compares by what it was made from."""

Process = Any
"""A live object of a model."""


class FixedRandom(Random):
    """Draws always the lowest value, so that equal states stay equal."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower bound."""
        return a


def freeze(found: object, skipped: frozenset[str] = frozenset()) -> Frozen:
    """Return a hashable value that is equal for equal states.

    Parameters
    ----------
    found : object
        Nested data classes, containers and plain objects.
    skipped : frozenset of str
        Attributes that do not count, such as caches.
    """
    if isinstance(found, PLAIN):
        return found
    if isinstance(found, Enum):
        return (type(found).__name__, found.value)
    if isinstance(found, Random) or callable(found):
        return None
    if isinstance(found, Mapping):
        pairs = [(freeze(k, skipped), freeze(v, skipped)) for k, v in found.items()]
        return ("map", tuple(sorted(pairs, key=repr)))
    if isinstance(found, (set, frozenset)):
        return ("set", tuple(sorted((freeze(f, skipped) for f in found), key=repr)))
    if hasattr(found, "__iter__"):
        return tuple(freeze(entry, skipped) for entry in found)
    if is_dataclass(found):
        names = [entry.name for entry in fields(found)]
    else:
        names = list(vars(found)) if hasattr(found, "__dict__") else found.__slots__
    return (
        type(found).__name__,
        *((n, freeze(getattr(found, n), skipped)) for n in names if n not in skipped),
    )


class Memory:
    """Gives each distinct process state a number and remembers its steps.

    A step is a pure function of the process state and its input, so the decision code
    runs once for each distinct pair however many global states contain it.

    Parameters
    ----------
    skipped : frozenset of str
        Attributes that do not count as state.
    project : callable
        Gives the part of a process that counts as its state.
    """

    def __init__(
        self,
        skipped: frozenset[str] = frozenset(),
        project: Callable[[Any], Any] = lambda process: process,
    ) -> None:
        self._skipped = skipped
        self._project = project
        self._numbers: dict[Frozen, int] = {}
        self._live: list[Any] = []
        self._copies: dict[int, bytes] = {}
        self._steps: dict[tuple[int, Any], tuple[int, Any]] = {}

    def number(self, process: Process) -> int:
        """Return the number of a process state; the object must not change later."""
        key = freeze(self._project(process), self._skipped)
        known = self._numbers.get(key)
        if known is not None:
            return known
        self._numbers[key] = len(self._live)
        self._live.append(process)
        return len(self._live) - 1

    def get(self, number: int) -> Process:
        """Return the object of a state, for reading."""
        return self._live[number]

    def find(self, number: int, key: Frozen) -> tuple[int, Any] | None:
        """Return what a step led to, if it was taken before."""
        return self._steps.get((number, key))

    def step(
        self, number: int, key: Frozen, act: Callable[[Process], Any]
    ) -> tuple[int, Any]:
        """Return the next state and what the step gave out."""
        process = pickle.loads(self._copy(number))
        given = act(process)
        result = (self.number(process), given)
        self._steps[(number, key)] = result
        return result

    def _copy(self, number: int) -> bytes:
        known = self._copies.get(number)
        if known is None:
            known = self._copies[number] = pickle.dumps(self._live[number], -1)
        return known


__all__ = ["FixedRandom", "Frozen", "Memory", "freeze"]
