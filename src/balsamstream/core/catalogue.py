"""Configuration as accepted: versions only rise."""

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
    """Return the 64-bit number by which packets name a service."""
    return xxhash.xxh3_64_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A declared service with the profile in force for it."""

    number: int
    spec: ServiceSpec
    profile: Profile


@dataclass(frozen=True, slots=True)
class BalancerEntry:
    """A balancer that announced itself."""

    ref: ProcessRef
    address: Address
    data_centre: str

    def to_voter(self) -> Voter:
        """Return this balancer as a voter."""
        return Voter(self.ref, self.address, self.data_centre)


class Catalogue:
    """All objects known, each in its latest version.

    An object is taken only with a version above the one held, a deletion included,
    and one that fails validation leaves the last valid one in force. ``complete_to``
    is the version up to which nothing is missing.

    Parameters
    ----------
    service : str
        The one service an agent follows; empty for all.
    """

    def __init__(self, service: str = "") -> None:
        self.service = service
        self.complete_to = 0
        self._listed_to = 0
        self.rejected = 0
        self.balancers_revision = 0
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        self._versions: list[tuple[int, tuple[str, str]]] = []
        self._shared: dict[tuple[str, str], None] = {}
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
        """All balancers that announced themselves, sorted by name."""
        return tuple(self._balancers[name] for name in sorted(self._balancers))

    @property
    def services(self) -> tuple[ServiceEntry, ...]:
        """All services whose profile is known, sorted by name."""
        found = (self.find_service(name) for name in sorted(self._specs))
        return tuple(entry for entry in found if entry is not None)

    def has_object(self, kind: str, name: str) -> bool:
        """Tell whether an object is known and not deleted."""
        found = self._objects.get((kind, name))
        return found is not None and found.spec is not None

    def find_view(self, service: str) -> View | None:
        """Return a service's latest view."""
        return self._views.get(service)

    def find_service(self, name: str) -> ServiceEntry | None:
        """Return a service that is declared and whose profile is known."""
        spec = self._specs.get(name)
        if spec is None:
            return None
        profile = self._profiles.get(spec.profile)
        if profile is None:
            return None
        return ServiceEntry(compute_service_number(name), spec, profile)

    def find_service_by_number(self, number: int) -> ServiceEntry | None:
        """Return a service by the number that packets carry."""
        name = self._by_number.get(number)
        return None if name is None else self.find_service(name)

    def find_service_by_address(self, address: Address) -> ServiceEntry | None:
        """Return the service that callers reach by an address."""
        name = self._by_address.get(address)
        return None if name is None else self.find_service(name)

    def apply_changes(self, changes: Changes) -> list[ConfigObject]:
        """Take what is new and return it.

        Parameters
        ----------
        changes : Changes
            From the platform or from another process, in any order and repeated.

        Returns
        -------
        list of ConfigObject
            The objects whose latest version rose, deleted ones with no spec.
        """
        taken = [found for found in changes.objects if self._accept_object(found)]
        if changes.full and changes.up_to >= self.complete_to:
            taken.extend(self._drop_missing(changes))
            if changes.up_to > self.complete_to:
                # A list does not name what was deleted before it.
                self._listed_to = changes.up_to
        same_part = changes.service in ("", self.service)
        if same_part and (changes.full or changes.since <= self.complete_to):
            self.complete_to = max(self.complete_to, changes.up_to)
        return taken

    def build_changes(self, ask: ChangesRequest) -> Changes:
        """Gather what an asker lacks, oldest first, a bounded part at a time.

        An agent lacks what concerns other services; asked for one of them, it gives
        what it has and claims no version to be complete. An asker from before the last
        list gets everything, so that it sees what was deleted; only where that is more
        than one part, deletions may be missing.
        """
        if self.service in ("", ask.service) and ask.have < self._listed_to:
            every = self._list_later(replace(ask, have=0))
            if len(every) <= OBJECTS_PER_REPLY:
                return Changes(
                    0, self.complete_to, True, False, tuple(every), ask.service
                )
        later = self._list_later(ask)
        part = _cut_part(later)
        more = len(later) > len(part)
        up_to = self.complete_to
        if self.service not in ("", ask.service):
            up_to = ask.have
        elif more:
            up_to = min(part[-1].version, up_to)
        return Changes(ask.have, up_to, False, more, part, ask.service)

    def _list_later(self, ask: ChangesRequest) -> list[ConfigObject]:
        """Return what an asker lacks, oldest first, up to a version beyond a part."""
        if ask.service:
            return self._list_later_of_service(ask)
        later: list[ConfigObject] = []
        first = bisect_right(self._versions, ask.have, key=itemgetter(0))
        for position in range(first, len(self._versions)):
            version, key = self._versions[position]
            found = self._objects[key]
            if found.version != version:
                continue
            later.append(found)
            if len(later) > OBJECTS_PER_REPLY and version != later[-2].version:
                break
        return later

    def _list_later_of_service(self, ask: ChangesRequest) -> list[ConfigObject]:
        keys = [(kind, ask.service) for kind in _SERVICE_KINDS] + list(self._shared)
        held = (self._objects.get(key) for key in keys)
        later = [found for found in held if found and found.version > ask.have]
        return sorted(later, key=lambda found: found.version)

    def _store(self, key: tuple[str, str], found: ConfigObject) -> None:
        """Keep an object and its place in the order of versions."""
        self._objects[key] = found
        if found.kind in _SHARED_KINDS:
            self._shared[key] = None
        insort(self._versions, (found.version, key))
        if len(self._versions) > 2 * len(self._objects) + OBJECTS_PER_REPLY:
            held = self._objects.items()
            self._versions = sorted((known.version, name) for name, known in held)

    def _accept_object(self, found: ConfigObject) -> bool:
        key = (found.kind, found.name)
        known = self._objects.get(key)
        if known is not None and known.version >= found.version:
            return False
        if known is None and found.version <= self.complete_to:
            # Nothing is missing up to there, so it was deleted since.
            return False
        if not self._apply(found):
            self.rejected += 1
            return False
        self._store(key, found)
        return True

    def _drop_missing(self, changes: Changes) -> list[ConfigObject]:
        present = {(found.kind, found.name) for found in changes.objects}
        dropped: list[ConfigObject] = []
        for key, known in list(self._objects.items()):
            if key in present or known.spec is None or known.version > changes.up_to:
                continue
            if not self._concerns(key, changes.service):
                continue
            gone = ConfigObject(known.kind, known.name, changes.up_to, None)
            self._apply(gone)
            self._store(key, gone)
            dropped.append(gone)
        return dropped

    def _concerns(self, key: tuple[str, str], service: str) -> bool:
        """Tell whether an answer about one service, or about all, names an object."""
        if not service or key in self._shared:
            return True
        kind, name = key
        return name == service and kind in _SERVICE_KINDS

    def _apply(self, found: ConfigObject) -> bool:
        try:
            kind = Kind(found.kind)
        except ValueError:
            return False
        if kind is Kind.DATA_CENTRE:
            self.data_centres_version = max(self.data_centres_version, found.version)
        if kind is Kind.BALANCER:
            self.balancers_revision += 1
        if found.spec is None:
            self._forget(kind, found.name)
            return True
        if kind is Kind.VIEW:
            return self._apply_view(found.name, found.spec)
        if kind is Kind.BALANCER:
            return self._apply_balancer(found.name, found.spec)
        match parse_spec(kind, found.name, found.spec):
            case Success(Profile() as profile):
                self._profiles[found.name] = profile
            case Success(ServiceSpec() as spec):
                self._apply_service(spec)
            case Success(DataCentre() as data_centre):
                self._data_centres[found.name] = data_centre
            case Failure(_):
                return False
        return True

    def _apply_service(self, spec: ServiceSpec) -> None:
        self._forget(Kind.SERVICE, spec.name)
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

    def _forget(self, kind: Kind, name: str) -> None:
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
    """Return the first part; objects of one version stay together.

    An asker goes on from the last version that it was given.
    """
    end = OBJECTS_PER_REPLY
    while end < len(later) and later[end].version == later[end - 1].version:
        end += 1
    return tuple(later[:end])


def list_spare_voters(balancers: Iterable[BalancerEntry]) -> tuple[Voter, ...]:
    """Return the balancers that may vote for a service with too few hosts."""
    return tuple(entry.to_voter() for entry in balancers)


__all__ = [
    "BalancerEntry",
    "Catalogue",
    "ServiceEntry",
    "compute_service_number",
    "list_spare_voters",
]
