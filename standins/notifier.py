"""Notification of the observers of the live stock boards."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from aiocoap import Message
from aiocoap.numbers import codes
from aiocoap.numbers.types import Type

from .addresses import Address, format_address
from .answers import JSON_FORMAT, Origin, describe
from .coap import MessageIds, read_query
from .content import COMPTOIR
from .events import ObservationEnded, ObservationStarted, read_clock
from .observers import GROUP_INTERVAL_S, MAX_UNCONFIRMED, Observer, Observers

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RecordFile


class Notifier:
    """Adds, removes and periodically notifies observers.

    Parameters
    ----------
    send : callable
        Sends a datagram to an endpoint.
    record : RecordFile
        File that starts and ends of observations are recorded in.
    origin : Origin
        Host and incarnation named in the notifications.
    """

    def __init__(
        self,
        send: Callable[[bytes, Address], None],
        record: RecordFile,
        origin: Origin,
    ) -> None:
        self.origin = origin
        self._send = send
        self._record = record
        self._ids = MessageIds(secrets.randbelow(1 << 16))
        self._observers = Observers()

    def __len__(self) -> int:
        return len(self._observers)

    async def run(self) -> None:
        """Notify each observer about once a second until cancelled."""
        number = 0
        due_at = time.monotonic()
        while True:
            due_at += GROUP_INTERVAL_S
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            number += 1
            for observer in self._observers.list_group(number):
                self._notify(observer)

    def change_observation(
        self, request: Message, endpoint: Address, answer: Message
    ) -> None:
        """Add or remove an observer according to a request's Observe option."""
        known = self._observers.find(endpoint, request.token)
        match request.opt.observe:
            case 0:
                board = read_query(request.opt).get("board", "")
                observer = known or Observer(endpoint, request.token, board)
                observer.advance()
                answer.opt.observe = observer.sequence
                if known is None:
                    self._add(observer)
            case 1 if known is not None:
                self._end(known, "deregistered")

    def handle_confirmation(self, message: Message, endpoint: Address) -> None:
        """Handle the acknowledgement or reset of a notification."""
        observer = self._observers.find_notified(endpoint, message.mid)
        if observer is None:
            return
        if message.mtype == Type.ACK:
            observer.unconfirmed = 0
            return
        self._end(observer, "reset")

    def end_all(self, reason: str) -> None:
        """Remove all observers without notifying them."""
        for observer in self._observers:
            self._record_end(observer, reason)
        self._observers.clear()

    def _notify(self, observer: Observer) -> None:
        confirm = observer.advance()
        if confirm:
            observer.unconfirmed += 1
        if observer.unconfirmed > MAX_UNCONFIRMED:
            self._end(observer, "unconfirmed")
            return
        message_id = self._ids.draw()
        observer.message_ids.append(message_id)
        notification = Message(
            code=codes.CONTENT,
            payload=describe(COMPTOIR, self.origin, board=observer.board),
            _mtype=Type.CON if confirm else Type.NON,
            _mid=message_id,
            _token=observer.token,
        )
        notification.opt.observe = observer.sequence
        notification.opt.content_format = JSON_FORMAT
        self._send(notification.encode(), observer.endpoint)

    def _add(self, observer: Observer) -> None:
        self._observers.add(observer)
        self._record.append(
            ObservationStarted(
                read_clock(),
                self.origin.host,
                self.origin.incarnation,
                observer.board,
                format_address(observer.endpoint),
            )
        )

    def _end(self, observer: Observer, reason: str) -> None:
        self._observers.remove(observer)
        self._record_end(observer, reason)

    def _record_end(self, observer: Observer, reason: str) -> None:
        self._record.append(
            ObservationEnded(
                read_clock(),
                self.origin.host,
                self.origin.incarnation,
                observer.board,
                format_address(observer.endpoint),
                reason,
            )
        )


__all__ = ["Notifier"]
