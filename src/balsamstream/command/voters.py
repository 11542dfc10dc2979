"""Replaces the voters of a service after they have been lost for good."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Success

from ..core.view import ResetVoters
from .outcome import Output
from .view import edit_service_view

if TYPE_CHECKING:
    from ..objectapi import PlatformClient
    from .outcome import Outcome

QUARANTINE_S: Final = 247.0
"""Time before new voters accept non-repeatable requests, in seconds.

EXCHANGE_LIFETIME of RFC 7252: copies of older requests have expired by then.
"""


async def reset_voters(client: PlatformClient, service: str) -> Outcome:
    """Give a service new voters, which have no record of earlier requests.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    service : str
        Name of the service.
    """
    reset = ResetVoters(QUARANTINE_S)
    result = await edit_service_view(client, service, lambda _view: Success(reset))
    value = {"service": service, "quarantine_s": QUARANTINE_S}
    line = (
        f"service {service} has new voters; requests that are not repeatable are "
        f"taken again in {QUARANTINE_S:.0f} s"
    )
    return result.map(lambda _changed: Output(value, lines=(line,)))


__all__ = ["QUARANTINE_S", "reset_voters"]
