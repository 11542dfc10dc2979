"""Kinds of object that the platform stores for balsamstream."""

from __future__ import annotations

import enum
from typing import Final

API_VERSION: Final = "balsamstream/v1"


class Kind(enum.Enum):
    """A kind of object; the value is the object's ``kind`` field."""

    PROFILE = "Profile"
    SERVICE = "Service"
    DATA_CENTRE = "DataCentre"
    VIEW = "View"
    BALANCER = "Balancer"

    @property
    def plural(self) -> str:
        """The plural used in the platform's URL paths, such as ``profiles``."""
        return f"{self.value.lower()}s"

    @property
    def is_declared(self) -> bool:
        """Whether operators declare objects of this kind."""
        return self in _DECLARED_KINDS


_DECLARED_KINDS: Final = frozenset({Kind.PROFILE, Kind.SERVICE, Kind.DATA_CENTRE})


def find_kind(text: str) -> Kind | None:
    """Find a kind by its singular or plural name, ignoring case."""
    wanted = text.lower()
    for kind in Kind:
        if wanted in (kind.value.lower(), kind.plural):
            return kind
    return None


__all__ = ["API_VERSION", "Kind", "find_kind"]
