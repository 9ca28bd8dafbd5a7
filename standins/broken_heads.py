"""Answers whose head is none in HTTP: a status, a line or a byte that is forbidden."""

import random
from collections.abc import Callable
from typing import Final

# Stands in the body of each broken answer, so that a client that gets it is found.
MARK: Final = "body behind a broken head"
_CONTROLS: Final = (*range(0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F)
# Bytes that may not stand in the name of a field.
_NO_TOKEN: Final = (*_CONTROLS, *b' \t"(),/;<=>?@[\\]{}\x80\xff')
_STATUS_LINES: Final = (
    *(b"HTTP/1.1 000", b"HTTP/1.1 001 X", b"HTTP/1.1 099 X", b"HTTP/1.1 600 X"),
    *(b"HTTP/1.1 999 X", b"HTTP/1.1 20 OK", b"HTTP/1.1 2x0 OK", b"HTTP/2.0 200 OK"),
)
_FRAMINGS: Final = (b"Transfer-Encoding: gzip", b"Transfer-Encoding: chunked, chunked")


# The lines of a head, the status line first, are broken in place.
_Break = Callable[[random.Random, list[bytes]], None]


def _break_status_line(draw: random.Random, lines: list[bytes]) -> None:
    lines[0] = draw.choice(_STATUS_LINES)


def _break_reason(draw: random.Random, lines: list[bytes]) -> None:
    lines[0] += bytes([draw.choice(_CONTROLS)])


def _break_name(draw: random.Random, lines: list[bytes]) -> None:
    number = draw.randrange(1, len(lines))
    line = lines[number]
    place = draw.randint(0, line.index(b":"))
    lines[number] = line[:place] + bytes([draw.choice(_NO_TOKEN)]) + line[place:]


def _break_value(draw: random.Random, lines: list[bytes]) -> None:
    number = draw.randrange(1, len(lines))
    lines[number] += bytes([draw.choice(_CONTROLS)])


def _break_framing(draw: random.Random, lines: list[bytes]) -> None:
    lines[-1] = draw.choice(_FRAMINGS)


_BREAKS: Final[tuple[_Break, ...]] = (
    _break_status_line,
    _break_reason,
    _break_name,
    _break_value,
    _break_framing,
)


def draw_broken_answer(draw: random.Random, request_id: str) -> bytes:
    """Return an answer whose head is broken in one way."""
    body = MARK.encode()
    lines = [
        draw.choice((b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Service Unavailable")),
        b"X-Request-Id: " + request_id.encode(),
        b"X-Server-Stamp: " + body,
        b"X-Not-Run: 1",
        b"Server-Leaving: 1",
        b"Content-Length: %d" % len(body),
    ]
    draw.choice(_BREAKS)(draw, lines)
    return b"\r\n".join([*lines, b"", body])
