"""Model of flow ownership: complete agents during one planned routing change.

Each agent applies the change at any time; packets of one flow enter by the old and by
the new routing. Sent messages stay deliverable, so each may be duplicated, reordered or
arrive last. Timeouts never expire here, as no host dies in a planned change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from balsamstream.core import ownership
from balsamstream.core.action import Action, Deliver, EditView, Send
from balsamstream.core.agent import MAX_HOPS, AgentDecisions
from balsamstream.core.identity import Address, FlowKey, RequestKey
from balsamstream.core.message import (
    Changes,
    HeldFlowsReply,
    HeldFlowsRequest,
    HolderReply,
    HolderRequest,
    LoadReport,
    Message,
    Packet,
    RequestKind,
)
from balsamstream.core.routing import Routing, compute_flow_key
from balsamstream.core.stored_view import read_view
from balsamstream.core.view import Join, Member, MemberState, SetState, View
from tests.core.network import Network

from .state import FixedRandom, TransitionCache, freeze

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

SERVICE: Final = "comptoir"
OTHER: Final = "etiquettes"
IGNORED_ATTRIBUTES: Final = frozenset({"_state", "_budget"})
WARM_UP_S: Final = 6.0
HEAVY_FLOWS: Final = 2
MAX_WAITING: Final = 2
"""Most packets of a flow that wait at a time; with two, one can overtake another."""

PROFILE: Final[dict[str, Any]] = {
    "flows_per_slot": HEAVY_FLOWS,
    "cold_start": {"initial_share": 1.0, "ramp_s": 1},
}


class Effect(NamedTuple):
    """Output of one step of one agent; ``sent`` has a bit for each message."""

    sent: int = 0
    runs: int = 0
    hops: int = 0


class State(NamedTuple):
    """Global state; ``runs`` has a bit for each agent that delivered a packet."""

    agents: tuple[int, ...]
    sent: int
    runs: int
    hops: int


@dataclass(frozen=True)
class Change:
    """A planned change and how it moves the owner of the flow.

    Parameters
    ----------
    kind : str
        Kind of the change: ``join`` or ``drain``.
    owners : tuple of str
        Owner of the flow before and after.
    least_loaded : str
        Host with the lowest load according to all load reports.
    entries : str
        Hosts that each receive one packet of the flow from a balancer.
    """

    name: str
    kind: str
    owners: tuple[str, str]
    least_loaded: str
    entries: str


def project(agent: AgentDecisions, owner: str) -> tuple[Any, ...]:
    """Return the part of an agent's state that affects packets of the flow.

    Only the owner in the new routing depends on which members have reported.
    """
    state = agent.state
    owned = agent.ownership
    assert state.admission is not None
    placed = {host: peer.placed for host, peer in state.loads._peers.items()}
    return (
        state.catalogue.complete_to,
        state.routing.version,
        list(state.flows),
        state.admission.in_flight,
        agent._recent,
        owned._holders,
        owned._queries,
        owned._acting,
        owned._pending_reports if state.config.ref.name == owner else None,
        placed,
    )


class FlowModel:
    """State space of one change within its bounds."""

    def __init__(self, change: Change) -> None:
        self.name = change.name
        self.max_depth = 0
        ownership.MAX_WAITING_PACKETS = MAX_WAITING  # type: ignore[misc]
        self.bounds = (
            f"3 hosts and 1 of another service, {change.kind}, owner "
            f"{' then '.join(change.owners)}, {change.least_loaded} lightly loaded, "
            f"a packet enters at each of {change.entries}, "
            f"{MAX_WAITING} waiting packets, no timeouts"
        )
        self._change = change
        owner = f"{SERVICE}-{change.owners[1]}"
        self._cache = TransitionCache(
            IGNORED_ATTRIBUTES, lambda agent: project(agent, owner)
        )
        self._envelopes: list[tuple[Address, int, Any]] = []
        self._envelope_numbers: dict[Any, int] = {}
        self._network = self._build_network()
        self._names = list(self._network.agents)
        self._addresses = [
            agent.state.config.address for agent in self._network.agents.values()
        ]
        self._now = self._network.now
        self._old = self._network.platform.list_changes()
        self._start_change()
        self._new = self._network.platform.list_changes()
        self._caller = self._find_caller()

    def start(self) -> State:
        """Return the state in which all packets are sent and none has arrived."""
        numbers = [self._cache.number(agent) for agent in self._network.agents.values()]
        sent = 0
        for position, request in self._list_entries():
            packet = self._build_packet(request)
            sent |= 1 << self._number_envelope(self._caller, position, packet)
        for position, name in enumerate(self._names):
            if name.startswith(OTHER):
                continue
            sent |= 1 << self._number_envelope(self._caller, position, self._new)
        return State(tuple(numbers), sent, 0, 0)

    def find_violation(self, state: State) -> str | None:
        """Return the property that a state violates, or None if it violates none."""
        ran = [name for n, name in enumerate(self._names) if state.runs >> n & 1]
        if any(name.startswith(OTHER) for name in ran):
            return f"a packet of {SERVICE} reached {ran[-1]}"
        if len(ran) > 1:
            return f"one flow ran on {ran[0]} and on {ran[1]}"
        if state.hops > MAX_HOPS:
            return f"a packet was forwarded {state.hops} times"
        return None

    def expand(self, state: State) -> Iterator[tuple[str, State]]:
        """Return each delivery that changes an agent; the others are made at once."""
        sent = state.sent
        while sent:
            bit = sent & -sent
            sent ^= bit
            number = bit.bit_length() - 1
            position = self._envelopes[number][1]
            before = state.agents[position]
            after, effect = self._deliver(before, number)
            if after == before and not effect.runs:
                continue
            agents = (*state.agents[:position], after, *state.agents[position + 1 :])
            reached = State(
                agents,
                state.sent | effect.sent,
                state.runs | effect.runs << position,
                max(state.hops, effect.hops),
            )
            yield str(number), self._deliver_inert(reached)

    def describe(self, label: str) -> str:
        """Return a step as text for the trace."""
        sender, position, message = self._envelopes[int(label)]
        return f"{sender} to {self._names[position]}: {message}"

    # --- steps ---------------------------------------------------------------------

    def _deliver_inert(self, state: State) -> State:
        sent = state.sent
        hops = state.hops
        done = 0
        while sent & ~done:
            left = sent & ~done
            bit = left & -left
            done |= bit
            number = bit.bit_length() - 1
            before = state.agents[self._envelopes[number][1]]
            after, effect = self._deliver(before, number)
            if after == before and not effect.runs:
                sent |= effect.sent
                hops = max(hops, effect.hops)
        return state._replace(sent=sent, hops=hops)

    def _deliver(self, before: int, number: int) -> tuple[int, Effect]:
        known = self._cache.find(before, number)
        if known is not None:
            return known
        sender, position, message = self._envelopes[number]

        def receive(agent: AgentDecisions) -> Effect:
            actions = agent.handle_message(sender, message, self._now)
            return self._build_effect(position, actions)

        return self._cache.step(before, number, receive)

    def _build_effect(self, position: int, actions: Sequence[Action]) -> Effect:
        sent = 0
        runs = 0
        hops = 0
        for action in actions:
            match action:
                case Deliver():
                    runs = 1
                case Send(to, message) if self._is_modelled(to, message):
                    sender = self._addresses[position]
                    receiver = self._addresses.index(to)
                    sent |= 1 << self._number_envelope(sender, receiver, message)
                    if isinstance(message, Packet):
                        hops = max(hops, message.hops)
                case _:
                    continue
        return Effect(sent, runs, hops)

    def _is_modelled(self, to: Address, message: Message) -> bool:
        kinds = (Packet, HeldFlowsRequest, HeldFlowsReply, HolderRequest, HolderReply)
        return to in self._addresses and isinstance(message, kinds)

    def _number_envelope(self, sender: Address, position: int, message: Message) -> int:
        key = (sender, position, freeze(message))
        number = self._envelope_numbers.setdefault(key, len(self._envelopes))
        if number == len(self._envelopes):
            self._envelopes.append((sender, position, message))
        return number

    # --- initial state -------------------------------------------------------------

    def _build_network(self) -> Network:
        network = Network()
        network.declare(SERVICE, 5683, PROFILE)
        network.declare(OTHER, 5684, PROFILE)
        network.add_balancer("balancer-1")
        members = 2 if self._change.kind == "join" else 3
        for number in range(members):
            network.add_agent(f"{SERVICE}-{number}", SERVICE)
        network.add_agent(f"{OTHER}-0", OTHER)
        network.pass_time(WARM_UP_S)
        if members == 2:
            network.add_agent(f"{SERVICE}-2", SERVICE)
        for agent in network.agents.values():
            self._prepare_agent(network, agent)
        return network

    def _prepare_agent(self, network: Network, agent: AgentDecisions) -> None:
        agent.handle_message(self._origin, network.platform.list_changes(), network.now)
        for host in network.agents:
            least_loaded = host.endswith(self._change.least_loaded)
            flows = 0 if least_loaded else HEAVY_FLOWS
            report = LoadReport(SERVICE, host, flows, 2 * HEAVY_FLOWS, 0, 1_000)
            agent.handle_message(self._origin, report, network.now)
        agent.state.random = FixedRandom(0)
        if agent.state.config.ref.name.endswith(self._change.least_loaded):
            return
        for number in range(HEAVY_FLOWS):
            agent.state.flows.record_caller_packet(
                FlowKey(-number - 1), self._origin, self._origin, network.now
            )

    @property
    def _origin(self) -> Address:
        return Address("127.0.0.1", 6000)

    def _start_change(self) -> None:
        host = self._network.agents[f"{SERVICE}-{self._change.owners[0]}"]
        config = host.state.config
        if self._change.kind == "drain":
            host.state.leaving = True
            edit: Any = SetState(config.ref, MemberState.DRAINING)
        else:
            joined = self._network.agents[f"{SERVICE}-2"].state.config
            edit = Join(
                Member(joined.ref, joined.address, joined.data_centre, joined.slots)
            )
        self._network.platform.edit(EditView(SERVICE, edit))

    def _find_routings(self) -> list[Routing]:
        found: list[Routing] = []
        for changes in (self._old, self._new):
            view = self._read_view(changes)
            found.append(Routing(view, frozenset(), 0))
        return found

    def _read_view(self, changes: Changes) -> View:
        for held in changes.objects:
            if held.kind == "View" and held.name == SERVICE and held.spec is not None:
                return read_view(SERVICE, held.spec)
        raise LookupError(SERVICE)

    def _find_caller(self) -> Address:
        routings = self._find_routings()
        wanted = [f"{SERVICE}-{number}" for number in self._change.owners]
        for port in range(40_000, 60_000):
            caller = Address("127.0.0.1", port)
            flow = compute_flow_key(SERVICE, caller)
            owners = [routing.find_owner(flow) for routing in routings]
            if [owner.ref.name for owner in owners if owner] == wanted:
                return caller
        raise LookupError(self._change.name)

    def _list_entries(self) -> list[tuple[int, int]]:
        entries = [
            (self._names.index(f"{SERVICE}-{owner}"), request)
            for request, owner in enumerate(self._change.entries, start=1)
        ]
        # The address of a stopped host may have been reused by another service.
        return [*entries, (self._names.index(f"{OTHER}-0"), 1)]

    def _build_packet(self, request: int) -> Packet:
        agent = self._network.agents[f"{SERVICE}-0"]
        return Packet(
            agent.state.service_number,
            compute_flow_key(SERVICE, self._caller),
            self._caller,
            self._caller,
            agent.state.routing.version,
            RequestKind.REPEATABLE,
            RequestKey(request),
            2_000,
            b"",
        )


CHANGES: Final = (
    Change("flows: a host joins", "join", ("0", "2"), "1", "02"),
    Change("flows: a host joins and takes its flow", "join", ("0", "2"), "2", "02"),
    Change("flows: a host joins, both packets late", "join", ("0", "2"), "1", "00"),
    Change("flows: the owner drains", "drain", ("0", "1"), "2", "01"),
    Change("flows: the light owner drains", "drain", ("0", "1"), "0", "01"),
    Change("flows: the owner drains, packets late", "drain", ("0", "1"), "2", "00"),
)

__all__ = ["CHANGES", "Change", "FlowModel", "State"]
