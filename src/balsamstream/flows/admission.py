"""Admission of new flows to a host, enforced by its gate.

A front may receive late, or while it is partitioned not at all, the news that a host is
draining or cold or that its data centre is evacuated. All packets of the host pass its
gate, so the gate makes the final decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .cold_limit import ColdLimit
from .desired_state import Evacuations
from .evacuation_record import EvacuationRecord
from .heartbeat import HostState
from .messages import DeclineReason, Hello, compute_service_tag

if TYPE_CHECKING:
    from .events import Events
    from .host_record import HostRecord

DEFAULT_IDLE_S: Final = 60.0


class Admission:
    """Decides whether a host may get a new flow.

    Parameters
    ----------
    events : Events
        Logs changes of the evacuations.
    host : HostRecord
        Last heartbeat of the host.
    service, data_centre : str
        Service and data centre of the host.

    Attributes
    ----------
    cold_limit : ColdLimit
        Rate limit while the host is cold.
    evacuations : EvacuationRecord
        Evacuations in force.
    idle_s : float
        Time without a packet after which a flow may be discarded, in seconds.
    """

    def __init__(
        self, events: Events, host: HostRecord, service: str, data_centre: str
    ) -> None:
        self._host = host
        self._service = service
        self._service_tag = compute_service_tag(service)
        self._data_centre = data_centre
        self._version = 0
        self._max_flows = 0
        self.cold_limit = ColdLimit()
        self.evacuations = EvacuationRecord(events)
        self.idle_s = DEFAULT_IDLE_S

    @property
    def is_evacuated(self) -> bool:
        """Whether the host's data centre is evacuated."""
        return self._data_centre in self.evacuations.data_centres

    def apply_hello(self, hello: Hello, source: str, now: float) -> None:
        """Adopt the limits and the evacuations of a front's hello, unless outdated."""
        is_for_host = hello.service == self._service
        if is_for_host and hello.version and hello.version >= self._version:
            self._version = hello.version
            self.cold_limit.set_rate(hello.cold_per_s)
            self._max_flows = hello.max_flows
            self.idle_s = hello.flow_idle_s
        evacuations = Evacuations(
            hello.evacuations_era,
            hello.evacuations_revision,
            frozenset(hello.evacuated),
        )
        self.evacuations.apply(evacuations, source, now)

    def check_flow(
        self, service_tag: int, flows: int, now: float
    ) -> DeclineReason | None:
        """Check whether a new flow may be dispatched to the host.

        A flow that is admitted to a cold host takes a token of its rate limit.

        Parameters
        ----------
        service_tag : int
            Tag of the service that the flow is for.
        flows : int
            Flows that the host holds.
        now : float
            Time, in seconds.

        Returns
        -------
        DeclineReason or None
            Why the flow is declined, or None if it is admitted.
        """
        if service_tag != self._service_tag:
            return DeclineReason.WRONG_SERVICE
        match self._host.state:
            case HostState.DRAINING:
                return DeclineReason.DRAINING
            case HostState.UNKNOWN | HostState.GONE:
                return DeclineReason.NOT_READY
        if self.is_evacuated:
            return DeclineReason.EVACUATED
        if self._max_flows and flows >= self._max_flows:
            return DeclineReason.FULL
        if not self.cold_limit.try_acquire(now):
            return DeclineReason.COLD
        return None


__all__ = ["Admission"]
