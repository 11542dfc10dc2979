"""Model of claims: voters, claimants, refusals and changes of the voter set.

Sent messages form a set that only grows, and each may be delivered at any time. This
covers loss, duplication, reordering and delivery after a long pause of the receiver.
An edit of a view may be applied again by a writer that lost the reply, and by two
writers.
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

from .state import FixedRandom, Frozen, TransitionCache, freeze

SERVICE: Final = "comptoir"
CALLER: Final = Address("caller", 1)
FLOW: Final = FlowKey(1)
BALANCER: Final = "balancer"
IGNORED_ATTRIBUTES: Final = frozenset(
    {"next_request_at", "_next_trim_at", "_ranked", "loads", "catalogue"}
)

Message = ClaimRequest | ClaimReply | SealRequest | SealReply | Packet


class Envelope(NamedTuple):
    """A sent message, which may arrive at any time or never."""

    sender: str
    to: int
    message: Message


class Effect(NamedTuple):
    """Output of one step of one process; ``sent`` has a bit for each message."""

    sent: int = 0
    ran: tuple[tuple[RequestKey, ProcessRef], ...] = ()
    refused: int = 0
    trims: int = 0


class State(NamedTuple):
    """Global state of the model.

    Views, processes and messages are numbered. ``sent`` has a bit for each message
    ever sent, ``trims`` for each epoch that a voter requested to trim to and
    ``refused`` for each request that was refused to its caller as not run.
    """

    views: tuple[int, ...]
    processes: tuple[int, ...]
    sent: int
    trims: int
    ran: tuple[tuple[RequestKey, ProcessRef], ...]
    refused: int
    restarts: int
    changes: int


@dataclass(frozen=True)
class Bounds:
    """Bounds of one search: the processes, and the events that may occur.

    Parameters
    ----------
    hosts : str
        Names of the hosts, one letter each; the first three are the first voters.
    claimants : str
        Hosts that receive a copy of each request.
    refusers : str
        Hosts that refuse a copy; ``B`` is the balancer.
    edits : tuple of ViewEdit
        Edits of the view that may be applied, in any order.
    restartable : str
        Hosts that may crash and restart with another incarnation.
    trims : bool
        Whether voters send seal requests at each tick and voter sets are trimmed.
    granted : str
        Voters that granted the first claimant's claim before the search begins; its
        other claim requests are lost, and the replies are in flight.
    lost : frozenset of ClaimOutcome
        Outcomes whose replies are always lost, as they only cause a retry.
    asleep : str
        Hosts that receive nothing but the votes on their claims.
    voters : int
        Voters in each set.
    max_depth : int
        Depth at which the search ends; zero for no bound.
    progress : bool
        Whether to check in each state that the newest voters can still become active.
    """

    name: str
    hosts: str = "abc"
    claimants: str = "ab"
    refusers: str = ""
    requests: int = 1
    edits: tuple[ViewEdit, ...] = ()
    max_changes: int = 0
    restartable: str = ""
    restarts: int = 0
    gives_up: bool = True
    forwards: bool = False
    trims: bool = False
    granted: str = ""
    lost: frozenset[ClaimOutcome] = frozenset()
    asleep: str = ""
    voters: int = 3
    max_depth: int = 0
    progress: bool = False

    def describe(self) -> str:
        """Return the bounds that differ from the defaults."""
        parts = [
            f"hosts {self.hosts}",
            f"{self.voters} voters",
            f"{self.max_depth or 'any number of'} steps",
            f"asleep {self.asleep or 'none'}",
            f"copies at {self.claimants}",
            f"refusals at {self.refusers or 'none'}",
            f"{self.requests} requests",
            f"{self.max_changes} view changes of {len(self.edits)} edits",
            f"{self.restarts} restarts of {self.restartable or 'none'}",
            f"claims given up: {self.gives_up}",
            f"sets trimmed: {self.trims}",
            f"granted at first: {self.granted or 'none'}",
            f"replies lost: {', '.join(sorted(o.value for o in self.lost)) or 'any'}",
        ]
        return ", ".join(parts)


@dataclass
class Host:
    """The parts of an agent that are involved in claims."""

    voter: VoterRole
    state: AgentState
    at_most_once: AtMostOnce

    def plan_trim(self) -> TrimVoterSets | None:
        """Return the trim that the voter requests, or None if there is none."""
        trim = self.voter.plan_trim(0.0)
        self.forget_times()
        return trim

    def forget_times(self) -> None:
        """Reset the retry times, so that each request may be repeated at any time."""
        self.voter._seal_progress.next_request_at = 0.0
        self.voter._next_trim_at = 0.0


@dataclass
class RefusingBalancer:
    """The parts of a balancer that claim a request in order to refuse it."""

    claims: RefusalClaims
    view: View
    refused: set[RequestKey] = field(default_factory=set)

    def refuse(self, request: RequestKey) -> list[Action]:
        """Start the claim for refusing a request, once for each request."""
        if request in self.refused:
            return []
        self.refused.add(request)
        head = str(request).encode()
        profile = Profile("model")
        return self.claims.refuse(1, CALLER, head, request, profile, self.view, 0.0)

    def plan_trim(self) -> None:
        """Return None: a balancer requests no trim."""

    def forget_times(self) -> None:
        """Do nothing: a balancer has no retry times."""


Process = Host | RefusingBalancer
Act = Callable[[Any], Sequence[Action]]


def _build_member(name: str, incarnation: int = 1) -> Member:
    return Member(ProcessRef(name, incarnation), Address(name, 1), name, 1)


def _build_first_view(names: str) -> View:
    view = View(SERVICE, 0)
    members = tuple(_build_member(name) for name in names)
    first = replace(view, members=members[:-1])
    return replace(edit_view(first, Join(members[-1])), number=1)


def set_voters_wanted(number: int) -> None:
    """Set the number of voters that edits of views aim for, in this process."""
    view_module.VOTERS_WANTED = number  # type: ignore[misc]


def _build_packet(request: RequestKey) -> Packet:
    version = RoutingVersion(0, 0)
    kind = RequestKind.NON_REPEATABLE
    return Packet(
        1, FLOW, CALLER, CALLER, version, kind, request, 10_000, str(request).encode()
    )


class ClaimModel:
    """State space of one scenario within its bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.name = bounds.name
        self.bounds = bounds.describe()
        self.max_depth = bounds.max_depth
        self._bounds = bounds
        set_voters_wanted(bounds.voters)
        self._names = [*bounds.hosts, BALANCER]
        self._cache = TransitionCache(IGNORED_ATTRIBUTES)
        self._requests = [RequestKey(n + 1) for n in range(bounds.requests)]
        self._envelopes: list[Envelope] = []
        self._envelope_numbers: dict[Any, int] = {}
        self._views = [_build_first_view(bounds.hosts)]
        self._view_numbers = {self._views[0]: 0}

    def start(self) -> State:
        """Return the state in which the first three hosts are the voters."""
        first = self._views[0]
        processes = [self._start_host(name, 1, first) for name in self._bounds.hosts]
        claims = RefusalClaims(FixedRandom(0))
        processes.append(self._cache.number(RefusingBalancer(claims, first)))
        state = State((0,), tuple(processes), 0, 0, (), 0, 0, 0)
        return self._grant_first(state) if self._bounds.granted else state

    def _grant_first(self, state: State) -> State:
        """Deliver the first claim to the voters in ``granted``."""
        name = self._bounds.claimants[0]
        position = self._names.index(name)
        steps = self._act_on(state, position, name, self._requests[0])
        requested = next(iter(steps))[1]
        replies = 0
        for number, envelope in enumerate(self._envelopes):
            if self._names[envelope.to] not in self._bounds.granted:
                continue
            for _, reached in self._deliver(requested, number):
                replies |= reached.sent & ~requested.sent
                requested = reached._replace(sent=requested.sent)
        if len(self._bounds.granted) <= self._bounds.voters // 2:
            return requested._replace(sent=requested.sent | replies)
        return requested._replace(sent=replies)

    def find_violation(self, state: State) -> str | None:
        """Return the property that a state violates, or None if it violates none."""
        if self._bounds.progress:
            return self.find_stalled_voters(state)
        for request in self._requests:
            runs = [ref for run, ref in state.ran if run == request]
            if len(runs) > 1:
                return f"request {request} ran at {runs[0]} and at {runs[1]}"
            if runs and state.refused >> request & 1:
                return f"request {request} ran at {runs[0]} and was refused as not run"
        return None

    def expand(self, state: State) -> Iterator[tuple[str, State]]:
        """Return each possible step.

        A delivery that leaves its receiver unchanged only adds messages, which need
        never be delivered. Such deliveries are made at once and add no states.
        """
        for label, reached in self._list_steps(state):
            yield label, self._deliver_inert(reached)

    def _deliver_inert(self, state: State) -> State:
        sent = state.sent
        done = 0
        while sent & ~done:
            left = sent & ~done
            bit = left & -left
            done |= bit
            number = bit.bit_length() - 1
            position = self._envelopes[number].to
            before = state.processes[position]
            after, effect = self._deliver_once(before, number)
            if after == before and not effect.ran:
                sent |= effect.sent
        return state if sent == state.sent else state._replace(sent=sent)

    def _list_steps(self, state: State) -> Iterator[tuple[str, State]]:
        sent = state.sent
        while sent:
            bit = sent & -sent
            sent ^= bit
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
        """Return a step as text for the trace."""
        if not label.isdecimal():
            return label
        envelope = self._envelopes[int(label)]
        return f"{envelope.sender} to {self._names[envelope.to]}: {envelope.message}"

    # --- steps ---------------------------------------------------------------------

    def _start_host(self, name: str, incarnation: int, view: View | None) -> int:
        ref = ProcessRef(name, incarnation)
        config = AgentConfig(ref, Address(name, 1), SERVICE, name, 1)
        state = AgentState.create(config, FixedRandom(0))
        state.admission = Admission(Profile("model"), 1, 0.0)
        state.flows.record_caller_packet(FLOW, CALLER, CALLER, 0.0)
        host = Host(VoterRole(SERVICE, ref), state, AtMostOnce(state))
        if view is not None:
            _apply_view(host, view)
            host.forget_times()
        return self._cache.number(host)

    def _run(
        self, before: int, position: int, key: Frozen, act: Act
    ) -> tuple[int, Effect]:
        known = self._cache.find(before, key)
        if known is not None:
            return known

        def run(process: Process) -> Effect:
            actions = act(process)
            process.forget_times()
            return self._build_effect(self._names[position], process, actions)

        return self._cache.step(before, key, run)

    def _step(
        self, state: State, position: int, label: str, key: Frozen, act: Act
    ) -> Iterator[tuple[str, State]]:
        result = self._run(state.processes[position], position, key, act)
        yield from self._build_next(state, position, label, result)

    def _build_next(
        self, state: State, position: int, label: str, result: tuple[int, Effect]
    ) -> Iterator[tuple[str, State]]:
        before = state.processes[position]
        after, effect = result
        if after == before and not effect.sent & ~state.sent:
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
                state.sent | effect.sent,
                state.trims | effect.trims,
                state.ran + effect.ran,
                state.refused | effect.refused,
                state.restarts,
                state.changes,
            ),
        )

    def _build_effect(
        self, name: str, process: Process, actions: Sequence[Action]
    ) -> Effect:
        sent = 0
        refused = 0
        ran: list[tuple[RequestKey, ProcessRef]] = []
        for action in actions:
            match action:
                case Deliver() if isinstance(process, Host):
                    ran.append((action.request, process.state.config.ref))
                case Send(to, Refusal(verdict=NotRun(), head=head)) if to == CALLER:
                    refused |= 1 << int(head)
                case Send(to, Packet()) if not self._bounds.forwards or to == CALLER:
                    continue
                case Send(_, ClaimReply(outcome=lost)) if lost in self._bounds.lost:
                    continue
                case Send(to, ClaimRequest() | SealRequest()) if (
                    to.ip in self._bounds.asleep
                ):
                    continue
                case Send(to, message) if to != CALLER:
                    position = self._names.index(to.ip)
                    sent |= 1 << self._number_envelope(
                        Envelope(name, position, message)
                    )
                case RefuseCaller(verdict=NotRun(), head=head):
                    refused |= 1 << int(head)
                case _:
                    continue
        trim = process.plan_trim() if self._bounds.trims else None
        trims = 0 if trim is None else 1 << trim.epoch
        return Effect(sent, tuple(ran), refused, trims)

    def _number_envelope(self, envelope: Envelope) -> int:
        key = (envelope.sender, envelope.to, freeze(envelope.message))
        number = self._envelope_numbers.setdefault(key, len(self._envelopes))
        if number == len(self._envelopes):
            self._envelopes.append(envelope)
        return number

    def _deliver(self, state: State, number: int) -> Iterator[tuple[str, State]]:
        envelope = self._envelopes[number]
        label = str(number)
        before = state.processes[envelope.to]
        result = self._deliver_once(before, number)
        yield from self._build_next(state, envelope.to, label, result)

    def _deliver_once(self, before: int, number: int) -> tuple[int, Effect]:
        envelope = self._envelopes[number]
        sender = Address(envelope.sender, 1)
        return self._run(
            before,
            envelope.to,
            number,
            lambda process: _handle_message(process, sender, envelope.message),
        )

    def _adopt(self, state: State, position: int) -> Iterator[tuple[str, State]]:
        for number in state.views:
            yield from self._adopt_view(state, position, number)

    def _adopt_view(
        self, state: State, position: int, number: int
    ) -> Iterator[tuple[str, State]]:
        view = self._views[number]
        yield from self._step(
            state,
            position,
            f"{self._names[position]} adopts view {view.number}",
            ("view", number),
            lambda process: _apply_view(process, view),
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
        host: Host = self._cache.get(state.processes[position])
        for request in self._requests:
            yield from self._act_on(state, position, name, request)
        if self._bounds.trims:
            yield from self._step(
                state,
                position,
                f"{name} sends seal requests",
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
        host: Host = self._cache.get(state.processes[position])
        known = host.at_most_once._records.get(request)
        if known is None and name in self._bounds.claimants:
            yield from self._step(
                state,
                position,
                f"{name} receives request {request}",
                ("begin", request),
                lambda process: process.at_most_once.handle_request(
                    _build_packet(request), 0.0
                ),
            )
        if known is None and name in self._bounds.refusers:
            yield from self._step(
                state,
                position,
                f"{name} refuses request {request}",
                ("refuse", request),
                lambda process: process.at_most_once.refuse(
                    _build_packet(request), 0.0
                ),
            )
        claiming = known is not None and known.stage is Stage.CLAIMING
        if claiming and self._bounds.gives_up:
            yield from self._step(
                state,
                position,
                f"{name} gives up its claim",
                "give up",
                lambda process: process.at_most_once.tick(CLAIM_TIMEOUT_S),
            )

    def _edit(self, state: State) -> Iterator[tuple[str, State]]:
        current = self._views[state.views[-1]]
        if state.changes < self._bounds.max_changes:
            for edit in self._bounds.edits:
                yield from self._apply_edit(state, current, edit, 1)
        for epoch in range(state.trims.bit_length()):
            if state.trims >> epoch & 1:
                yield from self._apply_edit(state, current, TrimVoterSets(epoch), 0)

    def _apply_edit(
        self, state: State, current: View, edit: ViewEdit, changes: int
    ) -> Iterator[tuple[str, State]]:
        changed = edit_view(current, edit)
        if changed is current:
            return
        number = self._view_numbers.setdefault(changed, len(self._views))
        if number == len(self._views):
            self._views.append(changed)
        yield (
            f"platform applies {edit}",
            state._replace(
                views=(*state.views, number), changes=state.changes + changes
            ),
        )

    # --- progress ------------------------------------------------------------------

    def find_stalled_voters(self, state: State) -> str | None:
        """Return why the newest voters cannot become active, or None if they can.

        Each voter adopts all views and ticks, and all seal messages are delivered,
        until nothing changes.
        """
        reached = self._run_fair_round(state)
        while reached != state:
            state, reached = reached, self._run_fair_round(reached)
        sets = self._views[state.views[-1]].voter_sets
        hosts = [self._cache.get(number) for number in state.processes[:-1]]
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

    def _run_fair_round(self, state: State) -> State:
        for position in range(len(self._bounds.hosts)):
            for view in state.views:
                state = _follow_step(state, self._adopt_view(state, position, view))
            steps = self._step(
                state, position, "", "tick", lambda process: process.voter.tick(0.0)
            )
            state = _follow_step(state, steps)
        for number in range(state.sent.bit_length()):
            if not state.sent >> number & 1:
                continue
            if not isinstance(
                self._envelopes[number].message, (SealRequest, SealReply)
            ):
                continue
            state = _follow_step(state, self._deliver(state, number))
        return state


def _follow_step(state: State, steps: Iterator[tuple[str, State]]) -> State:
    for _, reached in steps:
        return reached
    return state


def _apply_view(process: Process, view: View) -> list[Action]:
    if isinstance(process, RefusingBalancer):
        if view.number > process.view.number:
            process.view = view
        return []
    if view.number <= process.state.routing.view.number:
        return []
    process.state.routing = Routing(view, frozenset(), 0)
    process.voter.apply_view(view, 0.0)
    return [*process.at_most_once.restart_claims(0.0), *process.voter.tick(0.0)]


def _handle_message(
    process: Process, sender: Address, message: Message
) -> list[Action]:
    match process, message:
        case RefusingBalancer(), ClaimReply():
            return list(process.claims.handle_claim_reply(message))
        case Host(), ClaimRequest():
            return [Send(sender, process.voter.handle_claim_request(message, 0.0))]
        case Host(), ClaimReply():
            return list(process.at_most_once.handle_claim_reply(message, 0.0))
        case Host(), SealRequest():
            sealed = process.voter.handle_seal_request(message)
            return [] if sealed is None else [Send(sender, sealed)]
        case Host(), SealReply():
            return list(process.voter.handle_seal_reply(message, 0.0))
        case Host(), Packet():
            return list(process.at_most_once.handle_request(message, 0.0))
        case _:
            return []


_A = ProcessRef("a", 1)
_DRAIN_A = SetState(_A, MemberState.DRAINING)
_BACK_A = SetState(_A, MemberState.ACTIVE)
_DRAIN_B = SetState(ProcessRef("b", 1), MemberState.DRAINING)
_REJOIN_B = Join(_build_member("b", 2))

ONE_CHANGE: Final[dict[str, Any]] = {
    "hosts": "abc",
    "voters": 1,
    "edits": (_DRAIN_A,),
    "max_changes": 1,
    "gives_up": False,
    "lost": frozenset({ClaimOutcome.INACTIVE, ClaimOutcome.SEALED}),
}
TWO_CHANGES: Final[dict[str, Any]] = {
    **ONE_CHANGE,
    "hosts": "abc",
    "voters": 1,
    "granted": "a",
    "trims": True,
    "max_changes": 2,
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
        max_depth=14,
        granted="ab",
        edits=(_DRAIN_A,),
        max_changes=1,
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
        max_changes=1,
        restartable="b",
        restarts=1,
        trims=True,
        max_depth=9,
        progress=True,
    ),
    Bounds(
        "progress: two voters drain",
        **{**TWO_CHANGES, "claimants": "", "granted": "", "progress": True},
    ),
)

__all__ = ["SCENARIOS", "Bounds", "ClaimModel", "State"]
