"""Ports that are reserved for servers before they listen."""

import asyncio
import socket

import pytest

from tests.ports import BLOCK_PORTS, claim_ports, reserve_port


def test_a_reserved_port_is_not_assigned_again() -> None:
    port = reserve_port()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))


def test_a_server_can_listen_repeatedly_on_a_reserved_port() -> None:
    async def listen(port: int) -> None:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        server.close()
        await server.wait_closed()

    port = reserve_port()
    asyncio.run(listen(port))
    asyncio.run(listen(port))


def test_no_two_runs_claim_the_same_ports() -> None:
    first, second = claim_ports(), claim_ports()
    assert abs(first - second) > BLOCK_PORTS
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", first - 1))
