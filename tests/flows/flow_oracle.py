"""Judge of rule FLOW: resets of open flows, and packets that miss the flow's host.

It knows from the hosts themselves which flows are open, and from the faults which
machines are in touch.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamstream.flows.heartbeat import HostState
from balsamstream.platform import packets
from standins.flow_host import SYN, Packet

if TYPE_CHECKING:
    from tests.flows.flow_server import FlowServer
    from tests.flows.flow_world import FlowWorld, WorldFront

CONTACT_S = 5.0
"""Time without disturbance after which a machine is in touch."""
FLOW_S = 2.0
MAX_ELSEWHERE = 3
LIFETIME_S = 60.0
IDLE_S = 15.0
KEPT_LINES = 60


@dataclass
class Finding:
    """A broken rule, or one that would be broken had the machines been in touch.

    Attributes
    ----------
    kind : str
        ``reset`` or ``elsewhere``.
    at : float
        Time, in seconds.
    is_near : bool
        Whether a machine was disturbed less than `CONTACT_S` ago.
    cause : str
        What the node that sent the reset believed.
    flow, holder, sender : str
        Caller's port, host of the flow, and front.
    calm_s : tuple of float
        Times since the last disturbance of the host and of the front, in seconds.
    trace : list of str
        What happened to the flow, its host and the front.
    """

    kind: str
    at: float
    is_near: bool
    cause: str
    flow: str
    holder: str
    sender: str
    calm_s: tuple[float, float]
    trace: list[str] = field(default_factory=list)

    def describe(self) -> str:
        """Describe the finding in one line."""
        near = " (near)" if self.is_near else ""
        host_s, front_s = (min(99.0, each) for each in self.calm_s)
        return (
            f"{self.kind}{near} at {self.at:.3f}: {self.cause}; flow {self.flow} of "
            f"{self.holder} (calm {host_s:.1f} s) by {self.sender} "
            f"(calm {front_s:.1f} s)"
        )


@dataclass
class WatchedFlow:
    """A flow as its caller and its host know it.

    Attributes
    ----------
    key : bytes
        Key of the flow.
    started_at, last_sent_at : float
        Times of the caller's first and last packet, in seconds.
    holder : str
        Address of the host where the flow is open, empty while it is not.
    server : FlowServer or None
        Start of the host that holds the flow.
    sent : int
        Packets that the caller has sent.
    elsewhere : list of tuple of float, int and str
        Arrivals at other hosts since the last one at the holder: time, number of the
        packet, and host.
    log : list of str
        What happened to the flow.
    """

    key: bytes
    started_at: float
    last_sent_at: float
    holder: str = ""
    server: FlowServer | None = None
    opened_at: float = 0.0
    sent: int = 0
    front: str = ""
    elsewhere: list[tuple[float, int, str]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)


class FlowOracle:
    """Judges what callers and hosts get.

    Parameters
    ----------
    world : FlowWorld
        Nodes and clock.

    Attributes
    ----------
    findings : list of Finding
        Broken rules so far.
    faults : list of tuple of float and str
        Faults so far.
    opened, resets : int
        Flows that were opened, and resets that callers got from fronts.
    """

    def __init__(self, world: FlowWorld) -> None:
        self._world = world
        self._flows: dict[tuple[int, int], WatchedFlow] = {}
        self._disturbed_until: dict[str, float] = {}
        self.findings: list[Finding] = []
        self.faults: list[tuple[float, str]] = []
        self.opened = 0
        self.resets = 0

    # Faults.

    def record_fault(self, text: str) -> None:
        """Record a fault or planned work."""
        self.faults.append((self._world.now, text))

    def disturb(self, *ips: str, until: float = 0.0) -> None:
        """Record that machines are disturbed now and until a time."""
        until = max(until, self._world.now)
        for ip in ips:
            self._disturbed_until[ip] = max(until, self._disturbed_until.get(ip, 0.0))

    def get_calm_s(self, ip: str) -> float:
        """Return the time since the last disturbance of a machine, in seconds."""
        return self._world.now - self._disturbed_until.get(ip, -1e9)

    # Packets.

    def record_sent(self, packet: Packet, front: str) -> None:
        """Record a packet that a caller sends."""
        now = self._world.now
        flow = self._flows.get(packet.source)
        if flow is None:
            flow = WatchedFlow(packets.get_flow(packet.encode()), now, now)
            self._flows[packet.source] = flow
        flow.last_sent_at = now
        flow.sent += 1
        flow.front = front
        self._log(flow, f"sent {packet.flags} {len(packet.data)} B to {front}")

    def _log(self, flow: WatchedFlow, text: str) -> None:
        flow.log.append(f"{self._world.now:.4f} {text}")
        if len(flow.log) > 2 * KEPT_LINES:
            del flow.log[:KEPT_LINES]

    def record_open(self, packet: Packet, ip: str, server: FlowServer) -> None:
        """Record that a host has the end of the handshake."""
        flow = self._flows.get(packet.source)
        if flow is None:
            return
        self.opened += 1
        flow.holder, flow.server, flow.opened_at = ip, server, self._world.now
        flow.elsewhere.clear()
        self._log(flow, f"open at {ip}")

    def record_end(self, source: tuple[int, int]) -> None:
        """Record that a flow has ended at its host."""
        self._flows.pop(source, None)

    def record_arrival(self, packet: Packet, ip: str) -> None:
        """Record a caller's packet that reaches a host."""
        flow = self._flows.get(packet.source)
        if flow is None or packet.flags & SYN:
            return
        self._log(flow, f"packet {packet.flags} {len(packet.data)} B reached {ip}")
        if not flow.holder:
            return
        if ip == flow.holder:
            flow.elsewhere.clear()
            return
        flow.elsewhere.append((self._world.now, flow.sent, ip))
        if len(flow.elsewhere) == 1:
            self._world.after(FLOW_S, self._check_elsewhere, flow, self._world.now)

    def _check_elsewhere(self, flow: WatchedFlow, since: float) -> None:
        arrivals = flow.elsewhere
        if len(arrivals) < MAX_ELSEWHERE or arrivals[0][0] != since:
            return
        if not self._is_judged(flow):
            return
        copies = len({number for _, number, _ in arrivals})
        hosts = len({ip for _, _, ip in arrivals})
        cause = f"{len(arrivals)} arrivals of {copies} packets at {hosts} other hosts"
        self._add("elsewhere", flow, flow.front, cause)

    def record_reset(self, packet: Packet, sender: str) -> None:
        """Record a reset that a node sends to a caller."""
        self.resets += 1
        flow = self._flows.get(packet.target)
        if flow is None:
            return
        self._log(flow, f"reset by {sender}")
        if self._is_judged(flow):
            self._add("reset", flow, sender, self._find_cause(flow, sender))

    def _is_judged(self, flow: WatchedFlow) -> bool:
        """Return whether a flow is open at its living host and neither old nor idle."""
        now = self._world.now
        caller_ip, port = self._get_source(flow)
        is_at_caller = (caller_ip, port) in self._world.flows
        if not flow.holder or not is_at_caller:
            return False
        if self._world.gates[flow.holder].server is not flow.server:
            return False
        is_idle = now - flow.last_sent_at > IDLE_S
        return not is_idle and now - flow.started_at <= LIFETIME_S

    def _get_source(self, flow: WatchedFlow) -> tuple[int, int]:
        return int.from_bytes(flow.key[8:12]), int.from_bytes(flow.key[:2])

    def _add(self, kind: str, flow: WatchedFlow, sender: str, cause: str) -> None:
        calm_s = (self.get_calm_s(flow.holder), self.get_calm_s(sender))
        finding = Finding(
            kind,
            self._world.now,
            min(calm_s) < CONTACT_S,
            cause,
            f"{self._get_source(flow)[1]}/{self._get_source(flow)[0] & 0xFFFF}",
            flow.holder,
            sender,
            calm_s,
            self._build_trace(flow, sender),
        )
        self.findings.append(finding)

    # Causes.

    def _find_cause(self, flow: WatchedFlow, sender: str) -> str:
        front = self._world.fronts.get(sender)
        if front is None:
            return "reset by a gate"
        lines = [each for each in front.events.lines if each[0] == self._world.now]
        names = [name for _, name, inputs in lines if inputs.get("flow") == flow.key]
        if "refused" in names:
            return "copy of the opening refused"
        if "lost" not in names:
            return self._find_held_cause(flow, front)
        return "search: " + self._find_search_cause(flow, front)

    def _find_held_cause(self, flow: WatchedFlow, front: WorldFront) -> str:
        host, held = front.popped.get(flow.key, ("", None))
        if host != flow.holder:
            return "held record names another host"
        origin = "restored" if held.opened_at < 0 else "live"
        return f"held record has an older incarnation ({origin})"

    def _find_search_cause(self, flow: WatchedFlow, front: WorldFront) -> str:
        denials = [
            f"{name} {inputs['reason']}"
            for at, name, inputs in self._world.gates[flow.holder].events.lines
            if inputs.get("flow") == flow.key
            and name in ("not_held", "stray")
            and inputs["front"] == front.ip
            and at >= self._world.now - CONTACT_S
        ]
        if denials:
            return "holder's gate denied: " + denials[-1]
        host = front.front.fleet.find_host(flow.holder)
        if host is None:
            return "holder unknown"
        if host.state is HostState.GONE:
            return "holder believed gone"
        if host.asked_at is not None:
            return f"holder counted as lost (empty: {host.is_empty})"
        return "not traced"

    def _build_trace(self, flow: WatchedFlow, sender: str) -> list[str]:
        since = flow.started_at - 8.0
        lines = [f"{at:.4f} fault: {text}" for at, text in self.faults if at >= since]
        lines += [f"{line} [flow]" for line in flow.log[-KEPT_LINES:]]
        nodes = (self._world.fronts.get(sender), self._world.gates[flow.holder])
        for node in nodes:
            if node is not None:
                events = node.events.list_since(since, flow.key)
                lines += [f"{line} [{node.ip}]" for line in events]
        return sorted(lines)


__all__ = ["CONTACT_S", "Finding", "FlowOracle", "WatchedFlow"]
