"""HTTP client that hedges: it repeats an unanswered call on a new connection.

A call sent while the server was silent may hang for its whole timeout although the
server is back. Earlier attempts stay pending, because cancelling them early would let
no attempt complete while the server is slow.
"""

from __future__ import annotations

import asyncio
from typing import Final

from .client import ClientResponse, HttpClient

HEDGE_DELAY_S: Final = 0.6
"""Time before the next attempt; the server normally answers in milliseconds."""
URGENT_DELAY_S: Final = 0.1
"""The same at the beginning of an urgent call."""
URGENT_GROWTH: Final = 0.5
"""Share of an urgent call's age after which the next attempt is due, so that a long
silence of the server gets few attempts and its end is still noticed soon."""
MAX_PARALLEL_ATTEMPTS: Final = 6
"""The oldest attempt is aborted beyond this."""


class HedgedClient:
    """HTTP client of one server for calls that are safe to repeat.

    The connection that delivered a response is kept for the next call.

    Parameters
    ----------
    host, port : str, int
        Address and port of the server.
    hedge_s : float
        Time without a response after which another attempt is started in parallel, in
        seconds.
    """

    def __init__(self, host: str, port: int, hedge_s: float = HEDGE_DELAY_S) -> None:
        self._host = host
        self._port = port
        self._hedge_s = hedge_s
        self._client = HttpClient(host, port)

    @property
    def last_client(self) -> HttpClient:
        """Client whose connection delivered the last response."""
        return self._client

    def close(self) -> None:
        """Abort the connection."""
        self._client.close()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        is_urgent: bool = False,
    ) -> ClientResponse:
        """Send an idempotent request and return the first response.

        Parameters
        ----------
        method, path, body : str, str, bytes
            The request.
        timeout_s : float
            Time after which the call is given up, in seconds.
        is_urgent : bool
            Whether callers wait for what the response says, so that a lost one has to
            be made up for sooner.

        Raises
        ------
        OSError
            If no attempt received a response within the timeout, or all attempts
            failed.
        """
        loop = asyncio.get_running_loop()
        started_at = attempt_due = loop.time()
        calls: dict[asyncio.Task[ClientResponse], HttpClient] = {}
        client = self._client
        try:
            while True:
                left_s = started_at + timeout_s - loop.time()
                if left_s <= 0:
                    raise TimeoutError("no answer in time")
                if loop.time() >= attempt_due:
                    if len(calls) >= MAX_PARALLEL_ATTEMPTS:
                        _abort_oldest(calls)
                    work = client.call(method, path, body, timeout_s=left_s)
                    calls[asyncio.create_task(work)] = client
                    client = HttpClient(self._host, self._port)
                    age_s = loop.time() - started_at
                    attempt_due = loop.time() + self._compute_delay(age_s, is_urgent)
                wait_s = min(attempt_due - loop.time(), left_s)
                done, _ = await asyncio.wait(
                    calls, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    winner = calls.pop(task)
                    if task.exception() is not None:
                        continue
                    self._client = winner
                    return task.result()
                if done and not calls:
                    # All attempts failed: the caller decides whether and when to retry.
                    done.pop().result()
        finally:
            while calls:
                _abort_oldest(calls)

    def _compute_delay(self, age_s: float, is_urgent: bool) -> float:
        """Return the time until the next attempt of a call of some age."""
        if not is_urgent:
            return self._hedge_s
        return min(self._hedge_s, max(URGENT_DELAY_S, URGENT_GROWTH * age_s))


def _abort_oldest(calls: dict[asyncio.Task[ClientResponse], HttpClient]) -> None:
    task = next(iter(calls))
    client = calls.pop(task)
    task.cancel()
    client.close()


__all__ = ["HEDGE_DELAY_S", "HedgedClient"]
