"""Faults, their selection by seed, and their injection into a site."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from standins.flow_site import ROUTE, WORK_S

from .callers import LABELS_ROUTE
from .proxy import ProxyMode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from standins.flow_site import VM, FlowSite

    from .callers import RequestSender
    from .guarantees import FaultRecord
    from .proxy import Proxy

STOP_TIMEOUT_S: Final = 7.0
DEREGISTER_DELAY_S: Final = 3.2
BURST_CALLERS: Final = 4
BURST_STREAMS: Final = 40
"""Requests at once in a burst, more than the gates of a route dispatch."""
GREEDY_STREAMS: Final = 10
SLOW_FACTOR: Final = 20.0
FAILURE_S: Final = 0.001
FLAP_DOWN_S: Final = 0.3
FLAP_UP_S: Final = 0.6


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan.

    Attributes
    ----------
    at_s : float
        Start, in seconds after the start of the load.
    kind : str
        Key of the function in `FAULTS` or `LOAD_FAULTS` that injects it.
    pick : float
        Random number, 0 to 1, that selects the target.
    duration_s : float
        Duration, in seconds.
    """

    at_s: float
    kind: str
    pick: float
    duration_s: float


def draw_plan(
    seed: int | str, length_s: float, count: int, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Draw the faults of a seed, which may overlap and occur in series.

    The kinds are those of `FAULTS` unless others are given.
    """
    source = random.Random(seed)
    kinds = kinds or sorted(FAULTS)
    plan = []
    for _ in range(count):
        kind = source.choice(kinds)
        at_s = source.uniform(0.0, length_s)
        for _ in range(source.choice((1, 1, 2, 3))):
            pick, duration_s = source.random(), source.uniform(0.2, 4.0)
            plan.append(Fault(at_s, kind, pick, duration_s))
            at_s += source.uniform(0.0, 1.0)
    return sorted(plan, key=lambda fault: fault.at_s)


class FaultInjector:
    """Injects faults into a site.

    Parameters
    ----------
    site : FlowSite
        The site.
    record : FaultRecord
        Record of the injected faults, used by the checks.
    proxies : dict of str to Proxy
        Proxy between each node and the store, by name of the node.
    sender : RequestSender
        Sends the requests of additional callers.
    """

    def __init__(
        self,
        site: FlowSite,
        record: FaultRecord,
        proxies: dict[str, Proxy],
        sender: RequestSender,
    ) -> None:
        self._site = site
        self._record = record
        self._proxies = proxies
        self._sender = sender
        self._busy: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and end it."""
        await (FAULTS | LOAD_FAULTS)[fault.kind](self, fault)

    def _choose_vm(self, fault: Fault, role: str) -> VM | None:
        vms = [
            each
            for each in self._site.vms.values()
            if each.role.startswith(role) and each.name not in self._busy
        ]
        # At least one of these nodes stays up, so that requests can be served.
        if len(vms) < 2:
            return None
        return vms[int(fault.pick * len(vms))]

    async def _restart_node(self, fault: Fault, role: str, *, gracefully: bool) -> None:
        vm = self._choose_vm(fault, role)
        if vm is None:
            return
        self._busy.add(vm.name)
        processes = self._site.processes
        spans = self._record.nodes_down.setdefault(vm.name, [])
        span = self._record.start_span(spans, self._now())
        if gracefully:
            processes.terminate(vm.name)
            wait = processes.wait_stopped
            status = await asyncio.to_thread(wait, vm.name, STOP_TIMEOUT_S)
            if status != 0:
                self._site.faults.append(f"STOP: {vm.name} ended with {status}")
        else:
            await asyncio.to_thread(processes.kill, vm.name)
            await asyncio.sleep(min(fault.duration_s, 1.5))
        self._site.start_node(vm)
        while not await self._site.is_ready(vm):
            await asyncio.sleep(0.1)
        span.end = self._now()
        self._busy.discard(vm.name)

    async def kill_node(self, fault: Fault) -> None:
        """Kill a node and restart it."""
        await self._restart_node(fault, "", gracefully=False)

    async def stop_front(self, fault: Fault) -> None:
        """Stop a front gracefully and restart it."""
        await self._restart_node(fault, "front", gracefully=True)

    async def stop_gate(self, fault: Fault) -> None:
        """Stop a gate gracefully and restart it."""
        await self._restart_node(fault, "gate", gracefully=True)

    async def pause_node(self, fault: Fault) -> None:
        """Suspend a node for a time."""
        vm = self._choose_vm(fault, "")
        if vm is None:
            return
        self._busy.add(vm.name)
        spans = self._record.nodes_down.setdefault(vm.name, [])
        span = self._record.start_span(spans, self._now())
        self._site.processes.pause(vm.name)
        await asyncio.sleep(fault.duration_s)
        self._site.processes.resume(vm.name)
        span.end = self._now()
        self._busy.discard(vm.name)

    async def cut_store(self, fault: Fault) -> None:
        """Disturb the connections of a node to the store."""
        names = sorted(self._proxies)
        proxy = self._proxies[names[int(fault.pick * len(names))]]
        modes = (
            ProxyMode.SILENT,
            ProxyMode.RESET,
            ProxyMode.DELAYED,
            ProxyMode.REQUESTS_ONLY,
        )
        span = self._record.start_span(self._record.store_down, self._now())
        proxy.set_mode(modes[int(fault.duration_s * 100) % len(modes)])
        await asyncio.sleep(fault.duration_s)
        proxy.set_mode(ProxyMode.OPEN)
        span.end = self._now() + 4.0

    async def down_store(self, fault: Fault) -> None:
        """Make the store fail, reset or ignore all requests."""
        span = self._record.start_span(self._record.store_down, self._now())
        modes = ("busy", "reset", "silent")
        self._site.store.mode = modes[int(fault.pick * len(modes))]
        await asyncio.sleep(fault.duration_s)
        self._site.store.mode = "up"
        span.end = self._now() + 4.0

    async def lose_answers(self, fault: Fault) -> None:
        """Make the store lose the responses of half of the writes."""
        self._site.store.lost_share = 0.5
        await asyncio.sleep(fault.duration_s)
        self._site.store.lost_share = 0.0

    async def forget_history(self, _fault: Fault) -> None:
        """Make the store drop its history."""
        await self._site.store.forget_history()

    async def crash_host(self, fault: Fault) -> None:
        """Stop a host without deregistering and start a new one."""
        vm = self._choose_vm(fault, "gate")
        if vm is None or vm.host is None:
            return
        self._busy.add(vm.name)
        await vm.host.close()
        await asyncio.sleep(min(fault.duration_s, 2.0))
        await self._site.start_host(vm)
        self._busy.discard(vm.name)

    async def drain_host(self, fault: Fault) -> None:
        """Drain and deregister a host, and start a new one on its VM."""
        vm = self._choose_vm(fault, "gate")
        if vm is None or vm.host is None:
            return
        self._busy.add(vm.name)
        host = vm.host
        host.state = "draining"
        if await host.send_heartbeat():
            host.drained_at = host.acknowledged_at
        await asyncio.sleep(DEREGISTER_DELAY_S + fault.duration_s / 4)
        await host.deregister()
        await self._site.start_host(vm)
        self._busy.discard(vm.name)

    async def evacuate(self, fault: Fault) -> None:
        """Evacuate a data centre and return it to service."""
        data_centre = ("medina", "sakiet")[fault.pick > 0.5]
        key = f"out {data_centre}"
        if any(name.startswith("out") for name in self._busy):
            return
        self._busy.add(key)
        await self._site.store.put("evacuations", data_centre, {})
        spans = self._record.evacuated.setdefault(data_centre, [])
        span = self._record.start_span(spans, self._now())
        await asyncio.sleep(3.0 + fault.duration_s)
        span.end = self._now()
        await self._site.store.remove("evacuations", data_centre)
        self._busy.discard(key)

    async def change_routes(self, fault: Fault) -> None:
        """Write several versions of the desired state in quick succession."""
        for number in range(1 + int(fault.pick * 5)):
            extra = {("198.18.7.7", 1_000 + number): "comptoir"}
            await self._site.write_desired_state(self._site.routes | extra)
            await asyncio.sleep(0.05)

    async def change_settings(self, fault: Fault) -> None:
        """Send a node SIGHUP."""
        vm = self._choose_vm(fault, "")
        if vm is not None:
            self._site.processes.hang_up(vm.name)

    async def send_burst(self, fault: Fault) -> None:
        """Send a burst of one kind of request, from several callers."""
        route = (ROUTE, LABELS_ROUTE)[fault.pick > 0.5]
        groups = [await self._site.add_caller_group() for _ in range(BURST_CALLERS)]
        streams = BURST_STREAMS // BURST_CALLERS
        await asyncio.gather(
            *(
                self._sender.run_without_pauses(
                    callers, route, streams, fault.duration_s
                )
                for callers in groups
            )
        )

    async def add_greedy_caller(self, fault: Fault) -> None:
        """Let one caller send several times as much as all others."""
        callers = await self._site.add_caller_group()
        route = (ROUTE, LABELS_ROUTE)[fault.pick > 0.5]
        await self._sender.run_without_pauses(
            callers, route, GREEDY_STREAMS, fault.duration_s
        )

    async def slow_host(self, fault: Fault) -> None:
        """Make a host much slower for a time."""
        vm = self._choose_vm(fault, "gate")
        if vm is None or vm.host is None:
            return
        host = vm.host
        host.work_s = SLOW_FACTOR * WORK_S
        await asyncio.sleep(fault.duration_s)
        host.work_s = WORK_S

    async def fail_requests(self, fault: Fault) -> None:
        """Make a host that reports that it is ready fail its requests quickly."""
        vm = self._choose_vm(fault, "gate")
        if vm is None or vm.host is None:
            return
        host = vm.host
        host.flows.fails = True
        host.work_s = FAILURE_S
        await asyncio.sleep(fault.duration_s)
        host.flows.fails = False
        host.work_s = WORK_S

    async def flap_host(self, fault: Fault) -> None:
        """Stop a host without deregistering and start it, again and again."""
        vm = self._choose_vm(fault, "gate")
        if vm is None or vm.host is None:
            return
        self._busy.add(vm.name)
        end = self._now() + fault.duration_s
        while self._now() < end and vm.host is not None:
            await vm.host.close()
            await asyncio.sleep(FLAP_DOWN_S)
            await self._site.start_host(vm)
            await asyncio.sleep(FLAP_UP_S)
        self._busy.discard(vm.name)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


FAULTS: Final[dict[str, Callable[[FaultInjector, Fault], Awaitable[None]]]] = {
    "kill_node": FaultInjector.kill_node,
    "stop_front": FaultInjector.stop_front,
    "stop_gate": FaultInjector.stop_gate,
    "pause_node": FaultInjector.pause_node,
    "cut_store": FaultInjector.cut_store,
    "down_store": FaultInjector.down_store,
    "lose_answers": FaultInjector.lose_answers,
    "forget_history": FaultInjector.forget_history,
    "crash_host": FaultInjector.crash_host,
    "drain_host": FaultInjector.drain_host,
    "evacuate": FaultInjector.evacuate,
    "change_routes": FaultInjector.change_routes,
    "change_settings": FaultInjector.change_settings,
}
LOAD_FAULTS: Final[dict[str, Callable[[FaultInjector, Fault], Awaitable[None]]]] = {
    "send_burst": FaultInjector.send_burst,
    "add_greedy_caller": FaultInjector.add_greedy_caller,
    "slow_host": FaultInjector.slow_host,
    "fail_requests": FaultInjector.fail_requests,
    "flap_host": FaultInjector.flap_host,
}
"""Faults in the load and in how hosts serve it. They are drawn apart from `FAULTS`, so
that the plans of regression seeds stay as they are."""

__all__ = ["FAULTS", "LOAD_FAULTS", "Fault", "FaultInjector", "draw_plan"]
