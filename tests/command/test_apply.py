"""``apply`` writes all objects or none, and reports the state of each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from balsamstream.command.apply import apply_files
from balsamstream.command.outcome import ExitCode, Fault, Outcome
from balsamstream.config import Kind
from balsamstream.objectapi import (
    PlatformClient,
    PlatformError,
    StoredObject,
    TooLarge,
    Unavailable,
)
from tests.command.samples import (
    DATA_CENTRE,
    PROFILE,
    SERVICE,
    read_spec,
    write_file,
)
from tests.objectapi.platform import open_client, open_platform

if TYPE_CHECKING:
    from pathlib import Path


def list_actions(outcome: Outcome) -> list[str]:
    return [step["action"] for step in outcome.unwrap().value]


def get_fault(outcome: Outcome) -> Fault:
    assert isinstance(outcome, Failure), outcome
    return outcome.failure()


def test_apply_writes_only_objects_that_differ(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            path = write_file(tmp_path, SERVICE, PROFILE, DATA_CENTRE)
            planned = await apply_files(client, [path], dry_run=True)
            assert list_actions(planned) == ["create"] * 3
            assert platform.calls.writes == 0
            assert list_actions(await apply_files(client, [path])) == ["create"] * 3
            assert list_actions(await apply_files(client, [path])) == ["keep"] * 3
            write_file(tmp_path, SERVICE, PROFILE.replace("2000", "900"))
            assert list_actions(await apply_files(client, [path])) == ["update", "keep"]
            assert platform.calls.writes == 4
            spec = await read_spec(client, Kind.PROFILE, "counter")
            assert (spec["deadline_ms"], spec["choices"]) == (900, 2)

    asyncio.run(run())


def test_invalid_objects_are_not_written(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            path = write_file(tmp_path, PROFILE, SERVICE.replace("counter", "other"))
            fault = get_fault(await apply_files(client, [path]))
            assert fault.code is ExitCode.INVALID
            assert fault.lines == (
                f"{path}:9: spec.profile: no profile is named other",
            )
            assert platform.calls.writes == 0

    asyncio.run(run())


def test_stale_resource_version_in_a_file_is_a_conflict(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url, "bob") as client:
            path = write_file(tmp_path, PROFILE)
            await apply_files(client, [path])
            name = "{name: counter, resourceVersion: '99'}"
            write_file(tmp_path, PROFILE.replace("{name: counter}", name))
            fault = get_fault(await apply_files(client, [path]))
            assert fault.code is ExitCode.CONFLICT
            assert "bob changed it to version 1" in fault.lines[0]

    asyncio.run(run())


class FailingClient:
    """A client whose writes of one kind fail.

    With an error the write returns it; without one, another operator creates the
    object first, so that the write conflicts.
    """

    def __init__(
        self, client: PlatformClient, kind: Kind, error: PlatformError | None
    ) -> None:
        self._client = client
        self._kind = kind
        self._error = error

    def __getattr__(self, name: str) -> Any:
        """Forward all other calls to the client."""
        return getattr(self._client, name)

    async def write(
        self, kind: Kind, name: str, base: StoredObject | None, spec: dict[str, Any]
    ) -> Result[StoredObject, PlatformError]:
        """Write an object, or fail if it is of the configured kind."""
        if kind is not self._kind:
            return await self._client.write(kind, name, base, spec)
        if self._error is not None:
            return Failure(self._error)
        # Another operator creates the object first.
        await self._client.create(kind, name, {"theirs": True})
        return await self._client.write(kind, name, base, spec)


async def apply_with_failing_write(
    client: PlatformClient, path: Path, error: PlatformError | None
) -> Fault:
    failing: Any = FailingClient(client, Kind.DATA_CENTRE, error)
    return get_fault(await apply_files(failing, [path]))


def test_failed_write_restores_objects_already_written(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url, "eve") as client:
            await apply_files(client, [write_file(tmp_path, PROFILE)])
            before = await read_spec(client, Kind.PROFILE, "counter")
            changed = PROFILE.replace("2000", "900")
            path = write_file(tmp_path, SERVICE, changed, DATA_CENTRE)
            fault = await apply_with_failing_write(client, path, None)
            assert fault.code is ExitCode.CONFLICT
            assert "eve changed it to version 4" in fault.lines[0]
            assert fault.value["undone"] == ["service comptoir", "profile counter"]
            assert fault.value["not_changed"] == ["datacentre medina"]
            assert await read_spec(client, Kind.PROFILE, "counter") == before
            assert await read_spec(client, Kind.SERVICE, "comptoir") == {}

    asyncio.run(run())


def test_undo_keeps_a_profile_that_is_used_by_another_service(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            spec = {"address": "127.0.0.1:1", "profile": "counter"}
            await client.create(Kind.SERVICE, "theirs", spec)
            path = write_file(tmp_path, PROFILE, DATA_CENTRE)
            fault = await apply_with_failing_write(client, path, TooLarge())
            assert fault.code is ExitCode.PARTIAL
            assert fault.value["still_changed"] == ["profile counter"]
            assert await read_spec(client, Kind.PROFILE, "counter") != {}

    asyncio.run(run())


def test_write_with_unknown_effect_is_reported(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            path = write_file(tmp_path, PROFILE, DATA_CENTRE)
            fault = await apply_with_failing_write(
                client, path, Unavailable(True, "cut off")
            )
            assert fault.code is ExitCode.UNKNOWN
            assert fault.value["unknown"] == ["datacentre medina"]
            assert fault.value["undone"] == ["profile counter"]

    asyncio.run(run())


def test_concurrent_applies_cannot_use_one_address_twice(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            open_platform() as (_, url),
            open_client(url) as ada,
            open_client(url, "bob") as bob,
        ):
            await apply_files(ada, [write_file(tmp_path, PROFILE)])
            folder = tmp_path / "bob"
            folder.mkdir()
            mine = write_file(tmp_path, SERVICE)
            theirs = write_file(folder, SERVICE.replace("comptoir", "etiquettes"))
            outcomes = await asyncio.gather(
                apply_files(ada, [mine]), apply_files(bob, [theirs])
            )
            listing = (await ada.list(Kind.SERVICE)).unwrap()
            successes = [item for item in outcomes if isinstance(item, Success)]
            assert len(listing.objects) == len(successes) <= 1

    asyncio.run(run())
