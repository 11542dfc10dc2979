"""Distribution of configuration and views through a tree of balancers."""

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
CHILD_TIMEOUT_S: Final = 10.0
ISOLATION_TIMEOUT_S: Final = 5.0
"""Time without a reply of another process until a balancer watches the platform."""


class Distribution:
    """One balancer's position in the distribution tree of its data centre.

    The balancers of a data centre are ordered by a hash of their names. The first
    ``WATCHERS_PER_DATA_CENTRE`` watch the platform; each later one polls its parent,
    which follows from its position. Changes are pushed at once to the children that
    polled within ``CHILD_TIMEOUT_S``; their next poll fetches whatever was lost.
    """

    def __init__(
        self, config: BalancerConfig, catalogue: Catalogue, random: Random
    ) -> None:
        self._config = config
        self._catalogue = catalogue
        self._config_poller = ConfigPoller(catalogue, config.peers, random)
        self._children: dict[Address, tuple[ChangesRequest, float]] = {}
        self._last_heard_at = 0.0
        self._is_watcher = True
        self._is_isolated = True
        self._parent: Address | None = None
        self._position_revision = -1

    @property
    def should_watch(self) -> bool:
        """Whether to watch the platform in addition to polling other processes."""
        return self._is_watcher or self._is_isolated

    def handle_changes_request(
        self, sender: Address, message: ChangesRequest, now: float
    ) -> list[Action]:
        """Reply with the requested changes and record the sender as a child."""
        if sender in self._children or len(self._children) < MAX_CHILDREN:
            self._children[sender] = (message, now)
        return [Send(sender, self._catalogue.build_changes(message))]

    def push_changes(self, now: float) -> list[Action]:
        """Send new objects to the children, without waiting for their next poll."""
        sends: list[Action] = []
        for child, (message, requested_at) in list(self._children.items()):
            if now - requested_at > CHILD_TIMEOUT_S:
                del self._children[child]
                continue
            changes = self._catalogue.build_changes(message)
            if not changes.objects:
                continue
            self._children[child] = (
                ChangesRequest(changes.up_to, message.service),
                requested_at,
            )
            sends.append(Send(child, changes))
        return sends

    def request_now(self, address: Address, service: str, now: float) -> list[Send]:
        """Request all objects of a service from one of its hosts, at a bounded rate."""
        sends = self._config_poller.request_now(address, now)
        return [Send(send.to, ChangesRequest(0, service)) for send in sends]

    def request_next_part(self, address: Address, service: str) -> list[Send]:
        """Request the rest of a reply that was cut to a part."""
        return [Send(address, ChangesRequest(self._catalogue.complete_to, service))]

    def record_changes(self, sender: Address, now: float) -> None:
        """Record the time of a reply from another process.

        Changes from the platform come from this balancer's own address and do not
        count.
        """
        if sender != self._config.address:
            self._last_heard_at = now

    def tick(self, now: float) -> list[Action]:
        """Update the position in the tree and poll the sources."""
        self._update_position(now)
        if self._is_isolated and now - self._last_heard_at < ISOLATION_TIMEOUT_S:
            self._is_isolated = False
        elif now - self._last_heard_at >= ISOLATION_TIMEOUT_S:
            self._is_isolated = True
        return list(self._config_poller.tick(now))

    def _update_position(self, now: float) -> None:
        if self._parent is not None:
            self._config_poller.record_source(self._parent, now)
        if self._position_revision == self._catalogue.balancers_revision:
            return
        self._position_revision = self._catalogue.balancers_revision
        ordered = self._order_balancers()
        names = [entry.ref.name for entry in ordered]
        self._is_watcher = True
        self._parent = None
        if self._config.ref.name not in names:
            return
        position = names.index(self._config.ref.name)
        if position < WATCHERS_PER_DATA_CENTRE:
            return
        self._is_watcher = False
        first = position - WATCHERS_PER_DATA_CENTRE
        self._parent = ordered[first // CHILDREN_PER_BALANCER].address

    def _order_balancers(self) -> list[BalancerEntry]:
        local = [
            entry
            for entry in self._catalogue.balancers
            if entry.data_centre == self._config.data_centre
        ]
        return sorted(
            local, key=lambda entry: xxhash.xxh3_64_intdigest(entry.ref.name.encode())
        )


__all__ = ["Distribution"]
