"""Converts a daemon's page to and from its JSON object, validating what is read."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from ..config.problem import collect_problems
from .burn import LATENCY_BOUNDS_MS, BurnPage, BurnSlot, HostLoad, ServiceBurn

if TYPE_CHECKING:
    from ..config import Problem

Count = Annotated[int, Field(ge=0)]
_BUCKETS = len(LATENCY_BOUNDS_MS) + 1


class _Model(BaseModel):
    # A daemon of a later release may serve additional fields.
    model_config = ConfigDict(extra="ignore")


class _SlotModel(_Model):
    start_s: int
    answered: Count = 0
    in_time: Count = 0
    refused_not_run: Count = 0
    may_have_run: Count = 0
    broken_flows: Count = 0
    latency: Annotated[list[Count], Field(min_length=_BUCKETS, max_length=_BUCKETS)] = (
        Field(default_factory=lambda: [0] * _BUCKETS)
    )

    def convert(self) -> BurnSlot:
        return BurnSlot(
            self.start_s,
            self.answered,
            self.in_time,
            self.refused_not_run,
            self.may_have_run,
            self.broken_flows,
            tuple(self.latency),
        )


class _HostModel(_Model):
    name: str
    slots: Count
    flows: Count
    in_flight: Count

    def convert(self) -> HostLoad:
        return HostLoad(self.name, self.slots, self.flows, self.in_flight)


class _ServiceModel(_Model):
    service: str
    profile: str = ""
    availability: Annotated[float, Field(gt=0, lt=1)]
    latency_ms: Annotated[int, Field(gt=0)]
    slots: list[_SlotModel] = Field(default_factory=list)
    hosts: list[_HostModel] = Field(default_factory=list)

    def convert(self) -> ServiceBurn:
        return ServiceBurn(
            self.service,
            self.profile,
            self.availability,
            self.latency_ms,
            tuple(slot.convert() for slot in self.slots),
            tuple(host.convert() for host in self.hosts),
        )


class _PageModel(_Model):
    daemon: str
    data_centre: str = ""
    now_s: float
    services: list[_ServiceModel] = Field(default_factory=list)
    dropped_slots: Count = 0

    def convert(self) -> BurnPage:
        return BurnPage(
            self.daemon,
            self.data_centre,
            self.now_s,
            tuple(service.convert() for service in self.services),
            self.dropped_slots,
        )


def parse_page(document: object) -> Result[BurnPage, list[Problem]]:
    """Validate and convert the JSON object that a daemon served at ``/burn``."""
    try:
        return Success(_PageModel.model_validate(document).convert())
    except ValidationError as error:
        return Failure(collect_problems(error))


def build_page_document(page: BurnPage) -> dict[str, Any]:
    """Build the JSON object that a daemon serves at ``/burn``."""
    return dataclasses.asdict(page)


__all__ = ["build_page_document", "parse_page"]
