"""Tags that a gate writes into the echo field of packets to its host.

The host returns the field unchanged. From the tag of a bounced packet the gate reads
which front sent it and whether it was part of a search, so it keeps no state for
packets in transit.
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
    """Origin of a packet, as its echo tag records it.

    Attributes
    ----------
    front : str
        Address of the front that sent the packet.
    is_search : bool
        Whether the packet was part of a search for the flow's host.
    """

    front: str
    is_search: bool


class EchoTags:
    """Allocates and resolves echo tags, one pair for each front."""

    def __init__(self) -> None:
        self._forward_tags: dict[str, bytes] = {}
        self._search_tags: dict[str, bytes] = {}
        self._fronts: list[str] = []

    def get(self, front: str, *, is_search: bool = False) -> bytes:
        """Return the tag for packets of a front."""
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
        """Return the origin of a tag, or None if this process did not issue it."""
        kind, index = _TAG.unpack(tag)
        if kind not in (_FORWARD, _SEARCH) or index >= len(self._fronts):
            return None
        return Origin(self._fronts[index], kind == _SEARCH)


__all__ = ["EchoTags", "Origin"]
