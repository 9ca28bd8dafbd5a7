"""Answers without length and chunks whose connection is reset while nobody reads them.

A reader that waits hears of the reset. One that is busy, with a client that takes its
bytes slowly or with a backup, sees only that nothing more comes, and must not take that
for the end of the answer.
"""

import asyncio
import socket

import pytest

from kestreltally.entry.holdings import Holdings
from kestreltally.entry.upstream import AnswerTruncated, ChannelPool
from kestreltally.fleet.notices import NoticeTable
from tests.entryrig import (
    MODELS,
    PLAIN,
    ScriptedEndpoint,
    make_route,
    run_entry,
)
from tests.test_answer_ends import (
    RESET,
    answer_whole,
    make_cut,
    make_stream_route,
    reset,
)
from tests.test_forwarding import run_pair

# More than the kernel takes for a client that doesn't read.
LONG_EVENT = b"id: 1\ndata: " + b"x" * 150_000 + b"\n\n"
REQUEST = (
    b"POST /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n"
    b"X-Model-Name: base/a1\r\nContent-Length: 0\r\n\r\n"
)


async def reset_at_once(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


@pytest.mark.parametrize("content", [b"", b"half"])
async def test_reset_does_not_complete_an_answer_that_nobody_reads(
    content: bytes,
) -> None:
    endpoint = make_cut(content, reset)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    channel = await ChannelPool(NoticeTable()).acquire(endpoint.make_endpoint())
    answer = await channel.send(b"GET / HTTP/1.1\r\n\r\n", b"", "q", is_own=True)
    if content:
        assert await answer.read_some() == content
    while answer.protocol.lost_at is None:
        await asyncio.sleep(0.01)
    with pytest.raises(AnswerTruncated):
        await answer.read_all(1_000)
    server.close()


@pytest.mark.parametrize("hop", [False, True])
async def test_plain_answer_that_is_reset_after_its_head_is_asked_for_again(
    hop: bool,
) -> None:
    endpoints = [
        make_cut(b"", reset_at_once, PLAIN),
        ScriptedEndpoint("e2", answer_whole, data_centre="south"),
    ]
    async with run_pair(endpoints, make_route()) as (sender, peer):
        reply = await (sender if hop else peer).ask()
    assert (reply.status, reply.body) == (200, b"whole")


async def test_stream_reset_beside_a_slow_client_is_not_called_complete() -> None:
    was_reset = asyncio.Event()

    async def reset_later(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        await reset(writer)
        was_reset.set()

    engine = make_cut(LONG_EVENT, reset_later, MODELS)
    loop = asyncio.get_running_loop()
    holdings = Holdings(2**26, loop.time)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**12)
    client.setblocking(False)
    async with run_entry([engine], make_stream_route(), holdings=holdings) as rig:
        await loop.sock_connect(client, ("127.0.0.1", rig.port))
        await loop.sock_sendall(client, REQUEST)
        await was_reset.wait()
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectionResetError):
            while await loop.sock_recv(client, 2**16):
                pass
    client.close()
