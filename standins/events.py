"""Events recorded by callers and backend servers, stored as JSON lines.

Times are in seconds of the monotonic clock: all processes of a VM share it and, unlike
the wall clock, it is never adjusted during a run.
"""

from __future__ import annotations

import json
import time
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


def read_clock() -> float:
    """Read the clock used for all events, in seconds."""
    return time.monotonic()


class Outcome(StrEnum):
    """Outcome of an attempt as seen by its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    RETRIED = "retried"
    FAILED = "failed"
    LOST = "lost"


class BreakReason(StrEnum):
    """Why a flow counts as broken."""

    SILENT = "silent"
    ENDED = "ended"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Started:
    """A backend server started, or lost all of its state without notice."""

    time: float
    host: str
    incarnation: str
    services: list[str]
    cold_until: float
    announced: bool


@dataclass(frozen=True, slots=True)
class Run:
    """A backend server ran a request."""

    time: float
    host: str
    incarnation: str
    service: str
    method: str
    request: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class Misdirected:
    """A backend server received a request for a service that it does not provide."""

    time: float
    host: str
    path: str


@dataclass(frozen=True, slots=True)
class Expired:
    """A backend server did not run a request because its deadline had passed."""

    time: float
    host: str
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ObservationStarted:
    """A backend server added an observer."""

    time: float
    host: str
    incarnation: str
    board: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class ObservationEnded:
    """A backend server removed an observer."""

    time: float
    host: str
    incarnation: str
    board: str
    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class ColdWork:
    """The requests in flight reached a new peak during a cold start."""

    time: float
    host: str
    incarnation: str
    in_flight: int
    bears: float


@dataclass(frozen=True, slots=True)
class Overloaded:
    """A backend server crashed because its load exceeded the limit."""

    time: float
    host: str
    incarnation: str
    in_flight: int
    bears: float


@dataclass(frozen=True, slots=True)
class PacketsReceived:
    """Number of datagrams that a backend server received in an interval."""

    time: float
    host: str
    packets: int
    last: float


@dataclass(frozen=True, slots=True)
class Finished:
    """An attempt of a caller ended."""

    time: float
    begun: float
    caller: str
    kind: str
    request: str
    attempt: int
    outcome: Outcome
    status: str
    host: str
    transmissions: int


@dataclass(frozen=True, slots=True)
class Crossed:
    """A caller received the answer to another request."""

    time: float
    caller: str
    request: str
    got: str


@dataclass(frozen=True, slots=True)
class WronglyServed:
    """A caller received an answer from another service than the requested one."""

    time: float
    caller: str
    request: str
    service: str


@dataclass(frozen=True, slots=True)
class FlowEstablished:
    """A caller received the first answer on a flow."""

    time: float
    caller: str
    kind: str
    host: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class FlowBroken:
    """An established flow became silent, was ended by the peer, or moved."""

    time: float
    caller: str
    kind: str
    host: str
    incarnation: str
    reason: BreakReason
    last_seen: float


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """A caller ended its flow."""

    time: float
    caller: str
    kind: str
    host: str


Event: TypeAlias = (
    Started
    | Run
    | Misdirected
    | Expired
    | ObservationStarted
    | ObservationEnded
    | ColdWork
    | Overloaded
    | PacketsReceived
    | Finished
    | Crossed
    | WronglyServed
    | FlowEstablished
    | FlowBroken
    | FlowClosed
)

EVENT_TYPES: Final[dict[str, type[Event]]] = {
    event_type.__name__: event_type for event_type in Event.__args__
}


class RecordFile:
    """An unbuffered file that events are appended to, one JSON line each.

    Parameters
    ----------
    path : Path or None
        The file, or None to discard all events.
    """

    def __init__(self, path: Path | None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def append(self, event: Event) -> None:
        """Append an event."""
        if self._file is None:
            return
        line = {"event": type(event).__name__, **asdict(event)}
        self._file.write(json.dumps(line).encode() + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read_events(path: Path) -> Iterator[Event]:
    """Read the events of a file; a last line truncated by a kill is skipped."""
    for line in path.read_bytes().splitlines(keepends=True):
        if not line.endswith(b"\n"):
            continue
        fields: dict[str, Any] = json.loads(line)
        event_type = EVENT_TYPES[fields.pop("event")]
        yield event_type(**fields)


__all__ = [
    "BreakReason",
    "ColdWork",
    "Crossed",
    "Event",
    "Expired",
    "Finished",
    "FlowBroken",
    "FlowClosed",
    "FlowEstablished",
    "Misdirected",
    "ObservationEnded",
    "ObservationStarted",
    "Outcome",
    "Overloaded",
    "PacketsReceived",
    "RecordFile",
    "Run",
    "Started",
    "WronglyServed",
    "read_clock",
    "read_events",
]
