"""Claims: a majority of voters lets at most one process run a request.

A voter keeps the first claimant of each request in memory. A claimant runs a request
only once a majority of one epoch's voters granted it, and a refusal is itself a claim,
made for :data:`~balsamstream.core.identity.NOBODY`. No clock takes part, so neither a
pause nor a jump of a clock lets a request run twice. ``docs/design/claims.md`` gives
the argument.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .action import Send
from .identity import NOBODY, ProcessRef, RequestKey
from .message import ClaimOutcome, ClaimReply, ClaimRequest, SealReply, SealRequest
from .view import TrimVoterSets

if TYPE_CHECKING:
    from .view import View, VoterSet

CLAIM_RETENTION_S: Final = 600.0
"""Longer than a caller's copies live: RFC 7252 EXCHANGE_LIFETIME is 247 s."""

MAX_CLAIMS: Final = 50_000
CLAIMS_PER_PAGE: Final = 24
SEAL_REPEAT_S: Final = 0.2

CONTESTED: Final = ProcessRef("", -1)
"""Recorded where two voters of one epoch knew different claimants."""


@dataclass(slots=True)
class _Gathering:
    """Seals collected from the voters of earlier epochs."""

    pages: dict[ProcessRef, set[int]] = field(default_factory=dict)
    complete: set[ProcessRef] = field(default_factory=set)
    next_ask: float = 0.0


class VoterRole:
    """The claims that one process records for one service.

    Parameters
    ----------
    service : str
        Name of the service.
    ref : ProcessRef
        This process; a set that lists another incarnation gives it no vote.
    max_claims : int
        Bound of the table; beyond it new claims are answered with ``FULL``.
    """

    def __init__(
        self, service: str, ref: ProcessRef, max_claims: int = MAX_CLAIMS
    ) -> None:
        self.service = service
        self.ref = ref
        self.sealed_below = 0
        self.active_epoch = 0
        self._max_claims = max_claims
        self._view_number = 0
        self._sets: tuple[VoterSet, ...] = ()
        self._claims: OrderedDict[RequestKey, tuple[ProcessRef, float]] = OrderedDict()
        self._gathering = _Gathering()
        self._peers_active: set[ProcessRef] = set()
        self._trim_asked = 0.0
        self._adopted_at = 0.0
        self._snapshot_epoch = 0
        self._snapshot: tuple[tuple[RequestKey, ProcessRef], ...] = ()

    @property
    def is_listed(self) -> bool:
        """Whether the newest set gives this incarnation a vote."""
        return bool(self._sets) and self._has_vote_in(self._sets[-1])

    @property
    def is_needed(self) -> bool:
        """Whether a later set may still ask this voter for its claims."""
        return any(self._has_vote_in(voter_set) for voter_set in self._sets)

    def apply_view(self, view: View, now: float) -> None:
        """Take over the voter sets of a later view; an earlier one changes nothing."""
        if view.number <= self._view_number:
            return
        self._view_number = view.number
        newest_before = self._sets[-1].epoch if self._sets else 0
        self._sets = view.voter_sets
        if not self._sets:
            return
        newest = self._sets[-1].epoch
        self.sealed_below = max(self.sealed_below, newest)
        if newest == newest_before:
            return
        self._gathering = _Gathering()
        self._peers_active = set()
        self._adopted_at = now

    def handle_claim_request(self, ask: ClaimRequest, now: float) -> ClaimReply:
        """Record a claim, or tell whose it is already."""
        outcome, holder = self._judge_claim(ask, now)
        return ClaimReply(
            self.service,
            ask.epoch,
            ask.request,
            ask.claimant,
            self.ref,
            outcome,
            holder,
        )

    def _judge_claim(
        self, ask: ClaimRequest, now: float
    ) -> tuple[ClaimOutcome, ProcessRef]:
        if not self.is_listed:
            return ClaimOutcome.SEALED, NOBODY
        newest = self._sets[-1].epoch
        if ask.epoch < self.sealed_below or ask.epoch != newest:
            return ClaimOutcome.SEALED, NOBODY
        if self.active_epoch != newest:
            return ClaimOutcome.INACTIVE, NOBODY
        self._expire_claims(now)
        known = self._claims.get(ask.request)
        if known is None:
            if len(self._claims) >= self._max_claims:
                return ClaimOutcome.FULL, NOBODY
            self._claims[ask.request] = (ask.claimant, now)
            return ClaimOutcome.GRANTED, ask.claimant
        holder = known[0]
        if holder == ask.claimant:
            return ClaimOutcome.GRANTED, holder
        return ClaimOutcome.TAKEN, holder

    def handle_seal_request(self, ask: SealRequest) -> SealReply | None:
        """Grant nothing below the asked epoch any more and hand over the claims.

        An asker of an epoch before the last sealed one can no longer become active
        and gets no reply.
        """
        if ask.epoch < self._snapshot_epoch:
            return None
        self.sealed_below = max(self.sealed_below, ask.epoch)
        if ask.epoch > self._snapshot_epoch:
            self._take_snapshot(ask.epoch)
        pages = max(1, -(-len(self._snapshot) // CLAIMS_PER_PAGE))
        first = ask.page * CLAIMS_PER_PAGE
        return SealReply(
            self.service,
            ask.epoch,
            self.ref,
            self.active_epoch,
            ask.page,
            pages,
            self._snapshot[first : first + CLAIMS_PER_PAGE],
        )

    def _take_snapshot(self, epoch: int) -> None:
        """Fix the pages: later claims are of the new epoch and not asked for."""
        self._snapshot_epoch = epoch
        self._snapshot = tuple(
            (request, holder) for request, (holder, _) in self._claims.items()
        )

    def handle_seal_reply(self, reply: SealReply, now: float) -> list[Send]:
        """Merge a page of an earlier voter's claims; ask for its next page."""
        if not self.is_listed or reply.epoch != self._sets[-1].epoch:
            return []
        if reply.active_epoch == reply.epoch:
            self._peers_active.add(reply.voter)
        if self.active_epoch == reply.epoch:
            return []
        for request, holder in reply.claims:
            self._merge(request, holder, now)
        seen = self._gathering.pages.setdefault(reply.voter, set())
        seen.add(reply.page)
        if len(seen) >= reply.pages:
            self._gathering.complete.add(reply.voter)
        self._activate_if_complete(now)
        return self._ask_missing(reply)

    def tick(self, now: float) -> list[Send]:
        """Ask the earlier voters until enough of them answered."""
        if not self.is_listed or now < self._gathering.next_ask:
            return []
        self._activate_if_complete(now)
        alone = len(self._sets) == 1
        if alone and self.active_epoch == self._sets[-1].epoch:
            return []
        self._gathering.next_ask = now + SEAL_REPEAT_S
        epoch = self._sets[-1].epoch
        asked: dict[ProcessRef, Send] = {}
        for voter_set in self._sets:
            for voter in voter_set.voters:
                if voter.ref == self.ref or voter.ref in self._gathering.complete:
                    continue
                ask = SealRequest(self.service, epoch, self.ref, 0)
                asked[voter.ref] = Send(voter.address, ask)
        if self.active_epoch == epoch:
            self._gathering.complete.clear()
        return list(asked.values())

    def plan_trim(self, now: float) -> TrimVoterSets | None:
        """Drop earlier sets once a majority of the newest one is active."""
        if not self.is_listed or len(self._sets) == 1 or now < self._trim_asked:
            return None
        newest = self._sets[-1]
        if self.active_epoch != newest.epoch:
            return None
        active = {self.ref} | self._peers_active
        voting = [voter for voter in newest.voters if voter.ref in active]
        if len(voting) < newest.majority:
            return None
        self._trim_asked = now + 1.0
        return TrimVoterSets(newest.epoch)

    def _activate_if_complete(self, now: float) -> None:
        newest = self._sets[-1]
        if self.active_epoch == newest.epoch:
            return
        if now < self._adopted_at + newest.quarantine_s:
            return
        for earlier in self._sets[:-1]:
            if not self._is_sealed(earlier):
                return
        self.active_epoch = newest.epoch

    def _is_sealed(self, earlier: VoterSet) -> bool:
        sealed = sum(
            voter.ref == self.ref or voter.ref in self._gathering.complete
            for voter in earlier.voters
        )
        return sealed >= earlier.majority

    def _ask_missing(self, reply: SealReply) -> list[Send]:
        seen = self._gathering.pages[reply.voter]
        if reply.voter in self._gathering.complete:
            return []
        for voter_set in self._sets:
            for voter in voter_set.voters:
                if voter.ref != reply.voter:
                    continue
                page = next(n for n in range(reply.pages) if n not in seen)
                ask = SealRequest(self.service, reply.epoch, self.ref, page)
                return [Send(voter.address, ask)]
        return []

    def _merge(self, request: RequestKey, holder: ProcessRef, now: float) -> None:
        known = self._claims.get(request)
        if known is None:
            self._claims[request] = (holder, now)
            return
        if known[0] != holder:
            self._claims[request] = (CONTESTED, now)

    def _expire_claims(self, now: float) -> None:
        while self._claims:
            request, (_, recorded) = next(iter(self._claims.items()))
            if recorded > now - CLAIM_RETENTION_S:
                return
            del self._claims[request]

    def _has_vote_in(self, voter_set: VoterSet) -> bool:
        return any(voter.ref == self.ref for voter in voter_set.voters)


@dataclass(frozen=True, slots=True)
class Won:
    """The claimant alone may run the request."""


@dataclass(frozen=True, slots=True)
class Lost:
    """Another process claimed the request; it may run it."""

    holder: ProcessRef


@dataclass(frozen=True, slots=True)
class Refused:
    """A majority recorded that nobody runs the request."""


@dataclass(frozen=True, slots=True)
class Outdated:
    """The voters have moved to a later epoch."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """No majority can be had: nobody can tell who runs the request."""


ClaimResult = Won | Lost | Refused | Outdated | Unknown


class ClaimRound:
    """One claimant's count of the votes on one request in one epoch.

    Parameters
    ----------
    service : str
        Name of the service.
    request : RequestKey
        The request.
    claimant : ProcessRef
        Who would run it, or ``NOBODY`` to refuse it.
    voters : VoterSet
        Who votes.
    """

    def __init__(
        self,
        service: str,
        request: RequestKey,
        claimant: ProcessRef,
        voters: VoterSet,
    ) -> None:
        self.service = service
        self.request = request
        self.claimant = claimant
        self.voters = voters
        self._votes: dict[ProcessRef, tuple[ClaimOutcome, ProcessRef]] = {}

    def build_requests(self) -> list[Send]:
        """Ask each voter that has not answered for good."""
        message = ClaimRequest(
            self.service, self.voters.epoch, self.request, self.claimant
        )
        final = (ClaimOutcome.GRANTED, ClaimOutcome.TAKEN)
        return [
            Send(voter.address, message)
            for voter in self.voters.voters
            if self._votes.get(voter.ref, (None, NOBODY))[0] not in final
        ]

    def handle_reply(self, reply: ClaimReply) -> ClaimResult | None:
        """Count one vote; return the result once it is certain."""
        listed = any(voter.ref == reply.voter for voter in self.voters.voters)
        if not listed or reply.epoch != self.voters.epoch:
            return None
        if reply.service != self.service:
            return None
        if reply.claimant != self.claimant or reply.request != self.request:
            return None
        self._votes[reply.voter] = (reply.outcome, reply.holder)
        return self._judge()

    def _judge(self) -> ClaimResult | None:
        granted = 0
        sealed = 0
        lasting = 0
        holders: dict[ProcessRef, int] = {}
        for outcome, holder in self._votes.values():
            match outcome:
                case ClaimOutcome.GRANTED:
                    granted += 1
                case ClaimOutcome.TAKEN:
                    holders[holder] = holders.get(holder, 0) + 1
                case ClaimOutcome.SEALED:
                    sealed += 1
                    lasting += 1
                case ClaimOutcome.FULL:
                    lasting += 1
                case ClaimOutcome.INACTIVE:
                    continue
        majority = self.voters.majority
        taken = sum(holders.values())
        if granted >= majority:
            return Refused() if self.claimant == NOBODY else Won()
        if holders.get(NOBODY, 0) >= majority:
            return Refused()
        if len(self.voters.voters) - taken - lasting >= majority:
            return None
        if sealed:
            return Outdated()
        return self._name_holder(holders)

    def _name_holder(self, holders: dict[ProcessRef, int]) -> ClaimResult:
        for holder, votes in holders.items():
            if votes >= self.voters.majority and holder != CONTESTED:
                return Lost(holder)
        named = [holder for holder in holders if holder not in (NOBODY, CONTESTED)]
        if len(named) == 1:
            return Lost(named[0])
        return Unknown()


__all__ = [
    "CLAIM_RETENTION_S",
    "CONTESTED",
    "ClaimResult",
    "ClaimRound",
    "Lost",
    "Outdated",
    "Refused",
    "Unknown",
    "VoterRole",
    "Won",
]
