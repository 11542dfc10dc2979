"""Client of the platform's object API."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from .answers import (
    ROOT,
    build_path,
    judge_answer,
    parse_listing_answer,
    parse_object_answer,
    parse_written_answer,
)
from .backoff import Backoff
from .errors import Conflict, NotFound, PlatformError, RateLimited, Unavailable
from .objects import Listing, StoredObject, build_object
from .watch import Watch

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from ..config import Kind
    from .transport import Answer, StreamItem, Transport
    from .watch import WatchEvent

MOST_TRIES: Final = 8
CHANGE_ID_BITS: Final = 96


class PlatformClient:
    """Read, write and watch the platform's objects.

    Every write is conditional and carries an identifier of its own, so that a
    write whose answer was lost is recognised when the object is read back.

    Parameters
    ----------
    transport : Transport
        How the platform is reached.
    author : str
        Who is named as the one that made a change.
    source : random.Random or None
        Where jitter and identifiers are drawn from.
    sleep : callable
        Waits for some seconds.
    """

    def __init__(
        self,
        transport: Transport,
        *,
        author: str,
        source: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._transport = transport
        self._author = author
        self._source = source if source is not None else random.SystemRandom()
        self._sleep = sleep
        self._backoff = Backoff()

    async def start(self) -> None:
        """Make the transport ready."""
        await self._transport.start()

    async def close(self) -> None:
        """Close the transport."""
        await self._transport.close()

    async def get(self, kind: Kind, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        result = await self._call("GET", build_path(kind, name))
        return result.bind(parse_object_answer)

    async def list(self, kind: Kind) -> Result[Listing, PlatformError]:
        """Read every object of a kind."""
        result = await self._call("GET", build_path(kind))
        return result.bind(parse_listing_answer)

    async def list_all(self) -> Result[Listing, PlatformError]:
        """Read every object of every kind."""
        result = await self._call("GET", ROOT)
        return result.bind(parse_listing_answer)

    async def create(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        change_id: str | None = None,
    ) -> Result[StoredObject, PlatformError]:
        """Create an object by one call; `write` also settles a lost answer."""
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
        """Replace an object by one call if it is still at the base's version."""
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
        """Delete an object by one call if it is still at the base's version."""
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
        """Write an object on top of what was read, and settle a lost answer.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        base : StoredObject or None
            The object as it was read, None to create it.
        spec : dict
            Content to write.

        Returns
        -------
        Result[StoredObject, PlatformError]
            The object as it was written, or why it was not.
        """
        change_id = self._draw_change_id()
        lost = False
        error: PlatformError = Unavailable(False)
        for failures in range(MOST_TRIES):
            if failures:
                await self._wait(failures, error)
            if lost:
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
                    lost = lost or may_have_taken_effect
                case RateLimited():
                    continue
                case Conflict(current):
                    return Failure(Conflict(current, lost))
                case _:
                    return Failure(error)
        return Failure(_mark_lost(error, lost))

    async def delete_with_retries(
        self, base: StoredObject
    ) -> Result[None, PlatformError]:
        """Delete an object that was read, and settle a lost answer.

        An object that is gone counts as deleted.

        Parameters
        ----------
        base : StoredObject
            The object as it was read.

        Returns
        -------
        Result[None, PlatformError]
            None, or why the object was not deleted.
        """
        lost = False
        error: PlatformError = Unavailable(False)
        for failures in range(MOST_TRIES):
            if failures:
                await self._wait(failures, error)
            result = await self.delete(base)
            if isinstance(result, Success):
                return result
            error = result.failure()
            match error:
                case NotFound():
                    return Success(None)
                case Unavailable(may_have_taken_effect):
                    lost = lost or may_have_taken_effect
                case RateLimited():
                    continue
                case Conflict(current):
                    return Failure(Conflict(current, lost))
                case _:
                    return Failure(error)
        return Failure(_mark_lost(error, lost))

    async def change(
        self,
        kind: Kind,
        name: str,
        function: Callable[[StoredObject | None], dict[str, Any] | None],
    ) -> Result[StoredObject, PlatformError]:
        """Change an object by a function of its content, against any race.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        function : callable
            Takes the object, None where it is missing, and returns the new
            content, None to leave it as it is. It runs once for each try. It
            has to be idempotent: a write may take effect, lose its answer and
            be replaced by another before it is read back.

        Returns
        -------
        Result[StoredObject, PlatformError]
            The object as written or left, or why it was not changed.
        """
        error: PlatformError = Unavailable(False)
        lost = False
        known: StoredObject | None = None
        for failures in range(MOST_TRIES):
            if failures:
                await self._wait(failures, error)
            if known is None:
                read = await self._read(kind, name)
                if not isinstance(read, Success):
                    error = read.failure()
                    if not isinstance(error, Unavailable | RateLimited):
                        return Failure(_mark_lost(error, lost))
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
                    # A conflict brings the object along, which saves a read.
                    known = current
                    lost = lost or may_have_taken_effect
                case NotFound():
                    known = None
                case _:
                    return Failure(_mark_lost(error, lost))
        return Failure(_mark_lost(error, lost))

    def watch_all(self, version: int | None = None) -> AsyncGenerator[WatchEvent, None]:
        """Follow every object without end; see `Watch.follow`."""
        watch = Watch(self.list_all, self._open_stream, self._source, self._sleep)
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
        """Settle a lost answer; None where the write may be tried again."""
        read = await self._read(kind, name)
        if not isinstance(read, Success):
            return Unavailable(True, "the object can't be read back")
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
        result: Result[Answer, PlatformError],
    ) -> Result[StoredObject, PlatformError]:
        match result:
            case Failure(Conflict()):
                conflict = await self._read_conflict(kind, name)
                current = conflict.current
                # The HTTP library repeats a call whose connection was closed.
                if current is not None and current.change_id == change_id:
                    return Success(current)
                return Failure(conflict)
            case _:
                return result.bind(parse_written_answer)

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
    ) -> Result[Answer, PlatformError]:
        body = None
        if document is not None:
            body = json.dumps(document, separators=(",", ":")).encode()
        result = await self._transport.call(method, path, query or {}, body)
        match result:
            case Success(answer):
                return judge_answer(method, answer)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _wait(self, failures: int, error: PlatformError) -> None:
        delay_s = self._backoff.draw_delay_s(failures, self._source)
        if isinstance(error, RateLimited):
            delay_s += error.retry_after_s
        await self._sleep(delay_s)

    def _draw_change_id(self) -> str:
        return f"{self._source.getrandbits(CHANGE_ID_BITS):024x}"


def _mark_lost(error: PlatformError, lost: bool) -> PlatformError:
    match error:
        case Unavailable(_, text) if lost:
            return Unavailable(True, text)
        case RateLimited() if lost:
            return Unavailable(True, "the platform limits calls")
        case Conflict(current) if lost:
            return Conflict(current, may_have_taken_effect=True)
        case _:
            return error


__all__ = ["PlatformClient"]
