"""What a host has said of itself, and which of two such words is the later one."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class HostState(enum.IntEnum):
    """What a host is ready for."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of a host.

    Attributes
    ----------
    host : str
        Identifier that the host gives itself.
    incarnation : int
        Start of this run of the host, in milliseconds since 1970.
    sequence : int
        Rises with each heartbeat of one incarnation.
    service : str
        The service that it serves.
    data_centre : str
        Where it stands.
    state : HostState
        Ready or draining.
    slots : int
        Requests that it processes at once.
    cold_left_s : float
        How much longer it is slow after its start, in seconds.
    """

    host: str
    incarnation: int
    sequence: int
    service: str
    data_centre: str
    state: HostState
    slots: int
    cold_left_s: float


def is_newer(new: Heartbeat, known: Heartbeat | None) -> bool:
    """Tell whether a heartbeat is later than the last one that was accepted.

    A heartbeat may be held up on its way until another incarnation has begun at the
    same address. A host that has left stays gone until it starts anew.
    """
    if known is None:
        return True
    if new.incarnation != known.incarnation:
        return new.incarnation > known.incarnation
    if known.state is HostState.GONE:
        return False
    return new.sequence > known.sequence


__all__ = ["Heartbeat", "HostState", "is_newer"]
