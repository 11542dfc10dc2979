"""What a call to the platform can fail with."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from .objects import StoredObject


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object is not at the version that the write was to replace.

    Attributes
    ----------
    current : StoredObject or None
        The object as it is, None where it was deleted or could not be read.
    may_have_taken_effect : bool
        Whether the write may have been in force before another replaced it.
    """

    current: StoredObject | None
    may_have_taken_effect: bool = False


@dataclass(frozen=True, slots=True)
class NotFound:
    """There is no such object."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no usable answer.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the write may be in force or may come into force yet.
    text : str
        What was seen.
    """

    may_have_taken_effect: bool
    text: str = ""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The platform's rate limit refused the call, which had no effect.

    Attributes
    ----------
    retry_after_s : float
        When to try again, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The object is above the platform's limit of size."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The platform refused the call for good, without effect.

    Attributes
    ----------
    status : int
        Status code of the answer.
    text : str
        What the platform said.
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
