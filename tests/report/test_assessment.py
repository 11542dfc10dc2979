"""Burn rates, error budgets and imbalance are computed from the counts."""

from __future__ import annotations

import math

import pytest

from balsamstream.config import Objectives
from balsamstream.report import BurnPage, BurnRecord, HostLoad
from balsamstream.report.assessment import Assessment, BurnState, assess_pages
from balsamstream.report.page import render_page
from balsamstream.report.plot import draw_service
from balsamstream.report.summary import build_json_object

NOW_S = 1_800_000_000.0
PNG_START = b"\x89PNG"


def make_page(daemon: str, *, good: int, bad: int, age_s: float = 60) -> BurnPage:
    record = BurnRecord(daemon, "medina")
    record.set_objectives("comptoir", "counter", Objectives(0.99, 100))
    for _ in range(good):
        record.count_answer("comptoir", 0.015, NOW_S - age_s)
    for _ in range(bad):
        record.count_refused_not_run("comptoir", NOW_S - age_s)
    return record.build_page(NOW_S)


def assess(*pages: BurnPage) -> Assessment:
    (item,) = assess_pages(pages, NOW_S)
    return item


def test_burn_rate_is_the_spent_share_of_the_error_budget() -> None:
    item = assess(make_page("a", good=199, bad=1), make_page("b", good=199, bad=1))
    assert item.long_rate == pytest.approx(0.5)
    assert item.short_rate == pytest.approx(0.5)
    assert item.budget_left == pytest.approx(0.5)
    assert (item.total.requests, item.state) == (400, BurnState.GOOD)
    assert (item.median_ms, item.tail_ms) == (20, 20)


@pytest.mark.parametrize(
    ("bad", "age_s", "state"),
    [
        (0, 60, BurnState.GOOD),
        (2, 60, BurnState.SLOW),
        (50, 60, BurnState.FAST),
        (50, 1_800, BurnState.SLOW),
        (50, 4_000, BurnState.QUIET),
    ],
)
def test_state_is_fast_only_if_both_windows_are(
    bad: int, age_s: float, state: BurnState
) -> None:
    assert assess(make_page("a", good=100, bad=bad, age_s=age_s)).state is state


def test_imbalance_is_weighted_by_slots() -> None:
    record = BurnRecord("a", "medina")
    hosts = [HostLoad("a", 2, 200, 0), HostLoad("b", 4, 400, 0), HostLoad("c", 0, 0, 0)]
    record.set_hosts("comptoir", hosts)
    even = assess(record.build_page(NOW_S))
    assert (even.flow_imbalance, even.work_imbalance) == (1.0, None)
    record.set_hosts("comptoir", [HostLoad("a", 1, 300, 3), HostLoad("b", 1, 100, 1)])
    assert assess(record.build_page(NOW_S)).flow_imbalance == pytest.approx(1.5)


def test_infinite_latency_bound_is_null_in_json() -> None:
    record = BurnRecord("a", "medina")
    record.count_answer("comptoir", 60.0, NOW_S)
    item = assess(record.build_page(NOW_S))
    assert item.median_ms == math.inf
    assert build_json_object(item)["median_ms"] is None


def test_page_shows_every_service_and_escapes_names() -> None:
    record = BurnRecord("a", "medina")
    record.count_answer("<b>comptoir", 0.01, NOW_S)
    record.set_hosts("<b>comptoir", [HostLoad("h$1$", 2, 9, 1)])
    record.set_hosts("quiet", [])
    items = assess_pages([record.build_page(NOW_S)], NOW_S)
    text = render_page(items, NOW_S, ["daemon <x> is left out"])
    assert "<b>comptoir" not in text
    assert text.count("&lt;b&gt;comptoir") == 3
    assert "daemon &lt;x&gt; is left out" in text
    assert text.count("data:image/svg+xml;base64,") == 1
    assert draw_service(items[0], NOW_S, "png").startswith(PNG_START)
    assert "No service was seen" in render_page([], NOW_S)
