"""Requests of callers during a soak, and their outcomes."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, Final

from standins.flow_site import ROUTE

if TYPE_CHECKING:
    from standins.flow_site import CallerGroup, RequestOutcome, Rotation

LABELS_ROUTE: Final = ("198.18.0.2", 443)
REQUEST_BYTES: Final = 64
"""Size of requests, several times that of a host's failure."""
ANSWER_TIMEOUT_S: Final = 3.0


class RequestSender:
    """Sends requests and collects their outcomes.

    Parameters
    ----------
    fronts : Rotation
        Fronts in rotation.

    Attributes
    ----------
    outcomes : list of tuple of RequestOutcome and bytes
        Outcome and data of each request that has ended.
    """

    def __init__(self, fronts: Rotation) -> None:
        self._fronts = fronts
        self._extra_numbers = itertools.count(1)
        self.outcomes: list[tuple[RequestOutcome, bytes]] = []

    async def run(self, callers: CallerGroup, seed: int) -> None:
        """Send one request after another, with pauses, until cancelled."""
        source = random.Random(seed)
        for number in itertools.count(1):
            route = source.choice((ROUTE, ROUTE, LABELS_ROUTE))
            hold_s = source.choice((0.0, 0.0, 0.5, 2.0))
            await self._send(callers, f"{seed}-{number}", route, hold_s)
            await asyncio.sleep(source.uniform(0.0, 0.05))

    async def run_without_pauses(
        self,
        callers: CallerGroup,
        route: tuple[str, int],
        streams: int,
        length_s: float,
    ) -> None:
        """Send requests on one route in several streams for a time, in seconds."""
        end = asyncio.get_running_loop().time() + length_s

        async def run_stream() -> None:
            while asyncio.get_running_loop().time() < end:
                name = f"extra-{next(self._extra_numbers)}"
                await self._send(callers, name, route, 0.0)

        await asyncio.gather(*(run_stream() for _ in range(streams)))

    async def _send(
        self, callers: CallerGroup, name: str, route: tuple[str, int], hold_s: float
    ) -> None:
        data = name.encode().ljust(REQUEST_BYTES, b".")
        outcome = await callers.request(
            self._fronts,
            route=route,
            data=data,
            hold_s=hold_s,
            deadline_s=hold_s + ANSWER_TIMEOUT_S,
        )
        self.outcomes.append((outcome, data))


__all__ = ["LABELS_ROUTE", "RequestSender"]
