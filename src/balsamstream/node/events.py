"""Events of a node: each is logged and counted in the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.platform.packets import describe_flow

if TYPE_CHECKING:
    from .logs import Logs
    from .metrics import Metrics


class NodeEvents:
    """Logs and counts the events of one process.

    Parameters
    ----------
    logs : Logs
        Log of the process.
    metrics : Metrics
        Counters and histograms of the process.
    logs_flows : bool
        Whether events of single flows are logged; they are always counted.
    """

    def __init__(self, logs: Logs, metrics: Metrics, *, logs_flows: bool) -> None:
        self._logs = logs
        self._metrics = metrics
        self.logs_flows = logs_flows

    def emit(self, event: str, **inputs: object) -> None:
        """Log and count an event of the process."""
        self._metrics.count(event)
        self._logs.write(event, **inputs)

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Count an event of a single flow, and log it if `logs_flows` is set."""
        self._metrics.count("flows." + event)
        if self.logs_flows:
            self._logs.write(event, flow=describe_flow(flow), **inputs)

    def emit_error(self, place: str, error: Exception) -> None:
        """Log and count an unexpected error that was caught."""
        self._metrics.count("errors")
        self._logs.error("error_caught", place=place, error=repr(error)[:300])

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter without logging."""
        self._metrics.count(name, amount)

    def observe_opening(self, seconds: float) -> None:
        """Observe the time from a host's first packet to the caller's next packet."""
        self._metrics.observe("opening_seconds", seconds)

    def observe_waiting(self, seconds: float) -> None:
        """Observe the time that an opening packet waited for a slot."""
        self._metrics.observe("waiting_seconds", seconds)

    def observe_service(self, seconds: float) -> None:
        """Observe the time that a host worked on a request, without the wait."""
        self._metrics.observe("service_seconds", seconds)

    def observe_expected_wait(self, seconds: float) -> None:
        """Observe the reported time until a host begins one more request."""
        self._metrics.observe("expected_wait_seconds", seconds)

    def observe_answer(self, seconds: float) -> None:
        """Observe the time from a request to the first packet of its answer."""
        self._metrics.observe("answer_seconds", seconds)


__all__ = ["NodeEvents"]
