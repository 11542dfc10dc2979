"""Renders the report as a self-contained HTML page."""

from __future__ import annotations

import base64
import datetime
from html import escape
from typing import TYPE_CHECKING, Final

from .plot import draw_service
from .summary import BURN_COLUMNS, build_burn_row, build_outcome_row

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .assessment import Assessment, BurnState

MAX_PLOTS: Final = 20
STATE_COLUMN: Final = BURN_COLUMNS.index("state")

STYLE: Final = """
body { font: 15px/1.45 system-ui, sans-serif; color: #222; margin: 2rem auto;
  max-width: 76rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
h2 { font-size: 1.15rem; margin: 2.2rem 0 .3rem; }
p { margin: .3rem 0; max-width: 60rem; }
.note { color: #666; }
.warning { color: #9a3412; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; margin: 1rem 0; font-size: .92rem; }
th, td { padding: .3rem .6rem; text-align: right; border-bottom: 1px solid #ddd;
  white-space: nowrap; }
th { vertical-align: bottom; font-weight: 600; }
th:nth-child(-n+4), td:nth-child(-n+4) { text-align: left; }
.state { border-radius: .6rem; padding: .05rem .55rem; font-size: .85rem; }
.good { background: #d8f0e0; color: #14532d; }
.slow { background: #fdf0c4; color: #713f12; }
.fast { background: #fbd5d5; color: #7f1d1d; }
.quiet { background: #eee; color: #555; }
img { width: 100%; height: auto; }
"""

HEADINGS: Final = (
    "Service",
    "Profile",
    "Objective",
    "State",
    "Budget left",
    "Burn<br>5 min",
    "Burn<br>1 h",
    "Requests",
    "Late",
    "Refused,<br>not run",
    "May have<br>run",
    "Broken<br>flows",
    "Median",
    "99%",
    "Flows<br>peak/mean",
    "In flight<br>peak/mean",
)

EXPLANATION: Final = """
<p class="note">A request is good when it was answered within the objective's
latency; late answers, refusals and requests that may have run spend the error
budget. A burn rate of 1x spends exactly the budget of its window; 14.4x over the
hour spends 2% of the budget of 30 days. Budget left is the share of this hour's
budget. Latencies are upper bounds. Peak/mean compares hosts by what each holds
for one of its slots; 1.00 is even.</p>
"""


def render_page(
    assessments: Sequence[Assessment], now_s: float, warnings: Sequence[str] = ()
) -> str:
    """Render the page.

    Parameters
    ----------
    assessments : sequence of Assessment
        The services, highest burn rate first; only the first `MAX_PLOTS` get plots.
    now_s : float
        End of the reported hour, in seconds of Unix time.
    warnings : sequence of str
        Reasons why the report is incomplete.

    Returns
    -------
    str
        The HTML text.
    """
    moment = datetime.datetime.fromtimestamp(now_s, datetime.UTC)
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        "<meta name='viewport' content='width=device-width'>",
        f"<title>balsamstream: service-level burn</title><style>{STYLE}</style>",
        "</head><body><h1>Service-level burn</h1>",
        f"<p class='note'>The hour up to {moment:%Y-%m-%d %H:%M:%S} UTC</p>",
        *(f"<p class='warning'>{escape(text)}</p>" for text in warnings),
        _build_table(assessments),
        EXPLANATION,
        *(_build_section(assessment, now_s) for assessment in assessments[:MAX_PLOTS]),
        _build_omitted_note(assessments),
        "</body></html>",
    ]
    return "\n".join(part for part in parts if part)


def _build_table(assessments: Sequence[Assessment]) -> str:
    head = "".join(f"<th>{name}</th>" for name in HEADINGS)
    rows = "\n".join(_build_row(assessment) for assessment in assessments)
    if not assessments:
        rows = f"<tr><td colspan='{len(HEADINGS)}'>No service was seen.</td></tr>"
    table = f"<table><thead><tr>{head}</tr></thead><tbody>{rows}</tbody></table>"
    return f"<div class='scroll'>{table}</div>"


def _build_row(assessment: Assessment) -> str:
    cells = [escape(cell) for cell in build_burn_row(assessment)]
    cells[STATE_COLUMN] = _build_state(assessment.state)
    # Both rows start with the service.
    cells.extend(escape(cell) for cell in build_outcome_row(assessment)[1:])
    return f"<tr>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"


def _build_state(state: BurnState) -> str:
    return f"<span class='state {state.name.lower()}'>{escape(state.value)}</span>"


def _build_section(assessment: Assessment, now_s: float) -> str:
    heading = (
        f"<h2>{escape(assessment.burn.service)} {_build_state(assessment.state)}</h2>"
    )
    if not assessment.total.requests and not assessment.burn.hosts:
        return f"{heading}<p>Nothing was counted in this hour.</p>"
    image = base64.b64encode(draw_service(assessment, now_s)).decode("ascii")
    name = escape(assessment.burn.service, quote=True)
    alternative = f"burn rate, requests by outcome and flows by host of {name}"
    source = f"data:image/svg+xml;base64,{image}"
    return f'{heading}<img alt="{alternative}" src="{source}">'


def _build_omitted_note(assessments: Sequence[Assessment]) -> str:
    omitted = len(assessments) - MAX_PLOTS
    if omitted <= 0:
        return ""
    return f"<p class='note'>{omitted} services that burn less have no plots.</p>"


__all__ = ["render_page"]
