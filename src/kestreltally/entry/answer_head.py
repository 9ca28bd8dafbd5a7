"""Decides whether the head of an answer is an answer in HTTP at all.

The parser that reads it afterwards is lenient: it takes a status that means nothing.
What is no answer by the grammar (RFC 9110, section 15; RFC 9112, section 4) says
nothing, neither to a client nor to this daemon.
"""

import re
import reprlib
from typing import Final

from aiohttp import ClientError

# The end of a head, in as many bytes at most. A line may end without its CR.
HEAD_END: Final = re.compile(rb"\n\r?\n")
MAX_HEAD_END_BYTES: Final = 3

_LINE_END: Final = rb"\r?\n"
_TEXT: Final = rb"[^\r\n]*+"
_STATUS_LINE: Final = rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb")?"
_STATUS_LINE_ALONE: Final = re.compile(_STATUS_LINE)
_SWITCHING_PROTOCOLS: Final = re.compile(rb"HTTP/1\.[01] 101")


class InvalidHead(ClientError):
    """The head of an answer breaks the grammar of HTTP; it says what is wrong."""


def check_head(head: bytes) -> None:
    """Raise ``InvalidHead`` unless a head, up to its empty line, is an answer's."""
    status_line = re.split(_LINE_END, head, maxsplit=1)[0]
    if _STATUS_LINE_ALONE.fullmatch(status_line) is None:
        raise InvalidHead(f"status line {reprlib.repr(status_line)}")
    if _SWITCHING_PROTOCOLS.match(head):
        raise InvalidHead("protocol switched unasked")
