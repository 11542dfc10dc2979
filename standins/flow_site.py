"""A site of node processes on loopback addresses, with hosts, a store and callers.

Every simulated VM has its own address in 127.0.0.0/8, and the ports are the same on all
of them, as in production. Hosts, the store and the callers run in this process.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, Protocol

import aiohttp

from .flow_host import ACK, FIN, RST, SYN, FlowHost, Packet, decode
from .object_store import ObjectStore
from .processes import Processes
from .serving import start_http

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from aiohttp import web

HEARTBEAT_S: Final = 0.4
ROUTE: Final = ("198.18.0.1", 443)
RETRANSMIT_S: Final = (0.2, 0.4, 0.8, 1.6)
SYN_COPIES_S: Final = (0.2, 0.4, 0.8)
READY_TIMEOUT_S: Final = 15.0
CLOSE_DELAY_S: Final = 0.02
WORK_S: Final = 0.01


@dataclass(slots=True)
class Ports:
    """Ports of a site, the same on all of its VMs."""

    nodes: int
    metrics: int
    callers: int
    readiness: int
    host: int
    packets: int
    heartbeats: int
    store: int


def draw_ports(source: random.Random) -> Ports:
    """Draw ports that are likely to be free."""
    first = source.randrange(20_000, 30_000, 10)
    return Ports(*range(first, first + 8))


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, handle: Any) -> None:  # noqa: ANN401
        self._handle = handle

    def datagram_received(self, data: bytes, _address: tuple[str, int]) -> None:
        self._handle(data)


def _close_connection(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept a connection, as a host that runs does, and close it."""
    writer.close()


@dataclass(slots=True)
class VM:
    """A simulated VM with one node, and with a host if the node is a gate."""

    name: str
    role: str
    ip: str
    data_centre: str
    service: str = ""
    settings: Path | None = None
    host: SocketHost | None = None


class SocketHost:
    """A host with a UDP socket, next to a gate.

    Parameters
    ----------
    site : FlowSite
        The site.
    vm : VM
        The VM that it runs on.
    number : int
        Its initial sequence number on each flow, which identifies it.
    """

    def __init__(self, site: FlowSite, vm: VM, number: int) -> None:
        self._site = site
        self.vm = vm
        self.opened_flows: list[tuple[float, str]] = []
        self.drained_at = 0.0
        self.flows = FlowHost(number)
        self.state = "ready"
        self.work_s = WORK_S
        self.acknowledged_at = 0.0
        self.started_ms = int(time.time() * 1_000)
        self.id = f"i-{vm.name}-{self.started_ms}"
        self.heartbeats = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._health_server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the sockets and start sending heartbeats."""
        ports = self._site.ports
        self._health_server = await asyncio.start_server(
            _close_connection, self.vm.ip, ports.host
        )
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._handle), (self.vm.ip, ports.host)
        )
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop without deregistering."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._health_server is not None:
            self._health_server.close()
            self._health_server = None
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
            # The event loop closes the socket in its next iteration.
            await asyncio.sleep(CLOSE_DELAY_S)

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; tell whether it was acknowledged."""
        self.heartbeats += 1
        body = {
            "service": self.vm.service,
            "address": f"{self.vm.ip}:{self._site.ports.host}",
            "zone": self.vm.data_centre,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.heartbeats,
            "born": self.started_ms,
        }
        done = await self._call("PUT", body)
        if done:
            self.acknowledged_at = asyncio.get_running_loop().time()
        return done

    async def deregister(self) -> bool:
        """Deregister at the gate; tell whether that was acknowledged."""
        return await self._call("DELETE", None)

    async def _call(self, method: str, body: object) -> bool:
        url = (
            f"http://{self.vm.ip}:{self._site.ports.heartbeats}"
            f"/balsamstream/instances/{self.id}"
        )
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._site.session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def _handle(self, body: bytes) -> None:
        is_request = len(body) > 31
        self._record_opening(body)
        for answer in self.flows.handle_packet(body):
            delay_s = self.work_s if is_request else 0.0
            asyncio.get_running_loop().call_later(delay_s, self._send, answer)

    def _record_opening(self, body: bytes) -> None:
        packet = decode(body)
        if not packet.flags & SYN or self.flows.has_open_flow(packet):
            return
        route = (socket.inet_ntoa(packet.target[0].to_bytes(4)), packet.target[1])
        service = self._site.routes.get(route, "no service")
        self.opened_flows.append((asyncio.get_running_loop().time(), service))

    def _send(self, packet: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(packet, (self.vm.ip, self._site.ports.packets))


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of a request.

    Attributes
    ----------
    port : int
        The caller's port, which identifies the flow in all logs.
    answer : bytes
        The answer, empty if there was none.
    was_reset : bool
        Whether the flow was reset.
    was_open : bool
        Whether the flow had been opened.
    took_s : float
        Duration of the request, in seconds.
    ended_at : float
        When it ended, in seconds of the loop's clock.
    host_number : int
        Initial sequence number of the host that opened the flow, which identifies it.
    """

    port: int
    answer: bytes = b""
    was_reset: bool = False
    was_open: bool = False
    took_s: float = 0.0
    ended_at: float = 0.0
    host_number: int = -1


class Rotation(Protocol):
    """Provides the fronts in rotation."""

    fronts: list[str]


class CallerGroup:
    """Callers that share an address; each request uses a new flow.

    Parameters
    ----------
    site : FlowSite
        The site.
    ip : str
        Address of the callers.
    """

    def __init__(self, site: FlowSite, ip: str) -> None:
        self._site = site
        self.ip = ip
        self._ports = itertools.count(1_024)
        self._inboxes: dict[int, asyncio.Queue[Packet]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.foreign = 0

    async def start(self) -> None:
        """Open the socket."""
        address = (self.ip, self._site.ports.callers)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._handle), address
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _handle(self, body: bytes) -> None:
        packet = decode(body)
        inbox = self._inboxes.get(packet.target[1])
        if inbox is not None:
            inbox.put_nowait(packet)

    def send(self, packet: Packet, front: str) -> None:
        """Send a packet to a front, as the routers would."""
        if self._transport is not None:
            self._transport.sendto(packet.encode(), (front, self._site.ports.callers))

    async def request(
        self,
        fronts: list[str] | Rotation,
        *,
        route: tuple[str, int] = ROUTE,
        data: bytes = b"request",
        hold_s: float = 0.0,
        deadline_s: float = 4.0,
    ) -> RequestOutcome:
        """Open a flow, send a request, wait for the answer and end the flow.

        Parameters
        ----------
        fronts : list of str or Rotation
            Fronts that packets are sent to in turn, or the provider of the fronts in
            rotation.
        route : tuple of str and int
            Address and port that the flow is opened to.
        data : bytes
            The request.
        hold_s : float
            Pause between the opening of the flow and the request, in seconds.
        deadline_s : float
            Maximum duration, in seconds.
        """
        port = next(self._ports)
        outcome = RequestOutcome(port)
        inbox = self._inboxes[port] = asyncio.Queue()
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_s):
                path = _FlowPath(port, route, fronts)
                await self._exchange(outcome, inbox, path, data, hold_s)
        except TimeoutError:
            pass
        finally:
            outcome.took_s = time.monotonic() - started_at
            outcome.ended_at = asyncio.get_running_loop().time()
            del self._inboxes[port]
        return outcome

    async def _exchange(
        self,
        outcome: RequestOutcome,
        inbox: asyncio.Queue[Packet],
        path: _FlowPath,
        data: bytes,
        hold_s: float,
    ) -> None:
        seq = random.getrandbits(31)
        build = self._build
        opened = None
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self.send(build(path, SYN, seq, copy), path.choose_front())
            opened = await self._receive(inbox, wait_s, SYN, outcome)
            if opened is not None or outcome.was_reset:
                break
        if opened is None:
            return
        ack = (opened.seq + 1) & 0xFFFF_FFFF
        outcome.was_open = True
        outcome.host_number = opened.seq
        await asyncio.sleep(hold_s)
        for wait_s in RETRANSMIT_S:
            request = build(path, ACK, seq + 1, ack, data)
            self.send(request, path.choose_front())
            answer = await self._receive(inbox, wait_s, 0, outcome)
            if outcome.was_reset:
                return
            if answer is not None:
                outcome.answer = answer.data
                end = build(path, FIN | ACK, seq + 1 + len(data), ack)
                self.send(end, path.choose_front())
                return

    def _build(
        self, path: _FlowPath, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> Packet:
        source = (int.from_bytes(socket.inet_aton(self.ip)), path.port)
        ip, port = path.route
        target = (int.from_bytes(socket.inet_aton(ip)), port)
        return Packet(source, target, flags, seq & 0xFFFF_FFFF, ack, data)

    async def _receive(
        self,
        inbox: asyncio.Queue[Packet],
        wait_s: float,
        flags: int,
        outcome: RequestOutcome,
    ) -> Packet | None:
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    packet = await inbox.get()
                    if packet.flags & RST:
                        outcome.was_reset = True
                        return None
                    if packet.flags & SYN == flags and (flags or packet.data):
                        return packet
        except TimeoutError:
            return None


@dataclass(slots=True)
class _FlowPath:
    """Route of a flow, and the fronts that its packets are sent to."""

    port: int
    route: tuple[str, int]
    fronts: list[str] | Rotation
    _next_index: int = 0

    def choose_front(self) -> str:
        """Choose the front of the next packet."""
        if not isinstance(self.fronts, list):
            # As in the routers: a flow keeps its front while the rotation is unchanged.
            return self.fronts.fronts[self.port % len(self.fronts.fronts)]
        self._next_index += 1
        return self.fronts[(self._next_index - 1) % len(self.fronts)]


@dataclass(slots=True)
class FlowSite:
    """The processes, hosts, store and callers of a site.

    Attributes
    ----------
    directory : Path
        Folder for settings and logs.
    network : int
        Second byte of the addresses, different for each site.
    routes : dict of tuple to str
        Services by address and port, as in the last desired state.
    start_store_proxy : callable or None
        Starts a proxy between a node and the store; called with the node's name, the
        address to listen on, and the store's address.
    host_runs : list of SocketHost
        All host instances, including those that have ended.
    faults : list of str
        Failures that neither callers nor hosts can observe.
    load_settings : dict
        Settings of all nodes for decisions under load, as in `LoadSettings`.
    """

    directory: Path
    network: int
    store: ObjectStore = field(default_factory=ObjectStore)
    vms: dict[str, VM] = field(default_factory=dict)
    caller_groups: list[CallerGroup] = field(default_factory=list)
    ports: Ports = field(init=False)
    processes: Processes = field(init=False)
    session: aiohttp.ClientSession = field(init=False)
    routes: dict[tuple[str, int], str] = field(
        default_factory=lambda: {ROUTE: "comptoir"}
    )
    start_store_proxy: Callable[..., Awaitable[None]] | None = None
    host_runs: list[SocketHost] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    load_settings: dict[str, Any] = field(default_factory=dict)
    _runner: web.AppRunner | None = None
    _numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _version: int = 0

    @property
    def store_ip(self) -> str:
        """Address of the store."""
        return f"127.{self.network}.9.1"

    async def start(self) -> None:
        """Start the store and write the first desired state."""
        self.ports = draw_ports(random.Random(f"{self.network}-{time.time()}"))
        self.processes = Processes(self.directory)
        self.session = aiohttp.ClientSession()
        self._runner, _ = await start_http(
            self.store.build(), (self.store_ip, self.ports.store)
        )
        await self.write_desired_state(self.routes)

    async def close(self) -> None:
        """Stop everything that was started."""
        self.processes.close()
        for vm in self.vms.values():
            if vm.host is not None:
                await vm.host.close()
        for callers in self.caller_groups:
            await callers.close()
        if self._runner is not None:
            await self._runner.cleanup()
        await self.session.close()

    async def write_desired_state(self, routes: dict[tuple[str, int], str]) -> int:
        """Write a desired state as an operator would; return its version."""
        self._version += 3
        self.routes = dict(routes)
        services = [
            {"name": name, "max_conns": 2_000, "cold_start_s": 2.0, "cold_per_s": 0.0}
            for name in sorted(set(routes.values()))
        ]
        written = [
            {
                "name": f"r-{ip}-{port}",
                "host": ip,
                "path_prefix": f"/{port}/",
                "route_type": "safe",
                "timeout_ms": 2_000,
                "target_latency_ms": 250,
                "priority": 1,
                "service": service,
            }
            for (ip, port), service in routes.items()
        ]
        spec = {
            "version": self._version,
            "routes": written,
            "services": services,
            "limits": {"idle_timeout_ms": 15_000},
        }
        await self.store.put("config", "main", spec)
        return self._version

    async def add_caller_group(self) -> CallerGroup:
        """Add and start callers at a new address."""
        callers = CallerGroup(
            self, f"127.{self.network}.8.{len(self.caller_groups) + 1}"
        )
        self.caller_groups.append(callers)
        await callers.start()
        return callers

    async def add_front(self, data_centre: str = "medina") -> VM:
        """Add a front and start its node."""
        return await self._add("front", data_centre, "")

    async def add_gate(
        self, data_centre: str = "medina", service: str = "comptoir"
    ) -> VM:
        """Add a gate and its host, and start both."""
        vm = await self._add("gate", data_centre, service)
        await self.start_host(vm)
        return vm

    async def start_host(self, vm: VM) -> SocketHost:
        """Start a host on a VM; an earlier one is stopped."""
        if vm.host is not None:
            await vm.host.close()
        vm.host = SocketHost(self, vm, random.getrandbits(32))
        self.host_runs.append(vm.host)
        await vm.host.start()
        return vm.host

    def start_node(self, vm: VM) -> None:
        """Start the node of a VM."""
        arguments = ["-m", "balsamstream.node.run", "--settings", str(vm.settings)]
        self.processes.start(vm.name, arguments)

    async def is_ready(self, vm: VM) -> bool:
        """Probe the readiness of a node, as the routers do."""
        url = f"http://{vm.ip}:{self.ports.readiness}/balsamstream/readiness"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready and each front serves a request.

        A gate is ready before its host's first heartbeat, so wait for that as well.
        """
        callers = await self.add_caller_group()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while not host.acknowledged_at:
                    await asyncio.sleep(0.05)
            for vm in self.vms.values():
                while not await self.is_ready(vm):
                    await asyncio.sleep(0.05)
            for front in self.fronts:
                while not await self._is_served(callers, front):
                    await asyncio.sleep(0.05)

    async def _is_served(self, callers: CallerGroup, front: str) -> bool:
        data = f"ready-{next(self._numbers)}".encode()
        outcome = await callers.request([front], data=data, deadline_s=1.0)
        return bool(outcome.answer)

    @property
    def fronts(self) -> list[str]:
        """Addresses of the fronts."""
        return [each.ip for each in self.vms.values() if each.role == "front"]

    @property
    def hosts(self) -> list[SocketHost]:
        """Current hosts of all VMs."""
        return [each.host for each in self.vms.values() if each.host is not None]

    async def _add(self, role: str, data_centre: str, service: str) -> VM:
        number = next(self._numbers)
        name = f"{role}-{number}"
        ip = f"127.{self.network}.{1 if role == 'front' else 2}.{number}"
        vm = VM(name, role, ip, data_centre, service)
        vm.settings = self.directory / f"{name}.yaml"
        vm.settings.write_text(json.dumps(self._build_settings(vm)))
        self.vms[name] = vm
        if self.start_store_proxy is not None:
            store = (self.store_ip, self.ports.store)
            await self.start_store_proxy(name, (ip, self.ports.store), store)
        self.start_node(vm)
        return vm

    def _get_store_ip(self, vm: VM) -> str:
        return self.store_ip if self.start_store_proxy is None else vm.ip

    def _build_settings(self, vm: VM) -> dict[str, Any]:
        ports = self.ports
        seeds = [f"{ip}:{ports.heartbeats}" for ip in self.fronts[:3]]
        settings: dict[str, Any] = {
            "name": vm.name,
            "role": vm.role,
            "ip": vm.ip,
            "data_centre": vm.data_centre,
            "node_port": ports.nodes,
            "metrics_port": ports.metrics,
            "callers": f"{vm.ip}:{ports.callers}",
            "readiness": f"{vm.ip}:{ports.readiness}",
            "store": f"{self._get_store_ip(vm)}:{ports.store}",
            "seeds": seeds,
            "load": self.load_settings,
        }
        if vm.role == "gate":
            settings["host"] = {
                "service": vm.service,
                "address": f"{vm.ip}:{ports.host}",
                "packets": f"{vm.ip}:{ports.packets}",
                "heartbeats": f"{vm.ip}:{ports.heartbeats}",
                "heartbeat_ms": int(HEARTBEAT_S * 1_000),
            }
        return settings


__all__ = [
    "ROUTE",
    "WORK_S",
    "CallerGroup",
    "FlowSite",
    "VM",
    "RequestOutcome",
    "Rotation",
    "SocketHost",
]
