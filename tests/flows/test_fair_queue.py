"""Order, bounds and invariants of the queue with fair shares."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.flows.caller_record import MAX_CALLERS, CallerRecord
from balsamstream.flows.dispatch import OpeningDispatcher
from balsamstream.flows.fair_queue import MAX_TIMED_WAIT_S, UNTIMED_WAIT_S, FairQueue
from balsamstream.flows.flow_table import FlowTable
from balsamstream.flows.host_work import Forecast, HostWork
from balsamstream.flows.messages import DeclineReason
from balsamstream.flows.waiting_queue import MAX_WAITING, Opening, has_capacity
from tests.flows.deployment import RecordedEvents

NOW = 100.0
WORK_S = 0.025
SITES = {"10.1.0.1": "medina", "10.2.0.1": "kasbah", "10.3.0.1": "mellah"}
FRONTS = list(SITES)
_NUMBERS = itertools.count()


def build_opening(
    route: int = 0,
    caller: int = 0,
    front: str = FRONTS[0],
    priority: int = 1,
    at: float = NOW,
    objective_s: float = 0.25,
    deadline_s: float = 2.0,
) -> Opening:
    """Build an opening from a new port."""
    port = next(_NUMBERS) % 65_536
    flow = b"%c%c" % divmod(port, 256) + b"ip00p%c" % route + caller.to_bytes(4)
    packet = flow + bytes(19)
    return Opening(
        flow,
        packet,
        front,
        priority,
        at,
        objective_at=at + objective_s,
        deadline_at=at + deadline_s,
    )


def build_work() -> HostWork:
    """Build the work of a host whose requests take `WORK_S`."""
    work = HostWork()
    work.times.record_answer(b"ip00p\0", NOW - WORK_S, NOW)
    return work


def build_queue(work: HostWork | None = None) -> FairQueue:
    return FairQueue(work or build_work(), SITES.__getitem__)


def pop_all(queue: FairQueue, now: float = NOW) -> list[Opening]:
    """Return the openings in the order of dispatch."""
    taken = []
    while queue:
        opening = queue.pop(now)
        assert opening is not None, "an opening waits, but none is dispatched"
        taken.append(opening)
    return taken


def serve(queue: FairQueue, opening: Opening) -> None:
    """Dispatch an opening that does not wait."""
    queue.add(opening)
    assert queue.pop(NOW) is opening


# Order.


def test_burst_on_one_route_does_not_delay_another() -> None:
    queue = build_queue()
    burst = [build_opening(0, caller) for caller in range(100)]
    others = [build_opening(1, caller) for caller in range(10)]
    for opening in (*burst, *others):
        queue.add(opening)
    first = pop_all(queue)[:20]
    assert sum(each.flow[7] == 1 for each in first) == 10


def test_weight_is_halved_for_each_step_of_priority() -> None:
    queue = build_queue()
    for priority in range(3):
        for caller in range(80):
            queue.add(build_opening(priority, caller, priority=priority))
    first = Counter(each.priority for each in pop_all(queue)[:70])
    assert first == {0: 40, 1: 20, 2: 10}


def test_data_centres_get_equal_shares_of_a_route() -> None:
    # An evacuated data centre brings many callers to the fronts of another.
    queue = build_queue()
    for caller in range(60):
        queue.add(build_opening(0, caller, FRONTS[0]))
    for caller in range(10):
        queue.add(build_opening(0, 100 + caller, FRONTS[1]))
    first = Counter(each.front for each in pop_all(queue)[:20])
    assert first == {FRONTS[0]: 10, FRONTS[1]: 10}


def test_caller_with_much_recent_service_goes_last() -> None:
    queue = build_queue()
    for _ in range(10):
        serve(queue, build_opening(caller=7))
    queue.add(build_opening(caller=1))
    queue.add(build_opening(caller=7, at=NOW + 0.01))
    assert [each.flow[-1] for each in pop_all(queue, NOW + 0.01)] == [1, 7]


def test_openings_that_can_meet_the_objective_go_first_newest_first() -> None:
    queue = build_queue()
    ages = (0.1, 0.0, 0.4, 0.2, 0.3)
    for caller, age_s in enumerate(ages):
        queue.add(build_opening(caller=caller, at=NOW - age_s))
    order = [round(NOW - each.arrived_at, 1) for each in pop_all(queue)]
    assert order == [0.0, 0.1, 0.2, 0.3, 0.4]
    late = build_opening(caller=8, at=NOW, objective_s=0.01)
    queue.add(late)
    queue.add(build_opening(caller=9, at=NOW - 0.1))
    assert pop_all(queue)[-1] is late


def test_unused_share_goes_to_the_others() -> None:
    queue = build_queue()
    for caller in range(5):
        queue.add(build_opening(1, caller, priority=3))
    assert len(pop_all(queue)) == 5


def test_route_does_not_save_up_its_unused_share() -> None:
    # A route that was idle for long would otherwise block the others at its burst.
    queue = build_queue()
    for caller in range(200):
        queue.add(build_opening(0, caller))
    for _ in range(100):
        queue.pop(NOW)
    for caller in range(40):
        queue.add(build_opening(1, caller))
    first = Counter(each.flow[7] for each in pop_all(queue)[:20])
    assert first == {0: 10, 1: 10}


# Bounds.


def test_opening_waits_for_its_share_of_the_deadline_at_most() -> None:
    # A caller makes three attempts before its deadline: a longer wait in one of them
    # took slots for callers that had given up.
    queue = build_queue()
    queue.add(build_opening(deadline_s=0.9))
    assert not queue.pop_expired(NOW + 0.29)
    assert len(queue.pop_expired(NOW + 0.31)) == 1


def test_opening_waits_no_longer_than_the_attempt_of_its_caller() -> None:
    queue = build_queue()
    queue.add(build_opening(deadline_s=7.5))
    assert not queue.pop_expired(NOW + MAX_TIMED_WAIT_S)
    assert len(queue.pop_expired(NOW + MAX_TIMED_WAIT_S + 0.01)) == 1


def test_opening_without_stated_times_waits_as_long_as_before() -> None:
    queue = build_queue()
    queue.add(Opening(b"12ip00p\x001234", b"", FRONTS[0], 1, NOW))
    assert not queue.pop_expired(NOW + UNTIMED_WAIT_S)
    assert len(queue.pop_expired(NOW + UNTIMED_WAIT_S + 0.01)) == 1


def test_opening_whose_turn_cannot_come_in_time_is_handed_back() -> None:
    # 100 openings of 25 ms take 2.5 s; those that are 0.5 s late get no turn.
    queue = build_queue()
    for caller in range(100):
        queue.add(build_opening(caller=caller))
    hopeless = queue.pop_hopeless(Forecast(0.0, 1.0), NOW)
    assert len(hopeless) == pytest.approx(20, abs=2)
    assert not queue.pop_hopeless(Forecast(0.0, 1.0), NOW)


def test_declined_openings_do_not_count_as_work_ahead() -> None:
    queue = build_queue()
    for caller in range(50):
        queue.add(build_opening(caller=caller, at=NOW + 0.01, deadline_s=0.02))
    patient = build_opening(caller=99, deadline_s=0.5)
    queue.add(patient)
    queue.pop_hopeless(Forecast(0.1, 1.0), NOW + 0.01)
    assert pop_all(queue) == [patient]


def test_nothing_is_handed_back_without_an_estimate() -> None:
    queue = build_queue(HostWork())
    for caller in range(100):
        queue.add(build_opening(caller=caller))
    assert not queue.pop_hopeless(None, NOW)


def test_opening_whose_time_is_over_is_not_dispatched_after_a_pause() -> None:
    # The host's answers may be read before the first tick after a pause.
    bench = Bench(slots=1)
    openings = [build_opening(caller=caller, deadline_s=0.9) for caller in range(4)]
    for opening in openings:
        bench.dispatcher.submit(opening, bench.now)
    bench.now += 1.0
    bench.answer()
    assert len(bench.sent) == 2
    assert len(bench.declined) == 2


def test_length_is_bounded_and_the_longest_queue_gives_way() -> None:
    queue = build_queue()
    for caller in range(MAX_WAITING - 5):
        queue.add(build_opening(0, caller))
    for caller in range(50):
        displaced = queue.add(build_opening(1, caller))
        assert displaced is None or displaced.flow[7] == 0
    assert len(queue) == MAX_WAITING


def test_number_of_callers_is_bounded() -> None:
    record = CallerRecord()
    for number in range(2 * MAX_CALLERS):
        record.add(number.to_bytes(4), WORK_S, NOW)
    assert len(record) == MAX_CALLERS
    assert record.get_served_s((2 * MAX_CALLERS - 1).to_bytes(4), NOW) == WORK_S


def test_copy_from_a_reused_port_replaces_the_earlier_opening() -> None:
    # A flow that waited twice would be dispatched twice.
    queue = build_queue()
    opening = build_opening()
    queue.add(opening)
    queue.add(opening)
    assert pop_all(queue) == [opening]


def test_restart_of_the_host_clears_the_order_and_keeps_what_waits() -> None:
    queue = build_queue()
    for _ in range(10):
        serve(queue, build_opening(caller=7))
    older, newer = build_opening(caller=1), build_opening(caller=7, at=NOW + 0.01)
    queue.add(older)
    queue.add(newer)
    queue.clear_order()
    assert pop_all(queue, NOW + 0.01) == [newer, older]


# Properties.

OPENINGS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.integers(0, 5),
        st.sampled_from(FRONTS),
        st.floats(0.0, 0.5),
        st.floats(0.01, 1.0),
    ),
    min_size=1,
    max_size=60,
)


@given(OPENINGS)
def test_forecast_order_is_the_order_of_dispatch(drawn: list[Any]) -> None:
    # Openings would otherwise be declined although their turn would have come.
    queue = build_queue()
    for route, caller, front, age_s, objective_s in drawn:
        # A caller belongs to one data centre and one route, as its record is shared.
        number = caller + 10 * route + 100 * FRONTS.index(front)
        queue.add(
            build_opening(
                route,
                number,
                front,
                priority=route,
                at=NOW - age_s,
                objective_s=objective_s,
            )
        )
    planned = [item.opening for item in queue.plan(NOW)]
    assert planned == pop_all(queue)


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 40)), min_size=2, max_size=6)
)
def test_no_route_waits_for_more_than_its_bound(drawn: list[tuple[int, int]]) -> None:
    # Between two turns of a waiting route, another gets the ratio of the weights and
    # one more.
    queue = build_queue()
    for route, (priority, count) in enumerate(drawn):
        for caller in range(count):
            queue.add(build_opening(route, caller, priority=priority))
    order = [each.flow[7] for each in pop_all(queue)]
    for route, (priority, count) in enumerate(drawn):
        bound = sum(
            math.ceil(2.0 ** (priority - other)) + 1
            for number, (other, _) in enumerate(drawn)
            if number != route
        )
        turns = [-1, *(at for at, each in enumerate(order) if each == route)]
        assert len(turns) == count + 1
        gaps = [later - earlier - 1 for earlier, later in itertools.pairwise(turns)]
        assert max(gaps) <= bound


@dataclass
class Slots:
    """A host's heartbeat."""

    slots: int


@dataclass
class Bench:
    """A dispatcher with a host that answers when it is told to."""

    slots: int
    now: float = NOW
    sent: list[bytes] = field(default_factory=list)
    declined: list[tuple[Opening, DeclineReason]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.flows = FlowTable(RecordedEvents())
        self.flows.work.set_slots(self.slots)
        self.running: list[bytes] = []
        host: Any = Slots(self.slots)
        self.dispatcher = OpeningDispatcher(
            RecordedEvents(),
            self.flows,
            host,
            FairQueue(self.flows.work, SITES.__getitem__),
            self._send,
            self._decline,
        )

    def _send(self, packet: bytes, _front: str) -> None:
        flow = packet[:12]
        self.sent.append(flow)
        self.running.append(flow)
        entry = self.flows.get(flow)
        assert entry is not None
        entry.host_next_seq = 1

    def _decline(self, opening: Opening, reason: DeclineReason, now: float) -> None:
        self.declined.append((opening, reason))
        is_over = now >= opening.deadline_at - 2 * WORK_S
        is_over |= now - opening.arrived_at >= MAX_TIMED_WAIT_S
        idle = has_capacity(self.flows.in_flight, self.slots)
        assert not idle or is_over, "declined while the host has capacity"

    def answer(self) -> None:
        """Answer the oldest request."""
        if not self.running:
            return
        flow = self.running.pop(0)
        entry = self.flows.get(flow)
        assert entry is not None
        begun_at = max(entry.last_packet_at, self.now - WORK_S)
        self.flows.work.times.record_answer(entry.route.key, begun_at, self.now)
        self.flows.remove(flow)
        self.dispatcher.dispatch_waiting(self.now)

    def check_work_conserved(self) -> None:
        """Check that nothing waits while the host has capacity."""
        if len(self.dispatcher):
            assert not has_capacity(self.flows.in_flight, self.slots)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("open"),
            st.integers(0, 3),
            st.integers(0, 8),
            st.sampled_from(FRONTS),
            st.floats(0.0, 3.0),
        ),
        st.tuples(st.just("answer")),
        st.tuples(st.just("pass"), st.floats(0.0, 0.2)),
        st.tuples(st.just("tick")),
        st.tuples(st.just("restart")),
    ),
    max_size=150,
)


@settings(deadline=None)
@given(STEPS, st.integers(1, 3))
def test_each_opening_is_dispatched_or_declined_once(
    steps: list[Any], slots: int
) -> None:
    bench = Bench(slots)
    opened = []
    for step in steps:
        match step:
            case ("open", route, caller, front, deadline_s):
                opening = build_opening(
                    route, caller, front, route, bench.now, 0.25, deadline_s
                )
                opened.append(opening.flow)
                bench.dispatcher.submit(opening, bench.now)
            case ("answer",):
                bench.answer()
            case ("pass", seconds):
                bench.now += seconds
            case ("tick",):
                bench.dispatcher.tick(bench.now)
            case ("restart",):
                bench.flows.clear()
                bench.running.clear()
                bench.dispatcher.handle_host_end(bench.now)
                bench.dispatcher.dispatch_waiting(bench.now)
        bench.check_work_conserved()
    for _ in range(400):
        bench.now += 0.02
        bench.answer()
        bench.dispatcher.tick(bench.now)
    outcomes = bench.sent + [opening.flow for opening, _ in bench.declined]
    assert Counter(outcomes) == Counter(opened)
    assert all(reason is DeclineReason.BUSY for _, reason in bench.declined)


def test_opening_in_time_precedes_a_late_one_of_a_caller_with_less_service() -> None:
    """Guards against slots for late answers while requests in time become late."""
    queue = build_queue()
    served = build_opening(caller=1)
    for _ in range(4):
        serve(queue, served)
    late = build_opening(caller=2, at=NOW - 0.5)
    queue.add(late)
    queue.add(build_opening(caller=1))
    assert queue.pop(NOW) != late


def test_opening_in_time_precedes_late_ones_of_other_routes() -> None:
    """Guards against a share of the slots for answers that come late anyway."""
    queue = build_queue()
    for caller in range(5):
        queue.add(build_opening(1, caller, at=NOW - 0.5))
    in_time = [build_opening(0, caller) for caller in range(5, 10)]
    for opening in in_time:
        queue.add(opening)
    assert set(pop_all(queue)[:5]) == set(in_time)


def test_opening_that_another_gate_has_declined_does_not_count_as_new() -> None:
    """Guards against openings that move between gates ahead of younger ones."""
    queue = build_queue()
    younger = build_opening(caller=1, at=NOW - 0.3)
    queue.add(younger)
    older = build_opening(caller=2, at=NOW, objective_s=-0.3)
    queue.add(older)
    assert pop_all(queue) == [younger, older]


def test_late_openings_do_not_count_for_the_wait_of_a_new_one() -> None:
    """Guards against refusals of requests that the host would answer in time."""
    queue = build_queue()
    for caller in range(5):
        queue.add(build_opening(caller=caller, at=NOW - 0.5))
    assert sum(queue.count_routes(NOW).values()) == 0
    queue.add(build_opening(caller=9))
    assert sum(queue.count_routes(NOW).values()) == 1
