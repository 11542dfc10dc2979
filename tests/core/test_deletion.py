"""A deletion reaches processes that hear of it from others only."""

from __future__ import annotations

from balsamstream.core.catalogue import Catalogue
from balsamstream.core.message import Changes, ChangesRequest, ConfigObject

PROFILE = ConfigObject("Profile", "counter", 1, {})
OTHER = ConfigObject("Profile", "fitting", 2, {})


def test_process_that_listed_the_platform_tells_of_deletions() -> None:
    late, listed = Catalogue(), Catalogue()
    late.apply_changes(Changes(0, 2, True, False, (PROFILE, OTHER)))
    listed.apply_changes(Changes(0, 3, True, False, (OTHER,)))
    late.apply_changes(listed.build_changes(ChangesRequest(late.complete_to)))
    assert late.complete_to == 3
    assert late._objects[("Profile", "counter")].spec is None
    assert late._objects[("Profile", "fitting")].spec is not None


def test_full_answer_about_one_service_drops_nothing_of_another() -> None:
    balancer, agent = Catalogue(), Catalogue("comptoir")
    address = {"address": "127.0.0.1:1", "profile": "counter"}
    other = {"address": "127.0.0.1:2", "profile": "counter"}
    objects = (
        PROFILE,
        ConfigObject("Service", "comptoir", 2, address),
        ConfigObject("Service", "etiquettes", 3, other),
    )
    balancer.apply_changes(Changes(0, 3, True, False, objects))
    agent.apply_changes(Changes(0, 4, True, False, objects[:2], "comptoir"))
    balancer.apply_changes(agent.build_changes(ChangesRequest(0, "comptoir")))
    assert balancer.find_service("etiquettes") is not None


def test_late_older_list_does_not_bring_a_deleted_object_back() -> None:
    catalogue = Catalogue()
    catalogue.apply_changes(Changes(0, 3, True, False, (OTHER,)))
    catalogue.apply_changes(Changes(0, 2, True, False, (PROFILE, OTHER)))
    assert ("Profile", "counter") not in catalogue._objects
