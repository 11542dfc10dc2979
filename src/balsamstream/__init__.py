"""A layer-4 load balancer that keeps flows alive when its own fleet changes."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"

__all__ = ["VERSION"]
