"""Placement of new flows on hosts.

Load pattern: short requests against hosts with few slots. A request on a busy host
waits for a whole earlier request while another host is idle, so the host with the
fewest requests in flight per slot is chosen. The front's own data centre is preferred
while it has a free slot, since answers between data centres are charged by the byte.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .heartbeat import HostState
from .messages import MS_PER_S
from .outliers import PROBE_INTERVAL_S, Use, is_in_quarter
from .round_trip import RoundTrip

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .messages import RouteReport

ALIVE_TIMEOUT_S: Final = 1.2
"""Silence of a gate after which it gets no new flows; it answers hellos twice a
second."""
COLD_FACTOR: Final = 2.0
"""Factor by which the load of a cold host is weighted."""
LOST_TIMEOUT_S: Final = 3.0
"""Time that a gate has to answer a hello before it is gone with its flows or
unreachable; a restart is shorter."""
EMPTY_TIMEOUT_S: Final = 0.3
"""The same for a gate that last reported no flows and a host that is not ready: only
flows opened since then may be there."""
RECENT_S: Final = 1.0
"""Age up to which a report tells what its gate held when it fell silent: two hellos."""
PROOF_TIMEOUT_S: Final = 0.1
"""Time that a gate at which no flow is expected has to answer a hello or a search."""
PROOF_LIFETIME_S: Final = 3.0
"""Time for which an unanswered hello tells that a gate is still away."""
REPORT_DELAY_S: Final = 0.005
"""Time from placing a flow until reports include it: a round trip between data centres
and some time at the gate."""
REPORT_MARGIN_S: Final = 0.002
"""Time at the gate from an opening packet to a report, added to a known round trip."""


_FULL: Final = Use.FULL
"""Read for each host at each placement; access to an enumeration member is slower."""


@dataclass(slots=True)
class Host:
    """State of a host and its gate, as a front knows it.

    Attributes
    ----------
    ip : str
        Address of the gate and the host.
    address : tuple of str and int
        Address and port on which the gate receives messages.
    gate_incarnation, sequence : int
        Incarnation of the gate's process and sequence number of its last report or load
        message.
    incarnation : int
        Incarnation of the host, in milliseconds since 1970; 0 if it is not known.
    name, service, data_centre : str
        Identifier, service and data centre of the host.
    state : HostState
        State of the host.
    slots : int
        Requests that the host processes at once.
    cold_until : float
        End of the cold start, in seconds of the loop's clock.
    in_flight, flows : int
        Requests in flight and open flows, as last reported.
    unreported : deque of float
        Times at which flows were placed that the last report cannot include.
    last_heard_at : float
        Time of the gate's last report or load message, in seconds.
    is_empty : bool
        Whether the last report said that the host is not ready and holds no flows.
    protocol : int
        Version of the messages that the gate understands.
    wait_s : float
        Expected time until the host begins to work on one more request, as last
        reported, in seconds.
    routes : list of RouteReport
        Recent answers of the host, as last reported.
    asked_at : float or None
        Time of the first hello that the gate has not answered, in seconds; None if it
        has answered since, or has not been asked.
    hello_at : float
        Time of the last hello to the gate, in seconds.
    avoid_until : float
        Time until which the host is a last resort, as it has declined a flow, in
        seconds.
    reported_at : float
        As `last_heard_at`, but pauses of this process count as age of the report.
    service_times : dict of int to float
        Median service time by route tag, as last reported, in seconds.
    round_trip : RoundTrip
        Round trip to the gate; stays unknown unless the front learns it.
    seed : int
        Number that differs from host to host, for hashes.
    use : Use
        Level at which the host is used for new flows.
    probe_due : float
        Time of the next flow that probes the host, in seconds.
    """

    ip: str
    address: tuple[str, int]
    gate_incarnation: int = 0
    sequence: int = -1
    incarnation: int = 0
    name: str = ""
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
    is_empty: bool = False
    protocol: int = 1
    wait_s: float = 0.0
    routes: list[RouteReport] = field(default_factory=list)
    asked_at: float | None = None
    hello_at: float = -1e9
    reported_at: float = -1e9
    service_times: dict[int, float] = field(default_factory=dict)
    round_trip: RoundTrip = field(default_factory=RoundTrip)
    seed: int = 0

    def __post_init__(self) -> None:
        self.seed = zlib.crc32(self.ip.encode())

    use: Use = Use.FULL
    probe_due: float = 0.0

    def is_alive(self, now: float) -> bool:
        """Return whether the gate has been heard within its timeout."""
        return now - self.last_heard_at < ALIVE_TIMEOUT_S

    def may_hold_flows(self, now: float) -> bool:
        """Return whether flows may be at the host: it has not left and is not lost."""
        return not self.explain_absence(now)

    def explain_absence(self, now: float) -> str:
        """Return why no flows may be at the host, empty if some may be."""
        if self.state is HostState.GONE and self._is_report_recent(now):
            return "gone"
        if self.asked_at is None:
            return ""
        is_empty = self.is_empty and self._is_report_recent(now)
        timeout_s = EMPTY_TIMEOUT_S if is_empty else LOST_TIMEOUT_S
        if now - self.asked_at < timeout_s:
            return ""
        return "empty" if is_empty else "silent"

    def _is_report_recent(self, now: float) -> bool:
        """Return whether the gate has reported just before it fell silent, if it has.

        A host may have come since an older report.
        """
        silent_since = now if self.asked_at is None else self.asked_at
        return silent_since - self.last_heard_at <= RECENT_S

    def record_asked(self, now: float) -> None:
        """Record that the gate was sent a hello, which it answers."""
        self.hello_at = now
        if self.asked_at is None:
            self.asked_at = now

    def is_proven_absent(self, now: float) -> bool:
        """Return whether the gate has just now failed to answer.

        What was last heard of it proves nothing if it may have changed since.
        """
        if self.asked_at is None:
            return False
        return PROOF_TIMEOUT_S <= now - self.hello_at <= PROOF_LIFETIME_S

    def record_load(self, in_flight: int, flows: int, now: float) -> None:
        """Record a reported load and drop the placements that it includes."""
        self.in_flight = in_flight
        self.flows = flows
        self.last_heard_at = now
        self.reported_at = now
        self.asked_at = None
        delay_s = REPORT_DELAY_S
        if self.round_trip.min_s is not None:
            delay_s = max(delay_s, self.round_trip.min_s + REPORT_MARGIN_S)
        while self.unreported and now - self.unreported[0] > delay_s:
            self.unreported.popleft()

    def record_routes(self, routes: list[RouteReport]) -> None:
        """Record the reported answers of the routes."""
        self.routes = routes
        self.service_times = {
            each.route_tag: each.service_ms / MS_PER_S
            for each in routes
            if each.answers > 0 and each.service_ms > 0.0
        }

    def record_placement(self, now: float) -> None:
        """Record that a flow was placed on the host."""
        self.unreported.append(now)
        self.probe_due = now + PROBE_INTERVAL_S

    def is_eligible(self, flow: bytes, now: float) -> bool:
        """Return whether the level of use allows the host to be chosen for a flow."""
        if self.use is _FULL:
            return True
        if self.use is Use.PROBE:
            return now >= self.probe_due
        return is_in_quarter(flow, self.ip)

    def estimate_queue(self, now: float) -> float:
        """Return the estimated requests per slot ahead of a new one.

        A cold host counts as more loaded than it reports.
        """
        queue = (self.in_flight + len(self.unreported)) / self.slots
        if now < self.cold_until:
            return queue * COLD_FACTOR + 1.0 / self.slots
        return queue


def is_usable(
    host: Host, evacuated: Collection[str], declined_by: Collection[str], now: float
) -> bool:
    """Return whether a new flow that some hosts have declined may go to a host."""
    if host.state is not HostState.READY or host.ip in declined_by:
        return False
    return host.data_centre not in evacuated and host.is_alive(now)


def choose_host(
    hosts: Iterable[Host],
    data_centre: str,
    evacuated: Collection[str],
    declined_by: Collection[str],
    now: float,
    flow: bytes = b"",
) -> Host | None:
    """Choose the host for a new flow.

    Hosts with a free slot go first, those of the front's data centre before others, and
    then by queue and open flows. Busy hosts and hosts to avoid go last, and after them
    hosts whose reduced use excludes the flow.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts of the service.
    data_centre : str
        Data centre of the front.
    evacuated : collection of str
        Data centres that get no new flows.
    declined_by : collection of str
        Hosts that have declined this flow, by address.
    now : float
        Time, in seconds.
    flow : bytes
        Key of the flow.

    Returns
    -------
    Host or None
        The host, or None if no host can take the flow.
    """
    best: Host | None = None
    best_rank = (False, 0, 0.0, 0)
    for host in hosts:
        if not is_usable(host, evacuated, declined_by, now):
            continue
        queue = host.estimate_queue(now)
        is_busy = queue >= 1.0 or now < host.avoid_until
        if is_busy:
            tier = 2
        else:
            tier = 0 if host.data_centre == data_centre else 1
        is_excluded = host.use is not _FULL and not host.is_eligible(flow, now)
        rank = (is_excluded, tier, queue, host.flows)
        if best is None or rank < best_rank:
            best, best_rank = host, rank
    return best


__all__ = ["Host", "choose_host", "is_usable"]
