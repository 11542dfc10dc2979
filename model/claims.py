"""Model of claims: voters, claimants, refusals and changes of the voter set.

Messages are a set that only grows and any message may be delivered at any time, so
each may be lost, doubled, reordered, and arrive long after its receiver was frozen. An
edit of a view may be applied again after its answer was lost, and by two writers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Final, NamedTuple

from balsamstream.config.objects import Profile
from balsamstream.core import view as view_module
from balsamstream.core.action import Action, Deliver, RefuseCaller, Send
from balsamstream.core.admission import Admission
from balsamstream.core.at_most_once import CLAIM_TIMEOUT_S, AtMostOnce, Stage
from balsamstream.core.claim import VoterRole
from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import (
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Packet,
    Refusal,
    RequestKind,
    SealReply,
    SealRequest,
)
from balsamstream.core.refusal import RefusalClaims
from balsamstream.core.routing import Routing, RoutingVersion
from balsamstream.core.state import AgentConfig, AgentState
from balsamstream.core.verdict import NotRun
from balsamstream.core.view import (
    Join,
    Member,
    MemberState,
    SetState,
    TrimVoterSets,
    View,
    ViewEdit,
    edit_view,
)

from .state import FixedRandom, Frozen, Memory, freeze

SERVICE: Final = "comptoir"
CALLER: Final = Address("caller", 1)
FLOW: Final = FlowKey(1)
BALANCER: Final = "balancer"
SKIPPED: Final = frozenset(
    {"next_request_at", "_next_trim_at", "_ranked", "loads", "catalogue"}
)

Message = ClaimRequest | ClaimReply | SealRequest | SealReply | Packet


class Mail(NamedTuple):
    """A message that was sent and may arrive at any time."""

    sender: str
    to: int
    message: Message


class Effect(NamedTuple):
    """What one step of one process gives out; ``mail`` has a bit for each message."""

    mail: int = 0
    ran: tuple[tuple[RequestKey, ProcessRef], ...] = ()
    refused: int = 0
    trims: int = 0


class State(NamedTuple):
    """One state of the whole model.

    Views, processes and messages are numbered; ``mail`` has a bit for each message
    ever sent, ``trims`` for each epoch that a voter asked to trim to and ``refused``
    for each request whose caller was told that it was not run.
    """

    views: tuple[int, ...]
    processes: tuple[int, ...]
    mail: int
    trims: int
    ran: tuple[tuple[RequestKey, ProcessRef], ...]
    refused: int
    restarts: int
    changes: int


@dataclass(frozen=True)
class Bounds:
    """What a search of claims covers.

    Parameters
    ----------
    hosts : str
        One letter a host; the first three vote at first.
    claimants : str
        Hosts that hold a copy of each request.
    refusers : str
        Hosts that refuse a copy; ``B`` stands for the balancer.
    edits : tuple of ViewEdit
        Changes of the view that may be made, in any order.
    restartable : str
        Hosts that may crash and come back as another incarnation.
    trims : bool
        Whether voters ask on after they became active, and sets are trimmed.
    granted : str
        Voters that granted the first claimant's claim before the search begins; its
        other questions were lost, and the replies are on their way.
    lost : frozenset of ClaimOutcome
        Replies that are always lost, as they change no decision but to ask again.
    asleep : str
        Hosts that take nothing but the votes on their claims.
    voters : int
        Voters in each set.
    most_depth : int
        Steps after which the search ends; zero for no bound.
    progress : bool
        Whether to ask of each state if the newest voters can still become active.
    """

    name: str
    hosts: str = "abc"
    claimants: str = "ab"
    refusers: str = ""
    requests: int = 1
    edits: tuple[ViewEdit, ...] = ()
    most_changes: int = 0
    restartable: str = ""
    restarts: int = 0
    gives_up: bool = True
    passes_on: bool = False
    trims: bool = False
    granted: str = ""
    lost: frozenset[ClaimOutcome] = frozenset()
    asleep: str = ""
    voters: int = 3
    most_depth: int = 0
    progress: bool = False

    def describe(self) -> str:
        """Return the bounds that differ from the defaults."""
        parts = [
            f"hosts {self.hosts}",
            f"{self.voters} voters",
            f"{self.most_depth or 'any number of'} steps",
            f"asleep {self.asleep or 'none'}",
            f"copies at {self.claimants}",
            f"refusals at {self.refusers or 'none'}",
            f"{self.requests} requests",
            f"{self.most_changes} view changes of {len(self.edits)} edits",
            f"{self.restarts} restarts of {self.restartable or 'none'}",
            f"claims given up: {self.gives_up}",
            f"sets trimmed: {self.trims}",
            f"granted at first: {self.granted or 'none'}",
            f"replies lost: {', '.join(sorted(o.value for o in self.lost)) or 'any'}",
        ]
        return ", ".join(parts)


@dataclass
class Host:
    """The parts of an agent that claims concern."""

    voter: VoterRole
    state: AgentState
    single: AtMostOnce

    def plan_trim(self) -> TrimVoterSets | None:
        """Return the trim that the voter asks for."""
        trim = self.voter.plan_trim(0.0)
        self.forget_times()
        return trim

    def forget_times(self) -> None:
        """Let each question be repeated at any time."""
        self.voter._seal_progress.next_request_at = 0.0
        self.voter._next_trim_at = 0.0


@dataclass
class Refuser:
    """The parts of a balancer that refuse."""

    rounds: RefusalClaims
    view: View
    asked: set[RequestKey] = field(default_factory=set)

    def refuse(self, request: RequestKey) -> list[Action]:
        """Refuse a request once."""
        if request in self.asked:
            return []
        self.asked.add(request)
        head = str(request).encode()
        profile = Profile("model")
        return self.rounds.refuse(1, CALLER, head, request, profile, self.view, 0.0)

    def plan_trim(self) -> None:
        """Ask for nothing."""

    def forget_times(self) -> None:
        """Do nothing: no time is kept here."""


Process = Host | Refuser
Act = Callable[[Any], Sequence[Action]]


def _member(name: str, incarnation: int = 1) -> Member:
    return Member(ProcessRef(name, incarnation), Address(name, 1), name, 1)


def _first_view(names: str) -> View:
    view = View(SERVICE, 0)
    members = tuple(_member(name) for name in names)
    first = replace(view, members=members[:-1])
    return replace(edit_view(first, Join(members[-1])), number=1)


def set_voters_wanted(number: int) -> None:
    """Set how many voters the views of this process get."""
    view_module.VOTERS_WANTED = number  # type: ignore[misc]


def _packet(request: RequestKey) -> Packet:
    version = RoutingVersion(0, 0)
    kind = RequestKind.NON_REPEATABLE
    return Packet(
        1, FLOW, CALLER, CALLER, version, kind, request, 10_000, str(request).encode()
    )


class ClaimModel:
    """All runs of one scenario within its bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.name = bounds.name
        self.bounds = bounds.describe()
        self.most_depth = bounds.most_depth
        self._bounds = bounds
        set_voters_wanted(bounds.voters)
        self._names = [*bounds.hosts, BALANCER]
        self._memory = Memory(SKIPPED)
        self._requests = [RequestKey(n + 1) for n in range(bounds.requests)]
        self._mails: list[Mail] = []
        self._mail_numbers: dict[Any, int] = {}
        self._views = [_first_view(bounds.hosts)]
        self._view_numbers = {self._views[0]: 0}

    def start(self) -> State:
        """Return the state in which the first three hosts vote."""
        first = self._views[0]
        processes = [self._start_host(name, 1, first) for name in self._bounds.hosts]
        rounds = RefusalClaims(FixedRandom(0))
        processes.append(self._memory.number(Refuser(rounds, first)))
        state = State((0,), tuple(processes), 0, 0, (), 0, 0, 0)
        return self._grant_first(state) if self._bounds.granted else state

    def _grant_first(self, state: State) -> State:
        """Put the first claim before the voters that granted it."""
        name = self._bounds.claimants[0]
        position = self._names.index(name)
        steps = self._act_on(state, position, name, self._requests[0])
        asked = next(iter(steps))[1]
        replies = 0
        for number, mail in enumerate(self._mails):
            if self._names[mail.to] not in self._bounds.granted:
                continue
            for _, reached in self._deliver(asked, number):
                replies |= reached.mail & ~asked.mail
                asked = reached._replace(mail=asked.mail)
        if len(self._bounds.granted) <= self._bounds.voters // 2:
            return asked._replace(mail=asked.mail | replies)
        return asked._replace(mail=replies)

    def judge(self, state: State) -> str | None:
        """Return the property that a state breaks."""
        if self._bounds.progress:
            return self.find_stuck(state)
        for request in self._requests:
            runs = [ref for run, ref in state.ran if run == request]
            if len(runs) > 1:
                return f"request {request} ran at {runs[0]} and at {runs[1]}"
            if runs and state.refused >> request & 1:
                return f"request {request} ran at {runs[0]} and was told not run"
        return None

    def expand(self, state: State) -> Iterator[tuple[str, State]]:
        """Return each possible step.

        A delivery that leaves its receiver unchanged only adds messages, which may be
        ignored for ever: it is done at once and makes no state of its own.
        """
        for label, reached in self._list_steps(state):
            yield label, self._deliver_inert(reached)

    def _deliver_inert(self, state: State) -> State:
        mail = state.mail
        done = 0
        while mail & ~done:
            left = mail & ~done
            bit = left & -left
            done |= bit
            number = bit.bit_length() - 1
            position = self._mails[number].to
            before = state.processes[position]
            after, effect = self._deliver_once(before, number)
            if after == before and not effect.ran:
                mail |= effect.mail
        return state if mail == state.mail else state._replace(mail=mail)

    def _list_steps(self, state: State) -> Iterator[tuple[str, State]]:
        mail = state.mail
        while mail:
            bit = mail & -mail
            mail ^= bit
            yield from self._deliver(state, bit.bit_length() - 1)
        for position, name in enumerate(self._names):
            if name in self._bounds.asleep:
                continue
            yield from self._adopt(state, position)
            if name == BALANCER:
                yield from self._refuse_at_balancer(state, position)
                continue
            yield from self._act(state, position, name)
        yield from self._edit(state)

    def describe(self, label: str) -> str:
        """Return a step as text."""
        if not label.isdecimal():
            return label
        mail = self._mails[int(label)]
        return f"{mail.sender} to {self._names[mail.to]}: {mail.message}"

    # --- steps ---------------------------------------------------------------------

    def _start_host(self, name: str, incarnation: int, view: View | None) -> int:
        ref = ProcessRef(name, incarnation)
        config = AgentConfig(ref, Address(name, 1), SERVICE, name, 1)
        state = AgentState.create(config, FixedRandom(0))
        state.admission = Admission(Profile("model"), 1, 0.0)
        state.flows.record_caller_packet(FLOW, CALLER, CALLER, 0.0)
        host = Host(VoterRole(SERVICE, ref), state, AtMostOnce(state))
        if view is not None:
            _take_view(host, view)
            host.forget_times()
        return self._memory.number(host)

    def _run(
        self, before: int, position: int, key: Frozen, act: Act
    ) -> tuple[int, Effect]:
        known = self._memory.find(before, key)
        if known is not None:
            return known

        def run(process: Process) -> Effect:
            actions = act(process)
            process.forget_times()
            return self._gather(self._names[position], process, actions)

        return self._memory.step(before, key, run)

    def _step(
        self, state: State, position: int, label: str, key: Frozen, act: Act
    ) -> Iterator[tuple[str, State]]:
        result = self._run(state.processes[position], position, key, act)
        yield from self._reach(state, position, label, result)

    def _reach(
        self, state: State, position: int, label: str, result: tuple[int, Effect]
    ) -> Iterator[tuple[str, State]]:
        before = state.processes[position]
        after, effect = result
        if after == before and not effect.mail & ~state.mail:
            refused = effect.refused & ~state.refused
            if not effect.ran and not refused and not effect.trims & ~state.trims:
                return
        processes = state.processes
        if after != before:
            processes = (*processes[:position], after, *processes[position + 1 :])
        yield (
            label,
            State(
                state.views,
                processes,
                state.mail | effect.mail,
                state.trims | effect.trims,
                state.ran + effect.ran,
                state.refused | effect.refused,
                state.restarts,
                state.changes,
            ),
        )

    def _gather(self, name: str, process: Process, actions: Sequence[Action]) -> Effect:
        mail = 0
        refused = 0
        ran: list[tuple[RequestKey, ProcessRef]] = []
        for action in actions:
            match action:
                case Deliver() if isinstance(process, Host):
                    ran.append((action.request, process.state.config.ref))
                case Send(to, Refusal(verdict=NotRun(), head=head)) if to == CALLER:
                    refused |= 1 << int(head)
                case Send(to, Packet()) if not self._bounds.passes_on or to == CALLER:
                    continue
                case Send(_, ClaimReply(outcome=lost)) if lost in self._bounds.lost:
                    continue
                case Send(to, ClaimRequest() | SealRequest()) if (
                    to.ip in self._bounds.asleep
                ):
                    continue
                case Send(to, message) if to != CALLER:
                    position = self._names.index(to.ip)
                    mail |= 1 << self._number_mail(Mail(name, position, message))
                case RefuseCaller(verdict=NotRun(), head=head):
                    refused |= 1 << int(head)
                case _:
                    continue
        trim = process.plan_trim() if self._bounds.trims else None
        trims = 0 if trim is None else 1 << trim.epoch
        return Effect(mail, tuple(ran), refused, trims)

    def _number_mail(self, mail: Mail) -> int:
        key = (mail.sender, mail.to, freeze(mail.message))
        number = self._mail_numbers.setdefault(key, len(self._mails))
        if number == len(self._mails):
            self._mails.append(mail)
        return number

    def _deliver(self, state: State, number: int) -> Iterator[tuple[str, State]]:
        mail = self._mails[number]
        label = str(number)
        before = state.processes[mail.to]
        result = self._deliver_once(before, number)
        yield from self._reach(state, mail.to, label, result)

    def _deliver_once(self, before: int, number: int) -> tuple[int, Effect]:
        mail = self._mails[number]
        sender = Address(mail.sender, 1)
        return self._run(
            before,
            mail.to,
            number,
            lambda process: _receive(process, sender, mail.message),
        )

    def _adopt(self, state: State, position: int) -> Iterator[tuple[str, State]]:
        for number in state.views:
            yield from self._adopt_one(state, position, number)

    def _adopt_one(
        self, state: State, position: int, number: int
    ) -> Iterator[tuple[str, State]]:
        view = self._views[number]
        yield from self._step(
            state,
            position,
            f"{self._names[position]} adopts view {view.number}",
            ("view", number),
            lambda process: _take_view(process, view),
        )

    def _refuse_at_balancer(
        self, state: State, position: int
    ) -> Iterator[tuple[str, State]]:
        if "B" not in self._bounds.refusers:
            return
        request = self._requests[0]
        yield from self._step(
            state,
            position,
            "balancer refuses",
            "refuse",
            lambda process: process.refuse(request),
        )

    def _act(
        self, state: State, position: int, name: str
    ) -> Iterator[tuple[str, State]]:
        host: Host = self._memory.get(state.processes[position])
        for request in self._requests:
            yield from self._act_on(state, position, name, request)
        if self._bounds.trims:
            yield from self._step(
                state,
                position,
                f"{name} asks for seals",
                "tick",
                lambda process: process.voter.tick(0.0),
            )
        if name in self._bounds.restartable and state.restarts < self._bounds.restarts:
            ref = host.state.config.ref
            processes = list(state.processes)
            processes[position] = self._start_host(name, ref.incarnation + 1, None)
            yield (
                f"{name} restarts",
                state._replace(processes=tuple(processes), restarts=state.restarts + 1),
            )

    def _act_on(
        self, state: State, position: int, name: str, request: RequestKey
    ) -> Iterator[tuple[str, State]]:
        host: Host = self._memory.get(state.processes[position])
        known = host.single._records.get(request)
        if known is None and name in self._bounds.claimants:
            yield from self._step(
                state,
                position,
                f"{name} gets request {request}",
                ("begin", request),
                lambda process: process.single.handle_request(_packet(request), 0.0),
            )
        if known is None and name in self._bounds.refusers:
            yield from self._step(
                state,
                position,
                f"{name} refuses request {request}",
                ("refuse", request),
                lambda process: process.single.refuse(_packet(request), 0.0),
            )
        claiming = known is not None and known.stage is Stage.CLAIMING
        if claiming and self._bounds.gives_up:
            yield from self._step(
                state,
                position,
                f"{name} gives up its claim",
                "give up",
                lambda process: process.single.tick(CLAIM_TIMEOUT_S),
            )

    def _edit(self, state: State) -> Iterator[tuple[str, State]]:
        current = self._views[state.views[-1]]
        if state.changes < self._bounds.most_changes:
            for edit in self._bounds.edits:
                yield from self._apply(state, current, edit, 1)
        for epoch in range(state.trims.bit_length()):
            if state.trims >> epoch & 1:
                yield from self._apply(state, current, TrimVoterSets(epoch), 0)

    def _apply(
        self, state: State, current: View, edit: ViewEdit, changes: int
    ) -> Iterator[tuple[str, State]]:
        changed = edit_view(current, edit)
        if changed is current:
            return
        number = self._view_numbers.setdefault(changed, len(self._views))
        if number == len(self._views):
            self._views.append(changed)
        yield (
            f"platform takes {edit}",
            state._replace(
                views=(*state.views, number), changes=state.changes + changes
            ),
        )

    # --- progress ------------------------------------------------------------------

    def find_stuck(self, state: State) -> str | None:
        """Deliver all messages of voters, and tell whether the newest are active."""
        reached = self._run_fair(state)
        while reached != state:
            state, reached = reached, self._run_fair(reached)
        sets = self._views[state.views[-1]].voter_sets
        hosts = [self._memory.get(number) for number in state.processes[:-1]]
        refs = {host.state.config.ref for host in hosts}
        for voter_set in sets:
            living = sum(voter.ref in refs for voter in voter_set.voters)
            if living < voter_set.majority:
                return None
        newest = sets[-1]
        active = sum(
            host.voter.is_listed and host.voter.active_epoch == newest.epoch
            for host in hosts
        )
        if active >= newest.majority:
            return None
        return f"voters of epoch {newest.epoch} are stuck"

    def _run_fair(self, state: State) -> State:
        for position in range(len(self._bounds.hosts)):
            for view in state.views:
                state = _take_last(state, self._adopt_one(state, position, view))
            steps = self._step(
                state, position, "", "tick", lambda process: process.voter.tick(0.0)
            )
            state = _take_last(state, steps)
        for number in range(state.mail.bit_length()):
            if not state.mail >> number & 1:
                continue
            if not isinstance(self._mails[number].message, (SealRequest, SealReply)):
                continue
            state = _take_last(state, self._deliver(state, number))
        return state


def _take_last(state: State, steps: Iterator[tuple[str, State]]) -> State:
    for _, reached in steps:
        return reached
    return state


def _take_view(process: Process, view: View) -> list[Action]:
    if isinstance(process, Refuser):
        if view.number > process.view.number:
            process.view = view
        return []
    if view.number <= process.state.routing.view.number:
        return []
    process.state.routing = Routing(view, frozenset(), 0)
    process.voter.apply_view(view, 0.0)
    return [*process.single.restart_claims(0.0), *process.voter.tick(0.0)]


def _receive(process: Process, sender: Address, message: Message) -> list[Action]:
    match process, message:
        case Refuser(), ClaimReply():
            return list(process.rounds.handle_claim_reply(message))
        case Host(), ClaimRequest():
            return [Send(sender, process.voter.handle_claim_request(message, 0.0))]
        case Host(), ClaimReply():
            return list(process.single.handle_claim_reply(message, 0.0))
        case Host(), SealRequest():
            sealed = process.voter.handle_seal_request(message)
            return [] if sealed is None else [Send(sender, sealed)]
        case Host(), SealReply():
            return list(process.voter.handle_seal_reply(message, 0.0))
        case Host(), Packet():
            return list(process.single.handle_request(message, 0.0))
        case _:
            return []


_A = ProcessRef("a", 1)
_DRAIN_A = SetState(_A, MemberState.DRAINING)
_BACK_A = SetState(_A, MemberState.ACTIVE)
_DRAIN_B = SetState(ProcessRef("b", 1), MemberState.DRAINING)
_REJOIN_B = Join(_member("b", 2))

ONE_CHANGE: Final[dict[str, Any]] = {
    "hosts": "abc",
    "voters": 1,
    "edits": (_DRAIN_A,),
    "most_changes": 1,
    "gives_up": False,
    "lost": frozenset({ClaimOutcome.INACTIVE, ClaimOutcome.SEALED}),
}
TWO_CHANGES: Final[dict[str, Any]] = {
    **ONE_CHANGE,
    "hosts": "abc",
    "voters": 1,
    "granted": "a",
    "trims": True,
    "most_changes": 2,
    "edits": (_DRAIN_A, _DRAIN_B),
}

SCENARIOS: Final = (
    Bounds("claims: two copies", claimants="ab"),
    Bounds("claims: a copy and a refusal", claimants="a", refusers="b"),
    Bounds("claims: a copy and a balancer's refusal", claimants="a", refusers="B"),
    Bounds("claims: a voter restarts", restartable="c", restarts=1),
    Bounds("claims: a voter drains, two copies", claimants="bc", **ONE_CHANGE),
    Bounds(
        "claims: a voter drains, a refusal", claimants="a", refusers="B", **ONE_CHANGE
    ),
    Bounds(
        "claims: a voter drains, the winner asleep",
        hosts="abcd",
        claimants="ad",
        asleep="a",
        most_depth=14,
        granted="ab",
        edits=(_DRAIN_A,),
        most_changes=1,
        gives_up=False,
        lost=frozenset({ClaimOutcome.INACTIVE, ClaimOutcome.SEALED}),
    ),
    Bounds("claims: two voters drain", claimants="ac", **TWO_CHANGES),
    Bounds(
        "claims: two voters drain, a refusal",
        claimants="a",
        refusers="B",
        **TWO_CHANGES,
    ),
    Bounds(
        "progress: a voter drains while another restarts",
        hosts="abcd",
        claimants="",
        edits=(_DRAIN_A,),
        most_changes=1,
        restartable="b",
        restarts=1,
        trims=True,
        most_depth=9,
        progress=True,
    ),
    Bounds(
        "progress: two voters drain",
        **{**TWO_CHANGES, "claimants": "", "granted": "", "progress": True},
    ),
)

__all__ = ["SCENARIOS", "Bounds", "ClaimModel", "State"]
