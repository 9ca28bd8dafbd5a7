"""aiohttp's client protocol: it passes on only heads that are answers in HTTP.

It also bounds what it receives, holds reading, and reports received bytes.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final

from aiohttp import ClientError, ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from multidict import MultiMapping

from kestreltally.entry.answer_head import (
    HEAD_END,
    MAX_HEAD_END_BYTES,
    InvalidHead,
    check_head,
)
from kestreltally.entry.framing import read_length
from kestreltally.sockets import bound_kernel_unsent

# The maximum number of bytes that are received at once, so that an answer whose source
# is paused in time never holds much more.
RECEIVE_BYTES: Final = 2**14
MIN_FINAL_STATUS: Final = 200
# So many bytes of an exchange may be no part of a body: heads, sizes of chunks, and
# what is no answer. Small chunks may add as many again as their bodies have.
MAX_OVERHEAD_BYTES: Final = 2**16
# Interim heads before a final one. Each takes as long to parse as any other head, so
# that many would keep this process from its other connections.
MAX_INTERIM_HEADS: Final = 32
# Lines of the chunks of answers to other requests, each of which is parsed apart. A
# stream that comes again has some hundred.
MAX_OTHER_LINES: Final = 2_048


class _Phase(Enum):
    """What the next received bytes belong to."""

    HEAD = "head"
    # The rest of a head that was found to be an answer's.
    CHECKED_HEAD = "checked head"
    # An answer to another request.
    OTHER_BODY = "body of another answer"
    # The answer that is awaited, and whatever follows it.
    BODY = "body"


def ignore_received(_: "ChannelProtocol", __: int) -> None:
    """Ignore received bytes: nothing bounds what is held."""


def await_any(_: MultiMapping[str]) -> bool:
    """Take any answer for the one that is awaited."""
    return True


class ChannelProtocol(ResponseHandler):
    """aiohttp's protocol, but only the endpoint's close completes an undelimited body.

    A reset does not, nor does a close by this daemon.

    ``held`` is true while no more may be received, ``was_held`` until the reader resets
    it. ``lost_at`` is the time at which the connection was closed.

    An endpoint that is in trouble may send bytes without end that are no part of an
    answer's body; the connection is closed once they are too many. What follows a
    complete answer does not affect it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        record_received: Callable[["ChannelProtocol", int], None] = ignore_received,
    ) -> None:
        super().__init__(loop)
        self._record_received = record_received
        self.held = False
        self.was_held = False
        self.lost_at: float | None = None
        # Called when bytes arrive.
        self.notify_answered: Callable[[], None] = lambda: None
        # Of the present exchange: bytes received, those of former bodies, the body that
        # is being received, bytes left of another answer's if known, and what has come
        # of a head.
        self._received = 0
        self._former_body_bytes = 0
        self._interim_heads = 0
        self._other_lines = 0
        self._body: StreamReader | None = None
        self._unparsed_body: int | None = None
        self._head = bytearray()
        self._phase = _Phase.BODY
        self._is_awaited: Callable[[MultiMapping[str]], bool] = await_any

    def start_exchange(
        self, is_awaited: Callable[[MultiMapping[str]], bool] = await_any
    ) -> None:
        """Await an answer to a request that is about to be sent.

        ``is_awaited`` returns whether an answer with some headers is that answer.
        """
        self._received = self._former_body_bytes = 0
        self._interim_heads = self._other_lines = 0
        self._body = None
        self._head.clear()
        self._phase = _Phase.HEAD
        self._is_awaited = is_awaited

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is received at once if received bytes are counted."""
        super().connection_made(transport)
        if self._record_received is not ignore_received:
            # An attribute of asyncio's socket transports, 256 KiB by default.
            transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]
            if isinstance(transport, asyncio.WriteTransport):
                bound_kernel_unsent(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report any other end as the failure of a body that was not complete."""
        self.lost_at = self._loop.time()
        if exc is not None:
            self._fail_body()
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; a body that is not complete stays so."""
        self._fail_body()
        super().close()

    def abort(self) -> None:
        """Close at once, dropping unsent bytes; as ``close``."""
        self._fail_body()
        super().abort()

    def _fail_body(self) -> None:
        """Fail a body that is not complete, so that it never reaches its end.

        The parser is dropped: as the connection ends, it would complete a body without
        length and chunks, and a reader that does not wait would see only that.
        """
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                ClientPayloadError("connection closed before the end of the body")
            )
            self._parser = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes after reporting their number."""
        if data:
            self.notify_answered()
            self._record_received(self, len(data))
        self._received += len(data)
        self._parse(data)
        if self.exception() is not None:
            # The parser forgets a body in which it finds garbage.
            self._fail_body()
        self._check_overhead()

    def _parse(self, data: bytes) -> None:
        """Parse heads apart from what follows them.

        A parser that finds garbage reports nothing of the bytes given with it, so that
        a complete answer before the garbage would be lost.
        """
        while data and self._phase is not _Phase.BODY:
            if self._phase is _Phase.OTHER_BODY:
                data = self._parse_other_body(data)
            else:
                data = self._parse_head(data)
            if not data or self.exception() is not None:
                return
        super().data_received(data)

    def _parse_head(self, data: bytes) -> bytes:
        """Parse the next part of a head; return what follows the head."""
        if self._interim_heads > MAX_INTERIM_HEADS:
            self._give_up(
                ClientPayloadError(f"more than {MAX_INTERIM_HEADS} interim heads")
            )
            return b""
        known = len(self._head)
        self._head += data
        found = HEAD_END.search(self._head, max(0, known - MAX_HEAD_END_BYTES + 1))
        if found is None:
            super().data_received(data)
            return b""
        end = found.end() - known
        try:
            check_head(bytes(self._head[: found.end()]))
        except InvalidHead as error:
            self._give_up(error)
            return b""
        self._head.clear()
        self._phase = _Phase.CHECKED_HEAD
        super().data_received(data[:end])
        if self._phase is _Phase.CHECKED_HEAD and self.exception() is None:
            self._give_up(InvalidHead("head that the parser finds incomplete"))
        return data[end:]

    def _parse_other_body(self, data: bytes) -> bytes:
        """Parse the next part of a body that nobody waits for; return what follows.

        It ends before the head behind it, so that this is checked too.
        """
        body = self._body
        assert body is not None
        if body.is_eof() or self._unparsed_body == 0:
            self._phase = _Phase.HEAD
            return data
        if self._unparsed_body is not None:
            end = min(self._unparsed_body, len(data))
            self._unparsed_body -= end
        else:
            # Chunks end with a line.
            end = data.find(b"\n") + 1 or len(data)
            self._other_lines += 1
        if self._other_lines > MAX_OTHER_LINES:
            self._give_up(
                ClientPayloadError(f"more than {MAX_OTHER_LINES} lines of chunks")
            )
            return b""
        super().data_received(data[:end])
        return data[end:]

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take over an answer's head, and the body that begins with it."""
        message, body = data
        if self._phase is _Phase.BODY:
            # It follows the answer that was awaited, and belongs to no request.
            self.force_close()
            return
        if self._phase is not _Phase.CHECKED_HEAD:
            self._give_up(InvalidHead("head that was not found to be one"))
            return
        if self._body is not None:
            self._former_body_bytes += self._body.total_bytes
        self._body = body
        if message.code < MIN_FINAL_STATUS:
            self._interim_heads += 1
            self._phase = _Phase.HEAD
        elif self._is_awaited(message.headers):
            self._phase = _Phase.BODY
        else:
            self._unparsed_body = read_length(message)
            self._phase = _Phase.OTHER_BODY
        super().feed_data(data, size)

    def _check_overhead(self) -> None:
        """Close the connection if too many bytes are no part of a body."""
        body_bytes = self._former_body_bytes
        if self._body is not None:
            body_bytes += self._body.total_bytes
        overhead = self._received - body_bytes
        limit = MAX_OVERHEAD_BYTES + body_bytes
        if overhead > limit:
            self._give_up(
                ClientPayloadError(
                    f"{overhead} bytes are no part of a body, limit {limit} bytes"
                )
            )

    def _give_up(self, error: ClientError) -> None:
        """Close the connection, and fail the present exchange."""
        self.abort()
        # Closing forgets an earlier one.
        self.set_exception(error)

    def set_held(self, held: bool) -> None:
        """Stop receiving, or resume unless aiohttp itself has stopped it."""
        if held == self.held:
            return
        self.held = held
        if held:
            self.was_held = True
            self._pause_transport_reading()
        elif not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.held:
            super()._resume_transport_reading()
