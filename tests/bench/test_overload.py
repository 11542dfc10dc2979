"""Replays of overload at a small size: figures add up, and callers follow the rules."""

from __future__ import annotations

import pytest

from balsamstream.flows.load_policy import LoadPolicy
from bench.overload import POLICIES, replay
from bench.overload_caller import Caller, Flow
from bench.overload_load import LOADS, Load, fail_one, flap_hosts, reset_all
from bench.overload_site import Site

SMALL = {"hosts": 4, "fronts": 3, "callers": 6, "length_s": 2.0}


@pytest.mark.parametrize("policy", POLICIES)
def test_figures_of_a_tiny_load_add_up(policy: str) -> None:
    """Guards against requests that no figure counts, and against double runs."""
    figures = replay(Load("tiny", 1.3, **SMALL), POLICIES[policy], 1)
    ended = figures["within"] + figures["late"] + figures["failed"]
    assert ended == figures["requests"] > 100
    assert figures["run_twice"] == 0
    assert figures["refusals"] >= figures["refusals_while_idle"] >= 0
    assert set(figures["share_by_route"]) == {"orders", "reports"}
    mean = figures["within"] / figures["requests"]
    assert figures["worst_data_centre"] <= mean + 1e-4
    assert figures["worst_caller"] <= mean + 1e-4


def test_hosts_with_little_load_answer_all_in_time() -> None:
    """Guards against a simulation that loses packets or wastes slots."""
    figures = replay(Load("idle", 0.2, **SMALL), LoadPolicy(), 1)
    assert figures["within"] == figures["requests"]
    assert figures["refusals"] == figures["shed_by_hosts"] == 0


def test_requests_are_the_same_under_every_policy_of_a_seed() -> None:
    """Guards against policies that are compared under different demand."""
    load = Load("tiny", 1.0, **SMALL, long_share=0.03)
    drawn = [
        [(each.started_at, each.caller, each.work_s) for each in load.draw_requests(s)]
        for s in (3, 3, 4)
    ]
    assert drawn[0] == drawn[1] != drawn[2]


@pytest.mark.parametrize("load", LOADS, ids=lambda load: load.name)
def test_demand_of_a_load_is_as_stated(load: Load) -> None:
    """Guards against a thinned process whose rate differs from the load's figures."""
    requests = load.draw_requests(1)
    work_s = sum(request.work_s for request in requests)
    utilisation = work_s / (load.hosts * load.length_s)
    start, end, factor = load.burst
    orders = 0.019 / (0.019 + 0.029)
    bursts = 1.0 + (factor - 1.0) * (end - start) / load.length_s * orders
    assert utilisation == pytest.approx(load.utilisation * bursts, rel=0.1)


def test_greedy_caller_sends_ten_times_as_much_as_the_others() -> None:
    """Guards against a load in which no caller stands out."""
    load = Load("tiny", 1.0, **SMALL, is_one_greedy=True)
    callers = [request.caller for request in load.draw_requests(1)]
    others = (len(callers) - callers.count(0)) / (load.callers - 1)
    assert callers.count(0) == pytest.approx(10.0 * others, rel=0.3)


@pytest.mark.parametrize("disturb", [fail_one, reset_all])
def test_requests_that_a_host_fails_are_counted_and_not_repeated(
    disturb: object,
) -> None:
    """Guards against callers that repeat what may have run, which hides failures."""
    load = Load("tiny", 0.4, **SMALL, disturb=disturb)
    figures = replay(load, LoadPolicy(), 1)
    assert figures["failed"] > 0
    assert figures["run_twice"] == 0


def test_request_that_runs_at_two_hosts_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a count of double runs that is always 0."""

    def repeat(caller: Caller, flow: Flow) -> None:
        del caller._flows[flow.port]
        if flow.request is not None:
            caller._attempt(flow.request)

    monkeypatch.setattr(Caller, "_handle_reset", repeat)
    load = Load("tiny", 0.4, **SMALL, disturb=reset_all)
    assert replay(load, LoadPolicy(), 1)["run_twice"] > 0


def test_hosts_that_flap_lose_requests_and_repeat_none() -> None:
    """Guards against a restarted host that runs what its earlier run has begun."""
    figures = replay(Load("tiny", 0.5, **SMALL, disturb=flap_hosts), LoadPolicy(), 1)
    assert 0 < figures["failed"] < figures["requests"] / 2
    assert figures["run_twice"] == 0


def test_refusal_beside_an_idle_slot_is_counted() -> None:
    """Guards against a count that misses the evacuated hosts or counts them."""
    load = Load("tiny", 0.5, **SMALL)
    site = Site(load, LoadPolicy(), 1)
    assert site.has_idle_slot()
    site.evacuate(*site.data_centres)
    assert not site.has_idle_slot()
    site.evacuate()
    for gate in site.gates:
        gate.stop_host()
    assert not site.has_idle_slot()
