"""Regression seeds of the soak, and tests of its plans and checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.faults import FAULTS, LOAD_FAULTS, Fault, draw_plan
from soak.guarantees import FaultRecord, Span, check_host, check_outcome
from soak.run import (
    DURATION_S,
    FAULTS_PER_SEED,
    draw_faults,
    draw_load_settings,
    run_seed,
)
from standins.flow_host import ACK, SYN, FlowHost, Packet, build_failure, decode
from standins.flow_site import VM, FlowSite, RequestOutcome, SocketHost

if TYPE_CHECKING:
    from pathlib import Path

REGRESSION_SEEDS = {
    3: "a store connection that was lost at once ended the task that watches the store",
    4: "the same fault, at another node",
}


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_seed_violates_no_guarantee(seed: int, tmp_path: Path) -> None:
    plan = draw_plan(seed, DURATION_S, FAULTS_PER_SEED)
    result = asyncio.run(run_seed(seed, tmp_path, 30 + seed, plan, {}))
    assert result.violations == []
    assert result.answered >= 0.5 * result.requests


@pytest.mark.parametrize("kind", LOAD_FAULTS)
def test_load_fault_alone_violates_no_guarantee(kind: str, tmp_path: Path) -> None:
    """Guards against decisions under load that break a guarantee by themselves."""
    network = 40 + sorted(LOAD_FAULTS).index(kind)
    load = {"admission": "deadline", "placement": "delay", "outliers": True}
    plan = [Fault(0.5, kind, 0.3, 2.5)]
    result = asyncio.run(run_seed(1, tmp_path, network, plan, load))
    assert result.violations == []
    assert result.answered >= 0.5 * result.requests
    assert (result.failed > 0) == (kind == "fail_requests")
    # Without additional callers there are about 70 requests.
    sends_more = kind in ("send_burst", "add_greedy_caller")
    assert (result.requests > 300) == sends_more


def test_plan_depends_only_on_the_seed() -> None:
    assert draw_plan(7, DURATION_S, 6) == draw_plan(7, DURATION_S, 6)
    assert draw_plan(7, DURATION_S, 6) != draw_plan(8, DURATION_S, 6)
    kinds = {fault.kind for seed in range(60) for fault in draw_plan(seed, 10.0, 6)}
    assert kinds == set(FAULTS)


def test_load_faults_are_drawn_beside_the_others_of_a_seed() -> None:
    """Guards against regression seeds whose plans change with a new kind of fault."""
    plan = draw_plan(7, DURATION_S, FAULTS_PER_SEED)
    drawn = draw_faults(7)
    assert [fault for fault in drawn if fault.kind in FAULTS] == plan
    kinds = {fault.kind for seed in range(60) for fault in draw_faults(seed)}
    assert kinds == set(FAULTS) | set(LOAD_FAULTS)


def test_load_settings_are_drawn_on_and_off() -> None:
    """Guards against a soak that never runs with a decision, or never without it."""
    drawn = [draw_load_settings(seed) for seed in range(30)]
    assert drawn[3] == draw_load_settings(3)
    for name in ("admission", "placement", "outliers"):
        assert len({settings[name] for settings in drawn}) == 2


def test_host_answers_all_copies_of_a_failed_request_alike() -> None:
    """Guards against a host that fails a request and answers its copy, or runs both."""
    host = FlowHost(5, fails=True)
    source, target = (1, 1_024), (2, 443)
    host.handle_packet(Packet(source, target, SYN, 7).encode())
    request = Packet(source, target, ACK, 8, 6, b"3-1".ljust(64, b"."))
    answers = host.handle_packet(request.encode())
    host.fails = False
    answers += host.handle_packet(request.encode())
    assert [decode(each).data for each in answers] == [build_failure(request.data)] * 2
    assert host.run_requests == [request.data]
    assert host.failed_requests == {request.data}


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
