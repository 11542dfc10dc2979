"""Arranges a JSON value as rows and tables."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .outcome import Table


@dataclass(slots=True)
class Layout:
    """A JSON value as rows of path and value, and tables of its lists of objects.

    Attributes
    ----------
    rows : list of tuple of str
        Path and value of each scalar field and of each list of scalars.
    tables : list of Table
        One table for each list of flat objects, with its path as title.
    """

    rows: list[tuple[str, str]] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)


def build_layout(value: Any) -> Layout:  # noqa: ANN401 - any JSON value
    """Build the layout of a JSON value."""
    layout = Layout()
    _add_value(layout, "", value)
    return layout


def _add_value(layout: Layout, path: str, value: Any) -> None:  # noqa: ANN401
    if isinstance(value, dict):
        for key, part in value.items():
            _add_value(layout, _join(path, str(key)), part)
        return
    if not isinstance(value, list):
        layout.rows.append((path, str(value)))
        return
    if not any(isinstance(part, dict | list) for part in value):
        layout.rows.append((path, ", ".join(str(part) for part in value)))
        return
    if all(_is_flat(part) for part in value):
        layout.tables.append(_build_table(path, value))
        return
    for index, part in enumerate(value):
        _add_value(layout, _join(path, str(index)), part)


def _is_flat(value: Any) -> bool:  # noqa: ANN401
    if not isinstance(value, dict):
        return False
    return not any(isinstance(part, dict | list) for part in value.values())


def _build_table(title: str, records: list[dict[str, Any]]) -> Table:
    columns = tuple(dict.fromkeys(key for record in records for key in record))
    rows = tuple(
        tuple(str(record.get(column, "")) for column in columns) for record in records
    )
    return Table(columns, rows, title)


def _join(path: str, part: str) -> str:
    return f"{path}.{part}" if path else part


__all__ = ["Layout", "build_layout"]
