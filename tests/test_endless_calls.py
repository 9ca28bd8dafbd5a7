"""Daemons' own calls over sessions, to servers that send bytes without end.

Guards against an answer that is held whole, however long it gets: the daemon runs out
of memory, and the requests of all its clients end with it.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from kestreltally.deployment import SocketAddress
from kestreltally.endpoints.engines import HttpEngineClient, fetch_report
from kestreltally.endpoints.services import HttpServiceClient
from kestreltally.entities.ids import AdapterVersion, AttemptId
from kestreltally.objectapi.http import open_session
from kestreltally.objectapi.objects import HttpObjectApi
from kestreltally.objectapi.vms import HttpVmList
from kestreltally.orders import OrderOutcome
from kestreltally.platform.store import Store, StoreError, open_store_session
from kestreltally.ports import (
    AnswerLost,
    AttemptLost,
    EndpointError,
    EngineAttempt,
    PlatformError,
    ServiceCall,
)

# A server gives up sending after this time, seconds.
SEND_TIME = 3.0
MAX_TIME = 2.5
# What may be taken before the connection is closed: what the kernel holds of it too.
MAX_TAKEN_BYTES = 48 * 2**20
HEAD = b"HTTP/1.1 %s\r\nX-Not-Run: 1\r\nContent-Type: application/json\r\n"
UNBOUNDED = b"Content-Length: 999999999999\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ADAPTER = AdapterVersion("a", 1)
ATTEMPT = EngineAttempt(AttemptId("r/1"), ADAPTER, "/v1/completions", {}, 1, 0)
CALL = ServiceCall(AttemptId("r/1"), "POST", "/x", {}, b"")

ENDINGS = {
    "a body": (HEAD + UNBOUNDED, b"x" * 8_192),
    "a chunk's extension": (HEAD + CHUNKED + b"5;a=", b"x" * 8_192),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 256),
}
Ending = tuple[bytes, bytes]


class Endless:
    """What a server has sent of an answer without end."""

    url = ""
    address = SocketAddress("", 0)
    taken = 0


@asynccontextmanager
async def serve_endlessly(ending: Ending, status: bytes) -> AsyncIterator[Endless]:
    prefix, block = ending
    endless = Endless()

    async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(prefix % status if prefix else b"")
            until = asyncio.get_running_loop().time() + SEND_TIME
            while asyncio.get_running_loop().time() < until:
                writer.write(block)
                await writer.drain()
                endless.taken += len(block)
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(send, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    endless.url = f"http://{host}:{port}"
    endless.address = SocketAddress(host, port)
    yield endless
    server.close()


async def report(endless: Endless) -> None:
    async with open_session() as session:
        assert await fetch_report(session, "e", endless.url) is None


async def load(endless: Endless) -> None:
    async with open_session() as session:
        outcome = await HttpEngineClient(session).load(endless.url, ADAPTER, 1)
    assert outcome is OrderOutcome.UNKNOWN


async def start(endless: Endless) -> None:
    async with open_session() as session:
        with pytest.raises(EndpointError):
            await HttpEngineClient(session).start(endless.url, ATTEMPT)


async def call(endless: Endless) -> None:
    async with open_session() as session:
        with pytest.raises(AttemptLost):
            await HttpServiceClient(session).call(endless.url, CALL)


async def read_object(endless: Endless) -> None:
    async with open_session() as session:
        with pytest.raises(AnswerLost):
            await HttpObjectApi(session, endless.url, timeout=2.0).read("k")


async def list_vms(endless: Endless) -> None:
    async with open_session() as session:
        with pytest.raises(PlatformError):
            await HttpVmList(session, endless.url).fetch()


async def read_store(endless: Endless) -> None:
    store = Store(open_store_session(), endless.address)
    with pytest.raises(StoreError):
        await store.read("config", "main")
    await store.close()


CALLS: list[tuple[Callable[[Endless], Awaitable[None]], bytes]] = [
    (report, b"200 OK"),
    (load, b"200 OK"),
    (start, b"503 Full"),
    (call, b"503 Full"),
    (read_object, b"200 OK"),
    (list_vms, b"200 OK"),
    (read_store, b"200 OK"),
]


@pytest.mark.parametrize("ending", ENDINGS.values(), ids=ENDINGS)
@pytest.mark.parametrize(
    ("ask", "status"), CALLS, ids=[ask.__name__ for ask, _ in CALLS]
)
async def test_call_holds_little_of_an_answer_without_end(
    ask: Callable[[Endless], Awaitable[None]], status: bytes, ending: Ending
) -> None:
    async with serve_endlessly(ending, status) as endless:
        began = asyncio.get_running_loop().time()
        await ask(endless)
        took = asyncio.get_running_loop().time() - began
    assert took < MAX_TIME
    assert endless.taken < MAX_TAKEN_BYTES
