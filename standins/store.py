"""Object store with one version counter for all kinds, and events of changes."""

from __future__ import annotations

import copy
import json
import time
from collections import deque
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

KINDS: Final = {
    "profiles": "Profile",
    "services": "Service",
    "datacentres": "DataCentre",
    "views": "View",
    "balancers": "Balancer",
}
API_VERSION: Final = "balsamstream/v1"
MAX_OBJECT_BYTES: Final = 1_000_000

Document: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Event:
    """A change of an object.

    Attributes
    ----------
    version : int
        Version of the store after the change.
    type : str
        ``ADDED``, ``MODIFIED`` or ``DELETED``.
    plural : str
        Plural name of the kind, as in the path.
    document : Document
        The object after the change, or before its deletion.
    created_at : float
        Time of the change, in seconds of the monotonic clock.
    """

    version: int
    type: str
    plural: str
    document: Document
    created_at: float


class StoreError(Exception):
    """A rejected call, with the HTTP status and reason of its response."""

    def __init__(self, code: int, reason: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.reason = reason
        self.message = message


class Store:
    """Objects by kind and name, and the events of the latest changes.

    Parameters
    ----------
    history : int
        Number of events kept; older ones are compacted.
    """

    def __init__(self, history: int) -> None:
        self.version = 0
        self._compacted = 0
        self._history = history
        self._events: deque[Event] = deque()
        self._documents: dict[tuple[str, str], Document] = {}

    def read(self, plural: str, name: str) -> Document:
        """Return an object; raise a 404 if there is none."""
        _check_kind(plural)
        document = self._documents.get((plural, name))
        if document is None:
            raise StoreError(404, "NotFound", f"{plural}/{name} not found")
        return document

    def list_items(self, plural: str | None) -> list[Document]:
        """Return the objects of one kind or of all kinds, sorted by kind and name."""
        _check_kind(plural)
        keys = sorted(self._documents)
        return [self._documents[key] for key in keys if plural in (None, key[0])]

    def create(self, plural: str, document: Document) -> Document:
        """Create an object; raise a 409 if it exists."""
        _check_kind(plural)
        name = _check_document(plural, document)
        if (plural, name) in self._documents:
            raise StoreError(409, "AlreadyExists", f"{plural}/{name} exists already")
        return self._put(plural, name, document, "ADDED")

    def replace(self, plural: str, name: str, document: Document) -> Document:
        """Replace an object; raise a 409 if its stored version is not the given one."""
        stored = self.read(plural, name)
        if _check_document(plural, document) != name:
            raise StoreError(400, "BadRequest", "name differs from that in the path")
        _check_version(stored, document["metadata"].get("resourceVersion"))
        return self._put(plural, name, document, "MODIFIED")

    def delete(self, plural: str, name: str, version: str | None) -> Document:
        """Delete an object; raise a 409 if its stored version is not the given one."""
        stored = self.read(plural, name)
        _check_version(stored, version)
        del self._documents[plural, name]
        return self._append(plural, copy.deepcopy(stored), "DELETED")

    def read_events(self, plural: str | None, after: int) -> list[Event]:
        """Return the changes after a version; raise a 410 if some were compacted."""
        _check_kind(plural)
        if after < self._compacted:
            raise StoreError(410, "Expired", f"version {after} was compacted away")
        return [
            event
            for event in self._events
            if event.version > after and plural in (None, event.plural)
        ]

    def compact(self) -> None:
        """Discard all events."""
        self._events.clear()
        self._compacted = self.version

    def _put(self, plural: str, name: str, document: Document, change: str) -> Document:
        stored = copy.deepcopy(document)
        stored["apiVersion"] = API_VERSION
        stored["kind"] = KINDS[plural]
        self._append(plural, stored, change)
        self._documents[plural, name] = stored
        return stored

    def _append(self, plural: str, document: Document, change: str) -> Document:
        self.version += 1
        document["metadata"]["resourceVersion"] = str(self.version)
        event = Event(self.version, change, plural, document, time.monotonic())
        self._events.append(event)
        while len(self._events) > self._history:
            self._compacted = self._events.popleft().version
        return document


def _check_kind(plural: str | None) -> None:
    if plural is not None and plural not in KINDS:
        raise StoreError(404, "NotFound", f"no kind {plural}")


def _check_document(plural: str, document: Document) -> str:
    if not isinstance(document, dict) or not isinstance(document.get("metadata"), dict):
        raise StoreError(400, "BadRequest", "body is not an object with metadata")
    if document.get("kind", KINDS[plural]) != KINDS[plural]:
        raise StoreError(400, "BadRequest", f"the kind is not {KINDS[plural]}")
    name = document["metadata"].get("name")
    if not isinstance(name, str) or not name:
        raise StoreError(400, "BadRequest", "metadata has no name")
    if len(json.dumps(document).encode()) > MAX_OBJECT_BYTES:
        raise StoreError(413, "RequestEntityTooLarge", "larger than 1 MB")
    return name


def _check_version(stored: Document, version: str | None) -> None:
    current = stored["metadata"]["resourceVersion"]
    if version != current:
        message = f"the stored version is {current}, not {version}"
        raise StoreError(409, "Conflict", message)


__all__ = ["API_VERSION", "KINDS", "Document", "Event", "Store", "StoreError"]
