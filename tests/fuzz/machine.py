"""Hypothesis state machines of several balancers and agents.

The derandomized search of ``test_fuzz.py`` depends on the source of `FaultMachine`
and `PlannedMachine`, docstrings included, and on the names of all rules.
"""

from __future__ import annotations

from typing import Final

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import RequestKind
from tests.fuzz.oracle import VersionRecord, check_requests, check_services
from tests.fuzz.world import BALANCERS, DATA_CENTRES, HOSTS, SERVICES, Request, World

FIRST_PORT: Final = 40_000
CALLERS: Final = 6
MOST_DOWN: Final = 3

HOST_NAMES: Final = [f"{name}-{number}" for name in SERVICES for number in range(HOSTS)]
host_names = st.sampled_from(HOST_NAMES)
balancer_names = st.sampled_from(BALANCERS)
data_centres = st.sampled_from(DATA_CENTRES)
kinds = st.sampled_from((RequestKind.REPEATABLE, RequestKind.NON_REPEATABLE))
numbers = st.integers(0, 1_000)


class RequestMachine(RuleBasedStateMachine):
    """Sends requests and copies of them at every balancer, without faults."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the hosts of two services and the balancers."""
        self.world = World(seed)
        self.requests: list[Request] = []
        self.versions = VersionRecord()

    @rule(
        service=st.sampled_from(SERVICES),
        caller=st.integers(0, CALLERS - 1),
        kind=kinds,
        balancers=st.lists(balancer_names, min_size=1, max_size=3),
    )
    def send_new(
        self, service: str, caller: int, kind: RequestKind, balancers: list[str]
    ) -> None:
        """Send a new request, with a copy at each further balancer."""
        key = RequestKey(len(self.requests) + 1)
        address = Address("127.0.0.1", FIRST_PORT + caller)
        request = Request(service, address, key, kind)
        self.requests.append(request)
        for balancer in balancers:
            self.world.send(request, balancer)

    @precondition(lambda self: self.requests)
    @rule(number=numbers, balancer=balancer_names)
    def send_again(self, number: int, balancer: str) -> None:
        """Send one more copy of a recent request."""
        recent = self.requests[-6:]
        self.world.send(recent[number % len(recent)], balancer)

    @rule()
    def settle(self) -> None:
        """Deliver all messages in flight."""
        self.world.settle()

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.2)))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock, delivering messages."""
        self.world.pass_time(seconds)

    @rule(steps=st.sampled_from((1, 5, 20)))
    def drift(self, steps: int) -> None:
        """Advance the clock in small steps while messages are reordered."""
        self.world.drift(steps)

    @rule(host=host_names)
    def answer(self, host: str) -> None:
        """Have a backend server answer one request."""
        if host in self.world.agents:
            self.world.answer_one(host)

    @rule()
    def answer_all(self) -> None:
        """Have all backend servers answer all their requests."""
        for host, agent in self.world.agents.items():
            for _ in self.world.pending.get(agent.state.config.ref, set()).copy():
                self.world.answer_one(host)

    @invariant()
    def hold(self) -> None:
        """Check what must hold in every state."""
        check_requests(self.world, self.requests)
        check_services(self.world, self.requests)
        self.versions.check(self.world)

    def teardown(self) -> None:
        """Deliver the remaining messages and check again."""
        if not hasattr(self, "world"):
            return
        for address in list(self.world.frozen):
            self.world.wake(address)
        self.world.cuts.clear()
        self.world.pass_time(1.5)
        self.hold()


class FaultMachine(RequestMachine):
    """All faults, together and twice."""

    @rule(losses=st.sampled_from((0.0, 0.3)), doubles=st.sampled_from((0.0, 0.3)))
    def scatter(self, losses: float, doubles: float) -> None:
        """Reorder, lose and double messages."""
        self.world.scatter(losses, doubles)

    @rule(host=host_names)
    def kill_host(self, host: str) -> None:
        """Kill an agent."""
        if host in self.world.agents:
            address = self.world.agents[host].state.config.address
            self.world.stop(address)
            self.world.frozen.discard(address)
            self.world.queued.pop(address, None)

    @rule(host=host_names)
    def restart_host(self, host: str) -> None:
        """Kill an agent and start it again in a new incarnation."""
        self.kill_host(host)
        if host in self.world.agents:
            self.world.add_host(host, host.rpartition("-")[0])

    @rule(name=balancer_names)
    def restart_balancer(self, name: str) -> None:
        """Kill a balancer and start it again."""
        address = self.world.balancers[name].config.address
        self.world.frozen.discard(address)
        self.world.queued.pop(address, None)
        self.world.restart_balancer(name)

    @rule(host=host_names)
    def freeze(self, host: str) -> None:
        """Stop an agent's process."""
        if host in self.world.agents:
            self.world.freeze(self.world.agents[host].state.config.address)

    @precondition(lambda self: self.world.frozen)
    @rule()
    def wake(self) -> None:
        """Let the process stopped first go on."""
        self.world.wake(next(iter(sorted(self.world.frozen))))

    @rule(first=host_names, second=host_names)
    def cut(self, first: str, second: str) -> None:
        """Lose all that one host sends to another."""
        agents = self.world.agents
        if first in agents and second in agents:
            pair = (agents[first], agents[second])
            sender, to = (agent.state.config.address for agent in pair)
            self.world.cuts.add((sender, to))

    @rule(balancer=balancer_names, host=host_names)
    def cut_balancer(self, balancer: str, host: str) -> None:
        """Lose all that one balancer sends to a host."""
        if host in self.world.agents:
            sender = self.world.balancers[balancer].config.address
            to = self.world.agents[host].state.config.address
            self.world.cuts.add((sender, to))

    @rule()
    def heal(self) -> None:
        """Mend all cuts."""
        self.world.cuts.clear()

    @rule(is_down=st.booleans())
    def stop_platform(self, is_down: bool) -> None:
        """Take the platform down or bring it back."""
        self.world.platform.is_down = is_down

    @rule()
    def repeat_edit(self) -> None:
        """Apply an edit again whose answer was lost."""
        self.world.repeat_edit()

    @rule(host=host_names)
    def drain(self, host: str) -> None:
        """Stop a host in an orderly way."""
        if host in self.world.agents:
            agent = self.world.agents[host]
            address = agent.state.config.address
            if self.world.processes.get(address) is agent:
                self.world.carry_out(address, agent.drain(self.world.now))

    @rule(name=data_centres, state=st.sampled_from(("in", "out")))
    def set_data_centre(self, name: str, state: str) -> None:
        """Take a data centre out or bring it back."""
        if not self.world.platform.is_down:
            self.world.platform.put("DataCentre", name, {"state": state})

    @rule(host=host_names)
    def refuse_port(self, host: str) -> None:
        """Restart a backend server; its port refuses."""
        if host in self.world.agents:
            self.world.refuse_port(host)

    @rule(host=host_names)
    def restart_backend(self, host: str) -> None:
        """Restart a backend server without a sign."""
        if host in self.world.agents:
            self.world.forget_pending(host)

    @rule(host=host_names)
    def reuse_address(self, host: str) -> None:
        """Start a host of the other service at a killed host's address."""
        agent = self.world.agents.get(host)
        if agent is None or agent.state.config.address in self.world.processes:
            return
        other = SERVICES[1] if host.startswith(SERVICES[0]) else SERVICES[0]
        self.world.reuse_address(host, f"{other}-{9 + len(self.world.edits)}", other)


class PlannedMachine(RequestMachine):
    """Planned changes only: a flow stays on its host until that one is drained."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start two services."""
        super().start(seed)
        self.holders: dict[tuple[str, FlowKey], ProcessRef] = {}
        self.joined = 0

    @rule()
    def reorder(self) -> None:
        """Deliver half of the messages in any order."""
        self.world.scatter(0.0, 0.1)

    @rule(service=st.sampled_from(SERVICES))
    def join(self, service: str) -> None:
        """Start one more host."""
        if self.joined < MOST_DOWN:
            self.world.add_host(f"{service}-{HOSTS + self.joined}", service)
            self.joined += 1

    @rule(name=balancer_names)
    def restart_balancer(self, name: str) -> None:
        """Replace a balancer."""
        self.world.restart_balancer(name)

    @rule(host=host_names)
    def drain(self, host: str) -> None:
        """Stop a host in an orderly way."""
        agent = self.world.agents[host]
        address = agent.state.config.address
        self.world.carry_out(address, agent.drain(self.world.now))

    @invariant()
    def stay(self) -> None:
        """Each flow runs where it ran first."""
        for run in self.world.runs:
            held = self.holders.setdefault((run.service, run.flow), run.host)
            assert held == run.host, f"flow {run.flow} went from {held} to {run.host}"


__all__ = ["FaultMachine", "PlannedMachine", "RequestMachine"]
