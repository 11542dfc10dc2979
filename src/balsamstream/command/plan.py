"""Plans the writes that apply a set of declared objects."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from ..config import (
    ConfigObject,
    Kind,
    LoadedObject,
    Problem,
    build_spec,
    check_consistency,
    load_file,
    parse_spec,
)
from .outcome import (
    ExitCode,
    Fault,
    build_problem_fault,
    describe_change,
    format_subject,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

    from ..objectapi import StoredObject

# A service is written after the profile that it refers to.
WRITE_ORDER: Final = (Kind.PROFILE, Kind.SERVICE, Kind.DATA_CENTRE)


class Action(enum.Enum):
    """Action that applying takes on an object."""

    CREATE = "create"
    UPDATE = "update"
    KEEP = "keep"


@dataclass(frozen=True, slots=True)
class Step:
    """One object of a plan.

    Attributes
    ----------
    action : Action
        Action to take.
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    spec : dict
        The ``spec`` to write.
    base : StoredObject or None
        The object stored on the platform, or None if there is none.
    """

    action: Action
    kind: Kind
    name: str
    spec: dict[str, Any]
    base: StoredObject | None

    @property
    def subject(self) -> str:
        """Kind and name of the object for a message."""
        return f"{self.kind.value.lower()} {self.name}"


def load_files(paths: Iterable[Path]) -> Result[list[LoadedObject], list[Problem]]:
    """Load the objects of all files, or return the problems of all files."""
    loaded: list[LoadedObject] = []
    problems: list[Problem] = []
    for path in paths:
        match load_file(path):
            case Success(found):
                loaded.extend(found)
            case Failure(found):
                problems.extend(found)
    if problems:
        return Failure(problems)
    return Success(loaded)


def parse_stored(stored: Iterable[StoredObject]) -> list[ConfigObject]:
    """Parse the declared objects among stored objects.

    Objects that this release cannot parse are skipped.
    """
    objects: list[ConfigObject] = []
    for item in stored:
        if not item.kind.is_declared:
            continue
        match parse_spec(item.kind, item.name, item.spec):
            case Success(parsed):
                objects.append(parsed)
    return objects


def build_plan(
    loaded: Sequence[LoadedObject], stored: Sequence[StoredObject]
) -> Result[list[Step], Fault]:
    """Check objects against the stored ones and plan their writes.

    Parameters
    ----------
    loaded : sequence of LoadedObject
        The objects to apply.
    stored : sequence of StoredObject
        The objects stored on the platform.

    Returns
    -------
    Result[list[Step], Fault]
        One step for each object in the order of writing, or the fault found.
    """
    problems = check_consistency(loaded, parse_stored(stored))
    if problems:
        return Failure(build_problem_fault(problems))
    by_key = {(item.kind, item.name): item for item in stored}
    steps: list[Step] = []
    ordered = sorted(loaded, key=lambda entry: WRITE_ORDER.index(entry.kind))
    for entry in ordered:
        base = by_key.get((entry.kind, entry.item.name))
        stale = _check_version(entry, base)
        if stale is not None:
            return Failure(stale)
        steps.append(_build_step(entry, base))
    return Success(steps)


def _check_version(entry: LoadedObject, base: StoredObject | None) -> Fault | None:
    if entry.version is None:
        return None
    version = base.version if base is not None else None
    if version == entry.version:
        return None
    place = entry.build_problem("metadata.resourceVersion", f"asks for {entry.version}")
    if base is None:
        return Fault(ExitCode.CONFLICT, (f"{place}, but the object does not exist",))
    line = f"{place}, but {describe_change(base)} ({format_subject(base)})"
    value = {"changed_by": base.changed_by, "version": base.version}
    return Fault(ExitCode.CONFLICT, (line,), value)


def _build_step(entry: LoadedObject, base: StoredObject | None) -> Step:
    spec = build_spec(entry.item)
    action = Action.CREATE
    if base is not None:
        same = parse_spec(base.kind, base.name, base.spec) == Success(entry.item)
        action = Action.KEEP if same else Action.UPDATE
    return Step(action, entry.kind, entry.item.name, spec, base)


__all__ = ["Action", "Step", "build_plan", "load_files", "parse_stored"]
