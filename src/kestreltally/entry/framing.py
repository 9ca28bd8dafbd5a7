"""Tells from a message's head where its body ends (RFC 9112, section 6.3)."""

from typing import Final

from aiohttp import StreamReader
from aiohttp.http_parser import RawRequestMessage, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

BODILESS_STATUSES: Final = frozenset({204, 304})


def is_delimited(message: RawResponseMessage, body: StreamReader) -> bool:
    """Return whether an answer's head tells where its body ends."""
    if message.code in BODILESS_STATUSES or body is EMPTY_PAYLOAD:
        return True
    return message.chunked or "Content-Length" in message.headers


def is_ignored(
    message: RawResponseMessage, body: StreamReader, *, head_only: bool
) -> bool:
    """Return whether the parser receives nothing of a body that an answer has.

    ``head_only``: only the head was asked for. aiohttp's parser takes the greatest
    length that it can hold for none at all.
    """
    if head_only or message.code in BODILESS_STATUSES:
        return False
    return body is EMPTY_PAYLOAD and read_length(message) != 0


def read_length(message: RawRequestMessage | RawResponseMessage) -> int | None:
    """Return the length of a body in bytes, None if it isn't stated."""
    length = message.headers.get("Content-Length")
    return int(length) if length is not None else None
