"""Regression seeds of the soak, and tests of its plans and checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.faults import FAULTS, draw_plan
from soak.guarantees import FaultRecord, Span, check_host, check_outcome
from soak.run import DURATION_S, run_seed
from standins.flow_site import VM, FlowSite, RequestOutcome, SocketHost

if TYPE_CHECKING:
    from pathlib import Path

REGRESSION_SEEDS = {
    3: "a store connection that was lost at once ended the task that watches the store",
    4: "the same fault, at another node",
}


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_seed_violates_no_guarantee(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(run_seed(seed, tmp_path, 30 + seed))
    assert result.violations == []
    assert result.answered >= 0.5 * result.requests


def test_plan_depends_only_on_the_seed() -> None:
    assert draw_plan(7, DURATION_S, 6) == draw_plan(7, DURATION_S, 6)
    assert draw_plan(7, DURATION_S, 6) != draw_plan(8, DURATION_S, 6)
    kinds = {fault.kind for seed in range(60) for fault in draw_plan(seed, 10.0, 6)}
    assert kinds == set(FAULTS)


@pytest.fixture
def host(tmp_path: Path) -> SocketHost:
    vm = VM("gate-1", "gate", "127.0.0.1", "medina", "comptoir")
    return SocketHost(FlowSite(tmp_path, 1), vm, 1)


def test_check_reports_flows_that_violate_guarantees(
    host: SocketHost,
) -> None:
    record = FaultRecord(evacuated={"medina": [Span(10.0, 30.0)]})
    host.drained_at = 40.0
    host.opened_flows = [(12.0, "comptoir"), (16.0, "comptoir"), (44.0, "etiquettes")]
    violations = [text.split(":")[0] for text in check_host(host, record)]
    assert violations == ["EVAC", "ROUTE", "DRAIN"]


def test_check_exempts_a_vm_that_was_down(host: SocketHost) -> None:
    record = FaultRecord({"gate-1": [Span(14.0, 15.5)]}, {"medina": [Span(10.0, 30.0)]})
    host.opened_flows = [(16.0, "comptoir")]
    assert check_host(host, record) == []


def test_check_reports_the_reset_of_an_open_flow(host: SocketHost) -> None:
    outcome = RequestOutcome(
        5, was_reset=True, was_open=True, ended_at=20.0, took_s=1.0
    )
    assert check_outcome(outcome, b"", host, FaultRecord())[0].startswith("FLOW")
    assert check_outcome(outcome, b"", None, FaultRecord()) == []
    short = FaultRecord({"gate-1": [Span(18.0, 19.0)]})
    assert check_outcome(outcome, b"", host, short)[0].startswith("FLOW")
    long = FaultRecord({"gate-1": [Span(15.0, 19.0)]})
    assert check_outcome(outcome, b"", host, long) == []


def test_check_reports_the_answer_to_another_request(host: SocketHost) -> None:
    outcome = RequestOutcome(5, answer=b"answer 1", was_open=True)
    assert check_outcome(outcome, b"answer 2", host, FaultRecord())[0].startswith(
        "MIXED"
    )
