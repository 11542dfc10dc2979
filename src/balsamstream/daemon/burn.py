"""What the daemon counts for the report on service-level burn."""

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
    """Counts outcomes of requests, each at the one daemon that decides it.

    Parameters
    ----------
    name : str
        Name of the host or balancer.
    data_centre : str
        Its data centre.
    read_wall : callable
        Returns seconds of Unix time.
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
        """Open nothing."""

    async def close(self) -> None:
        """Release nothing."""

    def describe(self) -> dict[str, Any]:
        """Return the page as it is served."""
        return build_page_document(self._record.build_page(self._read_wall()))

    def set_profile(self, service: str, profile: Profile) -> None:
        """Measure a service by its profile's objectives from now on."""
        self._record.set_objectives(service, profile.name, profile.objectives)

    def set_host_load(self, service: str, load: HostLoad) -> None:
        """Note what the host holds now."""
        self._record.set_hosts(service, (load,))

    def record_sent(self, request: RequestKey, now: float) -> None:
        """Note when a request went to the backend server; copies change nothing."""
        if request in self._sent_at:
            return
        if len(self._sent_at) >= MAX_IN_FLIGHT:
            self._sent_at.popitem(last=False)
        self._sent_at[request] = now

    def count_answer(self, service: str, request: RequestKey, now: float) -> None:
        """Count the answer to a request."""
        sent_at = self._sent_at.pop(request, None)
        if sent_at is not None:
            self._record.count_answer(service, now - sent_at, self._read_wall())

    def forget_request(self, request: RequestKey) -> None:
        """Forget a request; its refusal counts it."""
        self._sent_at.pop(request, None)

    def count_refusal(self, service: str, verdict: NotRun | MayHaveRun) -> None:
        """Count a refusal that this daemon decided."""
        match verdict:
            case NotRun():
                self._record.count_refusal(service, self._read_wall())
            case MayHaveRun():
                self._record.count_unknown_outcome(service, self._read_wall())

    def count_broken_flows(self, service: str, amount: int) -> None:
        """Count flows that were lost."""
        self._record.count_broken_flows(service, self._read_wall(), amount)


__all__ = ["BurnCounter"]
