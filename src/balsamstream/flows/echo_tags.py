"""What a gate writes into the field of a packet that a host leaves as it is.

A bounced packet then says which front sent it and whether it was sought or carried, so
the gate keeps nothing for packets under way.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Final

_TAG: Final = struct.Struct(">HH")
_FORWARD: Final = 1
_SEARCH: Final = 2
MAX_FRONTS: Final = 65_536


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a packet came from.

    Attributes
    ----------
    front : str
        Address of the front.
    is_search : bool
        Whether the front asked all gates for the flow's host.
    """

    front: str
    is_search: bool


class EchoTags:
    """Numbers of the fronts that packets came from."""

    def __init__(self) -> None:
        self._forward_tags: dict[str, bytes] = {}
        self._search_tags: dict[str, bytes] = {}
        self._fronts: list[str] = []

    def get(self, front: str, *, is_search: bool = False) -> bytes:
        """Return the mark of packets of a front."""
        if front not in self._forward_tags:
            self._add(front)
        return self._search_tags[front] if is_search else self._forward_tags[front]

    def _add(self, front: str) -> None:
        if len(self._fronts) >= MAX_FRONTS:
            self._forward_tags.clear()
            self._search_tags.clear()
            self._fronts.clear()
        index = len(self._fronts)
        self._fronts.append(front)
        self._forward_tags[front] = _TAG.pack(_FORWARD, index)
        self._search_tags[front] = _TAG.pack(_SEARCH, index)

    def parse(self, tag: bytes) -> Origin | None:
        """Read a mark; None where it is none of this gate's run."""
        kind, index = _TAG.unpack(tag)
        if kind not in (_FORWARD, _SEARCH) or index >= len(self._fronts):
            return None
        return Origin(self._fronts[index], kind == _SEARCH)


__all__ = ["EchoTags", "Origin"]
