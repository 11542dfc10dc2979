"""Balancer role of the daemon: runs on an entry VM."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Final

from balsamstream.core.action import (
    Cancel,
    CloseFlow,
    Count,
    Deliver,
    EditView,
    RefuseCaller,
    ReturnToCaller,
    Send,
)
from balsamstream.core.balancer import BalancerDecisions
from balsamstream.core.balancer_config import BalancerConfig
from balsamstream.core.message import Changes, Refusal

from .edge import Edge
from .platform_link import Registration
from .role import Role

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.core.action import Action
    from balsamstream.core.catalogue import ServiceEntry
    from balsamstream.core.identity import Address, FlowKey, ProcessRef
    from balsamstream.core.message import Message
    from balsamstream.edge.protocol import Classification
    from balsamstream.kernel import Kernel

    from .settings import BalancerSettings, Settings

EDGE: Final = "edge"
MIN_LINGER_S: Final = 1.0
MAX_LINGER_S: Final = 3.0
REGISTRATION_CHECK_INTERVAL_S: Final = 5.0


class Balancer(Role):
    """Connects `BalancerDecisions` to callers, transport and platform."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        balancer: BalancerSettings,
        ref: ProcessRef,
    ) -> None:
        super().__init__(kernel, settings, ref)
        config = BalancerConfig(
            ref,
            self.transport.address,
            settings.data_centre,
            balancer.hints,
            tuple(settings.peers),
        )
        self._decisions = BalancerDecisions(config, random.Random(ref.incarnation))
        self._edge = Edge(balancer.edge, self._decisions.catalogue, self.metrics)
        self._edge.set_handler(self, self.detect_pause)
        self._registration = Registration(ref, config.address, config.data_centre)
        self._next_registration_at = 0.0
        self._is_stopping = False
        self._is_forwarding_refusal = False
        kernel.add(EDGE, self._edge)

    def start_graceful_stop(self) -> None:
        """Remove the registration, and go on forwarding for a limited time.

        The time is the longest deadline of all services, between `MIN_LINGER_S` and
        `MAX_LINGER_S`.
        """
        self.log.info("stop_begun")
        self._is_stopping = True
        self.kernel.start_task("stop", self._stop())

    def force_stop(self) -> None:
        """Stop forwarding at once."""
        self.log.info("stop_hurried")
        self.has_stopped.set()

    async def close(self) -> None:
        """End the tasks of the role."""
        await self.kernel.end_task("stop")
        await super().close()

    def describe(self) -> dict[str, Any]:
        """Return the role's part of the status page."""
        catalogue = self._decisions.catalogue
        services = {}
        for entry in catalogue.services:
            routing = self._decisions.find_routing(entry)
            services[entry.spec.name] = {
                "address": str(entry.spec.address),
                "view": routing.version.view,
                "eligible": len(routing.eligible),
                "reachable": len(routing.reachable),
            }
        return {
            "configuration_version": catalogue.complete_to,
            "data_centres_version": catalogue.data_centres_version,
            "data_centres_out": sorted(catalogue.evacuated),
            "services": services,
            "hints": self._decisions.hint_count,
            "watching": self._decisions.should_watch,
            "stopping": self._is_stopping,
        }

    def handle_datagram(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        classified: Classification,
        payload: bytes,
    ) -> None:
        """Route a caller's datagram."""
        now = self.clock.last.monotonic
        self.carry_out(
            self._decisions.route(
                entry,
                flow,
                caller,
                classified.kind,
                classified.request,
                payload,
                now,
            )
        )

    def decide_on_message(
        self, sender: Address, message: Message, now: float
    ) -> Sequence[Action]:
        """Return the actions that a received message leads to."""
        # A refusal by a host is counted for the burn page by that host's agent.
        self._is_forwarding_refusal = isinstance(message, Refusal)
        actions = self._decisions.handle_message(sender, message, now)
        if isinstance(message, Changes) and message.objects:
            self._edge.clear_service_cache()
        return actions

    def decide_on_pause(self, gap_s: float, now: float) -> Sequence[Action]:
        """Return the actions to take after a pause of the process."""
        return self._decisions.handle_pause(gap_s, now)

    def decide_on_tick(self, now: float) -> Sequence[Action]:
        """Return the actions that are due now."""
        return self._decisions.tick(now)

    def discard_queued(self) -> int:
        """Drop what callers sent during a pause; return the number."""
        return self._edge.discard_queued()

    async def finish_tick(self) -> None:
        """Start or stop the watch, register again if necessary, flush the counts."""
        await self.link.set_watching(self._decisions.should_watch)
        self._register_if_missing(self.clock.last.monotonic)
        self._edge.flush_counts()
        self.metrics.set_gauge("hints", self._decisions.hint_count)

    def carry_out(self, actions: Sequence[Action]) -> None:
        """Carry out actions in order."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.transport.send(to, message)
                case ReturnToCaller():
                    self._edge.send_answer(action)
                case Count(name, amount):
                    self.metrics.count(name, amount)
                case RefuseCaller():
                    self._refuse(action)
                case EditView():
                    self.link.queue_edit(action)
                case Deliver() | Cancel() | CloseFlow():
                    self.metrics.count("unexpected_action")

    def _refuse(self, action: RefuseCaller) -> None:
        self._edge.send_refusal(action)
        if self._is_forwarding_refusal:
            return
        catalogue = self._decisions.catalogue
        entry = catalogue.find_service_by_number(action.service)
        if entry is not None:
            self.burn.count_verdict(entry.spec.name, action.verdict)

    def _register_if_missing(self, now: float) -> None:
        if self._is_stopping or now < self._next_registration_at:
            return
        self._next_registration_at = now + REGISTRATION_CHECK_INTERVAL_S
        known = {entry.ref for entry in self._decisions.catalogue.balancers}
        if self.ref not in known:
            self.link.start_registration(self._registration)

    async def _stop(self) -> None:
        await self.link.deregister(self._registration)
        deadlines = [
            entry.profile.deadline_ms for entry in self._decisions.catalogue.services
        ]
        longest_s = max(deadlines, default=0) / 1000
        await asyncio.sleep(min(MAX_LINGER_S, max(MIN_LINGER_S, longest_s)))
        self.has_stopped.set()


__all__ = ["EDGE", "Balancer"]
