"""Balancers and agents, without their I/O, on the virtual clock."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Final

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
from balsamstream.core.identity import Address, ProcessRef, RequestKey
from balsamstream.core.message import Changes, RequestKind
from balsamstream.core.verdict import NotRun
from tests.core.network import FakePlatform

from .caller import FABRIC_DETECTION_S, Site
from .deployment import WITHIN_DATA_CENTRE_S

if TYPE_CHECKING:
    from balsamstream.core.action import Action
    from balsamstream.core.message import Message

    from .backend import BackendServer
    from .caller import Request
    from .deployment import Deployment

TICK_S: Final = 0.05
PLATFORM_S: Final = 0.005
PLATFORM: Final = Address("10.255.255.1", 1)
SERVICE_PORT: Final = 5683
AGENT_PORT: Final = 7000
BALANCER_PORT: Final = 6000


class BalancedSite(Site):
    """A site whose requests are carried by balancers and agents of balsamstream."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        mean_s: float,
        balancers: int = 3,
        warm: bool = True,
    ) -> None:
        super().__init__(deployment, seed, mean_s, warm)
        self.platform = FakePlatform()
        self.agents: dict[str, AgentDecisions] = {}
        self.balancers: dict[str, BalancerDecisions] = {}
        self.processes: dict[Address, AgentDecisions | BalancerDecisions] = {}
        self.data_centres: dict[Address, str] = {}
        self.without_changes: set[Address] = set()
        self._started = 0
        self._payload = bytes(32)
        profile = f"{deployment.service}-profile"
        self.platform.put("Profile", profile, deployment.profile)
        address = f"10.255.0.1:{SERVICE_PORT}"
        spec = {"address": address, "profile": profile}
        self.platform.put("Service", deployment.service, spec)
        for number in range(balancers):
            self.add_balancer(f"balancer-{number}", number)
        for backend in list(self.backends.values()):
            self.add_agent(backend)
        self.queue.run_for(6.0)
        if warm:
            self.warm_up()

    def warm_up(self) -> None:
        """End the cold start of all hosts."""
        for agent in self.agents.values():
            assert agent.state.admission is not None
            agent.state.admission.share = 1.0

    def add_balancer(self, name: str, number: int) -> BalancerDecisions:
        """Start a balancer and register it with the platform."""
        self._started += 1
        address = Address("10.254.0.1", BALANCER_PORT + self._started)
        data_centre = self.deployment.choose_data_centre(number)
        peers = tuple(known.config.address for known in self.balancers.values())
        ref = ProcessRef(name, self._started)
        config = BalancerConfig(ref, address, data_centre, peers=peers)
        balancer = BalancerDecisions(config, Random(self.random.random()))
        self.balancers[name] = balancer
        self._start(address, balancer, data_centre)
        self.entries.append(name)
        spec = {
            "incarnation": self._started,
            "address": str(address),
            "data_centre": data_centre,
        }
        self.platform.put("Balancer", name, spec)
        self._watch(name, address, 0)
        return balancer

    def add_agent(self, backend: BackendServer) -> AgentDecisions:
        """Start the agent of a backend server."""
        self._started += 1
        number = list(self.backends).index(backend.name)
        address = Address("10.253.0.1", AGENT_PORT + number)
        config = AgentConfig(
            ProcessRef(backend.name, self._started),
            address,
            self.deployment.service,
            backend.config.data_centre,
            backend.config.slots,
            tuple(known.config.address for known in self.balancers.values()),
        )
        agent = AgentDecisions(config, Random(self.random.random()))
        self.agents[backend.name] = agent
        self._start(address, agent, backend.config.data_centre)
        return agent

    def restart_host(self, name: str) -> None:
        """Replace a backend server and its agent without notice."""
        self.stop_agent(name)
        backend = self.backends[name]
        backend.restart()
        self.add_agent(backend)

    def stop_agent(self, name: str) -> None:
        """Stop an agent without draining it."""
        self.processes.pop(self.agents[name].state.config.address, None)

    def stop_balancer(self, name: str) -> None:
        """Stop a balancer without notice; the fabric detects it later."""
        self.processes.pop(self.balancers[name].config.address, None)
        self.queue.call_after(FABRIC_DETECTION_S, self.entries.remove, name)

    def drain_host(self, name: str) -> None:
        """Start draining a host."""
        agent = self.agents[name]
        self.carry_out(agent.state.config.address, agent.drain(self.queue.now))

    def handle_caller_datagram(self, entry: str, request: Request) -> None:
        """Route a caller's datagram."""
        balancer = self.balancers[entry]
        address = balancer.config.address
        service = balancer.catalogue.find_service(self.deployment.service)
        if address not in self.processes or service is None:
            return
        actions = balancer.route(
            service,
            request.caller.flow,
            request.caller.address,
            RequestKind.REPEATABLE,
            RequestKey(request.number),
            request.number.to_bytes(8) + self._payload,
            self.queue.now,
        )
        self.carry_out(address, actions)

    def carry_out(self, source: Address, actions: list[Action]) -> None:
        """Carry out the actions of a process."""
        for action in actions:
            match action:
                case Send(to, message):
                    self._transmit(source, to, message)
                case Deliver():
                    self._deliver(source, action)
                case ReturnToCaller(_, _, payload):
                    self._send_to_caller(payload, None)
                case RefuseCaller(_, _, verdict, head):
                    again = None
                    if isinstance(verdict, NotRun):
                        again = verdict.retry_after_s
                    self._send_to_caller(head, (again,))
                case EditView():
                    self.queue.call_after(PLATFORM_S, self._edit_view, action)
                case Count(name, amount):
                    self.tally.counts[name] += amount
                case CloseFlow(flow):
                    self._close_flow(source, flow)
                case _:
                    continue

    def receive(self, sender: Address, to: Address, message: Message) -> None:
        """Deliver a message to its receiver if that is still running."""
        process = self.processes.get(to)
        if process is None:
            return
        if to in self.without_changes and isinstance(message, Changes):
            return
        self.carry_out(to, process.handle_message(sender, message, self.queue.now))

    def tick(
        self, address: Address, process: AgentDecisions | BalancerDecisions
    ) -> None:
        """Run the periodic work of a process and schedule its next tick."""
        if self.processes.get(address) is not process:
            return
        self.carry_out(address, process.tick(self.queue.now))
        if isinstance(process, AgentDecisions) and process.drained:
            del self.processes[address]
        self.queue.call_after(TICK_S, self.tick, address, process)

    def _start(
        self,
        address: Address,
        process: AgentDecisions | BalancerDecisions,
        data_centre: str,
    ) -> None:
        self.processes[address] = process
        self.data_centres[address] = data_centre
        delay_s = self.random.uniform(0.0, TICK_S)
        self.queue.call_after(delay_s, self.tick, address, process)

    def _transmit(self, source: Address, to: Address, message: Message) -> None:
        near = self.data_centres.get(source) == self.data_centres.get(to)
        delay_s = WITHIN_DATA_CENTRE_S if near else self.deployment.between_s
        self.queue.call_after(delay_s, self.receive, source, to, message)

    def _deliver(self, source: Address, action: Deliver) -> None:
        request = self.requests.get(action.request)
        agent = self.processes[source]
        assert isinstance(agent, AgentDecisions)
        backend = self.backends[agent.state.config.ref.name]
        if not backend.is_up:
            refused = agent.handle_backend_refused(action.flow, self.queue.now)
            self.carry_out(source, refused)
            return
        if request is None:
            return

        def reply() -> None:
            if self.processes.get(source) is not agent:
                return
            answer = agent.handle_answer(
                action.flow, action.request, action.payload, self.queue.now
            )
            self.carry_out(source, answer)

        self.deliver_request(backend, request, reply)

    def _send_to_caller(
        self, payload: bytes, refusal: tuple[float | None] | None
    ) -> None:
        request = self.requests.get(int.from_bytes(payload[:8]))
        if request is None:
            return
        delay_s = self.deployment.caller_s
        if refusal is None:
            self.queue.call_after(delay_s, self.handle_answer, request)
            return
        self.queue.call_after(delay_s, self.handle_refusal, request, refusal[0])

    def _close_flow(self, source: Address, flow: int) -> None:
        process = self.processes.get(source)
        if isinstance(process, AgentDecisions):
            self.backends[process.state.config.ref.name].flows.discard(flow)

    def _edit_view(self, action: EditView) -> None:
        if not self.platform.is_down:
            self.platform.edit(action)

    def _watch(self, name: str, address: Address, seen: int) -> None:
        """Deliver changes of the platform to a balancer while it should watch."""
        if address not in self.processes:
            return
        balancer = self.balancers[name]
        due = self.platform.version > seen and not self.platform.is_down
        if due and balancer.should_watch and address not in self.without_changes:
            seen = self.platform.version
            self.receive(address, address, self.platform.list_changes())
        self.queue.call_after(PLATFORM_S, self._watch, name, address, seen)


__all__ = ["TICK_S", "BalancedSite"]
