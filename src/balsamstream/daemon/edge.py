"""Socket of the balancer towards callers."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.core.identity import Address
from balsamstream.core.routing import compute_flow_key
from balsamstream.edge.protocols import get_protocol
from balsamstream.edge.proxy_header import (
    ProxyHeaderError,
    encode_header,
    split_datagram,
    unpack_address,
)
from balsamstream.kernel import Service

from .datagram import DatagramSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.config.objects import Repeatability
    from balsamstream.core.action import RefuseCaller, ReturnToCaller
    from balsamstream.core.catalogue import Catalogue, ServiceEntry
    from balsamstream.core.identity import FlowKey
    from balsamstream.edge.protocol import Classification
    from balsamstream.edge.protocol import Protocol as EdgeProtocol

    from .metrics import Metrics
    from .settings import EdgeSettings

MAX_FABRIC_ROUTES: Final = 65_536


@dataclass(frozen=True, slots=True)
class _CachedService:
    """Values of a service that are needed for each of its datagrams."""

    entry: ServiceEntry
    name: str
    protocol: EdgeProtocol
    requests: Repeatability


class DatagramHandler(Protocol):
    """Receives callers' datagrams."""

    def handle_datagram(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        classified: Classification,
        payload: bytes,
    ) -> None:
        """Handle a caller's datagram."""


class Edge(Service):
    """Receives callers' datagrams and sends answers and refusals back.

    Datagrams come either directly from callers or through a fabric, which relays
    them with a PROXY protocol header in front.

    Parameters
    ----------
    settings : EdgeSettings
        Local address, and whether datagrams have PROXY protocol headers.
    catalogue : Catalogue
        Finds services by address and number.
    metrics : Metrics
        Counts dropped datagrams.
    """

    def __init__(
        self, settings: EdgeSettings, catalogue: Catalogue, metrics: Metrics
    ) -> None:
        self._settings = settings
        self.listen = settings.listen
        self._catalogue = catalogue
        self.metrics = metrics
        handle = (
            self._handle_relayed if settings.proxy_protocol else self._handle_direct
        )
        self._socket = DatagramSocket("edge", self.listen, handle, metrics)
        self._fabric: tuple[str, int] | None = None
        self._fabric_by_caller: dict[Address, tuple[str, int]] = {}
        self._services: dict[bytes, _CachedService] = {}
        self._addresses: dict[int, Address] = {}
        self._handler: DatagramHandler | None = None
        self._before_batch: Callable[[], None] | None = None

    def set_handler(
        self, handler: DatagramHandler, before_batch: Callable[[], None]
    ) -> None:
        """Set the receiver of datagrams, before `start`.

        Parameters
        ----------
        handler : DatagramHandler
            Receives classified datagrams.
        before_batch : callable
            Called before each batch of datagrams.
        """
        self._handler = handler
        self._before_batch = before_batch

    async def start(self) -> None:
        """Bind the socket."""
        if self._before_batch is None:
            raise RuntimeError("the edge was started before set_handler")
        self._socket.open(self._before_batch)

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def flush_counts(self) -> None:
        """Add the datagrams received and sent to the counters."""
        self._socket.flush_counts()

    def discard_queued(self) -> int:
        """Drop the datagrams queued in the socket; return their number."""
        return self._socket.discard_queued()

    def clear_service_cache(self) -> None:
        """Clear the cached services and addresses, after a change of the catalogue."""
        self._services.clear()
        self._addresses.clear()

    def send_answer(self, action: ReturnToCaller) -> None:
        """Send an answer to the caller."""
        address = self._addresses.get(action.service)
        if address is None:
            entry = self._catalogue.find_service_by_number(action.service)
            if entry is None:
                self.metrics.count("lost.answer_without_service")
                return
            address = self._cache_address(entry)
        self._send(address, action.caller, action.payload)

    def send_refusal(self, action: RefuseCaller) -> None:
        """Send a refusal to the caller, if the protocol has refusals."""
        entry = self._catalogue.find_service_by_number(action.service)
        if entry is None:
            self.metrics.count("lost.refusal_without_service")
            return
        protocol = get_protocol(entry.spec.protocol)
        refusal = protocol.build_refusal(action.head, action.verdict)
        if refusal is None:
            self.metrics.count("lost.refusal_without_form")
            return
        self._send(entry.spec.address, action.caller, refusal)

    def _cache_address(self, entry: ServiceEntry) -> Address:
        address = entry.spec.address
        self._addresses[entry.number] = address
        return address

    def _send(self, service: Address, caller: Address, payload: bytes) -> None:
        if not self._settings.proxy_protocol:
            self._socket.send(payload, caller)
            return
        fabric = self._fabric_by_caller.get(caller, self._fabric)
        if fabric is None:
            self.metrics.count("lost.no_fabric")
            return
        header = encode_header(service, caller)
        self._socket.send(header + payload, fabric)

    def _handle_relayed(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            caller, service, payload = split_datagram(datagram)
        except ProxyHeaderError:
            self.metrics.count("lost.proxy_header")
            return
        cached = self._services.get(service)
        if cached is None:
            cached = self._find_service(unpack_address(service))
            if cached is None:
                return
            self._services[service] = cached
        if source != self._fabric or self._fabric_by_caller:
            self._record_fabric(caller, source)
        self._handle_datagram(cached, caller, payload)

    def _handle_direct(self, datagram: bytes, source: tuple[str, int]) -> None:
        cached = self._find_service(self.listen)
        if cached is not None:
            self._handle_datagram(cached, Address(*source), datagram)

    def _handle_datagram(
        self, cached: _CachedService, caller: Address, payload: bytes
    ) -> None:
        flow = compute_flow_key(cached.name, caller)
        classified = cached.protocol.classify(flow, payload, cached.requests)
        if classified is None:
            self.metrics.count("lost.malformed")
            return
        if self._handler is not None:
            self._handler.handle_datagram(
                cached.entry, flow, caller, classified, payload
            )

    def _find_service(self, service: Address) -> _CachedService | None:
        entry = self._catalogue.find_service_by_address(service)
        if entry is None:
            self.metrics.count("lost.unknown_service")
            return None
        protocol = get_protocol(entry.spec.protocol)
        return _CachedService(entry, entry.spec.name, protocol, entry.profile.requests)

    def _record_fabric(self, caller: Address, source: tuple[str, int]) -> None:
        """Record which fabric relays for a caller, if there is more than one fabric."""
        if self._fabric is None:
            self._fabric = source
        if source == self._fabric:
            self._fabric_by_caller.pop(caller, None)
            return
        if len(self._fabric_by_caller) >= MAX_FABRIC_ROUTES:
            with contextlib.suppress(StopIteration):
                del self._fabric_by_caller[next(iter(self._fabric_by_caller))]
        self._fabric_by_caller[caller] = source


__all__ = ["DatagramHandler", "Edge"]
