"""Check that a model or test detects the removal of each guard.

``make model-mutants``
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import io
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import redirect_stdout
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING, Final

from .guards import GUARDS, Guard

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import CodeType, ModuleType

    from .search import Outcome

MAX_SEARCH_S: Final = 60.0
WORKERS: Final = 3


class _MutantLoader(importlib.machinery.SourceFileLoader):
    """Loads a module with one guard removed."""

    def __init__(self, guard: Guard, path: str) -> None:
        super().__init__(guard.module, path)
        self._guard = guard

    def get_code(self, fullname: str) -> CodeType:
        """Compile the changed source, bypassing the cache of compiled modules."""
        source = Path(self.path).read_text()
        changed = self._guard.remove(source)
        return compile(changed, self.path, "exec", dont_inherit=True)


class _MutantFinder(importlib.abc.MetaPathFinder):
    """Redirects the import of a guard's module to the changed source."""

    def __init__(self, guard: Guard) -> None:
        self._guard = guard

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of the guard's module, or None for any other module."""
        if fullname != self._guard.module:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path)
        if spec is None or spec.origin is None:
            return None
        loader = _MutantLoader(self._guard, spec.origin)
        return importlib.util.spec_from_loader(fullname, loader, origin=spec.origin)


def check_without(number: int) -> Outcome:
    """Search the model of one guard, or run its test, with the guard removed.

    The import hook stays installed, so each call needs a process of its own.
    """
    guard = GUARDS[number]
    sys.meta_path.insert(0, _MutantFinder(guard))
    if guard.test:
        return _run_test(guard)
    from .run import check

    outcome, _ = check(guard.model, MAX_SEARCH_S)
    return outcome


def _run_test(guard: Guard) -> Outcome:
    """Run the test of a guard; a failure counts as a violation found."""
    import pytest

    from .search import Outcome

    with redirect_stdout(io.StringIO()):
        status = pytest.main(["-q", "-p", "no:cacheprovider", guard.test])
    outcome = Outcome(guard.model)
    if status == pytest.ExitCode.TESTS_FAILED:
        outcome.violation = guard.test
    return outcome


def run() -> int:
    """Check each guard, `WORKERS` at a time."""
    missed = 0
    context = get_context("spawn")
    with ProcessPoolExecutor(
        WORKERS, mp_context=context, max_tasks_per_child=1
    ) as pool:
        for guard, outcome in zip(GUARDS, pool.map(check_without, range(len(GUARDS)))):
            verdict = f"caught: {outcome.violation}" if outcome.violation else "MISSED"
            missed += not outcome.violation
            print(f"without {guard.name} ({outcome.model}): {verdict}")
            for step, label in enumerate(outcome.trace, start=1):
                print(f"  {step}. {label[:300]}")
            sys.stdout.flush()
    print(f"{len(GUARDS)} guards, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(run())
