"""Wait until services answer requests through the whole path."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from aiocoap import Message
from aiocoap.numbers import codes

from standins.addresses import parse_address
from standins.exchange import CallerSocket, Timing
from standins.processes import ProcessError
from standins.routine import is_success

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins.addresses import Address

TIMEOUT_S: Final = 15.0
PAUSE_S: Final = 0.3
TIMING: Final = Timing(ack_timeout_s=0.2, max_retransmit=1, separate_s=1.0)
PATHS: Final = {"counter": "stock", "fitting": "chart"}


def wait_for_services(addresses: Mapping[str, str]) -> None:
    """Wait until each service has answered a request.

    Raises
    ------
    ProcessError
        If a service does not answer in time.
    """
    asyncio.run(_wait_for_all(addresses))


async def _wait_for_all(addresses: Mapping[str, str]) -> None:
    for name, address in addresses.items():
        await _wait_for_one(name, parse_address(address))


async def _wait_for_one(name: str, address: Address) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    number = 0
    while time.monotonic() < deadline:
        number += 1
        probe = CallerSocket(address, TIMING, number)
        await probe.start()
        reply = await probe.request(Message(code=codes.GET, uri_path=(PATHS[name],)))
        probe.close()
        if is_success(reply):
            return
        await asyncio.sleep(PAUSE_S)
    raise ProcessError(f"service {name} does not answer within {TIMEOUT_S:g} s")


__all__ = ["wait_for_services"]
