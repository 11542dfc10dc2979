"""Stand-in platform on the loopback interface and clients for it."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import aiohttp

from balsamstream.objectapi import HttpTransport, PlatformClient
from standins.platform import Platform
from standins.serving import start_http

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator


async def skip_wait(_delay_s: float) -> None:
    """Return at once."""


@contextlib.asynccontextmanager
async def open_platform(
    tls: ssl.SSLContext | None = None, writes_per_s: float = 1e6
) -> AsyncIterator[tuple[Platform, str]]:
    """Run a stand-in platform; yield it and its URL."""
    platform = Platform(writes_per_s=writes_per_s, reads_per_s=1e6)
    runner, address = await start_http(platform.build(), ("127.0.0.1", 0), tls)
    try:
        yield platform, f"{'https' if tls else 'http'}://{address}"
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def open_client(
    url: str, author: str = "ada", ca_file: str | None = None
) -> AsyncIterator[PlatformClient]:
    """Start a client with a fixed seed that does not wait between attempts."""
    client = PlatformClient(
        HttpTransport(url, ca_file, timeout_s=2.0, idle_s=0.5),
        author=author,
        rng=random.Random(author),
        sleep=skip_wait,
    )
    await client.start()
    try:
        yield client
    finally:
        await client.close()


async def set_faults(url: str, **faults: bool) -> None:
    """Set the faults that the stand-in platform injects."""
    async with aiohttp.ClientSession() as session:
        response = await session.post(f"{url}/faults", json=faults)
        response.raise_for_status()


__all__ = ["open_client", "open_platform", "set_faults", "skip_wait"]
