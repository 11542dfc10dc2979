"""A small deployment on loopback addresses: nodes, hosts, callers and the store.

The nodes are the project's own programs, started with the command of the deploy file
and the settings that its templates give. Hosts, callers and the store run in this
process and behave as the users' pages say. Each VM has its own address in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.flow_host import ACK, BOUNCED, FIN, RST, SYN, Packet, decode

from .store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-m", "balsamstream.node.run"]
"""Command of both roles in the deploy file."""
HEARTBEAT_S = 0.77
HEARTBEAT_RETRY_S = 0.25
ACK_TIMEOUT_S = 1.0
RESTART_DELAY_S = 0.5
WORK_S = 0.02
SYN_COPIES_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6)
RESET_WINDOW = 76_800
METRICS_PORT = 9464
ROUTE = ("198.18.0.1", 443)
SERVICE = "comptoir"
MASK = 0xFFFF_FFFF

Flow = tuple[int, int, int, int]


class Record:
    """Writes what happens to a file, with the time since the start.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        age_s = time.monotonic() - self._started_at
        self._file.write(f"{age_s:8.3f} {text}\n")
        self._file.flush()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle: Any) -> None:  # noqa: ANN401
        self._handle = handle

    def datagram_received(self, data: bytes, _address: tuple[str, int]) -> None:
        self._handle(data)


@dataclass(slots=True)
class HeldFlow:
    """A flow at a host.

    Attributes
    ----------
    initial : int
        The host's first sequence number.
    received, sent : int
        Sequence numbers after the last byte received and sent.
    is_open, is_ended : bool
        Whether the handshake has ended, and whether the flow has.
    last_answer : bytes
        Last answer packet, sent again if its request comes again.
    """

    initial: int
    received: int
    sent: int
    is_open: bool = False
    is_ended: bool = False
    last_answer: bytes = b""


@dataclass(slots=True)
class VM:
    """A machine with one node, and with a host if the node is a gate."""

    name: str
    role: str
    ip: str
    data_centre: str
    process: subprocess.Popen[bytes] | None = None
    host: Host | None = None


class Host:
    """A host beside a gate.

    Parameters
    ----------
    site : Site
        The deployment.
    vm : VM
        The machine that it runs on.
    """

    def __init__(self, site: Site, vm: VM) -> None:
        self._site = site
        self._vm = vm
        self.born = int(time.time() * 1_000)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.flows: dict[Flow, HeldFlow] = {}
        self.runs: list[str] = []
        self.acknowledged = 0
        self._seq = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the sockets and begin to send heartbeats."""
        address = (self._vm.ip, self._site.port("app"))
        self._server = await asyncio.start_server(_answer_health_check, *address)
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(self._handle), address
        )
        self._task = asyncio.create_task(self._send_heartbeats())
        self._site.record.write(f"host {self.id} starts on {self._vm.name}")

    def close(self) -> None:
        """Close the sockets."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def build_heartbeat(self) -> dict[str, object]:
        """Build the next heartbeat."""
        self._seq += 1
        return {
            "service": SERVICE,
            "address": f"{self._vm.ip}:{self._site.port('app')}",
            "zone": self._vm.data_centre,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            status = await self._site.put_heartbeat(
                self._vm, self.id, self.build_heartbeat()
            )
            is_done = 200 <= status < 300
            self.acknowledged += is_done
            await asyncio.sleep(HEARTBEAT_S if is_done else HEARTBEAT_RETRY_S)

    def _send(self, packet: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(packet, (self._vm.ip, self._site.port("outbound")))

    def _handle(self, body: bytes) -> None:
        packet = decode(body)
        key = packet.source + packet.target
        held = self.flows.get(key)
        if packet.flags & SYN:
            self._open(packet, key, held)
            return
        is_right = held is not None and (
            held.is_open or packet.ack == held.initial + 1 & MASK
        )
        if held is None or not is_right:
            self._send(body[:30] + bytes((body[30] | BOUNCED,)) + body[31:])
            return
        held.is_open = True
        if held.is_ended:
            self._answer_ended(packet, held)
        elif packet.flags & RST:
            held.is_ended = True
        elif packet.flags & FIN:
            held.is_ended = True
            self._reply(packet, FIN | ACK, held.sent, packet.seq + 1 & MASK)
        elif packet.data:
            self._handle_request(packet, held)

    def _open(self, packet: Packet, key: Flow, held: HeldFlow | None) -> None:
        if held is None or held.is_ended:
            initial = random.getrandbits(32)
            received, sent = packet.seq + 1 & MASK, initial + 1 & MASK
            held = self.flows[key] = HeldFlow(initial, received, sent)
        self._reply(packet, SYN | ACK, held.initial, held.received)

    def _answer_ended(self, packet: Packet, held: HeldFlow) -> None:
        if packet.data:
            self._reply(packet, RST, held.sent, packet.seq)
        elif packet.flags & FIN:
            self._reply(packet, ACK, held.sent, packet.seq + 1 & MASK)

    def _handle_request(self, packet: Packet, held: HeldFlow) -> None:
        if packet.seq != held.received:
            if held.last_answer:
                self._send(held.last_answer)
            return
        held.received = held.received + len(packet.data) & MASK
        name = packet.data.decode()
        self.runs.append(name)
        self._site.record.write(f"host {self.id} runs {name}")
        answer = b"answer " + packet.data
        held.last_answer = Packet(
            packet.target, packet.source, ACK, held.sent, held.received, answer
        ).encode()
        held.sent = held.sent + len(answer) & MASK
        asyncio.get_running_loop().call_later(WORK_S, self._send, held.last_answer)

    def _reply(self, packet: Packet, flags: int, seq: int, ack: int) -> None:
        reply = Packet(packet.target, packet.source, flags, seq & MASK, ack & MASK)
        self._send(reply.encode())


@dataclass(slots=True)
class CallerFlow:
    """A flow of a caller.

    Attributes
    ----------
    port : int
        The caller's port.
    front : str
        Address of the front that the router sends its packets to.
    next_seq, ack : int
        The caller's next sequence number and its last acknowledgement number.
    is_open : bool
        Whether a host has answered the opening packet.
    reset_at : float
        Time of a reset of the system on the open flow; 0 for none.
    was_ended_by_host : bool
        Whether the host has reset or ended it.
    """

    port: int
    front: str
    next_seq: int
    ack: int = 0
    is_open: bool = False
    reset_at: float = 0.0
    was_ended_by_host: bool = False
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    answers: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent on it."""
        return self.is_open and not self.reset_at and not self.was_ended_by_host


class Callers:
    """Callers that share an address.

    Parameters
    ----------
    site : Site
        The deployment.
    ip : str
        Address of the callers.
    """

    def __init__(self, site: Site, ip: str) -> None:
        self._site = site
        self._ip = ip
        self._flows: dict[int, CallerFlow] = {}
        self._next_port = 1_024
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        address = (self._ip, self._site.port("datagram"))
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(self._handle), address
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def get_key(self, flow: CallerFlow) -> Flow:
        """Return the key under which a host holds a flow."""
        source = (_pack_ip(self._ip), flow.port)
        return (*source, _pack_ip(ROUTE[0]), ROUTE[1])

    async def open(self) -> CallerFlow:
        """Open a flow; it is not open afterwards if no host has answered."""
        port, self._next_port = self._next_port, self._next_port + 1
        fronts = self._site.fronts
        front = fronts[zlib.crc32(f"{self._ip}:{port}".encode()) % len(fronts)].ip
        flow = CallerFlow(port, front, random.getrandbits(32))
        self._flows[port] = flow
        initial = flow.next_seq
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self._send(flow, SYN, initial, copy)
            try:
                await asyncio.wait_for(flow.opened.wait(), wait_s)
            except TimeoutError:
                continue
            break
        return flow

    async def request(self, flow: CallerFlow, name: str) -> str:
        """Send a request on an open flow; return how it ended."""
        data = name.encode()
        seq = flow.next_seq
        flow.next_seq = seq + len(data) & MASK
        self._site.record.write(f"request {name} is sent on port {flow.port}")
        ending = "no answer"
        for wait_s in RETRANSMIT_S:
            self._send(flow, ACK, seq, flow.ack, data)
            try:
                answer = await asyncio.wait_for(flow.answers.get(), wait_s)
            except TimeoutError:
                continue
            ending = answer.decode()
            break
        if ending == f"answer {name}":
            self._send(flow, ACK, flow.next_seq, flow.ack)
            ending = "answered"
        self._site.record.write(f"request {name} ends: {ending}")
        return ending

    def _send(
        self, flow: CallerFlow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        source = (_pack_ip(self._ip), flow.port)
        target = (_pack_ip(ROUTE[0]), ROUTE[1])
        packet = Packet(source, target, flags, seq, ack, data).encode()
        assert self._transport is not None
        self._transport.sendto(packet, (flow.front, self._site.port("datagram")))

    def _handle(self, body: bytes) -> None:
        packet = decode(body)
        flow = self._flows.get(packet.target[1])
        if flow is None:
            return
        if packet.flags & RST:
            self._handle_reset(flow, packet)
        elif packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.ack = packet.seq + 1 & MASK
                flow.next_seq = packet.ack
                flow.opened.set()
                # The handshake ends with this packet.
                self._send(flow, ACK, flow.next_seq, flow.ack)
        elif packet.data and packet.seq == flow.ack:
            flow.ack = flow.ack + len(packet.data) & MASK
            flow.answers.put_nowait(packet.data)
        elif packet.flags & FIN:
            flow.was_ended_by_host = True

    def _handle_reset(self, flow: CallerFlow, packet: Packet) -> None:
        if not flow.is_open or flow.reset_at:
            return
        if packet.checksum:
            flow.was_ended_by_host = True
            return
        distance = packet.seq - flow.ack & MASK
        if min(distance, -distance & MASK) > RESET_WINDOW:
            return
        flow.reset_at = time.monotonic()
        self._site.record.write(f"port {flow.port} gets a reset of the system")
        flow.answers.put_nowait(b"reset")


class Site:
    """The deployment.

    Parameters
    ----------
    record : Record
        Record of what happens.

    Attributes
    ----------
    record : Record
        Record of what happens.
    store : Store
        The platform's store.
    vms : list of VM
        All machines.
    callers : Callers
        The callers.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.vms: list[VM] = []
        self._machines = 0
        self._directory = tempfile.TemporaryDirectory(prefix="balsamstream-review-")
        self._network = random.SystemRandom().randrange(20, 250)
        self._first_port = random.SystemRandom().randrange(20_000, 30_000, 16)
        self.callers = Callers(self, f"127.{self._network}.8.1")

    def port(self, name: str) -> int:
        """Return a port, which is the same on all machines."""
        names = ("node", "datagram", "ready", "app", "outbound", "control", "store")
        return self._first_port + names.index(name)

    @property
    def fronts(self) -> list[VM]:
        """Machines with a front."""
        return [vm for vm in self.vms if vm.role == "front"]

    @property
    def gates(self) -> list[VM]:
        """Machines with a gate."""
        return [vm for vm in self.vms if vm.role == "gate"]

    async def start(self, fronts: int, gates: int) -> None:
        """Start the store, the nodes, the hosts and the callers; wait until all work.

        Raises
        ------
        TimeoutError
            If they do not within some seconds.
        """
        await self.store.start(self._store_address)
        self.store.put("config", "main", build_desired_state())
        await self.callers.start()
        zones = ("medina", "sakiet", "thyna")
        for index in range(fronts):
            self.add("front", zones[index % 3])
        for index in range(gates):
            await self.add_host(zones[index % 3])
        async with asyncio.timeout(20):
            while len(self.store.list_names("nodes")) < fronts + gates:
                await asyncio.sleep(0.1)
            for number in range(5 * (fronts + gates)):
                flow = await self.callers.open()
                while not flow.is_open:
                    flow = await self.callers.open()
                await self.callers.request(flow, f"warm-{number}")

    def close(self) -> None:
        """End all processes and close all sockets."""
        for vm in self.vms:
            if vm.process is not None:
                vm.process.kill()
                vm.process.wait()
            if vm.host is not None:
                vm.host.close()
        self.callers.close()
        self._directory.cleanup()

    def read_log(self, vm: VM) -> str:
        """Read what a node has written."""
        path = Path(self._directory.name) / f"{vm.name}.log"
        return path.read_text(errors="replace")

    def add(self, role: str, data_centre: str) -> VM:
        """Add a machine and start its node."""
        self._machines += 1
        number = self._machines
        third = 1 if role == "front" else 2
        ip = f"127.{self._network}.{third}.{number}"
        vm = VM(f"{role}-{number}", role, ip, data_centre)
        self.vms.append(vm)
        settings = Path(self._directory.name) / f"{vm.name}.yaml"
        settings.write_text(json.dumps(self._build_settings(vm)))
        self.start_node(vm)
        return vm

    async def add_host(self, data_centre: str) -> VM:
        """Add a machine with a gate, and start a host on it."""
        vm = self.add("gate", data_centre)
        await asyncio.sleep(RESTART_DELAY_S)
        vm.host = Host(self, vm)
        await vm.host.start()
        return vm

    def start_node(self, vm: VM) -> None:
        """Start the node of a machine."""
        folder = Path(self._directory.name)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "BALSAMSTREAM_BOOT": str(folder / f"{vm.name}.yaml"),
        }
        with (folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                COMMAND, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"node {vm.name} at {vm.ip} starts")

    async def kill_and_restart(self, vms: list[VM]) -> None:
        """Kill the nodes of some machines at once; the platform starts them again."""
        for vm in vms:
            assert vm.process is not None
            vm.process.send_signal(signal.SIGKILL)
            vm.process.wait()
            self.record.write(f"node {vm.name} is killed")
        await asyncio.sleep(RESTART_DELAY_S)
        for vm in vms:
            self.start_node(vm)

    async def put_heartbeat(self, vm: VM, host: str, body: dict[str, object]) -> int:
        """Send a heartbeat to the gate of a machine; return the status, 0 for none."""
        payload = json.dumps(body).encode()
        address = (vm.ip, self.port("control"))
        head = (
            f"PUT /balsamstream/instances/{host} HTTP/1.1\r\nHost: {vm.ip}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(head.encode() + payload)
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError):
            return 0

    @property
    def _store_address(self) -> tuple[str, int]:
        return f"127.{self._network}.9.1", self.port("store")

    def _build_settings(self, vm: VM) -> dict[str, Any]:
        """Build the settings that the template of the role gives."""
        store = self._store_address
        settings: dict[str, Any] = {
            "name": vm.name,
            "role": vm.role,
            "ip": vm.ip,
            "data_centre": vm.data_centre,
            "node_port": self.port("node"),
            "metrics_port": METRICS_PORT,
            "callers": f"{vm.ip}:{self.port('datagram')}",
            "readiness": f"{vm.ip}:{self.port('ready')}",
            "store": f"{store[0]}:{store[1]}",
            "grace_s": 6,
            "load": {"admission": "deadline", "placement": "delay", "outliers": True},
            "seeds": [f"{front.ip}:{self.port('control')}" for front in self.fronts],
        }
        if vm.role == "gate":
            settings["host"] = {
                "service": SERVICE,
                "address": f"{vm.ip}:{self.port('app')}",
                "packets": f"{vm.ip}:{self.port('outbound')}",
                "heartbeats": f"{vm.ip}:{self.port('control')}",
                "heartbeat_ms": int(HEARTBEAT_S * 1_000),
            }
        return settings


def build_desired_state() -> dict[str, Any]:
    """Build the desired state: one route to one service."""
    route = {
        "name": "r-1",
        "host": ROUTE[0],
        "path_prefix": f"/{ROUTE[1]}/",
        "route_type": "unsafe",
        "timeout_ms": 1_000,
        "target_latency_ms": 150,
        "priority": 1,
        "max_attempts": 1,
        "service": SERVICE,
    }
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_conns": 2_000,
        "cold_start_s": 2.0,
        "cold_per_s": 0.0,
    }
    limits = {"idle_timeout_ms": 15_000}
    return {"version": 3, "routes": [route], "services": [service], "limits": limits}


async def _answer_health_check(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if await reader.readline():
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    writer.close()


def _pack_ip(ip: str) -> int:
    first, second, third, fourth = map(int, ip.split("."))
    return first << 24 | second << 16 | third << 8 | fourth
