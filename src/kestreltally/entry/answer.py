"""An endpoint's answer as it is received, and what may come in its place."""

import math
import re
from dataclasses import dataclass
from typing import Final

from aiohttp import StreamReader
from aiohttp.client_exceptions import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from multidict import MultiMapping

from kestreltally.entry.channel_protocol import ChannelProtocol
from kestreltally.fleet.model import Seconds

_KEEP_ALIVE: Final = re.compile(r"timeout=(\d+)")


class AnswerLost(Exception):
    """The channel failed after the request was sent; the request may have run."""


class ChannelClosed(AnswerLost):
    """The channel was closed before anything of the request was sent."""


class AnswerInvalid(AnswerLost):
    """What came in the place of an answer is none; the request may have run."""


class AnswerTruncated(Exception):
    """The body of an answer was truncated."""


@dataclass(slots=True)
class Answer:
    """An endpoint's answer: status and headers, and the body still to be read.

    ``taken`` counts the bytes of the body that were read, ``buffered`` those of them
    that are kept until the whole body has arrived. ``share`` is the number of bytes
    that may be held of the answer. ``delimited`` is false if the answer has neither a
    length nor chunks, and ends with its connection.
    """

    status: int
    reason: str
    headers: MultiMapping[str]
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: StreamReader
    protocol: ChannelProtocol
    delimited: bool = True
    taken: int = 0
    buffered: int = 0
    share: float = math.inf
    _buffering: bool = False

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes received and not yet written to the client."""
        return self.body.total_bytes - self.taken + self.buffered

    def apply_share(self, share: int, *, paused: bool) -> None:
        """Set how many bytes may be held, and whether to stop receiving more.

        A body that is being buffered is not paused, because its client could not take
        any of it; buffering ends instead.
        """
        self.share = share
        self.protocol.set_held(paused and not self._buffering)

    async def read_all(self, limit: int) -> bytes | None:
        """Return the body, None if it exceeds a limit; raises ``AnswerTruncated``.

        The bytes read of a body over the limit are put back for ``read_some``.
        """
        content = bytearray()
        self._buffering = True
        try:
            while not self.body.at_eof():
                content += await self.read_some()
                self.buffered = len(content)
                if len(content) > min(limit, self.share):
                    self.body.unread_data(bytes(content))
                    self.taken -= len(content)
                    self.buffered = 0
                    return None
        finally:
            self._buffering = False
        return bytes(content)

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        try:
            content = await self.body.readany()
        except (ClientError, OSError, HttpProcessingError) as error:
            raise AnswerTruncated(str(error)) from error
        self.taken += len(content)
        return content


def read_idle_time(answer: Answer) -> Seconds | None:
    """Return after which idle time an endpoint says that it closes the channel."""
    match = _KEEP_ALIVE.search(answer.headers.get("Keep-Alive", ""))
    return float(match[1]) if match else None
