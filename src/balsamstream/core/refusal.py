"""Refusals by a balancer of requests that it can give to no host."""

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

MAX_ROUNDS: Final = 2_000
GIVE_UP_S: Final = 0.5
REPEAT_S: Final = 0.1


@dataclass(slots=True)
class _Refusing:
    service: int
    caller: Address
    head: bytes
    profile: Profile
    round: ClaimRound
    began: float
    asked: float


class RefusalClaims:
    """Has the voters record that nobody runs a request before it is refused."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._rounds: dict[RequestKey, _Refusing] = {}

    def draw_not_run(self, profile: Profile, reason: str) -> NotRun:
        """Make a refusal with a time to come back that is spread over callers."""
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
        """Refuse a non-repeatable request."""
        if request in self._rounds:
            return []
        if not view.voter_sets or len(self._rounds) >= MAX_ROUNDS:
            verdict = MayHaveRun("no voters to ask")
            return [RefuseCaller(service, caller, verdict, head), Count("may_have_run")]
        voters = view.voter_sets[-1]
        ballot = ClaimRound(view.service, request, NOBODY, voters)
        self._rounds[request] = _Refusing(
            service, caller, head, profile, ballot, now, now
        )
        return list(ballot.build_requests())

    def handle_claim_reply(self, reply: ClaimReply) -> list[Action]:
        """Count a voter's reply."""
        refusing = self._rounds.get(reply.request)
        if refusing is None:
            return []
        result = refusing.round.handle_reply(reply)
        if result is None:
            return []
        del self._rounds[reply.request]
        return self._tell(refusing, result)

    def tick(self, now: float) -> list[Action]:
        """Repeat unanswered questions and give up late ones."""
        actions: list[Action] = []
        for request, refusing in list(self._rounds.items()):
            if now - refusing.began >= GIVE_UP_S:
                del self._rounds[request]
                actions += self._tell(refusing, None)
                continue
            if now - refusing.asked < REPEAT_S:
                continue
            refusing.asked = now
            actions += refusing.round.build_requests()
        return actions

    def _tell(self, refusing: _Refusing, result: ClaimResult | None) -> list[Action]:
        verdict: NotRun | MayHaveRun
        match result:
            case Refused():
                verdict = self.draw_not_run(refusing.profile, "no host")
                counter = "refused_not_run"
            case _:
                verdict = MayHaveRun("another copy may run")
                counter = "may_have_run"
        refusal = RefuseCaller(
            refusing.service, refusing.caller, verdict, refusing.head
        )
        return [refusal, Count(counter)]


__all__ = ["RefusalClaims"]
