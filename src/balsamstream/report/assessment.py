"""Assesses each service by the counts of all daemons."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from .burn import HISTORY_S, LATENCY_BOUNDS_MS, SLOT_S, BurnSlot, ServiceBurn

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .burn import BurnPage, HostLoad

SHORT_WINDOW_S: Final = 300
LONG_WINDOW_S: Final = HISTORY_S
# Spends 2% of a 30-day error budget within one hour.
FAST_RATE: Final = 14.4


class BurnState(enum.Enum):
    """How fast a service spends its error budget."""

    QUIET = "no requests"
    GOOD = "within budget"
    SLOW = "over budget"
    FAST = "burning fast"


@dataclass(frozen=True, slots=True)
class Assessment:
    """How well one service met its objectives over the last hour.

    Attributes
    ----------
    burn : ServiceBurn
        Merged counts of all daemons.
    total : BurnSlot
        Sum of the counts over the hour.
    short_rate, long_rate : float or None
        Burn rates over 5 minutes and over the hour, or None without requests. A
        rate of 1 spends exactly the error budget.
    budget_left : float or None
        Share of the hour's error budget that is left, or None without requests;
        negative when overspent.
    flow_imbalance, work_imbalance : float or None
        Maximum over mean of the hosts' open flows and of their requests in flight,
        for each slot of a host, or None without flows or requests.
    median_ms, tail_ms : float or None
        Upper bounds of the median and the 99th percentile of the latency, in
        milliseconds, or None without answers; infinite above the last bound.
    state : BurnState
        How fast the error budget is spent.
    """

    burn: ServiceBurn
    total: BurnSlot
    short_rate: float | None
    long_rate: float | None
    budget_left: float | None
    flow_imbalance: float | None
    work_imbalance: float | None
    median_ms: float | None
    tail_ms: float | None
    state: BurnState


def assess_pages(pages: Iterable[BurnPage], now_s: float) -> list[Assessment]:
    """Assess every service that occurs in the pages.

    Parameters
    ----------
    pages : iterable of BurnPage
        One page of each daemon.
    now_s : float
        End of the windows, in seconds of Unix time.

    Returns
    -------
    list of Assessment
        The services by burn rate over the hour, highest first.
    """
    found = [assess_service(burn, now_s) for burn in merge_pages(pages)]
    found.sort(key=lambda item: (-(item.long_rate or 0.0), item.burn.service))
    return found


def assess_service(burn: ServiceBurn, now_s: float) -> Assessment:
    """Assess one service over the hour up to `now_s`."""
    recent = [s for s in burn.slots if now_s - LONG_WINDOW_S < s.start_s <= now_s]
    burn = replace(burn, slots=tuple(recent))
    total = add_slots(recent)
    latest = [s for s in recent if s.start_s > now_s - SHORT_WINDOW_S - SLOT_S]
    short_rate = compute_burn_rate(add_slots(latest), burn.availability)
    long_rate = compute_burn_rate(total, burn.availability)
    return Assessment(
        burn,
        total,
        short_rate,
        long_rate,
        None if long_rate is None else 1.0 - long_rate,
        _compute_imbalance([(host.flows, host.slots) for host in burn.hosts]),
        _compute_imbalance([(host.in_flight, host.slots) for host in burn.hosts]),
        _compute_latency_bound(total, 0.5),
        _compute_latency_bound(total, 0.99),
        _classify_burn(short_rate, long_rate),
    )


def merge_pages(pages: Iterable[BurnPage]) -> list[ServiceBurn]:
    """Merge the pages of all daemons into one entry for each service."""
    parts: dict[str, list[ServiceBurn]] = defaultdict(list)
    for page in pages:
        for burn in page.services:
            parts[burn.service].append(burn)
    return [_merge_service(parts[service]) for service in sorted(parts)]


def add_slots(slots: Sequence[BurnSlot], start_s: int = 0) -> BurnSlot:
    """Add up the counts of time slots in one slot that starts at `start_s`."""
    columns = list(zip(*(slot.latency for slot in slots)))
    latency = tuple(sum(column) for column in columns)
    return BurnSlot(
        start_s,
        sum(slot.answered for slot in slots),
        sum(slot.in_time for slot in slots),
        sum(slot.refused_not_run for slot in slots),
        sum(slot.may_have_run for slot in slots),
        sum(slot.broken_flows for slot in slots),
        latency or BurnSlot(0).latency,
    )


def compute_burn_rate(total: BurnSlot, availability: float) -> float | None:
    """Compute how many times the error budget was spent, or None without requests."""
    if total.requests == 0:
        return None
    return total.bad / total.requests / (1.0 - availability)


def _merge_service(parts: Sequence[ServiceBurn]) -> ServiceBurn:
    by_start: dict[int, list[BurnSlot]] = defaultdict(list)
    hosts: dict[str, HostLoad] = {}
    for part in parts:
        hosts.update((host.name, host) for host in part.hosts)
        for slot in part.slots:
            by_start[slot.start_s].append(slot)
    slots = tuple(add_slots(by_start[start], start) for start in sorted(by_start))
    # A daemon that has not received the profile yet reports default objectives.
    with_profile = next((part for part in parts if part.profile), parts[0])
    ordered = tuple(hosts[name] for name in sorted(hosts))
    return replace(with_profile, slots=slots, hosts=ordered)


def _compute_imbalance(loads: Sequence[tuple[int, int]]) -> float | None:
    with_slots = [(load, slots) for load, slots in loads if slots > 0]
    total = sum(load for load, _ in with_slots)
    if total == 0:
        return None
    mean = total / sum(slots for _, slots in with_slots)
    return max(load / slots for load, slots in with_slots) / mean


def _compute_latency_bound(total: BurnSlot, share: float) -> float | None:
    wanted = share * sum(total.latency)
    if wanted == 0:
        return None
    count = 0
    for bound_ms, answers in zip((*LATENCY_BOUNDS_MS, float("inf")), total.latency):
        count += answers
        if count >= wanted:
            return float(bound_ms)
    return None


def _classify_burn(short_rate: float | None, long_rate: float | None) -> BurnState:
    if long_rate is None:
        return BurnState.QUIET
    if long_rate >= FAST_RATE and (short_rate or 0.0) >= FAST_RATE:
        return BurnState.FAST
    if long_rate > 1.0:
        return BurnState.SLOW
    return BurnState.GOOD


__all__ = [
    "FAST_RATE",
    "LONG_WINDOW_S",
    "SHORT_WINDOW_S",
    "Assessment",
    "BurnState",
    "add_slots",
    "assess_pages",
    "assess_service",
    "compute_burn_rate",
    "merge_pages",
]
