"""aiohttp's client protocol, with holds on reading and a report of received bytes."""

import asyncio
from collections.abc import Callable
from typing import Final

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage

from kestreltally.sockets import bound_kernel_unsent

# The maximum number of bytes that are received at once, so that an answer whose source
# is paused in time never holds much more.
RECEIVE_BYTES: Final = 2**14
HEAD_END: Final = b"\r\n\r\n"
MIN_FINAL_STATUS: Final = 200
# So many bytes of an exchange may be no part of a body: heads, sizes of chunks, and
# what is no answer. Small chunks may add as many again as their bodies have.
MAX_OVERHEAD_BYTES: Final = 2**16
# Interim heads before a final one. Each takes as long to parse as any other head, so
# that many would keep this process from its other connections.
MAX_INTERIM_HEADS: Final = 32


def ignore_received(_: "ChannelProtocol", __: int) -> None:
    """Ignore received bytes: nothing bounds what is held."""


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
        self._closed_by_endpoint = False
        # Of the present exchange: bytes received, those of former bodies, the body that
        # is being received, and the last bytes while a final head is awaited.
        self._received = 0
        self._former_body_bytes = 0
        self._interim_heads = 0
        self._body: StreamReader | None = None
        self._end_of_last = b""
        self._has_final_head = True

    def start_exchange(self) -> None:
        """Await an answer to a request that is about to be sent."""
        self._received = self._former_body_bytes = 0
        self._interim_heads = 0
        self._body = None
        self._end_of_last = b""
        self._has_final_head = False

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
        while data and not self._has_final_head:
            if self._interim_heads > MAX_INTERIM_HEADS:
                self._give_up(f"more than {MAX_INTERIM_HEADS} interim heads")
                return
            overlap = self._end_of_last
            found = (overlap + data).find(HEAD_END)
            if found < 0:
                self._end_of_last = (overlap + data)[1 - len(HEAD_END) :]
                break
            self._end_of_last = b""
            end = found + len(HEAD_END) - len(overlap)
            super().data_received(data[:end])
            data = data[end:]
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take over an answer's head, and the body that begins with it."""
        message, body = data
        if self._body is not None:
            self._former_body_bytes += self._body.total_bytes
        self._body = body
        self._has_final_head = message.code >= MIN_FINAL_STATUS
        self._interim_heads += not self._has_final_head
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
                f"{overhead} bytes are no part of a body, limit {limit} bytes"
            )

    def _give_up(self, reason: str) -> None:
        """Fail the present exchange, and close the connection."""
        self.set_exception(ClientPayloadError(reason))
        self.abort()

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
