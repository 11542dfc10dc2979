"""Paths of the platform's API and interpretation of its responses."""

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
    from .transport import Response

ROOT: Final = "/apis/balsamstream/v1"


def build_path(kind: Kind, name: str | None = None) -> str:
    """Build the path of a kind, or of one object if a name is given."""
    path = f"{ROOT}/{kind.plural}"
    if name is None:
        return path
    return f"{path}/{quote(name, safe='')}"


def check_status(method: str, response: Response) -> Result[Response, PlatformError]:
    """Return a successful response, or the error that its status code stands for."""
    match response.status:
        case 200 | 201:
            return Success(response)
        case 404:
            return Failure(NotFound())
        case 409:
            return Failure(Conflict(None))
        case 413:
            return Failure(TooLarge())
        case 429:
            return Failure(RateLimited(response.retry_after_s))
        case status if status >= 500:
            text = f"the platform responded with status {status}"
            return Failure(Unavailable(method != "GET", text))
        case status:
            text = response.body[:200].decode("utf-8", "replace")
            return Failure(Rejected(status, text))


def parse_object(response: Response) -> Result[StoredObject, PlatformError]:
    """Parse the response to a read of one object."""
    try:
        return Success(read_object(response.body))
    except ValueError:
        return Failure(
            Unavailable(False, "the platform's response is not a valid object")
        )


def parse_listing(response: Response) -> Result[Listing, PlatformError]:
    """Parse the response to a read of a list."""
    try:
        return Success(read_listing(response.body))
    except ValueError:
        return Failure(
            Unavailable(False, "the platform's response is not a valid list")
        )


def parse_written_object(response: Response) -> Result[StoredObject, PlatformError]:
    """Parse the response to an accepted write, which holds the written object."""
    try:
        return Success(read_object(response.body))
    except ValueError:
        return Failure(
            Unavailable(True, "the platform's response is not a valid object")
        )


__all__ = [
    "ROOT",
    "build_path",
    "check_status",
    "parse_listing",
    "parse_object",
    "parse_written_object",
]
