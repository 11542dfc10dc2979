"""Sockets that are open before a node has imported the modules of its role."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balsamstream.http.server import HttpServer, Request, Response
from balsamstream.node.settings import HostSettings, Settings, split_address
from balsamstream.node.sockets import SocketPool
from standins.addresses import find_free_address

IP = "127.0.0.1"


def build_gate_settings() -> Settings:
    host = HostSettings(
        service="shop",
        address=find_free_address(),
        packets=find_free_address(),
        heartbeats=find_free_address(),
        heartbeat_ms=500,
    )
    port = split_address(find_free_address())[1]
    address = find_free_address()
    return Settings("g", "gate", IP, "a", port, address, address, address, 1, host=host)


def test_heartbeat_sent_before_the_server_runs_is_answered() -> None:
    """Guards against a host that is unknown until it repeats a refused heartbeat."""

    async def run() -> bytes:
        settings = build_gate_settings()
        assert settings.host is not None
        address = split_address(settings.host.heartbeats)
        pool = SocketPool()
        pool.open_for(settings)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"PUT /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        server = HttpServer(
            *address, answer, lambda *_: None, open_listener=pool.take_listener
        )
        await server.start()
        pool.close()
        status = await reader.readline()
        writer.close()
        await server.close()
        return status

    def answer(_request: Request) -> Response:
        return Response(200)

    assert asyncio.run(run()) == b"HTTP/1.1 200 OK\r\n"


def test_datagrams_wait_for_the_node() -> None:
    settings = build_gate_settings()
    assert settings.host is not None
    pool = SocketPool()
    pool.open_for(settings)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"message", (IP, settings.node_port))
        sender.sendto(b"packet", split_address(settings.host.packets))
    for address, expected in (
        ((IP, settings.node_port), b"message"),
        (split_address(settings.host.packets), b"packet"),
    ):
        with pool.take_datagram_socket(address) as sock:
            assert sock.recv(100) == expected
    pool.close()


def test_taken_address_is_an_error_and_leaks_no_socket() -> None:
    settings = build_gate_settings()
    pool = SocketPool()
    pool.open_for(settings)
    other = SocketPool()
    with pytest.raises(OSError):
        other.open_for(settings)
    other.close()
    pool.close()
