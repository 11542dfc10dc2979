"""The daemon with simulated link failures: ``python -m standins.cut_daemon FILE ...``.

Links on the loopback interface cannot be cut, so the process drops the datagrams of the
links listed in the file, as lines ``to IP:PORT`` and ``from IP:PORT``. Apart from that
it is the shipped daemon, which receives all further arguments.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from balsamstream.core.identity import Address, parse_address
from balsamstream.daemon.run import run
from balsamstream.daemon.transport import Transport

if TYPE_CHECKING:
    from balsamstream.core.message import Message

READ_INTERVAL_S: Final = 0.05

_Direction = tuple[str, Address]


class Cuts:
    """Links that are currently cut, reread from the file every `READ_INTERVAL_S`.

    Parameters
    ----------
    path : Path
        The file; no link is cut while it does not exist.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._cut: frozenset[_Direction] = frozenset()
        self._next_read = 0.0

    def is_cut(self, direction: str, address: Address) -> bool:
        """Return whether a link is cut in a direction, ``to`` or ``from``."""
        now = time.monotonic()
        if now >= self._next_read:
            self._next_read = now + READ_INTERVAL_S
            self._cut = self._read()
        return (direction, address) in self._cut

    def _read(self) -> frozenset[_Direction]:
        try:
            lines = self._path.read_text().splitlines()
        except OSError:
            return frozenset()
        words = [line.split() for line in lines if line.strip()]
        return frozenset(
            (direction, parse_address(address)) for direction, address in words
        )


class CutTransport(Transport):
    """Transport that drops messages sent or received over a cut link."""

    cuts: Cuts

    def send(self, to: Address, message: Message) -> None:
        """Send a message, unless the link to its receiver is cut."""
        if not self.cuts.is_cut("to", to):
            super().send(to, message)

    def _handle_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        if not self.cuts.is_cut("from", Address(*source)):
            super()._handle_datagram(datagram, source)


def main() -> None:
    """Run the daemon with the cuts of the file given as first argument."""
    from balsamstream.daemon import daemon

    CutTransport.cuts = Cuts(Path(sys.argv[1]))
    daemon.Transport = CutTransport  # type: ignore[misc]
    run(sys.argv[2:])


if __name__ == "__main__":
    main()

__all__ = ["CutTransport", "Cuts", "main"]
