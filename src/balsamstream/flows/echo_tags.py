"""What a gate writes into the field of a packet that a host leaves as it is.

A bounced packet then says which front sent it and whether it was sought or carried, so
the gate keeps nothing for packets under way.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Final

_MARK: Final = struct.Struct(">HH")
_CARRIED: Final = 1
_SOUGHT: Final = 2
MOST_FRONTS: Final = 65_536


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a packet came from.

    Attributes
    ----------
    front : str
        Address of the front.
    is_sought : bool
        Whether the front asked all gates for the flow's host.
    """

    front: str
    is_sought: bool


class Marks:
    """Numbers of the fronts that packets came from."""

    def __init__(self) -> None:
        self._carried: dict[str, bytes] = {}
        self._sought: dict[str, bytes] = {}
        self._fronts: list[str] = []

    def get(self, front: str, *, is_sought: bool = False) -> bytes:
        """Return the mark of packets of a front."""
        if front not in self._carried:
            self._add(front)
        return self._sought[front] if is_sought else self._carried[front]

    def _add(self, front: str) -> None:
        if len(self._fronts) >= MOST_FRONTS:
            self._carried.clear()
            self._sought.clear()
            self._fronts.clear()
        number = len(self._fronts)
        self._fronts.append(front)
        self._carried[front] = _MARK.pack(_CARRIED, number)
        self._sought[front] = _MARK.pack(_SOUGHT, number)

    def read(self, mark: bytes) -> Origin | None:
        """Read a mark; None where it is none of this gate's run."""
        kind, number = _MARK.unpack(mark)
        if kind not in (_CARRIED, _SOUGHT) or number >= len(self._fronts):
            return None
        return Origin(self._fronts[number], kind == _SOUGHT)


__all__ = ["Marks", "Origin"]
