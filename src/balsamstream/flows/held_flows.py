"""Flows that callers use through one front, by the incarnation of the host.

Load pattern: hosts restart, one by one or all at a loss of power, while callers keep
flows open. A caller learns that its flow has ended only when it sends a request there,
and that request fails if it may not be repeated. A front that knows which flows a
host's former incarnation held resets them at once, so that the next request opens a new
flow; a request that waits for an answer is repeated at once where that is safe.

A front saves its flows in the store from time to time, as a loss of power leaves no
node that knows them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .hints import Hints

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

MIN_AGE_S: Final = 3.0
"""Age of a flow at which a gate that still reports the same incarnation would know of
another one: a ready host misses no heartbeats for as long."""
MAX_SAVED: Final = 32_768
"""Flows that are saved: they take 0.7 of the 1 MB that an object of the store has."""


@dataclass(slots=True)
class HeldFlow:
    """An open flow and its holder.

    Attributes
    ----------
    host : str
        Address of the host.
    incarnation : int
        Incarnation of the host, in milliseconds since 1970; 0 if it is not known.
    ack : int
        Last acknowledgement number of the caller, which a reset has to repeat.
    opened_at : float
        Time of the first packet here, in seconds; minus infinity for a saved flow.
    """

    host: str
    incarnation: int
    ack: int
    opened_at: float

    @property
    def is_saved(self) -> bool:
        """Whether an earlier run has recorded the flow."""
        return self.opened_at == -math.inf


@dataclass(slots=True)
class ReportedHost:
    """Incarnation of a host that its gate has reported.

    Attributes
    ----------
    incarnation : int
        Incarnation of the host, in milliseconds since 1970.
    reported_at : float
        Time of the last report with it, in seconds.
    """

    incarnation: int
    reported_at: float


@dataclass(frozen=True, slots=True)
class SavedFlow:
    """An open flow as it is saved in the store.

    Attributes
    ----------
    key : bytes
        Key of the flow.
    host : str
        Address of the host.
    incarnation : int
        Incarnation of the host, in milliseconds since 1970.
    ack : int
        Last acknowledgement number of the caller.
    """

    key: bytes
    host: str
    incarnation: int
    ack: int


class HeldFlows:
    """Bounded table of the open flows of a front; unused entries expire.

    A front learns late which incarnation of a host runs, so the record of a flow proves
    nothing yet: the flow may have opened at the next incarnation. It is at the recorded
    one if the gate reports that incarnation long after the flow was first seen.
    """

    def __init__(self) -> None:
        self._flows: Hints[HeldFlow] = Hints()
        self._reported: dict[str, ReportedHost] = {}

    def record(
        self, flow: bytes, host: str, incarnation: int, ack: int, now: float
    ) -> None:
        """Record a caller packet that goes to the holder of its flow."""
        held = self._flows.get(flow)
        if held is not None and held.host == host and held.incarnation == incarnation:
            held.ack = ack
            return
        self._flows.put(flow, HeldFlow(host, incarnation, ack, now))

    def remove(self, flow: bytes) -> None:
        """Remove a flow that has ended, or whose holder is in doubt."""
        self._flows.remove(flow)

    def remove_elsewhere(self, flow: bytes, host: str) -> None:
        """Remove a flow whose holder is another host than the recorded one."""
        held = self._flows.get(flow)
        if held is not None and held.host != host:
            self._flows.remove(flow)

    def pop_ended(
        self, host: str, incarnation: int, now: float
    ) -> dict[bytes, HeldFlow]:
        """Record a report on a host, and remove the flows that have ended by it.

        Parameters
        ----------
        host : str
            Address of the host.
        incarnation : int
            Its reported incarnation, in milliseconds since 1970.
        now : float
            Time, in seconds.

        Returns
        -------
        dict of bytes to HeldFlow
            The records of the flows that were at earlier incarnations.
        """
        reported = self._reported.get(host)
        if reported is not None and incarnation <= reported.incarnation:
            if incarnation == reported.incarnation:
                reported.reported_at = now
            return {}
        ended = self._pop_earlier({host: incarnation})
        self._reported[host] = ReportedHost(incarnation, now)
        return ended.get(host, {})

    def pop_restored(self) -> dict[str, dict[bytes, HeldFlow]]:
        """Remove restored flows that have ended by the reports so far, by host."""
        present = {ip: each.incarnation for ip, each in self._reported.items()}
        return self._pop_earlier(present)

    def _pop_earlier(self, present: dict[str, int]) -> dict[str, dict[bytes, HeldFlow]]:
        """Remove the flows of incarnations before the present ones, by host."""
        ended: dict[str, dict[bytes, HeldFlow]] = {}
        for flow, held in self._flows.items():
            if not 0 < held.incarnation < present.get(held.host, 0):
                continue
            if self._is_proven(held):
                ended.setdefault(held.host, {})[flow] = held
            else:
                held.incarnation = 0
        for flows in ended.values():
            for flow in flows:
                self._flows.remove(flow)
        return ended

    def _is_proven(self, held: HeldFlow) -> bool:
        """Return whether a flow is known to be at the recorded incarnation."""
        if held.is_saved:
            return True
        reported = self._reported.get(held.host)
        if reported is None or reported.incarnation != held.incarnation:
            return False
        return reported.reported_at - held.opened_at >= MIN_AGE_S

    def restore(self, flows: Iterable[SavedFlow]) -> None:
        """Add flows that an earlier run of this front has saved."""
        for saved in flows:
            if self._flows.get(saved.key) is not None:
                continue
            held = HeldFlow(saved.host, saved.incarnation, saved.ack, -math.inf)
            self._flows.put(saved.key, held)

    def list_saved(self) -> list[SavedFlow]:
        """List the flows to save; those at an unproven incarnation are not."""
        return list(self._iterate_known())[:MAX_SAVED]

    def _iterate_known(self) -> Iterator[SavedFlow]:
        for flow, held in self._flows.items():
            if held.incarnation and self._is_proven(held):
                yield SavedFlow(flow, held.host, held.incarnation, held.ack)

    def tick(self, now: float) -> None:
        """Drop unused entries when due."""
        self._flows.tick(now)


def describe_ended(flows: Collection[HeldFlow], now: float) -> dict[str, object]:
    """Return the log fields of flows that ended with earlier incarnations of a host.

    Parameters
    ----------
    flows : collection of HeldFlow
        The flows, at least one.
    now : float
        Time, in seconds.

    Returns
    -------
    dict of str to object
        First and last incarnation with which they were recorded, how many an earlier
        run has saved, and the age of the youngest other one, None if there is none.
    """
    incarnations = [held.incarnation for held in flows]
    ages_s = [now - held.opened_at for held in flows if not held.is_saved]
    return {
        "recorded_first": min(incarnations),
        "recorded_last": max(incarnations),
        "restored": len(flows) - len(ages_s),
        "youngest_s": round(min(ages_s), 3) if ages_s else None,
    }


__all__ = [
    "MAX_SAVED",
    "MIN_AGE_S",
    "HeldFlow",
    "HeldFlows",
    "ReportedHost",
    "SavedFlow",
    "describe_ended",
]
