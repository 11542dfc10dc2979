"""Watches resume after every interruption and versions never decrease."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from balsamstream.config import Kind
from balsamstream.objectapi import (
    Changed,
    Interrupted,
    Listing,
    PlatformError,
    RateLimited,
    Removed,
    Snapshot,
    Unavailable,
    WatchEvent,
)
from balsamstream.objectapi.transport import (
    EndCause,
    Line,
    Response,
    StreamEnd,
    StreamItem,
)
from balsamstream.objectapi.watch import Watch
from tests.objectapi.platform import open_client, open_platform, set_faults

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator


def build_line(version: int, change: str = "MODIFIED", kind: str = "View") -> Line:
    metadata = {"name": "comptoir", "resourceVersion": str(version)}
    item: dict[str, Any] = {"kind": kind, "metadata": metadata, "spec": {}}
    return Line(json.dumps({"type": change, "object": item}).encode())


class ScriptedPlatform:
    """Source of lists and streams that returns prepared ones in order."""

    def __init__(
        self,
        lists: list[Result[Listing, PlatformError]],
        streams: list[list[StreamItem]],
    ) -> None:
        self.lists = lists
        self.streams = streams
        self.requested_versions: list[int] = []
        self.waits_s: list[float] = []

    async def fetch(self) -> Result[Listing, PlatformError]:
        """Return the next list."""
        return self.lists.pop(0)

    async def stream(self, version: int) -> AsyncGenerator[StreamItem, None]:
        """Yield the items of the next stream."""
        self.requested_versions.append(version)
        for item in self.streams.pop(0):
            yield item

    async def sleep(self, delay_s: float) -> None:
        """Record the delay without waiting."""
        self.waits_s.append(delay_s)

    def follow(self, count: int, version: int | None = None) -> list[WatchEvent]:
        """Return the first ``count`` events of a watch of this platform."""

        async def run() -> list[WatchEvent]:
            watch = Watch(self.fetch, self.stream, random.Random(7), self.sleep)
            return await collect_events(watch.follow(version), count)

        return asyncio.run(run())


async def collect_events(
    events: AsyncIterator[WatchEvent], count: int
) -> list[WatchEvent]:
    taken: list[WatchEvent] = []
    async for event in events:
        taken.append(event)
        if len(taken) == count:
            break
    return taken


def get_versions(events: list[WatchEvent]) -> list[int]:
    found: list[int] = []
    for event in events:
        match event:
            case Changed(item):
                found.append(item.version)
            case Snapshot(version) | Removed(_, _, version):
                found.append(version)
            case Interrupted():
                continue
    return found


def test_a_new_stream_starts_after_the_last_version() -> None:
    lost = StreamEnd(EndCause.LOST, text="reset")
    platform = ScriptedPlatform(
        [Success(Listing(5, ()))],
        [[build_line(6), lost], [StreamEnd(EndCause.IDLE)], [build_line(7, "DELETED")]],
    )
    events = platform.follow(4)
    assert get_versions(events) == [5, 6, 7]
    assert events[2] == Interrupted("reset")
    assert events[3] == Removed(Kind.VIEW, "comptoir", 7)
    assert platform.requested_versions == [5, 6, 6]


def test_lists_again_without_delay_when_history_is_gone() -> None:
    gone = StreamEnd(EndCause.REFUSED, Response(410))
    error = Line(b'{"type": "ERROR", "object": {"code": 410}}')
    platform = ScriptedPlatform(
        [Success(Listing(9, ())), Success(Listing(12, ()))],
        [[gone], [build_line(10), error]],
    )
    assert get_versions(platform.follow(3, version=3)) == [9, 10, 12]
    assert platform.waits_s == []


def test_repeated_lists_are_delayed() -> None:
    gone = StreamEnd(EndCause.REFUSED, Response(410))
    lists: list[Result[Listing, PlatformError]] = [Success(Listing(9, ()))] * 20
    platform = ScriptedPlatform(lists, [[gone]] * 20)
    assert get_versions(platform.follow(20)) == [9] * 20
    assert len(platform.waits_s) >= 18
    assert max(platform.waits_s) > 1.0


def test_versions_never_decrease() -> None:
    gone = StreamEnd(EndCause.REFUSED, Response(410))
    platform = ScriptedPlatform(
        [Success(Listing(4, ())), Success(Listing(9, ()))],
        [[build_line(8), build_line(7), build_line(8), gone], [build_line(10)]],
    )
    events = platform.follow(4, version=6)
    assert get_versions(events) == [8, 9, 10]
    assert isinstance(events[1], Interrupted)


def test_unknown_lines_are_ignored() -> None:
    platform = ScriptedPlatform(
        [], [[Line(b"nonsense"), build_line(7, kind="Novelty"), build_line(8)], []]
    )
    assert get_versions(platform.follow(1, version=6)) == [8]


def test_delays_grow_up_to_a_bound_while_the_platform_is_down() -> None:
    down: Result[Listing, PlatformError] = Failure(Unavailable(False, "down"))
    limited: Result[Listing, PlatformError] = Failure(RateLimited(30.0))
    platform = ScriptedPlatform([down] * 40 + [limited], [])
    events = platform.follow(41)
    assert events[0] == Interrupted("down")
    assert max(platform.waits_s[:3]) <= 0.4
    assert max(platform.waits_s[:40]) <= 3.0 < 30.0 <= platform.waits_s[40]


def test_the_watch_continues_after_an_outage() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            await client.create(Kind.PROFILE, "counter", {})
            events = client.watch_all()
            assert get_versions(await collect_next(events, 1)) == [1]
            await client.create(Kind.VIEW, "comptoir", {"x": "y" * 900_000})
            assert get_versions(await collect_next(events, 1)) == [2]
            await set_faults(url, down=True)
            assert isinstance((await collect_next(events, 1))[0], Interrupted)
            await set_faults(url, down=False, compact=True)
            await client.create(Kind.PROFILE, "fast", {})
            while not get_versions(seen := await collect_next(events, 1)):
                continue
            assert get_versions(seen) == [3]
            await events.aclose()

    asyncio.run(run())


async def collect_next(
    events: AsyncIterator[WatchEvent], count: int
) -> list[WatchEvent]:
    return [await anext(events) for _ in range(count)]
