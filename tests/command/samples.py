"""Sample objects for the tests of the command-line tool."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

    from balsamstream.config import Kind
    from balsamstream.objectapi import PlatformClient

PROFILE = """\
apiVersion: balsamstream/v1
kind: Profile
metadata: {name: counter}
spec: {deadline_ms: 2000}
"""
SERVICE = """\
apiVersion: balsamstream/v1
kind: Service
metadata: {name: comptoir}
spec: {address: "127.0.0.1:5683", profile: counter}
"""
DATA_CENTRE = """\
apiVersion: balsamstream/v1
kind: DataCentre
metadata: {name: medina}
spec: {state: in}
"""


def write_file(folder: Path, *documents: str) -> Path:
    """Write YAML documents to the file ``objects.yaml`` in a folder."""
    path = folder / "objects.yaml"
    path.write_text("---\n".join(documents), encoding="utf-8")
    return path


def build_view() -> dict[str, Any]:
    """Build the ``spec`` of a view of two hosts in two data centres."""
    members = [
        {
            "name": f"comptoir-{number}",
            "incarnation": number,
            "address": f"127.0.0.1:700{number}",
            "data_centre": data_centre,
            "slots": 2,
            "state": "active",
        }
        for number, data_centre in [(1, "medina"), (2, "thyna")]
    ]
    voters = [
        {key: value for key, value in member.items() if key not in ("slots", "state")}
        for member in members[:1]
    ]
    voter_set = {"epoch": 1, "quarantine_s": 0.0, "voters": voters}
    return {"number": 7, "members": members, "voter_sets": [voter_set]}


async def read_spec(client: PlatformClient, kind: Kind, name: str) -> dict[str, Any]:
    """Read the ``spec`` of an object, empty if the object does not exist."""
    result = await client.get(kind, name)
    return result.unwrap().spec if result.map(bool).value_or(False) else {}


__all__ = [
    "DATA_CENTRE",
    "PROFILE",
    "SERVICE",
    "build_view",
    "read_spec",
    "write_file",
]
