"""Refusals by a balancer of non-repeatable requests that no host can get."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .action import Count, RefuseCaller
from .claim import ClaimRound, Refused
from .identity import NOBODY
from .verdict import MayHaveRun, NotRun

if TYPE_CHECKING:
    from random import Random

    from ..config.objects import Profile
    from .action import Action
    from .claim import ClaimResult
    from .identity import Address, RequestKey
    from .message import ClaimReply
    from .view import View

MAX_PENDING: Final = 2_000
TIMEOUT_S: Final = 0.5
RETRY_S: Final = 0.1


@dataclass(slots=True)
class _PendingRefusal:
    service: int
    caller: Address
    head: bytes
    profile: Profile
    round: ClaimRound
    started_at: float
    requested_at: float


class RefusalClaims:
    """Refuses requests after the voters have recorded that no process runs them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: dict[RequestKey, _PendingRefusal] = {}

    def draw_not_run(self, profile: Profile, reason: str) -> NotRun:
        """Build a refusal with a random retry delay, to spread the callers' retries."""
        spread = profile.retry_after_s
        return NotRun(self._random.uniform(spread.least, spread.most), reason)

    def refuse(
        self,
        service: int,
        caller: Address,
        head: bytes,
        request: RequestKey,
        profile: Profile,
        view: View,
        now: float,
    ) -> list[Action]:
        """Start the claim that must precede the refusal of a non-repeatable request."""
        if request in self._pending:
            return []
        if not view.voter_sets or len(self._pending) >= MAX_PENDING:
            verdict = MayHaveRun("no voters to ask")
            return [RefuseCaller(service, caller, verdict, head), Count("may_have_run")]
        voters = view.voter_sets[-1]
        claim = ClaimRound(view.service, request, NOBODY, voters)
        self._pending[request] = _PendingRefusal(
            service, caller, head, profile, claim, now, now
        )
        return list(claim.build_requests())

    def handle_claim_reply(self, reply: ClaimReply) -> list[Action]:
        """Count a vote; refuse the request once the claim is decided."""
        pending = self._pending.get(reply.request)
        if pending is None:
            return []
        result = pending.round.handle_reply(reply)
        if result is None:
            return []
        del self._pending[reply.request]
        return self._build_refusal(pending, result)

    def tick(self, now: float) -> list[Action]:
        """Retry open claims and time out old ones."""
        actions: list[Action] = []
        for request, pending in list(self._pending.items()):
            if now - pending.started_at >= TIMEOUT_S:
                del self._pending[request]
                actions += self._build_refusal(pending, None)
                continue
            if now - pending.requested_at < RETRY_S:
                continue
            pending.requested_at = now
            actions += pending.round.build_requests()
        return actions

    def _build_refusal(
        self, pending: _PendingRefusal, result: ClaimResult | None
    ) -> list[Action]:
        verdict: NotRun | MayHaveRun
        match result:
            case Refused():
                verdict = self.draw_not_run(pending.profile, "no host")
                counter = "refused_not_run"
            case _:
                verdict = MayHaveRun("another copy may run")
                counter = "may_have_run"
        refusal = RefuseCaller(pending.service, pending.caller, verdict, pending.head)
        return [refusal, Count(counter)]


__all__ = ["RefusalClaims"]
