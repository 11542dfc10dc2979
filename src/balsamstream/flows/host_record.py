"""What a gate knows of its host, from the host's own heartbeats."""

from __future__ import annotations

import enum
from dataclasses import replace
from typing import Final

from .heartbeat import Heartbeat, HostState, is_newer

MISSED_HEARTBEATS: Final = 3.5
"""Heartbeat intervals without a word after which a host is not offered flows."""


class HeartbeatOutcome(enum.Enum):
    """What came of a heartbeat."""

    OTHER_SERVICE = enum.auto()
    LATE = enum.auto()
    SAME_INCARNATION = enum.auto()
    NEW_INCARNATION = enum.auto()


class HostRecord:
    """The last accepted heartbeat of a host, and when it came.

    Parameters
    ----------
    service : str
        The service that the host is known to serve.
    heartbeat_s : float
        Time between heartbeats, in seconds.
    now : float
        Time, in seconds.
    """

    def __init__(self, service: str, heartbeat_s: float, now: float) -> None:
        self._service = service
        self._timeout_s = heartbeat_s * MISSED_HEARTBEATS
        self._last_heartbeat: Heartbeat | None = None
        self._last_heard_at = now
        self._is_silent = False

    @property
    def state(self) -> HostState:
        """What the host is ready for."""
        if self._last_heartbeat is None or self._is_silent:
            return HostState.UNKNOWN
        return self._last_heartbeat.state

    @property
    def name(self) -> str:
        """Identifier of the host, empty where it is not known."""
        return "" if self._last_heartbeat is None else self._last_heartbeat.host

    @property
    def incarnation(self) -> int:
        """Start of the host's run, 0 where it is not known."""
        return 0 if self._last_heartbeat is None else self._last_heartbeat.incarnation

    @property
    def slots(self) -> int:
        """Requests that the host processes at once."""
        return 1 if self._last_heartbeat is None else self._last_heartbeat.slots

    def get_heartbeat_age_s(self, now: float) -> float:
        """Return how old the last heartbeat is, in seconds."""
        return now - self._last_heard_at

    def get_cold_left_s(self, now: float) -> float:
        """Return how much longer the host is cold, in seconds."""
        if self._last_heartbeat is None:
            return 0.0
        return max(0.0, self._last_heard_at + self._last_heartbeat.cold_left_s - now)

    def apply(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Take a heartbeat."""
        known = self._last_heartbeat
        if heartbeat.service != self._service:
            return HeartbeatOutcome.OTHER_SERVICE
        if not is_newer(heartbeat, known):
            return HeartbeatOutcome.LATE
        self._last_heartbeat = heartbeat
        self._last_heard_at = now
        self._is_silent = False
        if known is None or known.incarnation != heartbeat.incarnation:
            return HeartbeatOutcome.NEW_INCARNATION
        return HeartbeatOutcome.SAME_INCARNATION

    def record_leave(self, host: str) -> bool:
        """Take a host's word that it leaves for good; False for another host."""
        known = self._last_heartbeat
        if known is None or known.host != host:
            return False
        self._last_heartbeat = replace(known, state=HostState.GONE, cold_left_s=0.0)
        return True

    def expire_heartbeat(self, now: float) -> bool:
        """Notice missing heartbeats; tell whether that changes the host's state."""
        if self.state not in (HostState.READY, HostState.DRAINING):
            return False
        self._is_silent = now - self._last_heard_at > self._timeout_s
        return self._is_silent

    def handle_pause(self, gap_s: float) -> None:
        """Leave out a time in which nothing could be heard."""
        self._last_heard_at += gap_s


__all__ = ["MISSED_HEARTBEATS", "HostRecord", "HeartbeatOutcome"]
