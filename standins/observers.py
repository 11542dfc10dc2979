"""Observers of the live stock boards, grouped for notification once a second."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .coap import MAX_OBSERVE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .addresses import Address

NOTIFY_INTERVAL_S: Final = 1.0
GROUPS: Final = 20
GROUP_INTERVAL_S: Final = NOTIFY_INTERVAL_S / GROUPS
CONFIRM_EVERY: Final = 16
MAX_UNCONFIRMED: Final = 2
REMEMBERED_MESSAGE_IDS: Final = 8


@dataclass(slots=True)
class Observer:
    """An observation of a board by a caller.

    Attributes
    ----------
    endpoint : Address
        Address that notifications are sent to.
    token : bytes
        Token of the registration.
    board : str
        Name that the caller gave its board.
    sequence : int
        Sequence number of the last notification.
    unconfirmed : int
        Consecutive confirmable notifications without an acknowledgement.
    message_ids : deque of int
        Message identifiers of the latest notifications.
    """

    endpoint: Address
    token: bytes
    board: str
    sequence: int = 0
    unconfirmed: int = 0
    message_ids: deque[int] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_MESSAGE_IDS)
    )

    def advance(self) -> bool:
        """Advance the sequence number; tell whether the notification is confirmable."""
        self.sequence = (self.sequence + 1) & MAX_OBSERVE
        return self.sequence % CONFIRM_EVERY == 0


class Observers:
    """All observations, in groups notified in turn within `NOTIFY_INTERVAL_S`."""

    def __init__(self) -> None:
        self._by_endpoint: dict[Address, dict[bytes, Observer]] = {}
        self._groups: list[dict[tuple[Address, bytes], Observer]] = [
            {} for _ in range(GROUPS)
        ]

    def __len__(self) -> int:
        return sum(len(group) for group in self._groups)

    def __iter__(self) -> Iterator[Observer]:
        for group in self._groups:
            yield from list(group.values())

    def add(self, observer: Observer) -> None:
        """Add an observation; it replaces one with the same endpoint and token."""
        key = (observer.endpoint, observer.token)
        self._by_endpoint.setdefault(observer.endpoint, {})[observer.token] = observer
        self._groups[hash(key) % GROUPS][key] = observer

    def remove(self, observer: Observer) -> None:
        """Remove an observation."""
        key = (observer.endpoint, observer.token)
        self._groups[hash(key) % GROUPS].pop(key, None)
        held = self._by_endpoint.get(observer.endpoint, {})
        held.pop(observer.token, None)
        if not held:
            self._by_endpoint.pop(observer.endpoint, None)

    def clear(self) -> None:
        """Remove all observations."""
        self._by_endpoint.clear()
        for group in self._groups:
            group.clear()

    def find(self, endpoint: Address, token: bytes) -> Observer | None:
        """Find an observation by endpoint and token, or None if there is none."""
        return self._by_endpoint.get(endpoint, {}).get(token)

    def find_notified(self, endpoint: Address, message_id: int) -> Observer | None:
        """Find the observation of a recent notification, or None if there is none."""
        for observer in self._by_endpoint.get(endpoint, {}).values():
            if message_id in observer.message_ids:
                return observer
        return None

    def list_group(self, number: int) -> list[Observer]:
        """List the observations of one group."""
        return list(self._groups[number % GROUPS].values())


__all__ = [
    "GROUP_INTERVAL_S",
    "MAX_UNCONFIRMED",
    "Observer",
    "Observers",
]
