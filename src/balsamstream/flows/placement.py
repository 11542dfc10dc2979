"""Which host a new flow is given.

Load pattern: short requests against hosts with few slots. A request that lands on a
busy host waits for a whole request before it, while another host is idle; so the host
with the least work in progress is taken, and the caller's own data centre as long as it
has a free slot, since answers that cross data centres are paid for by the byte.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .heartbeat import HostState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

ALIVE_TIMEOUT_S: Final = 1.2
"""A gate not heard for so long gets no new flows; it reports twice a second."""
COLD_FACTOR: Final = 2.0
"""A cold host counts as so many times as busy as it says."""
LOST_TIMEOUT_S: Final = 3.0
"""A gate silent for so long is gone with its flows or cut off; restarts are shorter."""
REPORT_DELAY_S: Final = 0.005
"""A report that comes so long after a flow was sent includes it: twice the way between
data centres, and some time at the gate."""


@dataclass(slots=True)
class Host:
    """What a front knows of a gate and the host behind it.

    Attributes
    ----------
    ip : str
        Address of both.
    address : tuple of str and int
        Where the gate takes messages.
    gate_incarnation, sequence : int
        Incarnation of the gate's process and sequence number of its last report.
    host, service, data_centre : str
        Identifier of the host, its service and place.
    state : HostState
        What the host is ready for.
    slots : int
        Requests that it processes at once.
    cold_until : float
        When it is warm, in seconds of the loop's clock.
    work, flows : int
        Its requests in progress and open flows, as last reported.
    unreported : deque of float
        When the new flows were sent there that the last report can't include.
    last_heard_at : float
        When the gate was last heard, in seconds.
    avoid_until : float
        It declined a flow and is left alone until then, in seconds.
    """

    ip: str
    address: tuple[str, int]
    gate_incarnation: int = 0
    sequence: int = -1
    host: str = ""
    service: str = ""
    data_centre: str = ""
    state: HostState = HostState.UNKNOWN
    slots: int = 1
    cold_until: float = 0.0
    in_flight: int = 0
    flows: int = 0
    unreported: deque[float] = field(default_factory=deque)
    last_heard_at: float = -1e9
    avoid_until: float = 0.0

    def is_alive(self, now: float) -> bool:
        """Tell whether the gate was heard lately."""
        return now - self.last_heard_at < ALIVE_TIMEOUT_S

    def may_hold_flows(self, now: float) -> bool:
        """Tell whether a flow that is not found elsewhere may be here."""
        return (
            self.state is not HostState.GONE
            and now - self.last_heard_at < LOST_TIMEOUT_S
        )

    def record_load(self, in_flight: int, flows: int, now: float) -> None:
        """Take over a report of the gate's load."""
        self.in_flight = in_flight
        self.flows = flows
        self.last_heard_at = now
        while self.unreported and now - self.unreported[0] > REPORT_DELAY_S:
            self.unreported.popleft()

    def record_placement(self, now: float) -> None:
        """Count a flow that was sent to the host."""
        self.unreported.append(now)

    def estimate_queue(self, now: float) -> float:
        """Return how many requests each slot has before a new one."""
        wait = (self.in_flight + len(self.unreported)) / self.slots
        if now < self.cold_until:
            return wait * COLD_FACTOR + 1.0 / self.slots
        return wait


def choose_host(
    hosts: Iterable[Host],
    data_centre: str,
    evacuated: Collection[str],
    declined_by: Collection[str],
    now: float,
) -> Host | None:
    """Choose the host of a new flow.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts of the service.
    data_centre : str
        Where the flow came in.
    evacuated : collection of str
        Data centres that get no new flows.
    declined_by : collection of str
        Hosts that have declined this flow, by address.
    now : float
        Time, in seconds.

    Returns
    -------
    Host or None
        None where no host can take the flow.
    """
    best: Host | None = None
    best_rank = (0, 0.0, 0)
    for host in hosts:
        if host.state is not HostState.READY or host.ip in declined_by:
            continue
        if host.data_centre in evacuated or not host.is_alive(now):
            continue
        wait = host.estimate_queue(now)
        is_busy = wait >= 1.0 or now < host.avoid_until
        if is_busy:
            tier = 2
        else:
            tier = 0 if host.data_centre == data_centre else 1
        rank = (tier, wait, host.flows)
        if best is None or rank < best_rank:
            best, best_rank = host, rank
    return best


__all__ = ["Host", "choose_host"]
