"""Interface to the log and the metrics."""

from __future__ import annotations

from typing import Protocol


class Events(Protocol):
    """Logs and counts decisions together with their inputs."""

    def emit(self, event: str, **inputs: object) -> None:
        """Log and count a change of the process's state."""

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Log and count a decision on a flow."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter without a log line."""

    def observe_opening(self, seconds: float) -> None:
        """Record the time from a host's first packet to the caller's next one."""

    def observe_waiting(self, seconds: float) -> None:
        """Record the time that an opening packet has waited for a slot."""

    def observe_service(self, seconds: float) -> None:
        """Record the time that a host has worked on a request, without the wait."""

    def observe_expected_wait(self, seconds: float) -> None:
        """Record the reported time until a host begins one more request."""

    def observe_answer(self, seconds: float) -> None:
        """Record the time from a request to the first packet of its answer."""


__all__ = ["Events"]
