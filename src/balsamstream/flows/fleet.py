"""Other nodes and the desired state, as a front knows them.

The store supplies only the addresses of nodes. Each node reports its own state, so no
decision depends on a store entry that may be stale.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .desired_state import DesiredState, Evacuations
from .heartbeat import HostState
from .messages import (
    LOAD_MESSAGE,
    Hello,
    Report,
    decode_control,
    encode_control,
)
from .placement import Host

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .desired_state import Route
    from .events import Events

HELLO_INTERVAL_S: Final = 0.5
FRONT_TIMEOUT_S: Final = 3.0
"""Silence of a front after which it is no longer named to other nodes."""
NODE_EXPIRY_S: Final = 120.0
"""Silence of a gate after which it is removed, and time after which the address of an
unheard node is removed unless it is named again."""
MAX_NAMED_NODES: Final = 64
"""Bound of the nodes named in one message, so that it fits into a datagram."""
DEFAULT_IDLE_S: Final = 60.0


class FleetTransport(Protocol):
    """Sends messages to nodes and fetches the desired state."""

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Fetch a newer version of the desired state from another front."""


class Fleet:
    """Tracks the nodes and distributes the desired state and the evacuations.

    Parameters
    ----------
    transport : FleetTransport
        Sends messages.
    events : Events
        Logs changes.
    ip, data_centre : str
        Address and data centre of this front.
    node_port : int
        Port on which nodes receive messages.
    now : float
        Time, in seconds.

    Attributes
    ----------
    desired : DesiredState or None
        Desired state in force, or None before the first one.
    evacuations : Evacuations
        Evacuations in force.
    is_leaving : bool
        Whether this front is about to stop.
    """

    def __init__(
        self,
        transport: FleetTransport,
        events: Events,
        *,
        ip: str,
        data_centre: str,
        node_port: int,
        now: float,
    ) -> None:
        self._transport = transport
        self._events = events
        self._ip = ip
        self._data_centre = data_centre
        self._node_port = node_port
        self._hosts: dict[str, Host] = {}
        self._by_service: dict[str, list[Host]] = {}
        self._fronts: dict[str, float] = {}
        self._candidates: dict[str, float] = {}
        self._hello_due = now
        self._unheard_gates: set[str] | None = None
        self.desired: DesiredState | None = None
        self.evacuations = Evacuations()
        self.is_leaving = False

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 for none."""
        return 0 if self.desired is None else self.desired.version

    def find_route(self, packet: bytes) -> Route | None:
        """Return the route of a caller packet, or None if there is none."""
        if self.desired is None:
            return None
        return self.desired.routes.get(packets.get_route(packet))

    def find_host(self, ip: str) -> Host | None:
        """Return the host at an address, or None if it is not known."""
        return self._hosts.get(ip)

    def get_hosts(self, service: str) -> list[Host]:
        """Return the hosts of a service."""
        return self._by_service.get(service, [])

    def iterate_hosts(self, route: Route) -> Iterator[Host]:
        """Iterate over the hosts of all services of a route."""
        for share in route.shares:
            yield from self._by_service.get(share.service, ())

    # Desired state and evacuations.

    def apply_desired_state(
        self, desired: DesiredState, source: str, now: float
    ) -> bool:
        """Adopt a desired state if it is newer; tell whether it was."""
        current = self.version
        if desired.version <= current:
            return False
        self.desired = desired
        self._events.emit(
            "desired_state",
            version=desired.version,
            before=current,
            routes=len(desired.routes),
            source=source,
        )
        self._send_hellos(now)
        return True

    def apply_evacuations(
        self, evacuations: Evacuations, source: str, now: float
    ) -> None:
        """Adopt a set of evacuations if it is newer than the one in force."""
        if evacuations.revision <= self.evacuations.revision:
            return
        before = self.evacuations.data_centres
        self.evacuations = evacuations
        if evacuations.data_centres == before:
            return
        self._events.emit(
            "evacuations",
            revision=evacuations.revision,
            out=sorted(evacuations.data_centres),
            source=source,
        )
        self._send_hellos(now)

    @property
    def has_heard_listed_gates(self) -> bool:
        """Whether every gate that the store listed has sent a report.

        False until the store has listed the nodes, and again after a pause.
        """
        return self._unheard_gates is not None and not self._unheard_gates

    def add_listed_nodes(self, fronts: list[str], gates: list[str], now: float) -> None:
        """Send hellos to all nodes that the store lists, and await the gates."""
        self.add_nodes(fronts, now)
        self.add_nodes(gates, now)
        self._unheard_gates = {ip for ip in gates if ip not in self._hosts}

    def add_nodes(self, ips: list[str], now: float) -> None:
        """Add the nodes at some addresses that are not known yet and send them hellos.

        The store, the settings or other nodes have named them.
        """
        for ip in ips:
            if ip == self._ip or ip in self._hosts or ip in self._fronts:
                continue
            if ip not in self._candidates:
                self._transport.send_to_node(ip, self._build_hello(None))
            self._candidates[ip] = now

    # Messages from nodes.

    def handle_load(self, message: bytes, sender: str, now: float) -> None:
        """Handle a load message of a gate."""
        host = self._hosts.get(sender)
        if host is None or len(message) != LOAD_MESSAGE.size:
            self._events.count("messages.unexpected")
            return
        _, sequence, in_flight, flows, state = LOAD_MESSAGE.unpack(message)
        if sequence <= host.sequence:
            return
        host.sequence = sequence
        host.record_load(in_flight, flows, now)
        if state != host.state and state in _STATES:
            self._set_state(host, HostState(state), now)

    def _set_state(self, host: Host, state: HostState, now: float) -> None:
        self._events.emit(
            "host_state",
            host=host.ip,
            service=host.service,
            state=state.name.lower(),
            before=host.state.name.lower(),
            gate_incarnation=host.gate_incarnation,
            sequence=host.sequence,
        )
        host.state = state

    def handle_control(self, message: bytes, sender: str, now: float) -> None:
        """Handle a control message of another node."""
        match decode_control(message):
            case Report() as report:
                self._handle_report(report, sender, now)
            case Hello() as hello:
                self._handle_hello(hello, sender, now)
            case _:
                self._events.count("messages.unreadable")

    def _handle_report(self, report: Report, sender: str, now: float) -> None:
        host = self._get_or_add_host(report, sender)
        if (
            report.gate_incarnation == host.gate_incarnation
            and report.sequence <= host.sequence
        ):
            return
        if report.gate_incarnation != host.gate_incarnation:
            host.gate_incarnation = report.gate_incarnation
            host.unreported.clear()
        if not host.is_alive(now):
            self._transport.send_to_node(sender, self._build_hello(host))
        host.sequence = report.sequence
        host.name = report.host
        host.slots = max(1, report.slots)
        host.cold_until = now + report.cold_left_s
        host.record_load(report.in_flight, report.flows, now)
        if report.state != host.state and report.state in _STATES:
            self._set_state(host, HostState(report.state), now)

    def _get_or_add_host(self, report: Report, sender: str) -> Host:
        """Return the host of a report.

        A report of another service or data centre replaces the host at its address.
        """
        host = self._hosts.get(sender)
        if host is not None:
            if (host.service, host.data_centre) == (report.service, report.data_centre):
                return host
            # Flows of the former service must not reach the new one at this address.
            host.state = HostState.GONE
        found = Host(
            sender,
            (sender, self._node_port),
            service=report.service,
            data_centre=report.data_centre,
        )
        self._hosts[sender] = found
        self._candidates.pop(sender, None)
        if self._unheard_gates is not None:
            self._unheard_gates.discard(sender)
        self._group_hosts()
        self._events.emit(
            "gate_found",
            host=sender,
            service=report.service,
            data_centre=report.data_centre,
            before="" if host is None else host.service,
        )
        return found

    def _group_hosts(self) -> None:
        self._by_service = {}
        for host in self._hosts.values():
            self._by_service.setdefault(host.service, []).append(host)

    def _handle_hello(self, hello: Hello, sender: str, now: float) -> None:
        if hello.is_leaving:
            self._fronts.pop(sender, None)
            return
        if sender not in self._fronts:
            self._candidates.pop(sender, None)
            self._fronts[sender] = now
            self._events.emit("front_found", front=sender, version=hello.version)
            self._transport.send_to_node(sender, self._build_hello(None))
        self._fronts[sender] = now
        self.apply_evacuations(
            Evacuations(hello.evacuations_revision, frozenset(hello.evacuated)),
            sender,
            now,
        )
        if hello.version > self.version:
            self._transport.fetch_desired_state(sender, hello.version)
        self.add_nodes(hello.fronts, now)
        self.add_nodes(hello.gates, now)

    # Timers.

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Exclude a pause of this process from the silence of nodes."""
        # Gates may have joined during the pause.
        self._unheard_gates = None
        for host in self._hosts.values():
            host.last_heard_at += gap_s
        for ip in self._fronts:
            self._fronts[ip] += gap_s
        self._send_hellos(now)

    def leave(self, now: float) -> None:
        """Notify the nodes that this front is about to stop."""
        self.is_leaving = True
        self._send_hellos(now)

    def tick(self, now: float) -> bool:
        """Send hellos and expire nodes if due; tell whether that was so."""
        if now < self._hello_due:
            return False
        self._send_hellos(now)
        self._expire_nodes(now)
        return True

    def _send_hellos(self, now: float) -> None:
        self._hello_due = now + HELLO_INTERVAL_S
        for host in self._hosts.values():
            self._transport.send_to_node(host.ip, self._build_hello(host))
        hello = self._build_hello(None)
        for ip in (*self._fronts, *self._candidates):
            self._transport.send_to_node(ip, hello)

    def _build_hello(self, host: Host | None) -> bytes:
        desired = self.desired
        rules = None
        if desired is not None and host is not None:
            rules = desired.services.get(host.service)
        hello = Hello(
            data_centre=self._data_centre,
            is_leaving=self.is_leaving,
            version=self.version,
            evacuations_revision=self.evacuations.revision,
            evacuated=sorted(self.evacuations.data_centres),
            flow_idle_s=DEFAULT_IDLE_S if desired is None else desired.flow_idle_s,
            cold_per_s=0.0 if rules is None else rules.cold_per_s,
            max_flows=0 if rules is None else rules.max_flows,
            fronts=list(self._fronts)[:MAX_NAMED_NODES],
            gates=list(self._hosts)[:MAX_NAMED_NODES] if host is None else [],
        )
        return encode_control(hello)

    def _expire_nodes(self, now: float) -> None:
        for ip, last_heard_at in list(self._fronts.items()):
            if now - last_heard_at > FRONT_TIMEOUT_S:
                del self._fronts[ip]
                self._candidates[ip] = now
                self._events.emit("front_lost", front=ip)
        for ip, found_at in list(self._candidates.items()):
            if now - found_at > NODE_EXPIRY_S:
                del self._candidates[ip]
        for ip, host in list(self._hosts.items()):
            if now - host.last_heard_at > NODE_EXPIRY_S:
                del self._hosts[ip]
                self._group_hosts()
                self._events.emit("gate_lost", host=ip)


_STATES: Final = frozenset(HostState)

__all__ = ["Fleet", "FleetTransport"]
