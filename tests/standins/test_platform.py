"""Tests of the platform's object API and its faults."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from standins.addresses import LOOPBACK
from standins.platform import Platform
from standins.serving import start_http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

ROOT = "/apis/balsamstream/v1"
TIMEOUT = aiohttp.ClientTimeout(total=5)


@asynccontextmanager
async def open_platform(platform: Platform) -> AsyncIterator[aiohttp.ClientSession]:
    runner, address = await start_http(platform.build(), (LOOPBACK, 0))
    session = aiohttp.ClientSession(f"http://{address}", timeout=TIMEOUT)
    try:
        yield session
    finally:
        await session.close()
        await runner.cleanup()


def run_on_platform(
    test: Callable[[aiohttp.ClientSession], Awaitable[None]], **options: Any
) -> None:
    async def run() -> None:
        async with open_platform(Platform(**options)) as session:
            await test(session)

    asyncio.run(run())


async def call(
    session: aiohttp.ClientSession, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    async with session.request(method, path, json=body) as response:
        return response.status, await response.json()


def build_object(name: str, version: str | None = None, **spec: Any) -> dict[str, Any]:
    return {"metadata": {"name": name, "resourceVersion": version}, "spec": spec}


async def read_line(response: aiohttp.ClientResponse) -> Any:
    return json.loads(await response.content.readline())


def test_change_requires_the_stored_version() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        path = f"{ROOT}/profiles"
        status, created = await call(session, "POST", path, build_object("a"))
        assert (status, created["metadata"]["resourceVersion"]) == (201, "1")
        assert (await call(session, "POST", path, build_object("a")))[0] == 409

        stale = build_object("a", "0")
        status, body = await call(session, "PUT", f"{path}/a", stale)
        assert (status, body["reason"]) == (409, "Conflict")
        status, changed = await call(session, "PUT", f"{path}/a", created)
        assert (status, changed["metadata"]["resourceVersion"]) == (200, "2")

        for version, expected in (("1", 409), ("2", 200), ("2", 404)):
            url = f"{path}/a?resourceVersion={version}"
            assert (await call(session, "DELETE", url))[0] == expected

    run_on_platform(test)


def test_lost_answer_leaves_the_write_in_effect() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        await call(session, "POST", "/faults", {"lose_answers": 1})
        with pytest.raises(aiohttp.ClientError):
            await call(session, "POST", f"{ROOT}/views", build_object("v"))
        assert (await call(session, "GET", f"{ROOT}/views/v"))[0] == 200
        assert (await call(session, "POST", f"{ROOT}/views", build_object("w")))[
            0
        ] == 201

    run_on_platform(test)


def test_watch_of_all_kinds_reports_each_change_in_order() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        await call(session, "POST", f"{ROOT}/profiles", build_object("a"))
        url = f"{ROOT}?watch=true&resourceVersion=0"
        async with session.get(url) as watch:
            await call(session, "POST", f"{ROOT}/views", build_object("v"))
            await call(session, "DELETE", f"{ROOT}/profiles/a?resourceVersion=1")
            events = [await read_line(watch) for _ in range(3)]
        seen = [
            (event["type"], event["object"]["metadata"]["resourceVersion"])
            for event in events
        ]
        assert seen == [("ADDED", "1"), ("ADDED", "2"), ("DELETED", "3")]

    run_on_platform(test)


def test_watch_of_one_kind_excludes_other_kinds() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        url = f"{ROOT}/views?watch=true&resourceVersion=0"
        async with session.get(url) as watch:
            await call(session, "POST", f"{ROOT}/profiles", build_object("a"))
            await call(session, "POST", f"{ROOT}/views", build_object("v"))
            assert (await read_line(watch))["object"]["kind"] == "View"

    run_on_platform(test)


def test_watch_from_a_compacted_version_is_gone() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        for name in ("a", "b", "c"):
            await call(session, "POST", f"{ROOT}/profiles", build_object(name))
        url = f"{ROOT}?watch=true&resourceVersion="
        assert (await call(session, "GET", f"{url}0"))[0] == 410
        async with session.get(f"{url}1") as watch:
            assert watch.status == 200

    run_on_platform(test, history=2)


def test_large_object_is_refused() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        large = build_object("a", text="x" * 1_000_000)
        assert (await call(session, "POST", f"{ROOT}/profiles", large))[0] == 413

    run_on_platform(test)


def test_calls_over_the_rate_are_refused_and_counted() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        answers = [
            (await call(session, "POST", f"{ROOT}/views", build_object(f"v{number}")))[
                0
            ]
            for number in range(3)
        ]
        assert answers == [201, 201, 429]
        _, calls = await call(session, "GET", "/calls")
        assert (calls["writes"], calls["limited"]) == (2, 1)

    run_on_platform(test, writes_per_s=2.0)


def test_platform_that_is_down_aborts_calls_and_watches() -> None:
    async def test(session: aiohttp.ClientSession) -> None:
        watch = await session.get(f"{ROOT}?watch=true&resourceVersion=0")
        await call(session, "POST", "/faults", {"down": True})
        with pytest.raises(aiohttp.ClientError):
            await call(session, "GET", ROOT)
        with pytest.raises(aiohttp.ClientError):
            await watch.content.readline()
        await call(session, "POST", "/faults", {"down": False})
        assert (await call(session, "GET", ROOT))[0] == 200

    run_on_platform(test)
