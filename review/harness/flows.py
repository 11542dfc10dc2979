"""Check of the rule FLOW, part (a), by what callers and hosts have seen."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .site import CallerFlow, Host, Site

CONTACT_S = 4.0
FLOW_LIFETIME_S = 60.0
IDLE_TIMEOUT_S = 15.0


@dataclass(slots=True)
class UsedFlow:
    """A flow that is open, with its host and the times that the rule speaks of.

    Attributes
    ----------
    flow : CallerFlow
        The flow.
    host : Host
        The host that holds it.
    opened_at, used_at : float
        When it was opened and last used, in seconds of the steady clock.
    """

    flow: CallerFlow
    host: Host
    opened_at: float
    used_at: float


async def open_flows(site: Site, amount: int, prefix: str) -> list[UsedFlow]:
    """Open flows and send one request on each; return those that are open."""
    used = []
    for number in range(amount):
        flow = await site.callers.open()
        if not flow.is_open:
            continue
        opened_at = time.monotonic()
        await site.callers.request(flow, f"{prefix}-{number}")
        host = find_host(site, flow)
        if host is not None and flow.is_usable:
            used.append(UsedFlow(flow, host, opened_at, time.monotonic()))
    return used


def find_host(site: Site, flow: CallerFlow) -> Host | None:
    """Return the host that holds a flow open, None if there is none."""
    key = site.callers.get_key(flow)
    for vm in site.gates:
        held = None if vm.host is None else vm.host.flows.get(key)
        if held is not None and held.is_open and not held.is_ended:
            return vm.host
    return None


def find_broken(site: Site, used: list[UsedFlow], calm_since: float) -> list[str]:
    """List the resets that break the rule.

    Parameters
    ----------
    site : Site
        The deployment.
    used : list of UsedFlow
        Flows that were open.
    calm_since : float
        End of the last disturbance of the store or of any machine, in seconds of the
        steady clock.

    Returns
    -------
    list of str
        One line for each reset of a flow whose host lives and holds it, while every
        machine was in touch.
    """
    broken = []
    for each in used:
        reset_at = each.flow.reset_at
        if not reset_at or reset_at - calm_since < CONTACT_S:
            continue
        is_old = reset_at - each.opened_at > FLOW_LIFETIME_S
        if is_old or reset_at - each.used_at > IDLE_TIMEOUT_S:
            continue
        if find_host(site, each.flow) is each.host:
            broken.append(
                f"FLOW: port {each.flow.port} was reset {reset_at - calm_since:.1f} s "
                f"after the last disturbance, though host {each.host.id} lives and "
                f"holds the flow"
            )
    return broken
