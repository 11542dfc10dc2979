"""Parses and validates the objects that operators declare."""

from __future__ import annotations

from .address import Address, validate_address
from .check import check_consistency
from .file import LoadedObject, load_file
from .kind import API_VERSION, Kind, find_kind
from .objects import (
    ColdStart,
    ConfigObject,
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
from .parse import build_spec, get_object_kind, parse_object, parse_spec
from .problem import Problem

__all__ = [
    "API_VERSION",
    "Address",
    "ColdStart",
    "ConfigObject",
    "DataCentre",
    "DataCentreState",
    "Kind",
    "LoadedObject",
    "Objectives",
    "Problem",
    "Profile",
    "Protocol",
    "Repeatability",
    "RetryAfter",
    "ServiceSpec",
    "WorkClass",
    "build_spec",
    "check_consistency",
    "find_kind",
    "get_object_kind",
    "load_file",
    "validate_address",
    "parse_object",
    "parse_spec",
]
