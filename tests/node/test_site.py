"""Node processes with stand-ins for the platform's store, hosts and callers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
from typing import TYPE_CHECKING

import pytest

from standins.flow_host import SYN
from standins.flow_site import ROUTE, FlowSite, RequestOutcome, SocketHost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from pathlib import Path

NETWORKS = itertools.count(os.getpid() % 100 + 100)
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
EVACUATE_S = 5.0
RECOVERY_S = 2.0


@contextlib.asynccontextmanager
async def open_site(
    directory: Path, fronts: int = 2, gates: int = 3
) -> AsyncIterator[FlowSite]:
    """Run a site of node processes; close it at the end."""
    site = FlowSite(directory, next(NETWORKS))
    await site.start()
    try:
        for _ in range(fronts):
            await site.add_front()
        for _ in range(gates):
            await site.add_gate()
        await site.wait_ready()
        yield site
    finally:
        await site.close()


def count_openings(host: SocketHost) -> int:
    """Count the opening packets that a host has received."""
    return sum(1 for packet in host.flows.received if packet.flags & SYN)


def restart_nodes(site: FlowSite, role: str) -> None:
    """Kill the nodes of a role, one after the other, and start each again."""
    for vm in list(site.vms.values()):
        if vm.role == role:
            site.processes.kill(vm.name)
            site.start_node(vm)


async def wait_until(
    check: Callable[[], Awaitable[bool]], within_s: float, what: str
) -> None:
    """Wait until a check holds; fail after `within_s` seconds."""
    try:
        async with asyncio.timeout(within_s):
            while not await check():
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise AssertionError(f"not within {within_s} s: {what}") from None


def test_requests_survive_the_loss_of_a_front(tmp_path: Path) -> None:
    async def run() -> list[RequestOutcome]:
        async with open_site(tmp_path) as site:
            callers = site.caller_groups[0]
            first, second = site.fronts
            held = [
                asyncio.create_task(callers.request([first, second], hold_s=0.1 * n))
                for n in range(20)
            ]
            await asyncio.sleep(0.3)
            name = next(n for n, m in site.vms.items() if m.ip == first)
            site.processes.kill(name)
            return list(await asyncio.gather(*held))

    outcomes = asyncio.run(run())
    assert all(outcome.answer == b"answer request" for outcome in outcomes)
    assert not any(outcome.was_reset for outcome in outcomes)


def test_flow_survives_the_restart_of_all_gates(tmp_path: Path) -> None:
    async def run() -> RequestOutcome:
        async with open_site(tmp_path, gates=2) as site:
            callers = site.caller_groups[0]
            held = asyncio.create_task(callers.request(site.fronts, hold_s=2.0))
            await asyncio.sleep(0.3)
            restart_nodes(site, "gate")
            return await held

    outcome = asyncio.run(run())
    assert outcome.answer == b"answer request"
    assert not outcome.was_reset


def test_flow_survives_a_gate_whose_earlier_process_never_reached_the_store(
    tmp_path: Path,
) -> None:
    """Guards against a gate that takes a new entry for proof of no earlier gate."""

    async def run() -> RequestOutcome:
        async with open_site(tmp_path, fronts=1, gates=1) as site:
            callers = site.caller_groups[0]
            site.store.mode = "silent"
            joined = await site.add_gate()
            host = joined.host
            assert host is not None
            site.hosts[0].state = "draining"

            async def is_used() -> bool:
                await callers.request(site.fronts, deadline_s=1.0)
                return bool(host.flows.received)

            async def is_listed() -> bool:
                entry = joined.ip.replace(".", "-")
                return entry in site.store.list_names("nodes")

            await wait_until(is_used, RECOVERY_S, "the host that joined is used")
            held = asyncio.create_task(
                callers.request(site.fronts, hold_s=4.0, deadline_s=8.0)
            )
            await asyncio.sleep(0.5)
            site.processes.kill(joined.name)
            site.store.mode = "up"
            site.start_node(joined)
            await wait_until(is_listed, RECOVERY_S, "the gate has an entry")
            restart_nodes(site, "front")
            return await held

    outcome = asyncio.run(run())
    assert outcome.was_open
    assert not outcome.was_reset
    assert outcome.answer == b"answer request"


def test_flow_of_a_host_that_ends_beside_a_restarted_gate_is_reset(
    tmp_path: Path,
) -> None:
    """Guards against callers who wait for a host that has crashed without a word."""

    async def run() -> RequestOutcome:
        async with open_site(tmp_path, fronts=1, gates=2) as site:
            callers = site.caller_groups[0]
            held = asyncio.create_task(
                callers.request(site.fronts, hold_s=3.0, deadline_s=7.0)
            )
            await asyncio.sleep(0.3)
            restart_nodes(site, "gate")
            await site.wait_ready()
            for host in site.hosts:
                await host.close()
            return await held

    outcome = asyncio.run(run())
    assert outcome.was_open
    assert outcome.was_reset


def test_route_change_is_applied_in_time(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_site(tmp_path) as site:
            callers = site.caller_groups[0]

            async def is_served() -> bool:
                outcomes = [
                    await callers.request([front], deadline_s=1.0)
                    for front in site.fronts
                ]
                return all(outcome.answer for outcome in outcomes)

            async def is_refused() -> bool:
                outcomes = [
                    await callers.request([front], deadline_s=1.0)
                    for front in site.fronts
                ]
                return all(outcome.was_reset for outcome in outcomes)

            await site.write_desired_state({("198.18.0.2", 80): "comptoir"})
            await wait_until(is_refused, CONFIG_APPLY_S, "the route is gone")
            await site.write_desired_state({ROUTE: "comptoir"})
            await wait_until(is_served, CONFIG_APPLY_S, "the route is there")

    asyncio.run(run())


async def read_metrics(site: FlowSite, ip: str) -> tuple[int, str]:
    """Read the metrics page of a node; return its status and its text."""
    url = f"http://{ip}:{site.ports.metrics}/metrics"
    async with site.session.get(url) as response:
        return response.status, await response.text()


def read_sample(page: str, name: str) -> float:
    """Return a sample of a metrics page, 0 if it is missing."""
    for line in page.splitlines():
        if line.startswith(f"balsamstream_{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


def test_running_front_and_gate_serve_their_metrics(tmp_path: Path) -> None:
    # The library for the page imports ssl, which a node otherwise does without.
    async def run() -> dict[str, tuple[int, str]]:
        async with open_site(tmp_path, fronts=1, gates=1) as site:
            outcome = await site.caller_groups[0].request(site.fronts)
            assert outcome.answer
            return {
                vm.role: await read_metrics(site, vm.ip) for vm in site.vms.values()
            }

    pages = asyncio.run(run())
    assert {role: status for role, (status, _) in pages.items()} == {
        "front": 200,
        "gate": 200,
    }
    assert read_sample(pages["front"][1], "flows_placed_total") >= 1
    gate = pages["gate"][1]
    assert read_sample(gate, "flows_offered_total") >= 1
    assert read_sample(gate, 'answer_seconds_bucket{le="+Inf"}') >= 1


def test_gate_without_a_host_is_known_to_nobody(tmp_path: Path) -> None:
    # After a loss of all power the VMs of hosts that had left come back for a moment,
    # and searches awaited their gates for seconds once they had vanished again.
    async def run() -> tuple[list[str], str, list[str]]:
        async with open_site(tmp_path, fronts=1, gates=1) as site:
            vm = await site.add_gate("sakiet")
            assert vm.host is not None
            entry = vm.ip.replace(".", "-")

            async def is_listed() -> bool:
                return entry in site.store.list_names("nodes")

            await site.wait_ready()
            await wait_until(is_listed, RECOVERY_S, "the gate with a host is listed")
            await vm.host.close()
            site.processes.kill(vm.name)
            await site.store.remove("nodes", entry)
            front = next(m for m in site.vms.values() if m.role == "front")
            site.processes.kill(front.name)
            site.start_node(vm)
            site.start_node(front)
            await site.wait_ready()
            await asyncio.sleep(1.5)
            log = site.processes.get(front.name).read_output()
            without = site.store.list_names("nodes")
            await site.start_host(vm)
            await wait_until(is_listed, RECOVERY_S, "the gate is listed again")
            return without, log, [entry, vm.ip]

    names, log, (entry, ip) = asyncio.run(run())
    assert entry not in names
    assert f"host={ip} " not in log


def test_draining_host_gets_nothing_new(tmp_path: Path) -> None:
    async def run() -> int:
        async with open_site(tmp_path, gates=2) as site:
            callers = site.caller_groups[0]
            leaving = site.hosts[0]
            leaving.state = "draining"
            assert await leaving.send_heartbeat()
            await asyncio.sleep(0.1)
            before = count_openings(leaving)
            for _ in range(10):
                outcome = await callers.request(site.fronts)
                assert outcome.answer
            return count_openings(leaving) - before

    assert asyncio.run(run()) == 0


def test_data_centre_is_evacuated_and_restored(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_site(tmp_path, gates=1) as site:
            await site.add_gate("sakiet")
            callers = site.caller_groups[0]
            out = site.hosts[0]

            async def is_out() -> bool:
                before = count_openings(out)
                for _ in range(4):
                    await callers.request(site.fronts, deadline_s=1.0)
                return count_openings(out) == before

            async def is_in() -> bool:
                return not await is_out()

            await site.store.put("evacuations", "medina", {})
            await wait_until(is_out, EVACUATE_S, "nothing reaches the data centre")
            await site.store.remove("evacuations", "medina")
            await wait_until(is_in, EVACUATE_S, "the data centre is served again")

    asyncio.run(run())


def test_nodes_started_during_a_store_outage_get_state_from_other_nodes(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with open_site(tmp_path) as site:
            site.store.mode = "busy"
            callers = site.caller_groups[0]
            added = await site.add_front()
            gate = await site.add_gate()
            assert gate.host is not None
            host = gate.host

            async def is_complete() -> bool:
                outcomes = [
                    await callers.request([added.ip], deadline_s=1.0) for _ in range(6)
                ]
                served = all(outcome.answer for outcome in outcomes)
                return served and bool(host.flows.received)

            await wait_until(is_complete, 6.0, "the added front and gate serve")

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_hosts_serve_again_after_restarts_during_a_store_outage(
    tmp_path: Path, mode: str
) -> None:
    async def run() -> None:
        async with open_site(tmp_path) as site:
            site.store.mode = mode
            for vm in list(site.vms.values()):
                site.processes.kill(vm.name)
            for vm in list(site.vms.values()):
                site.start_node(vm)
            await asyncio.sleep(3.5)
            site.store.mode = "up"
            callers = site.caller_groups[0]

            async def is_back() -> bool:
                outcomes = [
                    await callers.request([front], deadline_s=1.0)
                    for front in site.fronts
                ]
                return all(outcome.answer for outcome in outcomes)

            await wait_until(is_back, RECOVERY_S, "requests are answered")

    asyncio.run(run())


def test_change_is_applied_after_the_store_dropped_its_history(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_site(tmp_path) as site:
            await site.store.forget_history()
            await site.write_desired_state({("198.18.0.2", 80): "comptoir"})
            callers = site.caller_groups[0]

            async def is_refused() -> bool:
                outcome = await callers.request(site.fronts, deadline_s=1.0)
                return outcome.was_reset

            await wait_until(is_refused, CONFIG_APPLY_S, "the route is gone")

    asyncio.run(run())


def test_entries_are_written_despite_lost_responses_and_deleted_with_hosts(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        site = FlowSite(tmp_path, next(NETWORKS))
        await site.start()
        site.store.lost_share = 0.5
        try:
            await site.add_front()
            gate = await site.add_gate()
            await site.wait_ready()
            assert gate.host is not None
            site.store.lost_share = 0.0
            assert len(site.store.list_names("nodes")) == 2
            assert await gate.host.deregister()
            await gate.host.close()
            site.processes.terminate(gate.name)
            # The store runs in this loop, so nothing may block it.
            wait = site.processes.wait_stopped
            assert await asyncio.to_thread(wait, gate.name) == 0
            assert len(site.store.list_names("nodes")) == 1
        finally:
            await site.close()

    asyncio.run(run())


def test_front_stops_gracefully(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_site(tmp_path) as site:
            callers = site.caller_groups[0]
            vm = next(m for m in site.vms.values() if m.role == "front")
            held = asyncio.create_task(
                callers.request([vm.ip, site.fronts[1]], hold_s=0.2)
            )
            site.processes.terminate(vm.name)
            await asyncio.sleep(0.1)
            assert not await site.is_ready(vm)
            assert (await held).answer
            wait = site.processes.wait_stopped
            assert await asyncio.to_thread(wait, vm.name, 6.0) == 0

    asyncio.run(run())
