"""Changes of balancers and hosts, for both kinds of site."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .balanced import BalancedSite
from .plain import PlainSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from .caller import Site

STEP_S: Final = 2.0


def stop_balancer(site: Site, name: str = "balancer-0") -> None:
    """Kill a balancer."""
    match site:
        case BalancedSite():
            site.stop_balancer(name)
        case PlainSite():
            site.remove_balancer(name)


def add_balancer(site: Site, name: str = "balancer-9", number: int = 0) -> None:
    """Start a balancer."""
    match site:
        case BalancedSite():
            site.add_balancer(name, number)
        case PlainSite():
            site.add_balancer(name)


def replace_balancers(site: Site) -> None:
    """Replace all balancers in turn."""
    for number, name in enumerate(list(site.entries)):
        at = number * STEP_S
        site.queue.call_after(at, add_balancer, site, f"{name}-new", number)
        site.queue.call_after(at + STEP_S / 2, stop_balancer, site, name)


def drain_host(site: Site) -> None:
    """Start draining a host."""
    name = next(iter(site.backends))
    match site:
        case BalancedSite():
            site.drain_host(name)
        case PlainSite():
            site.change_hosts(remove=name)


def restart_host(site: Site, position: int = 1) -> None:
    """Replace a backend server and its agent without notice."""
    name = list(site.backends)[position]
    match site:
        case BalancedSite():
            site.restart_host(name)
        case _:
            site.backends[name].restart()


def kill_host(site: Site, position: int = 2) -> None:
    """Kill a host, which does not come back."""
    name = list(site.backends)[position]
    site.backends[name].restart()
    site.backends[name].down_until = float("inf")
    match site:
        case BalancedSite():
            site.stop_agent(name)
        case PlainSite():
            site.change_hosts(remove=name)


def add_host(site: Site) -> None:
    """Start a new host."""
    name = f"{site.deployment.service}-new"
    backend = site.add_backend(name, len(site.backends), False)
    match site:
        case BalancedSite():
            site.add_agent(backend)
        case PlainSite():
            site.change_hosts(add=name)


def add_host_unseen(site: Site) -> None:
    """Start a new host that one balancer receives no changes about."""
    match site:
        case BalancedSite():
            site.without_changes.add(site.balancers["balancer-0"].config.address)
            add_host(site)
        case PlainSite():
            known = list(site.views["balancer-0"])
            add_host(site)
            site.queue.call_after(1.0, site.views.update, {"balancer-0": known})


def change_all(site: Site) -> None:
    """Apply several changes at the same time."""
    add_balancer(site)
    stop_balancer(site)
    drain_host(site)
    restart_host(site)
    add_host(site)


CHANGES: Final[dict[str, Callable[[Site], None]]] = {
    "balancer dies": stop_balancer,
    "balancer joins": add_balancer,
    "all balancers replaced in turn": replace_balancers,
    "host drains": drain_host,
    "host restarts": restart_host,
    "host dies": kill_host,
    "host joins": add_host,
    "views in disagreement": add_host_unseen,
    "several at once": change_all,
}

__all__ = ["CHANGES", "add_host", "drain_host", "restart_host"]
