"""Management of child processes: start, readiness, signals and cleanup."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT: Final = Path(__file__).resolve().parents[1]
READY_PREFIX: Final = "ready "
READY_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 5.0
POLL_INTERVAL_S: Final = 0.02
TAIL_LINES: Final = 20


class ProcessError(Exception):
    """A child process ended early or did not become ready in time."""


@dataclass(slots=True)
class Child:
    """A child process and the file that its output is written to.

    Attributes
    ----------
    name : str
        Name, unique within the group.
    process : subprocess.Popen
        The running or ended process.
    output : Path
        File with its standard output and standard error.
    offset : int
        Position in the file where the output of this run begins, in bytes.
    """

    name: str
    process: subprocess.Popen[bytes]
    output: Path
    offset: int

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def read_output(self) -> str:
        """Read the output of this run so far."""
        with self.output.open("rb") as file:
            file.seek(self.offset)
            return file.read().decode(errors="replace")


class Processes:
    """A group of child processes, ended together by `close`.

    Parameters
    ----------
    directory : Path
        Folder of the children's output, written to ``NAME.log``.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._children: dict[str, Child] = {}

    def start(self, name: str, arguments: Sequence[str]) -> Child:
        """Start a Python program.

        Parameters
        ----------
        name : str
            Name of the child; it can be reused once that child has ended.
        arguments : sequence of str
            Arguments of the interpreter, such as ``["-m", "standins.platform"]``.

        Returns
        -------
        Child
            The child, which may not be ready yet.
        """
        known = self._children.get(name)
        if known is not None and known.is_running():
            raise ProcessError(f"{name} is running already")
        output = self._directory / f"{name}.log"
        with output.open("ab") as file:
            offset = file.tell()
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                env=build_environment(),
                cwd=ROOT,
            )
        child = Child(name, process, output, offset)
        self._children[name] = child
        return child

    def get(self, name: str) -> Child:
        """Return the child with a name."""
        return self._children[name]

    def wait_ready(self, name: str, timeout_s: float = READY_TIMEOUT_S) -> list[str]:
        """Wait for the child's ``ready ADDRESS...`` line.

        Returns
        -------
        list of str
            The addresses on that line.
        """
        child = self._children[name]
        deadline = time.monotonic() + timeout_s
        while True:
            for line in child.read_output().splitlines(keepends=True):
                if line.startswith(READY_PREFIX) and line.endswith("\n"):
                    return line.removeprefix(READY_PREFIX).split()
            _check_starting(child, deadline)

    def wait_http(
        self, name: str, url: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the child answers an HTTP GET with a status below 500."""
        child = self._children[name]
        deadline = time.monotonic() + timeout_s
        while not _responds(url):
            _check_starting(child, deadline)

    def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the child to exit, and return its exit status."""
        return self._children[name].process.wait(timeout_s)

    def kill(self, name: str) -> None:
        """Kill the child (SIGKILL) and wait for its end."""
        process = self._children[name].process
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend the child (SIGSTOP)."""
        self._children[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended child (SIGCONT)."""
        self._children[name].process.send_signal(signal.SIGCONT)

    def hang_up(self, name: str) -> None:
        """Make the child reload its settings (SIGHUP)."""
        self._children[name].process.send_signal(signal.SIGHUP)

    def terminate(self, name: str) -> None:
        """Terminate the child (SIGTERM) without waiting for it."""
        self._children[name].process.terminate()

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate the child and wait for its end; kill it after the timeout.

        Returns
        -------
        int
            Exit status, as `subprocess.Popen.returncode`.
        """
        process = self._children[name].process
        process.send_signal(signal.SIGCONT)
        process.terminate()
        return self.wait_stopped(name, timeout_s)

    def wait_stopped(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of a terminated child; kill it after the timeout.

        Returns
        -------
        int
            Exit status, as `subprocess.Popen.returncode`.
        """
        process = self._children[name].process
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def close(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Terminate all children, and kill those still running after the timeout."""
        running = [child for child in self._children.values() if child.is_running()]
        for child in running:
            child.process.send_signal(signal.SIGCONT)
            child.process.terminate()
        deadline = time.monotonic() + timeout_s
        for child in running:
            self.wait_stopped(child.name, max(0.0, deadline - time.monotonic()))


def build_environment() -> dict[str, str]:
    """Build an environment in which children can import the sources."""
    return {
        **os.environ,
        "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT)]),
        "PYTHONUNBUFFERED": "1",
    }


def _check_starting(child: Child, deadline: float) -> None:
    if not child.is_running():
        raise ProcessError(
            f"{child.name} ended with {child.process.returncode}:\n{_read_tail(child)}"
        )
    if time.monotonic() > deadline:
        raise ProcessError(f"{child.name} is not ready in time:\n{_read_tail(child)}")
    time.sleep(POLL_INTERVAL_S)


def _read_tail(child: Child) -> str:
    return "\n".join(child.read_output().splitlines()[-TAIL_LINES:])


def _responds(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1.0):
            return True
    except urllib.error.HTTPError as error:
        return error.code < 500
    except OSError:
        return False


__all__ = [
    "ROOT",
    "STOP_TIMEOUT_S",
    "Child",
    "ProcessError",
    "Processes",
    "build_environment",
]
