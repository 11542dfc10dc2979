"""Type of the instances of thrift's generated classes."""

from __future__ import annotations

from typing import Any, TypeAlias

Structure: TypeAlias = Any
"""``Any``, since the generated classes have no type annotations."""

__all__ = ["Structure"]
