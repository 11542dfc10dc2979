"""State of the host beside a gate, as its heartbeats report it."""

from __future__ import annotations

import enum
from dataclasses import replace
from typing import Final

from .heartbeat import Heartbeat, HostState, is_newer

MISSED_HEARTBEATS: Final = 3.5
"""Heartbeat intervals without a heartbeat after which a host gets no new flows."""
HEARTBEATS_TO_CHECK: Final = 2.0
"""Heartbeat intervals without a heartbeat after which there may be no host."""


class HeartbeatOutcome(enum.Enum):
    """Result of applying a heartbeat."""

    OTHER_SERVICE = enum.auto()
    LATE = enum.auto()
    SAME_INCARNATION = enum.auto()
    NEW_INCARNATION = enum.auto()


class HostRecord:
    """The last accepted heartbeat of a host and the time of its arrival.

    Parameters
    ----------
    service : str
        Service that the host is configured to serve.
    heartbeat_s : float
        Time between heartbeats, in seconds.
    now : float
        Time, in seconds.
    """

    def __init__(self, service: str, heartbeat_s: float, now: float) -> None:
        self._service = service
        self._timeout_s = heartbeat_s * MISSED_HEARTBEATS
        self._check_s = heartbeat_s * HEARTBEATS_TO_CHECK
        self._last_heartbeat: Heartbeat | None = None
        self._last_heard_at = now
        self._is_silent = False

    @property
    def state(self) -> HostState:
        """State of the host; unknown before its first heartbeat or while silent."""
        if self._last_heartbeat is None or self._is_silent:
            return HostState.UNKNOWN
        return self._last_heartbeat.state

    @property
    def name(self) -> str:
        """Identifier of the host, empty before its first heartbeat."""
        return "" if self._last_heartbeat is None else self._last_heartbeat.host

    @property
    def incarnation(self) -> int:
        """Incarnation of the host, 0 before its first heartbeat."""
        return 0 if self._last_heartbeat is None else self._last_heartbeat.incarnation

    @property
    def slots(self) -> int:
        """Requests that the host processes at once, 1 before its first heartbeat."""
        return 1 if self._last_heartbeat is None else self._last_heartbeat.slots

    def was_heard_since(self, at: float) -> bool:
        """Return whether a heartbeat has arrived since a time, in seconds."""
        return self._last_heartbeat is not None and self._last_heard_at >= at

    def may_be_absent(self, now: float) -> bool:
        """Return whether the host has left, or is silent, so that it may be away.

        Neither proves it: its heartbeats may be lost or late, and so may be the last
        message of a host that ran before under the same name.
        """
        if self.state is HostState.GONE:
            return True
        return now - self._last_heard_at >= self._check_s

    def get_heartbeat_age_s(self, now: float) -> float:
        """Return the time since the last heartbeat, in seconds."""
        return now - self._last_heard_at

    def get_cold_left_s(self, now: float) -> float:
        """Return the remaining time of the host's cold start, in seconds."""
        if self._last_heartbeat is None:
            return 0.0
        return max(0.0, self._last_heard_at + self._last_heartbeat.cold_left_s - now)

    def apply(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Adopt a heartbeat if it is of the right service and newer."""
        last = self._last_heartbeat
        if heartbeat.service != self._service:
            return HeartbeatOutcome.OTHER_SERVICE
        if not is_newer(heartbeat, last):
            return HeartbeatOutcome.LATE
        self._last_heartbeat = heartbeat
        self._last_heard_at = now
        self._is_silent = False
        if last is None or last.incarnation != heartbeat.incarnation:
            return HeartbeatOutcome.NEW_INCARNATION
        return HeartbeatOutcome.SAME_INCARNATION

    def record_leave(self, host: str) -> bool:
        """Mark the host as gone until its next incarnation; False for another host."""
        last = self._last_heartbeat
        if last is None or last.host != host:
            return False
        self._last_heartbeat = replace(last, state=HostState.GONE, cold_left_s=0.0)
        return True

    def expire_heartbeat(self, now: float) -> bool:
        """Mark the host as silent after missed heartbeats; True if that is new."""
        if self.state not in (HostState.READY, HostState.DRAINING):
            return False
        self._is_silent = now - self._last_heard_at > self._timeout_s
        return self._is_silent

    def handle_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the host's silence."""
        self._last_heard_at += gap_s


__all__ = ["MISSED_HEARTBEATS", "HeartbeatOutcome", "HostRecord"]
