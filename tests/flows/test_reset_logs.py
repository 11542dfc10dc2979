"""What the log and the counters say about flows that were reset."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from balsamstream.flows.absence import MAX_LOGGED, describe_absences
from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.held_flows import MIN_AGE_S
from balsamstream.flows.placement import EMPTY_TIMEOUT_S, LOST_TIMEOUT_S, Host

from .deployment import (
    Caller,
    Deployment,
    GateNode,
    build_deployment,
    open_flow,
)

if TYPE_CHECKING:
    from .deployment import RecordedEvents

FRONT = "10.1.0.1"
OTHER_FRONT = "10.1.0.2"
HOSTS = tuple(f"10.1.0.{number}" for number in range(11, 15))
NOW = 100.0


@pytest.fixture
def deployment() -> Deployment:
    return build_deployment(HOSTS, (FRONT, OTHER_FRONT))


def restart_host(gate: GateNode) -> None:
    """Restart a host; its flows are gone."""
    gate.restart_host()
    gate.send_heartbeat()
    gate.deployment.run()


def read(events: RecordedEvents, name: str) -> dict[str, Any]:
    """Return the fields of the only event of a name."""
    (fields,) = [fields for each, fields in events.lines if each == name]
    return fields


def count(events: RecordedEvents, name: str) -> int:
    """Return the value of a counter."""
    return sum(fields["amount"] for each, fields in events.lines if each == name)


def build_host(number: int = 1, **fields: Any) -> Host:
    ip = f"10.1.0.{number}"
    return Host(ip, (ip, 7_720), **({"last_heard_at": NOW - 0.5} | fields))


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"state": HostState.READY}, ""),
        ({"asked_at": NOW - 1.0}, ""),
        ({"state": HostState.GONE}, "gone"),
        ({"state": HostState.GONE, "last_heard_at": NOW - 5.0}, ""),
        ({"is_empty": True}, ""),
        ({"is_empty": True, "asked_at": NOW - EMPTY_TIMEOUT_S - 0.1}, "empty"),
        ({"asked_at": NOW - LOST_TIMEOUT_S - 0.1}, "silent"),
    ],
)
def test_reason_is_given_for_each_host_that_is_not_awaited(
    fields: dict[str, Any], reason: str
) -> None:
    host = build_host(**fields)
    assert host.explain_absence(NOW) == reason
    assert host.may_hold_flows(NOW) == (reason == "")


def test_absences_are_counted_by_reason_and_the_first_are_named() -> None:
    hosts = [build_host(number, asked_at=NOW - 3.25) for number in range(1, 21)]
    hosts.append(build_host(30, state=HostState.GONE))
    hosts.append(build_host(31, state=HostState.READY))
    fields = describe_absences(hosts, NOW)
    first = fields.pop("first")
    assert fields == {"gone": 1, "empty": 0, "silent": 20}
    assert isinstance(first, list)
    assert len(first) == MAX_LOGGED
    assert first[0] == "10.1.0.1 silent 3.2s"


def test_lost_flow_names_the_gate_that_was_not_awaited(deployment: Deployment) -> None:
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.is_up = False
    deployment.pass_time(LOST_TIMEOUT_S + 1.0)
    caller.send_request(OTHER_FRONT)
    deployment.pass_time(0.2)
    events = deployment.fronts[OTHER_FRONT].events
    fields = read(events, "lost")
    assert fields["gates"] == len(HOSTS) - 1
    assert (fields["gone"], fields["silent"]) == (0, 1)
    (first,) = fields["first"]
    assert first.startswith(f"{holder.ip} silent ")
    assert count(events, "resets.denied") == 1


def test_lost_flow_that_every_gate_has_denied_names_none(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    restart_host(caller.get_holder())
    caller.send_request(OTHER_FRONT)
    fields = read(deployment.fronts[OTHER_FRONT].events, "lost")
    assert fields["gates"] == len(HOSTS)
    assert fields["first"] == []


def test_reset_flows_are_logged_with_their_incarnation_and_age(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    deployment.pass_time(MIN_AGE_S + 1.0)
    restart_host(caller.get_holder())
    events = deployment.fronts[FRONT].events
    fields = read(events, "flows_reset")
    assert (fields["recorded_first"], fields["recorded_last"]) == (1, 1)
    assert fields["incarnation"] == 2
    assert fields["restored"] == 0
    assert fields["youngest_s"] == pytest.approx(MIN_AGE_S + 1.0, abs=0.02)
    assert 0.0 <= fields["heard_before_s"] < 1.0
    assert count(events, "resets.ended") == 1
    assert count(events, "resets.restored") == 0


def test_reset_flows_of_an_earlier_run_are_logged_as_restored(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    holder = caller.get_holder()
    node = deployment.fronts[FRONT]
    deployment.pass_time(MIN_AGE_S + 1.0)
    saved = node.front.held_flows.list_saved()
    node.start()
    node.front.restore_flows(saved, deployment.now)
    restart_host(holder)
    fields = read(node.events, "flows_reset")
    assert fields["restored"] == 1
    assert fields["youngest_s"] is None
    assert fields["heard_before_s"] is None
    assert count(node.events, "resets.restored") == 1
    assert count(node.events, "resets.ended") == 0


def test_refused_flow_is_counted_as_reset(deployment: Deployment) -> None:
    for gate in deployment.gates.values():
        gate.send_heartbeat(state=HostState.DRAINING)
    deployment.run()
    Caller(deployment).open(FRONT)
    assert count(deployment.fronts[FRONT].events, "resets.refused") == 1


def test_new_incarnation_is_logged_with_the_flows_that_it_discards(
    deployment: Deployment,
) -> None:
    callers = [open_flow(deployment)]
    gate = callers[0].get_holder()
    deployment.pass_time(1.2)
    gate.send_heartbeat()
    gate.sends_heartbeats = False
    deployment.pass_time(0.5)
    while len(callers) < 8:
        callers.append(open_flow(deployment, 40_001 + len(callers)))
    held = [caller for caller in callers if caller.get_holder() is gate]
    assert len(held) > 1
    gate.events.lines.clear()
    restart_host(gate)
    fields = read(gate.events, "host_started")
    assert fields["discarded"] == len(held)
    assert fields["unsettled"] == len(held)
    assert fields["heartbeat_age_s"] == pytest.approx(0.5, abs=0.02)


def test_first_incarnation_discards_no_flow(deployment: Deployment) -> None:
    fields = read(deployment.gates[HOSTS[0]].events, "host_started")
    assert fields["before"] == 0
    assert (fields["discarded"], fields["unsettled"]) == (0, 0)


def test_evidence_that_a_gate_has_seen_all_flows_is_logged(
    deployment: Deployment,
) -> None:
    gate = deployment.gates[HOSTS[0]]
    gate.events.lines.clear()
    gate.restart()
    gate.gate.record_refused_check(deployment.now, deployment.now)
    assert read(gate.events, "all_flows_seen") == {"reason": "no host"}
