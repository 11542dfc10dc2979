"""Base of the daemon's roles: ticks, messages, pauses and the graceful stop."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING, Any, Final

import structlog

from balsamstream.kernel import Mailbox, Service

from .burn import BurnCounter
from .clocks import PauseDetector
from .metrics import Metrics
from .platform_link import PlatformLink
from .transport import Transport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.core.action import Action
    from balsamstream.core.identity import Address, ProcessRef
    from balsamstream.core.message import Changes, Message
    from balsamstream.kernel import Kernel

    from .settings import Settings

TICK_INTERVAL_S: Final = 0.05
MAX_QUEUED_CHANGES: Final = 1_024

TRANSPORT: Final = "transport"
METRICS: Final = "metrics"
BURN: Final = "burn"
PLATFORM: Final = "platform"
ROLE: Final = "role"


class Role(Service):
    """Passes inputs to the decisions of one role and carries out their actions.

    Parameters
    ----------
    kernel : Kernel
        Finds other services and runs tasks.
    settings : Settings
        Settings of the daemon.
    ref : ProcessRef
        Name and incarnation of this process.
    """

    def __init__(self, kernel: Kernel, settings: Settings, ref: ProcessRef) -> None:
        self.kernel = kernel
        self.settings = settings
        self.ref = ref
        self.transport = kernel.get(TRANSPORT, Transport)
        self.metrics = kernel.get(METRICS, Metrics)
        self.burn = kernel.get(BURN, BurnCounter)
        self.log = structlog.get_logger("balsamstream.daemon")
        self.clock = PauseDetector(self._handle_pause)
        self.has_stopped = asyncio.Event()
        self._changes: Mailbox[Changes] = Mailbox(MAX_QUEUED_CHANGES)
        self.transport.set_handler(self._handle_message, self.detect_pause)

    @property
    def link(self) -> PlatformLink:
        """The connection to the platform."""
        return self.kernel.get(PLATFORM, PlatformLink)

    async def start(self) -> None:
        """Start the tasks of the role."""
        self.clock.start()
        self.kernel.start_task("tick", self._run_ticks())
        self.kernel.start_task("changes", self._handle_queued_changes())

    async def close(self) -> None:
        """End the tasks of the role."""
        await self.kernel.end_task("tick")
        await self.kernel.end_task("changes")

    @abstractmethod
    def start_graceful_stop(self) -> None:
        """Start a graceful stop; ``has_stopped`` is set at its end."""

    @abstractmethod
    def force_stop(self) -> None:
        """End a graceful stop at once."""

    @abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the role's part of the status page."""

    @abstractmethod
    def carry_out(self, actions: Sequence[Action]) -> None:
        """Carry out actions in order."""

    @abstractmethod
    def decide_on_message(
        self, sender: Address, message: Message, now: float
    ) -> Sequence[Action]:
        """Return the actions that a received message leads to."""

    @abstractmethod
    def decide_on_pause(self, gap_s: float, now: float) -> Sequence[Action]:
        """Return the actions to take after a pause of the process."""

    @abstractmethod
    def decide_on_tick(self, now: float) -> Sequence[Action]:
        """Return the actions that are due now."""

    @abstractmethod
    def discard_queued(self) -> int:
        """Drop what is queued in all sockets but the transport's; return the number."""

    async def queue_changes(self, changes: Changes) -> None:
        """Queue changes read from the platform, waiting while the queue is full.

        The watch delivers each change once, so a lost one would leave a permanent gap.
        """
        await self._changes.put(changes)

    def detect_pause(self) -> None:
        """Detect a pause before handling what was queued during it."""
        self.clock.update()

    def _handle_message(self, sender: Address, message: Message) -> None:
        now = self.clock.last.monotonic
        self.carry_out(self.decide_on_message(sender, message, now))

    def _handle_pause(self, gap_s: float) -> None:
        dropped = self.transport.discard_queued() + self.discard_queued()
        # Messages sent from now on must not carry the time from before the pause.
        self.transport.tick(self.clock.last.wall, self.clock.last.monotonic)
        self.log.warning("process_paused", gap_s=round(gap_s, 3), dropped=dropped)
        self.metrics.count("pauses")
        self.metrics.count("lost.paused", dropped)
        self.carry_out(self.decide_on_pause(gap_s, self.clock.last.monotonic))

    async def _handle_queued_changes(self) -> None:
        while True:
            changes = await self._changes.pop()
            # This process's own address marks changes read from the platform.
            self._handle_message(self.transport.address, changes)

    async def _run_ticks(self) -> None:
        while True:
            now = self.clock.update()
            self.transport.tick(self.clock.last.wall, now)
            self.carry_out(self.decide_on_tick(now))
            await self.finish_tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def finish_tick(self) -> None:
        """Do the part of each tick that needs other services."""


__all__ = ["BURN", "METRICS", "PLATFORM", "ROLE", "TRANSPORT", "Role"]
