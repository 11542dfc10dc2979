"""Conversion between unsigned 64-bit keys and thrift's signed integers."""

from __future__ import annotations

from typing import Final

_SIGN_BIT: Final = 1 << 63
_RANGE: Final = 1 << 64


def to_signed(number: int) -> int:
    """Return the signed 64-bit number with the same bits."""
    return number - _RANGE if number >= _SIGN_BIT else number


def to_unsigned(number: int) -> int:
    """Return the unsigned 64-bit number with the same bits."""
    return number + _RANGE if number < 0 else number


__all__ = ["to_signed", "to_unsigned"]
