"""Heartbeats of hosts and the order in which they were sent."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class HostState(enum.IntEnum):
    """Readiness of a host for new flows.

    It is unknown without a recent heartbeat, and gone once the host has left.
    """

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
        Identifier of the host.
    incarnation : int
        Time of the host's last start, in milliseconds since 1970.
    sequence : int
        Rises with each heartbeat of one incarnation.
    service : str
        Service of the host.
    data_centre : str
        Data centre of the host.
    state : HostState
        Ready or draining.
    slots : int
        Requests that the host processes at once.
    cold_left_s : float
        Remaining time of the cold start, in seconds.
    """

    host: str
    incarnation: int
    sequence: int
    service: str
    data_centre: str
    state: HostState
    slots: int
    cold_left_s: float


def is_newer(new: Heartbeat, last: Heartbeat | None) -> bool:
    """Return whether a heartbeat was sent after the last accepted one.

    A heartbeat may be delayed until another incarnation has started at the same
    address. A host that has left stays gone until its next incarnation.
    """
    if last is None:
        return True
    if new.incarnation != last.incarnation:
        return new.incarnation > last.incarnation
    if last.state is HostState.GONE:
        return False
    return new.sequence > last.sequence


__all__ = ["Heartbeat", "HostState", "is_newer"]
