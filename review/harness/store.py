"""The platform's store as its page describes it, with the standard library alone."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = "/balsamstream/objects/"
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name with one revision counter, and waiting watches.

    Attributes
    ----------
    is_silent : bool
        Whether calls get no answer and are not carried out.
    era : int
        Number in the header ``Store-Era``.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.era = 1
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, as at the end of an outage."""
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Write an object as the operator does; return it."""
        known = self._objects.setdefault(kind, {}).get(name)
        self._revision += 1
        created = known["meta"]["create_rev"] if known else self._revision
        meta = {"name": name, "revision": self._revision, "create_rev": created}
        body = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind][name] = body
        self._add_event(kind, body, is_tombstone=False)
        return body

    def list_names(self, kind: str) -> list[str]:
        """List the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def _remove(self, kind: str, name: str) -> dict[str, Any]:
        body = self._objects[kind].pop(name)
        self._revision += 1
        meta = {**body["meta"], "revision": self._revision}
        gone = {**body, "meta": meta}
        self._add_event(kind, gone, is_tombstone=True)
        return gone

    def _add_event(
        self, kind: str, body: dict[str, Any], *, is_tombstone: bool
    ) -> None:
        self._events.append((self._revision, kind, body, is_tombstone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, path, _ = head.split("\r\n")[0].split(" ")
                size = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.partition(":")[2])
                body = await reader.readexactly(size)
                if self.is_silent:
                    # Nothing further comes on this connection.
                    await asyncio.sleep(3600)
                status, answer = await self._answer(method, path, body)
                if self.is_silent:
                    await asyncio.sleep(3600)
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\nStore-Era: {self.era}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(ROOT).partition("/")
        if method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            items = list(self._objects.get(kind, {}).values())
            return 200, {"items": items, "has_more": False, "as_of": self._revision}
        known = self._objects.get(kind, {}).get(name)
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["meta"]["name"]
            known = self._objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, document["spec"])
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = document.get("meta", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self._remove(kind, name)
        if known["spec"] == document["spec"]:
            return 200, known
        return 200, self.put(kind, name, document["spec"])

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1_000
        while True:
            found = [
                {"object": body, "tombstone": tombstone}
                for revision, of_kind, body, tombstone in self._events
                if revision > after and of_kind == kind
            ]
            left_s = end - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return 200, {"events": found, "as_of": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
