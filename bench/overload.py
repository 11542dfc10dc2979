"""Case: answers in time under overload and disturbed hosts, by policy."""

from __future__ import annotations

from collections import defaultdict
from statistics import fmean
from typing import TYPE_CHECKING, Any, Final

from balsamstream.flows.load_policy import LoadPolicy

from .overload_load import LOADS
from .overload_site import Site

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable, Iterator

    from .overload_load import Load, Request

POLICIES: Final = {
    "former": LoadPolicy(),
    "by_deadline": LoadPolicy(by_deadline=True),
    "by_delay": LoadPolicy(by_delay=True),
    "detects_outliers": LoadPolicy(detects_outliers=True),
    "all": LoadPolicy(by_deadline=True, by_delay=True, detects_outliers=True),
}
MIN_REQUESTS: Final = 20
"""Requests below which the share of a caller is not compared."""


def compute_shares(
    requests: Iterable[Request], key: Callable[[Request], Hashable]
) -> dict[Any, float]:
    """Compute the share of requests answered within the objective, by a key."""
    groups: dict[Any, list[bool]] = defaultdict(list)
    for request in requests:
        groups[key(request)].append(request.is_within_objective)
    return {
        name: round(fmean(group), 4)
        for name, group in groups.items()
        if len(group) >= MIN_REQUESTS
    }


def find_worst(shares: dict[Any, float]) -> float | None:
    """Return the lowest share, or None without any."""
    return min(shares.values(), default=None)


def replay(load: Load, policy: LoadPolicy, seed: int) -> dict[str, Any]:
    """Replay a load under a policy; return its figures.

    The worst caller is one of those that send an equal share of the requests; the
    figures name the share of a greedy one by itself.
    """
    site = Site(load, policy, seed)
    requests = load.draw_requests(seed)
    site.play(requests)
    within = sum(request.is_within_objective for request in requests)
    failed = sum(request.answered_s is None for request in requests)
    by_caller = compute_shares(requests, lambda request: request.caller)
    greedy = by_caller.pop(0, None) if load.is_one_greedy else None
    by_data_centre = compute_shares(
        requests, lambda request: site.callers[request.caller].data_centre
    )
    return {
        "requests": len(requests),
        "within": within,
        "late": len(requests) - within - failed,
        "failed": failed,
        "share_by_route": compute_shares(requests, lambda r: r.kind.route.name),
        "worst_data_centre": find_worst(by_data_centre),
        "worst_caller": find_worst(by_caller),
        "greedy_caller": greedy,
        "refusals": site.refusals,
        "refusals_while_idle": site.idle_refusals,
        "shed_by_hosts": site.sheds,
        "run_twice": sum(request.runs > 1 for request in requests),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Replay each load under each policy; a row for each."""
    for load in LOADS:
        for name, policy in POLICIES.items():
            figures = replay(load, policy, seed)
            yield {"case": "overload", "load": load.name, "policy": name, **figures}


__all__ = ["POLICIES", "measure", "replay"]
