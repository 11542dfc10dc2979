"""Whether a request may have run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will: it is safe to repeat.

    Parameters
    ----------
    retry_after_s : float
        Time after which the caller should retry, in seconds.
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
    """It is unknown whether the request ran; repeat it only if it is idempotent.

    Parameters
    ----------
    reason : str
        Why that is unknown, for logs and metrics.
    """

    reason: str


Verdict = NotRun | Run | MayHaveRun

__all__ = ["MayHaveRun", "NotRun", "Run", "Verdict"]
