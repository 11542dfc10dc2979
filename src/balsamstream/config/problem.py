"""Validation problems of files and objects, with their location."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pydantic import ValidationError

_WITHOUT_INPUT: Final = frozenset({"missing", "extra_forbidden", "value_error"})


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation error in a declared object or in the settings.

    Attributes
    ----------
    file : str
        Path of the file, empty if the object was not read from a file.
    line : int
        Line number counted from 1, or 0 if unknown.
    field : str
        Path of the field, such as ``spec.cold_start.ramp_s``.
    text : str
        What is wrong.
    """

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Format the problem as ``file:line: field: text``."""
        place = self.file
        if self.line:
            place = f"{place}:{self.line}"
        return ": ".join(part for part in (place, self.field, self.text) if part)


def collect_problems(
    error: ValidationError,
    prefix: Sequence[str] = (),
    *,
    redacted_field: str | None = None,
) -> list[Problem]:
    """Convert a pydantic error to problems without file and line.

    Parameters
    ----------
    error : ValidationError
        The error raised by pydantic.
    prefix : sequence of str
        Path of the validated model within the document.
    redacted_field : str or None
        Top-level field whose value is left out of the texts because it contains
        secrets.

    Returns
    -------
    list of Problem
        One for each error reported by pydantic, in its order.
    """
    problems: list[Problem] = []
    for finding in error.errors(include_url=False):
        path = [*prefix, *(str(part) for part in finding["loc"])]
        text = _format_finding(finding["type"], finding["msg"])
        shown = finding["type"] not in _WITHOUT_INPUT and path[:1] != [redacted_field]
        if shown and "input" in finding:
            text = f"{text}, got {finding['input']!r:.60}"
        problems.append(Problem("", 0, ".".join(path), text))
    return problems


def _format_finding(kind: str, message: str) -> str:
    match kind:
        case "extra_forbidden":
            return "unknown field"
        case "missing":
            return "required field is missing"
        case "value_error":
            return message.removeprefix("Value error, ")
        case _:
            return message[:1].lower() + message[1:]


__all__ = ["Problem", "collect_problems"]
