"""Results of the demo, as a table and as one line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rich.table import Table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins.record import Figures

MAX_AFTER_ORDER_S: Final = 5.0
MAX_IN_FORCE_S: Final = 6.0
MET_TEXTS: Final = {True: "yes", False: "NO", None: ""}


@dataclass(frozen=True, slots=True)
class Row:
    """A guarantee, what was observed, and whether it was met; None if not checked."""

    guarantee: str
    observed: str
    is_met: bool | None


def build_rows(figures: Figures, statuses: Mapping[str, int]) -> list[Row]:
    """Check each guarantee against the figures.

    Parameters
    ----------
    figures : Figures
        Figures computed from the records.
    statuses : mapping of str to int
        Exit status of each daemon that was stopped.

    Returns
    -------
    list of Row
        One row for each guarantee.
    """
    f = figures
    graceful = sum(status == 0 for status in statuses.values())
    after_removal_s = f.last_packet_after_evacuation_s
    after_drain_s = f.last_new_flow_after_drain_s
    return [
        Row(
            "Established flows survive planned changes",
            f"{f.flows} flows, {f.broken_flows} broken: {f.broken_in_evacuation} in "
            f"the removed data centre, {f.broken_by_restart} by the restart, "
            f"{f.broken_unexpectedly} others",
            f.broken_unexpectedly == 0,
        ),
        Row(
            "No packet reaches another service",
            f"{f.wrong_service} misdirected",
            f.wrong_service == 0,
        ),
        Row(
            "Cold hosts get no more than they can sustain",
            f"peak {f.cold_peak:.2f} of the sustainable load, {f.overloads} overloads",
            f.overloads == 0 and f.cold_peak <= 1.0,
        ),
        Row(
            "A removed data centre gets no packets",
            f"last one {after_removal_s:.1f} s after the order",
            after_removal_s <= MAX_AFTER_ORDER_S,
        ),
        Row(
            "Callers get the whole answer to their own request",
            f"{f.answered} answered, {f.crossed} crossed, {f.lost} lost",
            f.crossed == 0 and f.lost == 0,
        ),
        Row(
            "Refused requests were not run; orders run at most once",
            f"{f.refused_not_run} refused, {f.unknown} unknown, {f.doubled} doubled",
            f.doubled == 0,
        ),
        Row(
            "A draining host gets no new work",
            f"last new flow {after_drain_s:.1f} s after the order",
            after_drain_s <= MAX_AFTER_ORDER_S,
        ),
        Row(
            "Planned stops are graceful",
            f"{graceful} of {len(statuses)} daemons ended with status 0",
            graceful == len(statuses),
        ),
        Row(
            "Declared changes are in force within seconds",
            f"removal after {after_removal_s:.1f} s, return after "
            f"{f.first_run_after_return_s:.1f} s",
            max(after_removal_s, f.first_run_after_return_s) <= MAX_IN_FORCE_S,
        ),
        Row(
            "Requests are served while a data centre is out",
            f"{f.answered_in_evacuation} of {f.requests_in_evacuation} answered",
            None,
        ),
        Row(
            "Load is even over the hosts of a service",
            f"peak over mean {f.imbalance:.2f} of requests, "
            f"{f.flow_imbalance:.2f} of boards",
            None,
        ),
    ]


def build_table(figures: Figures, statuses: Mapping[str, int]) -> Table:
    """Build the table of all guarantees."""
    table = Table(title="What callers and backend servers recorded")
    table.add_column("guarantee")
    table.add_column("observed")
    table.add_column("met")
    for row in build_rows(figures, statuses):
        table.add_row(row.guarantee, row.observed, MET_TEXTS[row.is_met])
    return table


def build_line(figures: Figures) -> str:
    """Build the line of figures as key=value pairs."""
    f = figures
    counts = {
        "requests": f.requests,
        "answered": f.answered,
        "refused_not_run": f.refused_not_run,
        "lost": f.lost,
        "doubled": f.doubled,
        "crossed": f.crossed,
        "broken_flows": f.broken_flows,
        "wrong_service": f.wrong_service,
        "imbalance": f"{f.imbalance:.2f}",
        "broken_in_removal": f.broken_in_evacuation,
        "broken_by_restart": f.broken_by_restart,
        "unknown": f.unknown,
        "failed": f.failed,
        "retried": f.retried,
    }
    return " ".join(f"{key}={value}" for key, value in counts.items())


def passes(figures: Figures) -> bool:
    """Return whether the demo succeeded."""
    f = figures
    return not (f.lost or f.doubled or f.crossed or f.wrong_service) and (
        f.broken_unexpectedly == 0
    )


__all__ = ["Row", "build_line", "build_rows", "build_table", "passes"]
