"""Decides whether the head of an answer is an answer in HTTP at all.

The parser that reads it afterwards is lenient: it takes a status that means nothing,
lines that are no fields, and bytes that can't be passed on. What is no answer by the
grammar (RFC 9110, sections 5 and 15; RFC 9112, sections 4 to 6) says nothing, neither
to a client nor to this daemon.
"""

import re
import reprlib
from typing import Final

from aiohttp import ClientError

# The end of a head, in as many bytes at most. A line may end without its CR.
HEAD_END: Final = re.compile(rb"\n\r?\n")
MAX_HEAD_END_BYTES: Final = 3

_LINE_END: Final = rb"\r?\n"
# Visible characters, blanks, tabs and bytes beyond ASCII, but no control bytes.
_TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*+"
_STATUS_LINE: Final = rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb")?"
_FIELD_LINE: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:" + _TEXT
_HEAD: Final = re.compile(
    _STATUS_LINE + _LINE_END + rb"(?:" + _FIELD_LINE + _LINE_END + rb")*+" + _LINE_END
)
_STATUS_LINE_ALONE: Final = re.compile(_STATUS_LINE)
_FIELD_LINE_ALONE: Final = re.compile(_FIELD_LINE)
_FRAMING_FIELD: Final = re.compile(
    rb"\n(content-length|transfer-encoding):[\t ]*([^\r\n]*?)[\t ]*\r?(?=\n)",
    re.IGNORECASE,
)
_SWITCHING_PROTOCOLS: Final = re.compile(rb"HTTP/1\.[01] 101")
_HTTP_1_0: Final = b"HTTP/1.0"
_CODING: Final = b"chunked"


class InvalidHead(ClientError):
    """The head of an answer breaks the grammar of HTTP; it says what is wrong."""


def check_head(head: bytes) -> None:
    """Raise ``InvalidHead`` unless a head, up to its empty line, is an answer's."""
    if _HEAD.fullmatch(head) is None:
        raise InvalidHead(_describe_fault(head))
    if _SWITCHING_PROTOCOLS.match(head):
        raise InvalidHead("protocol switched unasked")
    _check_framing(head)


def _describe_fault(head: bytes) -> str:
    """Return which line of a head is invalid."""
    status_line, *fields = re.split(_LINE_END, head)
    if _STATUS_LINE_ALONE.fullmatch(status_line) is None:
        return f"status line {reprlib.repr(status_line)}"
    invalid = (line for line in fields if not _FIELD_LINE_ALONE.fullmatch(line))
    return f"field line {reprlib.repr(next(invalid))}"


def _check_framing(head: bytes) -> None:
    """Raise ``InvalidHead`` unless a head tells in one way where its body ends.

    The requests of this daemon ask for no other coding than chunks.
    """
    codings: list[bytes] = []
    lengths: list[bytes] = []
    for name, value in _FRAMING_FIELD.findall(head):
        (lengths if name[:1] in b"cC" else codings).append(value.lower())
    if codings and (codings != [_CODING] or lengths or head.startswith(_HTTP_1_0)):
        raise InvalidHead(
            f"codings {reprlib.repr(codings)} with lengths {reprlib.repr(lengths)}"
        )
    if lengths and not (len(lengths) == 1 and lengths[0].isdigit()):
        raise InvalidHead(f"lengths {reprlib.repr(lengths)}")
