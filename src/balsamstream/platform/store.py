"""Client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from balsamstream.http.client import ClientResponse, HttpClient
from balsamstream.http.hedge import HedgedClient

from .stored_objects import (
    Changes,
    Conflict,
    HistoryGone,
    Listing,
    ListResult,
    NotStored,
    ObjectKind,
    StoredObject,
    StorePosition,
    Unavailable,
    WatchResult,
    WriteResult,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

OBJECTS_PATH: Final = "/balsamstream/objects"
DESIRED_STATE_NAME: Final = "main"
"""Name of the only object of its kind that is used."""
CALL_TIMEOUT_S: Final = 3.0
MAX_WATCH_MS: Final = 30_000
"""The store's upper bound for the wait time of a watch."""
WATCH_MARGIN_S: Final = 2.0

ERA_HEADER: Final = "store-era"
"""Header of each response; its number rises when the store is restored from a copy."""
_OK: Final = 200
_CREATED: Final = 201
_MISSING: Final = 404
_CONFLICT: Final = 409
_HISTORY_GONE: Final = 410


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _List(msgspec.Struct):
    # Decoded one by one, so that a malformed object does not invalidate the others.
    items: list[msgspec.Raw]
    as_of: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    tombstone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    as_of: int


_LIST_DECODER: Final = msgspec.json.Decoder(_List)
_EVENTS_DECODER: Final = msgspec.json.Decoder(_Events)
_OBJECT_DECODER: Final = msgspec.json.Decoder(_Object)
_NO_OBJECT: Final = Conflict()


class StoreClient:
    """Client of the store that makes one call at a time.

    Parameters
    ----------
    host, port : str, int
        Address and port of the store.
    """

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)
        self._hedged_client = HedgedClient(host, port)

    def close(self) -> None:
        """Abort the connections."""
        self._client.close()
        self._hedged_client.close()

    async def list(self, kind: ObjectKind, *, is_urgent: bool = False) -> ListResult:
        """Read all objects of a kind, page by page.

        Parameters
        ----------
        kind : ObjectKind
            Kind of the objects.
        is_urgent : bool
            Whether callers wait for the result; see `HedgedClient.call`.
        """
        found: list[StoredObject] = []
        after = ""
        while True:
            query = f"?after={after}" if after else ""
            path = f"{OBJECTS_PATH}/{kind.value}{query}"
            call = self._hedged_client.call(
                "GET", path, timeout_s=CALL_TIMEOUT_S, is_urgent=is_urgent
            )
            response = await _receive(call)
            if isinstance(response, Unavailable):
                return response
            try:
                page = _LIST_DECODER.decode(response.body)
            except msgspec.DecodeError as error:
                return Unavailable(f"malformed list: {error}")
            era = _read_era(response)
            if found and era != found[0].era:
                return Unavailable("the store was restored between two pages")
            read = [_decode_object(each, era) for each in page.items]
            readable = [each for each in read if each is not None]
            found += readable
            if not page.has_more or not readable:
                return Listing(StorePosition(era, page.as_of), tuple(found))
            after = readable[-1].name

    async def watch(self, kind: ObjectKind, revision: int) -> WatchResult:
        """Wait for changes to objects of a kind after a revision (long poll).

        The call goes over the connection that the list or the last watch used. If that
        has ended, the store may have been restored since, and a revision may mean
        another state; the result is `Unavailable` then.
        """
        path = f"{OBJECTS_PATH}/{kind.value}?watch={revision}&wait_ms={MAX_WATCH_MS}"
        timeout_s = MAX_WATCH_MS / 1_000 + WATCH_MARGIN_S
        client = self._hedged_client.last_client
        call = client.call("GET", path, timeout_s=timeout_s, may_connect=False)
        response = await _receive(call)
        match response:
            case Unavailable():
                return response
            case ClientResponse(status=status) if status == _HISTORY_GONE:
                return HistoryGone()
        try:
            page = _EVENTS_DECODER.decode(response.body)
        except msgspec.DecodeError as error:
            return Unavailable(f"malformed events: {error}")
        era = _read_era(response)
        read = [
            _decode_object(each.object, era, is_deleted=each.tombstone)
            for each in page.events
        ]
        objects = tuple(each for each in read if each is not None)
        return Changes(StorePosition(era, page.as_of), objects)

    async def create(
        self, kind: ObjectKind, name: str, content: bytes, *, is_urgent: bool = False
    ) -> WriteResult:
        """Create an object; return `Conflict` if it already exists.

        The call is repeated in parallel if no response arrives, as creating an object
        twice does nothing; `Conflict` may then come from the first attempt. It is
        repeated sooner if it is urgent.
        """
        body = b'{"meta":{"name":"%s"},"spec":%s}' % (name.encode(), content)
        call = self._hedged_client.call(
            "POST",
            f"{OBJECTS_PATH}/{kind.value}",
            body,
            timeout_s=CALL_TIMEOUT_S,
            is_urgent=is_urgent,
        )
        return await _receive_write(call)

    async def read(
        self, kind: ObjectKind, name: str
    ) -> StoredObject | NotStored | Unavailable:
        """Read one object; callers wait for the result."""
        call = self._hedged_client.call(
            "GET",
            f"{OBJECTS_PATH}/{kind.value}/{name}",
            timeout_s=CALL_TIMEOUT_S,
            is_urgent=True,
        )
        response = await _receive(call)
        if isinstance(response, Unavailable):
            return response
        if response.status != _OK:
            return NotStored()
        body = msgspec.Raw(response.body)
        return _decode_object(body, _read_era(response)) or NotStored()

    async def overwrite(
        self, kind: ObjectKind, name: str, content: bytes
    ) -> WriteResult:
        """Replace an object whatever its revision; `Conflict` if it does not exist."""
        body = b'{"meta":{"name":"%s"},"spec":%s}' % (name.encode(), content)
        path = f"{OBJECTS_PATH}/{kind.value}/{name}"
        call = self._client.call("PUT", path, body, timeout_s=CALL_TIMEOUT_S)
        return await _receive_write(call)

    async def replace(
        self, kind: ObjectKind, known: StoredObject, content: bytes
    ) -> WriteResult:
        """Replace an object; return `Conflict` if it has changed since it was read."""
        meta = b'{"name":"%s","revision":%d}' % (known.name.encode(), known.revision)
        body = b'{"meta":%s,"spec":%s}' % (meta, content)
        path = f"{OBJECTS_PATH}/{kind.value}/{known.name}"
        call = self._client.call("PUT", path, body, timeout_s=CALL_TIMEOUT_S)
        return await _receive_write(call)

    async def delete(self, kind: ObjectKind, known: StoredObject) -> WriteResult:
        """Delete an object; return `Conflict` if it has changed since it was read."""
        path = f"{OBJECTS_PATH}/{kind.value}/{known.name}?revision={known.revision}"
        call = self._client.call("DELETE", path, timeout_s=CALL_TIMEOUT_S)
        return await _receive_write(call, if_missing=Written())


async def _receive(call: Awaitable[ClientResponse]) -> ClientResponse | Unavailable:
    """Await a call; return `Unavailable` on an error or an unusable status."""
    try:
        response = await call
    except (OSError, TimeoutError) as error:
        return Unavailable(str(error) or type(error).__name__)
    if response.status in (_OK, _CREATED, _MISSING, _CONFLICT, _HISTORY_GONE):
        return response
    return Unavailable(f"status {response.status}")


async def _receive_write(
    call: Awaitable[ClientResponse], if_missing: Written | Conflict = _NO_OBJECT
) -> WriteResult:
    """Await a write and return its result, `if_missing` if there is no such object."""
    response = await _receive(call)
    if isinstance(response, Unavailable):
        return response
    if response.status == _MISSING:
        return if_missing
    current = _decode_object(msgspec.Raw(response.body), _read_era(response))
    return Conflict(current) if response.status == _CONFLICT else Written(current)


def _decode_object(
    body: msgspec.Raw, era: int, *, is_deleted: bool = False
) -> StoredObject | None:
    """Decode an object; return None if it or its metadata is malformed."""
    try:
        document = _OBJECT_DECODER.decode(body)
    except msgspec.DecodeError:
        return None
    meta = document.meta
    content = bytes(document.spec)
    return StoredObject(meta.name, meta.revision, content, is_deleted, era)


def _read_era(response: ClientResponse) -> int:
    """Return the era of a response; 0 from a store that names none."""
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() else 0


__all__ = ["DESIRED_STATE_NAME", "StoreClient"]
