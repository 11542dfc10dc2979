"""Tests of the detection of process pauses."""

from __future__ import annotations

import pytest

from balsamstream.daemon.clocks import ClockReading, PauseDetector, read_clocks


class FakeClocks:
    """Clocks that a test advances."""

    def __init__(self) -> None:
        self.reading = ClockReading(100.0, 100.0, 1e9)

    def advance(self, monotonic: float, boot: float, wall: float) -> None:
        """Advance each clock by a number of seconds."""
        now = self.reading
        self.reading = ClockReading(
            now.monotonic + monotonic, now.boot + boot, now.wall + wall
        )


@pytest.mark.parametrize("elapsed", [(2.0, 2.0, 2.0), (0.0, 2.0, 0.0), (0.0, 0.0, 2.0)])
def test_gap_of_any_clock_is_a_pause(elapsed: tuple[float, float, float]) -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    detector.start()
    clocks.advance(*elapsed)
    assert detector.update() == clocks.reading.monotonic
    assert gaps == [2.0]
    detector.update()
    assert gaps == [2.0]


def test_short_gaps_and_a_wall_clock_set_back_are_no_pauses() -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    detector.start()
    for _ in range(10):
        clocks.advance(0.9, 0.9, -500.0)
        detector.update()
    assert gaps == []


def test_slow_start_is_no_pause() -> None:
    gaps: list[float] = []
    clocks = FakeClocks()
    detector = PauseDetector(gaps.append, lambda: clocks.reading)
    clocks.advance(5.0, 5.0, 5.0)
    assert detector.update() == clocks.reading.monotonic
    clocks.advance(5.0, 5.0, 5.0)
    detector.start()
    detector.update()
    assert gaps == []


def test_vm_has_all_clocks() -> None:
    first = read_clocks()
    assert read_clocks().boot >= first.boot
