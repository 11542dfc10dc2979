"""Consistent hashing and random choice, for comparison."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import xxhash

from .caller import FABRIC_DETECTION_S, Site
from .deployment import WITHIN_DATA_CENTRE_S

if TYPE_CHECKING:
    from .backend import BackendServer
    from .caller import Caller, Request
    from .deployment import Deployment

HOST_DETECTION_S: Final = 1.0
"""Longest time until a balancer detects that a host started or stopped."""


class PlainSite(Site):
    """Balancers that send each datagram to a host chosen without its load.

    Parameters
    ----------
    by_random : bool
        Choose a random host for each new flow, kept in one table shared by all
        balancers, instead of consistent hashing.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        mean_s: float,
        balancers: int = 3,
        by_random: bool = False,
    ) -> None:
        super().__init__(deployment, seed, mean_s)
        self._by_random = by_random
        self._holders: dict[int, str] = {}
        self.views: dict[str, list[str]] = {}
        for number in range(balancers):
            self.add_balancer(f"balancer-{number}")

    def add_balancer(self, name: str) -> None:
        """Start a balancer whose view has all hosts."""
        self.views[name] = list(self.backends)
        self.entries.append(name)

    def remove_balancer(self, name: str) -> None:
        """Stop a balancer without notice; the fabric detects it later."""
        self.views.pop(name)
        self.queue.call_after(FABRIC_DETECTION_S, self.entries.remove, name)

    def change_hosts(self, add: str = "", remove: str = "") -> None:
        """Apply a change of the hosts at each balancer after a random delay."""
        for name in self.entries:
            delay_s = self.random.uniform(0.0, HOST_DETECTION_S)
            self.queue.call_after(delay_s, self.apply_host_change, name, add, remove)

    def apply_host_change(self, balancer: str, add: str, remove: str) -> None:
        """Apply a change of the hosts to the view of one balancer."""
        if balancer not in self.views:
            return
        known = [name for name in self.views[balancer] if name != remove]
        self.views[balancer] = [*known, add] if add else known

    def handle_caller_datagram(self, entry: str, request: Request) -> None:
        """Forward a caller's datagram to its host."""
        if not self.views.get(entry):
            return
        name = self._choose(entry, request.caller)
        delay_s = WITHIN_DATA_CENTRE_S
        if self.random.randrange(3):
            delay_s = self.deployment.between_s
        self.queue.call_after(delay_s, self._arrive, name, request, delay_s)

    def _choose(self, entry: str, caller: Caller) -> str:
        view = self.views[entry]
        if self._by_random:
            holder = self._holders.get(caller.flow)
            if holder not in view:
                holder = self._holders[caller.flow] = self.random.choice(view)
            return holder
        return max(view, key=lambda name: _score(caller.flow, name))

    def _arrive(self, name: str, request: Request, delay_s: float) -> None:
        backend: BackendServer | None = self.backends.get(name)
        if backend is None or not backend.is_up:
            return
        back_s = delay_s + self.deployment.caller_s

        def reply() -> None:
            self.queue.call_after(back_s, self.handle_answer, request)

        self.deliver_request(backend, request, reply)


def _score(flow: int, name: str) -> float:
    hashed = xxhash.xxh3_64_intdigest(f"{flow}|{name}".encode())
    return -1.0 / math.log((hashed + 0.5) / 2.0**64)


__all__ = ["PlainSite"]
