"""What a gate knows of its host, from the host's own heartbeats."""

from __future__ import annotations

import enum
from dataclasses import replace
from typing import Final

from .heartbeat import Heartbeat, HostState, is_later

MISSED_HEARTBEATS: Final = 3.5
"""Heartbeat intervals without a word after which a host is not offered flows."""


class Taken(enum.Enum):
    """What came of a heartbeat."""

    OTHER_SERVICE = enum.auto()
    LATE = enum.auto()
    KNOWN = enum.auto()
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
        self._silent_s = heartbeat_s * MISSED_HEARTBEATS
        self._announced: Heartbeat | None = None
        self._heard_at = now
        self._is_silent = False

    @property
    def state(self) -> HostState:
        """What the host is ready for."""
        if self._announced is None or self._is_silent:
            return HostState.UNKNOWN
        return self._announced.state

    @property
    def name(self) -> str:
        """Identifier of the host, empty where it is not known."""
        return "" if self._announced is None else self._announced.host

    @property
    def incarnation(self) -> int:
        """Start of the host's run, 0 where it is not known."""
        return 0 if self._announced is None else self._announced.incarnation

    @property
    def slots(self) -> int:
        """Requests that the host processes at once."""
        return 1 if self._announced is None else self._announced.slots

    def get_age_s(self, now: float) -> float:
        """Return how old the last heartbeat is, in seconds."""
        return now - self._heard_at

    def get_cold_left_s(self, now: float) -> float:
        """Return how much longer the host is cold, in seconds."""
        if self._announced is None:
            return 0.0
        return max(0.0, self._heard_at + self._announced.cold_left_s - now)

    def take(self, heartbeat: Heartbeat, now: float) -> Taken:
        """Take a heartbeat."""
        known = self._announced
        if heartbeat.service != self._service:
            return Taken.OTHER_SERVICE
        if not is_later(heartbeat, known):
            return Taken.LATE
        self._announced = heartbeat
        self._heard_at = now
        self._is_silent = False
        if known is None or known.incarnation != heartbeat.incarnation:
            return Taken.NEW_INCARNATION
        return Taken.KNOWN

    def leave(self, host: str) -> bool:
        """Take a host's word that it leaves for good; False for another host."""
        known = self._announced
        if known is None or known.host != host:
            return False
        self._announced = replace(known, state=HostState.GONE, cold_left_s=0.0)
        return True

    def check_silence(self, now: float) -> bool:
        """Notice missing heartbeats; tell whether that changes the host's state."""
        if self.state not in (HostState.READY, HostState.DRAINING):
            return False
        self._is_silent = now - self._heard_at > self._silent_s
        return self._is_silent

    def handle_pause(self, gap_s: float) -> None:
        """Leave out a time in which nothing could be heard."""
        self._heard_at += gap_s


__all__ = ["MISSED_HEARTBEATS", "HostRecord", "Taken"]
