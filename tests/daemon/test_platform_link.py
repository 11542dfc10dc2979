"""Tests of edits, watch and registration against a stand-in of the platform."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from returns.result import Success

from balsamstream.config import Kind
from balsamstream.core.action import EditView
from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.message import Changes, ConfigObject
from balsamstream.core.view import Join, Member, SetState
from balsamstream.core.view import MemberState as State
from balsamstream.daemon.platform_link import (
    PlatformLink,
    Registration,
    apply_edit,
    read_balancers,
)
from balsamstream.kernel import Kernel
from balsamstream.objectapi import StoredObject
from tests.daemon.sockets import build_metrics, wait_until
from tests.objectapi.platform import open_client, open_platform, set_faults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamstream.objectapi import PlatformClient

SERVICE = "comptoir"
MEMBER = Member(ProcessRef("host", 1), Address("127.0.0.1", 1), "medina", 2)
REGISTRATION = Registration(
    ProcessRef("balancer-1", 7), Address("127.0.0.1", 9), "medina"
)


@dataclass
class LinkFixture:
    """A link, its platform and the changes that it delivered."""

    link: PlatformLink
    client: PlatformClient
    url: str
    received: list[Changes] = field(default_factory=list)
    may_receive: asyncio.Event = field(default_factory=asyncio.Event)

    async def read_spec(self, kind: Kind, name: str) -> dict[str, Any] | None:
        """Read an object's spec from the platform."""
        found = await self.client.get(kind, name)
        return found.unwrap().spec if isinstance(found, Success) else None


@asynccontextmanager
async def run_link() -> AsyncIterator[LinkFixture]:
    async with open_platform() as (_, url), open_client(url) as client:
        received: list[Changes] = []
        may_receive = asyncio.Event()
        may_receive.set()

        async def handle(changes: Changes) -> None:
            await may_receive.wait()
            received.append(changes)

        kernel = Kernel()
        link = PlatformLink(kernel, client, build_metrics(), handle)
        await link.start()
        try:
            yield LinkFixture(link, client, url, received, may_receive)
        finally:
            await link.close()
        assert kernel.failure is None


def test_edit_is_written_and_delivered_at_once() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            fixture.link.queue_edit(EditView(SERVICE, Join(MEMBER)))
            fixture.link.queue_edit(EditView(SERVICE, Join(MEMBER)))
            await wait_until(lambda: bool(fixture.received))
            (found,) = fixture.received[0].objects
            assert found.spec == await fixture.read_spec(Kind.VIEW, SERVICE)
            assert found.spec is not None
            assert found.spec["number"] == 1
            assert not fixture.received[0].full

    asyncio.run(run())


def test_edit_with_a_lost_response_is_applied_once() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            await set_faults(fixture.url, lose_answers=True)
            fixture.link.queue_edit(EditView(SERVICE, Join(MEMBER)))
            await wait_until(lambda: bool(fixture.received))
            spec = await fixture.read_spec(Kind.VIEW, SERVICE)
            assert spec is not None
            assert (spec["number"], len(spec["members"])) == (1, 1)

    asyncio.run(run())


def test_watch_delivers_all_objects_and_then_each_change() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            await fixture.client.create(Kind.DATA_CENTRE, "medina", {"state": "in"})
            await fixture.link.set_watching(True)
            await fixture.link.set_watching(True)
            await wait_until(lambda: len(fixture.received) == 1)
            assert fixture.received[0].full
            await fixture.client.create(Kind.DATA_CENTRE, "thyna", {"state": "out"})
            await wait_until(lambda: len(fixture.received) == 2)
            first, second = fixture.received
            assert second.since == first.up_to
            assert second.objects[0].name == "thyna"
            gone = (await fixture.client.get(Kind.DATA_CENTRE, "thyna")).unwrap()
            await fixture.client.delete_with_retries(gone)
            await wait_until(lambda: len(fixture.received) == 3)
            assert fixture.received[2].objects[0].spec is None
            await fixture.link.set_watching(False)

    asyncio.run(run())


def test_watch_waits_for_a_slow_handler_and_loses_no_change() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            fixture.may_receive.clear()
            await fixture.link.set_watching(True)
            names = [f"place-{number}" for number in range(40)]
            for name in names:
                await fixture.client.create(Kind.DATA_CENTRE, name, {"state": "in"})
            fixture.may_receive.set()
            shown: set[str] = set()

            def has_all() -> bool:
                for changes in fixture.received:
                    shown.update(found.name for found in changes.objects)
                return shown >= set(names)

            await wait_until(has_all)
            for before, after in zip(fixture.received, fixture.received[1:]):
                assert after.since == before.up_to
            await fixture.link.set_watching(False)

    asyncio.run(run())


def test_fetch_reads_what_concerns_the_service() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            create = fixture.client.create
            spec = {"address": "127.0.0.1:1", "profile": "counter", "protocol": "coap"}
            await create(Kind.PROFILE, "counter", {})
            await create(Kind.PROFILE, "other", {})
            await create(Kind.SERVICE, SERVICE, spec)
            await create(Kind.SERVICE, "other", spec)
            await create(Kind.DATA_CENTRE, "medina", {"state": "in"})
            fixture.link.start_fetch(SERVICE)
            fixture.link.start_fetch(SERVICE)
            await wait_until(lambda: bool(fixture.received))
            (changes,) = fixture.received
            names = {(found.kind, found.name) for found in changes.objects}
            assert names == {
                ("Profile", "counter"),
                ("Service", SERVICE),
                ("DataCentre", "medina"),
            }
            assert not changes.full
            assert changes.since == changes.up_to

    asyncio.run(run())


def test_balancer_is_registered_and_deregistered() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            fixture.link.start_registration(REGISTRATION)
            fixture.link.start_registration(REGISTRATION)
            await wait_until(lambda: bool(fixture.received))
            assert (
                read_balancers(fixture.received[0].objects)[0].ref == REGISTRATION.ref
            )
            await fixture.link.deregister(REGISTRATION)
            assert await fixture.read_spec(Kind.BALANCER, "balancer-1") is None

    asyncio.run(run())


def test_later_incarnation_of_the_balancer_is_not_deregistered() -> None:
    async def run() -> None:
        async with run_link() as fixture:
            later = {**REGISTRATION.build_spec(), "incarnation": 8}
            await fixture.client.create(Kind.BALANCER, "balancer-1", later)
            await fixture.link.deregister(REGISTRATION)
            assert await fixture.read_spec(Kind.BALANCER, "balancer-1") == later

    asyncio.run(run())


def test_unreadable_view_is_left_as_it_is() -> None:
    stored = StoredObject(Kind.VIEW, SERVICE, 3, "", {"number": "x"})
    assert apply_edit(SERVICE, Join(MEMBER), stored, ()) is None


def test_edit_that_changes_nothing_is_not_written() -> None:
    spec = apply_edit(SERVICE, Join(MEMBER), None, ())
    assert spec is not None
    stored = StoredObject(Kind.VIEW, SERVICE, 3, "", spec)
    assert apply_edit(SERVICE, Join(MEMBER), stored, ()) is None
    other = SetState(ProcessRef("host", 2), State.DOWN)
    assert apply_edit(SERVICE, other, stored, ()) is None


def test_unreadable_balancers_are_left_out() -> None:
    specs: list[dict[str, Any] | None] = [
        None,
        {},
        {"incarnation": "x", "address": "127.0.0.1:1", "data_centre": "medina"},
        {"incarnation": 1, "address": "nowhere", "data_centre": "medina"},
    ]
    objects = [
        ConfigObject("Balancer", f"b{number}", number, spec)
        for number, spec in enumerate(specs)
    ]
    assert read_balancers(objects) == []
