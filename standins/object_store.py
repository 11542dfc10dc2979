"""The users' store as documented: objects, revisions, conditional writes, watches.

It can simulate outages, lost responses of writes, the loss of its history, lists that
are some seconds old, and its restoration from a copy.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import web

ROOT: Final = "/balsamstream/objects"
PAGE_ITEMS: Final = 50
ERA_HEADER: Final = "Store-Era"


@dataclass(frozen=True, slots=True)
class _Event:
    kind: str
    revision: int
    body: dict[str, Any]
    tombstone: bool


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one moment.

    Attributes
    ----------
    objects : dict
        Objects by kind and name.
    revision : int
        Revision of the store.
    """

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class ObjectStore:
    """Objects in memory, and the HTTP handlers for them.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` (503), ``silent`` (no response) or ``reset``.
    lost_share : float
        Share of writes that take effect without a response, 0 to 1.
    refused : set of str
        Addresses of nodes that get 503 while others are served.
    outdated : StoreCopy or None
        State that lists show whose reader allows that; None for the present one.
    calls : int
        Requests received.
    era : int
        Rises with each restoration from a copy.
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.lost_share = 0.0
        self.refused: set[str] = set()
        self.outdated: StoreCopy | None = None
        self.calls = 0
        self.era = 1
        self._random = random.Random(1)
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._revision = 1
        self._history: list[_Event] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._connections: set[asyncio.Transport] = set()

    def build(self) -> web.Application:
        """Build the application with all routes."""
        application = web.Application()
        application.on_response_prepare.append(self._add_era)
        application.router.add_get(ROOT + "/{kind}", self._list)
        application.router.add_post(ROOT + "/{kind}", self._create)
        application.router.add_get(ROOT + "/{kind}/{name}", self._get)
        application.router.add_put(ROOT + "/{kind}/{name}", self._replace)
        application.router.add_delete(ROOT + "/{kind}/{name}", self._delete)
        return application

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as an operator would; return its revision."""
        known = self._objects.get(kind, {}).get(name)
        create_revision = known["meta"]["create_rev"] if known else self._revision + 1
        await self._store(kind, name, spec, create_revision)
        return self._revision

    async def remove(self, kind: str, name: str) -> int:
        """Delete an object as an operator would; return the revision."""
        await self._remove(kind, name)
        return self._revision

    async def forget_history(self) -> None:
        """Drop the history; watches of older revisions end with 410."""
        self._history.clear()
        self._oldest = self._revision + 1
        self._revision += 1
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Copy all objects and the revision."""
        return StoreCopy(copy.deepcopy(self._objects), self._revision)

    async def restore(self, saved: StoreCopy) -> None:
        """Return to a copy: later changes are gone, and a new era begins.

        Revisions continue from that of the copy, so some are given out again. All
        connections are reset, as the store is away for a moment.
        """
        self._objects = copy.deepcopy(saved.objects)
        self._revision = saved.revision
        self._history = [e for e in self._history if e.revision <= saved.revision]
        self.era += 1
        for connection in self._connections:
            connection.abort()
        self._connections.clear()
        self._notify_watches()

    def get_spec(self, kind: str, name: str) -> object:
        """Return the content of an object."""
        return self._objects[kind][name]["spec"]

    def list_names(self, kind: str) -> list[str]:
        """List the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    async def _add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        if isinstance(request.transport, asyncio.Transport):
            self._connections.add(request.transport)
        await self._apply_mode(request)
        if "watch" in request.query:
            return await self._watch(request)
        after = request.query.get("after", "")
        shown = StoreCopy(self._objects, self._revision)
        if self.outdated is not None and request.query.get("allow_stale") == "1":
            shown = self.outdated
        known = shown.objects.get(request.match_info["kind"], {})
        names = [name for name in sorted(known) if name > after]
        page = names[:PAGE_ITEMS]
        return web.json_response(
            {
                "items": [known[name] for name in page],
                "has_more": len(names) > len(page),
                "as_of": shown.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1_000
        kind = request.match_info["kind"]
        era = self.era
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if since < self._oldest or since > self._revision:
                return web.json_response({}, status=410)
            events = [e for e in self._history if e.kind == kind and e.revision > since]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0 or self.mode != "up":
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
            if era != self.era:
                self._abort(request)
        await self._apply_mode(request)
        found = [{"object": e.body, "tombstone": e.tombstone} for e in events]
        return web.json_response({"events": found, "as_of": self._revision})

    async def _get(self, request: web.Request) -> web.StreamResponse:
        await self._apply_mode(request)
        known = self._find(request)
        if known is None:
            return web.json_response({}, status=404)
        return web.json_response(known)

    async def _create(self, request: web.Request) -> web.StreamResponse:
        await self._apply_mode(request)
        body = json.loads(await request.read())
        kind, name = request.match_info["kind"], body["meta"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return web.json_response(known, status=409)
        await self._store(kind, name, body["spec"], self._revision + 1)
        self._drop_response_by_chance(request)
        return web.json_response(self._objects[kind][name], status=201)

    async def _replace(self, request: web.Request) -> web.StreamResponse:
        await self._apply_mode(request)
        body = json.loads(await request.read())
        known = self._find(request)
        if known is None:
            return web.json_response({}, status=404)
        expected = body["meta"].get("revision")
        if expected is not None and expected != known["meta"]["revision"]:
            return web.json_response(known, status=409)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if known["spec"] != body["spec"]:
            await self._store(kind, name, body["spec"], known["meta"]["create_rev"])
        self._drop_response_by_chance(request)
        return web.json_response(self._objects[kind][name])

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        await self._apply_mode(request)
        known = self._find(request)
        if known is None:
            return web.json_response({}, status=404)
        expected = request.query.get("revision")
        if expected is not None and int(expected) != known["meta"]["revision"]:
            return web.json_response(known, status=409)
        await self._remove(request.match_info["kind"], request.match_info["name"])
        self._drop_response_by_chance(request)
        return web.json_response({})

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self._objects.get(kind, {}).get(name)

    async def _store(
        self, kind: str, name: str, spec: object, create_revision: int
    ) -> None:
        self._revision += 1
        meta = {
            "name": name,
            "revision": self._revision,
            "create_rev": create_revision,
            "finalizers": [],
            "deleting": False,
        }
        body = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = body
        await self._publish(_Event(kind, self._revision, body, tombstone=False))

    async def _remove(self, kind: str, name: str) -> None:
        body = self._objects.get(kind, {}).pop(name, None)
        if body is None:
            return
        self._revision += 1
        gone = body | {"meta": body["meta"] | {"revision": self._revision}}
        await self._publish(_Event(kind, self._revision, gone, tombstone=True))

    async def _publish(self, event: _Event) -> None:
        self._history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        """Wake the watches that wait; later ones wait for the next change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_mode(self, request: web.Request) -> None:
        self.calls += 1
        if request.remote in self.refused:
            raise web.HTTPServiceUnavailable
        match self.mode:
            case "busy":
                raise web.HTTPServiceUnavailable
            case "silent":
                await asyncio.sleep(3_600)
            case "reset":
                self._abort(request)

    def _drop_response_by_chance(self, request: web.Request) -> None:
        if self._random.random() < self.lost_share:
            self._abort(request)

    def _abort(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable


__all__ = ["ERA_HEADER", "ObjectStore", "StoreCopy"]
