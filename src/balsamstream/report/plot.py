"""Plots of one service; matplotlib is imported only when a plot is drawn."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING, Any, Final

from .assessment import FAST_RATE, SHORT_WINDOW_S, add_slots, compute_burn_rate
from .burn import HISTORY_S, SLOT_S

if TYPE_CHECKING:
    from .assessment import Assessment
    from .burn import BurnSlot

BIN_S: Final = 60
MAX_HOSTS: Final = 24
MIN_ROWS: Final = 5
IN_TIME_COLOUR: Final = "#4c956c"
LATE_COLOUR: Final = "#e9c46a"
REFUSED_COLOUR: Final = "#457b9d"
UNKNOWN_COLOUR: Final = "#c1121f"
LINE_COLOUR: Final = "#222222"
GUIDE_COLOUR: Final = "#888888"


def draw_service(
    assessment: Assessment, now_s: float, image_format: str = "svg"
) -> bytes:
    """Draw a service's burn rate, its requests by outcome and the load of its hosts.

    Parameters
    ----------
    assessment : Assessment
        The service.
    now_s : float
        Right end of the time axis, in seconds of Unix time.
    image_format : str
        ``svg`` or ``png``.

    Returns
    -------
    bytes
        The image.
    """
    from matplotlib import rc_context
    from matplotlib.figure import Figure

    style = {
        "font.size": 9,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "svg.fonttype": "none",
        "svg.hashsalt": assessment.burn.service,
    }
    with rc_context(style):
        figure = Figure(figsize=(11.0, 3.2), layout="constrained")
        axes = figure.subplots(1, 3, width_ratios=(1.2, 1.2, 1.0))
        _draw_rates(axes[0], assessment, now_s)
        _draw_requests(axes[1], assessment, now_s)
        _draw_hosts(axes[2], assessment)
        image = io.BytesIO()
        metadata = {"Date": None} if image_format == "svg" else None
        figure.savefig(image, format=image_format, dpi=110, metadata=metadata)
    return image.getvalue()


def _draw_rates(axis: Any, assessment: Assessment, now_s: float) -> None:  # noqa: ANN401
    slots = assessment.burn.slots
    minutes: list[float] = []
    rates: list[float] = []
    for end_s in range(int(now_s) - HISTORY_S + BIN_S, int(now_s) + 1, SLOT_S):
        recent = [
            slot
            for slot in slots
            if end_s - SHORT_WINDOW_S < slot.start_s + SLOT_S <= end_s + SLOT_S
        ]
        rate = compute_burn_rate(add_slots(recent), assessment.burn.availability)
        minutes.append((end_s - now_s) / BIN_S)
        rates.append(float("nan") if rate is None else rate)
    axis.plot(minutes, rates, color=LINE_COLOUR, linewidth=1.5)
    if assessment.short_rate is not None:
        # A newly started service has no line yet, only this point.
        axis.plot([0], [assessment.short_rate], "o", color=LINE_COLOUR, clip_on=False)
    axis.axhline(1.0, color=GUIDE_COLOUR, linestyle="--", linewidth=1)
    axis.axhline(FAST_RATE, color=UNKNOWN_COLOUR, linestyle=":", linewidth=1)
    # Linear up to a rate of 1: a logarithmic axis would magnify rates far below it.
    axis.set_yscale("symlog", linthresh=1.0)
    known = [rate for rate in [*rates, assessment.short_rate or 0.0] if rate == rate]
    top = max([FAST_RATE * 2, *known]) * 1.2
    axis.set_ylim(0, top)
    ticks = [tick for tick in (0, 1, 10, 100, 1_000, 10_000) if tick <= top]
    axis.set_yticks(ticks, [f"{tick:,}x" for tick in ticks])
    axis.minorticks_off()
    _label_line(axis, 1.0, "budget", GUIDE_COLOUR)
    _label_line(axis, FAST_RATE, "fast", UNKNOWN_COLOUR)
    axis.set_title("Burn rate, 5 min window", loc="left")
    _set_time_axis(axis)


def _label_line(axis: Any, rate: float, text: str, colour: str) -> None:  # noqa: ANN401
    backing = {"facecolor": "white", "edgecolor": "none", "pad": 0.8, "alpha": 0.85}
    axis.text(
        -59, rate, text, va="center", color=colour, fontsize=8, bbox=backing, zorder=5
    )


def _draw_requests(axis: Any, assessment: Assessment, now_s: float) -> None:  # noqa: ANN401
    bins = _bin_slots(assessment.burn.slots, now_s)
    positions = [position + 0.5 for position in range(-HISTORY_S // BIN_S, 0)]
    parts = (
        ("in time", IN_TIME_COLOUR, [part.in_time for part in bins]),
        ("late", LATE_COLOUR, [part.answered - part.in_time for part in bins]),
        ("refused, not run", REFUSED_COLOUR, [part.refused_not_run for part in bins]),
        ("may have run", UNKNOWN_COLOUR, [part.may_have_run for part in bins]),
    )
    base = [0] * len(bins)
    for name, colour, counts in parts:
        axis.bar(positions, counts, 0.9, bottom=base, color=colour, label=name)
        base = [below + count for below, count in zip(base, counts)]
    axis.set_ylim(0, max([*base, 1]) * 1.35)
    axis.yaxis.get_major_locator().set_params(integer=True)
    axis.set_title("Requests a minute, by outcome", loc="left")
    axis.legend(ncols=2, fontsize=7, frameon=False, loc="upper left")
    _set_time_axis(axis)


def _draw_hosts(axis: Any, assessment: Assessment) -> None:  # noqa: ANN401
    axis.set_title("Open flows for each slot, by host", loc="left")
    loads = [
        (host.flows / host.slots, host.name)
        for host in assessment.burn.hosts
        if host.slots
    ]
    if not loads:
        axis.set_axis_off()
        axis.text(0.5, 0.5, "no agent was asked", ha="center", color=GUIDE_COLOUR)
        return
    hosts = [host for host in assessment.burn.hosts if host.slots]
    mean = sum(host.flows for host in hosts) / sum(host.slots for host in hosts)
    shown = sorted(loads)[-MAX_HOSTS:]
    if len(shown) < len(loads):
        axis.set_xlabel(f"the {len(shown)} fullest of {len(loads)} hosts")
    axis.barh([name for _, name in shown], [load for load, _ in shown], color="#8fb8a0")
    axis.axvline(mean, color=GUIDE_COLOUR, linestyle="--", linewidth=1)
    axis.annotate(
        f"mean {mean:.4g}",
        (mean, 1.0),
        xycoords=("data", "axes fraction"),
        xytext=(3, -1),
        textcoords="offset points",
        va="top",
        fontsize=8,
        color=LINE_COLOUR,
    )
    axis.tick_params(axis="y", labelsize=8 if len(shown) <= 12 else 6)
    # Keeps the bars at the usual height when there are few hosts.
    lowest = len(shown) - max(len(shown), MIN_ROWS)
    axis.set_ylim(lowest - 0.7, len(shown) - 0.3)


def _bin_slots(slots: tuple[BurnSlot, ...], now_s: float) -> list[BurnSlot]:
    count = HISTORY_S // BIN_S
    bins: list[list[BurnSlot]] = [[] for _ in range(count)]
    for slot in slots:
        age = int((now_s - slot.start_s) // BIN_S)
        if 0 <= age < count:
            bins[count - 1 - age].append(slot)
    return [add_slots(part) for part in bins]


def _set_time_axis(axis: Any) -> None:  # noqa: ANN401
    axis.set_xlim(-HISTORY_S / BIN_S, 0)
    axis.set_xticks([-60, -45, -30, -15, 0])
    axis.set_xlabel("minutes ago")
    axis.set_xticklabels(["60", "45", "30", "15", "now"])


__all__ = ["draw_service"]
