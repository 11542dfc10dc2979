"""Bounded table of hints on flows, in two generations.

Any entry may be lost: a front searches for the holder of a flow without one, and may
try a host again that has declined the flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

V = TypeVar("V")

MAX_HINTS: Final = 100_000
GENERATION_S: Final = 30.0
"""Time between rotations; an entry expires when unused for one to two of them."""


class Hints(Generic[V]):
    """Bounded table with one entry for each flow; unused entries expire.

    Parameters
    ----------
    max_entries : int
        Bound of the entries in both generations together.
    """

    def __init__(self, max_entries: int = MAX_HINTS) -> None:
        self._half = max_entries // 2
        self._young: dict[bytes, V] = {}
        self._old: dict[bytes, V] = {}
        self._rotated_at = 0.0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def get(self, flow: bytes) -> V | None:
        """Return the entry of a flow, or None if there is none; renew its age."""
        found = self._young.get(flow)
        if found is not None:
            return found
        found = self._old.pop(flow, None)
        if found is not None:
            self._young[flow] = found
        return found

    def put(self, flow: bytes, value: V) -> None:
        """Set the entry of a flow, and rotate the generations when full."""
        if len(self._young) >= self._half:
            self._rotate()
        self._young[flow] = value

    def remove(self, flow: bytes) -> None:
        """Remove the entry of a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def items(self) -> Iterator[tuple[bytes, V]]:
        """Iterate over the flows and their entries; the table must not change."""
        yield from self._old.items()
        yield from self._young.items()

    def tick(self, now: float) -> None:
        """Rotate the generations when due, which drops the older one."""
        if now - self._rotated_at >= GENERATION_S:
            self._rotated_at = now
            self._rotate()

    def _rotate(self) -> None:
        self._old = self._young
        self._young = {}


__all__ = ["Hints"]
