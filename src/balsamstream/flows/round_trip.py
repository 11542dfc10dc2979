"""Round trip from a front to a gate, learned from hellos and the reports that answer.

Load pattern: data centres some milliseconds apart, where the way to a host in another
one takes as long as the work on a request. A gate also reports unasked, and answers may
be lost or overtaken, so that a sample may be too short. A hello gives a sample only if
the one before was answered and exactly one report arrived until the next.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

GENERATION_S: Final = 30.0
"""Time after which the older of two minima is dropped: they cover half a minute to a
minute."""
ANSWER_TIMEOUT_S: Final = 3.0
"""Time after which an answer to a hello is no longer expected."""


@dataclass(slots=True)
class RoundTrip:
    """Minimum of the round trips to one gate.

    Attributes
    ----------
    min_s : float or None
        Shortest round trip of the last minute, in seconds; None if none is known.
    """

    min_s: float | None = None
    _young_s: float | None = None
    _old_s: float | None = None
    _rotated_at: float = -1e9
    _sent_at: float = -1e9
    _sample_s: float = 0.0
    _reports: int = 1
    _is_unambiguous: bool = False

    def record_hello(self, now: float) -> None:
        """Record that a hello was sent, and settle the one before."""
        if self._reports == 1 and self._is_unambiguous:
            self._add(self._sample_s)
        if now - self._rotated_at >= GENERATION_S:
            self._rotate(now)
        is_expired = now - self._sent_at > ANSWER_TIMEOUT_S
        self._is_unambiguous = self._reports == 1 or is_expired
        self._sent_at = now
        self._reports = 0

    def record_report(self, now: float) -> None:
        """Record that a report arrived, whether or not a hello asked for it."""
        self._reports += 1
        self._sample_s = now - self._sent_at

    def _add(self, sample_s: float) -> None:
        if self._young_s is None or sample_s < self._young_s:
            self._young_s = sample_s
        if self.min_s is None or sample_s < self.min_s:
            self.min_s = sample_s

    def _rotate(self, now: float) -> None:
        self._rotated_at = now
        self._old_s = self._young_s
        self._young_s = None
        self.min_s = self._old_s


__all__ = ["RoundTrip"]
