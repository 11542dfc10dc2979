"""Control messages: one byte for the type, then thrift's binary protocol."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from balsamstream.core.identity import FlowKey, RequestKey
from balsamstream.core.message import (
    Changes,
    ChangesRequest,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    ConfigObject,
    HeldFlow,
    HeldFlowsReply,
    HeldFlowsRequest,
    HolderReply,
    HolderRequest,
    LoadReport,
    Ping,
    Pong,
    SealReply,
    SealRequest,
    TakeoverPart,
    TakeoverRequest,
)

from .error import MalformedMessage
from .generated.control import ttypes
from .number import to_signed, to_unsigned
from .reference import (
    read_address,
    read_ref,
    read_version,
    write_address,
    write_ref,
    write_version,
)

if TYPE_CHECKING:
    from balsamstream.core.message import Message

    from .structure import Structure

MAX_CONTROL_BYTES: Final = 2_097_152

_STRUCT_BY_TYPE: Final = {
    18: ttypes.HeldFlowsRequest,
    19: ttypes.HeldFlowsReply,
    20: ttypes.HolderRequest,
    21: ttypes.HolderReply,
    22: ttypes.LoadReport,
    23: ttypes.Ping,
    24: ttypes.Pong,
    25: ttypes.ClaimRequest,
    26: ttypes.ClaimReply,
    27: ttypes.SealRequest,
    28: ttypes.SealReply,
    29: ttypes.ChangesRequest,
    30: ttypes.Changes,
    31: ttypes.TakeoverRequest,
    32: ttypes.TakeoverPart,
}
_TYPE_BY_STRUCT: Final = {struct: number for number, struct in _STRUCT_BY_TYPE.items()}


def encode_control(message: Message) -> bytes:
    """Encode a control message.

    Raises
    ------
    MalformedMessage
        If the message is a packet, answer or refusal, a field exceeds its size, or
        the whole exceeds ``MAX_CONTROL_BYTES``.
    """
    try:
        struct = _write_struct(message)
        buffer = TMemoryBuffer()
        struct.write(TBinaryProtocolAccelerated(buffer))
    except MalformedMessage:
        raise
    except Exception as error:
        raise MalformedMessage("control-field") from error
    data: bytes = bytes((_TYPE_BY_STRUCT[type(struct)],)) + buffer.getvalue()
    if len(data) > MAX_CONTROL_BYTES:
        raise MalformedMessage("control-too-long")
    return data


def decode_control(data: bytes) -> Message:
    """Decode a control message.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid control message.
    """
    struct_class = _STRUCT_BY_TYPE.get(data[0]) if data else None
    if struct_class is None or len(data) > MAX_CONTROL_BYTES:
        raise MalformedMessage("control-type")
    struct = struct_class()
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(data[1:]),
        string_length_limit=len(data),
        container_length_limit=len(data),
    )
    try:
        struct.read(protocol)
        struct.validate()
        return _read_struct(struct)
    except Exception as error:
        # For malformed bytes thrift raises EOFError, TypeError, MemoryError and its
        # own exceptions.
        raise MalformedMessage("control") from error


def _write_struct(message: Message) -> Structure:
    match message:
        case HeldFlowsRequest() | HeldFlowsReply() | HolderRequest() | HolderReply():
            return _write_flow_message(message)
        case ClaimRequest() | ClaimReply() | SealRequest() | SealReply():
            return _write_claim_message(message)
        case TakeoverRequest() | TakeoverPart():
            return _write_takeover(message)
        case LoadReport():
            return _write_load_report(message)
        case Ping(number):
            return ttypes.Ping(to_signed(number))
        case Pong(number, ref):
            return ttypes.Pong(to_signed(number), write_ref(ref))
        case ChangesRequest(have, service):
            return ttypes.ChangesRequest(have, service)
        case Changes(since, up_to, full, more, objects, service):
            written = [_write_object(item) for item in objects]
            return ttypes.Changes(since, up_to, full, more, written, service)
        case _:
            raise MalformedMessage("no-control-message")


def _write_flow_message(
    message: HeldFlowsRequest | HeldFlowsReply | HolderRequest | HolderReply,
) -> Structure:
    match message:
        case HeldFlowsRequest(service, version, owner, after):
            return ttypes.HeldFlowsRequest(
                service,
                write_version(version),
                write_ref(owner),
                _write_after(after),
            )
        case HeldFlowsReply(service, version, holder, after, more, flows):
            return ttypes.HeldFlowsReply(
                service,
                write_version(version),
                write_ref(holder),
                _write_after(after),
                more,
                [to_signed(flow) for flow in flows],
            )
        case HolderRequest(service, flow):
            return ttypes.HolderRequest(service, to_signed(flow))
        case HolderReply(service, flow, member, name):
            return ttypes.HolderReply(service, to_signed(flow), write_ref(member), name)


def _write_claim_message(
    message: ClaimRequest | ClaimReply | SealRequest | SealReply,
) -> Structure:
    match message:
        case ClaimRequest(service, epoch, request, claimant):
            return ttypes.ClaimRequest(
                service, epoch, to_signed(request), write_ref(claimant)
            )
        case ClaimReply(service, epoch, request, claimant, voter, outcome, holder):
            return ttypes.ClaimReply(
                service,
                epoch,
                to_signed(request),
                write_ref(claimant),
                write_ref(voter),
                outcome.value,
                write_ref(holder),
            )
        case SealRequest(service, epoch, asker, page):
            return ttypes.SealRequest(service, epoch, write_ref(asker), page)
        case SealReply(service, epoch, voter, active_epoch, page, pages, claims):
            return ttypes.SealReply(
                service,
                epoch,
                write_ref(voter),
                active_epoch,
                page,
                pages,
                [
                    ttypes.Claim(to_signed(request), write_ref(claimant))
                    for request, claimant in claims
                ],
            )


def _read_struct(struct: Structure) -> Message:
    match struct:
        case (
            ttypes.HeldFlowsRequest()
            | ttypes.HeldFlowsReply()
            | ttypes.HolderRequest()
            | ttypes.HolderReply()
        ):
            return _read_flow_message(struct)
        case ttypes.TakeoverRequest():
            return TakeoverRequest(
                struct.service_name, read_ref(struct.successor), _read_after(struct)
            )
        case ttypes.TakeoverPart():
            return _read_takeover_part(struct)
        case ttypes.LoadReport():
            return _read_load_report(struct)
        case ttypes.Ping():
            return Ping(to_unsigned(struct.number))
        case ttypes.Pong():
            return Pong(to_unsigned(struct.number), read_ref(struct.ref))
        case ttypes.ChangesRequest():
            return ChangesRequest(struct.have, struct.service_name)
        case ttypes.Changes():
            return _read_changes(struct)
        case _:
            return _read_claim_message(struct)


def _read_flow_message(struct: Structure) -> Message:
    match struct:
        case ttypes.HeldFlowsRequest():
            return HeldFlowsRequest(
                struct.service_name,
                read_version(struct.version),
                read_ref(struct.owner),
                _read_after(struct),
            )
        case ttypes.HeldFlowsReply():
            return HeldFlowsReply(
                struct.service_name,
                read_version(struct.version),
                read_ref(struct.holder),
                _read_after(struct),
                struct.more,
                tuple(FlowKey(to_unsigned(flow)) for flow in struct.flows),
            )
        case ttypes.HolderRequest():
            return HolderRequest(struct.service_name, FlowKey(to_unsigned(struct.flow)))
        case _:
            return HolderReply(
                struct.service_name,
                FlowKey(to_unsigned(struct.flow)),
                read_ref(struct.member),
                struct.holder,
            )


def _read_claim_message(struct: Structure) -> Message:
    match struct:
        case ttypes.ClaimRequest():
            return ClaimRequest(
                struct.service_name,
                struct.epoch,
                RequestKey(to_unsigned(struct.request)),
                read_ref(struct.claimant),
            )
        case ttypes.ClaimReply():
            return ClaimReply(
                struct.service_name,
                struct.epoch,
                RequestKey(to_unsigned(struct.request)),
                read_ref(struct.claimant),
                read_ref(struct.voter),
                ClaimOutcome(struct.outcome),
                read_ref(struct.holder),
            )
        case ttypes.SealRequest():
            return SealRequest(
                struct.service_name, struct.epoch, read_ref(struct.asker), struct.page
            )
        case _:
            return SealReply(
                struct.service_name,
                struct.epoch,
                read_ref(struct.voter),
                struct.active_epoch,
                struct.page,
                struct.pages,
                tuple(
                    (RequestKey(to_unsigned(claim.request)), read_ref(claim.claimant))
                    for claim in struct.claims
                ),
            )


def _write_takeover(message: TakeoverRequest | TakeoverPart) -> Structure:
    match message:
        case TakeoverRequest(service, successor, after):
            return ttypes.TakeoverRequest(
                service, write_ref(successor), _write_after(after)
            )
        case TakeoverPart(service, predecessor, after, left, share, flows):
            return ttypes.TakeoverPart(
                service,
                write_ref(predecessor),
                _write_after(after),
                left,
                share,
                [_write_held_flow(flow) for flow in flows],
            )


def _read_takeover_part(struct: Structure) -> TakeoverPart:
    return TakeoverPart(
        struct.service_name,
        read_ref(struct.predecessor),
        _read_after(struct),
        struct.left,
        struct.share,
        tuple(_read_held_flow(flow) for flow in struct.flows),
    )


def _write_held_flow(held: HeldFlow) -> Structure:
    return ttypes.Flow(
        to_signed(held.flow), write_address(held.caller), write_address(held.via)
    )


def _read_held_flow(struct: Structure) -> HeldFlow:
    struct.validate()
    return HeldFlow(
        FlowKey(to_unsigned(struct.flow)),
        read_address(struct.caller),
        read_address(struct.via),
    )


def _write_after(after: int) -> int | None:
    return None if after < 0 else to_signed(after)


def _read_after(struct: Structure) -> int:
    return -1 if struct.after is None else to_unsigned(struct.after)


def _write_load_report(report: LoadReport) -> Structure:
    return ttypes.LoadReport(
        report.service,
        report.host,
        report.flows,
        report.flow_limit,
        report.in_flight,
        report.in_flight_limit,
    )


def _read_load_report(struct: Structure) -> LoadReport:
    return LoadReport(
        struct.service_name,
        struct.host,
        struct.flows,
        struct.flow_limit,
        struct.in_flight,
        struct.in_flight_limit,
    )


def _read_changes(struct: Structure) -> Changes:
    return Changes(
        struct.since,
        struct.up_to,
        struct.full,
        struct.more,
        tuple(_read_object(item) for item in struct.objects),
        struct.service_name,
    )


def _write_object(item: ConfigObject) -> Structure:
    spec = None if item.spec is None else json.dumps(item.spec)
    return ttypes.ConfigObject(item.kind, item.name, item.version, spec)


def _read_object(struct: Structure) -> ConfigObject:
    struct.validate()
    spec = None if struct.spec_json is None else json.loads(struct.spec_json)
    if spec is not None and not isinstance(spec, dict):
        raise MalformedMessage("object-spec")
    return ConfigObject(struct.kind, struct.name, struct.version, spec)


__all__ = ["MAX_CONTROL_BYTES", "decode_control", "encode_control"]
