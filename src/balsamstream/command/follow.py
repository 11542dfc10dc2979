"""Shows the log lines of one flow from the logs of several nodes."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from .outcome import ExitCode, Fault, Output, Table

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

    from .outcome import Outcome

FIELD_PATTERN: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STATE_EVENTS: Final = frozenset(
    {
        "desired_state",
        "evacuations",
        "front_found",
        "front_lost",
        "gate_found",
        "gate_lost",
        "history_gone",
        "host_started",
        "host_state",
        "log_lines_lost",
        "paused",
        "settings_read",
        "started",
        "starting",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
    }
)
"""Events that log a change of a node's own state, or of another node, a host or the
store as the node sees it."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Attributes
    ----------
    time_s : float
        Unix time by the clock of the node, in seconds.
    node, event : str
        Name of the node and of the event.
    flow : str
        Id of the flow, empty for a state change.
    inputs : str
        All other fields as written in the log.
    """

    time_s: float
    node: str
    event: str
    flow: str
    inputs: str


def follow_flow(paths: Sequence[Path], flow: str, around_s: float) -> Outcome:
    """Show the log lines of flows by a prefix of their id, and state changes near them.

    Parameters
    ----------
    paths : sequence of Path
        Logs of the nodes.
    flow : str
        Prefix of the flow's id, such as the caller's ``IP:PORT``.
    around_s : float
        Largest distance in time between a line of the flow and a state change that
        is shown with it, in seconds. Only nodes that have lines of the flow are
        considered.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{path}: {error.strerror}"
            return Failure(Fault(ExitCode.INVALID, (message,)))
        lines += parse_log(text)
    lines.sort(key=lambda line: line.time_s)
    flow_lines = [line for line in lines if line.flow.startswith(flow)]
    if not flow or not flow_lines:
        return Failure(Fault(ExitCode.MISSING, (f"no log line of the flow {flow}",)))
    nodes = {line.node for line in flow_lines}
    state_changes = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and line.node in nodes
        and any(
            abs(line.time_s - flow_line.time_s) <= around_s for flow_line in flow_lines
        )
    ]
    shown = sorted(flow_lines + state_changes, key=lambda line: line.time_s)
    rows = tuple(_build_row(line, flow_lines[0].time_s) for line in shown)
    columns = ("seconds", "node", "event", "flow", "inputs")
    value = [dict(zip(columns, row, strict=True)) for row in rows]
    return Success(Output(value, (Table(columns, rows),)))


def parse_log(text: str) -> Iterator[LogLine]:
    """Parse the lines of a node's log; other lines, as of a supervisor, are skipped."""
    for row in text.splitlines():
        fields = dict(FIELD_PATTERN.findall(row))
        try:
            time_s = float(fields.pop("time"))
            node, event = fields.pop("node"), fields.pop("event")
        except (KeyError, ValueError):
            continue
        flow = fields.pop("flow", "")
        inputs = " ".join(f"{name}={value}" for name, value in fields.items())
        yield LogLine(time_s, node, event, flow, inputs)


def _build_row(line: LogLine, first_s: float) -> tuple[str, ...]:
    since = f"{line.time_s - first_s:+.3f}"
    return (since, line.node, line.event, line.flow, line.inputs)


__all__ = ["LogLine", "follow_flow", "parse_log"]
