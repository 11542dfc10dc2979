"""Counts from the actions that the decisions ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..core.identity import NO_REQUEST
from ..core.message import Cancel, Count, Deliver, Refusal, RefuseCaller, Send
from ..core.verdict import MayHaveRun, NotRun

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.identity import FlowKey, RequestKey
    from ..core.message import Action
    from .record import BurnRecord

BROKEN_FLOWS: Final = "broken_flows"
MOST_STARTED: Final = 100_000


class AgentObserver:
    """Counts what an agent decides about its one service.

    Latency runs from the first delivery to the backend server to its answer.

    Parameters
    ----------
    record : BurnRecord
        Where it counts.
    service : str
        Name of the service.
    """

    def __init__(self, record: BurnRecord, service: str) -> None:
        self._record = record
        self._service = service
        self._started: dict[tuple[FlowKey, RequestKey], float] = {}

    def note_actions(self, actions: Sequence[Action], now: float, wall: float) -> None:
        """Count what actions mean.

        Parameters
        ----------
        actions : sequence of Action
            What the decisions asked for.
        now : float
            Time in seconds of a clock that never falls.
        wall : float
            Time in seconds of Unix time.
        """
        for action in actions:
            match action:
                case Deliver(flow, _, request):
                    self._note_start(flow, request, now)
                case Cancel(flow, request):
                    self._started.pop((flow, request), None)
                case Send(_, Refusal() as refusal):
                    count_verdict(self._record, self._service, refusal.verdict, wall)
                case Count(name, amount) if name == BROKEN_FLOWS:
                    self._record.count_broken_flows(self._service, wall, amount)
                case _:
                    continue

    def note_answer(
        self, flow: FlowKey, request: RequestKey, now: float, wall: float
    ) -> None:
        """Count an answer of the backend server, once for each request."""
        started = self._started.pop((flow, request), None)
        if started is not None:
            self._record.count_answer(self._service, now - started, wall)

    def _note_start(self, flow: FlowKey, request: RequestKey, now: float) -> None:
        key = (flow, request)
        if request == NO_REQUEST or key in self._started:
            return
        if len(self._started) >= MOST_STARTED:
            # The oldest was neither answered nor cancelled, so its flow is gone.
            del self._started[next(iter(self._started))]
        self._started[key] = now


class BalancerObserver:
    """Counts the refusals that a balancer makes itself.

    Parameters
    ----------
    record : BurnRecord
        Where it counts.
    find_name : callable
        Gives the name of a service by its number, None where unknown.
    """

    def __init__(
        self, record: BurnRecord, find_name: Callable[[int], str | None]
    ) -> None:
        self._record = record
        self._find_name = find_name

    def note_actions(self, actions: Sequence[Action], wall: float) -> None:
        """Count what actions mean, at a time in seconds of Unix time."""
        for action in actions:
            if not isinstance(action, RefuseCaller):
                continue
            service = self._find_name(action.service)
            if service is not None:
                count_verdict(self._record, service, action.verdict, wall)


def count_verdict(
    record: BurnRecord, service: str, verdict: NotRun | MayHaveRun, wall: float
) -> None:
    """Count a refusal by its verdict."""
    match verdict:
        case NotRun():
            record.count_refusal(service, wall)
        case MayHaveRun():
            record.count_unknown(service, wall)


__all__ = ["AgentObserver", "BalancerObserver", "count_verdict"]
