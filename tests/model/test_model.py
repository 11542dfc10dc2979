"""The searches of the models are complete, and removed guards are found."""

from __future__ import annotations

from importlib.util import find_spec
from pathlib import Path

import pytest

from balsamstream.core.claim import VoterRole
from model.claims import SCENARIOS, ClaimModel
from model.configuration import ConfigurationModel
from model.guards import GUARDS
from model.older_flows import OlderFlowsModel
from model.run import check, list_models
from model.search import search

SMALL = [*(bounds.name for bounds in SCENARIOS[:3]), OlderFlowsModel.name]


@pytest.mark.parametrize("name", SMALL)
def test_small_model_is_searched_completely_without_a_violation(name: str) -> None:
    outcome, _ = check(name)
    assert outcome.finished
    assert outcome.violation == ""


def test_model_finds_two_runs_when_voters_forget_their_claims(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        VoterRole, "_expire_claims", lambda role, now: role._claims.clear()
    )
    outcome = search(ClaimModel(SCENARIOS[0]), 20.0)
    assert "ran at" in outcome.violation
    assert outcome.trace


def test_model_finds_a_deletion_lost_from_a_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drop_missing = "balsamstream.core.catalogue.Catalogue._drop_missing"
    monkeypatch.setattr(drop_missing, lambda catalogue, changes: [])
    outcome = search(ConfigurationModel(), 20.0)
    assert "complete to" in outcome.violation


def test_guard_text_occurs_once_in_its_module_and_its_model_exists() -> None:
    for guard in GUARDS:
        spec = find_spec(guard.module)
        assert spec is not None
        assert spec.origin is not None
        source = Path(spec.origin).read_text()
        assert guard.remove(source) != source
        assert guard.model in list_models()


def test_every_test_named_by_a_guard_exists() -> None:
    for guard in GUARDS:
        if not guard.test:
            continue
        path, _, name = guard.test.partition("::")
        assert f"def {name}(" in Path(path).read_text()
