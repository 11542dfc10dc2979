"""Reading and validation of the daemon's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from ..config.document import Document, read_documents
from ..config.problem import Problem, collect_problems
from .settings_schema import SettingsModel

if TYPE_CHECKING:
    from pathlib import Path

    from .settings import Settings


def load_settings(path: Path | str) -> Result[Settings, list[Problem]]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path or str
        The YAML file. Relative file names in it start from its folder.

    Returns
    -------
    Result[Settings, list[Problem]]
        The settings, or every problem with its file, line and field.
    """
    match read_documents(path):
        case Success([Document() as document]):
            return _parse_document(document)
        case Success(documents):
            text = f"expected one YAML document, found {len(documents)}"
            return Failure([Problem(str(path), 0, "", text)])
        case Failure(problems):
            return Failure(problems)
    raise AssertionError("unreachable")


def _parse_document(document: Document) -> Result[Settings, list[Problem]]:
    try:
        model = SettingsModel.model_validate(
            document.value, context={"file": document.file}
        )
    except ValidationError as error:
        return Failure(
            document.locate_problems(collect_problems(error, redacted_field="keys"))
        )
    return Success(model.convert())


__all__ = ["load_settings"]
