"""Reports of a gate on its host, and the fronts that they go to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .messages import LOAD_MESSAGE, Hello, Kind, Report, encode_control

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import Events
    from .heartbeat import HostState

LOAD_INTERVAL_S: Final = 0.01
"""Minimum time between two load messages; a request takes a few times as long."""
REPORT_INTERVAL_S: Final = 0.5
FRONT_TIMEOUT_S: Final = 4.0
"""Silence of a front after which it gets no more reports."""
MAX_REPORTED_LOAD: Final = 65_535


class Reporter:
    """Reports the state and load of a host to the fronts that have sent a hello.

    Parameters
    ----------
    send : callable
        Sends a message to a node.
    events : Events
        Logs found and lost fronts.
    build_report : callable
        Builds a full report from an incarnation, a sequence number and a time.
    count_in_flight : callable
        Counts the host's requests in flight and the packets that wait at the gate.
    incarnation : int
        Number drawn at each start of the process.
    now : float
        Time, in seconds.
    """

    def __init__(
        self,
        send: Callable[[str, bytes], None],
        events: Events,
        build_report: Callable[[int, int, float], Report],
        count_in_flight: Callable[[], int],
        *,
        incarnation: int,
        now: float,
    ) -> None:
        self._send = send
        self._events = events
        self._build_report = build_report
        self._count_in_flight = count_in_flight
        self._incarnation = incarnation
        self._sequence = 0
        self._fronts: dict[str, float] = {}
        self._load_due = now
        self._report_due = now

    @property
    def fronts(self) -> list[str]:
        """Addresses of the fronts that have sent a hello within the timeout."""
        return list(self._fronts)

    def handle_hello(self, hello: Hello, sender: str, now: float) -> None:
        """Record a front, and report to it and to the unknown fronts that it names."""
        if hello.is_leaving:
            if self._fronts.pop(sender, None) is not None:
                self._events.emit("front_lost", front=sender, reason="leaving")
            return
        if sender not in self._fronts:
            self._events.emit("front_found", front=sender, version=hello.version)
        self._fronts[sender] = now
        self.send_report([sender], now)
        self.send_report([ip for ip in hello.fronts if ip not in self._fronts], now)

    def send_report(self, ips: list[str], now: float) -> None:
        """Send a full report to the given nodes."""
        if not ips:
            return
        report = self._build_report_message(now)
        for ip in ips:
            self._send(ip, report)

    def is_due(self, now: float) -> bool:
        """Return whether the next full report is due."""
        return now >= self._report_due

    def send_reports(self, now: float) -> None:
        """Remove silent fronts and send a full report to the others."""
        self._report_due = now + REPORT_INTERVAL_S
        for ip, last_heard_at in list(self._fronts.items()):
            if now - last_heard_at > FRONT_TIMEOUT_S:
                del self._fronts[ip]
                self._events.emit("front_lost", front=ip, reason="silent")
        self.send_report(self.fronts, now)

    def may_send_load(self, now: float) -> bool:
        """Return whether the minimum time since the last load message has passed."""
        return now >= self._load_due

    def send_load(self, flows: int, state: HostState, now: float) -> None:
        """Send the load of the host to all fronts."""
        self._load_due = now + LOAD_INTERVAL_S
        self._sequence += 1
        in_flight = min(self._count_in_flight(), MAX_REPORTED_LOAD)
        flows = min(flows, MAX_REPORTED_LOAD)
        load = LOAD_MESSAGE.pack(Kind.LOAD, self._sequence, in_flight, flows, state)
        for ip in self._fronts:
            self._send(ip, load)

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Exclude a pause of this process from the silence of fronts."""
        for ip in self._fronts:
            self._fronts[ip] += gap_s
        self._report_due = now

    def _build_report_message(self, now: float) -> bytes:
        self._sequence += 1
        return encode_control(
            self._build_report(self._incarnation, self._sequence, now)
        )


__all__ = ["Reporter"]
