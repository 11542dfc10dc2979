"""Environment variable and HTTP paths that the platform and hosts use on a node."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "BALSAMSTREAM_BOOT"
"""Environment variable with the path of a node's settings file."""
READINESS_PATH: Final = "/balsamstream/readiness"
_HOSTS_PATH: Final = "/balsamstream/instances/"


def read_host_path(path: str) -> str | None:
    """Return the host ID in a path for heartbeats, or None for any other path."""
    if not path.startswith(_HOSTS_PATH):
        return None
    return path[len(_HOSTS_PATH) :] or None


__all__ = ["READINESS_PATH", "SETTINGS_VARIABLE", "read_host_path"]
