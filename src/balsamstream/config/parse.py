"""Converts declared objects between their JSON form and their data classes."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any, assert_never

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .address import Address
from .kind import API_VERSION, Kind
from .objects import ConfigObject, DataCentre, Profile, ServiceSpec
from .problem import Problem, collect_problems
from .schema import DataCentreModel, Metadata, ProfileModel, ServiceModel

if TYPE_CHECKING:
    from collections.abc import Mapping

_ENVELOPE_FIELDS = frozenset({"apiVersion", "kind", "metadata", "spec"})


def parse_object(document: Mapping[str, Any]) -> Result[ConfigObject, list[Problem]]:
    """Validate a complete declared object.

    Parameters
    ----------
    document : mapping
        The object with ``apiVersion``, ``kind``, ``metadata`` and ``spec``.

    Returns
    -------
    Result[ConfigObject, list[Problem]]
        The data class, or every problem found, without file and line.
    """
    problems = _check_envelope(document)
    kind = _find_declared_kind(document.get("kind"))
    if kind is None:
        names = ", ".join(item.value for item in Kind if item.is_declared)
        text = f"must be one of {names}, got {document.get('kind')!r:.60}"
        return Failure([*problems, Problem("", 0, "kind", text)])
    name = ""
    try:
        name = Metadata.model_validate(document.get("metadata")).name
    except ValidationError as error:
        problems.extend(collect_problems(error, ["metadata"]))
    match parse_spec(kind, name, document.get("spec")):
        case Success(parsed) if not problems:
            return Success(parsed)
        case Failure(found):
            problems.extend(found)
    return Failure(problems)


def parse_spec(
    kind: Kind, name: str, spec: object
) -> Result[ConfigObject, list[Problem]]:
    """Validate the ``spec`` of a declared object.

    Parameters
    ----------
    kind : Kind
        One of the declared kinds.
    name : str
        Name of the object.
    spec : object
        Value of the ``spec`` field.

    Returns
    -------
    Result[ConfigObject, list[Problem]]
        The data class, or every problem found.

    Raises
    ------
    ValueError
        If objects of this kind are not declared by operators.
    """
    try:
        match kind:
            case Kind.PROFILE:
                return Success(ProfileModel.model_validate(spec).convert(name))
            case Kind.SERVICE:
                return Success(ServiceModel.model_validate(spec).convert(name))
            case Kind.DATA_CENTRE:
                return Success(DataCentreModel.model_validate(spec).convert(name))
            case Kind.VIEW | Kind.BALANCER:
                raise ValueError(f"operators declare no objects of kind {kind.value}")
            case _:
                assert_never(kind)
    except ValidationError as error:
        return Failure(collect_problems(error, ["spec"]))


def get_object_kind(item: ConfigObject) -> Kind:
    """Return the kind of a declared object."""
    match item:
        case Profile():
            return Kind.PROFILE
        case ServiceSpec():
            return Kind.SERVICE
        case DataCentre():
            return Kind.DATA_CENTRE
        case _:
            assert_never(item)


def build_spec(item: ConfigObject) -> dict[str, Any]:
    """Build the ``spec`` of a declared object, including defaults."""
    return {
        field.name: _build_value(getattr(item, field.name))
        for field in dataclasses.fields(item)
        if field.name != "name"
    }


def _build_value(value: Any) -> Any:  # noqa: ANN401 - any field of the data classes
    if isinstance(value, Address):
        return str(value)
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [_build_value(part) for part in value]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _build_value(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return value


def _check_envelope(document: Mapping[str, Any]) -> list[Problem]:
    problems: list[Problem] = []
    if document.get("apiVersion") != API_VERSION:
        text = f"must be {API_VERSION!r}, got {document.get('apiVersion')!r:.60}"
        problems.append(Problem("", 0, "apiVersion", text))
    for field in document:
        if field not in _ENVELOPE_FIELDS:
            problems.append(Problem("", 0, str(field), "unknown field"))
    return problems


def _find_declared_kind(value: object) -> Kind | None:
    for kind in Kind:
        if kind.value == value and kind.is_declared:
            return kind
    return None


__all__ = ["build_spec", "get_object_kind", "parse_object", "parse_spec"]
