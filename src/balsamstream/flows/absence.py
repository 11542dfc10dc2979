"""Gates that a search does not await, and why, for the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .placement import Host

REASONS: Final = ("gone", "empty", "silent")
MAX_LOGGED: Final = 8


def describe_absences(hosts: Iterable[Host], now: float) -> dict[str, object]:
    """Return the log fields of the hosts at which no flows may be.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts in the scope of a search that have not denied the flow.
    now : float
        Time, in seconds.

    Returns
    -------
    dict of str to object
        Hosts by reason, and the address, the reason and the silence of the first.
    """
    amounts: Counter[str] = Counter()
    first: list[str] = []
    for host in hosts:
        reason = host.explain_absence(now)
        if not reason:
            continue
        amounts[reason] += 1
        if len(first) < MAX_LOGGED:
            first.append(f"{host.ip} {reason}{_describe_silence(host, now)}")
    return {reason: amounts[reason] for reason in REASONS} | {"first": first}


def _describe_silence(host: Host, now: float) -> str:
    if host.asked_at is None:
        return ""
    return f" {now - host.asked_at:.1f}s"


__all__ = ["MAX_LOGGED", "describe_absences"]
