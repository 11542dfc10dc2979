"""Follows configuration and views by asking other processes for later versions."""

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
URGENT_REPEAT_S: Final = 0.1
SOURCES_PER_POLL: Final = 2
MAX_SOURCES: Final = 16


class ConfigPoller:
    """Asks two sources at a time, and at once whoever is seen to know more.

    Parameters
    ----------
    catalogue : Catalogue
        Where answers go; its version is what is asked from.
    sources : sequence of Address
        Processes that are asked at first; others are added as they are heard.
    random : Random
        Chooses among the sources.
    """

    def __init__(
        self, catalogue: Catalogue, sources: Sequence[Address], random: Random
    ) -> None:
        self._catalogue = catalogue
        self._fixed = tuple(sources)
        self._heard: dict[Address, float] = {}
        self._random = random
        self._next_ask = 0.0
        self._next_urgent = 0.0

    def record_source(self, address: Address, now: float) -> None:
        """Remember a process that can be asked."""
        self._heard.pop(address, None)
        self._heard[address] = now
        if len(self._heard) > MAX_SOURCES:
            del self._heard[next(iter(self._heard))]

    def list_sources(self) -> list[Address]:
        """Return the sources, the one heard last first."""
        heard = list(reversed(self._heard))
        return heard + [address for address in self._fixed if address not in heard]

    def request_now(self, address: Address, now: float) -> list[Send]:
        """Ask a process that showed a later version, at a bounded rate."""
        if now < self._next_urgent:
            return []
        self._next_urgent = now + URGENT_REPEAT_S
        return [self._build_ask(address)]

    def request_next_part(self, address: Address) -> list[Send]:
        """Ask for the part that was left out of an answer."""
        return [self._build_ask(address)]

    def tick(self, now: float) -> list[Send]:
        """Ask two sources every two seconds."""
        if now < self._next_ask:
            return []
        self._next_ask = now + POLL_INTERVAL_S * self._random.uniform(0.8, 1.0)
        sources = self.list_sources()
        if len(sources) > SOURCES_PER_POLL:
            sources = self._random.sample(sources, SOURCES_PER_POLL)
        return [self._build_ask(address) for address in sources]

    def _build_ask(self, address: Address) -> Send:
        ask = ChangesRequest(self._catalogue.complete_to, self._catalogue.service)
        return Send(address, ask)


__all__ = ["POLL_INTERVAL_S", "ConfigPoller"]
