"""Hosts of one service notice each other's silence and mark the view."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .action import Count, EditView
from .view import MemberState, SetState

if TYPE_CHECKING:
    from .action import Action
    from .identity import ProcessRef
    from .state import AgentState

LOOK_EVERY_S: Final = 0.5
RANK_DELAY_S: Final = 1.0
"""Each host waits so long for those before it to write the same change."""

REPEAT_LEAST_S: Final = 5.0
REPEAT_MOST_S: Final = 300.0


@dataclass(slots=True)
class _Mark:
    next_edit: float
    pause_s: float


class FailureDetector:
    """Marks silent hosts down; a handful of hosts watch each one, however many exist.

    The reports on load that hosts send each other anyway serve as heartbeats. A host
    that hears less than half of the others takes itself for the one that is cut off
    and marks nobody. Safety does not rest on this: a host marked down by mistake puts
    itself back, and claims decide what runs.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_look = 0.0
        self._marks: dict[ProcessRef, _Mark] = {}

    def tick(self, now: float) -> list[Action]:
        """Ask for the change of each silent host whose turn it is to be marked."""
        if now < self._next_look:
            return []
        self._next_look = now + LOOK_EVERY_S
        state = self._state
        members = state.routing.reachable
        silent = [
            member
            for member in members
            if member.ref != state.config.ref
            and state.loads.is_silent(member.ref.name, len(members), now)
        ]
        if not silent or 2 * len(silent) > len(members) or state.is_evacuated:
            self._marks.clear()
            return []
        absent = {member.ref for member in silent}
        heard = sorted(member.ref for member in members if member.ref not in absent)
        if state.config.ref not in heard:
            return []
        rank = heard.index(state.config.ref)
        actions: list[Action] = []
        for member in silent:
            actions += self._mark(member.ref, rank, now)
        self._marks = {ref: self._marks[ref] for ref in absent}
        return actions

    def _mark(self, ref: ProcessRef, rank: int, now: float) -> list[Action]:
        mark = self._marks.get(ref)
        if mark is None:
            mark = _Mark(now + rank * RANK_DELAY_S, REPEAT_LEAST_S)
            self._marks[ref] = mark
        if now < mark.next_edit:
            return []
        mark.next_edit = now + mark.pause_s
        mark.pause_s = min(REPEAT_MOST_S, 2 * mark.pause_s)
        edit = SetState(ref, MemberState.DOWN)
        return [
            EditView(self._state.config.service, edit),
            Count("host_marked_down"),
        ]


__all__ = ["FailureDetector"]
