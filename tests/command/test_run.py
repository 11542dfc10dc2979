"""The command-line tool as called with arguments."""

from __future__ import annotations

import json
import subprocess
from typing import TYPE_CHECKING, Any

import pytest

from balsamstream.command.run import app
from standins.processes import Processes
from tests.command.samples import PROFILE, SERVICE, write_file

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def url(tmp_path: Path) -> Iterator[str]:
    processes = Processes(tmp_path)
    processes.start("platform", ["-m", "standins.platform"])
    yield f"http://{processes.wait_ready('platform')[0]}"
    processes.close()


def run_command(*arguments: str) -> Any:
    return app.meta(arguments, result_action="return_value")


def test_apply_get_delete_and_describe_exit_codes_and_output(
    url: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = write_file(tmp_path, PROFILE)
    second = tmp_path / "service.yaml"
    second.write_text(SERVICE, encoding="utf-8")
    assert run_command("--platform", url, "apply", str(first), str(second)) == 0
    assert "counter" in capsys.readouterr().out
    json_options = ("--platform", url, "--output", "json")
    assert run_command("get", "services", *json_options) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown[0]["spec"]["address"] == "127.0.0.1:5683"
    second.write_text(json.dumps(shown[0]), encoding="utf-8")
    assert run_command("apply", str(second), *json_options) == 0
    assert json.loads(capsys.readouterr().out)[0]["action"] == "keep"
    assert run_command("delete", "profile", "counter", *json_options) == 9
    error = json.loads(capsys.readouterr().err)["error"]
    assert (error["code"], error["used_by"]) == ("in_use", ["service comptoir"])
    assert run_command("describe", "service", "none", "--platform", url) == 5
    assert capsys.readouterr().err == "error: there is no service none\n"


def test_check_needs_no_platform(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_file(tmp_path, SERVICE)
    assert run_command("check", str(path)) == 3
    line = f"error: {path}:4: spec.profile: no profile is named counter\n"
    assert capsys.readouterr().err == line
    write_file(tmp_path, SERVICE, PROFILE)
    assert run_command("check", str(path)) == 0
    assert run_command("get", "services") == 2


def test_apply_reports_an_unavailable_platform(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_file(tmp_path, PROFILE)
    assert run_command("apply", str(path), "--platform", "http://127.0.0.1:1") == 6
    assert "nothing was changed" in capsys.readouterr().err


def test_completion_script_is_valid_bash(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_command("completion", "bash") == 0
    script = capsys.readouterr().out
    assert "datacentre" in script
    subprocess.run(["bash", "-n"], input=script.encode(), check=True)
