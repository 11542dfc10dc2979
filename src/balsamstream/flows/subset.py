"""Choice of the few nodes that each node exchanges periodic messages with.

Load pattern: hundreds of fronts and gates. Messages between every front and every gate
grow with the product of their numbers and would fill the processors and links of all of
them. Each front keeps in contact with a bounded number of gates of each service
instead, most of them in its own data centre, and each gate with a few fronts. Nodes are
ranked by rendezvous hashing: the choice is stable, differs from node to node, and
changes only for the neighbours of a node that joins or leaves.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from .placement import Host

LOCAL_GATES: Final = 12
"""Gates of a service in its own data centre that a front keeps in contact with."""
REMOTE_GATES: Final = 6
"""Gates of a service in all other data centres together, at least one in each."""
LOCAL_FRONTS: Final = 3
REMOTE_FRONTS: Final = 4
"""Fronts of all other data centres together, at most one in each."""
FRONTS_OF_GATE: Final = 3
"""Fronts that a gate makes sure to hear from, in case no front has chosen it."""
MAX_WIDENING: Final = 8
"""Factor by which a front that finds only busy hosts raises its numbers of gates."""

_MASK: Final = 0xFFFF_FFFF_FFFF_FFFF


def compute_score(ip: str, other: str) -> int:
    """Return the rendezvous score of a pair of nodes; the highest ranks first.

    It is the same for both of them, so a front often chooses the gates that choose it.

    Source: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).

    Raises
    ------
    OSError
        If an address is not an IPv4 address.
    """
    first, second = sorted((socket.inet_aton(ip), socket.inet_aton(other)))
    mixed = int.from_bytes(first + second)
    mixed = (mixed + 0x9E37_79B9_7F4A_7C15) & _MASK
    mixed = ((mixed ^ mixed >> 30) * 0xBF58_476D_1CE4_E5B9) & _MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D0_49BB_1331_11EB) & _MASK
    return mixed ^ mixed >> 31


def is_address(ip: str) -> bool:
    """Return whether a text is an IPv4 address in its usual form."""
    try:
        return socket.inet_ntoa(socket.inet_aton(ip)) == ip
    except (OSError, UnicodeError, ValueError):
        return False


def count_gates(is_local: bool, data_centres: int, widening: int) -> int:
    """Return how many gates of one service in one data centre to keep in contact with.

    Parameters
    ----------
    is_local : bool
        Whether the data centre is the front's own.
    data_centres : int
        Number of data centres with gates of the service.
    widening : int
        Factor for a front that finds only busy hosts, 1 to `MAX_WIDENING`.
    """
    if is_local:
        return LOCAL_GATES * widening
    return max(1, REMOTE_GATES // max(1, data_centres - 1)) * widening


def choose_from_ranking(
    ranking: Sequence[Host], wanted: int, is_usable: Callable[[Host], bool]
) -> Iterator[Host]:
    """Take the first nodes of a ranking until enough of them are usable.

    Unusable ones are taken too, so that their return is noticed; at most twice the
    wanted number in all.

    Parameters
    ----------
    ranking : sequence of Host
        Hosts of one service in one data centre, the highest score first.
    wanted : int
        Number of usable hosts.
    is_usable : callable
        Whether a host can get new flows.

    Yields
    ------
    Host
        Hosts to keep in contact with.
    """
    usable = 0
    for host in ranking[: 2 * wanted]:
        if usable >= wanted:
            return
        yield host
        usable += is_usable(host)


def choose_fronts(
    own_ip: str,
    own_data_centre: str,
    fronts: Iterable[tuple[str, str]],
    is_alive: Callable[[str], bool],
    *,
    local: int,
    remote: int,
) -> list[str]:
    """Choose fronts, those of the node's own data centre first.

    A silent one is chosen besides the next that is alive, for it may have returned. Of
    other data centres one is taken each while that suffices.

    Parameters
    ----------
    own_ip, own_data_centre : str
        Address and data centre of the choosing node.
    fronts : iterable of tuple of str and str
        Address and data centre of each known front.
    is_alive : callable
        Whether a front has been heard recently.
    local, remote : int
        Numbers of alive fronts to choose in its own and in all other data centres. What
        its own cannot supply is taken from the others.

    Returns
    -------
    list of str
        Addresses of the chosen fronts.
    """
    rankings: dict[str, list[str]] = {}
    for ip, data_centre in fronts:
        rankings.setdefault(data_centre, []).append(ip)
    for ranking in rankings.values():
        ranking.sort(key=lambda ip: compute_score(own_ip, ip), reverse=True)
    own = rankings.pop(own_data_centre, [])
    chosen = _take(own, local, is_alive)
    missing = local - sum(map(is_alive, chosen))
    by_position = [
        (position, -compute_score(own_ip, ip), ip)
        for ranking in rankings.values()
        for position, ip in enumerate(ranking)
    ]
    others = [ip for _, _, ip in sorted(by_position)]
    return chosen + _take(others, remote + missing, is_alive)


def _take(
    ranking: list[str], wanted: int, is_alive: Callable[[str], bool]
) -> list[str]:
    chosen = []
    alive = 0
    for ip in ranking[: 2 * wanted]:
        if alive >= wanted:
            break
        chosen.append(ip)
        alive += is_alive(ip)
    return chosen


__all__ = [
    "FRONTS_OF_GATE",
    "LOCAL_FRONTS",
    "MAX_WIDENING",
    "REMOTE_FRONTS",
    "choose_fronts",
    "choose_from_ranking",
    "compute_score",
    "count_gates",
    "is_address",
]
