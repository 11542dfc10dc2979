"""Simulated network with pauses, lost platform replies and slow backend servers."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Any, Final

from balsamstream.core.action import Action, Cancel, CloseFlow, Deliver, EditView, Send
from balsamstream.core.agent import AgentConfig, AgentDecisions
from balsamstream.core.at_most_once import CLAIM_TIMEOUT_S
from balsamstream.core.identity import NO_REQUEST, Address, FlowKey, ProcessRef
from balsamstream.core.message import Refusal, RequestKey, RequestKind
from balsamstream.core.routing import compute_flow_key
from balsamstream.core.verdict import NotRun
from tests.core.network import Envelope, Network
from tests.fuzz.oracle import check_host

SERVICES: Final = ("comptoir", "etiquettes")
DATA_CENTRES: Final = ("medina", "sakiet", "thyna")
BALANCERS: Final = ("balancer-1", "balancer-2", "balancer-3")
HOSTS: Final = 4
DRIFT_S: Final = 0.01
PROFILE: Final[dict[str, Any]] = {
    "in_flight_per_slot": 2,
    "flows_per_slot": 4,
    "cold_start": {"initial_share": 0.5, "ramp_s": 2},
    "drain_s": 600,
}


@dataclass(frozen=True)
class Request:
    """A request of a caller; its copies are equal to it."""

    service: str
    caller: Address
    key: RequestKey
    kind: RequestKind

    @property
    def payload(self) -> bytes:
        """Bytes that identify the request, shorter than the head of a refusal."""
        return f"{self.service}/{self.caller.port}/{self.key}".encode()


class World(Network):
    """Two services in three data centres; backend servers answer on `answer_one`."""

    def __init__(self, seed: int, hosts: int = HOSTS) -> None:
        super().__init__(seed)
        self.auto_answer = False
        self.queued: dict[Address, list[Envelope]] = {}
        self.frozen_at: dict[Address, float] = {}
        self.pending: dict[ProcessRef, set[tuple[FlowKey, RequestKey]]] = {}
        self.refused: set[tuple[ProcessRef, bytes]] = set()
        self.limits: dict[ProcessRef, deque[tuple[float, int]]] = {}
        self.edits: list[EditView] = []
        self.cuts: set[tuple[Address, Address]] = set()
        self.is_cut = lambda sender, to: (sender, to) in self.cuts
        for number, service in enumerate(SERVICES):
            self.declare(service, 5683 + number, PROFILE)
        for name, data_centre in zip(BALANCERS, DATA_CENTRES):
            self.add_balancer(name, data_centre)
        for service in SERVICES:
            for number in range(hosts):
                self.add_host(f"{service}-{number}", service)
        self.pass_time(6.0)

    def add_host(self, name: str, service: str) -> None:
        """Start a host's agent; hosts are spread over the data centres."""
        place = DATA_CENTRES[int(name.rpartition("-")[2]) % len(DATA_CENTRES)]
        self.add_agent(name, service, place)

    def reuse_address(self, old: str, name: str, service: str) -> None:
        """Start a host of another service at a killed host's address."""
        address = self.agents.pop(old).state.config.address
        self._incarnation += 1
        balancers = tuple(known.config.address for known in self.balancers.values())
        ref = ProcessRef(name, self._incarnation)
        config = AgentConfig(ref, address, service, DATA_CENTRES[0], 2, balancers)
        agent = AgentDecisions(config, random.Random(self._incarnation))
        self.agents[name] = agent
        self.processes[address] = agent

    def restart_balancer(self, name: str) -> None:
        """Restart a balancer, which loses its state."""
        old = self.balancers[name]
        address = old.config.address
        count = len(self.balancers)
        fresh = self.add_balancer(name, old.config.data_centre)
        self.processes.pop(fresh.config.address)
        assert len(self.balancers) == count
        peers = tuple(
            known.config.address
            for known in self.balancers.values()
            if known is not fresh
        )
        fresh.config = type(fresh.config)(
            fresh.config.ref, address, old.config.data_centre, peers=peers
        )
        fresh.distribution._config = fresh.config
        fresh.distribution._config_poller._configured = peers
        self.processes[address] = fresh

    def send(self, request: Request, balancer: str) -> None:
        """Send one copy of a request to a balancer, if that is running."""
        decisions = self.balancers[balancer]
        address = decisions.config.address
        if self.processes.get(address) is not decisions or address in self.frozen:
            return
        if decisions.catalogue.find_service(request.service) is None:
            return
        self.send_request(
            balancer,
            request.service,
            request.caller,
            request.key,
            request.kind,
            request.payload,
        )

    def freeze(self, address: Address) -> None:
        """Pause a process; messages to it are queued."""
        if address in self.processes and address not in self.frozen:
            self.frozen.add(address)
            self.frozen_at[address] = self.now

    def wake(self, address: Address) -> None:
        """Resume a paused process; it receives the queued messages in random order.

        In half of the cases it detects the pause first.
        """
        self.frozen.discard(address)
        waited = self.queued.pop(address, [])
        process = self.processes.get(address)
        if process is None:
            return
        gap = self.now - self.frozen_at[address]
        if self.random.random() < 0.5:
            self.carry_out(address, process.handle_pause(gap, self.now))
        self.random.shuffle(waited)
        for envelope in waited:
            self.deliver(envelope)

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message, or queue it while its receiver is paused."""
        if envelope.to in self.frozen and envelope.to in self.processes:
            self.queued.setdefault(envelope.to, []).append(envelope)
            return
        super().deliver(envelope)

    def scatter(self, losses: float, doubles: float) -> None:
        """Deliver half of the messages in flight in random order.

        Parameters
        ----------
        losses, doubles : float
            Shares of messages that are lost and duplicated.
        """
        self.random.shuffle(self.undelivered)
        part = len(self.undelivered) // 2 + 1
        taken, self.undelivered = self.undelivered[:part], self.undelivered[part:]
        for envelope in taken:
            if self.random.random() < losses:
                continue
            if self.random.random() < doubles:
                self.undelivered.append(envelope)
            self.deliver(envelope)

    def drift(self, steps: int) -> None:
        """Advance the clock in steps of `DRIFT_S`, with random delays of messages."""
        for _ in range(steps):
            self.now += DRIFT_S
            self.feed_watches()
            for address, process in list(self.processes.items()):
                if address not in self.frozen:
                    self.carry_out(address, process.tick(self.now))
            self.scatter(0.0, 0.0)

    def carry_out(self, source: Address, actions: list[Action]) -> None:
        """Carry out a process's actions; record requests that end or are refused."""
        super().carry_out(source, actions)
        for action in actions:
            match action:
                case Send(_, Refusal(verdict=NotRun(), head=head)):
                    agent = self.processes[source]
                    assert isinstance(agent, AgentDecisions)
                    self.refused.add((agent.state.config.ref, head))
                case EditView():
                    self.edits.append(action)
                case Cancel(flow, request):
                    self._find_pending(source).discard((flow, request))
                case CloseFlow(flow):
                    pending = self._find_pending(source)
                    pending -= {known for known in pending if known[0] == flow}
                case _:
                    continue

    def answer_one(self, host: str) -> None:
        """Have a backend server answer one of its requests."""
        agent = self.agents[host]
        address = agent.state.config.address
        pending = self._find_pending(address)
        if not pending or address in self.frozen or address not in self.processes:
            return
        flow, request = self.random.choice(sorted(pending))
        pending.discard((flow, request))
        payload = next(
            run.payload
            for run in reversed(self.runs)
            if run.request == request and run.flow == flow
        )
        answer = b"answer " + payload
        actions = agent.handle_answer(flow, request, answer, self.now)
        self.carry_out(address, actions)

    def refuse_port(self, host: str) -> None:
        """Restart a backend server; its agent detects that the port refuses."""
        agent = self.agents[host]
        address = agent.state.config.address
        if address in self.frozen or address not in self.processes:
            return
        self._find_pending(address).clear()
        flows = list(agent.state.flows)
        flow = flows[0] if flows else compute_flow_key("none", address)
        self.carry_out(address, agent.handle_backend_refused(flow, self.now))

    def forget_pending(self, host: str) -> None:
        """Restart a backend server without its agent noticing."""
        self._find_pending(self.agents[host].state.config.address).clear()

    def repeat_edit(self) -> None:
        """Apply an earlier edit again, as its writer does after a lost reply."""
        if self.edits and not self.platform.is_down:
            self.platform.edit(self.random.choice(self.edits[-5:]))

    def _find_pending(self, address: Address) -> set[tuple[FlowKey, RequestKey]]:
        process = self.processes.get(address)
        if not isinstance(process, AgentDecisions):
            return set()
        return self.pending.setdefault(process.state.config.ref, set())

    def _deliver(self, source: Address, action: Deliver) -> None:
        super()._deliver(source, action)
        if action.request == NO_REQUEST:
            return
        agent = self.processes[source]
        assert isinstance(agent, AgentDecisions)
        pending = self._find_pending(source)
        pending.add((action.flow, action.request))
        check_host(agent, len(pending), self._find_limit(agent))

    def _find_limit(self, agent: AgentDecisions) -> int:
        """Return the highest limit since the oldest claim that can still win."""
        admission = agent.state.admission
        assert admission is not None
        now = admission.limits.in_flight
        recent = self.limits.get(agent.state.config.ref, ())
        return max([now, *(limit for _, limit in recent)])

    def step(self) -> None:
        """Run one tick of all processes, and record the limits of the agents."""
        super().step()
        for agent in self.agents.values():
            if agent.state.admission is None:
                continue
            recent = self.limits.setdefault(agent.state.config.ref, deque())
            recent.append((self.now, agent.state.admission.limits.in_flight))
            while recent[0][0] < self.now - CLAIM_TIMEOUT_S:
                recent.popleft()


__all__ = ["BALANCERS", "DATA_CENTRES", "HOSTS", "SERVICES", "Request", "World"]
