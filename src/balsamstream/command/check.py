"""Checks files of declared objects without a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..config import check_consistency
from .outcome import Output, Table, build_problem_fault
from .plan import load_files

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .outcome import Outcome


def check_files(paths: Sequence[Path]) -> Outcome:
    """Check each object of the files, and all of them for consistency."""
    match load_files(paths):
        case Failure(problems):
            return Failure(build_problem_fault(problems))
        case Success(loaded):
            problems = check_consistency(loaded)
            if problems:
                return Failure(build_problem_fault(problems))
            rows = tuple(
                (entry.kind.value, entry.item.name, "valid") for entry in loaded
            )
            value = [{"kind": kind, "name": name} for kind, name, _ in rows]
            return Success(Output(value, (Table(("kind", "name", "check"), rows),)))
    raise AssertionError("unreachable")


__all__ = ["check_files"]
