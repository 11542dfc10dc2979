"""A TCP proxy on loopback that can delay, drop or reset connections."""

from __future__ import annotations

import asyncio
import enum
from typing import Final

CHUNK_BYTES: Final = 65_536
DELAY_S: Final = 0.3


class ProxyMode(enum.Enum):
    """Treatment of connections and their bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    REQUESTS_ONLY = "requests only"
    RESET = "reset"


class Proxy:
    """Forwards TCP connections to a server.

    Parameters
    ----------
    listen, target : tuple of str and int
        Address to listen on, and address of the server.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = ProxyMode.OPEN

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset_connections()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode; connections that have dropped bytes keep dropping them."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back_writer}
        there = self._relay(reader, back_writer, is_request=True)
        back = self._relay(back_reader, writer, is_request=False)
        for work in (there, back):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        is_silent = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is ProxyMode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                is_silent = is_silent or self._should_drop(is_request)
                if is_silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            if not is_silent:
                writer.transport.abort()

    def _should_drop(self, is_request: bool) -> bool:
        match self.mode:
            case ProxyMode.SILENT:
                return True
            case ProxyMode.REQUESTS_ONLY:
                return not is_request
        return False


__all__ = ["Proxy", "ProxyMode"]
