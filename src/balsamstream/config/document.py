"""Reads YAML documents and records the line of each field."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import yaml  # type: ignore[import-untyped]
from returns.result import Failure, Result, Success

from .problem import Problem

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Document:
    """One document of a YAML file.

    Attributes
    ----------
    file : str
        Path of the file.
    value : object
        The parsed content.
    lines : dict of str to int
        Line number of each field, counted from 1, by the path of the field, such
        as ``spec.address``.
    """

    file: str
    value: Any
    lines: dict[str, int]

    def find_line(self, field: str) -> int:
        """Find the line of a field, or of its nearest enclosing field."""
        path = field
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path.rpartition(".")[0]
        return self.lines.get("", 0)

    def locate_problems(self, problems: Iterable[Problem]) -> list[Problem]:
        """Return problems of this document with their file and line filled in."""
        return [
            replace(problem, file=self.file, line=self.find_line(problem.field))
            for problem in problems
        ]


def read_documents(path: Path | str) -> Result[list[Document], list[Problem]]:
    """Read every document of a YAML file.

    Parameters
    ----------
    path : Path or str
        The file, in UTF-8.

    Returns
    -------
    Result[list[Document], list[Problem]]
        The documents that are not empty, or why the file cannot be read.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return Failure([Problem(file, 0, "", error.strerror or str(error))])
    except UnicodeDecodeError:
        return Failure([Problem(file, 0, "", "the file is not UTF-8 text")])
    return parse_documents(file, text)


def parse_documents(file: str, text: str) -> Result[list[Document], list[Problem]]:
    """Parse every document of a YAML text.

    Parameters
    ----------
    file : str
        Path of the file that the text came from.
    text : str
        The YAML text.

    Returns
    -------
    Result[list[Document], list[Problem]]
        The documents that are not empty, or why the text cannot be parsed.
    """
    documents: list[Document] = []
    problems: list[Problem] = []
    try:
        loader = yaml.SafeLoader(text)
        while loader.check_node():
            node = loader.get_node()
            collector = _LineCollector(file)
            collector.visit(node, "")
            problems.extend(collector.problems)
            value = loader.construct_document(node)
            if value is not None:
                documents.append(Document(file, value, collector.lines))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 0
        problems.append(Problem(file, line, "", error.problem or "not valid YAML"))
    except yaml.YAMLError as error:
        problems.append(Problem(file, 0, "", str(error).partition("\n")[0]))
    except (ValueError, RecursionError) as error:
        problems.append(Problem(file, 0, "", f"not valid YAML: {error}"))
    if problems:
        return Failure(problems)
    return Success(documents)


class _LineCollector:
    """Collects the line of each field below a YAML node, and duplicate keys."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.lines: dict[str, int] = {}
        self.problems: list[Problem] = []
        self._seen: set[int] = set()

    def visit(self, node: yaml.Node, path: str) -> None:
        self.lines.setdefault(path, node.start_mark.line + 1)
        # An alias may refer to a node that contains it.
        if id(node) in self._seen:
            return
        self._seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            self._visit_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            for index, part in enumerate(node.value):
                self.visit(part, _join(path, str(index)))

    def _visit_mapping(self, node: yaml.MappingNode, path: str) -> None:
        keys: set[str] = set()
        for key, value in node.value:
            field = _join(path, str(key.value))
            line = key.start_mark.line + 1
            if field in keys:
                self.problems.append(Problem(self.file, line, field, "duplicate key"))
            keys.add(field)
            self.lines[field] = line
            self.visit(value, field)


def _join(path: str, part: str) -> str:
    return f"{path}.{part}" if path else part


__all__ = ["Document", "parse_documents", "read_documents"]
