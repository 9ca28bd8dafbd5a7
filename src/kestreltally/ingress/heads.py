"""How many bytes a request's head has, and whether a request came alone."""

from typing import Final

from aiohttp.http import RawRequestMessage

HEAD_END: Final = b"\r\n\r\n"
# The bytes of a head beside its names and values: of a field ``: `` and CRLF, of the
# request's line two blanks, the version and CRLF.
FIELD_DELIMITERS: Final = 4
REQUEST_LINE_DELIMITERS: Final = 12


def measure_head(message: RawRequestMessage) -> int:
    """Return the bytes of a request's head, without its final empty line."""
    fields = sum(
        len(name) + len(value) + FIELD_DELIMITERS for name, value in message.raw_headers
    )
    return len(message.method) + len(message.path) + REQUEST_LINE_DELIMITERS + fields


def is_whole(data: bytes, length: int | None) -> bool:
    """Return whether data is a head and a body of a length, and nothing more."""
    head = data.find(HEAD_END)
    return (
        length is not None and head >= 0 and len(data) == head + len(HEAD_END) + length
    )
