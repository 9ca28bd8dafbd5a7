"""What a daemon holds for slow readers stays in a limit, and cuts no one who reads.

Guards against a daemon that runs out of memory under answers which their clients take
slowly or not at all, and against cutting off clients for others' sake.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.buffers import (
    END_FRACTION,
    UNREAD_TIMEOUT,
    Held,
    decide_relief,
)
from kestreltally.entry.holdings import Counts, Holdings
from kestreltally.fleet.model import RequestKind
from tests.entryrig import (
    EntryRig,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)

SIZES = st.lists(st.integers(0, 10_000), max_size=40)


@given(SIZES, st.data())
def test_only_the_stalled_are_ended_and_only_short_of_room(
    sizes: list[int], data: st.DataObject
) -> None:
    stalls = st.floats(0, 2 * UNREAD_TIMEOUT)
    held = [Held(key, size, size, data.draw(stalls)) for key, size in enumerate(sizes)]
    relief = decide_relief(held, 100_000)
    total = sum(sizes)
    ended = [held[key] for key in relief.ended]
    assert all(each.stalled_for >= UNREAD_TIMEOUT for each in ended)
    assert ended == sorted(ended, key=lambda each: -each.stalled_for)
    if total <= END_FRACTION * 100_000:
        assert not ended
    left = total - sum(each.size for each in ended)
    spared = [
        each
        for each in held
        if each.size and each.stalled_for >= UNREAD_TIMEOUT and each not in ended
    ]
    assert not spared or left <= END_FRACTION * 100_000


def test_those_that_hold_most_are_paused_and_the_next_finds_room() -> None:
    held = [Held(key, size, size) for key, size in enumerate((380, 5, 2, 0))]
    relief = decide_relief(held, 1_000)
    assert relief.paused == {0, 1}
    assert relief.share == 3


BODY = bytes(range(256)) * 2_048
# The smallest machines allow about this.
LIMIT = 24_000_000


async def answer_long(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen, BODY))
    await writer.drain()


async def connect(port: int, request: bytes) -> socket.socket:
    """Send a request from a socket that receives little by itself."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", port))
    await loop.sock_sendall(client, request)
    return client


def encode_get(request_id: int) -> bytes:
    return (
        "GET /r/x HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: q{request_id}\r\n\r\n"
    ).encode()


async def read_slowly(client: socket.socket, pause: float) -> int:
    """Return how many bytes of the answer's body arrived before its end."""
    loop = asyncio.get_running_loop()
    content = bytearray()
    while not content.endswith(b"\r\n0\r\n\r\n"):
        piece = await loop.sock_recv(client, 65_536)
        if not piece:
            break
        content += piece
        await asyncio.sleep(pause)
    client.close()
    return len(content)


@asynccontextmanager
async def run_bounded(
    endpoint: ScriptedEndpoint, limit: int
) -> AsyncIterator[tuple[EntryRig, Holdings, list[int]]]:
    """Run an entry with a limit; yields also what was held at each review."""
    route = make_route(timeout=60.0, kind=RequestKind.SAFE)
    holdings = Holdings(limit, asyncio.get_running_loop().time)
    seen: list[int] = []

    async def review() -> None:
        while True:
            await asyncio.sleep(0.1)
            holdings.review()
            seen.append(holdings.totals.all)

    async with run_entry([endpoint], route, holdings=holdings) as rig:
        task = asyncio.create_task(review())
        try:
            yield rig, holdings, seen
        finally:
            task.cancel()


async def test_hundreds_of_slow_readers_get_whole_answers_within_the_limit() -> None:
    endpoint = ScriptedEndpoint("e", answer_long)
    async with run_bounded(endpoint, LIMIT) as (rig, holdings, seen):
        clients = [await connect(rig.port, encode_get(n)) for n in range(300)]
        slow = [each for n, each in enumerate(clients) if n % 5]
        sizes = await asyncio.gather(*(read_slowly(each, 0.02) for each in slow))
        assert min(sizes) > len(BODY)
        assert LIMIT / 4 < max(seen) < LIMIT
        assert holdings.counts == Counts()
        for each in clients:
            each.close()


async def test_those_who_never_read_are_ended_and_no_one_else() -> None:
    limit = 2_000_000
    endpoint = ScriptedEndpoint("e", answer_long)
    async with run_bounded(endpoint, limit) as (rig, holdings, seen):
        first = [await connect(rig.port, encode_get(n)) for n in range(4)]
        reading = [asyncio.create_task(read_slowly(each, 0.3)) for each in first]
        await asyncio.sleep(0.5)
        unread = [await connect(rig.port, encode_get(n)) for n in range(4, 304)]
        await asyncio.sleep(UNREAD_TIMEOUT + 1.0)
        assert holdings.counts.unread_answers > 0
        assert seen[-1] <= END_FRACTION * limit
        assert max(seen) <= limit
        reply = await rig.ask(request_id="late")
        assert reply.whole and reply.body == BODY
        assert min(await asyncio.gather(*reading)) > len(BODY)
        for each in unread:
            each.close()


async def test_a_body_that_does_not_fit_is_refused_before_it_runs() -> None:
    endpoint = ScriptedEndpoint("e", answer_long)
    head = b"POST /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n"
    head += b"Content-Length: 60000\r\n\r\n"
    async with run_bounded(endpoint, 100_000) as (rig, holdings, _):
        first = await connect(rig.port, head + b"x")
        await asyncio.sleep(0.2)
        refusal = await rig.ask("POST", body=b"y" * 60_000, request_id="second")
        assert refusal.status == 503
        assert float(refusal.headers["retry-after"]) > 0
        assert not endpoint.seen
        first.close()
        await asyncio.sleep(0.3)
        assert holdings.totals.all == 0
        assert (await rig.ask("POST", body=b"y" * 60_000)).status == 200


@dataclass(eq=False)
class UnreadRequest:
    """A channel whose endpoint doesn't read the request."""

    unsent: int
    aborted: bool = False

    def abort(self) -> None:
        self.aborted = True
        self.unsent = 0


def test_a_request_that_its_endpoint_does_not_read_is_ended_short_of_room() -> None:
    now = 0.0
    holdings = Holdings(1_000, lambda: now)
    small, large = UnreadRequest(100), UnreadRequest(800)
    for each in (small, large):
        holdings.start_sending(each)
    holdings.review()
    now = UNREAD_TIMEOUT - 0.1
    small.unsent -= 1
    holdings.review()
    assert not large.aborted
    now = UNREAD_TIMEOUT + 0.1
    holdings.review()
    assert large.aborted and not small.aborted
    assert holdings.counts.unread_requests == 1


async def test_an_answer_that_is_still_being_sent_counts_as_work() -> None:
    endpoint = ScriptedEndpoint("e", answer_long)
    async with run_bounded(endpoint, 4 * LIMIT) as (rig, _, __):
        request = encode_get(1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        client = await connect(rig.port, request)
        await asyncio.sleep(0.5)
        assert not rig.api.active_requests
        assert rig.api.has_work
        assert await read_slowly(client, 0.0) > len(BODY)
        await asyncio.sleep(0.2)
        assert not rig.api.has_work
