"""Command line of the daemon: ``balsamstreamd --settings FILE``."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_WRONG_SETTINGS: Final = 2


def run(arguments: Sequence[str] | None = None) -> None:
    """Run until SIGTERM, then exit with the status of `main`."""
    sys.exit(main(arguments))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until SIGTERM.

    Parameters
    ----------
    arguments : sequence of str or None
        Command line without the program's name, or None for the process's own.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 after a failure, 2 for invalid
        settings.
    """
    parser = argparse.ArgumentParser(
        prog="balsamstreamd",
        description="Runs a balancer or an agent, depending on the settings. SIGTERM "
        "stops it gracefully, a second one at once; SIGHUP reloads keys and log level.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="YAML file with the settings"
    )
    path = parser.parse_args(arguments).settings
    _block_rich_import()
    return _run_daemon(path)


def _block_rich_import() -> None:
    """Prevent structlog from importing rich.

    The library formats tracebacks for terminals, which the daemon doesn't need, and
    takes several megabytes of memory.
    """
    sys.modules.setdefault("rich", None)  # type: ignore[arg-type]


def _run_daemon(path: str) -> int:
    import asyncio

    import structlog
    from returns.result import Failure, Success

    from .daemon import Daemon
    from .logs import configure_logs
    from .settings import LogLevel
    from .settings_file import load_settings

    configure_logs(LogLevel.INFO)
    log = structlog.get_logger("balsamstream.daemon")
    match load_settings(path):
        case Failure(problems):
            for problem in problems:
                log.error("wrong_settings", problem=str(problem))
            return EXIT_WRONG_SETTINGS
        case Success(settings):
            configure_logs(settings.log_level)
            return asyncio.run(Daemon(path, settings).run())
    raise AssertionError("unreachable")


if __name__ == "__main__":
    run()

__all__ = ["main", "run"]
