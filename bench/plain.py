"""The ways that the decisions are compared with."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import xxhash

from .caller import FABRIC_NOTICE_S, Site
from .deployment import WITHIN_DATA_CENTRE_S

if TYPE_CHECKING:
    from .backend import BackendServer
    from .caller import Caller, Request
    from .deployment import Deployment

NOTICE_S: Final = 1.0
"""Time in which a balancer learns that a host came or went."""


class PlainSite(Site):
    """Balancers that send each datagram to a host chosen without its load.

    Parameters
    ----------
    by_random : bool
        A random host for each new flow, kept in one table over all balancers, in
        place of consistent hashing.
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
        self._pins: dict[int, str] = {}
        self.views: dict[str, list[str]] = {}
        for number in range(balancers):
            self.add_balancer(f"balancer-{number}")

    def add_balancer(self, name: str) -> None:
        """Start a balancer that knows all hosts."""
        self.views[name] = list(self.backends)
        self.entries.append(name)

    def remove_balancer(self, name: str) -> None:
        """Stop a balancer at once; the fabric notices later."""
        self.views.pop(name)
        self.queue.call_after(FABRIC_NOTICE_S, self.entries.remove, name)

    def change_hosts(self, add: str = "", remove: str = "") -> None:
        """Have each balancer learn of a change after a time of its own."""
        for name in self.entries:
            delay_s = self.random.uniform(0.0, NOTICE_S)
            self.queue.call_after(delay_s, self.learn, name, add, remove)

    def learn(self, balancer: str, add: str, remove: str) -> None:
        """Change the hosts that one balancer knows."""
        if balancer not in self.views:
            return
        known = [name for name in self.views[balancer] if name != remove]
        self.views[balancer] = [*known, add] if add else known

    def enter(self, entry: str, request: Request) -> None:
        """Send a datagram to its host."""
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
            pinned = self._pins.get(caller.flow)
            if pinned not in view:
                pinned = self._pins[caller.flow] = self.random.choice(view)
            return pinned
        return max(view, key=lambda name: _score(caller.flow, name))

    def _arrive(self, name: str, request: Request, delay_s: float) -> None:
        backend: BackendServer | None = self.backends.get(name)
        if backend is None or not backend.is_up:
            return
        back_s = delay_s + self.deployment.caller_s

        def reply() -> None:
            self.queue.call_after(back_s, self.finish, request)

        self.give(backend, request, reply)


def _score(flow: int, name: str) -> float:
    hashed = xxhash.xxh3_64_intdigest(f"{flow}|{name}".encode())
    return -1.0 / math.log((hashed + 0.5) / 2.0**64)


__all__ = ["PlainSite"]
