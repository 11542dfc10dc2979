"""Agent role of the daemon: runs beside one backend server."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Final

from balsamstream.core.action import (
    Cancel,
    CloseFlow,
    Count,
    Deliver,
    EditView,
    OpenFlow,
    RefuseCaller,
    ReturnToCaller,
    Send,
)
from balsamstream.core.agent import AgentConfig, AgentDecisions
from balsamstream.core.identity import NO_REQUEST, Address
from balsamstream.core.message import Changes, Refusal
from balsamstream.edge.protocols import get_protocol
from balsamstream.report.burn import HostLoad

from .backend import BackendSockets
from .platform_link import read_balancers
from .read_schedule import ReadSchedule
from .role import Role

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.core.action import Action
    from balsamstream.core.identity import FlowKey, ProcessRef, RequestKey
    from balsamstream.core.message import Message
    from balsamstream.kernel import Kernel

    from .settings import AgentSettings, Settings

BACKEND: Final = "backend"
BROKEN_FLOWS: Final = "broken_flows"


class Agent(Role):
    """Connects `AgentDecisions` to backend server, transport and platform."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        agent: AgentSettings,
        ref: ProcessRef,
    ) -> None:
        super().__init__(kernel, settings, ref)
        self._agent = agent
        self._backend = kernel.get(BACKEND, BackendSockets)
        self._backend.set_handler(self, self.detect_pause)
        config = AgentConfig(
            ref,
            self.transport.address,
            agent.service,
            settings.data_centre,
            agent.slots,
            tuple(settings.peers),
        )
        self._decisions = AgentDecisions(config, random.Random(ref.incarnation))
        self._read_schedule = ReadSchedule(self.clock.last.monotonic)

    def start_graceful_stop(self) -> None:
        """Drain the host: open no new flows and let the open ones end."""
        self.log.info("drain_begun")
        self.carry_out(self._decisions.drain(self.clock.update()))

    def force_stop(self) -> None:
        """End the drain at once, giving up the flows that are still open."""
        self.log.info("drain_hurried")
        self.carry_out(self._decisions.end_drain(self.clock.update()))

    def describe(self) -> dict[str, Any]:
        """Return the role's part of the status page."""
        state = self._decisions.state
        admission = state.admission
        return {
            "service": self._agent.service,
            "view": state.routing.version.view,
            "data_centres_version": state.routing.version.data_centres,
            "data_centres_out": sorted(state.routing.evacuated),
            "configuration_version": state.catalogue.complete_to,
            "flows": len(state.flows),
            "in_flight": 0 if admission is None else admission.in_flight,
            "flow_limit": 0 if admission is None else admission.limits.flows,
            "in_flight_limit": 0 if admission is None else admission.limits.in_flight,
            "health": None if admission is None else admission.health.value,
            "takes_flows": state.takes_flows,
            "leaving": state.leaving,
            "drained": self._decisions.drained,
            "sockets": len(self._backend),
        }

    def handle_answer(
        self, flow: FlowKey, request: RequestKey, payload: bytes, is_refusal: bool
    ) -> None:
        """Handle a datagram from the backend server."""
        now = self.clock.last.monotonic
        if request != NO_REQUEST:
            self.burn.count_answer(self._agent.service, request, now)
        self.carry_out(
            self._decisions.handle_answer(flow, request, payload, now, is_refusal)
        )

    def handle_backend_refused(self, flow: FlowKey) -> None:
        """Handle a datagram that the backend server's port refused."""
        now = self.clock.last.monotonic
        self.carry_out(self._decisions.handle_backend_refused(flow, now))

    def decide_on_message(
        self, sender: Address, message: Message, now: float
    ) -> Sequence[Action]:
        """Return the actions that a received message leads to."""
        self._read_schedule.handle_message(sender, message, now)
        if isinstance(message, Changes):
            self._record_balancers(sender, message, now)
        return self._decisions.handle_message(sender, message, now)

    def decide_on_pause(self, gap_s: float, now: float) -> Sequence[Action]:
        """Return the actions to take after a pause of the process."""
        return self._decisions.handle_pause(gap_s, now)

    def decide_on_tick(self, now: float) -> Sequence[Action]:
        """Return the actions that are due now."""
        return self._decisions.tick(now)

    def discard_queued(self) -> int:
        """Drop what the backend server sent during a pause; return the number."""
        return self._backend.discard_queued()

    async def finish_tick(self) -> None:
        """Apply the service's protocol and profile, fetch if due, publish the load.

        Once the host has drained, set ``has_stopped``.
        """
        decisions = self._decisions
        decisions.state.max_flows = self._backend.max_sockets
        entry = decisions.state.catalogue.find_service(self._agent.service)
        if entry is not None:
            self._backend.set_protocol(get_protocol(entry.spec.protocol))
            self.burn.set_profile(self._agent.service, entry.profile)
        if self._read_schedule.try_start_read(self.clock.last.monotonic):
            self.link.start_fetch(self._agent.service)
        self._publish_load()
        if decisions.drained:
            self.has_stopped.set()

    def carry_out(self, actions: Sequence[Action]) -> None:
        """Carry out actions in order."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.transport.send(to, message)
                    if isinstance(message, Refusal):
                        self.burn.count_verdict(self._agent.service, message.verdict)
                case Deliver():
                    self._deliver(action)
                case Count(name, amount):
                    self._count(name, amount)
                case Cancel():
                    self._backend.cancel(action)
                    self.burn.forget_request(action.request)
                case OpenFlow(flow):
                    self._backend.open_flow(flow)
                case CloseFlow():
                    self._backend.close_flow(action)
                case EditView():
                    self.link.queue_edit(action)
                case ReturnToCaller() | RefuseCaller():
                    self.metrics.count("unexpected_action")

    def _publish_load(self) -> None:
        state = self._decisions.state
        flows = len(state.flows)
        in_flight = 0 if state.admission is None else state.admission.in_flight
        load = HostLoad(self.ref.name, self._agent.slots, flows, in_flight)
        self.burn.set_host_load(self._agent.service, load)
        self.metrics.set_gauge("flows", flows)
        self.metrics.set_gauge("in_flight", in_flight)

    def _deliver(self, action: Deliver) -> None:
        if action.request != NO_REQUEST:
            self.burn.record_sent(action.request, self.clock.last.monotonic)
        self._backend.deliver(action)

    def _count(self, name: str, amount: int) -> None:
        self.metrics.count(name, amount)
        if name == BROKEN_FLOWS:
            self.burn.count_broken_flows(self._agent.service, amount)

    def _record_balancers(self, sender: Address, changes: Changes, now: float) -> None:
        """Record the balancers found in changes that were read from the platform.

        Such changes have this process's own address as their sender.
        """
        if sender != self.transport.address:
            return
        addresses = [entry.address for entry in read_balancers(changes.objects)]
        self._read_schedule.record_balancers(addresses)
        for address in addresses:
            self._decisions.config_poller.record_source(address, now)


__all__ = ["BACKEND", "Agent"]
