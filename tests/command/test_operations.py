"""Commands that change, delete and show hosts, data centres and objects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from balsamstream.command.apply import apply_files
from balsamstream.command.datacentre import set_data_centre_state
from balsamstream.command.delete import delete_object
from balsamstream.command.host import set_host_state
from balsamstream.command.outcome import ExitCode
from balsamstream.command.show import describe_object, get_objects
from balsamstream.command.status import show_status
from balsamstream.config import DataCentreState, Kind
from balsamstream.core.view import MemberState
from tests.command.samples import (
    DATA_CENTRE,
    PROFILE,
    SERVICE,
    build_view,
    read_spec,
    write_file,
)
from tests.objectapi.platform import open_client, open_platform

if TYPE_CHECKING:
    from pathlib import Path


def test_drain_and_undrain_change_only_the_named_host() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            await client.create(Kind.VIEW, "comptoir", build_view())
            outcome = await set_host_state(client, "comptoir-2", MemberState.DRAINING)
            assert outcome.unwrap().value["changed"] is True
            expected = build_view()
            expected["number"] = 8
            expected["members"][1]["state"] = "draining"
            expected["members"][1]["drained"] = True
            assert await read_spec(client, Kind.VIEW, "comptoir") == expected
            again = await set_host_state(
                client, "comptoir-2", MemberState.DRAINING, "comptoir"
            )
            assert again.unwrap().value["changed"] is False
            await set_host_state(client, "comptoir-2", MemberState.ACTIVE)
            view = await read_spec(client, Kind.VIEW, "comptoir")
            assert (view["number"], view["members"][1]["state"]) == (9, "active")

    asyncio.run(run())


def test_drain_rejects_down_ambiguous_and_unknown_hosts() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            view = build_view()
            view["members"][0]["state"] = "down"
            await client.create(Kind.VIEW, "comptoir", view)
            await client.create(Kind.VIEW, "etiquettes", build_view())
            codes = [
                (await set_host_state(client, *arguments)).failure().code
                for arguments in [
                    ("comptoir-1", MemberState.DRAINING, "comptoir"),
                    ("comptoir-1", MemberState.DRAINING),
                    ("comptoir-9", MemberState.DRAINING),
                    ("comptoir-1", MemberState.DRAINING, "guides"),
                ]
            ]
            missing = ExitCode.MISSING
            assert codes == [ExitCode.CONFLICT, ExitCode.USAGE, missing, missing]

    asyncio.run(run())


def test_drain_is_applied_once_when_an_answer_is_lost() -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            await client.create(Kind.VIEW, "comptoir", build_view())
            platform.faults.lose_answers = 1
            await set_host_state(client, "comptoir-2", MemberState.DRAINING)
            assert (await read_spec(client, Kind.VIEW, "comptoir"))["number"] == 8

    asyncio.run(run())


def test_draining_a_voter_appends_a_voter_set_without_it() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            view = build_view()
            view["voter_sets"] = [
                {"epoch": 4, "quarantine_s": 0.0, "voters": [build_voter(view, 1)]}
            ]
            await client.create(Kind.VIEW, "comptoir", view)
            await set_host_state(client, "comptoir-2", MemberState.DRAINING)
            spec = await read_spec(client, Kind.VIEW, "comptoir")
            assert [item["epoch"] for item in spec["voter_sets"]] == [4, 5]
            assert spec["voter_sets"][1]["voters"] == [build_voter(view, 0)]

    asyncio.run(run())


def build_voter(view: dict[str, Any], position: int) -> dict[str, Any]:
    kept = ("name", "incarnation", "address", "data_centre")
    return {key: view["members"][position][key] for key in kept}


def test_data_centre_is_taken_out_and_in_only_if_known() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            await client.create(Kind.VIEW, "comptoir", build_view())
            out = await set_data_centre_state(client, "thyna", DataCentreState.OUT)
            assert out.unwrap().value["changed"] is True
            assert await read_spec(client, Kind.DATA_CENTRE, "thyna") == {
                "state": "out"
            }
            await set_data_centre_state(client, "thyna", DataCentreState.IN)
            assert await read_spec(client, Kind.DATA_CENTRE, "thyna") == {"state": "in"}
            unknown = await set_data_centre_state(client, "tunis", DataCentreState.OUT)
            assert unknown.failure().code is ExitCode.MISSING
            assert unknown.failure().lines[0].endswith("known are: medina, thyna")

    asyncio.run(run())


def test_delete_rejects_objects_in_use_and_views(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            path = write_file(tmp_path, PROFILE, SERVICE, DATA_CENTRE)
            await apply_files(client, [path])
            await client.create(Kind.VIEW, "comptoir", build_view())
            for kind, name, user in [
                (Kind.PROFILE, "counter", "service comptoir"),
                (Kind.DATA_CENTRE, "medina", "host comptoir-1"),
            ]:
                fault = (await delete_object(client, kind, name)).failure()
                assert fault.code is ExitCode.IN_USE
                assert fault.value["used_by"] == [user]
            fault = (await delete_object(client, Kind.VIEW, "comptoir")).failure()
            assert fault.code is ExitCode.USAGE
            for kind, name in [(Kind.SERVICE, "comptoir"), (Kind.PROFILE, "counter")]:
                (await delete_object(client, kind, name)).unwrap()
                assert await read_spec(client, kind, name) == {}

    asyncio.run(run())


def test_describe_get_and_status_show_related_objects(tmp_path: Path) -> None:
    async def run() -> None:
        async with open_platform() as (platform, url), open_client(url) as client:
            await apply_files(client, [write_file(tmp_path, PROFILE, SERVICE)])
            await client.create(Kind.VIEW, "comptoir", build_view())
            balancer = {"address": "127.0.0.1:6001", "data_centre": "medina"}
            await client.create(Kind.BALANCER, "balancer-1", balancer)
            shown = await describe_object(client, Kind.PROFILE, "counter")
            assert shown.unwrap().value["related"] == {"services": ["comptoir"]}
            view = (await describe_object(client, Kind.VIEW, "comptoir")).unwrap()
            titles = ["", "members", "voter_sets.0.voters"]
            assert [table.title for table in view.tables] == titles
            views = await get_objects(client, Kind.VIEW, None)
            assert views.unwrap().tables[0].rows[0][:3] == ("comptoir", "7", "2")
            status = (await show_status(client, ["127.0.0.1:1"])).unwrap().value
            assert [row["active"] for row in status["services"]] == ["2"]
            names = [row["name"] for row in status["data centres"]]
            assert names == ["medina", "thyna"]
            assert "error" in status["daemons"][0]
            platform.faults.down = True
            fault = (await get_objects(client, Kind.VIEW, None)).failure()
            assert fault.code is ExitCode.UNAVAILABLE

    asyncio.run(run())


def test_concurrent_data_centre_change_is_a_conflict_naming_its_author() -> None:
    async def run() -> None:
        async with open_platform() as (_, url), open_client(url) as client:
            await client.create(Kind.DATA_CENTRE, "thyna", {"state": "in"})
            listed = await client.list_all()
            out = {"state": "out"}
            base = listed.unwrap().objects[0]
            await client.write(Kind.DATA_CENTRE, "thyna", base, out)

            async def list_before() -> object:
                return listed

            client.list_all = list_before  # type: ignore[assignment, method-assign]
            outcome = await set_data_centre_state(client, "thyna", DataCentreState.OUT)
            fault = outcome.failure()
            assert fault.code is ExitCode.CONFLICT
            assert base.changed_by in "\n".join(fault.lines)
            assert await read_spec(client, Kind.DATA_CENTRE, "thyna") == out

    asyncio.run(run())
