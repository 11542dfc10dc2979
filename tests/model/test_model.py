"""The models are whole within their bounds and find what they are made for."""

from __future__ import annotations

from importlib.util import find_spec
from pathlib import Path

import pytest

from balsamstream.core.claim import VoterRole
from model.claims import SCENARIOS, ClaimModel
from model.configuration import ConfigurationModel
from model.guards import GUARDS
from model.run import check, list_models
from model.search import search

SMALL = [bounds.name for bounds in SCENARIOS[:3]]


@pytest.mark.parametrize("name", SMALL)
def test_small_model_is_whole_and_sound(name: str) -> None:
    outcome, _ = check(name)
    assert outcome.finished
    assert outcome.broken == ""


def test_vote_counted_for_every_claimant_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        VoterRole, "_expire_claims", lambda role, now: role._claims.clear()
    )
    outcome = search(ClaimModel(SCENARIOS[0]), 20.0)
    assert "ran at" in outcome.broken
    assert outcome.trace


def test_lost_deletion_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    accept = "balsamstream.core.catalogue.Catalogue._drop_missing"
    monkeypatch.setattr(accept, lambda catalogue, changes: [])
    outcome = search(ConfigurationModel(), 20.0)
    assert "complete to" in outcome.broken


def test_every_guard_names_its_module_text_once_and_a_model() -> None:
    for guard in GUARDS:
        spec = find_spec(guard.module)
        assert spec is not None
        assert spec.origin is not None
        source = Path(spec.origin).read_text()
        assert guard.remove(source) != source
        assert guard.model in list_models()


def test_every_test_that_guards_name_is_there() -> None:
    for guard in GUARDS:
        if not guard.test:
            continue
        path, _, name = guard.test.partition("::")
        assert f"def {name}(" in Path(path).read_text()
