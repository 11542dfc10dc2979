"""What the decisions of a balancer need to know of its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identity import Address, ProcessRef


@dataclass(frozen=True, slots=True)
class BalancerConfig:
    """What a balancer's settings say.

    Parameters
    ----------
    ref : ProcessRef
        Name of the balancer and this run's incarnation.
    address : Address
        Where messages of the system's processes arrive.
    data_centre : str
        Name of the data centre.
    max_hints : int
        Bound of the table of flows that are not on their bucket's owner.
    peers : tuple of Address
        Processes that are asked for configuration while the platform is down.
    """

    ref: ProcessRef
    address: Address
    data_centre: str
    max_hints: int = 100_000
    peers: tuple[Address, ...] = ()


__all__ = ["BalancerConfig"]
