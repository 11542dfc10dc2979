"""Counts of request outcomes for the report on the burn of error budgets."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from balsamstream.core.verdict import MayHaveRun, NotRun
from balsamstream.kernel import Service
from balsamstream.report.record import BurnRecord
from balsamstream.report.schema import build_page_document

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.config.objects import Profile
    from balsamstream.core.identity import RequestKey
    from balsamstream.report.burn import HostLoad

MAX_IN_FLIGHT: Final = 65_536


class BurnCounter(Service):
    """Counts outcomes of requests, each in the daemon that decides it.

    Parameters
    ----------
    name : str
        Name of the host or balancer.
    data_centre : str
        Its data centre.
    read_wall : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        self._record = BurnRecord(name, data_centre)
        self._read_wall = read_wall
        self._sent_at: OrderedDict[RequestKey, float] = OrderedDict()

    async def start(self) -> None:
        """Do nothing: there is nothing to open."""

    async def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def describe(self) -> dict[str, Any]:
        """Return the content of the page ``/burn``."""
        return build_page_document(self._record.build_page(self._read_wall()))

    def set_profile(self, service: str, profile: Profile) -> None:
        """Set the profile whose objectives a service is measured by."""
        self._record.set_objectives(service, profile.name, profile.objectives)

    def set_host_load(self, service: str, load: HostLoad) -> None:
        """Set the current load of the host."""
        self._record.set_hosts(service, (load,))

    def record_sent(self, request: RequestKey, now: float) -> None:
        """Record the time a request was sent to the backend server; ignore copies."""
        if request in self._sent_at:
            return
        if len(self._sent_at) >= MAX_IN_FLIGHT:
            self._sent_at.popitem(last=False)
        self._sent_at[request] = now

    def count_answer(self, service: str, request: RequestKey, now: float) -> None:
        """Count the first answer to a request, with its latency."""
        sent_at = self._sent_at.pop(request, None)
        if sent_at is not None:
            self._record.count_answer(service, now - sent_at, self._read_wall())

    def forget_request(self, request: RequestKey) -> None:
        """Forget a cancelled request; it is counted by its refusal."""
        self._sent_at.pop(request, None)

    def count_verdict(self, service: str, verdict: NotRun | MayHaveRun) -> None:
        """Count a refusal that this daemon decided."""
        match verdict:
            case NotRun():
                self._record.count_refused_not_run(service, self._read_wall())
            case MayHaveRun():
                self._record.count_may_have_run(service, self._read_wall())

    def count_broken_flows(self, service: str, amount: int) -> None:
        """Count broken flows."""
        self._record.count_broken_flows(service, self._read_wall(), amount)


__all__ = ["BurnCounter"]
