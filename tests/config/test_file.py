"""Files of declared objects are loaded completely or rejected with locations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from balsamstream.config import (
    Address,
    DataCentre,
    DataCentreState,
    LoadedObject,
    Problem,
    Profile,
    ServiceSpec,
    build_spec,
    check_consistency,
    load_file,
    parse_spec,
)

if TYPE_CHECKING:
    from pathlib import Path

HEADER = "apiVersion: balsamstream/v1\n"
COUNTER = HEADER + "kind: Profile\nmetadata: {name: counter}\nspec: {}\n"
COMPTOIR = (
    HEADER
    + "kind: Service\nmetadata: {name: comptoir}\n"
    + 'spec: {address: "127.0.0.1:5683", profile: counter}\n'
)
MEDINA = HEADER + "kind: DataCentre\nmetadata: {name: medina}\nspec: {state: out}\n"


def write(folder: Path, *documents: str) -> Path:
    path = folder / "objects.yaml"
    path.write_text("---\n".join(documents), encoding="utf-8")
    return path


def load(path: Path) -> list[LoadedObject]:
    result = load_file(path)
    assert isinstance(result, Success), result
    return result.unwrap()


def load_problems(path: Path) -> list[Problem]:
    result = load_file(path)
    assert isinstance(result, Failure), result
    return result.failure()


def test_every_kind_is_loaded_with_defaults(tmp_path: Path) -> None:
    items = [entry.item for entry in load(write(tmp_path, COUNTER, COMPTOIR, MEDINA))]
    assert items == [
        Profile("counter"),
        ServiceSpec("comptoir", Address("127.0.0.1", 5683), "counter"),
        DataCentre("medina", DataCentreState.OUT),
    ]


def test_spec_survives_a_round_trip(tmp_path: Path) -> None:
    for entry in load(write(tmp_path, COUNTER, COMPTOIR, MEDINA)):
        again = parse_spec(entry.kind, entry.item.name, build_spec(entry.item))
        assert again == Success(entry.item)


def test_problem_has_file_line_and_field(tmp_path: Path) -> None:
    profile = COUNTER.replace("{}", "\n  cold_start:\n    ramp_s: -1\n  colour: red")
    path = write(tmp_path, MEDINA, profile)
    problems = load_problems(path)
    assert [(p.file, p.line, p.field) for p in problems] == [
        (str(path), 11, "spec.cold_start.ramp_s"),
        (str(path), 12, "spec.colour"),
    ]
    assert str(problems[1]) == f"{path}:12: spec.colour: unknown field"


@pytest.mark.parametrize(
    ("spec", "field"),
    [
        ("{deadline_ms: true}", "spec.deadline_ms"),
        ("{deadline_ms: '5'}", "spec.deadline_ms"),
        ("{choices: 5}", "spec.choices"),
        ("{retry_budget: .nan}", "spec.retry_budget"),
        ("{retry_after_s: {least: 5, most: 4}}", "spec.retry_after_s"),
        ("{shed: [new-flow, new-flow, repeatable]}", "spec.shed"),
        ("{objectives: {availability: 1}}", "spec.objectives.availability"),
        ("{deadline_ms: 50}", "spec"),
        ("{requests: sometimes}", "spec.requests"),
        ("[]", "spec"),
    ],
)
def test_invalid_profile_is_rejected_at_its_field(
    tmp_path: Path, spec: str, field: str
) -> None:
    problems = load_problems(write(tmp_path, COUNTER.replace("{}", spec)))
    assert [problem.field for problem in problems] == [field]


@pytest.mark.parametrize(
    ("text", "line", "field"),
    [
        ("", 0, ""),
        ("just text", 1, ""),
        ("a: [1\nb: 2", 2, ""),
        (COUNTER.replace("Profile", "View"), 2, "kind"),
        (COUNTER.replace("/v1", "/v2"), 1, "apiVersion"),
        (COUNTER.replace("counter", "Counter!"), 3, "metadata.name"),
        (COUNTER + "kind: Service\n", 5, "kind"),
        (COMPTOIR.replace("127.0.0.1:5683", "localhost:5683"), 4, "spec.address"),
        (COMPTOIR.replace("5683", "70000"), 4, "spec.address"),
        ("a: &a [*a]", 1, "a"),
        (COMPTOIR.replace("127.0.0.1:5683", "[::1]:5683"), 4, "spec.address"),
    ],
)
def test_invalid_document_is_rejected_at_its_line_and_field(
    tmp_path: Path, text: str, line: int, field: str
) -> None:
    problems = load_problems(write(tmp_path, text))
    assert (line, field) in [(problem.line, problem.field) for problem in problems]


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    assert len(load_problems(tmp_path / "none.yaml")) == 1


def test_service_without_its_profile_is_rejected(tmp_path: Path) -> None:
    loaded = load(write(tmp_path, COMPTOIR))
    assert [problem.field for problem in check_consistency(loaded)] == ["spec.profile"]
    assert check_consistency(loaded, [Profile("counter")]) == []


def test_duplicate_names_and_addresses_are_rejected(tmp_path: Path) -> None:
    other = COMPTOIR.replace("comptoir", "etiquettes")
    loaded = load(write(tmp_path, COUNTER, COMPTOIR, COMPTOIR, other))
    fields = [problem.field for problem in check_consistency(loaded)]
    assert fields == ["metadata.name", "spec.address", "spec.address"]


def test_address_of_a_stored_service_is_rejected(tmp_path: Path) -> None:
    loaded = load(write(tmp_path, COUNTER, COMPTOIR))
    stored = [ServiceSpec("guides", Address("127.0.0.1", 5683), "counter")]
    assert [problem.field for problem in check_consistency(loaded, stored)] == [
        "spec.address"
    ]
    replaced = [ServiceSpec("comptoir", Address("127.0.0.1", 5683), "old")]
    assert check_consistency(loaded, replaced) == []


def test_opaque_service_with_non_repeatable_requests_is_rejected(
    tmp_path: Path,
) -> None:
    once = COUNTER.replace("spec: {}", "spec: {requests: non-repeatable}")
    opaque = COMPTOIR.replace("profile: counter", "profile: counter, protocol: opaque")
    loaded = load_file(write(tmp_path, once, opaque)).unwrap()
    fields = [problem.field for problem in check_consistency(loaded)]
    assert fields == ["spec.requests", "spec.protocol"]
    assert check_consistency(load_file(write(tmp_path, once, COMPTOIR)).unwrap()) == []
