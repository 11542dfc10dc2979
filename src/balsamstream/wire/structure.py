"""Instances of the classes that thrift generated."""

from __future__ import annotations

from typing import Any, TypeAlias

Structure: TypeAlias = Any
"""The generated classes carry no types."""

__all__ = ["Structure"]
