"""What was decided: a line in the log and a count in the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.platform.packets import describe_flow

if TYPE_CHECKING:
    from .logs import Logs
    from .metrics import Metrics


class NodeEvents:
    """Notes the decisions of one process.

    Parameters
    ----------
    logs : Logs
        Where lines go.
    metrics : Metrics
        Where counts go.
    logs_flows : bool
        Whether decisions on single flows get lines.
    """

    def __init__(self, logs: Logs, metrics: Metrics, *, logs_flows: bool) -> None:
        self._logs = logs
        self._metrics = metrics
        self.logs_flows = logs_flows

    def emit(self, event: str, **inputs: object) -> None:
        """Log and count a change of what the process believes."""
        self._metrics.count(event)
        self._logs.write(event, **inputs)

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Log and count a decision on a flow."""
        self._metrics.count("flows." + event)
        if self.logs_flows:
            self._logs.write(event, flow=describe_flow(flow), **inputs)

    def emit_error(self, place: str, error: Exception) -> None:
        """Log and count an error that was caught so that the process goes on."""
        self._metrics.count("errors")
        self._logs.error("error_caught", place=place, error=repr(error)[:300])

    def count(self, name: str, amount: int = 1) -> None:
        """Count what needs no line of its own."""
        self._metrics.count(name, amount)

    def observe_opening(self, seconds: float) -> None:
        """Add the time from a host's first packet to the caller's next one."""
        self._metrics.observe("opening_seconds", seconds)

    def observe_waiting(self, seconds: float) -> None:
        """Add the time that an opening packet has waited for a slot."""
        self._metrics.observe("waiting_seconds", seconds)

    def observe_answer(self, seconds: float) -> None:
        """Add the time from a request to the first packet of its answer."""
        self._metrics.observe("answer_seconds", seconds)


__all__ = ["NodeEvents"]
