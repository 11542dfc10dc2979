"""Other nodes and the desired state, as a front knows them.

The store supplies only which nodes there are. Each node reports its own state, so no
decision depends on a store entry that may be stale. A front exchanges hellos with a
bounded number of nodes; the others it knows by name, from the store or from hellos.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .contacts import Contacts
from .desired_state import DesiredState, Evacuations
from .directory import Directory
from .evacuation_record import EvacuationRecord
from .heartbeat import HostState
from .load_policy import DEFAULT_POLICY, LoadPolicy
from .messages import (
    LOAD_MESSAGE,
    MS_PER_S,
    PROTOCOL,
    TIMED_LOAD_MESSAGE,
    Hello,
    NodeName,
    Report,
    compute_route_tag,
    decode_control,
    encode_control,
)
from .outliers import OutlierDetector
from .rate_limit import RateLimit

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .desired_state import Route
    from .events import Events
    from .placement import Host

HELLO_INTERVAL_S: Final = 0.5
FRONT_TIMEOUT_S: Final = 3.0
"""Silence of a front after which it counts as lost."""
CONTACT_S: Final = 4.0
"""Time for which a gate gets hellos since it asked for them, or since a packet was
forwarded to it."""
ASKS_PER_S: Final = 200.0
"""Hellos to gates that owe answers to searches."""
NEWS_PER_S: Final = 2.0
"""Rounds of messages that name gates just found to all fronts in contact."""
NEWS_BURST: Final = 8.0
NAMES_INTERVAL: Final = 4
"""Hellos to a node between two that name other nodes."""
DEFAULT_IDLE_S: Final = 60.0


class FleetTransport(Protocol):
    """Sends messages to nodes and fetches the desired state."""

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Fetch a newer version of the desired state from another front."""

    def handle_newer_era(self, era: int) -> None:
        """Read from the store again, as it has been restored from a copy."""


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
    policy : LoadPolicy
        Decisions under load that are switched on.

    Attributes
    ----------
    desired : DesiredState or None
        Desired state in force, or None before the first one.
    evacuations : EvacuationRecord
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
        policy: LoadPolicy = DEFAULT_POLICY,
    ) -> None:
        self._learns_round_trips = policy.estimates_delays
        self._transport = transport
        self._events = events
        self._ip = ip
        self._data_centre = data_centre
        self._directory = Directory(events, ip, node_port, now)
        self._gates = self._directory.gates
        self._fronts = self._directory.fronts
        self._contacts = Contacts(ip, data_centre, self._gates, self._fronts)
        self._outliers: OutlierDetector | None = None
        if policy.detects_outliers:
            self._outliers = OutlierDetector(events, self._name_route, now)
        self._hellos = 0
        self._hello_due = now
        self._news_limit = RateLimit(NEWS_PER_S, NEWS_BURST)
        self._asks_limit = RateLimit(ASKS_PER_S, ASKS_PER_S)
        self.desired: DesiredState | None = None
        self.evacuations = EvacuationRecord(events)
        self.is_leaving = False

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 for none."""
        return 0 if self.desired is None else self.desired.version

    @property
    def hears_fronts(self) -> bool:
        """Whether another front has been heard within the timeout."""
        return bool(self._fronts.heard_at)

    def count_fronts(self) -> int:
        """Return the number of fronts that are known, with this one."""
        return len(self._fronts.data_centres) + 1

    def find_route(self, packet: bytes) -> Route | None:
        """Return the route of a caller packet, or None if there is none."""
        if self.desired is None:
            return None
        return self.desired.routes.get(packets.get_route(packet))

    def find_host(self, ip: str) -> Host | None:
        """Return the host at an address, or None if it is not known."""
        return self._gates.hosts.get(ip)

    def get_hosts(self, service: str) -> list[Host]:
        """Return the hosts of a service."""
        return self._gates.get_hosts(service)

    def iterate_hosts(self, route: Route) -> Iterator[Host]:
        """Iterate over the hosts of all services of a route."""
        for share in route.shares:
            yield from self._gates.get_hosts(share.service)

    def _name_route(self, tag: int) -> str:
        """Return the name of a route from its tag, or the tag if it is not known."""
        routes = {} if self.desired is None else self.desired.routes
        for key, route in routes.items():
            if compute_route_tag(key) == tag:
                return route.name
        return f"{tag:08x}"

    def iterate_all_hosts(self) -> Iterator[Host]:
        """Iterate over the hosts of all services, whatever the routes."""
        yield from self._gates.hosts.values()

    # Desired state and evacuations.

    def apply_desired_state(
        self, desired: DesiredState, source: str, now: float
    ) -> bool:
        """Adopt a desired state if it is newer; tell whether it was."""
        current = self.version
        if desired.version <= current:
            return False
        has_new_limits = self.desired is None or (
            self.desired.services != desired.services
            or self.desired.flow_idle_s != desired.flow_idle_s
        )
        self.desired = desired
        self._events.emit(
            "desired_state",
            version=desired.version,
            before=current,
            routes=len(desired.routes),
            source=source,
        )
        if has_new_limits:
            self._send_hellos(now)
        else:
            self._send_hellos_to_fronts(now)
        return True

    def apply_evacuations(
        self, evacuations: Evacuations, source: str, now: float
    ) -> None:
        """Adopt a set of evacuations if it is newer than the one in force."""
        if 0 < self.evacuations.latest.era < evacuations.era:
            self._transport.handle_newer_era(evacuations.era)
        if self.evacuations.apply(evacuations, source, now):
            self._send_hellos(now)

    # Nodes that others name.

    def knows_all_gates(self, now: float) -> bool:
        """Return whether every gate that runs should be known by now."""
        return self._directory.is_complete(now)

    def add_listed_nodes(self, names: Iterable[NodeName], now: float) -> None:
        """Add all nodes that the store lists; see `Directory.add_listed`."""
        self._directory.add_listed(names, now)
        self._send_hellos(now)

    def add_addresses(self, ips: list[str], now: float) -> None:
        """Say hello to nodes of which only the addresses are known."""
        for ip in ips:
            if self._directory.add_address(ip, now):
                self._transport.send_to_node(ip, self._build_hello())

    def _contact_new_host(self, host: Host, now: float) -> None:
        """Send a first hello to a host that ranks among the first."""
        if self._contacts.is_preferred(host):
            self._send_hello_to_gate(host, now)

    def keep_contact(self, host: Host, now: float) -> None:
        """Exchange hellos with a gate that is not a contact but holds flows."""
        if self._contacts.keep(host.ip, now + CONTACT_S):
            self._send_hello_to_gate(host, now)

    def ask_gate(self, host: Host, now: float) -> None:
        """Find out whether a gate is alive that owes an answer to a search."""
        if now - host.hello_at < HELLO_INTERVAL_S:
            return
        if host.asked_at is None or self._asks_limit.try_acquire(now):
            self._send_hello_to_gate(host, now)

    def widen_contacts(self, service: str, now: float) -> None:
        """Keep in contact with more gates of a service, as those known are busy."""
        if self._contacts.widen(service, now):
            self._events.count("contacts.widened")

    # Messages from nodes.

    def record_answer(self, sender: str) -> None:
        """Record that a gate has answered some message, so it is not lost."""
        host = self._gates.hosts.get(sender)
        if host is not None:
            host.asked_at = None

    def handle_load(self, message: bytes, sender: str, now: float) -> None:
        """Handle a load message of a gate, with or without the expected wait."""
        host = self._gates.hosts.get(sender)
        if host is None or len(message) not in _LOAD_SIZES:
            self._events.count("messages.unexpected")
            return
        _, sequence, in_flight, flows, state = LOAD_MESSAGE.unpack_from(message)
        if sequence <= host.sequence:
            return
        is_timed = len(message) == TIMED_LOAD_MESSAGE.size
        wait_ms = TIMED_LOAD_MESSAGE.unpack(message)[-1] if is_timed else 0
        host.wait_s = wait_ms / MS_PER_S
        host.sequence = sequence
        host.record_load(in_flight, flows, now)
        if state != host.state and state in _STATES:
            self._set_state(host, HostState(state), now)
        host.is_empty = host.is_empty and state != HostState.READY

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
        if self._outliers is not None and host.state is HostState.GONE:
            self._outliers.forget(host)
        host.state = state

    def handle_control(self, message: bytes, sender: str, now: float) -> Host | None:
        """Handle a control message of another node.

        Returns
        -------
        Host or None
            The host whose present incarnation the gate has reported, if any. A gate
            without recent heartbeats does not know whether it still runs.
        """
        match decode_control(message):
            case Report() as report:
                return self._handle_report(report, sender, now)
            case Hello() as hello:
                self._handle_hello(hello, sender, now)
            case _:
                self._events.count("messages.unreadable")
        return None

    def _handle_report(self, report: Report, sender: str, now: float) -> Host | None:
        host = self._get_or_add_host(report, sender, now)
        if (
            report.gate_incarnation == host.gate_incarnation
            and report.sequence <= host.sequence
        ):
            return None
        if report.gate_incarnation != host.gate_incarnation:
            host.gate_incarnation = report.gate_incarnation
            host.unreported.clear()
        if report.seeks_hello and self._contacts.keep(sender, now + CONTACT_S):
            self._send_hello_to_gate(host, now)
        if self._outliers is not None:
            self._outliers.handle_report(host, report, now)
        host.sequence = report.sequence
        host.name = report.host
        host.protocol = report.protocol
        host.wait_s = report.wait_ms / MS_PER_S
        host.record_routes(report.routes)
        if self._learns_round_trips:
            host.round_trip.record_report(now)
        host.slots = max(1, report.slots)
        host.cold_until = now + report.cold_left_s
        is_ready = report.state == HostState.READY
        host.is_empty = not is_ready and not report.may_hold_flows
        host.record_load(report.in_flight, report.flows, now)
        self._gates.sightings[sender].seen_at = now
        if report.state != host.state and report.state in _STATES:
            self._set_state(host, HostState(report.state), now)
        # A gate that has just started does not know it yet.
        host.incarnation = max(host.incarnation, report.host_incarnation)
        has_heartbeats = report.state in _HOST_STATES
        is_present = report.host_incarnation == host.incarnation
        return host if has_heartbeats and is_present else None

    def _get_or_add_host(self, report: Report, sender: str, now: float) -> Host:
        """Return the host of a report.

        A report of another service or data centre replaces the host at its address.
        """
        host = self._gates.hosts.get(sender)
        if host is not None:
            if (host.service, host.data_centre) == (report.service, report.data_centre):
                return host
            # Flows of the former service must not reach the new one at this address.
            host.state = HostState.GONE
        found = self._directory.add_host(
            sender, report.service, report.data_centre, now
        )
        self._contact_new_host(found, now)
        self._directory.record_news(found)
        self._events.emit(
            "gate_found",
            host=sender,
            service=report.service,
            data_centre=report.data_centre,
            before="" if host is None else host.service,
        )
        return found

    def _handle_hello(self, hello: Hello, sender: str, now: float) -> None:
        if sender == self._ip:
            return
        if hello.is_leaving:
            self._fronts.remove(sender)
            return
        is_new = self._directory.record_front(sender, hello.data_centre, now)
        if is_new:
            self._events.emit("front_found", front=sender, version=hello.version)
        self.apply_evacuations(
            Evacuations(
                hello.evacuations_era,
                hello.evacuations_revision,
                frozenset(hello.evacuated),
            ),
            sender,
            now,
        )
        if hello.version > self.version:
            self._transport.fetch_desired_state(sender, hello.version)
        for host in self._directory.add_named(hello.names, hello.gates, now):
            self._contact_new_host(host, now)
            self._directory.record_news(host)
        if hello.needs_names and not self._directory.needs_names:
            self._send_all_names(sender, now)
        elif is_new:
            names = self._directory.list_recent_gates(now)
            hello_back = self._build_hello(is_reply=True, names=names)
            self._transport.send_to_node(sender, hello_back)
        elif not hello.is_reply and not self._contacts.includes_front(sender):
            self._transport.send_to_node(sender, self._build_hello(is_reply=True))

    # Timers.

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Exclude a pause of this process from the silence of nodes."""
        self._directory.forget_completeness(now)
        for host in self._gates.hosts.values():
            host.last_heard_at += gap_s
            if host.asked_at is not None:
                host.asked_at += gap_s
        self._fronts.handle_pause(gap_s)
        self._send_hellos(now)

    def leave(self, now: float) -> None:
        """Notify the nodes that this front is about to stop."""
        self.is_leaving = True
        self._send_hellos(now)

    def tick(self, now: float) -> bool:
        """Send hellos and expire nodes if due; tell whether that was so."""
        if self._outliers is not None:
            out = self.evacuations.data_centres
            self._outliers.tick(self._gates.hosts.values(), now, out)
        if self._directory.has_news and self._news_limit.try_acquire(now):
            self._send_news(now)
        if now < self._hello_due:
            return False
        self.evacuations.tick(now)
        self._expire_nodes(now)
        self._send_hellos(now)
        return True

    def _expire_nodes(self, now: float) -> None:
        for ip in self._fronts.remove_silent(FRONT_TIMEOUT_S, now):
            if self._contacts.includes_front(ip):
                self._events.emit("front_lost", front=ip)
        for ip in self._directory.expire(now):
            self._events.emit("gate_lost", host=ip)

    # Hellos.

    def _send_hellos(self, now: float) -> None:
        self._hello_due = now + HELLO_INTERVAL_S
        self._hellos += 1
        self._contacts.choose(self.evacuations.data_centres, now)
        has_names = self._hellos % NAMES_INTERVAL == 0
        names = self._directory.choose_fronts(now) if has_names else []
        by_service: dict[str, bytes] = {}
        for host in self._contacts.iterate_gates():
            message = by_service.get(host.service)
            if message is None:
                message = self._build_hello(host.service, names=names)
                by_service[host.service] = message
            self._record_hello(host, now)
            self._transport.send_to_node(host.ip, message)
        self._send_hellos_to_fronts(now, has_names=has_names)

    def _send_hellos_to_fronts(self, now: float, *, has_names: bool = False) -> None:
        names = self._directory.choose_nodes(now) if has_names else []
        gates = self._directory.count_gates(now) if has_names else 0
        hello = self._build_hello(names=names, gates=gates)
        for ip in (*self._contacts.fronts, *self._directory.unknown):
            self._transport.send_to_node(ip, hello)

    def _send_news(self, now: float) -> None:
        """Name gates just found to other fronts, to which their flows seem lost."""
        names = self._directory.take_news(now)
        hello = self._build_hello(is_reply=True, names=names)
        for ip in dict.fromkeys((*self._contacts.fronts, *self._fronts.heard_at)):
            self._transport.send_to_node(ip, hello)

    def _send_all_names(self, ip: str, now: float) -> None:
        """Name all nodes that run to a front that has just started."""
        gates = self._directory.count_gates(now)
        for names in self._directory.iterate_all_names(now):
            hello = self._build_hello(is_reply=True, names=names, gates=gates)
            self._transport.send_to_node(ip, hello)

    def _record_hello(self, host: Host, now: float) -> None:
        host.record_asked(now)
        if self._learns_round_trips:
            host.round_trip.record_hello(now)

    def _send_hello_to_gate(self, host: Host, now: float) -> None:
        self._record_hello(host, now)
        self._transport.send_to_node(host.ip, self._build_hello(host.service))

    def _build_hello(
        self,
        service: str = "",
        *,
        is_reply: bool = False,
        names: Iterable[NodeName] = (),
        gates: int = 0,
    ) -> bytes:
        desired = self.desired
        rules = None if desired is None else desired.services.get(service)
        hello = Hello(
            data_centre=self._data_centre,
            is_reply=is_reply,
            is_leaving=self.is_leaving,
            needs_names=self._directory.needs_names,
            version=self.version,
            evacuations_era=self.evacuations.latest.era,
            evacuations_revision=self.evacuations.latest.revision,
            evacuated=sorted(self.evacuations.latest.data_centres),
            service=service,
            flow_idle_s=DEFAULT_IDLE_S if desired is None else desired.flow_idle_s,
            cold_per_s=0.0 if rules is None else rules.cold_per_s,
            max_flows=0 if rules is None else rules.max_flows,
            names=list(names),
            protocol=PROTOCOL,
            gates=gates,
        )
        return encode_control(hello)


_STATES: Final = frozenset(HostState)
_HOST_STATES: Final = (HostState.READY, HostState.DRAINING)
_LOAD_SIZES: Final = (LOAD_MESSAGE.size, TIMED_LOAD_MESSAGE.size)

__all__ = ["Fleet", "FleetTransport"]
