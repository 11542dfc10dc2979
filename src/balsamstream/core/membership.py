"""A host's own entry in its service's view: join, drain, leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .action import EditView
from .view import Join, Leave, Member, MemberState, Return, SetState

if TYPE_CHECKING:
    from .action import Action
    from .state import AgentState
    from .view import ViewEdit

EDIT_REPEAT_LEAST_S: Final = 1.0
EDIT_REPEAT_MOST_S: Final = 8.0
LEAVE_WAIT_S: Final = 3.0
"""How long a host that is done waits for the platform to take its leave."""


class Membership:
    """Asks for changes of the own entry until the view shows them."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_edit = 0.0
        self._pause_s = EDIT_REPEAT_LEAST_S
        self._draining_since: float | None = None
        self._leave_since: float | None = None
        self._was_listed = False
        self.drained = False

    def drain(self, now: float) -> None:
        """Begin a graceful stop."""
        if self._draining_since is not None:
            return
        self._draining_since = now
        self._state.leaving = True
        self._reset_pause()

    def end_drain(self, now: float) -> None:
        """End the drain at once: held flows are given up."""
        self.drain(now)
        profile = self._state.profile
        drain_s = 0.0 if profile is None else profile.drain_s
        self._draining_since = now - drain_s

    def tick(self, now: float) -> list[Action]:
        """Ask for the change that the view still lacks."""
        edit = self._plan_edit(now)
        if edit is None:
            self._reset_pause()
            return []
        if now < self._next_edit:
            return []
        self._next_edit = now + self._pause_s * self._state.random.uniform(0.75, 1.25)
        self._pause_s = min(EDIT_REPEAT_MOST_S, 2 * self._pause_s)
        return [EditView(self._state.config.service, edit)]

    def _reset_pause(self) -> None:
        self._next_edit = 0.0
        self._pause_s = EDIT_REPEAT_LEAST_S

    def _plan_edit(self, now: float) -> ViewEdit | None:
        config = self._state.config
        listed = self._state.routing.view.find_member(config.ref.name)
        if self._draining_since is not None:
            return self._plan_leave(listed, now)
        if self._state.admission is None:
            # Without a profile there is no limit to admit by.
            return None
        if listed is not None and listed.ref == config.ref:
            self._was_listed = True
        elif listed is not None and self._was_listed:
            # A later run of this host's agent announced itself: joining again would
            # have the two replace each other for ever.
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
        if self._leave_since is None:
            self._leave_since = now
            self._reset_pause()
        if now - self._leave_since >= LEAVE_WAIT_S:
            self.drained = True
        return Leave(ref)

    def _has_finished(self, now: float) -> bool:
        state = self._state
        admission = state.admission
        if admission is None or state.profile is None:
            return True
        started = self._draining_since if self._draining_since is not None else now
        if now - started >= state.profile.drain_s:
            return True
        return len(state.flows) == 0 and admission.in_flight == 0


__all__ = ["Membership"]
