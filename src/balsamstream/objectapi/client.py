"""Client of the platform's object API."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from .backoff import Backoff
from .errors import Conflict, NotFound, PlatformError, RateLimited, Unavailable
from .objects import Listing, StoredObject, build_object
from .responses import (
    ROOT,
    build_path,
    check_status,
    parse_listing,
    parse_object,
    parse_written_object,
)
from .watch import Watch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from ..config import Kind
    from .transport import Response, StreamItem, Transport
    from .watch import WatchEvent

MAX_ATTEMPTS: Final = 8
CHANGE_ID_BITS: Final = 96


class PlatformClient:
    """Reads, writes and watches the platform's objects.

    Every write is conditional on the object's version and stores a change ID of its
    own. If the response to a write is lost, the object is read back: its change ID
    shows whether the write took effect.

    Parameters
    ----------
    transport : Transport
        Transport for the calls to the platform.
    author : str
        Name that is stored with each change as its author.
    rng : random.Random or None
        Source of jitter and change IDs, or None for the operating system's.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        transport: Transport,
        *,
        author: str,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._transport = transport
        self._author = author
        self._rng = rng if rng is not None else random.SystemRandom()
        self._sleep = sleep
        self._backoff = Backoff()

    async def start(self) -> None:
        """Start the transport."""
        await self._transport.start()

    async def close(self) -> None:
        """Close the transport."""
        await self._transport.close()

    async def get(self, kind: Kind, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        result = await self._call("GET", build_path(kind, name))
        return result.bind(parse_object)

    async def list(self, kind: Kind) -> Result[Listing, PlatformError]:
        """Read every object of a kind."""
        result = await self._call("GET", build_path(kind))
        return result.bind(parse_listing)

    async def list_all(self) -> Result[Listing, PlatformError]:
        """Read every object of every kind."""
        result = await self._call("GET", ROOT)
        return result.bind(parse_listing)

    async def create(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        change_id: str | None = None,
    ) -> Result[StoredObject, PlatformError]:
        """Create an object by one call; `write` also resolves a lost response."""
        identifier = change_id or self._draw_change_id()
        document = build_object(
            kind, name, spec, changed_by=self._author, change_id=identifier
        )
        result = await self._call("POST", build_path(kind), document=document)
        return await self._finish_write(kind, name, identifier, result)

    async def update(
        self,
        base: StoredObject,
        spec: dict[str, Any],
        change_id: str | None = None,
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object by one call if its version is still that of ``base``."""
        identifier = change_id or self._draw_change_id()
        document = build_object(
            base.kind,
            base.name,
            spec,
            changed_by=self._author,
            change_id=identifier,
            version=base.version,
        )
        path = build_path(base.kind, base.name)
        result = await self._call("PUT", path, document=document)
        return await self._finish_write(base.kind, base.name, identifier, result)

    async def delete(self, base: StoredObject) -> Result[None, PlatformError]:
        """Delete an object by one call if its version is still that of ``base``."""
        path = build_path(base.kind, base.name)
        query = {"resourceVersion": str(base.version)}
        result = await self._call("DELETE", path, query=query)
        match result:
            case Success(_):
                return Success(None)
            case Failure(Conflict()):
                return Failure(await self._read_conflict(base.kind, base.name))
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def write(
        self,
        kind: Kind,
        name: str,
        base: StoredObject | None,
        spec: dict[str, Any],
    ) -> Result[StoredObject, PlatformError]:
        """Create or replace an object, with retries.

        After a lost response the object is read back before the next attempt.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        base : StoredObject or None
            The object as it was read, or None to create it.
        spec : dict
            Content to write.

        Returns
        -------
        Result[StoredObject, PlatformError]
            The written object, or why it was not written.
        """
        change_id = self._draw_change_id()
        uncertain = False
        error: PlatformError = Unavailable(False)
        for failures in range(MAX_ATTEMPTS):
            if failures:
                await self._wait_before_retry(failures, error)
            if uncertain:
                settled = await self._read_back(kind, name, base, change_id)
                if settled is not None and not isinstance(settled, Unavailable):
                    return settled
                if settled is not None:
                    error = settled
                    continue
            result = await self._try_write(kind, name, base, spec, change_id)
            if isinstance(result, Success):
                return result
            error = result.failure()
            match error:
                case Unavailable(may_have_taken_effect):
                    uncertain = uncertain or may_have_taken_effect
                case RateLimited():
                    continue
                case Conflict(current):
                    return Failure(Conflict(current, uncertain))
                case _:
                    return Failure(error)
        return Failure(_mark_uncertain(error, uncertain))

    async def delete_with_retries(
        self, base: StoredObject
    ) -> Result[None, PlatformError]:
        """Delete an object, with retries.

        An object that no longer exists counts as deleted.

        Parameters
        ----------
        base : StoredObject
            The object as it was read.

        Returns
        -------
        Result[None, PlatformError]
            None, or why the object was not deleted.
        """
        uncertain = False
        error: PlatformError = Unavailable(False)
        for failures in range(MAX_ATTEMPTS):
            if failures:
                await self._wait_before_retry(failures, error)
            result = await self.delete(base)
            if isinstance(result, Success):
                return result
            error = result.failure()
            match error:
                case NotFound():
                    return Success(None)
                case Unavailable(may_have_taken_effect):
                    uncertain = uncertain or may_have_taken_effect
                case RateLimited():
                    continue
                case Conflict(current):
                    return Failure(Conflict(current, uncertain))
                case _:
                    return Failure(error)
        return Failure(_mark_uncertain(error, uncertain))

    async def change(
        self,
        kind: Kind,
        name: str,
        function: Callable[[StoredObject | None], dict[str, Any] | None],
    ) -> Result[StoredObject, PlatformError]:
        """Read, modify and write an object, again after each conflict.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        function : callable
            Takes the object, or None if it does not exist, and returns the new
            content, or None to leave the object unchanged. It runs once for each
            attempt and must be idempotent: a write whose response is lost may
            take effect and be replaced by another before it is read back.

        Returns
        -------
        Result[StoredObject, PlatformError]
            The written or unchanged object, or why it was not changed.
        """
        error: PlatformError = Unavailable(False)
        uncertain = False
        known: StoredObject | None = None
        for failures in range(MAX_ATTEMPTS):
            if failures:
                await self._wait_before_retry(failures, error)
            if known is None:
                read = await self._read(kind, name)
                if not isinstance(read, Success):
                    error = read.failure()
                    if not isinstance(error, Unavailable | RateLimited):
                        return Failure(_mark_uncertain(error, uncertain))
                    continue
                known = read.unwrap()
            spec = function(known)
            if spec is None:
                return Failure(NotFound()) if known is None else Success(known)
            result = await self.write(kind, name, known, spec)
            if isinstance(result, Success):
                return result
            error = result.failure()
            match error:
                case Conflict(current, may_have_taken_effect):
                    # The conflict holds the current object, which saves a read.
                    known = current
                    uncertain = uncertain or may_have_taken_effect
                case NotFound():
                    known = None
                case _:
                    return Failure(_mark_uncertain(error, uncertain))
        return Failure(_mark_uncertain(error, uncertain))

    def watch_all(self, version: int | None = None) -> AsyncGenerator[WatchEvent, None]:
        """Watch every object without end; see `Watch.follow`."""
        watch = Watch(self.list_all, self._open_stream, self._rng, self._sleep)
        return watch.follow(version)

    def _open_stream(self, version: int) -> AsyncGenerator[StreamItem, None]:
        query = {"watch": "true", "resourceVersion": str(version)}
        return self._transport.stream(ROOT, query)

    async def _try_write(
        self,
        kind: Kind,
        name: str,
        base: StoredObject | None,
        spec: dict[str, Any],
        change_id: str,
    ) -> Result[StoredObject, PlatformError]:
        if base is None:
            return await self.create(kind, name, spec, change_id)
        return await self.update(base, spec, change_id)

    async def _read_back(
        self, kind: Kind, name: str, base: StoredObject | None, change_id: str
    ) -> Result[StoredObject, PlatformError] | Unavailable | None:
        """Read the object back after a lost response; return the write's outcome.

        None means that the write may be retried.
        """
        read = await self._read(kind, name)
        if not isinstance(read, Success):
            return Unavailable(True, "the object cannot be read back")
        current = read.unwrap()
        if current is not None and current.change_id == change_id:
            return Success(current)
        seen = current.version if current is not None else None
        expected = base.version if base is not None else None
        if seen == expected:
            return None
        return Failure(Conflict(current, may_have_taken_effect=True))

    async def _read(
        self, kind: Kind, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        match await self.get(kind, name):
            case Success(found):
                return Success(found)
            case Failure(NotFound()):
                return Success(None)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _finish_write(
        self,
        kind: Kind,
        name: str,
        change_id: str,
        result: Result[Response, PlatformError],
    ) -> Result[StoredObject, PlatformError]:
        match result:
            case Failure(Conflict()):
                conflict = await self._read_conflict(kind, name)
                current = conflict.current
                # The HTTP library repeats a call whose connection was closed, so the
                # conflict may be with this write's own first transmission.
                if current is not None and current.change_id == change_id:
                    return Success(current)
                return Failure(conflict)
            case _:
                return result.bind(parse_written_object)

    async def _read_conflict(self, kind: Kind, name: str) -> Conflict:
        read = await self._read(kind, name)
        current = read.unwrap() if isinstance(read, Success) else None
        return Conflict(current)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        document: dict[str, Any] | None = None,
    ) -> Result[Response, PlatformError]:
        body = None
        if document is not None:
            body = json.dumps(document, separators=(",", ":")).encode()
        result = await self._transport.call(method, path, query or {}, body)
        match result:
            case Success(response):
                return check_status(method, response)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _wait_before_retry(self, failures: int, error: PlatformError) -> None:
        delay_s = self._backoff.draw_delay_s(failures, self._rng)
        if isinstance(error, RateLimited):
            delay_s += error.retry_after_s
        await self._sleep(delay_s)

    def _draw_change_id(self) -> str:
        return f"{self._rng.getrandbits(CHANGE_ID_BITS):024x}"


def _mark_uncertain(error: PlatformError, uncertain: bool) -> PlatformError:
    match error:
        case Unavailable(_, text) if uncertain:
            return Unavailable(True, text)
        case RateLimited() if uncertain:
            return Unavailable(True, "the platform's rate limit is exceeded")
        case Conflict(current) if uncertain:
            return Conflict(current, may_have_taken_effect=True)
        case _:
            return error


__all__ = ["PlatformClient"]
