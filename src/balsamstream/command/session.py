"""Runs a command's action with a client of the platform."""

from __future__ import annotations

import asyncio
import enum
import getpass
import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure

from ..objectapi import HttpTransport, PlatformClient
from .outcome import ExitCode, Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .outcome import Outcome


class OutputFormat(enum.Enum):
    """Format of a command's output."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class Options:
    """Options common to all commands.

    Attributes
    ----------
    platform : str or None
        URL of the platform's object API.
    ca_file : str or None
        PEM file of the certificates to trust instead of the system's.
    output_format : OutputFormat
        Format of the output.
    """

    platform: str | None = None
    ca_file: str | None = None
    output_format: OutputFormat = OutputFormat.TABLE


def run_on_platform(
    options: Options, action: Callable[[PlatformClient], Awaitable[Outcome]]
) -> Outcome:
    """Run an action with a client of the platform; close the client afterwards."""
    if options.platform is None:
        line = "set the platform's URL with --platform or BALSAMSTREAM_PLATFORM"
        return Failure(Fault(ExitCode.USAGE, (line,)))
    transport = HttpTransport(options.platform, options.ca_file)
    client = PlatformClient(transport, author=build_author())
    return asyncio.run(_run(client, options, action))


def build_author() -> str:
    """Build the name that changes are recorded under, as ``USER@MACHINE:PID``."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()}:{os.getpid()}"


async def _run(
    client: PlatformClient,
    options: Options,
    action: Callable[[PlatformClient], Awaitable[Outcome]],
) -> Outcome:
    try:
        await client.start()
    except OSError as error:
        line = f"--ca-file {options.ca_file}: {error.strerror or error}"
        return Failure(Fault(ExitCode.USAGE, (line,)))
    try:
        return await action(client)
    finally:
        await client.close()


__all__ = ["Options", "OutputFormat", "build_author", "run_on_platform"]
