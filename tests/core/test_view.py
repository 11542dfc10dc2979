"""Tests of edits of a service's membership."""

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
    Voter,
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


def build_host(number: int) -> Member:
    ref = ProcessRef(f"comptoir-{number}", number)
    return Member(ref, Address("127.0.0.1", 7000 + number), "medina", 2)


def list_voters(view: View) -> list[str]:
    return sorted(voter.ref.name for voter in view.voter_sets[-1].voters)


def test_hosts_replace_balancers_as_voters_once_there_are_enough() -> None:
    spares = tuple(
        Voter(ProcessRef(f"balancer-{number}", number), ADDRESS) for number in (1, 2)
    )
    view = edit_view(View("comptoir", 0), Join(build_host(1)), spares)
    assert list_voters(view) == ["balancer-1", "balancer-2", "comptoir-1"]
    view = edit_view(view, Join(build_host(2)), spares)
    view = edit_view(view, Join(build_host(3)), spares)
    assert list_voters(view) == ["comptoir-1", "comptoir-2", "comptoir-3"]


def test_voter_that_is_marked_down_is_replaced() -> None:
    view = View("comptoir", 0)
    for number in range(1, 5):
        view = edit_view(view, Join(build_host(number)))
    down = view.voter_sets[-1].voters[0].ref
    view = edit_view(view, SetState(down, MemberState.DOWN))
    assert down.name not in list_voters(view)
    assert len(list_voters(view)) == 3
