"""Polling of other processes for later versions of configuration and views."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .action import Send
from .message import ChangesRequest

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from .catalogue import Catalogue
    from .identity import Address

POLL_INTERVAL_S: Final = 2.0
MIN_REQUEST_INTERVAL_S: Final = 0.1
SOURCES_PER_POLL: Final = 2
MAX_SOURCES: Final = 16


class ConfigPoller:
    """Polls two sources at a time, and at once a process that has a later version.

    Parameters
    ----------
    catalogue : Catalogue
        Its ``complete_to`` and its service go into each request.
    sources : sequence of Address
        Configured processes; others are added when they send a message.
    random : Random
        Chooses among the sources.
    """

    def __init__(
        self, catalogue: Catalogue, sources: Sequence[Address], random: Random
    ) -> None:
        self._catalogue = catalogue
        self._configured = tuple(sources)
        self._recent: dict[Address, float] = {}
        self._random = random
        self._next_poll_at = 0.0
        self._next_request_at = 0.0

    def record_source(self, address: Address, now: float) -> None:
        """Record a process that can be polled, in place of the oldest if full."""
        self._recent.pop(address, None)
        self._recent[address] = now
        if len(self._recent) > MAX_SOURCES:
            del self._recent[next(iter(self._recent))]

    def list_sources(self) -> list[Address]:
        """Return the sources, the one with the latest message first."""
        recent = list(reversed(self._recent))
        return recent + [
            address for address in self._configured if address not in recent
        ]

    def request_now(self, address: Address, now: float) -> list[Send]:
        """Request changes from a process with a later version, at a bounded rate."""
        if now < self._next_request_at:
            return []
        self._next_request_at = now + MIN_REQUEST_INTERVAL_S
        return [self._build_request(address)]

    def request_next_part(self, address: Address) -> list[Send]:
        """Request the rest of a reply that was cut to a part."""
        return [self._build_request(address)]

    def tick(self, now: float) -> list[Send]:
        """Poll ``SOURCES_PER_POLL`` random sources every ``POLL_INTERVAL_S``."""
        if now < self._next_poll_at:
            return []
        self._next_poll_at = now + POLL_INTERVAL_S * self._random.uniform(0.8, 1.0)
        sources = self.list_sources()
        if len(sources) > SOURCES_PER_POLL:
            sources = self._random.sample(sources, SOURCES_PER_POLL)
        return [self._build_request(address) for address in sources]

    def _build_request(self, address: Address) -> Send:
        message = ChangesRequest(self._catalogue.complete_to, self._catalogue.service)
        return Send(address, message)


__all__ = ["POLL_INTERVAL_S", "ConfigPoller"]
