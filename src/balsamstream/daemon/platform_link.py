"""The daemon's access to the platform: watch, edits of views, own registration.

Nothing here is needed to start or to serve: while the platform is down, edits and
the registration wait, and the decisions request the configuration from peers.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import structlog
from returns.result import Failure, Success

from balsamstream.config.kind import Kind
from balsamstream.core.catalogue import (
    BalancerEntry,
    list_spare_voters,
)
from balsamstream.core.identity import Address, ProcessRef, parse_address
from balsamstream.core.message import Changes, ConfigObject
from balsamstream.core.stored_view import read_view, write_view
from balsamstream.core.view import View, edit_view
from balsamstream.kernel import Mailbox, Service
from balsamstream.objectapi.watch import (
    Changed,
    Interrupted,
    Removed,
    Snapshot,
    WatchEvent,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from balsamstream.core.action import EditView
    from balsamstream.core.view import ViewEdit, Voter
    from balsamstream.kernel import Kernel
    from balsamstream.objectapi.client import PlatformClient
    from balsamstream.objectapi.objects import StoredObject

    from .metrics import Metrics

MAX_QUEUED_EDITS: Final = 64
SPARE_VOTERS_TTL_S: Final = 10.0
REGISTER_RETRY_S: Final = 2.0
DEREGISTER_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Registration:
    """Content of the object by which a balancer registers with the platform.

    Parameters
    ----------
    ref : ProcessRef
        Name and incarnation of the balancer.
    address : Address
        Address at which it receives messages.
    data_centre : str
        Name of its data centre.
    """

    ref: ProcessRef
    address: Address
    data_centre: str

    def build_spec(self) -> dict[str, Any]:
        """Build the object's spec."""
        return {
            "incarnation": self.ref.incarnation,
            "address": str(self.address),
            "data_centre": self.data_centre,
        }


class PlatformLink(Service):
    """Writes edits and registrations to the platform and reads changes from it.

    Parameters
    ----------
    kernel : Kernel
        Runs the tasks.
    client : PlatformClient
        Client of the platform's object API.
    metrics : Metrics
        Counts edits and failures.
    handle_changes : callable
        Receives changes, in order.
    """

    def __init__(
        self,
        kernel: Kernel,
        client: PlatformClient,
        metrics: Metrics,
        handle_changes: Callable[[Changes], Awaitable[None]],
    ) -> None:
        self._kernel = kernel
        self._client = client
        self._metrics = metrics
        self._handle_changes = handle_changes
        self._edits: Mailbox[EditView] = Mailbox(MAX_QUEUED_EDITS)
        self._queued: set[EditView] = set()
        self._spare_voters: tuple[Voter, ...] = ()
        self._spare_voters_until = 0.0
        self._is_watching = False
        self._is_fetching = False
        self._is_registering = False
        self._log = structlog.get_logger("balsamstream.daemon")

    async def start(self) -> None:
        """Start the client and the task that writes edits."""
        await self._client.start()
        self._kernel.start_task("platform_edits", self._store_edits())

    async def close(self) -> None:
        """End all tasks and close the client."""
        for name in ("edits", "watch", "fetch", "registration"):
            await self._kernel.end_task(f"platform_{name}")
        await self._client.close()

    def queue_edit(self, action: EditView) -> None:
        """Queue an edit, unless the same edit is queued or in progress."""
        if action in self._queued:
            return
        if self._edits.offer(action):
            self._queued.add(action)
            return
        self._metrics.count("edits_refused")

    async def set_watching(self, enabled: bool) -> None:
        """Start or stop watching the platform."""
        if enabled == self._is_watching:
            return
        self._is_watching = enabled
        if not enabled:
            await self._kernel.end_task("platform_watch")
            return
        self._kernel.start_task("platform_watch", self._watch())

    def start_fetch(self, service: str) -> None:
        """Start to read the objects that concern a service, if no read is running."""
        if self._is_fetching:
            return
        self._is_fetching = True
        self._kernel.start_task("platform_fetch", self._fetch(service))

    def start_registration(self, registration: Registration) -> None:
        """Start to register this balancer, with retries until it succeeds."""
        if self._is_registering:
            return
        self._is_registering = True
        work = self._register_until_done(registration)
        self._kernel.start_task("platform_registration", work)

    async def deregister(self, registration: Registration) -> None:
        """Remove the registration, if the platform answers within the timeout.

        A registration of a later incarnation is left.
        """
        await self._kernel.end_task("platform_registration")
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                await self._remove_registration(registration)
        except TimeoutError:
            self._log.warning("deregister_timeout")

    # --- edits ---------------------------------------------------------------------

    async def _store_edits(self) -> None:
        while True:
            action = await self._edits.pop()
            try:
                await self._store_edit(action)
            finally:
                self._queued.discard(action)

    async def _store_edit(self, action: EditView) -> None:
        spare_voters = await self._get_spare_voters()

        def apply(stored: StoredObject | None) -> dict[str, Any] | None:
            return apply_edit(action.service, action.edit, stored, spare_voters)

        match await self._client.change(Kind.VIEW, action.service, apply):
            case Success(stored):
                self._metrics.count("view_edits")
                self._log.info(
                    "view_edited",
                    service=action.service,
                    edit=type(action.edit).__name__,
                    number=stored.spec.get("number"),
                )
                await self._handle_changes(_convert_objects([stored]))
            case Failure(error):
                self._metrics.count("view_edits_failed")
                self._log.warning(
                    "view_edit_failed",
                    service=action.service,
                    edit=type(action.edit).__name__,
                    error=str(error)[:200],
                )

    async def _get_spare_voters(self) -> tuple[Voter, ...]:
        now = asyncio.get_running_loop().time()
        if now < self._spare_voters_until:
            return self._spare_voters
        listed = await self._client.list(Kind.BALANCER)
        if isinstance(listed, Success):
            entries = read_balancers(map(_convert_object, listed.unwrap().objects))
            self._spare_voters = list_spare_voters(entries)
            self._spare_voters_until = now + SPARE_VOTERS_TTL_S
        return self._spare_voters

    # --- changes -------------------------------------------------------------------

    async def _watch(self) -> None:
        seen = 0
        async for event in self._client.watch_all():
            changes = convert_event(event, seen)
            if changes is None:
                self._metrics.count("watch_interrupted")
                continue
            seen = changes.up_to
            await self._handle_changes(changes)

    async def _fetch(self, service: str) -> None:
        try:
            objects = await self._read_service(service)
        finally:
            self._is_fetching = False
        if not objects:
            self._metrics.count("platform_fetch_failed")
            return
        await self._handle_changes(_convert_objects(objects))

    async def _read_service(self, service: str) -> list[StoredObject]:
        """Read a service, its profile and view, and all data centres and balancers."""
        objects: list[StoredObject] = []
        found = await self._client.get(Kind.SERVICE, service)
        if isinstance(found, Success):
            spec = found.unwrap().spec
            objects.append(found.unwrap())
            profile = await self._client.get(Kind.PROFILE, str(spec.get("profile")))
            if isinstance(profile, Success):
                objects.append(profile.unwrap())
        view = await self._client.get(Kind.VIEW, service)
        if isinstance(view, Success):
            objects.append(view.unwrap())
        for kind in (Kind.DATA_CENTRE, Kind.BALANCER):
            listed = await self._client.list(kind)
            if isinstance(listed, Success):
                objects.extend(listed.unwrap().objects)
        return objects

    # --- registration --------------------------------------------------------------

    async def _register_until_done(self, registration: Registration) -> None:
        try:
            while not await self._register(registration):
                await asyncio.sleep(REGISTER_RETRY_S * random.uniform(0.5, 1.0))
        finally:
            self._is_registering = False

    async def _register(self, registration: Registration) -> bool:
        spec = registration.build_spec()

        def apply(stored: StoredObject | None) -> dict[str, Any] | None:
            if stored is not None and stored.spec == spec:
                return None
            return spec

        name = registration.ref.name
        result = await self._client.change(Kind.BALANCER, name, apply)
        match result:
            case Success(stored):
                await self._handle_changes(_convert_objects([stored]))
                return True
            case Failure(error):
                self._log.warning("register_failed", error=str(error)[:200])
        return False

    async def _remove_registration(self, registration: Registration) -> None:
        found = await self._client.get(Kind.BALANCER, registration.ref.name)
        if not isinstance(found, Success):
            return
        stored = found.unwrap()
        if stored.spec == registration.build_spec():
            await self._client.delete_with_retries(stored)


def apply_edit(
    service: str,
    edit: ViewEdit,
    stored: StoredObject | None,
    spare_voters: Sequence[Voter],
) -> dict[str, Any] | None:
    """Return the spec of a stored view after an edit, or None if nothing changes.

    A stored view that cannot be read is left as it is: a new one would lose its
    voters.
    """
    view = View(service, 0)
    if stored is not None:
        try:
            view = read_view(service, stored.spec)
        except (KeyError, TypeError, ValueError):
            return None
    edited = edit_view(view, edit, spare_voters)
    return None if edited == view else write_view(edited)


def convert_event(event: WatchEvent, seen: int) -> Changes | None:
    """Convert an event after version ``seen`` to changes, or None if interrupted."""
    match event:
        case Snapshot(version, objects):
            return _convert_snapshot(version, objects)
        case Changed(stored):
            found = _convert_object(stored)
            return Changes(seen, stored.version, False, False, (found,))
        case Removed(kind, name, version):
            removed = ConfigObject(kind.value, name, version, None)
            return Changes(seen, version, False, False, (removed,))
        case Interrupted():
            return None


def _convert_snapshot(version: int, objects: Sequence[StoredObject]) -> Changes:
    found = sorted(map(_convert_object, objects), key=lambda each: each.version)
    return Changes(0, version, True, False, tuple(found))


def _convert_objects(objects: Sequence[StoredObject]) -> Changes:
    """Convert objects to changes that claim no range of versions as complete."""
    found = sorted(map(_convert_object, objects), key=lambda each: each.version)
    newest = found[-1].version
    return Changes(newest, newest, False, False, tuple(found))


def _convert_object(stored: StoredObject) -> ConfigObject:
    return ConfigObject(stored.kind.value, stored.name, stored.version, stored.spec)


def read_balancers(objects: Iterable[ConfigObject]) -> list[BalancerEntry]:
    """Return the balancers among objects, leaving out those that cannot be read."""
    entries = []
    for found in objects:
        if found.kind != Kind.BALANCER.value or found.spec is None:
            continue
        try:
            ref = ProcessRef(found.name, int(found.spec["incarnation"]))
            address = parse_address(found.spec["address"])
            entry = BalancerEntry(ref, address, str(found.spec["data_centre"]))
        except (KeyError, TypeError, ValueError):
            continue
        entries.append(entry)
    return entries


__all__ = [
    "PlatformLink",
    "Registration",
    "apply_edit",
    "convert_event",
    "read_balancers",
]
