"""Reports of a gate on its host, and the fronts that they go to.

A gate answers the hellos of fronts. Fronts choose their gates themselves; so that each
gate hears of evacuations and limits in time, it also asks a few fronts for hellos.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .messages import (
    LOAD_MESSAGE,
    TIMED_LOAD_MESSAGE,
    TIMED_PROTOCOL,
    Hello,
    Kind,
    NodeName,
    Report,
    clamp_ms,
    encode_control,
)
from .roster import FrontRoster
from .subset import FRONTS_OF_GATE, choose_fronts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .events import Events
    from .heartbeat import HostState

LOAD_INTERVAL_S: Final = 0.01
"""Minimum time between two load messages; a request takes a few times as long."""
REPORT_INTERVAL_S: Final = 0.5
FRONT_TIMEOUT_S: Final = 4.0
"""Silence of a front after which it gets no more reports."""
MAX_REPORTED_LOAD: Final = 65_535
MAX_LOADS_PER_S: Final = 400
"""Load messages a second to all fronts together."""
MAX_KNOWN_FRONTS: Final = 64
ANNOUNCEMENTS: Final = 3
"""Reports of a gate that has started to each known front."""


class Reporter:
    """Reports the state and load of a host to the fronts that have sent a hello.

    Parameters
    ----------
    send : callable
        Sends a message to a node.
    events : Events
        Logs found and lost fronts.
    build_report : callable
        Builds a full report from an incarnation, a sequence number, whether a hello is
        asked for, and a time.
    count_in_flight : callable
        Counts the host's requests in flight and the packets that wait at the gate.
    ip, data_centre : str
        Address and data centre of the gate.
    incarnation : int
        Number drawn at each start of the process.
    now : float
        Time, in seconds.
    """

    def __init__(
        self,
        send: Callable[[str, bytes], None],
        events: Events,
        build_report: Callable[[int, int, bool, float], Report],
        count_in_flight: Callable[[], int],
        *,
        ip: str,
        data_centre: str,
        incarnation: int,
        now: float,
    ) -> None:
        self._send = send
        self._events = events
        self._build_report = build_report
        self._count_in_flight = count_in_flight
        self._ip = ip
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._sequence = 0
        self._known = FrontRoster()
        self._chosen: frozenset[str] = frozenset()
        self._announcements_left = 0
        self._load_due = now
        self._report_due = now

    @property
    def fronts(self) -> list[str]:
        """Addresses of the fronts that have sent a hello within the timeout."""
        return list(self._known.heard_at)

    def get_data_centre(self, front: str) -> str:
        """Return the data centre of a front, empty if it is not known."""
        return self._known.data_centres.get(front, "")

    def add_fronts(self, fronts: Iterable[tuple[str, str]], now: float) -> None:
        """Add fronts that the store or the settings name, and announce the host."""
        for ip, data_centre in fronts:
            if ip == self._ip or ip in self._known.data_centres:
                continue
            if len(self._known.data_centres) >= MAX_KNOWN_FRONTS:
                break
            self._known.add(ip, data_centre, now)
            self._known.sightings[ip].listed_at = now
        self._chosen = frozenset(self._choose_fronts())
        self._announcements_left = ANNOUNCEMENTS
        self._announce(now)

    def handle_hello(self, hello: Hello, sender: str, now: float) -> None:
        """Answer a front, and take over the fronts that it names."""
        if hello.is_leaving:
            if sender in self._known.heard_at:
                self._events.emit("front_lost", front=sender, reason="leaving")
            self._known.remove(sender)
            return
        if self._known.record_heard(sender, hello.data_centre, now, hello.protocol):
            self._events.emit("front_found", front=sender, version=hello.version)
        for name in hello.names:
            self._add_name(name, now)
        self.send_report([sender], now)

    def _add_name(self, name: NodeName, now: float) -> None:
        if name.service or name.ip == self._ip:
            return
        is_new = name.ip not in self._known.data_centres
        if is_new and len(self._known.data_centres) >= MAX_KNOWN_FRONTS:
            return
        self._known.add(name.ip, name.data_centre, now)
        self._known.sightings[name.ip].record_age(name.age_s, now)

    def send_report(self, ips: Iterable[str], now: float) -> None:
        """Send a full report to the given nodes."""
        for ip in ips:
            self._sequence += 1
            seeks_hello = ip in self._chosen
            report = self._build_report(
                self._incarnation, self._sequence, seeks_hello, now
            )
            self._send(ip, encode_control(report))

    def is_due(self, now: float) -> bool:
        """Return whether the next check of the fronts is due."""
        return now >= self._report_due

    def notify_fronts(self, now: float) -> None:
        """Send a full report to all fronts that are in contact."""
        self.send_report(self.fronts, now)

    def tick(self, now: float) -> None:
        """Expire silent fronts, and ask the chosen ones for hellos."""
        self._report_due = now + REPORT_INTERVAL_S
        for ip in self._known.remove_silent(FRONT_TIMEOUT_S, now):
            self._events.emit("front_lost", front=ip, reason="silent")
        self._known.remove_expired(now)
        self._chosen = frozenset(self._choose_fronts())
        silent = [ip for ip in self._chosen if ip not in self._known.heard_at]
        self.send_report(silent, now)
        self._announce(now)

    def _announce(self, now: float) -> None:
        """Report to all known fronts, some times as datagrams may be lost."""
        if self._announcements_left == 0:
            return
        self._announcements_left -= 1
        self.send_report(list(self._known.data_centres), now)

    def _choose_fronts(self) -> list[str]:
        return choose_fronts(
            self._ip,
            self._data_centre,
            self._known.data_centres.items(),
            self._known.heard_at.__contains__,
            local=FRONTS_OF_GATE - 1,
            remote=1,
        )

    def may_send_load(self, now: float) -> bool:
        """Return whether the minimum time since the last load message has passed."""
        return now >= self._load_due

    def send_load(
        self, flows: int, state: HostState, wait_s: float, now: float
    ) -> None:
        """Send the load of the host to all fronts that are in contact.

        Parameters
        ----------
        flows : int
            Flows that the host holds.
        state : HostState
            State of the host.
        wait_s : float
            Expected time until the host begins to work on one more request, in
            seconds; only fronts that understand it get it.
        now : float
            Time, in seconds.
        """
        fronts = self._known.heard_at
        self._load_due = now + max(LOAD_INTERVAL_S, len(fronts) / MAX_LOADS_PER_S)
        self._sequence += 1
        in_flight = min(self._count_in_flight(), MAX_REPORTED_LOAD)
        flows = min(flows, MAX_REPORTED_LOAD)
        values = (self._sequence, in_flight, flows, state)
        load = LOAD_MESSAGE.pack(Kind.LOAD, *values)
        timed = TIMED_LOAD_MESSAGE.pack(Kind.TIMED_LOAD, *values, clamp_ms(wait_s))
        for ip in fronts:
            is_timed = self._known.protocols[ip] >= TIMED_PROTOCOL
            self._send(ip, timed if is_timed else load)

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Exclude a pause of this process from the silence of fronts."""
        self._known.handle_pause(gap_s)
        self._report_due = now


__all__ = ["Reporter"]
