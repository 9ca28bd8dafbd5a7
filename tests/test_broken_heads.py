"""Endpoints whose answers have a head that is no answer in HTTP.

Guards against a client that gets such a head as its answer, with a status that means
nothing, a line that is no field, or a body that isn't the endpoint's; and against a
daemon that believes what else such a head says. It comes about with an endpoint in
trouble, as the parser lets through much that the grammar forbids.
"""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp.client_proto
import pytest
from aiohttp.http_parser import HttpResponseParserPy

from kestreltally.deployment import SocketAddress
from kestreltally.entry.channel_protocol import MAX_OTHER_LINES
from kestreltally.entry.upstream import AnswerLost, ChannelPool, encode_head
from kestreltally.fleet.model import Endpoint, RequestKind, ServiceName
from kestreltally.fleet.notices import NoticeTable
from tests.brokenheads import (
    BODY,
    BROKEN_HEADS,
    LENGTH,
    RARE_FIELDS,
    SOME_BROKEN_HEADS,
    Head,
    with_field,
    with_status,
)
from tests.entryrig import (
    MODELS,
    PLAIN,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)
from tests.test_endless_calls import CALLS, MAX_TIME, Endless
from tests.test_entry import make_chunk, make_event, make_stream_head, make_streamer
from tests.test_forwarding import connect, run_pair

SAFE, UNSAFE, STREAM = RequestKind.SAFE, RequestKind.UNSAFE, RequestKind.STREAM
MODEL = {"X-Model-Name": "base/a1"}
WHOLE = make_event(1)
# On so many endpoints a request that may be repeated may run.
ATTEMPTS = 2
READS = [read for read, _ in CALLS]
by_parser = pytest.mark.parametrize("parser", ["compiled", "pure"], indirect=True)
each_broken = pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS)
some_broken = pytest.mark.parametrize(
    "head", SOME_BROKEN_HEADS.values(), ids=SOME_BROKEN_HEADS
)


@pytest.fixture(autouse=True)
def parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Parse answers by the parser in pure Python if a test asks for it."""
    if getattr(request, "param", "compiled") == "pure":
        monkeypatch.setattr(
            aiohttp.client_proto, "HttpResponseParser", HttpResponseParserPy
        )


class BrokenEndpoint(ScriptedEndpoint):
    """Answers each request with the same head and an event as its body."""

    def __init__(self, head: Head, service: ServiceName = PLAIN) -> None:
        super().__init__("broken", self.answer, service)
        self.head = head
        self.clients: list[object] = []

    async def answer(self, seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        self.clients.append(writer.get_extra_info("peername"))
        writer.write(self.head.encode(seen.id) + BODY)


async def answer_whole(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen, WHOLE))


def make_sound(service: ServiceName = PLAIN) -> ScriptedEndpoint:
    return ScriptedEndpoint("sound", answer_whole, service, data_centre="south")


async def ask(kind: RequestKind, *endpoints: ScriptedEndpoint) -> Reply:
    service = endpoints[0].service
    route = make_route(
        kind, service=service, resumable=kind is STREAM, attempts=ATTEMPTS
    )
    async with run_entry(list(endpoints), route) as rig:
        headers = MODEL if service == MODELS else {}
        return await rig.ask("POST", headers=headers, body=b"p")


def assert_failed(reply: Reply) -> None:
    """Assert that a client gets this daemon's own answer, and nothing of another."""
    assert (reply.status, reply.whole) == (502, True)
    assert reply.headers.keys() <= {
        *("content-type", "content-length", "x-request-id", "date", "server"),
        "connection",
    }
    for word in (b"token", b"HTTP/", b"X-"):
        assert word not in reply.body


@by_parser
@each_broken
async def test_head_that_is_no_answer_reaches_no_client(head: Head) -> None:
    broken = BrokenEndpoint(head)
    assert_failed(await ask(UNSAFE, broken))
    assert len(broken.seen) == 1


@some_broken
@pytest.mark.parametrize(("kind", "service"), [(SAFE, PLAIN), (STREAM, MODELS)])
async def test_head_that_is_no_answer_reaches_no_client_that_may_ask_again(
    kind: RequestKind, service: ServiceName, head: Head
) -> None:
    broken = BrokenEndpoint(head, service)
    assert_failed(await ask(kind, broken))
    assert 1 <= len(broken.seen) <= ATTEMPTS


@each_broken
async def test_sound_endpoint_is_asked_after_a_head_that_is_no_answer(
    head: Head,
) -> None:
    broken = BrokenEndpoint(head)
    reply = await ask(SAFE, broken, make_sound())
    assert len(broken.seen) == 1
    assert (reply.status, reply.body, reply.whole) == (200, WHOLE, True)


@some_broken
async def test_stream_begins_elsewhere_after_a_head_that_is_no_answer(
    head: Head,
) -> None:
    broken = BrokenEndpoint(head, MODELS)
    reply = await ask(STREAM, broken, make_sound(MODELS))
    assert len(broken.seen) == 1
    assert (reply.status, reply.body, reply.whole) == (200, WHOLE, True)


@some_broken
async def test_request_that_may_have_run_is_not_sent_again_after_a_broken_head(
    head: Head,
) -> None:
    broken, sound = BrokenEndpoint(head), make_sound()
    assert_failed(await ask(UNSAFE, broken, sound))
    assert (len(broken.seen), len(sound.seen)) == (1, 0)


@some_broken
async def test_stream_under_way_goes_on_after_a_broken_head(head: Head) -> None:
    first = ScriptedEndpoint("first", make_streamer(1, 3, whole=False), MODELS)  # type: ignore[arg-type]
    broken = BrokenEndpoint(head, MODELS)
    sound = ScriptedEndpoint(
        *("sound", make_streamer(1, 6, whole=True), MODELS, "south")  # type: ignore[arg-type]
    )
    broken.data_centre = "south"
    route = make_route(STREAM, service=MODELS, resumable=True, attempts=3)
    async with run_entry([first, broken, sound], route) as rig:
        for _ in range(4):
            reply = await rig.ask("POST", headers=MODEL, body=b"p")
            assert reply.status == 200
            events = b"".join(make_event(number) for number in range(1, 7))
            # Where the sound one isn't asked, the stream breaks off.
            assert (
                reply.body == events if reply.whole else events.startswith(reply.body)
            )
            assert b"token\n" not in reply.body


NOT_RUN = b"X-Not-Run: 1"
BROKEN_FIELD = b"Connection : keep-alive"


@pytest.mark.parametrize("status", [b"408 X", b"421 X", b"429 X", b"503 X"])
async def test_rejection_whose_head_is_broken_proves_nothing(status: bytes) -> None:
    line = b"HTTP/1.1 " + status
    broken = BrokenEndpoint(Head(line, last=(NOT_RUN, BROKEN_FIELD, LENGTH)))
    sound = make_sound()
    assert_failed(await ask(UNSAFE, broken, sound))
    assert not sound.seen


@pytest.mark.parametrize(
    "said",
    [
        *(b"Server-Leaving: 1", b"Server-Limit: 0.1", b"Server-Brittle: 0"),
        *(b"Retry-After: 100", b"Server-Mood: bad"),
    ],
)
async def test_nothing_that_a_broken_head_says_of_its_endpoint_is_believed(
    said: bytes,
) -> None:
    line = b"HTTP/1.1 503 Busy" if said.startswith(b"Retry") else b"HTTP/1.1 200 OK"
    broken = BrokenEndpoint(Head(line, last=(said, BROKEN_FIELD, LENGTH)))
    async with run_entry([broken], make_route(SAFE)) as rig:
        assert_failed(await rig.ask())
        notices = rig.fleet.notices
        endpoint = broken.make_endpoint()
        now = asyncio.get_running_loop().time()
        assert not notices.compute_backoff(endpoint, now)
        assert not notices.is_rate_limited(endpoint)
        assert notices.get_brittleness(endpoint) is None
        assert not notices.unknown_signals.count()
        broken.head = Head()
        assert (await rig.ask(request_id="q2")).status == 200


@some_broken
async def test_channel_of_a_broken_head_is_not_used_again(head: Head) -> None:
    broken = BrokenEndpoint(head)
    async with run_entry([broken], make_route(UNSAFE)) as rig:
        assert_failed(await rig.ask("POST"))
        assert_failed(await rig.ask("POST", request_id="q2"))
    first, second = broken.clients
    assert first != second


INTERIM_HEADS = {
    "broken field": b"HTTP/1.1 100 Continue\r\nX-Foo : 1\r\n\r\n",
    "folded line": b"HTTP/1.1 103 Early\r\nLink: a\r\n b\r\n\r\n",
    "switch that nobody asked for": b"HTTP/1.1 101 Switching\r\n\r\n",
    "status 099": b"HTTP/1.1 099 X\r\n\r\n",
}


@by_parser
@pytest.mark.parametrize("interim", INTERIM_HEADS.values(), ids=INTERIM_HEADS)
async def test_broken_interim_head_is_no_answer(interim: bytes) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(interim + make_answer(seen, WHOLE))

    assert_failed(await ask(UNSAFE, ScriptedEndpoint("e", answer)))


OTHER_ANSWERS = {
    "with a length": make_answer(SeenRequest(b"\r\nX-Request-Id: o\r\n", b""), b"o\n"),
    "empty": make_answer(SeenRequest(b"\r\nX-Request-Id: o\r\n", b""), b""),
    "in chunks": make_stream_head(SeenRequest(b"\r\nX-Request-Id: o\r\n", b""))
    + make_chunk(b"HTTP/1.1 200 OK\r\n\r\n")
    + b"0\r\nX-Trailer: 1\r\n\r\n",
}
other_first = pytest.mark.parametrize(
    "other", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS
)


@by_parser
@other_first
@some_broken
async def test_broken_head_behind_an_answer_to_another_request_is_none(
    other: bytes, head: Head
) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(other + head.encode(seen.id) + BODY)

    assert_failed(await ask(UNSAFE, ScriptedEndpoint("e", answer)))


@by_parser
@other_first
@pytest.mark.parametrize("size", [1, 2, 3, 7, 40, 1_000])
async def test_answer_behind_those_to_other_requests_is_delivered(
    other: bytes, size: int
) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        content = other + other + make_answer(seen, WHOLE)
        for start in range(0, len(content), size):
            writer.write(content[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)

    reply = await ask(UNSAFE, ScriptedEndpoint("e", answer))
    assert (reply.status, reply.body) == (200, WHOLE)


@by_parser
async def test_answer_behind_a_long_one_to_another_request_is_delivered() -> None:
    other = SeenRequest(b"\r\nX-Request-Id: o\r\n", b"")

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(other, b"HTTP" * 50_000) + make_answer(seen, WHOLE))

    reply = await ask(UNSAFE, ScriptedEndpoint("e", answer))
    assert (reply.status, reply.body) == (200, WHOLE)


async def test_answer_to_another_request_in_many_lines_is_given_up() -> None:
    other = SeenRequest(b"\r\nX-Request-Id: o\r\n", b"")

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        lines = b"1\r\n\n\r\n" * MAX_OTHER_LINES
        writer.write(make_stream_head(other) + lines + b"0\r\n\r\n")
        writer.write(make_answer(seen, WHOLE))

    assert_failed(await ask(UNSAFE, ScriptedEndpoint("e", answer)))


@some_broken
@pytest.mark.parametrize("size", [1, 5])
async def test_broken_head_in_pieces_is_no_answer(head: Head, size: int) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        content = head.encode(seen.id) + BODY
        for start in range(0, len(content), size):
            writer.write(content[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)

    assert_failed(await ask(UNSAFE, ScriptedEndpoint("e", answer)))


@pytest.mark.parametrize("ids", [(b"q1", b"other"), (b"other", b"q1")])
async def test_answer_that_names_two_requests_is_none(ids: tuple[bytes, ...]) -> None:
    lines = tuple(b"X-Request-Id: " + each for each in ids)

    async def answer(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        fields = b"\r\n".join((b"HTTP/1.1 200 OK", *lines, b"X-Server-Stamp: s"))
        writer.write(fields + b"\r\n" + LENGTH + b"\r\n\r\n" + BODY)

    assert_failed(await ask(UNSAFE, ScriptedEndpoint("e", answer)))


async def call_own(endpoint: Endpoint) -> None:
    """Ask as reports, orders, probes and the check of a process do."""
    channel = await ChannelPool(NoticeTable()).open(endpoint)
    try:
        head = encode_head("GET", "/report", (("X-Request-Id", "own"),))
        answer = await channel.send(head, b"", "own", is_own=True)
        await answer.read_all(1_000)
    finally:
        channel.abort()


@some_broken
async def test_broken_head_is_no_answer_to_a_daemon_s_own_call(head: Head) -> None:
    broken = BrokenEndpoint(head)
    async with run_entry([broken]):
        with pytest.raises(AnswerLost):
            async with asyncio.timeout(MAX_TIME):
                await call_own(broken.make_endpoint())


@some_broken
async def test_broken_head_from_a_peer_is_no_answer(head: Head) -> None:
    peer = BrokenEndpoint(head)
    async with run_pair([peer], make_route(UNSAFE)) as (sender, _):
        connect(sender, peer.port)
        assert_failed(await sender.ask("POST", body=b"p"))


@some_broken
async def test_broken_head_of_an_engine_behind_a_peer_reaches_no_client(
    head: Head,
) -> None:
    async with run_pair([BrokenEndpoint(head)], make_route(UNSAFE)) as (sender, _):
        assert_failed(await sender.ask("POST", body=b"p"))


@some_broken
@pytest.mark.parametrize("read", READS, ids=[each.__name__ for each in READS])
async def test_broken_head_is_no_answer_to_a_call_over_a_session(
    read: Callable[[Endless], Awaitable[None]], head: Head
) -> None:
    broken = BrokenEndpoint(head)
    async with run_entry([broken]):
        server = Endless()
        server.url = f"http://127.0.0.1:{broken.port}"
        server.address = SocketAddress("127.0.0.1", broken.port)
        async with asyncio.timeout(MAX_TIME):
            await read(server)


SOUND_STATUSES = (
    *(b"200", b"200 ", b"200 Fine, \xc3\xa9", b"200 O\tK", b"299 X"),
    *(b"300 X", b"302 Found", b"399 X", b"400 Bad", b"404 Not Found", b"418 X"),
    *(b"499 X", b"500 Error", b"504 X", b"599 X"),
)


@by_parser
@pytest.mark.parametrize("status", SOUND_STATUSES)
async def test_each_valid_status_is_passed_on(status: bytes) -> None:
    reply = await ask(UNSAFE, BrokenEndpoint(with_status(status)))
    assert (reply.status, reply.body) == (int(status[:3]), BODY)
    assert reply.headers["x-server-stamp"] == "s"


@by_parser
@pytest.mark.parametrize("field", RARE_FIELDS)
async def test_rare_field_is_passed_on(field: bytes) -> None:
    reply = await ask(UNSAFE, BrokenEndpoint(with_field(field)))
    name, _, value = field.partition(b":")
    assert (reply.status, reply.body) == (200, BODY)
    assert reply.headers[name.decode().lower()] == value.strip(b" \t").decode()


@by_parser
async def test_nothing_of_a_trailer_is_believed_or_passed_on() -> None:
    words = b"Server-Leaving: 1\r\nX-Not-Run: 1\r\nX-Request-Id: other\r\n"

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        chunks = make_chunk(WHOLE) + b"0\r\n" + words + b"\r\n"
        writer.write(make_stream_head(seen) + chunks)

    async with run_entry([ScriptedEndpoint("e", answer)], make_route(UNSAFE)) as rig:
        for number in range(2):
            reply = await rig.ask("POST", request_id=f"q{number}")
            assert (reply.status, reply.body) == (200, WHOLE)
            assert reply.headers["x-request-id"] == f"q{number}"
            assert "x-not-run" not in reply.headers


# Guards against a value that loses bytes on its way, which HTTP allows in it.
async def test_bytes_that_are_no_utf8_in_a_value_are_passed_on() -> None:
    async with run_entry(
        [BrokenEndpoint(with_field(b"X-Foo: a\xffb"))], make_route(UNSAFE)
    ) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(
            b"POST /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    assert b"X-Foo: a\xffb\r\n" in head


SOUND_HEADS = {
    "HTTP/1.0": Head(b"HTTP/1.0 200 OK"),
    "line feeds alone": Head(line_end=b"\n"),
    "coding in capitals": Head(last=(b"TRANSFER-ENCODING:  Chunked ",)),
    "length without a blank": Head(last=(LENGTH.replace(b" ", b""),)),
    "an upgrade that is offered": with_field(b"Upgrade: h2c"),
}


@by_parser
@pytest.mark.parametrize("head", SOUND_HEADS.values(), ids=SOUND_HEADS)
async def test_sound_head_is_an_answer(head: Head) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
        is_chunked = b"hunked" in head.encode(b"")
        writer.write(head.encode(seen.id) + (chunks if is_chunked else BODY))

    reply = await ask(UNSAFE, ScriptedEndpoint("e", answer))
    assert (reply.status, reply.body) == (200, BODY)


async def test_answer_that_comes_while_no_request_waits_is_not_the_next_one_s() -> None:
    async def answer_twice(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"for " + seen.id) * 2)

    endpoint = ScriptedEndpoint("e", answer_twice)
    async with run_entry([endpoint], make_route(UNSAFE)) as rig:
        for name in ("q1", "q2", "q3"):
            reply = await rig.ask("POST", request_id=name)
            assert reply.body == b"for " + name.encode()
