"""Whether a host may be given a new flow: what the gate enforces.

Fronts learn late, or not at all while they are cut off, that a host drains, is cold or
stands in a data centre that is taken out. All its packets pass the gate, so the gate
has the last word.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .cold_limit import ColdLimit
from .desired_state import Evacuations
from .heartbeat import HostState
from .messages import Decline, Hello, compute_service_tag

if TYPE_CHECKING:
    from .events import Events
    from .host_record import HostRecord

DEFAULT_IDLE_S: Final = 60.0


class Admission:
    """Judges new flows of one host.

    Parameters
    ----------
    events : Events
        Where changes are logged.
    host : HostRecord
        What the host has said of itself.
    service, data_centre : str
        Service and place of the host.

    Attributes
    ----------
    cold : ColdLimit
        How many flows a cold host is given.
    evacuations : Evacuations
        Which data centres are taken out.
    idle_s : float
        Time after which a silent flow may be forgotten, in seconds.
    """

    def __init__(
        self, events: Events, host: HostRecord, service: str, data_centre: str
    ) -> None:
        self._events = events
        self._host = host
        self._tag = compute_service_tag(service)
        self._data_centre = data_centre
        self._version = 0
        self._connections = 0
        self.cold = ColdLimit()
        self.evacuations = Evacuations()
        self.idle_s = DEFAULT_IDLE_S

    @property
    def is_out(self) -> bool:
        """Whether the host's data centre is taken out."""
        return self._data_centre in self.evacuations.data_centres

    def learn(self, hello: Hello, source: str) -> None:
        """Take over what a front knows of the operators' wishes, where it is later."""
        if hello.version and hello.version >= self._version:
            self._version = hello.version
            self.cold.set_rate(hello.cold_per_s)
            self._connections = hello.connections
            self.idle_s = hello.flow_idle_s
        if hello.evacuations <= self.evacuations.revision:
            return
        before = self.evacuations.data_centres
        self.evacuations = Evacuations(hello.evacuations, frozenset(hello.evacuated))
        if self.evacuations.data_centres == before:
            return
        self._events.emit(
            "evacuations",
            revision=self.evacuations.revision,
            out=sorted(self.evacuations.data_centres),
            source=source,
        )

    def judge(self, tag: int, flows: int, now: float) -> Decline | None:
        """Judge a new flow.

        Parameters
        ----------
        tag : int
            Stands for the service that the flow is for.
        flows : int
            Flows that the host holds.
        now : float
            Time, in seconds.

        Returns
        -------
        Decline or None
            Why the flow is not let in, None where it is.
        """
        if tag != self._tag:
            return Decline.WRONG_SERVICE
        match self._host.state:
            case HostState.DRAINING:
                return Decline.DRAINING
            case HostState.UNKNOWN | HostState.GONE:
                return Decline.NOT_READY
        if self.is_out:
            return Decline.EVACUATED
        if self._connections and flows >= self._connections:
            return Decline.FULL
        if not self.cold.take(now):
            return Decline.COLD
        return None


__all__ = ["Admission"]
