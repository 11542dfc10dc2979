"""What simulated callers do: boards, basket orders, sessions and downloads."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from aiocoap import Message
from aiocoap.numbers import codes

from .content import (
    BLOCK_SIZE_EXPONENT,
    SERVICE_OF_PATH,
    build_document,
    choose_size,
    compute_price,
)
from .events import (
    BreakReason,
    Crossed,
    Finished,
    FlowBroken,
    FlowClosed,
    FlowEstablished,
    Outcome,
    WronglyServed,
)
from .exchange import Answer, CallerSocket, Reply, Silence, Timing

if TYPE_CHECKING:
    from .addresses import Address
    from .events import RecordFile

DEFAULT_MAX_AGE_S: Final = 60
DEREGISTER: Final = 1
REGISTER: Final = 0
MOST_BLOCKS: Final = 1_000
REQUESTS_PER_SESSION: Final = 40
CHART_EVERY: Final = 5
MOST_REPEATS: Final = 3


@dataclass(frozen=True, slots=True)
class Pace:
    """How a caller takes its time.

    Attributes
    ----------
    interval_s : float
        Mean pause between two requests.
    silence_s : float
        Time without notification after which a board counts as broken.
    """

    interval_s: float = 1.0
    silence_s: float = 5.0


@dataclass(slots=True)
class Attempt:
    """An attempt in progress."""

    kind: str
    request: str
    number: int
    begun: float = field(default_factory=time.time)
    host: str = ""


@dataclass(frozen=True, slots=True)
class Place:
    """Host and incarnation that an answer names."""

    host: str
    incarnation: str


class Routine:
    """What one caller does until it is told to stop.

    Parameters
    ----------
    caller : str
        Name of the caller.
    service : Address
        Virtual address of its service.
    timing : Timing
        Transmission parameters.
    pace : Pace
        Pauses and patience.
    record : RecordFile
        Where it records what it saw.
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
        """Record what has not ended as lost, and close the socket."""
        for attempt in list(self._open.values()):
            self.finish(attempt, Outcome.LOST, "stopped", 0)
        self.socket.close()

    async def run(self) -> None:
        """Make requests until told to stop."""
        await self.pause(self.random.random() * self.pace.interval_s)
        while not self.stopping.is_set():
            await self.make_request()
            await self.pause(self.random.uniform(0.5, 1.5) * self.pace.interval_s)

    async def make_request(self) -> None:
        """Make one request, with all the attempts it takes."""
        raise NotImplementedError

    async def pause(self, duration_s: float) -> None:
        """Wait, but not beyond the order to stop."""
        try:
            await asyncio.wait_for(self.stopping.wait(), duration_s)
        except TimeoutError:
            return

    async def renew_socket(self) -> None:
        """Go on as a new flow."""
        self.socket.close()
        self.socket = self._build_socket()
        await self.socket.start()

    def name_request(self) -> str:
        """Name the next request."""
        self._requests += 1
        return f"{self.caller}-{self._requests}"

    def begin(self, request: str, number: int) -> Attempt:
        """Note an attempt in progress."""
        attempt = Attempt(self.kind, request, number)
        self._open[id(attempt)] = attempt
        return attempt

    def finish(
        self, attempt: Attempt, outcome: Outcome, status: str, transmissions: int
    ) -> None:
        """Record how an attempt ended."""
        del self._open[id(attempt)]
        self.record.append(
            Finished(
                time=time.time(),
                begun=attempt.begun,
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
        """Record an answer that belongs to another request."""
        if expected != got:
            self.record.append(Crossed(time.time(), self.caller, request, str(got)))

    def check_service(self, request: str, path: str, service: object) -> None:
        """Record an answer of another service."""
        if service != SERVICE_OF_PATH[path]:
            self.record.append(
                WronglyServed(time.time(), self.caller, request, str(service))
            )

    def _build_socket(self) -> CallerSocket:
        return CallerSocket(self._service, self._timing, self.random.randrange(1 << 30))


class FlowWatch:
    """Tells whether the flow of a caller stays on one host.

    Parameters
    ----------
    routine : Routine
        The caller.
    """

    def __init__(self, routine: Routine) -> None:
        self._routine = routine
        self._place: Place | None = None
        self._last_seen = 0.0

    @property
    def is_established(self) -> bool:
        """Whether there has been an answer."""
        return self._place is not None

    def see(self, place: Place) -> None:
        """Take the place that an answer names."""
        if self._place is not None and self._place != place:
            self.break_off(BreakReason.MOVED)
        if self._place is None:
            self._routine.record.append(
                FlowEstablished(
                    time.time(),
                    self._routine.caller,
                    self._routine.kind,
                    place.host,
                    place.incarnation,
                )
            )
        self._place = place
        self._last_seen = time.time()

    def break_off(self, reason: BreakReason) -> None:
        """Record that the flow broke, if it was established."""
        if self._place is None:
            return
        self._routine.record.append(
            FlowBroken(
                time=time.time(),
                caller=self._routine.caller,
                kind=self._routine.kind,
                host=self._place.host,
                incarnation=self._place.incarnation,
                reason=reason,
                last_seen=self._last_seen,
            )
        )
        self._place = None

    def close(self) -> None:
        """Record that the caller ends the flow."""
        if self._place is None:
            return
        self._routine.record.append(
            FlowClosed(
                time.time(),
                self._routine.caller,
                self._routine.kind,
                self._place.host,
            )
        )
        self._place = None


class Board(Routine):
    """A shop tablet that keeps a live stock board open."""

    kind = "board"

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._flow = FlowWatch(self)
        self._notified = asyncio.Event()
        self._ended = False

    async def make_request(self) -> None:
        """Register, and keep the board for as long as it lives."""
        request = self.name_request()
        token = self.socket.draw_token()
        for number in range(1, MOST_REPEATS + 1):
            self._ended = False
            self.socket.observe(token, self._take_notification)
            if await self._register(request, number, token):
                await self._follow(token)
                return
            self.socket.forget(token)
            token = self.socket.draw_token()
            if self.stopping.is_set():
                return

    async def _register(self, request: str, number: int, token: bytes) -> bool:
        attempt = self.begin(request, number)
        message = self._build(token, REGISTER, request)
        reply = await self.socket.request(message)
        is_last = number == MOST_REPEATS or self.stopping.is_set()
        if not await settle_repeatable(self, attempt, reply, is_last):
            return False
        assert isinstance(reply, Answer)
        self._take_notification(reply.message)
        return not self._ended

    async def _follow(self, token: bytes) -> None:
        while not self.stopping.is_set() and not self._ended:
            if not await self._wait_for_notification():
                self._flow.break_off(BreakReason.SILENT)
                break
        if self._ended:
            self._flow.break_off(BreakReason.ENDED)
        self.socket.forget(token)
        if self.stopping.is_set() and self._flow.is_established:
            self._flow.close()
            await self.socket.request(self._build(token, DEREGISTER, ""))

    async def _wait_for_notification(self) -> bool:
        self._notified.clear()
        stopped = asyncio.ensure_future(self.stopping.wait())
        notified = asyncio.ensure_future(self._notified.wait())
        done, pending = await asyncio.wait(
            {stopped, notified},
            timeout=self.pace.silence_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        return bool(done)

    def _take_notification(self, message: Message) -> None:
        if not message.code.is_successful():
            self._ended = True
            self._notified.set()
            return
        body = parse_json(message)
        self.check_answer(self.caller, self.caller, body.get("board"))
        self.check_service(self.caller, "stock", body.get("service"))
        self._flow.see(read_place(body))
        self._notified.set()

    def _build(self, token: bytes, observe: int, request: str) -> Message:
        return Message(
            code=codes.GET,
            _token=token,
            observe=observe,
            uri_path=("stock",),
            uri_query=(f"board={self.caller}", f"id={request}"),
        )


class Basket(Routine):
    """A shop tablet that sends basket orders, none of which may run twice."""

    kind = "basket"

    async def make_request(self) -> None:
        """Order; a refused attempt is followed by another one of the same order."""
        order = self.name_request()
        number = 0
        while True:
            number += 1
            attempt = self.begin(order, number)
            reply = await self.socket.request(self._build(order, number))
            max_age_s = self._settle(attempt, reply)
            if max_age_s is None or self.stopping.is_set():
                return
            await self.pause(max_age_s)

    def _settle(self, attempt: Attempt, reply: Reply) -> int | None:
        match reply:
            case Silence(transmissions):
                self.finish(attempt, Outcome.LOST, "silence", transmissions)
            case Answer(message, transmissions) if is_refusal(message):
                self.finish(attempt, Outcome.REFUSED, str(message.code), transmissions)
                return read_max_age_s(message)
            case Answer(message, transmissions) if message.code.is_successful():
                self._check(attempt, parse_json(message))
                self.finish(attempt, Outcome.ANSWERED, str(message.code), transmissions)
            case Answer(message, transmissions):
                outcome = classify_failure(message)
                self.finish(attempt, outcome, str(message.code), transmissions)
        return None

    def _check(self, attempt: Attempt, body: dict[str, Any]) -> None:
        attempt.host = str(body.get("host"))
        expected = (attempt.request, attempt.number, compute_price(attempt.request))
        got = (body.get("id"), body.get("attempt"), body.get("price"))
        self.check_answer(attempt.request, expected, got)
        self.check_service(attempt.request, "basket", body.get("service"))

    def _build(self, order: str, number: int) -> Message:
        body = {"id": order, "attempt": number, "weight_g": 50 + number}
        return Message(
            code=codes.POST, uri_path=("basket",), payload=json.dumps(body).encode()
        )


class Fitting(Routine):
    """A bike shop's fitting session: size requests, and now and then the chart."""

    kind = "fit"

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._flow = FlowWatch(self)
        self._left = REQUESTS_PER_SESSION

    async def make_request(self) -> None:
        """Ask for one size or chart."""
        if self._left == 0:
            await self._begin_session()
        self._left -= 1
        request = self.name_request()
        path = "chart" if self._left % CHART_EVERY == 0 else "fit"
        height, inseam = self.random.randint(80, 180), self.random.randint(30, 85)
        for number in range(1, MOST_REPEATS + 1):
            attempt = self.begin(request, number)
            message = Message(
                code=codes.GET,
                uri_path=(path,),
                uri_query=(
                    f"height={height}",
                    f"inseam={inseam}",
                    f"id={request}",
                    f"attempt={number}",
                ),
            )
            reply = await self.socket.request(message)
            is_last = number == MOST_REPEATS or self.stopping.is_set()
            if await settle_repeatable(self, attempt, reply, is_last):
                assert isinstance(reply, Answer)
                self._check(request, path, height, inseam, parse_json(reply.message))
                return
            if is_last:
                return

    async def _begin_session(self) -> None:
        self._flow.close()
        self._left = REQUESTS_PER_SESSION
        await self.renew_socket()

    def _check(
        self, request: str, path: str, height: int, inseam: int, body: dict[str, Any]
    ) -> None:
        self.check_answer(request, request, body.get("id"))
        self.check_service(request, path, body.get("service"))
        if path == "fit":
            self.check_answer(request, choose_size(height, inseam), body.get("size"))
        self._flow.see(read_place(body))


class Download(Routine):
    """A caller that fetches documents block by block, each as a flow of its own."""

    path = ""

    async def make_request(self) -> None:
        """Fetch one document."""
        request = self.name_request()
        identifier = f"{self.path}-{self.random.randrange(1_000)}"
        for number in range(1, MOST_REPEATS + 1):
            attempt = self.begin(request, number)
            is_last = number == MOST_REPEATS or self.stopping.is_set()
            if await self._fetch(attempt, identifier, is_last) or is_last:
                break
        await self.renew_socket()

    async def _fetch(self, attempt: Attempt, identifier: str, is_last: bool) -> bool:
        document = b""
        transmissions = 0
        for number in range(MOST_BLOCKS):
            message = Message(
                code=codes.GET,
                uri_path=(self.path, identifier),
                uri_query=(f"id={attempt.request}", f"attempt={attempt.number}"),
                block2=(number, False, BLOCK_SIZE_EXPONENT),
            )
            reply = await self.socket.request(message)
            transmissions += reply.transmissions
            if not is_success(reply):
                return await settle_repeatable(self, attempt, reply, is_last)
            assert isinstance(reply, Answer)
            block = reply.message.opt.block2
            document += reply.message.payload
            if block is None or not block.more:
                break
        expected = build_document(self.path, identifier)
        self.check_answer(attempt.request, expected, document)
        self.finish(attempt, Outcome.ANSWERED, "2.05 Content", transmissions)
        return True


class Sheet(Download):
    """A shop tablet that pulls label sheets."""

    kind = "sheet"
    path = "sheet"


class Guide(Download):
    """A bike shop that downloads fitting guides."""

    kind = "guide"
    path = "guide"


async def settle_repeatable(
    routine: Routine, attempt: Attempt, reply: Reply, is_last: bool
) -> bool:
    """Record the end of an attempt that may be repeated, and wait as told.

    Returns
    -------
    bool
        Whether it was answered.
    """
    match reply:
        case Silence(transmissions):
            outcome = Outcome.LOST if is_last else Outcome.RETRIED
            routine.finish(attempt, outcome, "silence", transmissions)
        case Answer(message, transmissions) if is_refusal(message):
            routine.finish(attempt, Outcome.REFUSED, str(message.code), transmissions)
            await routine.pause(read_max_age_s(message))
        case Answer(message, transmissions) if message.code.is_successful():
            routine.finish(attempt, Outcome.ANSWERED, str(message.code), transmissions)
            return True
        case Answer(message, transmissions):
            outcome = classify_failure(message)
            routine.finish(attempt, outcome, str(message.code), transmissions)
            await routine.pause(routine.pace.interval_s)
    return False


def is_success(reply: Reply) -> bool:
    """Tell whether a request was answered as wanted."""
    return isinstance(reply, Answer) and reply.message.code.is_successful()


def is_refusal(message: Message) -> bool:
    """Tell whether an answer says that the request was not run."""
    return message.code == codes.SERVICE_UNAVAILABLE


def classify_failure(message: Message) -> Outcome:
    """Tell whether a failed request may have run."""
    if message.code == codes.GATEWAY_TIMEOUT:
        return Outcome.UNKNOWN
    return Outcome.FAILED


def read_max_age_s(message: Message) -> int:
    """Read after how long the caller is asked to come back."""
    max_age_s = message.opt.max_age
    return DEFAULT_MAX_AGE_S if max_age_s is None else int(max_age_s)


def parse_json(message: Message) -> dict[str, Any]:
    """Read a JSON payload; one of another form is taken as empty."""
    try:
        body = json.loads(message.payload)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


def read_place(body: dict[str, Any]) -> Place:
    """Read host and incarnation from an answer."""
    return Place(str(body.get("host")), str(body.get("incarnation")))


__all__ = [
    "Basket",
    "Board",
    "Download",
    "Fitting",
    "Guide",
    "Pace",
    "Routine",
    "Sheet",
]
