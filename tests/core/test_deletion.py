"""Tests that deletions reach processes that only poll other processes."""

from __future__ import annotations

from balsamstream.core.catalogue import Catalogue
from balsamstream.core.message import Changes, ChangesRequest, ConfigObject

PROFILE = ConfigObject("Profile", "counter", 1, {})
OTHER = ConfigObject("Profile", "fitting", 2, {})


def test_reply_of_a_process_that_listed_the_platform_includes_deletions() -> None:
    polling, listing = Catalogue(), Catalogue()
    polling.apply_changes(Changes(0, 2, True, False, (PROFILE, OTHER)))
    listing.apply_changes(Changes(0, 3, True, False, (OTHER,)))
    polling.apply_changes(listing.build_changes(ChangesRequest(polling.complete_to)))
    assert polling.complete_to == 3
    assert polling._objects[("Profile", "counter")].spec is None
    assert polling._objects[("Profile", "fitting")].spec is not None


def test_full_reply_about_one_service_deletes_nothing_of_another() -> None:
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
