"""A layer-4 load balancer whose flows outlive changes of its own fleet."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"

__all__ = ["VERSION"]
