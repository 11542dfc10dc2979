"""Short days of overlapping faults, after which rule FLOW must hold.

``python -m tests.flows.flow_faults --seeds 50`` plays more and longer ones.
"""

from __future__ import annotations

import pytest

from tests.flows.flow_faults import (
    draw_day,
    draw_day_of_doubt,
    list_broken,
    play,
)

LENGTH_S = 25.0
KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: issue 29")


@pytest.mark.parametrize(
    "seed",
    [
        7,
        48,
        97,
        25,
        55,
        pytest.param(11, marks=KNOWN_RED),
    ],
)
def test_no_open_flow_of_a_sound_host_is_lost(seed: int) -> None:
    """Guards against resets of open flows, and packets that miss their hosts."""
    world = play(draw_day(seed), LENGTH_S)
    assert world.oracle.opened > 100
    assert not [each.describe() for each in list_broken(world)]


@pytest.mark.parametrize("seed", [11, 12, 15])
def test_no_open_flow_is_lost_by_gates_that_start_in_doubt(seed: int) -> None:
    """Guards against gates that deny what they cannot know after a restart."""
    world = play(draw_day_of_doubt(seed), LENGTH_S)
    assert world.oracle.opened > 100
    assert not [each.describe() for each in list_broken(world)]
