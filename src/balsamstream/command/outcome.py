"""The result of a command: its output, or a fault with an exit code."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, TypeAlias, assert_never

from returns.result import Result

from ..objectapi import (
    Conflict,
    NotFound,
    PlatformError,
    RateLimited,
    Rejected,
    StoredObject,
    TooLarge,
    Unavailable,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..config import Problem


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool, explained in its help text.

    No command returns `BUG`: Python exits with it after an uncaught exception.
    """

    SUCCESS = 0
    BUG = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    MISSING = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    PARTIAL = 8
    IN_USE = 9


@dataclass(frozen=True, slots=True)
class Table:
    """A table of text cells.

    Attributes
    ----------
    columns : tuple of str
        Names of the columns.
    rows : tuple of tuple of str
        Cells of each row.
    title : str
        Title, or an empty string if there is none.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    title: str = ""


@dataclass(frozen=True, slots=True)
class Output:
    """Output of a command that succeeded.

    Attributes
    ----------
    value : object
        JSON value that is printed with ``--output json``.
    tables : tuple of Table
        Tables that are printed otherwise.
    lines : tuple of str
        Lines of text that are printed after the tables.
    """

    value: Any
    tables: tuple[Table, ...] = ()
    lines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """Error of a command that failed.

    Attributes
    ----------
    code : ExitCode
        Exit code of the process.
    lines : tuple of str
        Error messages.
    value : dict
        Further fields of the error in the JSON output.
    """

    code: ExitCode
    lines: tuple[str, ...]
    value: dict[str, Any] = field(default_factory=dict)


NOTHING_CHANGED: Final = "nothing was changed"

Outcome: TypeAlias = Result[Output, Fault]


def build_problem_fault(problems: Sequence[Problem]) -> Fault:
    """Build the fault for files or objects that are not valid."""
    details = [
        {
            "file": problem.file,
            "line": problem.line,
            "field": problem.field,
            "text": problem.text,
        }
        for problem in problems
    ]
    lines = tuple(str(problem) for problem in problems)
    return Fault(ExitCode.INVALID, lines, {"problems": details})


def build_platform_fault(error: PlatformError, subject: str) -> Fault:
    """Build the fault for a failed call to the platform.

    Parameters
    ----------
    error : PlatformError
        Error of the call.
    subject : str
        Object of the call, such as ``profile counter``.
    """
    match error:
        case Conflict(current, may_have_taken_effect):
            return _build_conflict(current, may_have_taken_effect, subject)
        case NotFound():
            return Fault(ExitCode.MISSING, (f"there is no {subject}",))
        case Unavailable():
            return _build_unavailable(error, subject)
        case RateLimited(retry_after_s):
            line = f"the platform limits requests, try again in {retry_after_s:g} s"
            return Fault(ExitCode.UNAVAILABLE, (line, NOTHING_CHANGED))
        case TooLarge():
            line = f"{subject} is larger than the platform accepts"
            return Fault(ExitCode.INVALID, (line,))
        case Rejected(status, text):
            line = f"{subject}: the platform rejected it with status {status}: {text}"
            return Fault(ExitCode.INVALID, (line,))
        case _:
            assert_never(error)


def describe_change(stored: StoredObject) -> str:
    """Describe who changed an object last, and its version."""
    author = stored.changed_by or "an unknown author"
    return f"{author} changed it to version {stored.version}"


def format_subject(stored: StoredObject) -> str:
    """Format the kind and name of an object for a message, as ``profile counter``."""
    return f"{stored.kind.value.lower()} {stored.name}"


def _build_unavailable(error: Unavailable, subject: str) -> Fault:
    if error.may_have_taken_effect:
        line = f"{subject}: it is unknown whether the change took effect: {error.text}"
        return Fault(ExitCode.UNKNOWN, (line, "read the object before you try again"))
    line = f"{subject}: the platform does not answer: {error.text}"
    return Fault(ExitCode.UNAVAILABLE, (line, NOTHING_CHANGED))


def _build_conflict(
    current: StoredObject | None, may_have_taken_effect: bool, subject: str
) -> Fault:
    if current is None:
        lines = [f"{subject} was deleted while it was being changed"]
        value: dict[str, Any] = {"changed_by": None}
    else:
        lines = [f"{subject} was changed concurrently: {describe_change(current)}"]
        value = {"changed_by": current.changed_by, "version": current.version}
    if may_have_taken_effect:
        lines.append("your change may have taken effect before that")
        return Fault(ExitCode.UNKNOWN, tuple(lines), value)
    return Fault(ExitCode.CONFLICT, tuple(lines), value)


__all__ = [
    "NOTHING_CHANGED",
    "ExitCode",
    "Fault",
    "Outcome",
    "Output",
    "Table",
    "build_platform_fault",
    "build_problem_fault",
    "describe_change",
    "format_subject",
]
