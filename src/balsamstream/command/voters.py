"""Replaces the voters of a service that can no longer be asked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Success

from ..config import Kind
from ..core.catalogue import Catalogue, list_spare_voters, read_view, write_view
from ..core.message import Changes, ConfigObject
from ..core.view import ResetVoters, edit_view
from .outcome import Output, build_platform_fault

if TYPE_CHECKING:
    from ..core.view import Voter
    from ..platform import PlatformClient, StoredObject
    from .outcome import Outcome

QUARANTINE_S: Final = 247.0
"""EXCHANGE_LIFETIME of RFC 7252: copies of older requests are gone by then."""


async def reset_voters(client: PlatformClient, service: str) -> Outcome:
    """Give a service new voters that know nothing of earlier requests.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    service : str
        Name of the service.
    """
    listed = await client.list(Kind.BALANCER)
    if not isinstance(listed, Success):
        return Failure(build_platform_fault(listed.failure(), "balancers"))
    spares = _read_spares(list(listed.unwrap().objects))

    def reset(stored: StoredObject | None) -> dict[str, Any] | None:
        if stored is None:
            return None
        view = read_view(service, stored.spec)
        return write_view(edit_view(view, ResetVoters(QUARANTINE_S), spares))

    result = await client.change(Kind.VIEW, service, reset)
    if not isinstance(result, Success):
        return Failure(build_platform_fault(result.failure(), f"view {service}"))
    value = {"service": service, "quarantine_s": QUARANTINE_S}
    line = (
        f"service {service} has new voters; requests that are not repeatable are "
        f"taken again in {QUARANTINE_S:.0f} s"
    )
    return Success(Output(value, lines=(line,)))


def _read_spares(balancers: list[StoredObject]) -> tuple[Voter, ...]:
    catalogue = Catalogue()
    objects = tuple(
        ConfigObject(Kind.BALANCER.value, found.name, found.version, dict(found.spec))
        for found in balancers
    )
    catalogue.accept(Changes(0, 0, False, False, objects))
    return list_spare_voters(catalogue.balancers)


__all__ = ["QUARANTINE_S", "reset_voters"]
