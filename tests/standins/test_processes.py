"""Tests of the management of child processes."""

from __future__ import annotations

from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from standins.processes import ProcessError, Processes

if TYPE_CHECKING:
    from pathlib import Path

PLATFORM = ["-m", "standins.platform"]


def test_close_ends_ready_and_paused_children(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        for name in ("first", "second"):
            processes.start(name, PLATFORM)
        addresses = [processes.wait_ready(name) for name in ("first", "second")]
        assert addresses[0] != addresses[1]
        processes.pause("second")
    assert not processes.get("first").is_running()
    assert not processes.get("second").is_running()


def test_killed_child_can_be_started_again_under_its_name(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        first = processes.start("platform", PLATFORM)
        (address,) = processes.wait_ready("platform")
        processes.kill("platform")
        second = processes.start("platform", [*PLATFORM, "--listen", address])
        assert processes.wait_ready("platform") == [address]
        assert first.pid != second.pid


def test_child_that_fails_is_reported_with_its_output(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        processes.start("broken", ["-c", "raise SystemExit('wrong setting')"])
        with pytest.raises(ProcessError, match="wrong setting"):
            processes.wait_ready("broken")
