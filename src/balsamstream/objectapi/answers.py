"""Paths of the platform's API and what its answers mean."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .errors import (
    Conflict,
    NotFound,
    PlatformError,
    RateLimited,
    Rejected,
    TooLarge,
    Unavailable,
)
from .objects import Listing, StoredObject, read_listing, read_object

if TYPE_CHECKING:
    from ..config import Kind
    from .transport import Answer

ROOT: Final = "/apis/balsamstream/v1"


def build_path(kind: Kind, name: str | None = None) -> str:
    """Build the path of a kind or of one object."""
    path = f"{ROOT}/{kind.plural}"
    if name is None:
        return path
    return f"{path}/{quote(name, safe='')}"


def judge_answer(method: str, answer: Answer) -> Result[Answer, PlatformError]:
    """Tell an answer that can be used from each kind of failure."""
    match answer.status:
        case 200 | 201:
            return Success(answer)
        case 404:
            return Failure(NotFound())
        case 409:
            return Failure(Conflict(None))
        case 413:
            return Failure(TooLarge())
        case 429:
            return Failure(RateLimited(answer.retry_after_s))
        case status if status >= 500:
            text = f"the platform answered {status}"
            return Failure(Unavailable(method != "GET", text))
        case status:
            text = answer.body[:200].decode("utf-8", "replace")
            return Failure(Rejected(status, text))


def parse_object_answer(answer: Answer) -> Result[StoredObject, PlatformError]:
    """Read the object that a read answered with."""
    try:
        return Success(read_object(answer.body))
    except ValueError:
        return Failure(Unavailable(False, "the platform's answer is no object"))


def parse_listing_answer(answer: Answer) -> Result[Listing, PlatformError]:
    """Read the list that a read answered with."""
    try:
        return Success(read_listing(answer.body))
    except ValueError:
        return Failure(Unavailable(False, "the platform's answer is no list"))


def parse_written_answer(answer: Answer) -> Result[StoredObject, PlatformError]:
    """Read the object that an accepted write answered with."""
    try:
        return Success(read_object(answer.body))
    except ValueError:
        return Failure(Unavailable(True, "the platform's answer is no object"))


__all__ = [
    "ROOT",
    "build_path",
    "judge_answer",
    "parse_listing_answer",
    "parse_object_answer",
    "parse_written_answer",
]
