"""Heads of answers: broken ones, which are no answers, and sound ones that are rare."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

STAMP: Final = b"X-Server-Stamp: s"
BODY: Final = b"id: 1\ndata: token\n\n"
LENGTH: Final = b"Content-Length: %d" % len(BODY)
# All bytes that may stand in the name of a field, but for letters and digits.
TOKEN_MARKS: Final = b"!#$%&'*+-.^_`|~"


@dataclass(frozen=True)
class Head:
    """The head of an answer; ``first`` and ``last`` are lines around the usual ones."""

    status_line: bytes = b"HTTP/1.1 200 OK"
    first: tuple[bytes, ...] = ()
    last: tuple[bytes, ...] = (LENGTH,)
    line_end: bytes = b"\r\n"

    def encode(self, request_id: bytes) -> bytes:
        usual = (b"X-Request-Id: " + request_id, STAMP)
        lines = (self.status_line, *self.first, *usual, *self.last, b"", b"")
        return self.line_end.join(lines)


def with_status(status: bytes) -> Head:
    return Head(b"HTTP/1.1 " + status)


def with_field(line: bytes) -> Head:
    return Head(last=(line, LENGTH))


def list_heads_by_byte(template: bytes, numbers: Iterable[int]) -> dict[str, Head]:
    """Return heads with each of some bytes in a field line."""
    return {
        f"{template.decode()} with byte {number:02x}": with_field(
            template.replace(b"?", bytes([number]))
        )
        for number in numbers
    }


CONTROLS: Final = (*range(0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F)

INVALID_STATUSES: Final = {
    f"status {status.decode()}": with_status(status)
    for status in (
        *(b"000", b"001", b"099", b"600", b"666", b"999", b"20", b"2000", b"0200"),
        *(b"000 OK", b"+200 OK", b"-200 OK", b"2x0 OK", b"x OK", b"", b" "),
        *(b" 200 OK", b"\t200 OK", b"200\tOK", b"0x1 OK", b"101 Switching Protocols"),
    )
}
INVALID_STATUS_LINES: Final = {
    f"line {line!r}": Head(line)
    for line in (
        *(b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK", b"HTTP/9.9 200 OK", b"HTTP/1 200 OK"),
        *(b"RTSP/1.0 200 OK", b"ICE/1.0 200 OK", b"http/1.1 200 OK", b"HTTP/1.1200 OK"),
        *(b" HTTP/1.1 200 OK", b"HTTP/11 200 OK", b"\r\nHTTP/1.1 200 OK"),
        *(b"\nHTTP/1.1 200 OK", b"\r\n\r\nHTTP/1.1 200 OK", b"200 OK", b""),
    )
}
INVALID_NAMES: Final = {
    **{
        f"field {line!r}": with_field(line)
        for line in (
            *(b"X Foo: 1", b"X-Foo : 1", b"X-Foo\t: 1", b": 1", b"X-Foo", b"X-Foo 1"),
            *(b" X-Foo: 1", b"\tX-Foo: 1", b"Connection : close", b"Connection\t: x"),
            *(b"Keep-Alive : timeout=5", b"Upgrade : x", b"Retry-After : 1", b" "),
        )
    },
    **list_heads_by_byte(b"X-F?oo: 1", CONTROLS),
    **list_heads_by_byte(b"X-F?oo: 1", b'"(),/;<=>?@[\\]{} \t\x80\xff'),
    "blank before the first field": Head(first=(b" X-Foo: 1",)),
    "tab before the first field": Head(first=(b"\tX-Foo: 1",)),
    "first field's name ends in a blank": Head(first=(b"Connection : 1",)),
    "length whose name ends in a blank": Head(last=(b"Content-Length : 4",)),
    "length whose name ends in a tab": Head(last=(b"Content-Length\t: 4",)),
    "both lengths, one with a blank": Head(last=(b"Content-Length : 4", LENGTH)),
    "coding whose name ends in a blank": Head(last=(b"Transfer-Encoding : chunked",)),
}
INVALID_VALUES: Final = {
    **list_heads_by_byte(b"X-Foo: 1?2", CONTROLS),
    "a carriage return alone": with_field(b"X-Foo: 1\r2"),
    **{
        f"reason with byte {number:02x}": with_status(b"200 O" + bytes([number]))
        for number in CONTROLS
    },
}
INVALID_FRAMINGS: Final = {
    f"framing {lines!r}": Head(last=lines)
    for lines in (
        (b"Transfer-Encoding: gzip",),
        (b"Transfer-Encoding: chunked, gzip",),
        (b"Transfer-Encoding: gzip, chunked",),
        (b"Transfer-Encoding: xchunked",),
        (b"Transfer-Encoding: identity", LENGTH),
        (b"Transfer-Encoding: chunked, chunked",),
        (b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"),
        (b"transfer-encoding: chunked", LENGTH),
        (b"Transfer-Encoding:",),
        (LENGTH, b"Content-Length: 4"),
        (b"Content-Length: 4", LENGTH),
        (b"Content-Length: 4, 19",),
        (b"Content-Length: +4",),
        (b"Content-Length: 0x4",),
        (b"Content-Length: 4 4",),
        (b"Content-Length:",),
    )
} | {
    "chunks in HTTP/1.0": Head(
        b"HTTP/1.0 200 OK", last=(b"Transfer-Encoding: chunked",)
    ),
}

BROKEN_HEADS: Final = {
    **INVALID_STATUSES,
    **INVALID_STATUS_LINES,
    **INVALID_NAMES,
    **INVALID_VALUES,
    **INVALID_FRAMINGS,
}
# One of each kind.
SOME_BROKEN_HEADS: Final = {
    name: BROKEN_HEADS[name]
    for name in (
        "status 000",
        "status 999",
        "line b'HTTP/2.0 200 OK'",
        "field b'X-Foo : 1'",
        "length whose name ends in a blank",
        "X-F?oo: 1 with byte 01",
        "X-Foo: 1?2 with byte 1b",
        "reason with byte 7f",
        "framing (b'Transfer-Encoding: gzip',)",
    )
}

RARE_FIELDS: Final = (
    *(b"X-%cFoo: 1" % mark for mark in TOKEN_MARKS),
    *(b"0: 1", b"X-Foo:", b"X-Foo: ", b"X-Foo:1", b"X-Foo: \t 1\t ", b"X-Foo: 1\t2"),
    *(b"X-Foo: \xc3\xa9", b"X-Foo: a:b", b"X-Foo: \xe2\x82\xac \xf0\x9f\x98\x80"),
)
