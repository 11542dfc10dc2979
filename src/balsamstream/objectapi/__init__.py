"""Client of the platform's object API."""

from __future__ import annotations

from .client import PlatformClient
from .errors import (
    Conflict,
    NotFound,
    PlatformError,
    RateLimited,
    Rejected,
    TooLarge,
    Unavailable,
)
from .objects import Listing, StoredObject
from .transport import HttpTransport, Transport
from .watch import Changed, Interrupted, Removed, Snapshot, WatchEvent

__all__ = [
    "Changed",
    "Conflict",
    "HttpTransport",
    "Interrupted",
    "Listing",
    "NotFound",
    "PlatformClient",
    "PlatformError",
    "RateLimited",
    "Rejected",
    "Removed",
    "Snapshot",
    "StoredObject",
    "TooLarge",
    "Transport",
    "Unavailable",
    "WatchEvent",
]
