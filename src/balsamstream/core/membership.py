"""A host's own entry in its service's view: join, drain, leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .action import EditView
from .view import Join, Leave, Member, MemberState, Return, SetState

if TYPE_CHECKING:
    from .action import Action
    from .state import AgentState
    from .view import ViewEdit

MIN_EDIT_RETRY_S: Final = 1.0
MAX_EDIT_RETRY_S: Final = 8.0
LEAVE_TIMEOUT_S: Final = 3.0
"""Time that a drained host waits for the platform to remove its entry."""


class Membership:
    """Requests edits of the host's own entry until the view shows them."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_edit_at = 0.0
        self._retry_s = MIN_EDIT_RETRY_S
        self._drain_started_at: float | None = None
        self._leave_started_at: float | None = None
        self._was_listed = False
        self.drained = False

    def drain(self, now: float) -> None:
        """Start a graceful stop."""
        if self._drain_started_at is not None:
            return
        self._drain_started_at = now
        self._state.leaving = True
        self._reset_retry()

    def end_drain(self, now: float) -> None:
        """End the drain at once: held flows are given up."""
        self.drain(now)
        profile = self._state.profile
        drain_s = 0.0 if profile is None else profile.drain_s
        self._drain_started_at = now - drain_s

    def tick(self, now: float) -> list[Action]:
        """Request the edit that the view still lacks."""
        edit = self._plan_edit(now)
        if edit is None:
            self._reset_retry()
            return []
        if now < self._next_edit_at:
            return []
        self._next_edit_at = now + self._retry_s * self._state.random.uniform(
            0.75, 1.25
        )
        self._retry_s = min(MAX_EDIT_RETRY_S, 2 * self._retry_s)
        return [EditView(self._state.config.service, edit)]

    def _reset_retry(self) -> None:
        self._next_edit_at = 0.0
        self._retry_s = MIN_EDIT_RETRY_S

    def _plan_edit(self, now: float) -> ViewEdit | None:
        config = self._state.config
        listed = self._state.routing.view.find_member(config.ref.name)
        if self._drain_started_at is not None:
            return self._plan_leave(listed, now)
        if self._state.admission is None:
            # Without a profile, admission has no limits.
            return None
        if listed is not None and listed.ref == config.ref:
            self._was_listed = True
        elif listed is not None and self._was_listed:
            # A later incarnation of this host's agent has joined: joining again would
            # make the two replace each other forever.
            self._state.leaving = True
            return None
        if listed is None or listed.ref != config.ref:
            return Join(
                Member(config.ref, config.address, config.data_centre, config.slots)
            )
        if listed.state is MemberState.DOWN:
            return Return(config.ref)
        return None

    def _plan_leave(self, listed: Member | None, now: float) -> ViewEdit | None:
        ref = self._state.config.ref
        if listed is None or listed.ref != ref:
            self.drained = True
            return None
        if not self._has_finished(now):
            if listed.state in (MemberState.ACTIVE, MemberState.DRAINING):
                return SetState(ref, MemberState.LEAVING)
            return None
        if self._leave_started_at is None:
            self._leave_started_at = now
            self._reset_retry()
        if now - self._leave_started_at >= LEAVE_TIMEOUT_S:
            self.drained = True
        return Leave(ref)

    def _has_finished(self, now: float) -> bool:
        state = self._state
        admission = state.admission
        if admission is None or state.profile is None:
            return True
        started_at = (
            self._drain_started_at if self._drain_started_at is not None else now
        )
        if now - started_at >= state.profile.drain_s:
            return True
        return len(state.flows) == 0 and admission.in_flight == 0


__all__ = ["Membership"]
