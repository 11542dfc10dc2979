"""Applies a set of declared objects, all of them or none."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..config import Kind, check_consistency
from ..objectapi import Unavailable
from .delete import delete_if_unused
from .outcome import (
    NOTHING_CHANGED,
    ExitCode,
    Fault,
    Output,
    Table,
    build_platform_fault,
    build_problem_fault,
)
from .plan import Action, Step, build_plan, load_files, parse_stored

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from ..config import LoadedObject
    from ..objectapi import PlatformClient, PlatformError, StoredObject
    from .outcome import Outcome

DECLARED_KINDS = tuple(kind for kind in Kind if kind.is_declared)


@dataclass(slots=True)
class _Progress:
    """Outcome of the steps that were attempted, for the undo and the error report."""

    written: list[tuple[Step, StoredObject]] = field(default_factory=list)
    undone: list[Step] = field(default_factory=list)
    not_undone: list[Step] = field(default_factory=list)
    unknown: list[Step] = field(default_factory=list)


async def apply_files(
    client: PlatformClient, paths: Sequence[Path], dry_run: bool = False
) -> Outcome:
    """Apply the objects of some files, all of them or none.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    paths : sequence of Path
        The files.
    dry_run : bool
        Whether to show only what would be written.

    Returns
    -------
    Outcome
        The action on each object, or the error and the state of each object.
    """
    match load_files(paths):
        case Failure(problems):
            return Failure(build_problem_fault(problems))
        case Success(loaded):
            return await _apply(client, loaded, dry_run)
    raise AssertionError("unreachable")


async def list_declared(
    client: PlatformClient,
) -> Result[list[StoredObject], Fault]:
    """Read every declared object from the platform."""
    found: list[StoredObject] = []
    for kind in DECLARED_KINDS:
        match await client.list(kind):
            case Success(listing):
                found.extend(listing.objects)
            case Failure(error):
                return Failure(build_platform_fault(error, kind.plural))
    return Success(found)


async def _apply(
    client: PlatformClient, loaded: list[LoadedObject], dry_run: bool
) -> Outcome:
    stored = await list_declared(client)
    planned = stored.bind(lambda items: build_plan(loaded, items))
    if not isinstance(planned, Success):
        return Failure(planned.failure())
    steps = planned.unwrap()
    if dry_run:
        return Success(_build_output(steps, "would "))
    progress = _Progress()
    fault = await _write_steps(client, steps, progress)
    warnings: tuple[str, ...] = ()
    if fault is None and progress.written:
        checked = await _recheck(client, loaded)
        if isinstance(checked, Success):
            warnings = checked.unwrap()
        else:
            fault = checked.failure()
    if fault is None:
        return Success(_build_output(steps, "", warnings))
    await _undo(client, progress)
    return Failure(_describe_failure(fault, steps, progress))


async def _write_steps(
    client: PlatformClient, steps: list[Step], progress: _Progress
) -> Fault | None:
    for step in steps:
        if step.action is Action.KEEP:
            continue
        result = await client.write(step.kind, step.name, step.base, step.spec)
        if isinstance(result, Success):
            progress.written.append((step, result.unwrap()))
            continue
        error: PlatformError = result.failure()
        if isinstance(error, Unavailable) and error.may_have_taken_effect:
            progress.unknown.append(step)
        return build_platform_fault(error, step.subject)
    return None


async def _recheck(
    client: PlatformClient, loaded: list[LoadedObject]
) -> Result[tuple[str, ...], Fault]:
    """Check the objects again after writing; return warnings, or the conflict found."""
    # Two operators may concurrently write objects that are valid alone but conflict
    # with each other. Each checks after its own writes, so at least one of them sees
    # the other's objects.
    stored = await list_declared(client)
    if not isinstance(stored, Success):
        line = "warning: cannot check for conflicts with concurrent changes"
        return Success((line,))
    problems = check_consistency(loaded, parse_stored(stored.unwrap()))
    if not problems:
        return Success(())
    lines = ("another operator's change conflicts with this one",)
    fault = build_problem_fault(problems)
    return Failure(Fault(ExitCode.CONFLICT, lines + fault.lines, fault.value))


async def _undo(client: PlatformClient, progress: _Progress) -> None:
    for step, written in reversed(progress.written):
        is_restored = await _restore_object(client, step, written)
        (progress.undone if is_restored else progress.not_undone).append(step)


async def _restore_object(
    client: PlatformClient, step: Step, written: StoredObject
) -> bool:
    if step.base is not None:
        base = step.base
        result = await client.write(step.kind, step.name, written, base.spec)
        return isinstance(result, Success)
    if step.kind is Kind.PROFILE:
        # Another operator's service may use the profile by now.
        return isinstance(await delete_if_unused(client, written), Success)
    return isinstance(await client.delete_with_retries(written), Success)


def _describe_failure(fault: Fault, steps: list[Step], progress: _Progress) -> Fault:
    touched = {step.subject for step, _ in progress.written}
    touched.update(step.subject for step in progress.unknown)
    states = {
        "undone": progress.undone,
        "still_changed": progress.not_undone,
        "unknown": progress.unknown,
        "not_changed": [step for step in steps if step.subject not in touched],
    }
    texts = {
        "undone": "was changed and has been restored",
        "still_changed": "was changed and could not be restored",
        "unknown": "may have been changed",
        "not_changed": "was not changed",
    }
    lines = [
        f"{step.subject} {texts[state]}" for state in states for step in states[state]
    ]
    value = {state: [step.subject for step in states[state]] for state in states}
    code = fault.code
    if progress.unknown:
        code = ExitCode.UNKNOWN
    if progress.not_undone:
        code = ExitCode.PARTIAL
    kept = tuple(line for line in fault.lines if line != NOTHING_CHANGED)
    return Fault(code, kept + tuple(lines), fault.value | value)


def _build_output(
    steps: list[Step], prefix: str, lines: tuple[str, ...] = ()
) -> Output:
    rows = tuple(
        (step.kind.value, step.name, prefix + step.action.value) for step in steps
    )
    value = [
        {"kind": step.kind.value, "name": step.name, "action": step.action.value}
        for step in steps
    ]
    return Output(value, (Table(("kind", "name", "action"), rows),), lines)


__all__ = ["apply_files", "list_declared"]
