"""Whether a request may have run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will: it is safe to repeat.

    Parameters
    ----------
    retry_after_s : float
        When the caller should come back, in seconds.
    reason : str
        Why the request was refused, for logs and metrics.
    """

    retry_after_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Run:
    """The request ran.

    Parameters
    ----------
    answer : bytes
        The backend server's whole answer.
    """

    answer: bytes


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nobody can tell whether the request ran; repeat it only if it is idempotent.

    Parameters
    ----------
    reason : str
        What is not known, for logs and metrics.
    """

    reason: str


Verdict = NotRun | Run | MayHaveRun

__all__ = ["MayHaveRun", "NotRun", "Run", "Verdict"]
