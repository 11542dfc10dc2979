"""Objects of the platform's store and the results of calls to it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias


class ObjectKind(enum.Enum):
    """Kinds of objects in the store; the value is the kind's path segment."""

    DESIRED_STATE = "config"
    EVACUATIONS = "evacuations"
    # Entries of nodes, and the open flows of each front; not kinds of the platform.
    NODES = "nodes"
    FLOWS = "flows"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object, or its deletion.

    Attributes
    ----------
    name : str
        Name within its kind.
    revision : int
        Revision of the store at the object's last change.
    content : bytes
        Spec of the object, as JSON.
    is_deleted : bool
        Whether the object was deleted.
    era : int
        Era of the store in which the object was read.
    """

    name: str
    revision: int
    content: bytes
    is_deleted: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Era and revision of the store; the order in which its states followed.

    Attributes
    ----------
    era : int
        Rises when the store is restored from a copy and gives out revisions again.
    revision : int
        Rises with each change within an era.
    """

    era: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision.

    Attributes
    ----------
    position : StorePosition
        Era and revision of the store at which the listing was made.
    objects : tuple of StoredObject
        The objects.
    """

    position: StorePosition
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes to objects of a kind after a revision.

    Attributes
    ----------
    position : StorePosition
        Era and revision from which to continue the watch.
    objects : tuple of StoredObject
        Changed and deleted objects, in order.
    """

    position: StorePosition
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes since that revision; list the objects."""


@dataclass(frozen=True, slots=True)
class NotStored:
    """There is no readable object of that name."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable response; a write may have taken effect or may do so later.

    Attributes
    ----------
    reason : str
        Error of the call, for logs.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect or was not needed.

    Attributes
    ----------
    current : StoredObject or None
        The object now; None if it is gone or the response does not show it.
    """

    current: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object has changed since it was read, or it already exists.

    Attributes
    ----------
    current : StoredObject or None
        The object now; None if it is gone or the response does not show it.
    """

    current: StoredObject | None = None


ListResult: TypeAlias = Listing | Unavailable
WatchResult: TypeAlias = Changes | HistoryGone | Unavailable
WriteResult: TypeAlias = Written | Conflict | Unavailable


__all__ = [
    "Changes",
    "Conflict",
    "HistoryGone",
    "ListResult",
    "Listing",
    "NotStored",
    "ObjectKind",
    "StorePosition",
    "StoredObject",
    "Unavailable",
    "WatchResult",
    "WriteResult",
    "Written",
]
