"""Calls that are made again on a new connection while the first still waits.

Load pattern: a server that was silent is back, and calls from before hang for their
whole timeout; or it is slow, and giving calls up early gets none of them done.
"""

from __future__ import annotations

import asyncio
from typing import Final

from .client import ClientResponse, HttpClient

HEDGE_DELAY_S: Final = 0.6
"""A server that answers in milliseconds is asked again after so long."""
MOST_AT_ONCE: Final = 6


class HedgedClient:
    """Calls to one server that may be made more than once.

    Parameters
    ----------
    host, port : str, int
        Where the server listens.
    hedge_s : float
        Time after which a call is made again beside the first, in seconds.
    """

    def __init__(self, host: str, port: int, hedge_s: float = HEDGE_DELAY_S) -> None:
        self._host = host
        self._port = port
        self._hedge_s = hedge_s
        self._client = HttpClient(host, port)

    def close(self) -> None:
        """Drop the connection."""
        self._client.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout_s: float
    ) -> ClientResponse:
        """Make one call; repeating it must do no harm.

        Raises
        ------
        OSError
            If no connection brought an answer within the time.
        """
        calls: dict[asyncio.Task[ClientResponse], HttpClient] = {}
        client = self._client
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            while True:
                left_s = deadline - asyncio.get_running_loop().time()
                if len(calls) < MOST_AT_ONCE and left_s > 0:
                    work = client.call(method, path, body, timeout_s=left_s)
                    calls[asyncio.create_task(work)] = client
                wait_s = min(self._hedge_s, max(left_s, 0.0))
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
                    # An error comes at once; waiting is up to the caller.
                    done.pop().result()
                if left_s <= 0:
                    raise TimeoutError("no answer in time")
                client = HttpClient(self._host, self._port)
        finally:
            for task, other in calls.items():
                task.cancel()
                other.close()


__all__ = ["HEDGE_DELAY_S", "HedgedClient"]
