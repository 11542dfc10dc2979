"""Checks settings files of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..node.settings import SettingsError, load_settings
from .outcome import ExitCode, Fault, Output, Table

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .outcome import Outcome


def check_node_settings(paths: Sequence[Path]) -> Outcome:
    """Check each file and collect the errors of all of them."""
    rows: list[tuple[str, ...]] = []
    wrong: list[str] = []
    for path in paths:
        try:
            settings = load_settings(str(path))
        except SettingsError as error:
            wrong.append(f"{path}: {error}")
            continue
        rows.append((str(path), settings.name, settings.role))
    if wrong:
        return Failure(Fault(ExitCode.INVALID, tuple(wrong)))
    columns = ("file", "name", "role")
    value = [dict(zip(columns, row, strict=True)) for row in rows]
    return Success(Output(value, (Table(columns, tuple(rows)),)))


__all__ = ["check_node_settings"]
