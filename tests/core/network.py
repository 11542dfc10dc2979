"""A fake network, platform and backend servers around the real decision code.

Time is virtual, and every message stays in a list until a test delivers it, so that a
test may lose, repeat or reorder messages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from balsamstream.core.action import (
    CloseFlow,
    Count,
    Deliver,
    EditView,
    RefuseCaller,
    ReturnToCaller,
    Send,
)
from balsamstream.core.agent import AgentConfig, AgentDecisions
from balsamstream.core.balancer import BalancerDecisions
from balsamstream.core.balancer_config import BalancerConfig
from balsamstream.core.catalogue import (
    BalancerEntry,
    Catalogue,
    list_spare_voters,
)
from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import Changes, ConfigObject, RequestKind
from balsamstream.core.routing import compute_flow_key
from balsamstream.core.stored_view import read_view, write_view
from balsamstream.core.view import View, edit_view

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.action import Action
    from balsamstream.core.message import Message
    from balsamstream.core.verdict import MayHaveRun, NotRun

TICK_S = 0.05
PLATFORM = Address("127.0.0.1", 1)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message in transit."""

    sender: Address
    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Run:
    """A datagram that was delivered to a backend server."""

    host: ProcessRef
    flow: FlowKey
    request: RequestKey
    payload: bytes
    service: str


@dataclass(frozen=True, slots=True)
class CallerReply:
    """An answer, or a refusal with its verdict, that was sent to a caller."""

    caller: Address
    payload: bytes
    verdict: NotRun | MayHaveRun | None


@dataclass
class FakePlatform:
    """Stored objects with one version number that rises with each write."""

    version: int = 0
    objects: dict[tuple[str, str], ConfigObject] = field(default_factory=dict)
    is_down: bool = False

    def put(self, kind: str, name: str, spec: dict[str, Any] | None) -> None:
        """Store an object in a new version."""
        self.version += 1
        config_object = ConfigObject(kind, name, self.version, spec)
        self.objects[(kind, name)] = config_object

    def edit(self, action: EditView) -> None:
        """Apply an edit to the stored view."""
        key = ("View", action.service)
        held = self.objects.get(key)
        view = View(action.service, 0)
        if held is not None and held.spec is not None:
            view = read_view(action.service, held.spec)
        spares = list_spare_voters(self.read_balancers())
        changed = edit_view(view, action.edit, spares)
        if changed is not view:
            self.put("View", action.service, write_view(changed))

    def read_balancers(self) -> tuple[BalancerEntry, ...]:
        """Return the registered balancers."""
        catalogue = Catalogue()
        catalogue.apply_changes(self.list_changes())
        return catalogue.balancers

    def list_changes(self) -> Changes:
        """Return all objects as a watch would deliver them."""
        objects = sorted(
            self.objects.values(), key=lambda config_object: config_object.version
        )
        return Changes(0, self.version, False, False, tuple(objects))


class Network:
    """Balancers, agents and backend servers, and the messages between them."""

    def __init__(self, seed: int = 1, delay_s: float = 0.001) -> None:
        self.now = 100.0
        self.delay_s = delay_s
        self.random = random.Random(seed)
        self.platform = FakePlatform()
        self.agents: dict[str, AgentDecisions] = {}
        self.balancers: dict[str, BalancerDecisions] = {}
        self.processes: dict[Address, AgentDecisions | BalancerDecisions] = {}
        self.frozen: set[Address] = set()
        self.is_cut: Callable[[Address, Address], bool] = lambda sender, to: False
        self.undelivered: list[Envelope] = []
        self.runs: list[Run] = []
        self.caller_replies: list[CallerReply] = []
        self.closed: list[tuple[str, FlowKey]] = []
        self.counts: dict[str, int] = {}
        self.auto_answer = True
        self._incarnation = 0

    def declare(
        self, service: str, port: int, profile: dict[str, Any] | None = None
    ) -> None:
        """Declare a service with a profile of its own."""
        self.platform.put("Profile", f"{service}-profile", profile or {})
        spec = {"address": f"127.0.0.1:{port}", "profile": f"{service}-profile"}
        self.platform.put("Service", service, spec)

    def add_agent(
        self,
        name: str,
        service: str,
        data_centre: str = "medina",
        slots: int = 2,
        port_offset: int = 0,
    ) -> AgentDecisions:
        """Start an agent, or start it again in a new incarnation."""
        self._incarnation += 1
        port = 7000 + sum(name.encode()) * 7 % 1000
        while any(known.port == port for known in self._list_other_addresses(name)):
            port += 1
        address = Address("127.0.0.1", port + port_offset)
        balancers = tuple(known.config.address for known in self.balancers.values())
        ref = ProcessRef(name, self._incarnation)
        config = AgentConfig(ref, address, service, data_centre, slots, balancers)
        agent = AgentDecisions(config, random.Random(self._incarnation))
        self.agents[name] = agent
        self.processes[address] = agent
        return agent

    def _list_other_addresses(self, name: str) -> list[Address]:
        return [
            agent.state.config.address
            for known, agent in self.agents.items()
            if known != name
        ]

    def add_balancer(self, name: str, data_centre: str = "medina") -> BalancerDecisions:
        """Start a balancer."""
        self._incarnation += 1
        address = Address("127.0.0.1", 6000 + len(self.balancers))
        config = BalancerConfig(
            ProcessRef(name, self._incarnation), address, data_centre
        )
        balancer = BalancerDecisions(config, random.Random(self._incarnation))
        self.balancers[name] = balancer
        spec = {
            "incarnation": self._incarnation,
            "address": str(address),
            "data_centre": data_centre,
        }
        self.platform.put("Balancer", name, spec)
        self.processes[address] = balancer
        return balancer

    def stop(self, address: Address) -> None:
        """Kill a process: no message reaches it any more."""
        self.processes.pop(address, None)

    def send_request(
        self,
        balancer: str,
        service: str,
        caller: Address,
        request: int,
        kind: RequestKind = RequestKind.REPEATABLE,
        payload: bytes = b"request",
    ) -> None:
        """Have a caller's datagram enter at a balancer."""
        decisions = self.balancers[balancer]
        entry = decisions.catalogue.find_service(service)
        assert entry is not None
        flow = compute_flow_key(service, caller)
        actions = decisions.route(
            entry, flow, caller, kind, RequestKey(request), payload, self.now
        )
        self.carry_out(decisions.config.address, actions)

    def carry_out(self, source: Address, actions: list[Action]) -> None:
        """Carry out the actions that a process decided on."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.undelivered.append(Envelope(source, to, message))
                case Deliver():
                    self._deliver(source, action)
                case EditView():
                    if not self.platform.is_down:
                        self.platform.edit(action)
                case ReturnToCaller(_, caller, payload):
                    self.caller_replies.append(CallerReply(caller, payload, None))
                case RefuseCaller(_, caller, verdict, head):
                    self.caller_replies.append(CallerReply(caller, head, verdict))
                case CloseFlow(flow):
                    self.closed.append((self._find_agent(source), flow))
                case Count(name, amount):
                    self.counts[name] = self.counts.get(name, 0) + amount
                case _:
                    continue

    def deliver(self, envelope: Envelope) -> None:
        """Deliver one message to its receiver."""
        process = self.processes.get(envelope.to)
        if process is None or envelope.to in self.frozen:
            return
        if self.is_cut(envelope.sender, envelope.to):
            return
        actions = process.handle_message(envelope.sender, envelope.message, self.now)
        self.carry_out(envelope.to, actions)

    def settle(self, rounds: int = 40) -> None:
        """Deliver all messages in order until none is left."""
        for _ in range(rounds):
            undelivered, self.undelivered = self.undelivered, []
            if not undelivered:
                return
            self.now += self.delay_s
            for envelope in undelivered:
                self.deliver(envelope)

    def step(self) -> None:
        """Run one tick of all processes, and deliver all messages."""
        self.now += TICK_S
        self.feed_watches()
        for address, process in list(self.processes.items()):
            if address in self.frozen:
                continue
            self.carry_out(address, process.tick(self.now))
        self.settle()

    def pass_time(self, seconds: float) -> None:
        """Run the ticks of a time span."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def feed_watches(self) -> None:
        """Send all objects to the balancers that watch the platform."""
        if self.platform.is_down:
            return
        changes = self.platform.list_changes()
        for balancer in self.balancers.values():
            address = balancer.config.address
            if address not in self.processes or address in self.frozen:
                continue
            if not balancer.should_watch:
                continue
            self.carry_out(address, balancer.handle_message(address, changes, self.now))

    def _find_agent(self, address: Address) -> str:
        process = self.processes.get(address)
        assert isinstance(process, AgentDecisions)
        return process.state.config.ref.name

    def _deliver(self, source: Address, action: Deliver) -> None:
        agent = self.processes[source]
        assert isinstance(agent, AgentDecisions)
        config = agent.state.config
        self.runs.append(
            Run(config.ref, action.flow, action.request, action.payload, config.service)
        )
        if not self.auto_answer:
            return
        answer = agent.handle_answer(
            action.flow, action.request, b"answer " + action.payload, self.now
        )
        self.carry_out(source, answer)


__all__ = ["Envelope", "FakePlatform", "Network", "Run", "CallerReply"]
