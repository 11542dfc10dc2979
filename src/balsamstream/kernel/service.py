"""What the kernel starts and closes."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Service(ABC):
    """A part of the daemon that others find by its name.

    A service owns its sockets and its state. Others call its methods or put messages
    into its mailbox, and never reach into its state.
    """

    @abstractmethod
    async def start(self) -> None:
        """Open what the service owns; services added before it run already."""

    @abstractmethod
    async def close(self) -> None:
        """Release what the service owns; also called after a failed start."""


__all__ = ["Service"]
