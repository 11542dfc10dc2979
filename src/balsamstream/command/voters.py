"""Replaces the voters of a service whose majority is dead."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from ..core.view import ResetVoters
from .outcome import ExitCode, Fault, Output
from .view import edit_service_view

if TYPE_CHECKING:
    from ..platform import PlatformClient
    from .outcome import Outcome

# Longer than copies of one request live: RFC 7252 EXCHANGE_LIFETIME is 247 s.
QUARANTINE_S: Final = 300.0


async def reset_voters(
    client: PlatformClient, service: str, quarantine_s: float, are_dead: bool
) -> Outcome:
    """Replace the voters; the new ones grant nothing during the quarantine.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    service : str
        The service.
    quarantine_s : float
        Time without grants, in seconds.
    are_dead : bool
        The operator's word that a majority of the old voters runs no more.
    """
    if not are_dead:
        lines = (
            "while the old voters run, a request could run twice",
            "stop them first, then give --they-are-dead",
        )
        return Failure(Fault(ExitCode.USAGE, lines))
    result = await edit_service_view(
        client, service, lambda _view: Success(ResetVoters(quarantine_s))
    )
    value = {"service": service, "quarantine_s": quarantine_s}
    line = f"service {service} has new voters, which begin in {quarantine_s:g} s"
    return result.map(lambda _changed: Output(value, lines=(line,)))


__all__ = ["QUARANTINE_S", "reset_voters"]
