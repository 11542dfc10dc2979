"""Watch of every object, which resumes after any interruption."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeAlias

import structlog
from returns.result import Success

from .backoff import Backoff
from .errors import PlatformError, RateLimited, Rejected, Unavailable
from .objects import Listing, StoredObject, read_event, read_object
from .transport import EndCause, StreamEnd

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from returns.result import Result

    from ..config import Kind
    from .transport import StreamItem

STATUS_GONE: Final = 410
STATUS_LIMITED: Final = 429


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Every object at one version; objects that are absent from it do not exist.

    Attributes
    ----------
    version : int
        Version of the store.
    objects : tuple of StoredObject
        The objects.
    """

    version: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Changed:
    """An object was created or changed.

    Attributes
    ----------
    object : StoredObject
        The object.
    """

    object: StoredObject


@dataclass(frozen=True, slots=True)
class Removed:
    """An object was deleted.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    version : int
        Version of the deletion.
    """

    kind: Kind
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The watch is interrupted; the state from earlier events stays valid.

    Attributes
    ----------
    text : str
        Description of the failure.
    """

    text: str


WatchEvent: TypeAlias = Snapshot | Changed | Removed | Interrupted


class Watch:
    """Watches every object: first a list, then a stream of events.

    Versions never decrease: an event or list older than the last one is dropped.

    Parameters
    ----------
    fetch : callable
        Reads the list of all objects.
    stream : callable
        Opens the stream of events after a version.
    rng : random.Random
        Source of jitter.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        fetch: Callable[[], Awaitable[Result[Listing, PlatformError]]],
        stream: Callable[[int], AsyncGenerator[StreamItem, None]],
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._fetch = fetch
        self._stream = stream
        self._rng = rng
        self._sleep = sleep
        self._backoff = Backoff(base_s=0.1, max_s=3.0)
        self._log = structlog.get_logger("balsamstream.objectapi")
        self._version = 0
        self._failures = 0

    async def follow(
        self, version: int | None = None
    ) -> AsyncGenerator[WatchEvent, None]:
        """Yield the changes of all objects without end.

        Parameters
        ----------
        version : int or None
            Version of the last event that was processed already, or None to begin
            with a snapshot.

        Yields
        ------
        WatchEvent
            Each event once, in the order of versions.
        """
        listed = version is not None
        self._version = version or 0
        while True:
            if not listed:
                event = await self._list()
                yield event
                if isinstance(event, Interrupted):
                    continue
                listed = True
            async with contextlib.aclosing(self._read_stream()) as events:
                async for item in events:
                    if item is None:
                        listed = False
                        continue
                    yield item

    async def _list(self) -> Snapshot | Interrupted:
        result = await self._fetch()
        if not isinstance(result, Success):
            error = result.failure()
            return await self._handle_interruption(
                _describe(error), _find_delay_s(error)
            )
        listing = result.unwrap()
        if listing.version < self._version:
            text = f"the list's version {listing.version} is older than {self._version}"
            return await self._handle_interruption(text)
        self._version = listing.version
        return Snapshot(listing.version, listing.objects)

    async def _read_stream(self) -> AsyncGenerator[WatchEvent | None, None]:
        """Yield the events of one stream; None if a new list is needed."""
        async with contextlib.aclosing(self._stream(self._version)) as items:
            async for item in items:
                if isinstance(item, StreamEnd):
                    if item.cause is EndCause.IDLE:
                        self._failures = 0
                        return
                    yield await self._handle_stream_end(item)
                    return
                event = self._read_line(item.data)
                if event is None:
                    await self._wait_before_list()
                    yield None
                    return
                self._failures = 0
                if not isinstance(event, _Skipped):
                    yield event

    async def _handle_stream_end(self, end: StreamEnd) -> Interrupted | None:
        response = end.response
        if response is None:
            return await self._handle_interruption(
                end.text or "the platform closed the watch"
            )
        if response.status == STATUS_GONE:
            await self._wait_before_list()
            return None
        delay_s = None
        if response.status == STATUS_LIMITED:
            delay_s = response.retry_after_s
        text = f"the platform refused the watch with status {response.status}"
        return await self._handle_interruption(text, delay_s)

    async def _wait_before_list(self) -> None:
        # The next list may be too old for the stream again, so lists are not
        # requested in a tight loop.
        if self._failures:
            delay_s = self._backoff.draw_delay_s(self._failures, self._rng)
            await self._sleep(delay_s)
        self._failures += 1

    def _read_line(self, data: bytes) -> WatchEvent | _Skipped | None:
        try:
            kind, content = read_event(data)
        except ValueError:
            return self._skip("not an event")
        if kind == "ERROR":
            return None
        try:
            item = read_object(content)
        except ValueError:
            return self._skip_object(content)
        if item.version <= self._version:
            return self._skip("version already seen")
        self._version = item.version
        if kind == "DELETED":
            return Removed(item.kind, item.name, item.version)
        return Changed(item)

    def _skip_object(self, content: dict[str, Any]) -> _Skipped:
        # A kind of a later release: the version is adopted, the content ignored.
        with contextlib.suppress(KeyError, TypeError, ValueError):
            version = int(content["metadata"]["resourceVersion"])
            self._version = max(self._version, version)
        return self._skip("not a known object")

    def _skip(self, reason: str) -> _Skipped:
        self._log.debug("watch_event_skipped", reason=reason, version=self._version)
        return _Skipped()

    async def _handle_interruption(
        self, text: str, delay_s: float | None = None
    ) -> Interrupted:
        self._failures += 1
        wait_s = self._backoff.draw_delay_s(self._failures, self._rng)
        if delay_s is not None:
            wait_s += delay_s
        self._log.warning("watch_interrupted", reason=text, failures=self._failures)
        await self._sleep(wait_s)
        return Interrupted(text)


@dataclass(frozen=True, slots=True)
class _Skipped:
    """A line of the stream that was ignored."""


def _describe(error: PlatformError) -> str:
    match error:
        case Unavailable(_, text):
            return text or "the platform is unavailable"
        case RateLimited(retry_after_s):
            return f"rate limit exceeded, retry after {retry_after_s:g} s"
        case Rejected(status, text):
            return f"the platform refused the request with status {status}: {text}"
        case _:
            return type(error).__name__


def _find_delay_s(error: PlatformError) -> float | None:
    if isinstance(error, RateLimited):
        return error.retry_after_s
    return None


__all__ = ["Changed", "Interrupted", "Removed", "Snapshot", "Watch", "WatchEvent"]
