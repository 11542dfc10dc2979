"""Evacuations in force at one node, and the order in which sets of them replace others.

Load pattern: the store is restored from a copy that is some seconds old. An evacuation
that operators set in these seconds is missing until they have written it again, and
callers must not be sent back into the data centre meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .desired_state import Evacuations

if TYPE_CHECKING:
    from .events import Events

RESTORE_GRACE_S: Final = 4.0
"""Time that operators have to write their evacuations again after a restore."""


class EvacuationRecord:
    """Evacuations in force.

    Parameters
    ----------
    events : Events
        Logs changes.

    Attributes
    ----------
    latest : Evacuations
        Latest set that was read from the store, by this node or another.
    data_centres : frozenset of str
        Data centres that get no new flows: those of the latest set, and for some time
        those that the last restore of the store has lost.
    """

    def __init__(self, events: Events) -> None:
        self._events = events
        self._kept: frozenset[str] = frozenset()
        self._kept_until = 0.0
        self.latest = Evacuations()
        self.data_centres: frozenset[str] = frozenset()

    def apply(self, evacuations: Evacuations, source: str, now: float) -> bool:
        """Adopt a set if it is newer; tell whether the data centres changed."""
        if not evacuations.is_newer_than(self.latest):
            return False
        if self.latest.era and evacuations.era > self.latest.era:
            self._kept = self.data_centres
            self._kept_until = now + RESTORE_GRACE_S
        self.latest = evacuations
        return self._update(source, now)

    def tick(self, now: float) -> bool:
        """Drop what a restore has lost when its time is up; tell whether it changed."""
        if not self._kept or now < self._kept_until:
            return False
        self._kept = frozenset()
        return self._update("restore", now)

    def _update(self, source: str, now: float) -> bool:
        before = self.data_centres
        kept = self._kept if now < self._kept_until else frozenset()
        self.data_centres = self.latest.data_centres | kept
        if self.data_centres == before:
            return False
        self._events.emit(
            "evacuations",
            era=self.latest.era,
            revision=self.latest.revision,
            out=sorted(self.data_centres),
            source=source,
        )
        return True


__all__ = ["RESTORE_GRACE_S", "EvacuationRecord"]
