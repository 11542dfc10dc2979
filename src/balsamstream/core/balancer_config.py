"""Configuration of a balancer's decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identity import Address, ProcessRef


@dataclass(frozen=True, slots=True)
class BalancerConfig:
    """Settings that a balancer's decisions depend on.

    Parameters
    ----------
    ref : ProcessRef
        Name of the balancer and the incarnation of this process.
    address : Address
        Address on which the balancer receives messages from other processes.
    data_centre : str
        Name of the balancer's data centre.
    max_hints : int
        Upper bound of the table of flows that their bucket's owner does not hold.
    peers : tuple of Address
        Processes polled for configuration while the platform is down.
    """

    ref: ProcessRef
    address: Address
    data_centre: str
    max_hints: int = 100_000
    peers: tuple[Address, ...] = ()


__all__ = ["BalancerConfig"]
