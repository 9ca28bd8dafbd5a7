"""Which heads count as answers, and what is passed on of them.

Guards against a head that this daemon understands otherwise than the grammar of HTTP:
each byte in each place of a sound head is replaced, doubled, left out or put in, and
what comes of it is compared with a reading by the grammar, a byte at a time.
"""

import asyncio
from dataclasses import dataclass
from unittest.mock import Mock

import aiohttp.client_proto
import pytest
from aiohttp import ClientError, web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParserPy
from aiohttp.http_writer import _serialize_headers
from hypothesis import example, given, settings
from hypothesis import strategies as st

from kestreltally.entry.answer import Answer
from kestreltally.entry.answer_head import InvalidHead, check_head
from kestreltally.entry.answers import copy_headers
from kestreltally.entry.channel import MAX_HEAD_BYTES, READ_BUFFER_BYTES
from kestreltally.entry.channel_protocol import ChannelProtocol
from tests.brokenheads import BROKEN_HEADS, RARE_FIELDS, Head, with_field

EXAMPLES = 600
LETTERS = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
TOKEN = frozenset(LETTERS + b"0123456789!#$%&'*+-.^_`|~")
TEXT = frozenset(b"\t ") | frozenset(range(0x21, 0x7F)) | frozenset(range(0x80, 0x100))
SOUND = Head(last=(b"X-Foo: a b", b"Keep-Alive: timeout=5", b"Content-Length: 0"))
SOUND_HEADS = (
    SOUND.encode(b"q1"),
    Head(last=(b"Transfer-Encoding: chunked",)).encode(b"q1"),
    Head(b"HTTP/1.0 404 Not Found", last=(b"Connection: close",)).encode(b"q1"),
)


@dataclass(frozen=True)
class Reading:
    """What a head says by the grammar."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]


def read_head(head: bytes) -> Reading | None:
    """Read a head up to its first empty line, None if it is no answer's."""
    lines = head.split(b"\n")
    if lines[-2:] != [b"", b""] and lines[-2:] != [b"\r", b""]:
        return None
    line, *rest = [each.removesuffix(b"\r") for each in lines[:-2]]
    if line[:7] != b"HTTP/1." or line[7:8] not in (b"0", b"1") or line[8:9] != b" ":
        return None
    status, after = line[9:12], line[12:]
    if len(status) != 3 or not status.isdigit() or not 100 <= int(status) <= 599:
        return None
    if (after and after[:1] != b" ") or not TEXT.issuperset(after) or status == b"101":
        return None
    fields = []
    for each in rest:
        name, colon, value = each.partition(b":")
        if not (name and colon and TOKEN.issuperset(name) and TEXT.issuperset(value)):
            return None
        fields.append((name, value.strip(b" \t")))
    lengths = [value for name, value in fields if name.lower() == b"content-length"]
    codings = [value for name, value in fields if name.lower() == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1 or not all(each.isdigit() for each in lengths):
        return None
    if codings and (codings[0].lower() != b"chunked" or line[7:8] == b"0"):
        return None
    return Reading(int(status), tuple(fields))


def parse(received: bytes) -> Answer | None:
    """Return what this daemon takes for an answer, None if it is lost."""
    protocol = ChannelProtocol(Mock(spec=asyncio.AbstractEventLoop))
    protocol.transport = Mock(spec=asyncio.Transport)
    protocol.set_response_params(
        read_until_eof=True,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
    )
    protocol.start_exchange()
    protocol.data_received(received)
    if protocol.exception() is not None:
        assert isinstance(protocol.exception(), ClientError | HttpProcessingError)
        return None
    for (message, body), _ in protocol._buffer:
        if message.code >= 200:
            return Answer(
                message.code,
                message.reason or "",
                message.headers,
                message.raw_headers,
                body,
                protocol,
            )
    return None


@st.composite
def mutate(draw: st.DrawFn) -> bytes:
    head = bytearray(draw(st.sampled_from(SOUND_HEADS)))
    for _ in range(draw(st.integers(1, 2))):
        place = draw(st.integers(0, len(head) - 1))
        removed = draw(st.integers(0, 2))
        head[place : place + removed] = draw(st.binary(max_size=2))
    return bytes(head)


def compare(received: bytes) -> None:
    answer = parse(received)
    if answer is None:
        return
    end = min(
        found + len(mark)
        for mark in (b"\n\n", b"\n\r\n")
        if (found := received.find(mark)) >= 0
    )
    reading = read_head(received[:end])
    assert reading is not None and reading.status == answer.status
    stripped = tuple((name, value.strip(b" \t")) for name, value in answer.raw_headers)
    assert stripped == reading.fields
    reason = f"HTTP/1.1 {answer.status} {answer.reason}"
    assert web.Response(status=answer.status, reason=answer.reason or None)
    assert _serialize_headers(reason, copy_headers(answer))


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@example(SOUND_HEADS[0])
@given(mutate())
def test_head_is_taken_as_the_grammar_reads_it(received: bytes) -> None:
    compare(received)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(mutate())
def test_check_is_as_strict_as_the_grammar(head: bytes) -> None:
    """Here a head is whatever comes, with one empty line, at its end."""
    body = head.replace(b"\r\n", b"\n")
    if body.find(b"\n\n") != len(body) - 2:
        return
    try:
        check_head(head)
    except InvalidHead as error:
        assert str(error)
        assert read_head(head) is None
    else:
        assert read_head(head) is not None


@pytest.mark.parametrize("pure", [False, True], ids=["compiled", "pure"])
def test_each_byte_in_each_place_of_a_head(
    pure: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if pure:
        monkeypatch.setattr(
            aiohttp.client_proto, "HttpResponseParser", HttpResponseParserPy
        )
    head = SOUND_HEADS[0]
    for place in range(len(head)):
        for byte in (*range(0x21), *b'"(),/:;<=>?@[\\]{}1A', 0x7F, 0x80):
            compare(head[:place] + bytes([byte]) + head[place + 1 :])
            compare(head[:place] + bytes([byte]) + head[place:])


@pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS)
def test_fault_of_a_broken_head_is_named(head: Head) -> None:
    with pytest.raises(InvalidHead, match=r".+"):
        check_head(head.encode(b"q1"))


@pytest.mark.parametrize(
    "head", [*SOUND_HEADS, *(with_field(each).encode(b"q1") for each in RARE_FIELDS)]
)
def test_sound_head_passes(head: bytes) -> None:
    check_head(head)


def test_fault_of_a_long_line_is_short() -> None:
    with pytest.raises(InvalidHead) as raised:
        check_head(Head(last=(b"X Foo" * 1_000,)).encode(b"q1"))
    assert len(str(raised.value)) < 100
