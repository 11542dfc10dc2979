"""Objects as the platform stores them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from pydantic import BaseModel, ConfigDict, Field

from ..config import API_VERSION, Kind

CHANGED_BY: Final = "balsamstream/changed-by"
CHANGE_ID: Final = "balsamstream/change-id"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform at one version.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name, unique within the kind.
    version : int
        The store's version at the object's last change.
    changed_by : str
        Author of the last change, empty if unknown.
    spec : dict
        Content of the object; shared, so it must not be modified.
    change_id : str
        Identifier of the write that made the last change.
    """

    kind: Kind
    name: str
    version: int
    changed_by: str
    spec: dict[str, Any]
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class Listing:
    """Every object of one kind, or of all, at one version of the store.

    Attributes
    ----------
    version : int
        Version of the store.
    objects : tuple of StoredObject
        The objects.
    """

    version: int
    objects: tuple[StoredObject, ...]


class _Model(BaseModel):
    # The platform may add fields.
    model_config = ConfigDict(extra="ignore")


class _MetadataModel(_Model):
    name: str = ""
    resourceVersion: int = 0  # noqa: N815 - name of the platform's field
    annotations: dict[str, str] = Field(default_factory=dict)


class _ObjectModel(_Model):
    kind: Kind
    metadata: _MetadataModel
    spec: dict[str, Any] = Field(default_factory=dict)

    def convert(self) -> StoredObject:
        return StoredObject(
            self.kind,
            self.metadata.name,
            self.metadata.resourceVersion,
            self.metadata.annotations.get(CHANGED_BY, ""),
            self.spec,
            self.metadata.annotations.get(CHANGE_ID, ""),
        )


class _ListModel(_Model):
    metadata: _MetadataModel
    items: list[_ObjectModel]


class _EventModel(_Model):
    type: str
    object: dict[str, Any]


def read_object(body: bytes | dict[str, Any]) -> StoredObject:
    """Validate an object that the platform sent.

    Raises
    ------
    ValueError
        If it is not an object of a known kind.
    """
    if isinstance(body, bytes):
        return _ObjectModel.model_validate_json(body).convert()
    return _ObjectModel.model_validate(body).convert()


def read_listing(body: bytes) -> Listing:
    """Validate a list that the platform sent.

    Raises
    ------
    ValueError
        If it is not a list of objects of known kinds.
    """
    model = _ListModel.model_validate_json(body)
    objects = tuple(item.convert() for item in model.items)
    return Listing(model.metadata.resourceVersion, objects)


def read_event(line: bytes) -> tuple[str, dict[str, Any]]:
    """Validate one line of a watch.

    Returns
    -------
    tuple of str and dict
        The type of the event and its object, not yet validated.

    Raises
    ------
    ValueError
        If it is not an event.
    """
    model = _EventModel.model_validate_json(line)
    return model.type, model.object


def build_object(
    kind: Kind,
    name: str,
    spec: dict[str, Any],
    *,
    changed_by: str,
    change_id: str,
    version: int | None = None,
) -> dict[str, Any]:
    """Build the JSON document of an object to write."""
    metadata: dict[str, Any] = {
        "name": name,
        "annotations": {CHANGED_BY: changed_by, CHANGE_ID: change_id},
    }
    if version is not None:
        metadata["resourceVersion"] = str(version)
    return {
        "apiVersion": API_VERSION,
        "kind": kind.value,
        "metadata": metadata,
        "spec": spec,
    }


__all__ = [
    "CHANGED_BY",
    "CHANGE_ID",
    "Listing",
    "StoredObject",
    "build_object",
    "read_event",
    "read_listing",
    "read_object",
]
