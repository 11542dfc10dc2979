"""Edits a service's view as the daemons do."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..config import Kind
from ..core.stored_view import read_view, write_view
from ..core.view import View, ViewEdit, edit_view
from .fleet import list_spare_voters
from .outcome import ExitCode, Fault, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..objectapi import PlatformClient, StoredObject


async def edit_service_view(
    client: PlatformClient,
    service: str,
    decide: Callable[[View], Result[ViewEdit | None, Fault]],
) -> Result[bool, Fault]:
    """Edit a view by a decision that is taken anew at each try.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    service : str
        The service.
    decide : callable
        Takes the view and gives the edit, None for none, or why there can't be one.

    Returns
    -------
    Result[bool, Fault]
        Whether the view was changed, or why it could not be.
    """
    balancers = await client.list(Kind.BALANCER)
    if not isinstance(balancers, Success):
        return Failure(build_platform_fault(balancers.failure(), "balancers"))
    spares = list_spare_voters(balancers.unwrap().objects)
    last: Result[bool, Fault] = Success(False)

    def build(stored: StoredObject | None) -> dict[str, Any] | None:
        nonlocal last
        view = _parse_view(service, stored)
        edit = view.bind(decide)
        last = edit.map(lambda found: found is not None)
        if not isinstance(edit, Success) or edit.unwrap() is None:
            return None
        return write_view(edit_view(view.unwrap(), edit.unwrap(), spares))

    result = await client.change(Kind.VIEW, service, build)
    if not isinstance(result, Success):
        return Failure(build_platform_fault(result.failure(), f"view {service}"))
    return last


def _parse_view(service: str, stored: StoredObject | None) -> Result[View, Fault]:
    if stored is None:
        fault = Fault(ExitCode.MISSING, (f"service {service} has no view",))
        return Failure(fault)
    try:
        return Success(read_view(service, stored.spec))
    except (KeyError, TypeError, ValueError) as error:
        line = f"view {service} can't be read: {error!r}"
        return Failure(Fault(ExitCode.INVALID, (line,)))


__all__ = ["edit_service_view"]
