"""Pauses of the process."""

from __future__ import annotations

import pytest

from balsamstream.daemon.clocks import PauseDetector, Reading, read_clocks


class FakeClocks:
    """Clocks that a test moves."""

    def __init__(self) -> None:
        self.reading = Reading(100.0, 100.0, 1e9)

    def advance(self, monotonic: float, boot: float, wall: float) -> None:
        """Move each clock by some seconds."""
        now = self.reading
        self.reading = Reading(
            now.monotonic + monotonic, now.boot + boot, now.wall + wall
        )


@pytest.mark.parametrize("elapsed", [(2.0, 2.0, 2.0), (0.0, 2.0, 0.0), (0.0, 0.0, 2.0)])
def test_a_gap_of_any_clock_is_a_pause(elapsed: tuple[float, float, float]) -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    detector.begin()
    clocks.advance(*elapsed)
    assert detector.check() == clocks.reading.monotonic
    assert gaps == [2.0]
    detector.check()
    assert gaps == [2.0]


def test_short_gaps_and_a_wall_clock_set_back_are_none() -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    detector.begin()
    for _ in range(10):
        clocks.advance(0.9, 0.9, -500.0)
        detector.check()
    assert gaps == []


def test_a_slow_start_is_no_pause() -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    clocks.advance(5.0, 5.0, 5.0)
    assert detector.check() == clocks.reading.monotonic
    clocks.advance(5.0, 5.0, 5.0)
    detector.begin()
    detector.check()
    assert gaps == []


def test_the_machine_has_these_clocks() -> None:
    first = read_clocks()
    assert read_clocks().boot >= first.boot
