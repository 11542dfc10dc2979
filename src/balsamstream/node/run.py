"""Command ``balsamstream-node --settings FILE``, which runs a front or a gate."""

from __future__ import annotations

import gc
import sys

# There is no garbage to collect until all modules are imported.
gc.disable()

from .metrics import block_ssl_import  # noqa: E402

block_ssl_import()

import os  # noqa: E402
from typing import TYPE_CHECKING, Final  # noqa: E402

from balsamstream.platform.interface import SETTINGS_VARIABLE  # noqa: E402

from .settings import SettingsError, load_settings  # noqa: E402
from .sockets import SocketPool  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_FAILED_START: Final = 1
EXIT_INVALID_SETTINGS: Final = 2


def run(arguments: Sequence[str] | None = None) -> None:
    """Run `main` and exit with its status."""
    sys.exit(main(arguments))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until SIGTERM or SIGINT.

    The sockets that others send to are open before the modules of the role are
    imported; see `sockets`.

    Parameters
    ----------
    arguments : sequence of str or None
        Command line without the program's name; None for the process's own.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if the sockets cannot be opened, 2 if
        the settings are invalid.
    """
    path = _parse_arguments(sys.argv[1:] if arguments is None else arguments)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        _log_failure("", "wrong_settings", path=path, reason=str(error))
        return EXIT_INVALID_SETTINGS
    sockets = SocketPool()
    try:
        sockets.open_for(settings)
    except OSError as error:
        sockets.close()
        _log_failure(settings.name, "start_failed", reason=str(error))
        return EXIT_FAILED_START
    from .process import run_node

    return run_node(path, settings, sockets)


def _log_failure(node: str, event: str, **fields: str) -> None:
    from .logs import Logs

    logs = Logs(node)
    logs.error(event, **fields)
    logs.flush()


def _parse_arguments(arguments: Sequence[str]) -> str:
    """Return the path of the settings file."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not arguments and path is not None:
        return path
    # Imported late: the platform starts nodes without arguments.
    import argparse

    parser = argparse.ArgumentParser(
        prog="balsamstream-node",
        description="Runs a front or a gate, as set in its settings. SIGTERM stops it "
        "gracefully; SIGHUP reloads the settings.",
    )
    parser.add_argument(
        "--settings",
        default=path,
        metavar="FILE",
        help=f"YAML file with the settings; the default is the path in the "
        f"environment variable {SETTINGS_VARIABLE}",
    )
    path = parser.parse_args(arguments).settings
    if path is None:
        parser.error(f"neither --settings nor {SETTINGS_VARIABLE} is given")
    return str(path)


if __name__ == "__main__":
    run()

__all__ = ["main", "run"]
