"""Interface of the services that the kernel starts and closes."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Service(ABC):
    """Component of a process that other components look up by name.

    A service owns its sockets and its state. Other components call its methods or put
    messages into its mailbox, and do not access its state directly.
    """

    @abstractmethod
    async def start(self) -> None:
        """Acquire the service's resources; services added before it are running."""

    @abstractmethod
    async def close(self) -> None:
        """Release the service's resources; also called after a failed start."""


__all__ = ["Service"]
