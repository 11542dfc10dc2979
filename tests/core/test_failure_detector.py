"""Silent hosts are marked down; hosts marked by mistake return to the view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.core.view import MemberState
from tests.core.test_path import build_network

if TYPE_CHECKING:
    from tests.core.network import Network


def read_state(network: Network, host: str) -> MemberState | None:
    view = network.balancers["balancer-1"].catalogue.find_view("comptoir")
    assert view is not None
    member = view.find_member(host)
    return None if member is None else member.state


def test_dead_host_is_marked_down_once() -> None:
    network = build_network()
    before = network.platform.version
    network.stop(network.agents["comptoir-1"].state.config.address)
    network.pass_time(8.0)
    assert read_state(network, "comptoir-1") is MemberState.DOWN
    # One write marks it and replaces it as a voter, one drops the older voters.
    assert network.platform.version == before + 2


def test_host_that_was_only_frozen_returns_to_the_view() -> None:
    network = build_network()
    address = network.agents["comptoir-1"].state.config.address
    network.frozen.add(address)
    network.pass_time(8.0)
    assert read_state(network, "comptoir-1") is MemberState.DOWN
    network.frozen.remove(address)
    network.pass_time(6.0)
    assert read_state(network, "comptoir-1") is MemberState.ACTIVE


def test_host_cut_off_from_all_others_marks_none_down() -> None:
    network = build_network()
    alone = network.agents["comptoir-1"].state.config.address
    agents = {agent.state.config.address for agent in network.agents.values()}
    network.is_cut = lambda sender, to: alone in (sender, to) and {sender, to} <= agents
    network.pass_time(9.0)
    assert read_state(network, "comptoir-0") is MemberState.ACTIVE
    assert read_state(network, "comptoir-2") is MemberState.ACTIVE
