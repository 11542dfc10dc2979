"""Frame of a script: record, deployment, exit status."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from .site import Record, Site

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HELD = 0
BROKEN = 1
NOT_RUN = 2
TIMEOUT_S = 110.0


def run_case(file: str, play: Callable[[Site, bool], Awaitable[list[str]]]) -> None:
    """Play a case and exit with 1 if it broke the rule, 0 if not, 2 if it did not run.

    Parameters
    ----------
    file : str
        Path of the case's module; the record is written beside it.
    play : callable
        Plays the case on a deployment that is not started yet, with or without the
        disruption, and returns what broke the rule. It raises `OSError`,
        `TimeoutError` or `RuntimeError` if it cannot.
    """
    record = Record(Path(file).with_name("record.txt"))
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case begins, trouble: {is_troubled}")
    site = Site(record)

    async def run() -> int:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                broken = await play(site, is_troubled)
        except (OSError, TimeoutError, RuntimeError) as error:
            record.write(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            for vm in site.vms:
                for line in site.read_log(vm).splitlines():
                    if "event=lost" in line or "event=flows_reset" in line:
                        record.write(f"log of {vm.name}: {line[:240]}")
            site.close()
            await site.store.close()
        for line in broken:
            record.write(line)
        record.write(f"the rule was broken {len(broken)} times")
        return BROKEN if broken else HELD

    status = asyncio.run(run())
    print(f"exit {status}")
    sys.exit(status)
