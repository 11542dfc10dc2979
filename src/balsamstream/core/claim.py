"""Claims: a majority of voters lets at most one process run a request.

A voter records the first claimant of each request in memory. A claimant runs a request
only after a majority of the voters of one epoch has granted its claim. A refusal is
itself a claim, with :data:`~balsamstream.core.identity.NOBODY` as claimant. No clock
is involved, so neither a pause nor a jump of a clock lets a request run twice.
``docs/design/claims.md`` gives the argument.

To seal an epoch is to close it, so that no more claims are granted in it; this is not
the seal of a datagram in :mod:`~balsamstream.wire.seal`.
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
"""Above the lifetime of a caller's copies: RFC 7252 EXCHANGE_LIFETIME is 247 s."""

MAX_CLAIMS: Final = 50_000
CLAIMS_PER_PAGE: Final = 24
SEAL_RETRY_S: Final = 0.2

CONTESTED: Final = ProcessRef("", -1)
"""Recorded as claimant if merged claims on a request name different claimants."""


@dataclass(slots=True)
class _SealProgress:
    """Seal replies received from the voters of earlier epochs.

    Parameters
    ----------
    pages : dict of ProcessRef to set of int
        Pages received from each voter.
    complete : set of ProcessRef
        Voters whose pages have all been received.
    next_request_at : float
        Time of the next seal requests, in seconds.
    """

    pages: dict[ProcessRef, set[int]] = field(default_factory=dict)
    complete: set[ProcessRef] = field(default_factory=set)
    next_request_at: float = 0.0


class VoterRole:
    """Votes of one process on the claims of one service.

    ``active_epoch`` is the epoch in which it grants claims, zero before the first; no
    claim is granted in an epoch below ``sealed_below``.

    Parameters
    ----------
    service : str
        Name of the service.
    ref : ProcessRef
        This process; a set that lists another incarnation of it gives it no vote.
    max_claims : int
        Upper bound of recorded claims; new ones beyond it are answered ``FULL``.
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
        self._voter_sets: tuple[VoterSet, ...] = ()
        self._claims: OrderedDict[RequestKey, tuple[ProcessRef, float]] = OrderedDict()
        self._seal_progress = _SealProgress()
        self._active_peers: set[ProcessRef] = set()
        self._next_trim_at = 0.0
        self._set_applied_at = 0.0
        self._snapshot_epoch = 0
        self._snapshot: tuple[tuple[RequestKey, ProcessRef], ...] = ()

    @property
    def is_listed(self) -> bool:
        """Whether this incarnation is in the newest voter set."""
        return bool(self._voter_sets) and self._has_vote_in(self._voter_sets[-1])

    @property
    def is_needed(self) -> bool:
        """Whether a voter set lists this incarnation: its claims may be requested."""
        return any(self._has_vote_in(voter_set) for voter_set in self._voter_sets)

    def apply_view(self, view: View, now: float) -> None:
        """Apply the voter sets of a view if it is later than the last one."""
        if view.number <= self._view_number:
            return
        self._view_number = view.number
        newest_before = self._voter_sets[-1].epoch if self._voter_sets else 0
        self._voter_sets = view.voter_sets
        if not self._voter_sets:
            return
        newest = self._voter_sets[-1].epoch
        self.sealed_below = max(self.sealed_below, newest)
        if newest == newest_before:
            return
        self._seal_progress = _SealProgress()
        self._active_peers = set()
        self._set_applied_at = now

    def handle_claim_request(self, message: ClaimRequest, now: float) -> ClaimReply:
        """Vote on a claim: grant it if no other claimant of the request is recorded."""
        outcome, holder = self._decide_claim(message, now)
        return ClaimReply(
            self.service,
            message.epoch,
            message.request,
            message.claimant,
            self.ref,
            outcome,
            holder,
        )

    def _decide_claim(
        self, message: ClaimRequest, now: float
    ) -> tuple[ClaimOutcome, ProcessRef]:
        if not self.is_listed:
            return ClaimOutcome.SEALED, NOBODY
        newest = self._voter_sets[-1].epoch
        if message.epoch < self.sealed_below or message.epoch != newest:
            return ClaimOutcome.SEALED, NOBODY
        if self.active_epoch != newest:
            return ClaimOutcome.INACTIVE, NOBODY
        self._expire_claims(now)
        known = self._claims.get(message.request)
        if known is None:
            if len(self._claims) >= self._max_claims:
                return ClaimOutcome.FULL, NOBODY
            self._claims[message.request] = (message.claimant, now)
            return ClaimOutcome.GRANTED, message.claimant
        holder = known[0]
        if holder == message.claimant:
            return ClaimOutcome.GRANTED, holder
        return ClaimOutcome.TAKEN, holder

    def handle_seal_request(self, message: SealRequest) -> SealReply | None:
        """Stop granting claims below the requested epoch; return a page of the claims.

        A requester of an epoch before the last sealed one can no longer become active
        and gets no reply.
        """
        if message.epoch < self._snapshot_epoch:
            return None
        self.sealed_below = max(self.sealed_below, message.epoch)
        if message.epoch > self._snapshot_epoch:
            self._take_snapshot(message.epoch)
        pages = max(1, -(-len(self._snapshot) // CLAIMS_PER_PAGE))
        first = message.page * CLAIMS_PER_PAGE
        return SealReply(
            self.service,
            message.epoch,
            self.ref,
            self.active_epoch,
            message.page,
            pages,
            self._snapshot[first : first + CLAIMS_PER_PAGE],
        )

    def _take_snapshot(self, epoch: int) -> None:
        """Fix the contents of the pages.

        Claims recorded later belong to the new epoch and are not requested.
        """
        self._snapshot_epoch = epoch
        self._snapshot = tuple(
            (request, holder) for request, (holder, _) in self._claims.items()
        )

    def handle_seal_reply(self, reply: SealReply, now: float) -> list[Send]:
        """Merge a page of an earlier voter's claims and request its next page."""
        if not self.is_listed or reply.epoch != self._voter_sets[-1].epoch:
            return []
        if reply.active_epoch == reply.epoch:
            self._active_peers.add(reply.voter)
        if self.active_epoch == reply.epoch:
            return []
        for request, holder in reply.claims:
            self._merge(request, holder, now)
        received = self._seal_progress.pages.setdefault(reply.voter, set())
        received.add(reply.page)
        if len(received) >= reply.pages:
            self._seal_progress.complete.add(reply.voter)
        self._activate_if_complete(now)
        return self._request_missing_page(reply)

    def tick(self, now: float) -> list[Send]:
        """Request seals from the other voters until only the newest set is left.

        Until this voter is active, the replies bring the earlier claims; afterwards
        they show which voters of the newest set are active.
        """
        if not self.is_listed or now < self._seal_progress.next_request_at:
            return []
        self._activate_if_complete(now)
        is_only_set = len(self._voter_sets) == 1
        if is_only_set and self.active_epoch == self._voter_sets[-1].epoch:
            return []
        self._seal_progress.next_request_at = now + SEAL_RETRY_S
        epoch = self._voter_sets[-1].epoch
        sends: dict[ProcessRef, Send] = {}
        for voter_set in self._voter_sets:
            for voter in voter_set.voters:
                if voter.ref == self.ref or voter.ref in self._seal_progress.complete:
                    continue
                message = SealRequest(self.service, epoch, self.ref, 0)
                sends[voter.ref] = Send(voter.address, message)
        if self.active_epoch == epoch:
            self._seal_progress.complete.clear()
        return list(sends.values())

    def plan_trim(self, now: float) -> TrimVoterSets | None:
        """Return the removal of earlier sets once the newest has an active majority."""
        if not self.is_listed or len(self._voter_sets) == 1 or now < self._next_trim_at:
            return None
        newest = self._voter_sets[-1]
        if self.active_epoch != newest.epoch:
            return None
        active = {self.ref} | self._active_peers
        voting = [voter for voter in newest.voters if voter.ref in active]
        if len(voting) < newest.majority:
            return None
        self._next_trim_at = now + 1.0
        return TrimVoterSets(newest.epoch)

    def _activate_if_complete(self, now: float) -> None:
        newest = self._voter_sets[-1]
        if self.active_epoch == newest.epoch:
            return
        if now < self._set_applied_at + newest.quarantine_s:
            return
        for earlier in self._voter_sets[:-1]:
            if not self._is_sealed(earlier):
                return
        self.active_epoch = newest.epoch

    def _is_sealed(self, earlier: VoterSet) -> bool:
        sealed = sum(
            voter.ref == self.ref or voter.ref in self._seal_progress.complete
            for voter in earlier.voters
        )
        return sealed >= earlier.majority

    def _request_missing_page(self, reply: SealReply) -> list[Send]:
        received = self._seal_progress.pages[reply.voter]
        if reply.voter in self._seal_progress.complete:
            return []
        for voter_set in self._voter_sets:
            for voter in voter_set.voters:
                if voter.ref != reply.voter:
                    continue
                page = next(n for n in range(reply.pages) if n not in received)
                message = SealRequest(self.service, reply.epoch, self.ref, page)
                return [Send(voter.address, message)]
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
            request, (_, recorded_at) = next(iter(self._claims.items()))
            if recorded_at > now - CLAIM_RETENTION_S:
                return
            del self._claims[request]

    def _has_vote_in(self, voter_set: VoterSet) -> bool:
        return any(voter.ref == self.ref for voter in voter_set.voters)


@dataclass(frozen=True, slots=True)
class Won:
    """A majority granted the claim: only this claimant may run the request."""


@dataclass(frozen=True, slots=True)
class Lost:
    """Another process holds the claim, or may still win it, and may run the request."""

    holder: ProcessRef


@dataclass(frozen=True, slots=True)
class Refused:
    """A majority recorded that no process runs the request."""


@dataclass(frozen=True, slots=True)
class Outdated:
    """The voters have moved on to a later epoch."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """No majority is possible: it cannot be known which process runs the request."""


ClaimResult = Won | Lost | Refused | Outdated | Unknown


class ClaimRound:
    """Votes of one epoch on one claimant's claim of a request.

    Parameters
    ----------
    service : str
        Name of the service.
    request : RequestKey
        Key of the request.
    claimant : ProcessRef
        Process that would run the request, or ``NOBODY`` for a refusal.
    voters : VoterSet
        Voters of the epoch.
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
        """Build claim requests to the voters without a final vote."""
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
        """Count one vote; return the result, or None while it is open."""
        listed = any(voter.ref == reply.voter for voter in self.voters.voters)
        if not listed or reply.epoch != self.voters.epoch:
            return None
        if reply.service != self.service:
            return None
        if reply.claimant != self.claimant or reply.request != self.request:
            return None
        self._votes[reply.voter] = (reply.outcome, reply.holder)
        return self._evaluate_votes()

    def _evaluate_votes(self) -> ClaimResult | None:
        granted = 0
        sealed = 0
        withheld = 0
        holders: dict[ProcessRef, int] = {}
        for outcome, holder in self._votes.values():
            match outcome:
                case ClaimOutcome.GRANTED:
                    granted += 1
                case ClaimOutcome.TAKEN:
                    holders[holder] = holders.get(holder, 0) + 1
                case ClaimOutcome.SEALED:
                    sealed += 1
                    withheld += 1
                case ClaimOutcome.FULL:
                    withheld += 1
                case ClaimOutcome.INACTIVE:
                    continue
        majority = self.voters.majority
        taken = sum(holders.values())
        if granted >= majority:
            return Refused() if self.claimant == NOBODY else Won()
        if holders.get(NOBODY, 0) >= majority:
            return Refused()
        if len(self.voters.voters) - taken - withheld >= majority:
            return None
        if sealed:
            return Outdated()
        return self._resolve_holder(holders)

    def _resolve_holder(self, holders: dict[ProcessRef, int]) -> ClaimResult:
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
