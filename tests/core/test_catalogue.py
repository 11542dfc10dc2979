"""Tests of the catalogue: versions, deletions, validation and replies in parts."""

from __future__ import annotations

from balsamstream.core.catalogue import OBJECTS_PER_REPLY, Catalogue
from balsamstream.core.message import Changes, ChangesRequest, ConfigObject

SERVICE_SPEC = {"address": "127.0.0.1:5683", "profile": "counter"}


def build_changes() -> Changes:
    objects = (
        ConfigObject("Profile", "counter", 1, {}),
        ConfigObject("Service", "comptoir", 2, SERVICE_SPEC),
        ConfigObject("DataCentre", "medina", 3, {"state": "in"}),
    )
    return Changes(0, 3, False, False, objects)


def test_reply_of_another_services_agent_leaves_no_gap() -> None:
    whole = Catalogue()
    whole.apply_changes(build_changes())
    fitter = Catalogue("fitter")
    fitter.apply_changes(whole.build_changes(ChangesRequest(0, "fitter")))
    comptoir = Catalogue("comptoir")
    comptoir.apply_changes(fitter.build_changes(ChangesRequest(0, "comptoir")))
    comptoir.apply_changes(
        whole.build_changes(ChangesRequest(comptoir.complete_to, "comptoir"))
    )
    assert comptoir.find_service("comptoir") is not None


def test_older_version_of_an_object_changes_nothing() -> None:
    catalogue = Catalogue()
    catalogue.apply_changes(build_changes())
    late = ConfigObject("DataCentre", "medina", 2, {"state": "out"})
    assert catalogue.apply_changes(Changes(0, 2, False, False, (late,))) == []
    assert catalogue.evacuated == frozenset()


def test_deleted_object_does_not_come_back_from_a_late_copy() -> None:
    catalogue = Catalogue()
    catalogue.apply_changes(build_changes())
    gone = ConfigObject("Service", "comptoir", 4, None)
    catalogue.apply_changes(Changes(3, 4, False, False, (gone,)))
    catalogue.apply_changes(build_changes())
    assert catalogue.find_service("comptoir") is None


def test_object_that_fails_validation_leaves_the_last_valid_one() -> None:
    catalogue = Catalogue()
    catalogue.apply_changes(build_changes())
    wrong = ConfigObject("Profile", "counter", 9, {"deadline_ms": -1})
    assert catalogue.apply_changes(Changes(3, 9, False, False, (wrong,))) == []
    assert catalogue.find_service("comptoir") is not None
    assert catalogue.rejected == 1


def test_reply_in_parts_skips_no_object_of_one_version() -> None:
    whole = Catalogue()
    names = [f"profile-{number:04}" for number in range(2 * OBJECTS_PER_REPLY)]
    objects = [ConfigObject("Profile", name, n + 1, {}) for n, name in enumerate(names)]
    version = len(names)
    whole.apply_changes(Changes(0, version, False, False, tuple(objects)))
    follower = Catalogue()
    follower.apply_changes(Changes(0, version, False, False, tuple(objects)))
    whole.apply_changes(Changes(0, version + 5, True, False, ()))
    for _ in range(10):
        follower.apply_changes(
            whole.build_changes(ChangesRequest(follower.complete_to))
        )
    assert follower.complete_to == version + 5
    assert not any(
        follower.build_changes(ChangesRequest(0)).objects[n].spec for n in range(5)
    )
    left = [name for name in names if follower.has_object("Profile", name)]
    assert left == []
