"""Base of all simulated callers, and the evaluation of answers."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from aiocoap.numbers import codes

from .answers import Origin
from .content import SERVICE_OF_PATH
from .events import (
    BreakReason,
    Crossed,
    Finished,
    FlowBroken,
    FlowClosed,
    FlowEstablished,
    Outcome,
    WronglyServed,
    read_clock,
)
from .exchange import Answer, CallerSocket, NoAnswer, Reply, Timing

if TYPE_CHECKING:
    from aiocoap import Message

    from .addresses import Address
    from .events import RecordFile

DEFAULT_MAX_AGE_S: Final = 60
MAX_ATTEMPTS: Final = 3


@dataclass(frozen=True, slots=True)
class Pace:
    """Pauses and timeouts of a caller.

    Attributes
    ----------
    interval_s : float
        Mean pause between two requests, in seconds.
    silence_s : float
        Time without a notification after which a board counts as broken, in seconds.
    """

    interval_s: float = 1.0
    silence_s: float = 5.0


@dataclass(slots=True)
class Attempt:
    """An attempt of a request that is in progress."""

    kind: str
    request: str
    number: int
    started_at: float = field(default_factory=read_clock)
    host: str = ""


class Routine:
    """A caller that makes requests until it is stopped.

    Parameters
    ----------
    caller : str
        Name of the caller.
    service : Address
        Virtual address of its service.
    timing : Timing
        Transmission parameters.
    pace : Pace
        Pauses between requests and the timeout of boards.
    record : RecordFile
        File that its events are written to.
    seed : int
        Seed of its random choices.
    """

    kind = ""

    def __init__(
        self,
        caller: str,
        service: Address,
        timing: Timing,
        pace: Pace,
        record: RecordFile,
        seed: int,
    ) -> None:
        self.caller = caller
        self.pace = pace
        self.record = record
        self.random = random.Random(seed)
        self.stopping = asyncio.Event()
        self._service = service
        self._timing = timing
        self._requests = 0
        self._open: dict[int, Attempt] = {}
        self.socket = self._build_socket()

    async def start(self) -> None:
        """Open the socket."""
        await self.socket.start()

    def close(self) -> None:
        """Record unfinished attempts as lost, and close the socket."""
        for attempt in list(self._open.values()):
            self.end_attempt(attempt, Outcome.LOST, "stopped", 0)
        self.socket.close()

    async def run(self) -> None:
        """Make requests until stopped."""
        await self.pause(self.random.random() * self.pace.interval_s)
        while not self.stopping.is_set():
            await self.make_request()
            await self.pause(self.random.uniform(0.5, 1.5) * self.pace.interval_s)

    async def make_request(self) -> None:
        """Make a request, with as many attempts as necessary."""
        raise NotImplementedError

    async def pause(self, duration_s: float) -> None:
        """Wait for a time, or until stopped."""
        try:
            await asyncio.wait_for(self.stopping.wait(), duration_s)
        except TimeoutError:
            return

    async def renew_socket(self) -> None:
        """Open a new socket, and thereby a new flow."""
        self.socket.close()
        self.socket = self._build_socket()
        await self.socket.start()

    def name_request(self) -> str:
        """Return the identifier of the next request."""
        self._requests += 1
        return f"{self.caller}-{self._requests}"

    def start_attempt(self, request: str, number: int) -> Attempt:
        """Start an attempt."""
        attempt = Attempt(self.kind, request, number)
        self._open[id(attempt)] = attempt
        return attempt

    def end_attempt(
        self, attempt: Attempt, outcome: Outcome, status: str, transmissions: int
    ) -> None:
        """Record the outcome of an attempt."""
        del self._open[id(attempt)]
        self.record.append(
            Finished(
                time=read_clock(),
                begun=attempt.started_at,
                caller=self.caller,
                kind=attempt.kind,
                request=attempt.request,
                attempt=attempt.number,
                outcome=outcome,
                status=status,
                host=attempt.host,
                transmissions=transmissions,
            )
        )

    def check_answer(self, request: str, expected: object, got: object) -> None:
        """Record a `Crossed` event if an answer belongs to another request."""
        if expected != got:
            self.record.append(Crossed(read_clock(), self.caller, request, str(got)))

    def check_service(self, request: str, path: str, service: object) -> None:
        """Record a `WronglyServed` event if an answer is from another service."""
        if service != SERVICE_OF_PATH[path]:
            self.record.append(
                WronglyServed(read_clock(), self.caller, request, str(service))
            )

    def _build_socket(self) -> CallerSocket:
        return CallerSocket(self._service, self._timing, self.random.randrange(1 << 30))


class FlowTracker:
    """Records whether the flow of a caller stays on one host.

    Parameters
    ----------
    routine : Routine
        The caller.
    """

    def __init__(self, routine: Routine) -> None:
        self._routine = routine
        self._origin: Origin | None = None
        self._last_seen = 0.0

    @property
    def is_established(self) -> bool:
        """Whether the flow has been answered and not ended since."""
        return self._origin is not None

    def record_answer(self, origin: Origin) -> None:
        """Record the origin of an answer; a change of origin breaks the flow."""
        if self._origin is not None and self._origin != origin:
            self.record_break(BreakReason.MOVED)
        if self._origin is None:
            self._routine.record.append(
                FlowEstablished(
                    read_clock(),
                    self._routine.caller,
                    self._routine.kind,
                    origin.host,
                    origin.incarnation,
                )
            )
        self._origin = origin
        self._last_seen = read_clock()

    def record_break(self, reason: BreakReason) -> None:
        """Record that the flow broke, if it is established."""
        if self._origin is None:
            return
        self._routine.record.append(
            FlowBroken(
                time=read_clock(),
                caller=self._routine.caller,
                kind=self._routine.kind,
                host=self._origin.host,
                incarnation=self._origin.incarnation,
                reason=reason,
                last_seen=self._last_seen,
            )
        )
        self._origin = None

    def record_close(self) -> None:
        """Record that the caller ends the flow, if it is established."""
        if self._origin is None:
            return
        self._routine.record.append(
            FlowClosed(
                read_clock(),
                self._routine.caller,
                self._routine.kind,
                self._origin.host,
            )
        )
        self._origin = None


async def finish_repeatable(
    routine: Routine, attempt: Attempt, reply: Reply, is_last: bool
) -> bool:
    """Record the outcome of an attempt that may be repeated, and wait if it failed.

    After a refusal the wait is as long as its Max-Age.

    Returns
    -------
    bool
        Whether the attempt was answered.
    """
    match reply:
        case NoAnswer(transmissions):
            outcome = Outcome.LOST if is_last else Outcome.RETRIED
            routine.end_attempt(attempt, outcome, "silence", transmissions)
        case Answer(message, transmissions) if is_refusal(message):
            routine.end_attempt(
                attempt, Outcome.REFUSED, str(message.code), transmissions
            )
            await routine.pause(read_max_age_s(message))
        case Answer(message, transmissions) if message.code.is_successful():
            routine.end_attempt(
                attempt, Outcome.ANSWERED, str(message.code), transmissions
            )
            return True
        case Answer(message, transmissions):
            outcome = classify_failure(message)
            routine.end_attempt(attempt, outcome, str(message.code), transmissions)
            await routine.pause(routine.pace.interval_s)
    return False


def is_success(reply: Reply) -> bool:
    """Return whether a request was answered successfully."""
    return isinstance(reply, Answer) and bool(reply.message.code.is_successful())


def is_refusal(message: Message) -> bool:
    """Return whether an answer is a refusal, so that the request was not run."""
    return bool(message.code == codes.SERVICE_UNAVAILABLE)


def classify_failure(message: Message) -> Outcome:
    """Return the outcome of a failed request: unknown if it may have run."""
    if message.code == codes.GATEWAY_TIMEOUT:
        return Outcome.UNKNOWN
    return Outcome.FAILED


def read_max_age_s(message: Message) -> int:
    """Read the time after which the caller may retry, in seconds."""
    max_age_s = message.opt.max_age
    return DEFAULT_MAX_AGE_S if max_age_s is None else int(max_age_s)


def parse_json(message: Message) -> dict[str, Any]:
    """Parse a JSON object from a payload; return an empty one if it is invalid."""
    try:
        body = json.loads(message.payload)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


def read_origin(body: dict[str, Any]) -> Origin:
    """Read the origin of an answer."""
    return Origin(str(body.get("host")), str(body.get("incarnation")))


__all__ = [
    "MAX_ATTEMPTS",
    "Attempt",
    "FlowTracker",
    "Pace",
    "Routine",
    "classify_failure",
    "is_refusal",
    "is_success",
    "parse_json",
    "read_max_age_s",
    "read_origin",
    "finish_repeatable",
]
