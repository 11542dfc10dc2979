"""The balancer's socket towards callers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.core.identity import Address
from balsamstream.core.routing import compute_flow_key
from balsamstream.edge.protocols import find_protocol
from balsamstream.edge.proxy_header import (
    ProxyHeaderError,
    encode_header,
    split_datagram,
)
from balsamstream.kernel import Service

from .datagram import DatagramSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.catalogue import Catalogue, ServiceEntry
    from balsamstream.core.identity import FlowKey
    from balsamstream.core.message import RefuseCaller, ReturnToCaller
    from balsamstream.edge.protocol import Classified

    from .metrics import Metrics
    from .settings import EdgeSettings

MOST_FABRIC_ROUTES: Final = 65_536


class DatagramTaker(Protocol):
    """Who decides on callers' datagrams."""

    def take_datagram(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        classified: Classified,
        payload: bytes,
    ) -> None:
        """Take a caller's datagram."""


class Edge(Service):
    """Takes callers' datagrams, from a fabric or directly, and sends answers back.

    Parameters
    ----------
    settings : EdgeSettings
        Where to listen, and whether PROXY headers come.
    catalogue : Catalogue
        Knows the services by their addresses.
    metrics : Metrics
        Counts what is dropped.
    """

    def __init__(
        self, settings: EdgeSettings, catalogue: Catalogue, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._listen = Address(*settings.listen)
        self._catalogue = catalogue
        self._metrics = metrics
        take = self._take_relayed if settings.proxy_protocol else self._take_direct
        self._socket = DatagramSocket("edge", self._listen, take, metrics)
        self._fabric: tuple[str, int] | None = None
        self._fabric_by_caller: dict[Address, tuple[str, int]] = {}
        self._taker: DatagramTaker | None = None
        self._before_batch: Callable[[], None] | None = None

    def connect(self, taker: DatagramTaker, before_batch: Callable[[], None]) -> None:
        """Name who takes the datagrams, before the start.

        Parameters
        ----------
        taker : DatagramTaker
            Takes datagrams.
        before_batch : callable
            Called before each batch of datagrams.
        """
        self._taker = taker
        self._before_batch = before_batch

    async def start(self) -> None:
        """Bind the socket."""
        if self._before_batch is None:
            raise RuntimeError("the edge is not connected")
        self._socket.open(self._before_batch)

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def discard(self) -> int:
        """Drop what is queued in the socket; return how many datagrams."""
        return self._socket.discard()

    def return_answer(self, action: ReturnToCaller) -> None:
        """Send an answer to its caller."""
        entry = self._catalogue.find_service_by_number(action.service)
        if entry is None:
            self._metrics.count("lost.answer_without_service")
            return
        self._send(entry, action.caller, action.payload)

    def refuse(self, action: RefuseCaller) -> None:
        """Send a refusal to its caller, where the protocol has one."""
        entry = self._catalogue.find_service_by_number(action.service)
        if entry is None:
            self._metrics.count("lost.refusal_without_service")
            return
        protocol = find_protocol(entry.spec.protocol)
        refusal = protocol.build_refusal(action.head, action.verdict)
        if refusal is None:
            self._metrics.count("lost.refusal_without_form")
            return
        self._send(entry, action.caller, refusal)

    def _send(self, entry: ServiceEntry, caller: Address, payload: bytes) -> None:
        if not self._settings.proxy_protocol:
            self._socket.send(payload, caller)
            return
        fabric = self._fabric_by_caller.get(caller, self._fabric)
        if fabric is None:
            self._metrics.count("lost.no_fabric")
            return
        header = encode_header(Address(*entry.spec.address), caller)
        self._socket.send(header + payload, fabric)

    def _take_relayed(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            endpoints, payload = split_datagram(datagram)
        except ProxyHeaderError:
            self._metrics.count("lost.proxy_header")
            return
        if source != self._fabric or self._fabric_by_caller:
            self._note_fabric(endpoints.source, source)
        self._take(endpoints.destination, endpoints.source, payload)

    def _take_direct(self, datagram: bytes, source: tuple[str, int]) -> None:
        self._take(self._listen, Address(*source), datagram)

    def _take(self, service: Address, caller: Address, payload: bytes) -> None:
        entry = self._catalogue.find_service_by_address(service)
        if entry is None:
            self._metrics.count("lost.unknown_service")
            return
        flow = compute_flow_key(entry.spec.name, caller)
        protocol = find_protocol(entry.spec.protocol)
        classified = protocol.classify(flow, payload, entry.profile.requests)
        if classified is None:
            self._metrics.count("lost.malformed")
            return
        if self._taker is not None:
            self._taker.take_datagram(entry, flow, caller, classified, payload)

    def _note_fabric(self, caller: Address, source: tuple[str, int]) -> None:
        """Remember who relays for a caller, where there is more than one relay."""
        if self._fabric is None:
            self._fabric = source
        if source == self._fabric:
            self._fabric_by_caller.pop(caller, None)
            return
        if len(self._fabric_by_caller) >= MOST_FABRIC_ROUTES:
            with contextlib.suppress(StopIteration):
                del self._fabric_by_caller[next(iter(self._fabric_by_caller))]
        self._fabric_by_caller[caller] = source


__all__ = ["DatagramTaker", "Edge"]
