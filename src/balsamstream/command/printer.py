"""Prints the outcome of a command."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Success

from .outcome import ExitCode, Fault, Output
from .session import OutputFormat

if TYPE_CHECKING:
    from .outcome import Outcome, Table

# Characters in a line if the output is not a terminal; rich would wrap at 80.
PIPE_WIDTH: Final = 240


def print_outcome(outcome: Outcome, output_format: OutputFormat) -> int:
    """Print an outcome and return the exit code."""
    match outcome:
        case Success(Output() as output):
            _print_output(output, output_format)
            return ExitCode.SUCCESS
        case Failure(Fault() as fault):
            _print_fault(fault, output_format)
            return fault.code
    raise AssertionError("unreachable")


def _print_output(output: Output, output_format: OutputFormat) -> None:
    if output_format is OutputFormat.JSON:
        print(_format_json(output.value))
        return
    for position, table in enumerate(output.tables):
        if position:
            print()
        _print_table(table)
    for line in output.lines:
        print(line)


def _print_fault(fault: Fault, output_format: OutputFormat) -> None:
    if output_format is OutputFormat.JSON:
        error = {"code": fault.code.name.lower(), "lines": fault.lines, **fault.value}
        print(_format_json({"error": error}), file=sys.stderr)
        return
    for line in fault.lines:
        print(f"error: {line}", file=sys.stderr)


def _print_table(table: Table) -> None:
    from rich.console import Console
    from rich.table import Table as RichTable
    from rich.text import Text

    width = None if sys.stdout.isatty() else PIPE_WIDTH
    console = Console(file=sys.stdout, width=width, highlight=False)
    title = Text(table.title) if table.title else None
    shown = RichTable(title=title, title_justify="left", box=None, pad_edge=False)
    for column in table.columns:
        shown.add_column(Text(column.upper()), overflow="fold")
    for row in table.rows:
        # Text prevents rich from interpreting cells as markup.
        shown.add_row(*(Text(cell) for cell in row))
    console.print(shown)
    if not table.rows:
        console.print("(none)")


def _format_json(value: Any) -> str:  # noqa: ANN401 - any JSON value
    return json.dumps(value, indent=2, ensure_ascii=False)


__all__ = ["print_outcome"]
