"""Loads files of declared objects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .document import Document, read_documents
from .parse import get_object_kind, parse_object
from .problem import Problem

if TYPE_CHECKING:
    from pathlib import Path

    from .kind import Kind
    from .objects import ConfigObject


@dataclass(frozen=True, slots=True)
class LoadedObject:
    """A declared object and the document it was read from.

    Attributes
    ----------
    item : ConfigObject
        The object.
    document : Document
        The YAML document.
    version : int or None
        The ``resourceVersion`` that the object must replace, or None if the file
        gives none.
    """

    item: ConfigObject
    document: Document
    version: int | None = None

    @property
    def kind(self) -> Kind:
        """The kind of the object."""
        return get_object_kind(self.item)

    def build_problem(self, field: str, text: str) -> Problem:
        """Build a problem located at a field of this object."""
        document = self.document
        return Problem(document.file, document.find_line(field), field, text)


def load_file(path: Path | str) -> Result[list[LoadedObject], list[Problem]]:
    """Read and validate every object of a YAML file.

    Parameters
    ----------
    path : Path or str
        The file.

    Returns
    -------
    Result[list[LoadedObject], list[Problem]]
        The objects in the order of the file, or every problem with its file,
        line and field.
    """
    match read_documents(path):
        case Success(documents):
            return _load_documents(str(path), documents)
        case Failure(problems):
            return Failure(problems)
    raise AssertionError("unreachable")


def _load_documents(
    file: str, documents: list[Document]
) -> Result[list[LoadedObject], list[Problem]]:
    loaded: list[LoadedObject] = []
    problems: list[Problem] = []
    for document in documents:
        if not isinstance(document.value, dict):
            text = "a document must be a mapping"
            problems.append(Problem(file, document.find_line(""), "", text))
            continue
        match parse_object(document.value):
            case Success(item):
                version = document.value["metadata"].get("resourceVersion")
                number = int(version) if version is not None else None
                loaded.append(LoadedObject(item, document, number))
            case Failure(found):
                problems.extend(document.locate_problems(found))
    if not documents:
        problems.append(Problem(file, 0, "", "the file contains no object"))
    if problems:
        return Failure(problems)
    return Success(loaded)


__all__ = ["LoadedObject", "load_file"]
