"""Errors of calls to the platform, returned as values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from .objects import StoredObject


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object's version differs from the one that the write was based on.

    Attributes
    ----------
    current : StoredObject or None
        The current object, or None if it was deleted or could not be read.
    may_have_taken_effect : bool
        Whether the write may have taken effect before another replaced it.
    """

    current: StoredObject | None
    may_have_taken_effect: bool = False


@dataclass(frozen=True, slots=True)
class NotFound:
    """The object does not exist."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform could not be reached or did not respond usably.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the write may have taken effect or may still take effect.
    text : str
        Description of the failure.
    """

    may_have_taken_effect: bool
    text: str = ""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The platform's rate limit refused the call, which had no effect.

    Attributes
    ----------
    retry_after_s : float
        Time to wait before the next attempt, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The object exceeds the platform's size limit."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The platform refused the call, which had no effect; a retry will not help.

    Attributes
    ----------
    status : int
        Status code of the response.
    text : str
        Start of the response body.
    """

    status: int
    text: str


PlatformError: TypeAlias = (
    Conflict | NotFound | Unavailable | RateLimited | TooLarge | Rejected
)

__all__ = [
    "Conflict",
    "NotFound",
    "PlatformError",
    "RateLimited",
    "Rejected",
    "TooLarge",
    "Unavailable",
]
