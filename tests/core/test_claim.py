"""Tests of claims, one message at a time: epochs of votes, seals before grants."""

from __future__ import annotations

from balsamstream.core.claim import ClaimRound, VoterRole, Won
from balsamstream.core.identity import Address, ProcessRef, RequestKey
from balsamstream.core.message import ClaimOutcome, ClaimReply, SealReply
from balsamstream.core.view import View, Voter, VoterSet

SERVICE = "comptoir"
REQUEST = RequestKey(7)
ME = ProcessRef("comptoir-0", 1)
OTHERS = [ProcessRef(f"comptoir-{number}", 1) for number in (1, 2)]
NOW = 100.0


def build_set(epoch: int, refs: list[ProcessRef]) -> VoterSet:
    voters = tuple(
        Voter(ref, Address("127.0.0.1", 7_000 + number))
        for number, ref in enumerate(refs)
    )
    return VoterSet(epoch, voters)


def build_vote(epoch: int, voter: ProcessRef) -> ClaimReply:
    granted = ClaimOutcome.GRANTED
    return ClaimReply(SERVICE, epoch, REQUEST, ME, voter, granted, ME)


def test_vote_of_another_epoch_does_not_count() -> None:
    claim = ClaimRound(SERVICE, REQUEST, ME, build_set(5, [ME, *OTHERS]))
    assert claim.handle_reply(build_vote(5, ME)) is None
    assert claim.handle_reply(build_vote(4, OTHERS[0])) is None
    assert claim.handle_reply(build_vote(6, OTHERS[1])) is None
    assert claim.handle_reply(build_vote(5, OTHERS[0])) == Won()


def test_voter_grants_only_once_a_majority_of_each_earlier_set_has_sealed() -> None:
    before = [ProcessRef(f"comptoir-{number}", 1) for number in range(3, 8)]
    role = VoterRole(SERVICE, ME)
    sets = (build_set(1, before), build_set(2, [ME, *OTHERS]))
    role.apply_view(View(SERVICE, 1, (), sets), NOW)
    for number, voter in enumerate(before[:3], start=1):
        assert role.active_epoch == 0
        role.handle_seal_reply(SealReply(SERVICE, 2, voter, 1, 0, 1, ()), NOW + number)
    assert role.active_epoch == 2
