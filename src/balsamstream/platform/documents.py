"""Decoders of the platform's JSON documents into the project's own types."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from balsamstream.flows.desired_state import DesiredState, Route, ServiceRules, Share
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.held_flows import SavedFlow

from .packets import FLOW_KEY_BYTES, pack_route

if TYPE_CHECKING:
    from collections.abc import Iterable

MS_PER_S = 1_000.0
REPEATABLE_ROUTE_TYPES = frozenset({"safe", "download"})


class MalformedDocument(ValueError):  # noqa: N818
    """The document is not valid JSON of the expected form."""


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """Entry of a node in the store, by which other nodes discover it.

    Attributes
    ----------
    ip : str
        IP address of the node.
    role : str
        ``front`` or ``gate``.
    data_centre : str
        Data centre of the node; empty in an entry of an earlier release.
    service : str
        Service of a gate's host; empty for a front.
    """

    ip: str
    role: str
    data_centre: str = ""
    service: str = ""


class _ShareDocument(msgspec.Struct):
    service: str
    weight: float


class _RouteDocument(msgspec.Struct):
    name: str
    # The IPv4 address of the route.
    host: str
    # The port of the route between slashes, such as "/443/".
    path_prefix: str
    route_type: str = "safe"
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: list[_ShareDocument] = []


class _ServiceDocument(msgspec.Struct):
    name: str
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _LimitsDocument(msgspec.Struct):
    idle_timeout_ms: float = 60_000.0


class _ConfigDocument(msgspec.Struct):
    version: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument = msgspec.field(default_factory=_LimitsDocument)


class _HeartbeatDocument(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    seq: int
    born: int
    cold_left_ms: float = 0.0


class _NodeDocument(msgspec.Struct):
    # Not a document of the platform: nodes write and read it.
    ip: str
    role: str
    data_centre: str = ""
    service: str = ""


class _HeldDocument(msgspec.Struct):
    # Flows at one incarnation of a host: for each its key and the caller's last
    # acknowledgement number. Not a document of the platform.
    host: str
    incarnation: int
    flows: bytes


_CONFIG_DECODER = msgspec.json.Decoder(_ConfigDocument)
_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatDocument)
_NODE_DECODER = msgspec.json.Decoder(_NodeDocument)
_HELD_DECODER = msgspec.json.Decoder(list[_HeldDocument])
_ACK_BYTES = 4
_SAVED_BYTES = FLOW_KEY_BYTES + _ACK_BYTES
_STATES = {"ready": HostState.READY, "draining": HostState.DRAINING}


def read_desired_state(body: bytes) -> DesiredState:
    """Decode the desired state.

    Raises
    ------
    MalformedDocument
        If the document is malformed or a route is invalid.
    """
    document = _decode(_CONFIG_DECODER, body)
    try:
        routes = {_read_route_key(each): _read_route(each) for each in document.routes}
    except ValueError as error:
        raise MalformedDocument(f"invalid route: {error}") from error
    services = {
        each.name: ServiceRules(each.max_conns, each.cold_start_s, each.cold_per_s)
        for each in document.services
    }
    idle_s = document.limits.idle_timeout_ms / MS_PER_S
    return DesiredState(document.version, routes, services, idle_s)


def read_heartbeat(host: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat of a host.

    Raises
    ------
    MalformedDocument
        If the document is malformed or a value is out of range.
    """
    document = _decode(_HEARTBEAT_DECODER, body)
    state = _STATES.get(document.state)
    if state is None:
        raise MalformedDocument(f"unknown state {document.state!r}")
    if document.slots < 1 or document.cold_left_ms < 0 or document.seq < 0:
        raise MalformedDocument("slots, cold_left_ms or seq out of range")
    return Heartbeat(
        host=host,
        incarnation=document.born,
        sequence=document.seq,
        service=document.service,
        data_centre=document.zone,
        state=state,
        slots=document.slots,
        cold_left_s=document.cold_left_ms / MS_PER_S,
    )


def read_node(body: bytes) -> NodeEntry:
    """Decode the entry of a node.

    Raises
    ------
    MalformedDocument
        If the document is malformed or its address is invalid.
    """
    document = _decode(_NODE_DECODER, body)
    try:
        pack_route(document.ip, 1)
    except ValueError as error:
        raise MalformedDocument(f"invalid address: {error}") from error
    return NodeEntry(document.ip, document.role, document.data_centre, document.service)


def write_node(node: NodeEntry) -> bytes:
    """Encode the entry of a node."""
    document = _NodeDocument(node.ip, node.role, node.data_centre, node.service)
    return msgspec.json.encode(document)


def read_saved_flows(body: bytes) -> list[SavedFlow]:
    """Decode the open flows that a front has saved.

    Raises
    ------
    MalformedDocument
        If the document is malformed.
    """
    saved = []
    for each in _decode(_HELD_DECODER, body):
        if len(each.flows) % _SAVED_BYTES:
            raise MalformedDocument(f"flows of {each.host}: broken off")
        for start in range(0, len(each.flows), _SAVED_BYTES):
            key = each.flows[start : start + FLOW_KEY_BYTES]
            ack = each.flows[start + FLOW_KEY_BYTES : start + _SAVED_BYTES]
            flow = SavedFlow(key, each.host, each.incarnation, int.from_bytes(ack))
            saved.append(flow)
    return saved


def write_saved_flows(flows: Iterable[SavedFlow]) -> bytes:
    """Encode the open flows of a front, grouped by host."""
    grouped: dict[tuple[str, int], bytearray] = {}
    for flow in flows:
        group = grouped.setdefault((flow.host, flow.incarnation), bytearray())
        group += flow.key + flow.ack.to_bytes(_ACK_BYTES)
    documents = [
        _HeldDocument(host, incarnation, bytes(group))
        for (host, incarnation), group in grouped.items()
    ]
    return msgspec.json.encode(documents)


def _decode(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:  # noqa: ANN401
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedDocument(str(error)) from error


def _read_route_key(document: _RouteDocument) -> bytes:
    return pack_route(document.host, int(document.path_prefix.strip("/")))


def _read_route(document: _RouteDocument) -> Route:
    if document.backends:
        shares = tuple(Share(each.service, each.weight) for each in document.backends)
    elif document.service is not None:
        shares = (Share(document.service, 1.0),)
    else:
        raise ValueError(f"{document.name} has no service")
    return Route(
        document.name,
        shares,
        document.priority,
        document.route_type in REPEATABLE_ROUTE_TYPES,
        document.timeout_ms / MS_PER_S,
        document.target_latency_ms / MS_PER_S,
    )


__all__ = [
    "MalformedDocument",
    "NodeEntry",
    "read_desired_state",
    "read_heartbeat",
    "read_node",
    "read_saved_flows",
    "write_node",
    "write_saved_flows",
]
