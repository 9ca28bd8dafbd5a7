"""What a client may send on one connection, however its bytes are cut.

Guards against bounds on what is held that break requests inside the limits: several on
a connection ahead of their answers, bodies in small pieces, the request after a refused
one; and against a client whose end isn't seen because nothing is read of it.
"""

import asyncio
import socket
from contextlib import suppress

import pytest
from aiohttp import web

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import ClientLimits
from kestreltally.ingress.capacity import IngressCapacity
from kestreltally.ingress.connections import Phase, Reason
from kestreltally.ingress.server import Ingress
from tests.entryrig import (
    EntryRig,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    read_reply,
    run_entry,
)
from tests.ports import reserve_port

HOST = "127.0.0.1"
SIZES = [1, 7, 1_000, 4_096, 100_000]


async def answer_at_once(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen, seen.body[-10:] or b"none"))


def make_head(request_id: str, *fields: str, path: str = "/r/x") -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: shop.example"]
    lines += [f"X-Request-Id: {request_id}", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def make_post(request_id: str, body: bytes, path: str = "/r/x") -> bytes:
    return make_head(request_id, f"Content-Length: {len(body)}", path=path) + body


def make_chunked_post(request_id: str, body: bytes, size: int) -> bytes:
    pieces = (body[at : at + size] for at in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return make_head(request_id, "Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"


async def exchange(rig: EntryRig, raw: bytes, size: int, replies: int) -> list[bytes]:
    """Send bytes in pieces of a size on one connection; return the answers' bodies."""
    reader, writer = await asyncio.open_connection(HOST, rig.port)

    async def send() -> None:
        for at in range(0, len(raw), size):
            writer.write(raw[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)

    try:
        async with asyncio.timeout(20.0):
            _, *read = await asyncio.gather(
                send(), _read_replies(reader, replies), return_exceptions=False
            )
    finally:
        writer.close()
    return read[0]


async def _read_replies(reader: asyncio.StreamReader, number: int) -> list[bytes]:
    bodies = []
    for _ in range(number):
        reply = await read_reply(reader)
        bodies.append(b"%d " % reply.status + reply.body)
    return bodies


@pytest.mark.parametrize("size", SIZES)
async def test_requests_sent_ahead_are_answered_in_order(size: int) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    bodies = [f"body-{number:04}".encode() for number in range(40)]
    raw = b"".join(make_post(f"q{n}", body) for n, body in enumerate(bodies))
    async with run_entry([engine], make_route()) as rig:
        answers = await exchange(rig, raw, size, len(bodies))
    assert answers == [b"200 " + body[-10:] for body in bodies]
    assert [each.id for each in engine.seen] == [b"q%d" % n for n in range(40)]


# Guards against requests that pile up in the parser, as each that is served makes room
# for a read that brings many.
async def test_what_is_sent_ahead_stays_in_the_kernel() -> None:
    async def answer_some(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if len(engine.seen) < 200:
            await answer_at_once(seen, writer)

    engine = ScriptedEndpoint("e1", answer_some)
    raw = b"".join(make_post(f"q{number}", b"") for number in range(20_000))
    async with run_entry([engine], make_route(timeout=20.0)) as rig:
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**14)
            connection.connect((HOST, rig.port))
            connection.setblocking(False)
            sent = 0
            for _ in range(3_000):
                with suppress(BlockingIOError):
                    sent += connection.send(raw[sent : sent + 2**16])
                await asyncio.sleep(0.001)
            assert len(engine.seen) == 200
    served = len(raw) // 20_000 * 200
    # Both kernel's buffers, what one read brings, and what the parser has of one.
    assert sent - served < 300_000


@pytest.mark.parametrize("size", SIZES[1:])
async def test_requests_behind_one_to_upgrade_are_answered(size: int) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    upgrade = ("Connection: Upgrade", "Upgrade: websocket", "Content-Length: 3")
    raw = make_head("q0", *upgrade) + b"one" + make_post("q1", b"x" * 30_000)
    raw += make_head("q2", *upgrade, path="/none/x") + b"two" + make_post("q3", b"end")
    async with run_entry([engine], make_route()) as rig:
        answers = await exchange(rig, raw, size, 4)
        assert rig.api.ingress.budget.held == 0
    assert answers[:2] == [b"200 one", b"200 xxxxxxxxxx"]
    assert answers[2].startswith(b"404")
    assert answers[3] == b"200 end"


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("chunk", [1, 100, 5_000])
async def test_bodies_in_chunks_arrive_whole(size: int, chunk: int) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    # Written byte by byte, a shorter one takes as many turns of the event loop.
    body = bytes(range(256)) * (4 if size == 1 else 40)
    raw = make_chunked_post("q1", body, chunk) + make_post("q2", b"second")
    async with run_entry([engine], make_route()) as rig:
        answers = await exchange(rig, raw, size, 2)
    assert answers == [b"200 " + body[-10:], b"200 second"]
    assert [each.body for each in engine.seen] == [body, b"second"]


@pytest.mark.parametrize("size", [1_000, 4_096, 100_000])
async def test_a_connection_serves_on_after_a_refused_body(size: int) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    body = b"x" * 30_000
    raw = make_post("q1", body, path="/none/x") + make_post("q2", b"second")
    raw += make_post("q3", b"x" * 70_000) + make_post("q4", b"fourth")
    async with run_entry([engine], make_route()) as rig:
        answers = await exchange(rig, raw, size, 4)
    assert [each.split()[0] for each in answers] == [b"404", b"200", b"413", b"200"]
    assert [each.id for each in engine.seen] == [b"q2", b"q4"]


@pytest.mark.parametrize("size", SIZES[1:])
@pytest.mark.parametrize("ends", [True, False])
async def test_a_head_over_the_limit_is_refused(size: int, ends: bool) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    fields = [f"X-{number}: {'a' * 1_000}" for number in range(40)]
    raw = make_head("q1", *fields)
    if not ends:
        raw = raw[:-2]
    async with run_entry([engine], make_route()) as rig:
        reader, writer = await asyncio.open_connection(HOST, rig.port)
        writer.write(raw[:size])
        writer.write(raw[size:])
        async with asyncio.timeout(5.0):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    assert head.split()[1] == b"431"
    assert not engine.seen


@pytest.mark.parametrize("size", SIZES[1:])
async def test_a_head_within_the_limit_is_served(size: int) -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    fields = [f"X-{number}: {'a' * 1_000}" for number in range(16)]
    raw = make_head("q1", *fields, "Content-Length: 50000") + b"x" * 50_000
    async with run_entry([engine], make_route()) as rig:
        answers = await exchange(rig, raw, size, 1)
    assert answers == [b"200 xxxxxxxxxx"]


# Guards against requests of the largest head that are refused once another daemon has
# passed them on, for what it adds.
@pytest.mark.parametrize(("for_callers", "status"), [(True, b"431"), (False, b"200")])
async def test_a_head_with_what_a_daemon_adds_is_taken_from_daemons(
    for_callers: bool, status: bytes
) -> None:
    limits = ClientLimits(1_000, 1_000, 3.0, 15.0)
    capacity = IngressCapacity(10, 10, 10, 10**6)
    ingress = Ingress(capacity, lambda: 0.0, lambda: limits)
    at = SocketAddress(HOST, reserve_port())

    async def serve(_: web.BaseRequest) -> web.Response:
        return web.Response()

    await ingress.listen("port", serve, at, 10, 8_192, for_callers=for_callers)
    try:
        reader, writer = await asyncio.open_connection(HOST, at.port)
        writer.write(make_head("q1", "X-Kestreltally-Context: " + "a" * 1_000))
        async with asyncio.timeout(5.0):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    finally:
        await ingress.close()
    assert head.split()[1] == status


# Guards against answers that pile up for a client that asks and takes none of them.
async def test_no_more_requests_are_taken_while_answers_stay_unread() -> None:
    async def answer_much(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"x" * 20_000))

    engine = ScriptedEndpoint("e1", answer_much)
    number = 1_000
    raw = b"".join(make_post(f"q{n}", b"x") for n in range(number))
    async with run_entry([engine], make_route()) as rig:
        reader, writer = await asyncio.open_connection(HOST, rig.port)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(raw)
        seen = -1
        while seen != len(engine.seen):
            seen = len(engine.seen)
            await asyncio.sleep(0.3)
        (connection,) = rig.api.ingress._runners[1].server.connections
        assert connection.transport.get_write_buffer_size() < 2**16
        assert seen < number
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(20.0):
            replies = await _read_replies(reader, number)
        writer.close()
    assert replies == [b"200 " + b"x" * 20_000] * number


# Guards against engines that work on for clients which left: while a connection isn't
# read, its end doesn't show.
async def test_the_end_of_a_client_that_sent_ahead_is_seen() -> None:
    cancelled = asyncio.Event()

    async def hang(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await writer.wait_closed()
        cancelled.set()

    engine = ScriptedEndpoint("e1", hang)
    async with run_entry([engine], make_route(timeout=20.0)) as rig:
        _, writer = await asyncio.open_connection(HOST, rig.port)
        writer.write(make_post("q1", b"first") + make_post("q2", b"second"))
        writer.write(make_post("q3", b"x" * 5_000))
        while not engine.seen:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert rig.api.active_requests == 1
        writer.close()
        for _ in range(50):
            rig.api.ingress.run_maintenance()
            if not rig.api.active_requests:
                break
            await asyncio.sleep(0.02)
        assert rig.api.active_requests == 0
    assert [each.id for each in engine.seen] == [b"q1"]


async def test_what_is_held_is_given_back() -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    raw = make_post("q1", b"x" * 60_000) + make_chunked_post("q2", b"x" * 60_000, 900)
    raw += make_post("q3", b"x" * 10, path="/none/x")
    async with run_entry([engine], make_route()) as rig:
        await exchange(rig, raw, 5_000, 3)
        # Connections that end in the middle of a head, and of a body.
        for part in (make_head("q4")[:-2], make_post("q5", b"x" * 1_000)[:-1]):
            _, writer = await asyncio.open_connection(HOST, rig.port)
            writer.write(part)
            await asyncio.sleep(0.05)
            assert rig.api.ingress.budget.held > 0
            writer.close()
            await asyncio.sleep(0.05)
        assert rig.api.ingress.budget.held == rig.api.ingress.budget.held_large == 0
        counts = rig.api.ingress.measure_connections()
        assert counts["clients"] == 0


# A request that gives way has not run, and its client is told.
async def test_a_body_that_gives_way_is_refused_with_a_promise() -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    async with run_entry([engine], make_route()) as rig:
        reader, writer = await asyncio.open_connection(HOST, rig.port)
        writer.write(make_post("q1", b"x" * 1_000)[:-1])
        await asyncio.sleep(0.05)
        limiter = rig.api.ingress._limiters["clients"]
        (connection,) = limiter.list_phase(Phase.BODY)
        connection.end(Reason.MEMORY)
        async with asyncio.timeout(5.0):
            reply = await read_reply(reader)
            assert await reader.read() == b""
        writer.close()
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert reply.headers["x-request-id"] == "q1"
    assert not engine.seen


async def test_silent_connections_make_room_for_clients() -> None:
    engine = ScriptedEndpoint("e1", answer_at_once)
    async with run_entry([engine], make_route()) as rig:
        limiter = rig.api.ingress._limiters["clients"]
        limiter.limit = 10
        writers = []
        for _ in range(10):
            _, writer = await asyncio.open_connection(HOST, rig.port)
            writers.append(writer)
        await asyncio.sleep(0.3)
        answers = await exchange(rig, make_post("q1", b"one"), 1_000, 1)
        assert answers == [b"200 one"]
        assert limiter.ended == 1
        for writer in writers:
            writer.close()


async def test_overdue_connections_are_closed() -> None:
    now = [0.0]
    limits = IngressCapacity(10, 10, 10, 10**6)
    ingress = Ingress(limits, lambda: now[0])
    at = SocketAddress(HOST, reserve_port())

    async def serve(_: object) -> None:
        raise AssertionError

    await ingress.listen("port", serve, at, 10)  # type: ignore[arg-type]
    try:
        reader, writer = await asyncio.open_connection(HOST, at.port)
        writer.write(b"GET / HTT")
        silent_reader, silent = await asyncio.open_connection(HOST, at.port)
        await asyncio.sleep(0.05)
        now[0] = 70.0
        ingress.run_maintenance()
        assert ingress.measure_connections()["port"] == 2
        now[0] = 80.0
        ingress.run_maintenance()
        async with asyncio.timeout(2.0):
            for each in (reader, silent_reader):
                with suppress(ConnectionError):
                    assert await each.read() == b""
        writer.close()
        silent.close()
        assert ingress.measure_connections()["port"] == 0
    finally:
        await ingress.close()
