"""Failure detection among the hosts of one service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .action import Count, EditView
from .view import MemberState, SetState

if TYPE_CHECKING:
    from .action import Action
    from .identity import ProcessRef
    from .state import AgentState

CHECK_INTERVAL_S: Final = 0.5
RANK_DELAY_S: Final = 1.0
"""Delay for each live host that sorts earlier and may write the same change first."""

MIN_RETRY_S: Final = 5.0
MAX_RETRY_S: Final = 300.0


@dataclass(slots=True)
class _Mark:
    next_edit_at: float
    retry_s: float


class FailureDetector:
    """Marks silent hosts down; a few hosts watch each one, however many there are.

    The load reports that hosts send each other anyway serve as heartbeats. A host that
    hears less than half of the others assumes that it is cut off itself and marks
    none. Safety does not depend on this: a host marked down by mistake returns to the
    view by itself, and claims decide what runs.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_check_at = 0.0
        self._marks: dict[ProcessRef, _Mark] = {}

    def tick(self, now: float) -> list[Action]:
        """Request the edits that mark silent hosts down, each after its delay."""
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
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
            mark = _Mark(now + rank * RANK_DELAY_S, MIN_RETRY_S)
            self._marks[ref] = mark
        if now < mark.next_edit_at:
            return []
        mark.next_edit_at = now + mark.retry_s
        mark.retry_s = min(MAX_RETRY_S, 2 * mark.retry_s)
        edit = SetState(ref, MemberState.DOWN)
        return [
            EditView(self._state.config.service, edit),
            Count("host_marked_down"),
        ]


__all__ = ["FailureDetector"]
