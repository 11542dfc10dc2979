"""Reports how fast services burn their error budgets, by the counts of daemons."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..report import BurnPage, parse_page
from .daemons import fetch_pages
from .outcome import ExitCode, Fault, Output, Table

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from ..report.assessment import Assessment
    from .outcome import Outcome


def report_burn(
    daemons: Sequence[str], services: Sequence[str] = (), html: Path | None = None
) -> Outcome:
    """Report how fast services burned their error budgets over the last hour.

    Parameters
    ----------
    daemons : sequence of str
        Status addresses of the daemons to query.
    services : sequence of str
        Services to report, or empty for all.
    html : Path or None
        File to write the HTML page to, or None if no page is wanted.

    Returns
    -------
    Outcome
        The tables of the report, or a fault.
    """
    answers = asyncio.run(fetch_pages(daemons, "/burn"))
    pages, warnings = _parse_pages(answers)
    if not pages:
        return Failure(Fault(ExitCode.UNAVAILABLE, ("no daemon answered", *warnings)))
    warnings.extend(_list_dropped_slots(pages))
    return _report(pages, warnings, services, html)


def _report(
    pages: Sequence[BurnPage],
    warnings: list[str],
    services: Sequence[str],
    html: Path | None,
) -> Outcome:
    from ..report.assessment import assess_pages
    from ..report.summary import build_json_object

    now_s = time.time()
    assessments = [
        assessment
        for assessment in assess_pages(pages, now_s)
        if not services or assessment.burn.service in services
    ]
    missing = set(services) - {assessment.burn.service for assessment in assessments}
    if missing:
        line = f"no daemon reports {', '.join(sorted(missing))}"
        return Failure(Fault(ExitCode.MISSING, (line,)))
    lines = [f"warning: {text}" for text in warnings]
    if html is not None:
        from ..report.page import render_page

        try:
            html.write_text(render_page(assessments, now_s, warnings), encoding="utf-8")
        except OSError as error:
            line = f"{html}: {error.strerror or error}"
            return Failure(Fault(ExitCode.USAGE, (line,)))
        lines.append(f"the page was written to {html}")
    value = {
        "now_s": now_s,
        "warnings": warnings,
        "services": [build_json_object(assessment) for assessment in assessments],
    }
    return Success(Output(value, _build_tables(assessments), tuple(lines)))


def _build_tables(assessments: Sequence[Assessment]) -> tuple[Table, ...]:
    from ..report.summary import (
        BURN_COLUMNS,
        OUTCOME_COLUMNS,
        build_burn_row,
        build_outcome_row,
    )

    burn_rows = tuple(build_burn_row(assessment) for assessment in assessments)
    outcome_rows = tuple(build_outcome_row(assessment) for assessment in assessments)
    return (
        Table(BURN_COLUMNS, burn_rows, "burn"),
        Table(OUTCOME_COLUMNS, outcome_rows, "outcomes in the last hour"),
    )


def _parse_pages(
    answers: dict[str, Result[dict[str, Any], str]],
) -> tuple[list[BurnPage], list[str]]:
    pages: list[BurnPage] = []
    warnings: list[str] = []
    for address, answer in answers.items():
        match answer.map(parse_page):
            case Success(Success(BurnPage() as page)):
                pages.append(page)
            case Success(Failure(problems)):
                warnings.append(f"{address} served an invalid page: {problems[0]}")
            case Failure(text):
                warnings.append(f"{address} is left out: {text}")
    return pages, warnings


def _list_dropped_slots(pages: Sequence[BurnPage]) -> list[str]:
    return [
        f"{page.daemon} dropped {page.dropped_slots} slots of 10 s to limit memory"
        for page in pages
        if page.dropped_slots
    ]


__all__ = ["report_burn"]
