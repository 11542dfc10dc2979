"""The pages for operators agree with the code."""

from __future__ import annotations

import re
import shutil
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest
import yaml
from pydantic import BaseModel
from returns.result import Success

from balsamstream.command.check import check_files
from balsamstream.command.outcome import ExitCode
from balsamstream.config import Profile, build_spec
from balsamstream.config.schema import DataCentreModel, ProfileModel, ServiceModel
from balsamstream.daemon.settings_file import load_settings
from balsamstream.daemon.settings_schema import SettingsModel

if TYPE_CHECKING:
    from collections.abc import Iterator

DOCS = Path(__file__).parents[2] / "docs"
SOURCES = DOCS.parent / "src"
EXAMPLES = DOCS / "operators" / "examples"
SETTINGS = (DOCS / "settings.md").read_text(encoding="utf-8")


def read_rows(section: str) -> dict[str, list[str]]:
    text = SETTINGS.partition(f"\n## {section}\n")[2].partition("\n## ")[0]
    rows = [line.strip("|").split("|") for line in text.splitlines() if "|" in line]
    cells = [[cell.strip().strip("`") for cell in row] for row in rows]
    return {row[0]: row[1:] for row in cells if re.match(r"[a-z_.N]+$", row[0])}


def list_fields(model: type[BaseModel], prefix: str = "") -> Iterator[str]:
    for name, field in model.model_fields.items():
        found = re.findall(r"[A-Za-z]+Model\b", repr(field.annotation))
        inner = [cls for cls in find_models(BaseModel) if cls.__name__ in found]
        is_list = "list[" in repr(field.annotation)
        if not inner or is_list:
            yield prefix + name
        for cls in inner:
            yield from list_fields(cls, f"{prefix}{name}.{'N.' if is_list else ''}")


def find_models(base: type[BaseModel]) -> Iterator[type[BaseModel]]:
    for cls in base.__subclasses__():
        if cls.__module__.startswith("balsamstream"):
            yield cls
        yield from find_models(cls)


def flatten(spec: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in spec.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{key}."))
            continue
        flat[prefix + key] = value
    return flat


@pytest.mark.parametrize(
    ("section", "model"),
    [
        ("Profile", ProfileModel),
        ("Service", ServiceModel),
        ("DataCentre", DataCentreModel),
        ("Daemon", SettingsModel),
    ],
)
def test_reference_lists_every_field(section: str, model: type[BaseModel]) -> None:
    assert set(read_rows(section)) - {"field"} == set(list_fields(model))


def test_reference_gives_the_profiles_defaults() -> None:
    defaults = flatten(build_spec(Profile("any")))
    rows = read_rows("Profile")
    rows.pop("field")
    stated = {name: yaml.safe_load(row[1]) for name, row in rows.items()}
    assert stated == defaults


def test_reference_lists_every_exit_code() -> None:
    codes = re.findall(r"^\| (\d) \|", SETTINGS, re.MULTILINE)
    assert [int(code) for code in codes] == [
        code.value for code in ExitCode if code is not ExitCode.BUG
    ]


@pytest.mark.parametrize("name", ["regie.yaml", "association.yaml"])
def test_example_objects_are_valid(name: str) -> None:
    assert isinstance(check_files([EXAMPLES / name]), Success)


@pytest.mark.parametrize("name", ["balancer.yaml", "agent.yaml"])
def test_example_settings_are_valid(name: str, tmp_path: Path) -> None:
    shutil.copy(EXAMPLES / name, tmp_path)
    (tmp_path / "key").write_text("0f" * 32, encoding="ascii")
    assert isinstance(load_settings(tmp_path / name), Success)


@pytest.mark.parametrize("heading", ["Logs", "Metrics"])
def test_every_documented_event_and_metric_is_in_the_code(heading: str) -> None:
    page = (DOCS / "operators" / "observe.md").read_text(encoding="utf-8")
    section = page.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    first_cells = re.findall(r"^\| (`[^|]*) \|", section, re.MULTILINE)
    names = re.findall(r"`([a-z_]+)`", " ".join(first_cells))
    code = "".join(path.read_text(encoding="utf-8") for path in SOURCES.rglob("*.py"))
    assert len(names) > 10
    assert [name for name in names if f'"{name}"' not in code] == []


def test_links_point_to_existing_pages() -> None:
    for page in [DOCS / "settings.md", *(DOCS / "operators").glob("*.md")]:
        for target in re.findall(r"\]\(([^)#]+)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), (page.name, target)
