"""Pydantic models that validate the ``spec`` of declared objects."""

from __future__ import annotations

from typing import Annotated, Any, Final

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    model_validator,
)
from returns.result import Failure, Success

from .address import Address, validate_address
from .objects import (
    ColdStart,
    DataCentre,
    DataCentreState,
    Objectives,
    Profile,
    Protocol,
    Repeatability,
    RetryAfter,
    ServiceSpec,
    WorkClass,
)

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
MAX_DEADLINE_MS: Final = 600_000
MAX_DURATION_S: Final = 86_400.0
MAX_CHOICES: Final = 4
MAX_PER_SLOT: Final = 1_000_000


def _read_address(value: Any) -> Address:  # noqa: ANN401 - any YAML value
    if not isinstance(value, str):
        raise ValueError("an address must be a string of the form IP:PORT")
    match validate_address(value):
        case Success(Address() as address):
            return address
        case Failure(text):
            raise ValueError(text)
    raise AssertionError("unreachable")


def _check_shed_order(order: tuple[WorkClass, ...]) -> tuple[WorkClass, ...]:
    if sorted(item.value for item in order) != sorted(item.value for item in WorkClass):
        names = ", ".join(item.value for item in WorkClass)
        raise ValueError(f"must list each of {names} exactly once")
    return order


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
AddressField = Annotated[Address, BeforeValidator(_read_address)]
Count = Annotated[int, Field(strict=True, ge=1, le=MAX_PER_SLOT)]
Milliseconds = Annotated[int, Field(strict=True, ge=1, le=MAX_DEADLINE_MS)]
Seconds = Annotated[
    float, Field(strict=True, ge=0, le=MAX_DURATION_S, allow_inf_nan=False)
]
Share = Annotated[float, Field(strict=True, ge=0, le=1, allow_inf_nan=False)]


class Model(BaseModel):
    """Base class of the validation models; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Metadata(Model):
    """Validation model of an object's ``metadata``."""

    name: Name
    resourceVersion: str | None = Field(  # noqa: N815 - name of the field in the platform's API
        default=None, pattern=r"^[0-9]+$"
    )
    annotations: dict[str, str] = Field(default_factory=dict)


class ColdStartModel(Model):
    """Validation model of ``ColdStart``."""

    initial_share: Annotated[Share, Field(gt=0)] = 0.05
    hold_s: Seconds = 5.0
    ramp_s: Seconds = 10.0

    def convert(self) -> ColdStart:
        """Convert the model to its data class."""
        return ColdStart(self.initial_share, self.hold_s, self.ramp_s)


class RetryAfterModel(Model):
    """Validation model of ``RetryAfter``."""

    least: Seconds = 1.0
    most: Seconds = 4.0

    @model_validator(mode="after")
    def _check_order(self) -> RetryAfterModel:
        if self.least > self.most:
            raise ValueError(f"least {self.least} is above most {self.most}")
        return self

    def convert(self) -> RetryAfter:
        """Convert the model to its data class."""
        return RetryAfter(self.least, self.most)


class ObjectivesModel(Model):
    """Validation model of ``Objectives``."""

    availability: Annotated[Share, Field(gt=0, lt=1)] = 0.999
    latency_ms: Milliseconds = 100

    def convert(self) -> Objectives:
        """Convert the model to its data class."""
        return Objectives(self.availability, self.latency_ms)


class ProfileModel(Model):
    """Validation model of the ``spec`` of a ``Profile``."""

    requests: Repeatability = Repeatability.BY_METHOD
    deadline_ms: Milliseconds = 2_000
    flow_idle_s: Annotated[Seconds, Field(gt=0)] = 900.0
    flows_per_slot: Count = 1_000
    in_flight_per_slot: Count = 32
    choices: Annotated[int, Field(strict=True, ge=1, le=MAX_CHOICES)] = 2
    cold_start: ColdStartModel = Field(default_factory=ColdStartModel)
    drain_s: Seconds = 60.0
    retry_budget: Share = 0.1
    shed: Annotated[tuple[WorkClass, ...], AfterValidator(_check_shed_order)] = (
        WorkClass.NEW_FLOW,
        WorkClass.REPEATABLE,
        WorkClass.NON_REPEATABLE,
    )
    retry_after_s: RetryAfterModel = Field(default_factory=RetryAfterModel)
    objectives: ObjectivesModel = Field(default_factory=ObjectivesModel)

    @model_validator(mode="after")
    def _check_latency(self) -> ProfileModel:
        if self.objectives.latency_ms > self.deadline_ms:
            raise ValueError(
                f"objectives.latency_ms {self.objectives.latency_ms} "
                f"is above deadline_ms {self.deadline_ms}"
            )
        return self

    def convert(self, name: str) -> Profile:
        """Convert the model to its data class."""
        return Profile(
            name=name,
            requests=self.requests,
            deadline_ms=self.deadline_ms,
            flow_idle_s=self.flow_idle_s,
            flows_per_slot=self.flows_per_slot,
            in_flight_per_slot=self.in_flight_per_slot,
            choices=self.choices,
            cold_start=self.cold_start.convert(),
            drain_s=self.drain_s,
            retry_budget=self.retry_budget,
            shed=self.shed,
            retry_after_s=self.retry_after_s.convert(),
            objectives=self.objectives.convert(),
        )


class ServiceModel(Model):
    """Validation model of the ``spec`` of a service."""

    address: AddressField
    profile: Name
    protocol: Protocol = Protocol.COAP

    def convert(self, name: str) -> ServiceSpec:
        """Convert the model to its data class."""
        return ServiceSpec(name, self.address, self.profile, self.protocol)


class DataCentreModel(Model):
    """Validation model of the ``spec`` of a ``DataCentre``."""

    state: DataCentreState

    def convert(self, name: str) -> DataCentre:
        """Convert the model to its data class."""
        return DataCentre(name, self.state)


__all__ = [
    "AddressField",
    "ColdStartModel",
    "Count",
    "DataCentreModel",
    "Metadata",
    "Milliseconds",
    "Model",
    "Name",
    "ObjectivesModel",
    "ProfileModel",
    "RetryAfterModel",
    "Seconds",
    "ServiceModel",
    "Share",
]
