"""The network fabric, which sends each datagram to a random balancer.

``python -m standins.fabric --service 127.0.0.1:5683 --balancer 127.0.0.1:6201``
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Annotated, Any, Final

from aiohttp import web
from cyclopts import App, Parameter

from .addresses import LOOPBACK, Address, format_address, parse_address
from .proxy_header import HeaderError, decode_header, encode_header
from .serving import (
    drain_socket,
    open_datagram_socket,
    print_ready,
    send_datagram,
    start_http,
    wait_for_stop,
)

if TYPE_CHECKING:
    import socket

REORDER_DELAY_S: Final = 0.01

app = App(name="fabric", help=__doc__)


@dataclass(slots=True)
class Shares:
    """Shares of datagrams, 0 to 1, that are duplicated, lost or reordered."""

    duplicate: float = 0.0
    lose: float = 0.0
    reorder: float = 0.0


@dataclass(slots=True)
class Cut:
    """Directions, to and from a balancer, in which datagrams are dropped."""

    to: bool = False
    back: bool = False


@dataclass(slots=True)
class Counts:
    """Counters of datagrams."""

    to_balancers: int = 0
    to_callers: int = 0
    without_balancer: int = 0
    malformed: int = 0
    cut: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0


class Fabric:
    """Relays datagrams between callers and balancers.

    Parameters
    ----------
    services : list of Address
        Virtual addresses of the services; port 0 selects a free port.
    balancers : list of Address
        Edge addresses of the initial balancers.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self, services: list[Address], balancers: list[Address], seed: int = 0
    ) -> None:
        self.shares = Shares()
        self.counts = Counts()
        self._random = random.Random(seed)
        self._requested_services = services
        self._balancers = list(balancers)
        self._cuts: dict[Address, Cut] = {}
        self._services: dict[Address, socket.socket] = {}
        self._balancer_socket: socket.socket | None = None

    @property
    def service_addresses(self) -> list[Address]:
        """Virtual addresses; empty before the start."""
        return list(self._services)

    async def start(self) -> None:
        """Bind all sockets."""
        loop = asyncio.get_running_loop()
        self._balancer_socket = open_datagram_socket((LOOPBACK, 0))
        loop.add_reader(
            self._balancer_socket,
            drain_socket,
            self._balancer_socket,
            self._handle_response,
        )
        for wanted in self._requested_services:
            opened = open_datagram_socket(wanted)
            address: Address = opened.getsockname()
            self._services[address] = opened
            loop.add_reader(opened, self._drain_service, opened, address)

    def close(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        opened = [*self._services.values()]
        if self._balancer_socket is not None:
            opened.append(self._balancer_socket)
        for each in opened:
            loop.remove_reader(each)
            each.close()
        self._services.clear()
        self._balancer_socket = None

    def add_balancer(self, balancer: Address) -> None:
        """Add a balancer to those that receive datagrams."""
        if balancer not in self._balancers:
            self._balancers.append(balancer)

    def remove_balancer(self, balancer: Address) -> None:
        """Remove a balancer from those that receive datagrams."""
        if balancer in self._balancers:
            self._balancers.remove(balancer)

    def cut_balancer(self, balancer: Address, cut: Cut) -> None:
        """Set the directions in which a balancer's datagrams are dropped."""
        self._cuts[balancer] = cut

    def _drain_service(self, opened: socket.socket, service: Address) -> None:
        def handle(datagram: bytes, caller: Address) -> None:
            self._handle_request(datagram, caller, service)

        drain_socket(opened, handle)

    def _handle_request(
        self, datagram: bytes, caller: Address, service: Address
    ) -> None:
        if not self._balancers:
            self.counts.without_balancer += 1
            return
        whole = encode_header(caller, service) + datagram
        for _ in range(self._draw_copies()):
            balancer = self._random.choice(self._balancers)
            if self._cuts.get(balancer, Cut()).to:
                self.counts.cut += 1
                continue
            self.counts.to_balancers += 1
            self._send(self._balancer_socket, whole, balancer)

    def _handle_response(self, datagram: bytes, balancer: Address) -> None:
        if self._cuts.get(balancer, Cut()).back:
            self.counts.cut += 1
            return
        try:
            service, caller, payload = decode_header(datagram)
        except HeaderError:
            self.counts.malformed += 1
            return
        sender = self._services.get(service)
        if sender is None:
            self.counts.malformed += 1
            return
        for _ in range(self._draw_copies()):
            self.counts.to_callers += 1
            self._send(sender, payload, caller)

    def _draw_copies(self) -> int:
        if self.shares.lose and self._random.random() < self.shares.lose:
            self.counts.lost += 1
            return 0
        if self.shares.duplicate and self._random.random() < self.shares.duplicate:
            self.counts.duplicated += 1
            return 2
        return 1

    def _send(
        self, sender: socket.socket | None, datagram: bytes, target: Address
    ) -> None:
        if sender is None:
            return
        if self.shares.reorder and self._random.random() < self.shares.reorder:
            self.counts.reordered += 1
            loop = asyncio.get_running_loop()
            loop.call_later(REORDER_DELAY_S, send_datagram, sender, datagram, target)
            return
        send_datagram(sender, datagram, target)


class Control:
    """HTTP application that controls the fabric."""

    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def build(self) -> web.Application:
        """Build the application with all routes."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/balancers", self._change_balancers),
                web.post("/cuts", self._change_cuts),
                web.post("/duplicate", self._change_share),
                web.post("/lose", self._change_share),
                web.post("/reorder", self._change_share),
                web.get("/counts", self._get_counts),
            ]
        )
        return application

    async def _change_balancers(self, request: web.Request) -> web.Response:
        body: dict[str, list[str]] = await request.json()
        for text in body.get("remove", []):
            self._fabric.remove_balancer(parse_address(text))
        for text in body.get("add", []):
            self._fabric.add_balancer(parse_address(text))
        return web.json_response({})

    async def _change_cuts(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        cut = Cut(to=bool(body.get("to")), back=bool(body.get("from")))
        self._fabric.cut_balancer(parse_address(body["balancer"]), cut)
        return web.json_response({})

    async def _change_share(self, request: web.Request) -> web.Response:
        body: dict[str, float] = await request.json()
        setattr(self._fabric.shares, request.path.strip("/"), float(body["share"]))
        return web.json_response({})

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(asdict(self._fabric.counts))


@app.default
def main(
    *,
    service: Annotated[list[str], Parameter(negative="")],
    balancer: Annotated[list[str] | None, Parameter(negative="")] = None,
    control: str = f"{LOOPBACK}:0",
    seed: int = 0,
) -> None:
    """Run the fabric until SIGTERM.

    Parameters
    ----------
    service : list of str
        Virtual address of a service; may be repeated.
    balancer : list of str
        Edge address of a balancer; may be repeated.
    control : str
        Address of the HTTP control.
    seed : int
        Seed of the random choices.
    """
    balancers = [parse_address(text) for text in balancer or []]
    services = [parse_address(text) for text in service]
    asyncio.run(_run(Fabric(services, balancers, seed), parse_address(control)))


async def _run(fabric: Fabric, control: Address) -> None:
    await fabric.start()
    runner, control_address = await start_http(Control(fabric).build(), control)
    print_ready(control_address, *map(format_address, fabric.service_addresses))
    await wait_for_stop()
    await runner.cleanup()
    fabric.close()


if __name__ == "__main__":
    app()

__all__ = ["Control", "Counts", "Cut", "Fabric", "Shares"]
