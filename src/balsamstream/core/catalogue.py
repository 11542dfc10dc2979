"""A process's copy of the configuration objects; their versions only rise."""

from __future__ import annotations

from bisect import bisect_right, insort
from dataclasses import dataclass, replace
from operator import itemgetter
from typing import TYPE_CHECKING, Any, Final

import xxhash
from returns.result import Failure, Success

from ..config.kind import Kind
from ..config.objects import DataCentre, DataCentreState, Profile, ServiceSpec
from ..config.parse import parse_spec
from .identity import Address, ProcessRef, parse_address
from .message import Changes, ChangesRequest, ConfigObject
from .stored_view import read_view
from .view import View, Voter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

OBJECTS_PER_REPLY: Final = 200
SYSTEM_KINDS: Final = frozenset({Kind.VIEW, Kind.BALANCER})

_SHARED_KINDS: Final = frozenset({Kind.DATA_CENTRE.value, Kind.PROFILE.value})
_SERVICE_KINDS: Final = (Kind.SERVICE.value, Kind.VIEW.value)


def compute_service_number(name: str) -> int:
    """Return the 64-bit hash that identifies a service in packets."""
    return xxhash.xxh3_64_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A declared service and the profile that applies to it."""

    number: int
    spec: ServiceSpec
    profile: Profile


@dataclass(frozen=True, slots=True)
class BalancerEntry:
    """A balancer that has registered on the platform."""

    ref: ProcessRef
    address: Address
    data_centre: str

    def to_voter(self) -> Voter:
        """Return the voter that stands for this balancer."""
        return Voter(self.ref, self.address, self.data_centre)


class Catalogue:
    """The latest known version of each configuration object.

    An object is applied only if its version is above the stored one; this includes
    deletions. An object that fails validation leaves the last valid one in place.
    ``complete_to`` is the platform version up to which no change is missing.

    Parameters
    ----------
    service : str
        The one service of an agent; empty for all services.

    Attributes
    ----------
    rejected : int
        Number of objects that failed validation.
    balancers_revision : int
        Rises with each change of the registered balancers.
    data_centres_version : int
        Highest platform version among the data centre objects.
    """

    def __init__(self, service: str = "") -> None:
        self.service = service
        self.complete_to = 0
        self._list_version = 0
        self.rejected = 0
        self.balancers_revision = 0
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._versions: list[tuple[int, tuple[str, str]]] = []
        self._shared_keys: dict[tuple[str, str], None] = {}
        self._profiles: dict[str, Profile] = {}
        self._specs: dict[str, ServiceSpec] = {}
        self._views: dict[str, View] = {}
        self._balancers: dict[str, BalancerEntry] = {}
        self._data_centres: dict[str, DataCentre] = {}
        self._by_number: dict[int, str] = {}
        self._by_address: dict[Address, str] = {}
        self.data_centres_version = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the data centres that operators took out."""
        return frozenset(
            name
            for name, data_centre in self._data_centres.items()
            if data_centre.state is DataCentreState.OUT
        )

    @property
    def balancers(self) -> tuple[BalancerEntry, ...]:
        """All registered balancers, sorted by name."""
        return tuple(self._balancers[name] for name in sorted(self._balancers))

    @property
    def services(self) -> tuple[ServiceEntry, ...]:
        """All declared services whose profile is known, sorted by name."""
        entries = (self.find_service(name) for name in sorted(self._specs))
        return tuple(entry for entry in entries if entry is not None)

    def has_object(self, kind: str, name: str) -> bool:
        """Return whether an object is known and not deleted."""
        obj = self._objects.get((kind, name))
        return obj is not None and obj.spec is not None

    def find_view(self, service: str) -> View | None:
        """Return the latest view of a service, or None if unknown."""
        return self._views.get(service)

    def find_service(self, name: str) -> ServiceEntry | None:
        """Return a service, or None unless it is declared and its profile is known."""
        spec = self._specs.get(name)
        if spec is None:
            return None
        profile = self._profiles.get(spec.profile)
        if profile is None:
            return None
        return ServiceEntry(compute_service_number(name), spec, profile)

    def find_service_by_number(self, number: int) -> ServiceEntry | None:
        """Return a service by its number in packets, or None if unknown."""
        name = self._by_number.get(number)
        return None if name is None else self.find_service(name)

    def find_service_by_address(self, address: Address) -> ServiceEntry | None:
        """Return the service that callers reach by an address, or None if unknown."""
        name = self._by_address.get(address)
        return None if name is None else self.find_service(name)

    def apply_changes(self, changes: Changes) -> list[ConfigObject]:
        """Apply the objects that are newer than the stored ones.

        Parameters
        ----------
        changes : Changes
            From the platform or another process; may be reordered or repeated.

        Returns
        -------
        list of ConfigObject
            The objects that were applied; deleted ones have no spec.
        """
        applied = [obj for obj in changes.objects if self._apply_object(obj)]
        if changes.full and changes.up_to >= self.complete_to:
            applied.extend(self._drop_missing(changes))
            if changes.up_to > self.complete_to:
                # A full list does not contain the objects deleted before it.
                self._list_version = changes.up_to
        same_scope = changes.service in ("", self.service)
        if same_scope and (changes.full or changes.since <= self.complete_to):
            self.complete_to = max(self.complete_to, changes.up_to)
        return applied

    def build_changes(self, message: ChangesRequest) -> Changes:
        """Build the reply to a request: the first part of the later objects.

        Objects are sorted by version, oldest first. An agent has no objects of other
        services; its reply about one of them contains what is known and does not raise
        the version up to which the requester is complete. A requester older than the
        last full list gets all objects, so that it detects deletions; deletions may be
        missing only if these objects exceed one part.
        """
        if self.service in ("", message.service) and message.have < self._list_version:
            all_objects = self._list_later(replace(message, have=0))
            if len(all_objects) <= OBJECTS_PER_REPLY:
                return Changes(
                    0,
                    self.complete_to,
                    True,
                    False,
                    tuple(all_objects),
                    message.service,
                )
        later = self._list_later(message)
        part = _cut_part(later)
        more = len(later) > len(part)
        up_to = self.complete_to
        if self.service not in ("", message.service):
            up_to = message.have
        elif more:
            up_to = min(part[-1].version, up_to)
        return Changes(message.have, up_to, False, more, part, message.service)

    def _list_later(self, message: ChangesRequest) -> list[ConfigObject]:
        """Return the objects that a requester lacks, sorted by version.

        The list may end after the first object beyond one part, which suffices to see
        that more are left.
        """
        if message.service:
            return self._list_later_of_service(message)
        later: list[ConfigObject] = []
        first = bisect_right(self._versions, message.have, key=itemgetter(0))
        for position in range(first, len(self._versions)):
            version, key = self._versions[position]
            obj = self._objects[key]
            if obj.version != version:
                continue
            later.append(obj)
            if len(later) > OBJECTS_PER_REPLY and version != later[-2].version:
                break
        return later

    def _list_later_of_service(self, message: ChangesRequest) -> list[ConfigObject]:
        keys = [(kind, message.service) for kind in _SERVICE_KINDS] + list(
            self._shared_keys
        )
        held = (self._objects.get(key) for key in keys)
        later = [obj for obj in held if obj and obj.version > message.have]
        return sorted(later, key=lambda obj: obj.version)

    def _store(self, key: tuple[str, str], obj: ConfigObject) -> None:
        """Store an object and insert it into the order of versions."""
        self._objects[key] = obj
        if obj.kind in _SHARED_KINDS:
            self._shared_keys[key] = None
        insort(self._versions, (obj.version, key))
        if len(self._versions) > 2 * len(self._objects) + OBJECTS_PER_REPLY:
            held = self._objects.items()
            self._versions = sorted((known.version, name) for name, known in held)

    def _apply_object(self, obj: ConfigObject) -> bool:
        key = (obj.kind, obj.name)
        known = self._objects.get(key)
        if known is not None and known.version >= obj.version:
            return False
        if known is None and obj.version <= self.complete_to:
            # No object is missing up to complete_to, so it has been deleted since.
            return False
        if not self._apply_spec(obj):
            self.rejected += 1
            return False
        self._store(key, obj)
        return True

    def _drop_missing(self, changes: Changes) -> list[ConfigObject]:
        present = {(obj.kind, obj.name) for obj in changes.objects}
        dropped: list[ConfigObject] = []
        for key, known in list(self._objects.items()):
            if key in present or known.spec is None or known.version > changes.up_to:
                continue
            if not self._is_in_scope(key, changes.service):
                continue
            gone = ConfigObject(known.kind, known.name, changes.up_to, None)
            self._apply_spec(gone)
            self._store(key, gone)
            dropped.append(gone)
        return dropped

    def _is_in_scope(self, key: tuple[str, str], service: str) -> bool:
        """Return whether a reply for ``service``, empty for all, covers an object."""
        if not service or key in self._shared_keys:
            return True
        kind, name = key
        return name == service and kind in _SERVICE_KINDS

    def _apply_spec(self, obj: ConfigObject) -> bool:
        try:
            kind = Kind(obj.kind)
        except ValueError:
            return False
        if kind is Kind.DATA_CENTRE:
            self.data_centres_version = max(self.data_centres_version, obj.version)
        if kind is Kind.BALANCER:
            self.balancers_revision += 1
        if obj.spec is None:
            self._remove_spec(kind, obj.name)
            return True
        if kind is Kind.VIEW:
            return self._apply_view(obj.name, obj.spec)
        if kind is Kind.BALANCER:
            return self._apply_balancer(obj.name, obj.spec)
        match parse_spec(kind, obj.name, obj.spec):
            case Success(Profile() as profile):
                self._profiles[obj.name] = profile
            case Success(ServiceSpec() as spec):
                self._apply_service(spec)
            case Success(DataCentre() as data_centre):
                self._data_centres[obj.name] = data_centre
            case Failure(_):
                return False
        return True

    def _apply_service(self, spec: ServiceSpec) -> None:
        self._remove_spec(Kind.SERVICE, spec.name)
        self._specs[spec.name] = spec
        self._by_number[compute_service_number(spec.name)] = spec.name
        self._by_address[spec.address] = spec.name

    def _apply_view(self, name: str, spec: Mapping[str, Any]) -> bool:
        try:
            view = read_view(name, spec)
        except (KeyError, TypeError, ValueError):
            return False
        known = self._views.get(name)
        if known is None or view.number > known.number:
            self._views[name] = view
        return True

    def _apply_balancer(self, name: str, spec: Mapping[str, Any]) -> bool:
        try:
            ref = ProcessRef(name, int(spec["incarnation"]))
            address = parse_address(spec["address"])
            self._balancers[name] = BalancerEntry(ref, address, spec["data_centre"])
        except (KeyError, TypeError, ValueError):
            return False
        return True

    def _remove_spec(self, kind: Kind, name: str) -> None:
        match kind:
            case Kind.PROFILE:
                self._profiles.pop(name, None)
            case Kind.SERVICE:
                old = self._specs.pop(name, None)
                if old is None:
                    return
                self._by_number.pop(compute_service_number(name), None)
                self._by_address.pop(old.address, None)
            case Kind.DATA_CENTRE:
                self._data_centres.pop(name, None)
            case Kind.VIEW:
                self._views.pop(name, None)
            case Kind.BALANCER:
                self._balancers.pop(name, None)


def _cut_part(later: list[ConfigObject]) -> tuple[ConfigObject, ...]:
    """Return the first part; objects of one version are never split.

    The requester continues from the last version in the part.
    """
    end = OBJECTS_PER_REPLY
    while end < len(later) and later[end].version == later[end - 1].version:
        end += 1
    return tuple(later[:end])


def list_spare_voters(balancers: Iterable[BalancerEntry]) -> tuple[Voter, ...]:
    """Return the balancers as voters for services with too few hosts."""
    return tuple(entry.to_voter() for entry in balancers)


__all__ = [
    "BalancerEntry",
    "Catalogue",
    "ServiceEntry",
    "compute_service_number",
    "list_spare_voters",
]
