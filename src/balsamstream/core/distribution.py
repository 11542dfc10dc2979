"""Spreads configuration and views: few watch the platform, the rest ask in a tree."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from .action import Send
from .config_poller import ConfigPoller
from .message import ChangesRequest

if TYPE_CHECKING:
    from random import Random

    from .action import Action
    from .balancer_config import BalancerConfig
    from .catalogue import BalancerEntry, Catalogue
    from .identity import Address

WATCHERS_PER_DATA_CENTRE: Final = 2
CHILDREN_PER_BALANCER: Final = 16
MAX_CHILDREN: Final = 256
CHILD_LIFE_S: Final = 10.0
SILENT_S: Final = 5.0
"""A balancer whose sources are silent for so long watches the platform itself."""


class Distribution:
    """One balancer's place in the tree of its data centre.

    All balancers of a data centre order themselves by a hash of their names. The first
    few watch the platform; each later one asks the one at its parent's position. What
    arrives is pushed at once to those that asked lately; their next question closes
    any gap.
    """

    def __init__(
        self, config: BalancerConfig, catalogue: Catalogue, random: Random
    ) -> None:
        self._config = config
        self._catalogue = catalogue
        self._config_poller = ConfigPoller(catalogue, config.peers, random)
        self._children: dict[Address, tuple[ChangesRequest, float]] = {}
        self._heard = 0.0
        self._is_reader = True
        self._is_silent = True
        self._parent: Address | None = None
        self._settled_for = -1

    @property
    def should_watch(self) -> bool:
        """Whether to watch the platform rather than only ask others."""
        return self._is_reader or self._is_silent

    def handle_changes_request(
        self, sender: Address, ask: ChangesRequest, now: float
    ) -> list[Action]:
        """Answer a question and remember who asked."""
        if sender in self._children or len(self._children) < MAX_CHILDREN:
            self._children[sender] = (ask, now)
        return [Send(sender, self._catalogue.build_changes(ask))]

    def push_changes(self, now: float) -> list[Action]:
        """Send what is new to those that asked lately."""
        sends: list[Action] = []
        for child, (ask, asked) in list(self._children.items()):
            if now - asked > CHILD_LIFE_S:
                del self._children[child]
                continue
            changes = self._catalogue.build_changes(ask)
            if not changes.objects:
                continue
            self._children[child] = (ChangesRequest(changes.up_to, ask.service), asked)
            sends.append(Send(child, changes))
        return sends

    def request_now(self, address: Address, service: str, now: float) -> list[Send]:
        """Ask a host for its service's later view."""
        sends = self._config_poller.request_now(address, now)
        return [Send(send.to, ChangesRequest(0, service)) for send in sends]

    def request_next_part(self, address: Address, service: str) -> list[Send]:
        """Ask for the part that was left out of an answer."""
        return [Send(address, ChangesRequest(self._catalogue.complete_to, service))]

    def record_changes(self, sender: Address, now: float) -> None:
        """Note an answer of a source or of the platform."""
        if sender != self._config.address:
            self._heard = now

    def tick(self, now: float) -> list[Action]:
        """Settle the own place and ask the sources."""
        self._settle_place(now)
        if self._is_silent and now - self._heard < SILENT_S:
            self._is_silent = False
        elif now - self._heard >= SILENT_S:
            self._is_silent = True
        return list(self._config_poller.tick(now))

    def _settle_place(self, now: float) -> None:
        if self._parent is not None:
            self._config_poller.record_source(self._parent, now)
        if self._settled_for == self._catalogue.balancers_revision:
            return
        self._settled_for = self._catalogue.balancers_revision
        order = self._order_balancers()
        names = [entry.ref.name for entry in order]
        self._is_reader = True
        self._parent = None
        if self._config.ref.name not in names:
            return
        position = names.index(self._config.ref.name)
        if position < WATCHERS_PER_DATA_CENTRE:
            return
        self._is_reader = False
        first = position - WATCHERS_PER_DATA_CENTRE
        self._parent = order[first // CHILDREN_PER_BALANCER].address

    def _order_balancers(self) -> list[BalancerEntry]:
        near = [
            entry
            for entry in self._catalogue.balancers
            if entry.data_centre == self._config.data_centre
        ]
        return sorted(
            near, key=lambda entry: xxhash.xxh3_64_intdigest(entry.ref.name.encode())
        )


__all__ = ["Distribution"]
