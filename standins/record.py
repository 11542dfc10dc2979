"""Comparison of the events recorded by callers and by backend servers."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .events import (
    BreakReason,
    ColdWork,
    Crossed,
    Event,
    Finished,
    FlowBroken,
    FlowEstablished,
    Misdirected,
    ObservationEnded,
    ObservationStarted,
    Outcome,
    Overloaded,
    PacketsReceived,
    Run,
    Started,
    WronglyServed,
    read_events,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

ORDER_METHOD: Final = "POST"


@dataclass(frozen=True, slots=True)
class Window:
    """An interval of time.

    Attributes
    ----------
    start : float
        Start, in seconds of the events' clock.
    end : float
        End, in seconds of the events' clock.
    """

    start: float = 0.0
    end: float = float("inf")

    def contains(self, time: float) -> bool:
        """Return whether a time lies within the interval."""
        return self.start <= time <= self.end


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation of a data centre.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    hosts : frozenset of str
        Hosts in the data centre.
    window : Window
        From the command that evacuated it to the one that returned it to service.
    """

    data_centre: str
    hosts: frozenset[str]
    window: Window


@dataclass(frozen=True, slots=True)
class Drain:
    """A drain of a host, and the time of the command."""

    host: str
    ordered_at: float


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes made by operators during the recording.

    Attributes
    ----------
    evacuations : tuple of Evacuation
        Evacuations of data centres.
    drains : tuple of Drain
        Drains of hosts.
    steady : Window
        Interval without changes, in which imbalance is measured.
    """

    evacuations: tuple[Evacuation, ...] = ()
    drains: tuple[Drain, ...] = ()
    steady: Window = Window()


@dataclass(frozen=True, slots=True)
class Record:
    """All events of callers and of backend servers, sorted by time."""

    caller_events: list[Event]
    backend_events: list[Event]


@dataclass(slots=True)
class Figures:
    """Figures computed from the records.

    Attributes
    ----------
    requests : int
        Attempts made by callers.
    answered : int
        Attempts that got the complete answer.
    refused_not_run : int
        Attempts answered with a refusal.
    lost : int
        Attempts that ended without an answer and were not repeated, and orders
        that were answered without a recorded run.
    unknown : int
        Attempts whose caller was told that the request may have run.
    failed : int
        Attempts answered with another error.
    retried : int
        Attempts without an answer that were repeated.
    doubled : int
        Order attempts that ran more than once, or ran although they were refused.
    crossed : int
        Answers that belong to another request.
    wrong_service : int
        Requests and answers that reached another service.
    flows : int
        Flows established.
    broken_flows : int
        Established flows that broke, for any cause.
    broken_in_evacuation : int
        Broken flows on a host whose data centre was evacuated.
    broken_by_restart : int
        Broken flows on a host that restarted without notice.
    moved : int
        Broken flows that another host or incarnation answered.
    imbalance : float
        Peak-to-mean ratio of the requests run by the hosts of a service.
    flow_imbalance : float
        Peak-to-mean ratio of the boards observed at the hosts of a service.
    last_packet_after_evacuation_s : float
        Maximum time from an evacuation command to the last datagram of a host in
        the data centre, in seconds.
    answered_in_evacuation : int
        Answered attempts that started while a data centre was evacuated.
    requests_in_evacuation : int
        Attempts that started while a data centre was evacuated.
    first_run_after_return_s : float
        Maximum time from the command that returned a data centre to service to its
        first request, in seconds.
    last_new_flow_after_drain_s : float
        Maximum time from a drain command to the host's last new flow, in seconds.
    cold_peak : float
        Peak of requests in flight on a cold host, as a share of its load limit.
    overloads : int
        Number of overload crashes.
    """

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    lost: int = 0
    unknown: int = 0
    failed: int = 0
    retried: int = 0
    doubled: int = 0
    crossed: int = 0
    wrong_service: int = 0
    flows: int = 0
    broken_flows: int = 0
    broken_in_evacuation: int = 0
    broken_by_restart: int = 0
    moved: int = 0
    imbalance: float = 0.0
    flow_imbalance: float = 0.0
    last_packet_after_evacuation_s: float = 0.0
    answered_in_evacuation: int = 0
    requests_in_evacuation: int = 0
    first_run_after_return_s: float = 0.0
    last_new_flow_after_drain_s: float = 0.0
    cold_peak: float = 0.0
    overloads: int = 0
    latencies_ms: list[float] = field(default_factory=list, repr=False)

    @property
    def broken_unexpectedly(self) -> int:
        """Flows broken neither by an evacuation nor by a restart without notice."""
        return self.broken_flows - self.broken_in_evacuation - self.broken_by_restart


def read_record(caller_paths: Iterable[Path], backend_paths: Iterable[Path]) -> Record:
    """Read the event files of callers and backend servers."""
    return Record(_read_all(caller_paths), _read_all(backend_paths))


def compare(record: Record, changes: Changes) -> Figures:
    """Compare the events of callers with those of backend servers.

    Raises
    ------
    ValueError
        If the time of a change is outside the recording, as it is when it was read from
        another clock.
    """
    _check_times(record, changes)
    figures = Figures()
    _count_attempts(record, figures)
    _count_orders(record, figures)
    _count_misrouting(record, figures)
    _count_flows(record, changes, figures)
    _measure_balance(record, changes, figures)
    _measure_evacuations(record, changes, figures)
    _measure_drains(record, changes, figures)
    _measure_cold_starts(record, figures)
    return figures


def _read_all(paths: Iterable[Path]) -> list[Event]:
    events = [event for path in paths for event in read_events(path)]
    return sorted(events, key=lambda event: event.time)


def _check_times(record: Record, changes: Changes) -> None:
    events = [*record.caller_events, *record.backend_events]
    ordered_at = [evacuation.window.start for evacuation in changes.evacuations]
    ordered_at += [drain.ordered_at for drain in changes.drains]
    if changes.steady != Window():
        ordered_at.append(changes.steady.start)
    first = min((event.time for event in events), default=0.0)
    last = max((event.time for event in events), default=math.inf)
    for time in ordered_at:
        if not first <= time <= last:
            raise ValueError(
                f"change at {time} is not within the record's {first} to {last}"
            )


def _count_attempts(record: Record, figures: Figures) -> None:
    outcomes: Counter[Outcome] = Counter()
    for event in record.caller_events:
        if not isinstance(event, Finished):
            continue
        outcomes[Outcome(event.outcome)] += 1
        if event.outcome == Outcome.ANSWERED:
            figures.latencies_ms.append((event.time - event.begun) * 1_000)
    figures.requests = outcomes.total()
    figures.answered = outcomes[Outcome.ANSWERED]
    figures.refused_not_run = outcomes[Outcome.REFUSED]
    figures.lost = outcomes[Outcome.LOST]
    figures.unknown = outcomes[Outcome.UNKNOWN]
    figures.failed = outcomes[Outcome.FAILED]
    figures.retried = outcomes[Outcome.RETRIED]


def _count_orders(record: Record, figures: Figures) -> None:
    runs: Counter[tuple[str, int]] = Counter()
    for event in record.backend_events:
        if isinstance(event, Run) and event.method == ORDER_METHOD:
            runs[event.request, event.attempt] += 1
    figures.doubled = sum(1 for count in runs.values() if count > 1)
    for finished in record.caller_events:
        if not isinstance(finished, Finished) or finished.kind != "basket":
            continue
        ran = runs[finished.request, finished.attempt]
        if finished.outcome == Outcome.REFUSED and ran == 1:
            figures.doubled += 1
        if finished.outcome == Outcome.ANSWERED and not ran:
            figures.lost += 1


def _count_misrouting(record: Record, figures: Figures) -> None:
    for event in [*record.caller_events, *record.backend_events]:
        match event:
            case Crossed():
                figures.crossed += 1
            case WronglyServed() | Misdirected():
                figures.wrong_service += 1


def _count_flows(record: Record, changes: Changes, figures: Figures) -> None:
    restarted = _find_restarted_incarnations(record)
    for event in record.caller_events:
        if isinstance(event, FlowEstablished):
            figures.flows += 1
        if not isinstance(event, FlowBroken):
            continue
        figures.broken_flows += 1
        figures.moved += event.reason == BreakReason.MOVED
        if event.incarnation in restarted:
            figures.broken_by_restart += 1
        elif _is_in_evacuation(event, changes):
            figures.broken_in_evacuation += 1


def _find_restarted_incarnations(record: Record) -> set[str]:
    """Find the incarnations that were replaced other than by an overload crash."""
    current: dict[str, str] = {}
    ended: set[str] = set()
    overloaded: set[str] = set()
    for event in record.backend_events:
        match event:
            case Started():
                ended.add(current.get(event.host, ""))
                current[event.host] = event.incarnation
            case Overloaded():
                overloaded.add(event.incarnation)
    return ended - overloaded


def _is_in_evacuation(event: FlowBroken, changes: Changes) -> bool:
    for evacuation in changes.evacuations:
        if event.host not in evacuation.hosts:
            continue
        # The flow was seen before the data centre's return and broke after the command.
        begins_before = event.last_seen <= evacuation.window.end
        if begins_before and event.time >= evacuation.window.start:
            return True
    return False


def _measure_balance(record: Record, changes: Changes, figures: Figures) -> None:
    services = _list_hosts_by_service(record)
    runs: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for event in record.backend_events:
        match event:
            case Run() if changes.steady.contains(event.time):
                runs[event.host] += 1
            case ObservationStarted() if event.time <= changes.steady.end:
                held[event.host] += 1
            case ObservationEnded() if event.time <= changes.steady.end:
                held[event.host] -= 1
    for hosts in services.values():
        figures.imbalance = max(figures.imbalance, _compute_imbalance(runs, hosts))
        figures.flow_imbalance = max(
            figures.flow_imbalance, _compute_imbalance(held, hosts)
        )


def _list_hosts_by_service(record: Record) -> dict[tuple[str, ...], set[str]]:
    services: dict[tuple[str, ...], set[str]] = defaultdict(set)
    for event in record.backend_events:
        if isinstance(event, Started):
            services[tuple(event.services)].add(event.host)
    return services


def _compute_imbalance(counts: Counter[str], hosts: set[str]) -> float:
    total = sum(counts[host] for host in hosts)
    if not total:
        return 0.0
    return max(counts[host] for host in hosts) * len(hosts) / total


def _measure_evacuations(record: Record, changes: Changes, figures: Figures) -> None:
    for evacuation in changes.evacuations:
        _measure_packets(record, evacuation, figures)
        _measure_return(record, evacuation, figures)
        _count_in_evacuation(record, evacuation, figures)


def _measure_packets(record: Record, evacuation: Evacuation, figures: Figures) -> None:
    for event in record.backend_events:
        if not isinstance(event, PacketsReceived):
            continue
        if event.host in evacuation.hosts and evacuation.window.contains(event.last):
            after_s = event.last - evacuation.window.start
            figures.last_packet_after_evacuation_s = max(
                figures.last_packet_after_evacuation_s, after_s
            )


def _measure_return(record: Record, evacuation: Evacuation, figures: Figures) -> None:
    returned_at = evacuation.window.end
    runs = [
        event.time - returned_at
        for event in record.backend_events
        if isinstance(event, Run)
        and event.host in evacuation.hosts
        and event.time > returned_at
    ]
    first_s = min(runs, default=math.inf)
    figures.first_run_after_return_s = max(figures.first_run_after_return_s, first_s)


def _count_in_evacuation(
    record: Record, evacuation: Evacuation, figures: Figures
) -> None:
    for event in record.caller_events:
        if not isinstance(event, Finished) or not evacuation.window.contains(
            event.begun
        ):
            continue
        figures.requests_in_evacuation += 1
        figures.answered_in_evacuation += event.outcome == Outcome.ANSWERED


def _measure_drains(record: Record, changes: Changes, figures: Figures) -> None:
    for drain in changes.drains:
        seen: set[str] = set()
        for event in record.backend_events:
            if not isinstance(event, Run) or event.host != drain.host:
                continue
            is_new = event.endpoint not in seen
            seen.add(event.endpoint)
            if is_new and event.time > drain.ordered_at:
                figures.last_new_flow_after_drain_s = max(
                    figures.last_new_flow_after_drain_s, event.time - drain.ordered_at
                )


def _measure_cold_starts(record: Record, figures: Figures) -> None:
    for event in record.backend_events:
        match event:
            case ColdWork():
                share = event.in_flight / event.bears
                figures.cold_peak = max(figures.cold_peak, share)
            case Overloaded():
                figures.overloads += 1


__all__ = [
    "Changes",
    "Drain",
    "Figures",
    "Record",
    "Evacuation",
    "Window",
    "compare",
    "read_record",
]
