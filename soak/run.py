"""``python -m soak.run``: plays seeds and prints what was broken.

Each seed is a small site of real processes under load, with faults that overlap; its
logs stay in the output folder when something was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import shutil
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from standins.flow_site import ROUTE, CallerGroup, FlowSite, RequestOutcome, SocketHost

from .faults import Fault, Hand, draw_plan
from .promises import Record, judge_host, judge_outcome
from .proxy import Proxy

LENGTH_S: Final = 10.0
FAULTS_A_SEED: Final = 6
CALLERS: Final = 12
LABELS_ROUTE: Final = ("198.18.0.2", 443)
SETTLE_S: Final = 6.0
"""After the last fault all must be served again within this time."""
PROBE_MISSES: Final = 2
PROBE_S: Final = 0.5


@dataclass(slots=True)
class Verdict:
    """What came of a seed.

    Attributes
    ----------
    seed : int
        The seed.
    requests, answered : int
        Requests sent, and those that were answered.
    broken : list of str
        Promises that were broken.
    """

    seed: int
    requests: int = 0
    answered: int = 0
    broken: list[str] = field(default_factory=list)


class Routers:
    """Keeps the list of fronts in rotation as the users' routers do."""

    def __init__(self, site: FlowSite) -> None:
        self._site = site
        self._misses: dict[str, int] = {}
        self.fronts: list[str] = list(site.fronts)

    async def run(self) -> None:
        """Ask each front twice a second."""
        while True:
            for vm in list(self._site.vms.values()):
                if vm.role != "front":
                    continue
                is_ready = await self._site.is_ready(vm)
                misses = 0 if is_ready else self._misses.get(vm.ip, 0) + 1
                self._misses[vm.ip] = misses
            ready = [ip for ip, n in self._misses.items() if n < PROBE_MISSES]
            self.fronts = ready or list(self._misses)
            await asyncio.sleep(PROBE_S)


async def play(seed: int, directory: Path, network: int) -> Verdict:
    """Play one seed."""
    verdict = Verdict(seed)
    record = Record()
    site = FlowSite(directory, network)
    site.routes |= {LABELS_ROUTE: "etiquettes"}
    await site.start()
    proxies: dict[str, Proxy] = {}
    site.start_store_proxy = lambda name, listen, target: _add_proxy(
        proxies, name, listen, target
    )
    tasks: list[asyncio.Task[None]] = []
    try:
        await _build(site)
        routers = Routers(site)
        outcomes: list[tuple[RequestOutcome, bytes]] = []
        tasks.append(asyncio.create_task(routers.run()))
        for number in range(CALLERS):
            callers = site.caller_groups[0]
            work = _call_repeatedly(callers, routers, outcomes, seed * 1_000 + number)
            tasks.append(asyncio.create_task(work))
        await _do_faults(seed, Hand(site, record, proxies))
        await _settle(site, routers, verdict)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        _judge(site, record, outcomes, verdict)
    finally:
        for task in tasks:
            task.cancel()
        await site.close()
        for proxy in proxies.values():
            await proxy.close()
    return verdict


async def _add_proxy(
    proxies: dict[str, Proxy],
    name: str,
    listen: tuple[str, int],
    target: tuple[str, int],
) -> None:
    proxy = proxies[name] = Proxy(listen, target)
    await proxy.start()


async def _build(site: FlowSite) -> None:
    for data_centre in ("medina", "sakiet", "sakiet"):
        await site.add_front(data_centre)
    for data_centre in ("medina", "sakiet", "thyna"):
        await site.add_gate(data_centre, "comptoir")
    for data_centre in ("medina", "thyna"):
        await site.add_gate(data_centre, "etiquettes")
    await site.wait_ready()


async def _call_repeatedly(
    callers: CallerGroup,
    routers: Routers,
    outcomes: list[tuple[RequestOutcome, bytes]],
    seed: int,
) -> None:
    source = random.Random(seed)
    number = 0
    while True:
        number += 1
        data = f"{seed}-{number}".encode()
        route = source.choice((ROUTE, ROUTE, LABELS_ROUTE))
        hold_s = source.choice((0.0, 0.0, 0.5, 2.0))
        outcome = await callers.request(
            routers, route=route, data=data, hold_s=hold_s, deadline_s=hold_s + 3.0
        )
        outcomes.append((outcome, b"answer " + data))
        await asyncio.sleep(source.uniform(0.0, 0.05))


async def _do_faults(seed: int, hand: Hand) -> None:
    began = asyncio.get_running_loop().time()

    async def do_later(fault: Fault) -> None:
        await asyncio.sleep(
            max(0.0, began + fault.at_s - asyncio.get_running_loop().time())
        )
        await hand.do(fault)

    plan = draw_plan(seed, LENGTH_S, FAULTS_A_SEED)
    await asyncio.gather(*(do_later(fault) for fault in plan))


async def _settle(site: FlowSite, routers: Routers, verdict: Verdict) -> None:
    """Expect service at every front soon after the last fault."""
    callers = await site.add_caller_group()
    deadline = asyncio.get_running_loop().time() + SETTLE_S
    for front in site.fronts:
        for number in itertools.count():
            data = f"settle-{front}-{number}".encode()
            outcome = await callers.request([front], data=data, deadline_s=1.5)
            if outcome.answer:
                break
            if asyncio.get_running_loop().time() > deadline:
                verdict.broken.append(f"RECOVER: {front} does not serve")
                break


def _judge(
    site: FlowSite,
    record: Record,
    outcomes: list[tuple[RequestOutcome, bytes]],
    verdict: Verdict,
) -> None:
    verdict.requests = len(outcomes)
    verdict.answered = sum(1 for outcome, _ in outcomes if outcome.answer)
    runs: dict[bytes, int] = {}
    alive: dict[int, SocketHost] = {host.flows.number: host for host in site.hosts}
    for host in site.host_runs:
        verdict.broken += judge_host(host, record)
        for data in host.flows.ran:
            runs[data] = runs.get(data, 0) + 1
    verdict.broken += [f"ONCE: {data!r} ran {n}x" for data, n in runs.items() if n > 1]
    for outcome, expected in outcomes:
        host = alive.get(outcome.host_number)
        verdict.broken += judge_outcome(outcome, expected, host, record)
    verdict.broken += site.faults
    for name, vm in site.vms.items():
        child = site.processes.get(name)
        if not child.is_running():
            verdict.broken.append(f"EXIT: {vm.name} ended by itself")
        if "event=error_caught" in child.output.read_text(errors="replace"):
            verdict.broken.append(f"ERROR: {vm.name} caught an error")


async def play_seeds(seeds: list[int], output: Path, at_once: int) -> list[Verdict]:
    """Play seeds, some at a time; keep the logs of those that broke something."""
    limit = asyncio.Semaphore(at_once)
    networks = list(range(10, 10 + at_once))

    async def play_one(seed: int) -> Verdict:
        async with limit:
            network = networks.pop()
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            try:
                verdict = await play(seed, directory, network)
            finally:
                networks.append(network)
            if verdict.broken:
                kept = output / f"seed-{seed}"
                shutil.copytree(directory, kept, dirs_exist_ok=True)
            shutil.rmtree(directory)
            print(
                f"seed {seed}: {verdict.answered} of {verdict.requests} answered, "
                f"{len(verdict.broken)} broken",
                flush=True,
            )
            for text in verdict.broken[:10]:
                print(f"  {text}", flush=True)
            return verdict

    return list(await asyncio.gather(*(play_one(seed) for seed in seeds)))


def main() -> int:
    """Play the seeds that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m soak.run")
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed")
    parser.add_argument("--at-once", type=int, default=3, help="sites at a time")
    parser.add_argument("--output", type=Path, default=Path("out/soak"))
    arguments = parser.parse_args()
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(1, 1_000_000)
    seeds = list(range(first, first + arguments.seeds))
    print(f"seeds {seeds[0]} to {seeds[-1]}", flush=True)
    verdicts = asyncio.run(play_seeds(seeds, arguments.output, arguments.at_once))
    broken = [verdict for verdict in verdicts if verdict.broken]
    print(f"{len(verdicts)} seeds, {len(broken)} broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
