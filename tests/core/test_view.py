"""Edits of a service's membership."""

from __future__ import annotations

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.view import (
    Join,
    Member,
    MemberState,
    Return,
    SetState,
    View,
    ViewEdit,
    edit_view,
)

ADDRESS = Address("127.0.0.1", 7001)


def edit_in_turn(*edits: ViewEdit) -> Member:
    view = View("comptoir", 0)
    for edit in edits:
        view = edit_view(view, edit)
    (member,) = view.members
    return member


def build_member(incarnation: int = 1) -> Member:
    return Member(ProcessRef("comptoir-1", incarnation), ADDRESS, "medina", 2)


def test_drained_host_stays_drained_over_silence_and_restart() -> None:
    ref = build_member().ref
    member = edit_in_turn(
        Join(build_member()),
        SetState(ref, MemberState.DRAINING),
        SetState(ref, MemberState.DOWN),
        Return(ref),
    )
    assert member.state is MemberState.DRAINING
    member = edit_in_turn(
        Join(build_member()),
        SetState(ref, MemberState.DRAINING),
        Join(build_member(2)),
    )
    assert member.state is MemberState.DRAINING


def test_undrained_host_is_active_after_silence() -> None:
    ref = build_member().ref
    member = edit_in_turn(
        Join(build_member()),
        SetState(ref, MemberState.DRAINING),
        SetState(ref, MemberState.ACTIVE),
        SetState(ref, MemberState.DOWN),
        Return(ref),
    )
    assert member.state is MemberState.ACTIVE


def test_edit_by_an_earlier_incarnation_changes_nothing() -> None:
    member = edit_in_turn(
        Join(build_member()),
        Join(build_member(2)),
        SetState(build_member().ref, MemberState.DOWN),
    )
    assert member.state is MemberState.ACTIVE
