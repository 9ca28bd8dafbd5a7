"""aiohttp's client protocol, with holds on reading and a report of received bytes."""

import asyncio
from collections.abc import Callable
from typing import Final

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from kestreltally.sockets import bound_kernel_unsent

# The maximum number of bytes that are received at once, so that an answer whose source
# is paused in time never holds much more.
RECEIVE_BYTES: Final = 2**14


def ignore_received(_: "ChannelProtocol", __: int) -> None:
    """Ignore received bytes: nothing bounds what is held."""


class ChannelProtocol(ResponseHandler):
    """aiohttp's protocol, but only the endpoint's close completes an undelimited body.

    A reset does not, nor does a close by this daemon.

    ``held`` is true while no more may be received, ``was_held`` until the reader resets
    it. ``lost_at`` is the time at which the connection was closed.
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
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                ClientPayloadError("connection closed before the end of the body")
            )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes after reporting their number."""
        if data:
            self.notify_answered()
            self._record_received(self, len(data))
        super().data_received(data)

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
