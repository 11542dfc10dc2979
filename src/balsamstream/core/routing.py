"""Assignment of flows to hosts by weighted rendezvous hashing over fixed buckets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

from .identity import FlowKey
from .view import MemberState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .identity import Address
    from .view import Member, View

BUCKETS: Final = 512
MAX_RANKED: Final = 4
_HASH_RANGE: Final = float(2**64)


@dataclass(frozen=True, slots=True, order=True)
class RoutingVersion:
    """Versions of the inputs of a routing; both only rise.

    Parameters
    ----------
    view : int
        Number of the service's view.
    data_centres : int
        Highest platform version among the data centre objects.
    """

    view: int
    data_centres: int

    def covers(self, other: RoutingVersion) -> bool:
        """Return whether neither part is older than that of ``other``."""
        return self.view >= other.view and self.data_centres >= other.data_centres


def compute_flow_key(service: str, caller: Address) -> FlowKey:
    """Return the 64-bit hash of a service and a caller's address."""
    return FlowKey(
        xxhash.xxh3_64_intdigest(f"{service}|{caller.ip}:{caller.port}".encode())
    )


def compute_bucket(flow: FlowKey) -> int:
    """Return the bucket of a flow, from 0 to ``BUCKETS`` - 1."""
    return flow % BUCKETS


def score_member(bucket: int, member: Member) -> float:
    """Return the weighted rendezvous score of a member; the highest ranks first."""
    hashed = xxhash.xxh3_64_intdigest(f"{bucket}|{member.ref.name}".encode())
    return -member.slots / math.log((hashed + 0.5) / _HASH_RANGE)


class Routing:
    """Ranking of the eligible hosts of one service for each bucket.

    Parameters
    ----------
    view : View
        Membership of the service.
    evacuated : frozenset of str
        Names of the data centres that operators took out.
    data_centres_version : int
        Highest platform version among the data centre objects.

    Attributes
    ----------
    eligible : sequence of Member
        Hosts that may get new flows: active, in a data centre that is not evacuated.
    reachable : sequence of Member
        Hosts that may hold flows: not down, in a data centre that is not evacuated.
    """

    __slots__ = (
        "_by_address",
        "_by_name",
        "_ranked",
        "eligible",
        "evacuated",
        "reachable",
        "version",
        "view",
    )

    def __init__(
        self, view: View, evacuated: frozenset[str], data_centres_version: int
    ) -> None:
        self.view = view
        self.evacuated = evacuated
        self.version = RoutingVersion(view.number, data_centres_version)
        members = [
            member for member in view.members if member.data_centre not in evacuated
        ]
        self.eligible: Sequence[Member] = tuple(
            member for member in members if member.state is MemberState.ACTIVE
        )
        self.reachable: Sequence[Member] = tuple(
            member for member in members if member.state is not MemberState.DOWN
        )
        self._by_name = {member.ref.name: member for member in self.reachable}
        self._by_address = {member.address: member for member in self.reachable}
        self._ranked: dict[int, tuple[Member, ...]] = {}

    def rank(self, flow: FlowKey) -> tuple[Member, ...]:
        """Return the best eligible hosts for a flow, its owner first; may be empty."""
        bucket = compute_bucket(flow)
        ranked = self._ranked.get(bucket)
        if ranked is not None:
            return ranked
        by_score = sorted(
            self.eligible,
            key=lambda member: score_member(bucket, member),
            reverse=True,
        )
        ranked = tuple(by_score[:MAX_RANKED])
        self._ranked[bucket] = ranked
        return ranked

    def find_owner(self, flow: FlowKey) -> Member | None:
        """Return the host that places new flows of this flow's bucket, or None."""
        ranked = self.rank(flow)
        return ranked[0] if ranked else None

    def list_candidates(self, flow: FlowKey, choices: int) -> list[Member]:
        """Return up to ``choices`` hosts to compare for a new flow, its owner first.

        The others are chosen by the flow key. If they were chosen by the bucket, each
        owner would share its flows with few hosts only.
        """
        owner = self.find_owner(flow)
        if owner is None:
            return []
        others = [member for member in self.eligible if member is not owner]
        if len(others) < choices:
            return [owner, *others]
        first = flow // BUCKETS % len(others)
        return [owner, *(others + others)[first : first + choices - 1]]

    def find_reachable_by_name(self, name: str) -> Member | None:
        """Return the member of a name unless it is down or evacuated, or None."""
        return self._by_name.get(name)

    def find_reachable_by_address(self, address: Address) -> Member | None:
        """Return the member at an address unless it is down or evacuated, or None."""
        return self._by_address.get(address)


__all__ = [
    "BUCKETS",
    "Routing",
    "RoutingVersion",
    "compute_bucket",
    "compute_flow_key",
    "score_member",
]
