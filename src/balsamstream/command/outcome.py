"""What a command ends with."""

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
    """Exit codes of the tool."""

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
    """Rows under named columns.

    Attributes
    ----------
    columns : tuple of str
        Names of the columns.
    rows : tuple of tuple of str
        The cells.
    title : str
        Title, empty for none.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    title: str = ""


@dataclass(frozen=True, slots=True)
class Output:
    """What a command that succeeded shows.

    Attributes
    ----------
    value : object
        What is shown as JSON.
    tables : tuple of Table
        What is shown as tables.
    lines : tuple of str
        Plain lines, shown after the tables.
    """

    value: Any
    tables: tuple[Table, ...] = ()
    lines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fault:
    """Why a command failed.

    Attributes
    ----------
    code : ExitCode
        Exit code.
    lines : tuple of str
        What was wrong, one line each.
    value : dict
        Further facts, shown as JSON.
    """

    code: ExitCode
    lines: tuple[str, ...]
    value: dict[str, Any] = field(default_factory=dict)


NOTHING_CHANGED: Final = "nothing was changed"

Outcome: TypeAlias = Result[Output, Fault]


def build_problem_fault(problems: Sequence[Problem]) -> Fault:
    """Build the fault of files that are not valid."""
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
    """Build the fault of a call to the platform.

    Parameters
    ----------
    error : PlatformError
        What the call failed with.
    subject : str
        The object of the call, such as ``profile counter``.
    """
    match error:
        case Conflict(current, may_have_taken_effect):
            return _build_conflict(current, may_have_taken_effect, subject)
        case NotFound():
            return Fault(ExitCode.MISSING, (f"there is no {subject}",))
        case Unavailable():
            return _build_unavailable(error, subject)
        case RateLimited(retry_after_s):
            line = f"the platform limits calls, try again in {retry_after_s:g} s"
            return Fault(ExitCode.UNAVAILABLE, (line, NOTHING_CHANGED))
        case TooLarge():
            line = f"{subject} is larger than the platform takes"
            return Fault(ExitCode.INVALID, (line,))
        case Rejected(status, text):
            line = f"{subject}: the platform refused with {status}: {text}"
            return Fault(ExitCode.INVALID, (line,))
        case _:
            assert_never(error)


def describe_change(stored: StoredObject) -> str:
    """Tell who changed an object last."""
    author = stored.changed_by or "an unknown author"
    return f"{author} changed it to version {stored.version}"


def format_subject(stored: StoredObject) -> str:
    """Name an object as in a sentence, such as ``profile counter``."""
    return f"{stored.kind.value.lower()} {stored.name}"


def _build_unavailable(error: Unavailable, subject: str) -> Fault:
    if error.may_have_taken_effect:
        line = f"{subject}: it is unknown whether the change took effect: {error.text}"
        return Fault(ExitCode.UNKNOWN, (line, "read it before you try again"))
    line = f"{subject}: the platform gives no answer: {error.text}"
    return Fault(ExitCode.UNAVAILABLE, (line, NOTHING_CHANGED))


def _build_conflict(
    current: StoredObject | None, may_have_taken_effect: bool, subject: str
) -> Fault:
    if current is None:
        lines = [f"{subject} was deleted while it was being changed"]
        value: dict[str, Any] = {"changed_by": None}
    else:
        lines = [f"{subject} was changed meanwhile: {describe_change(current)}"]
        value = {"changed_by": current.changed_by, "version": current.version}
    if may_have_taken_effect:
        lines.append("your change may have been in force before that")
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
