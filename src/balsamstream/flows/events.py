"""Where decisions are noted: one line and one count each."""

from __future__ import annotations

from typing import Protocol


class Events(Protocol):
    """Takes what was decided, and why."""

    def emit(self, event: str, **inputs: object) -> None:
        """Log and count a change of what the process believes."""

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Log and count a decision on a flow."""

    def count(self, name: str, amount: int = 1) -> None:
        """Count what needs no line of its own."""

    def observe_opening(self, seconds: float) -> None:
        """Add the time from a host's first packet to the caller's next one."""

    def observe_waiting(self, seconds: float) -> None:
        """Add the time that an opening packet has waited for a slot."""

    def observe_answer(self, seconds: float) -> None:
        """Add the time from a request to the first packet of its answer."""


__all__ = ["Events"]
