"""A host joins while the store is silent, and its gate's process is killed."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from review.harness.case import run_case
from review.harness.flows import find_broken, open_flows

if TYPE_CHECKING:
    from review.harness.site import Site

OUTAGE_S = 4.6
KILL_BEFORE_END_S = 0.4
PAUSE_S = 6.0
"""Pause of the callers after the outage: more than contact_ms, so that every machine
is in touch, and less than idle_timeout_ms together with what precedes it."""


async def play(site: Site, is_troubled: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    await site.start(fronts=2, gates=2)
    await asyncio.sleep(5.0)
    began_at = time.monotonic()
    if is_troubled:
        site.store.is_silent = True
        site.record.write("the store is silent")
    joined = await site.add_host("thyna")
    used = []
    while time.monotonic() - began_at < OUTAGE_S - KILL_BEFORE_END_S:
        used += await open_flows(site, 5, f"early-{len(used)}")
        await asyncio.sleep(0.05)
    kill = None
    if is_troubled:
        kill = asyncio.create_task(site.kill_and_restart([joined]))
    await asyncio.sleep(began_at + OUTAGE_S - time.monotonic())
    site.store.is_silent = False
    if is_troubled:
        site.store.reset_connections()
        site.record.write("the store is back")
    if kill is not None:
        await kill
    calm_since = time.monotonic()
    at_joined = [each for each in used if each.host is joined.host]
    site.record.write(f"{len(at_joined)} open flows are at the host that joined")
    if not at_joined:
        raise RuntimeError("no flow reached the host that joined")
    await asyncio.sleep(PAUSE_S)
    for number, each in enumerate(at_joined):
        await site.callers.request(each.flow, f"late-{number}")
    return find_broken(site, at_joined, calm_since)


if __name__ == "__main__":
    run_case(__file__, play)
