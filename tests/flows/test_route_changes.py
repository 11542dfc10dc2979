"""Open flows stay on their hosts while the routes change, as only new flows follow.

Found by a hunt on days with changes of the desired state: a search asked only the gates
of the services that the route has now, all of them denied the flow, and it was reset
though its host lived.
"""

from __future__ import annotations

import pytest

from balsamstream.flows import searches
from balsamstream.flows.messages import Kind
from standins.flow_host import RST, FlowHost

from .deployment import (
    ROUTE,
    SERVICE,
    Caller,
    Deployment,
    build_desired,
    list_resets,
    open_flow,
)

FRONT = "10.1.0.1"
OTHER_FRONT = "10.1.0.2"
OTHER_SERVICE = "etiquettes"
OTHER_ROUTE = ("198.18.0.2", 443)


@pytest.fixture
def deployment() -> Deployment:
    made = Deployment()
    for number in range(4):
        made.add_gate(f"10.1.0.{11 + number}")
    for number in range(3):
        made.add_gate(f"10.1.0.{21 + number}", service=OTHER_SERVICE)
    for ip in (FRONT, OTHER_FRONT):
        made.add_front(ip)
    made.pass_time(1.0)
    return made


def move_route(deployment: Deployment, version: int = 2) -> None:
    """Send the new flows of the route to the other service."""
    routes = {ROUTE: OTHER_SERVICE, OTHER_ROUTE: SERVICE}
    deployment.apply_desired_state(build_desired(version, routes))


def count_resets(deployment: Deployment) -> int:
    """Count the resets that callers have received."""
    return len(list_resets(deployment))


def test_open_flow_is_found_at_the_former_service_of_its_route(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    move_route(deployment)
    (answer,) = caller.send_request(OTHER_FRONT, b"more")
    assert answer.data == b"answer more"
    assert count_resets(deployment) == 0


def test_open_flow_is_found_by_a_front_that_starts_after_the_change(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    move_route(deployment)
    for node in deployment.fronts.values():
        node.start()
        node.find_nodes()
    deployment.pass_time(1.5)
    (answer,) = caller.send_request(FRONT, b"more")
    assert answer.data == b"answer more"
    assert count_resets(deployment) == 0


def test_open_flow_stays_when_its_service_leaves_the_desired_state(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    deployment.apply_desired_state(build_desired(2, {ROUTE: OTHER_SERVICE}))
    (answer,) = caller.send_request(OTHER_FRONT, b"more")
    assert answer.data == b"answer more"


def test_open_flow_stays_when_its_route_is_removed_and_added_again(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    deployment.apply_desired_state(build_desired(2, {OTHER_ROUTE: OTHER_SERVICE}))
    move_route(deployment, version=3)
    (answer,) = caller.send_request(OTHER_FRONT, b"more")
    assert answer.data == b"answer more"


def test_flow_of_a_former_service_is_reset_once_every_gate_has_denied_it(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    holder = caller.get_holder()
    holder.host = FlowHost(9_000)
    holder.incarnation = 2
    holder.send_heartbeat()
    move_route(deployment)
    (answer,) = caller.send_request(OTHER_FRONT, b"more")
    assert answer.flags & RST


def test_open_flow_is_found_while_a_gate_of_the_present_service_is_away(
    deployment: Deployment,
) -> None:
    caller = open_flow(deployment)
    move_route(deployment)
    deployment.gates["10.1.0.22"].is_up = False
    caller.send_request(OTHER_FRONT, b"more")
    deployment.pass_time(0.2)
    (answer,) = caller.send_request(OTHER_FRONT, b"again")
    assert answer.data == b"answer again"


def test_searches_of_all_gates_are_limited(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Load pattern: a host with thousands of flows crashes, and each of them is searched
    # at every gate of the deployment.
    monkeypatch.setattr(searches, "WIDE_GATES_BURST", 40)
    deployment.fronts[FRONT].start()
    deployment.fronts[FRONT].find_nodes()
    deployment.run()
    move_route(deployment)
    asked = 0
    deliver = deployment.deliver_node

    def watch(ip: str, message: bytes, sender: str) -> None:
        nonlocal asked
        asked += message[0] == Kind.SEARCH and deployment.gates[ip].service == SERVICE
        deliver(ip, message, sender)

    deployment.deliver_node = watch  # type: ignore[method-assign]
    for port in range(100):
        Caller(deployment, 50_000 + port, acked=1).send_request(FRONT)
    # Four gates are of the other service, and one message reaches all of them.
    assert asked == 10
