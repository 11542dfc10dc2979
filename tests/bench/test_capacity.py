"""The capacity page follows from the committed slopes."""

from __future__ import annotations

import json

from bench.capacity import PAGE, Line, Slopes, write_table, write_tables
from bench.slopes import SLOPES_FILE


def test_page_holds_the_tables_of_the_committed_slopes() -> None:
    slopes = Slopes(json.loads(SLOPES_FILE.read_text()))
    assert write_tables(slopes) in PAGE.read_text()


def test_line_above_its_limit_is_marked() -> None:
    lines = [
        Line("balancer", "state", 65.0, 64.0, "MB", "table"),
        Line("agent", "state", 64.0, 64.0, "MB", "table"),
    ]
    rows = write_table("Memory", lines).splitlines()
    assert "DOES NOT FIT YET" in rows[-2]
    assert "DOES NOT FIT YET" not in rows[-1]
