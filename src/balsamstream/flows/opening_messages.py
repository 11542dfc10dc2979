"""Messages by which fronts and gates pass on opening packets.

A front states the time that a caller has left, and a gate that declines returns it, to
nodes that understand this; see `messages` for the formats.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .messages import (
    MS_PER_S,
    OPEN_HEADER,
    TIMED_DECLINED_HEADER,
    TIMED_OPEN_HEADER,
    DeclineReason,
    Kind,
    clamp_ms,
    compute_route_tag,
    compute_service_tag,
)
from .waiting_queue import MAX_WAIT_S, Opening

if TYPE_CHECKING:
    from .desired_state import Route

LOWEST_PRIORITY: Final = 255
COPY_AGES_S: Final = (0.0, 0.2, 0.6)
"""Age of a caller's attempt when it sends the opening packet and its copies."""
_DECLINED_HEADER_BYTES: Final = 2


@dataclass(frozen=True, slots=True)
class ReceivedOpening:
    """Opening packet as a gate receives it from a front.

    Attributes
    ----------
    opening : Opening
        The packet, its origin and its bounds.
    service_tag : int
        Tag of the service that the flow is for.
    """

    opening: Opening
    service_tag: int


@dataclass(frozen=True, slots=True)
class Decline:
    """Opening packet that a gate has declined, as a front receives it.

    Attributes
    ----------
    packet : bytes
        The opening packet.
    reason : str
        Name of a `DeclineReason` in lower case, or its number if it is not known.
    deadline_ms : int or None
        Time left until the route's deadline, in milliseconds; None if not stated.
    """

    packet: bytes
    reason: str
    deadline_ms: int | None

    def compute_elapsed(self, route: Route) -> float:
        """Return the age of the caller's attempt, in seconds.

        A gate that was sent no deadline does not state the time left. It declines at
        once unless it is busy.
        """
        if self.deadline_ms is not None:
            left_ms = clamp_ms(route.deadline_s) - self.deadline_ms
            return max(0.0, left_ms / MS_PER_S)
        waited_s = MAX_WAIT_S if self.reason == "busy" else 0.0
        return get_copy_age(self.packet) + waited_s


def get_copy_age(packet: bytes) -> float:
    """Return the age of a caller's attempt when it sent an opening packet, seconds."""
    return COPY_AGES_S[min(packets.get_ack(packet), len(COPY_AGES_S) - 1)]


def encode_open(
    packet: bytes, service: str, route: Route, elapsed_s: float, *, is_timed: bool
) -> bytes:
    """Encode an opening packet for a gate.

    Parameters
    ----------
    packet : bytes
        The opening packet.
    service : str
        Service that the flow goes to.
    route : Route
        Route of the flow.
    elapsed_s : float
        Age of the caller's attempt, in seconds.
    is_timed : bool
        Whether to state the time left, which the gate must understand.
    """
    service_tag = compute_service_tag(service)
    priority = min(max(route.priority, 0), LOWEST_PRIORITY)
    if not is_timed:
        return OPEN_HEADER.pack(Kind.OPEN, service_tag, priority) + packet
    header = TIMED_OPEN_HEADER.pack(
        Kind.TIMED_OPEN,
        service_tag,
        priority,
        compute_route_tag(packets.get_route(packet)),
        clamp_ms(route.objective_s - elapsed_s),
        clamp_ms(route.deadline_s - elapsed_s),
    )
    return header + packet


def decode_open(message: bytes, front: str, now: float) -> ReceivedOpening | None:
    """Decode an opening packet of a front, or None if the message is malformed.

    Without stated times the bounds of the opening are infinite.
    """
    is_timed = message[0] == Kind.TIMED_OPEN
    size = TIMED_OPEN_HEADER.size if is_timed else OPEN_HEADER.size
    packet = message[size:]
    if not packets.is_packet(packet):
        return None
    objective_at = deadline_at = math.inf
    if is_timed:
        header = TIMED_OPEN_HEADER.unpack_from(message)
        _, service_tag, priority, _, objective_ms, deadline_ms = header
        objective_at = now + objective_ms / MS_PER_S
        deadline_at = now + deadline_ms / MS_PER_S
    else:
        _, service_tag, priority = OPEN_HEADER.unpack_from(message)
    flow = packets.get_flow(packet)
    opening = Opening(flow, packet, front, priority, now, objective_at, deadline_at)
    return ReceivedOpening(opening, service_tag)


def encode_decline(opening: Opening, reason: DeclineReason, now: float) -> bytes:
    """Encode a decline, with the time left if the front has stated it."""
    if opening.deadline_at == math.inf:
        return bytes((Kind.DECLINED, reason)) + opening.packet
    header = TIMED_DECLINED_HEADER.pack(
        Kind.TIMED_DECLINED,
        reason,
        clamp_ms(opening.objective_at - now),
        clamp_ms(opening.deadline_at - now),
    )
    return header + opening.packet


def decode_decline(message: bytes) -> Decline | None:
    """Decode a decline of a gate, or None if the message is malformed."""
    is_timed = message[0] == Kind.TIMED_DECLINED
    size = TIMED_DECLINED_HEADER.size if is_timed else _DECLINED_HEADER_BYTES
    packet = message[size:]
    if not packets.is_packet(packet):
        return None
    deadline_ms = TIMED_DECLINED_HEADER.unpack_from(message)[-1] if is_timed else None
    return Decline(packet, _describe_reason(message[1]), deadline_ms)


def _describe_reason(reason: int) -> str:
    try:
        return DeclineReason(reason).name.lower()
    except ValueError:
        return str(reason)


__all__ = [
    "Decline",
    "ReceivedOpening",
    "decode_decline",
    "decode_open",
    "encode_decline",
    "encode_open",
    "get_copy_age",
]
