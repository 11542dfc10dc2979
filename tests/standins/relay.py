"""A minimal balancer that relays everything to one backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.addresses import LOOPBACK, Address
from standins.proxy_header import decode_header, encode_header
from standins.serving import drain_socket, open_datagram_socket

if TYPE_CHECKING:
    import socket


class Relay:
    """Relays each flow over a separate socket, as an agent does.

    Parameters
    ----------
    backend_server : Address
        Address that requests are relayed to.
    """

    def __init__(self, backend_server: Address) -> None:
        self.received = 0
        self._backend_server = backend_server
        self._flows: dict[tuple[Address, Address], socket.socket] = {}
        self._edge = open_datagram_socket((LOOPBACK, 0))

    @property
    def address(self) -> Address:
        """Edge address that the fabric sends to."""
        address: Address = self._edge.getsockname()
        return address

    def start(self) -> None:
        """Start relaying."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._edge, drain_socket, self._edge, self._relay_request)

    def close(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        for opened in [self._edge, *self._flows.values()]:
            loop.remove_reader(opened)
            opened.close()

    def _relay_request(self, datagram: bytes, fabric: Address) -> None:
        self.received += 1
        caller, service, payload = decode_header(datagram)
        flow = self._flows.get((caller, service))
        if flow is None:
            flow = self._open_flow(caller, service, fabric)
        flow.sendto(payload, self._backend_server)

    def _open_flow(
        self, caller: Address, service: Address, fabric: Address
    ) -> socket.socket:
        flow = open_datagram_socket((LOOPBACK, 0))
        self._flows[caller, service] = flow
        header = encode_header(service, caller)

        def relay_answer(datagram: bytes, _source: Address) -> None:
            self._edge.sendto(header + datagram, fabric)

        loop = asyncio.get_running_loop()
        loop.add_reader(flow, drain_socket, flow, relay_answer)
        return flow
