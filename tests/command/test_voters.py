"""``voters reset`` replaces the voters of a service."""

from __future__ import annotations

import asyncio

from balsamstream.command.outcome import ExitCode
from balsamstream.command.voters import QUARANTINE_S, reset_voters
from balsamstream.config import Kind
from tests.command.samples import build_view, read_spec
from tests.objectapi.platform import open_client, open_platform


def test_reset_replaces_all_voter_sets_by_one_in_quarantine() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            before = build_view() | {"voter_sets": [{"epoch": 1, "voters": []}]}
            await client.create(Kind.VIEW, "comptoir", before)
            outcome = await reset_voters(client, "comptoir")
            assert outcome.unwrap().value["service"] == "comptoir"
            view = await read_spec(client, Kind.VIEW, "comptoir")
            assert view["number"] == before["number"] + 1
            (voters,) = view["voter_sets"]
            assert voters["epoch"] == 2
            assert voters["quarantine_s"] == QUARANTINE_S

    asyncio.run(run())


def test_reset_of_an_unknown_service_is_missing() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            outcome = await reset_voters(client, "comptoir")
            assert outcome.failure().code is ExitCode.MISSING

    asyncio.run(run())
