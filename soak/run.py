"""``python -m soak.run``: runs the soak test with a range of seeds.

Each seed runs a small site of node processes under load and injects overlapping faults.
The violated guarantees are printed; the logs of a seed with violations are kept in the
output folder.
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
from typing import Any, Final

from standins.flow_host import build_failure
from standins.flow_site import FlowSite, SocketHost

from .callers import LABELS_ROUTE, RequestSender
from .faults import LOAD_FAULTS, Fault, FaultInjector, draw_plan
from .guarantees import FaultRecord, check_host, check_outcome
from .proxy import Proxy

DURATION_S: Final = 10.0
FAULTS_PER_SEED: Final = 6
LOAD_FAULTS_PER_SEED: Final = 2
CALLERS: Final = 12
RECOVERY_TIMEOUT_S: Final = 6.0
"""Every front must serve requests again within this time of the last fault."""
PROBE_MISSES: Final = 2
PROBE_S: Final = 0.5


@dataclass(slots=True)
class SeedResult:
    """Result of a seed.

    Attributes
    ----------
    seed : int
        The seed.
    requests, answered : int
        Requests sent, and requests answered.
    failed : int
        Requests that failing hosts have run and answered with a failure.
    violations : list of str
        Violations of guarantees.
    """

    seed: int
    requests: int = 0
    answered: int = 0
    failed: int = 0
    violations: list[str] = field(default_factory=list)


class Routers:
    """Maintains the list of fronts in rotation, as the users' routers do."""

    def __init__(self, site: FlowSite) -> None:
        self._site = site
        self._misses: dict[str, int] = {}
        self.fronts: list[str] = list(site.fronts)

    async def run(self) -> None:
        """Probe the readiness of each front every `PROBE_S`."""
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


def draw_faults(seed: int) -> list[Fault]:
    """Draw the faults of a seed; the load faults do not change the others."""
    plan = draw_plan(seed, DURATION_S, FAULTS_PER_SEED)
    kinds = sorted(LOAD_FAULTS)
    plan += draw_plan(f"load-{seed}", DURATION_S, LOAD_FAULTS_PER_SEED, kinds)
    return sorted(plan, key=lambda fault: fault.at_s)


def draw_load_settings(seed: int) -> dict[str, Any]:
    """Draw the settings of a seed for decisions under load, each on or off."""
    source = random.Random(f"settings-{seed}")
    return {
        "admission": source.choice(("fixed", "deadline")),
        "placement": source.choice(("queue", "delay")),
        "outliers": source.choice((False, True)),
    }


async def run_seed(
    seed: int,
    directory: Path,
    network: int,
    plan: list[Fault] | None = None,
    load_settings: dict[str, Any] | None = None,
) -> SeedResult:
    """Run a seed, with other faults and load settings than its own if given."""
    result = SeedResult(seed)
    record = FaultRecord()
    if plan is None:
        plan = draw_faults(seed)
    if load_settings is None:
        load_settings = draw_load_settings(seed)
    site = FlowSite(directory, network, load_settings=load_settings)
    site.routes |= {LABELS_ROUTE: "etiquettes"}
    await site.start()
    proxies: dict[str, Proxy] = {}
    site.start_store_proxy = lambda name, listen, target: _add_proxy(
        proxies, name, listen, target
    )
    tasks: list[asyncio.Task[None]] = []
    try:
        await _add_nodes(site)
        routers = Routers(site)
        sender = RequestSender(routers)
        tasks.append(asyncio.create_task(routers.run()))
        for number in range(CALLERS):
            work = sender.run(site.caller_groups[0], seed * 1_000 + number)
            tasks.append(asyncio.create_task(work))
        await _inject_faults(plan, FaultInjector(site, record, proxies, sender))
        await _check_recovery(site, routers, result)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        _check_guarantees(site, record, sender, result)
    finally:
        for task in tasks:
            task.cancel()
        await site.close()
        for proxy in proxies.values():
            await proxy.close()
    return result


async def _add_proxy(
    proxies: dict[str, Proxy],
    name: str,
    listen: tuple[str, int],
    target: tuple[str, int],
) -> None:
    proxy = proxies[name] = Proxy(listen, target)
    await proxy.start()


async def _add_nodes(site: FlowSite) -> None:
    for data_centre in ("medina", "sakiet", "sakiet"):
        await site.add_front(data_centre)
    for data_centre in ("medina", "sakiet", "thyna"):
        await site.add_gate(data_centre, "comptoir")
    for data_centre in ("medina", "thyna"):
        await site.add_gate(data_centre, "etiquettes")
    await site.wait_ready()


async def _inject_faults(plan: list[Fault], injector: FaultInjector) -> None:
    started_at = asyncio.get_running_loop().time()

    async def inject_later(fault: Fault) -> None:
        await asyncio.sleep(
            max(0.0, started_at + fault.at_s - asyncio.get_running_loop().time())
        )
        await injector.inject(fault)

    await asyncio.gather(*(inject_later(fault) for fault in plan))


async def _check_recovery(site: FlowSite, routers: Routers, result: SeedResult) -> None:
    """Check that every front serves requests within `RECOVERY_TIMEOUT_S`."""
    callers = await site.add_caller_group()
    deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_S
    for front in site.fronts:
        for number in itertools.count():
            data = f"settle-{front}-{number}".encode()
            outcome = await callers.request([front], data=data, deadline_s=1.5)
            if outcome.answer:
                break
            if asyncio.get_running_loop().time() > deadline:
                result.violations.append(f"RECOVER: {front} does not serve requests")
                break


def _check_guarantees(
    site: FlowSite,
    record: FaultRecord,
    sender: RequestSender,
    result: SeedResult,
) -> None:
    outcomes = sender.outcomes
    failed: set[bytes] = set()
    for host in site.host_runs:
        failed |= host.flows.failed_requests
    result.requests = len(outcomes)
    result.failed = sum(data in failed for _, data in outcomes)
    result.answered = sum(1 for outcome, _ in outcomes if outcome.answer)
    runs: dict[bytes, int] = {}
    current_hosts: dict[int, SocketHost] = {
        host.flows.number: host for host in site.hosts
    }
    for host in site.host_runs:
        result.violations += check_host(host, record)
        for data in host.flows.run_requests:
            runs[data] = runs.get(data, 0) + 1
    result.violations += [
        f"ONCE: {data!r} ran {n}x" for data, n in runs.items() if n > 1
    ]
    for outcome, data in outcomes:
        expected = build_failure(data) if data in failed else b"answer " + data
        host = current_hosts.get(outcome.host_number)
        result.violations += check_outcome(outcome, expected, host, record)
    result.violations += site.faults
    for name, vm in site.vms.items():
        child = site.processes.get(name)
        if not child.is_running():
            result.violations.append(f"EXIT: {vm.name} exited unexpectedly")
        if "event=error_caught" in child.output.read_text(errors="replace"):
            result.violations.append(f"ERROR: {vm.name} logged an error")


async def run_seeds(seeds: list[int], output: Path, at_once: int) -> list[SeedResult]:
    """Run seeds, `at_once` at a time; keep the logs of those with violations."""
    limit = asyncio.Semaphore(at_once)
    networks = list(range(10, 10 + at_once))

    async def run_one(seed: int) -> SeedResult:
        async with limit:
            network = networks.pop()
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            try:
                result = await run_seed(seed, directory, network)
            finally:
                networks.append(network)
            if result.violations:
                kept = output / f"seed-{seed}"
                shutil.copytree(directory, kept, dirs_exist_ok=True)
            shutil.rmtree(directory)
            print(
                f"seed {seed}: {result.answered} of {result.requests} answered, "
                f"{result.failed} failed by hosts, "
                f"{len(result.violations)} violations",
                flush=True,
            )
            for text in result.violations[:10]:
                print(f"  {text}", flush=True)
            return result

    return list(await asyncio.gather(*(run_one(seed) for seed in seeds)))


def main() -> int:
    """Run the seeds selected on the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak.run")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument(
        "--first", type=int, default=None, help="first seed (default: random)"
    )
    parser.add_argument(
        "--at-once", type=int, default=3, help="number of sites that run concurrently"
    )
    parser.add_argument("--output", type=Path, default=Path("out/soak"))
    arguments = parser.parse_args()
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(1, 1_000_000)
    seeds = list(range(first, first + arguments.seeds))
    print(f"seeds {seeds[0]} to {seeds[-1]}", flush=True)
    results = asyncio.run(run_seeds(seeds, arguments.output, arguments.at_once))
    failed = [result for result in results if result.violations]
    print(f"{len(results)} seeds, {len(failed)} violated a guarantee")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
