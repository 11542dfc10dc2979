"""Fetches the pages that daemons serve at their status addresses."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from ..objectapi import HttpTransport

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_CONCURRENT_CALLS: Final = 32


async def fetch_pages(
    addresses: Sequence[str], path: str
) -> dict[str, Result[dict[str, Any], str]]:
    """Fetch one page from each daemon.

    Parameters
    ----------
    addresses : sequence of str
        Status addresses of the daemons, as ``IP:PORT``.
    path : str
        ``/status`` or ``/burn``.

    Returns
    -------
    dict of str to Result[dict, str]
        The JSON object served at each address, or an error text.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def fetch(address: str) -> Result[dict[str, Any], str]:
        async with semaphore:
            return await _fetch_page(address, path)

    pages = await asyncio.gather(*(fetch(address) for address in addresses))
    return dict(zip(addresses, pages))


async def _fetch_page(address: str, path: str) -> Result[dict[str, Any], str]:
    transport = HttpTransport(f"http://{address}")
    await transport.start()
    try:
        result = await transport.call("GET", path, {}, None)
    finally:
        await transport.close()
    if not isinstance(result, Success):
        return Failure(result.failure().text)
    answer = result.unwrap()
    if answer.status != 200:
        return Failure(f"the daemon answered with HTTP status {answer.status}")
    try:
        page = json.loads(answer.body)
    except ValueError:
        return Failure("the daemon's answer is not JSON")
    if not isinstance(page, dict):
        return Failure("the daemon's answer is not a JSON object")
    return Success(page)


__all__ = ["fetch_pages"]
