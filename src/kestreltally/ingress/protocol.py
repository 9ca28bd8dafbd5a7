"""aiohttp's server protocol: it takes one request at a time, and counts what it holds.

What a client sends ahead of an answer stays in the kernel but for one read. A head that
exceeds its limit is refused. Heads and bodies are counted as they come, and a request
for which there is no room is left to its handler to refuse.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.framing import read_length
from kestreltally.fleet.model import Seconds
from kestreltally.ingress.connections import Phase, Reason
from kestreltally.ingress.heads import is_whole, measure_head
from kestreltally.sockets import is_closed_by_peer

if TYPE_CHECKING:
    from kestreltally.ingress.server import IngressServer

LOG = logging.getLogger("kestreltally.ingress")

# The most bytes that one read brings, by what is expected. Small chunks take a hundred
# times as long to parse as their bytes, and are read in small pieces for that.
HEAD_READ_BYTES: Final = 2**12
BODY_READ_BYTES: Final = 2**14
CHUNKS_READ_BYTES: Final = 2**11
# Bytes of a body that are read ahead of the request's task before reading is paused.
READ_AHEAD_BYTES: Final = 2**14
# Bytes of answers that wait for a client before writing is paused.
WRITE_BUFFER_BYTES: Final = 2**15
# How long a refused body is read on, so that its client takes the refusal.
LINGERING_TIME: Final[Seconds] = 2.0
MAX_FIELDS: Final = 256
# What the objects of a field of a head take beside its bytes.
FIELD_BYTES: Final = 300
# What the objects of a request take while it is served.
REQUEST_BYTES: Final = 2**14
# A body exists twice while it is copied, and while an endpoint takes it.
BODY_COPIES: Final = 2
HEADER_TOO_LARGE: Final = 431

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class RequestEnded(Exception):
    """A request that is not complete was ended to make room for others."""


class IngressProtocol(RequestHandler):
    """One connection of a client.

    ``phase`` and ``phase_since`` are kept by its port's ``ConnectionLimiter``, ``held``
    by the budget. ``has_room`` is false if there is none for the present request: it
    must be refused. Reading a body raises ``RequestEnded`` if it gave way to others.
    """

    __slots__ = (
        "_ahead",
        "_head_bytes",
        "_is_chunked",
        "_is_refused",
        "_is_served",
        "_may_hold_more",
        "_payload",
        "_server",
        "_socket",
        "has_room",
        "held",
        "phase",
        "phase_since",
    )

    def __init__(
        self, server: "IngressServer", loop: asyncio.AbstractEventLoop, **options: Any
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            read_bufsize=READ_AHEAD_BYTES,
            lingering_time=LINGERING_TIME,
            **options,
        )
        # The parser stops after each request; this class feeds it the next one.
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_AHEAD_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._max_msg_queue_size = 2
        self._msg_queue_resume_size = 0
        self._server = server
        # aiohttp forgets a transport that it closes, although bytes may wait in it.
        self._socket: asyncio.Transport | None = None
        self.phase = Phase.OPENED
        self.phase_since: Seconds = 0.0
        self.held = 0
        # What has come of the next head, and of what was sent ahead of an answer.
        self._head_bytes = 0
        self._ahead = b""
        # The body of the present request, None between requests.
        self._payload: StreamReader | None = None
        # Whether the present request's answer is complete.
        self._is_served = False
        self._is_refused = False
        self._is_chunked = False
        # Whether the parser may hold something that follows the present request.
        self._may_hold_more = False
        self.has_room = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or close it at once if there is no room for it."""
        super().connection_made(transport)
        assert self.transport is not None
        self._socket = self.transport
        self._set_read_size(HEAD_READ_BYTES)
        self._socket.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._server.admit(self):
            self._abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._server.forget(self)
        self._socket = None
        self._ahead = b""
        super().connection_lost(exc)

    def _set_read_size(self, size: int) -> None:
        # An attribute of asyncio's socket transports, 256 KiB by default.
        self.transport.max_size = size  # type: ignore[union-attr]

    @property
    def _is_serving(self) -> bool:
        """Return whether a complete request is being served."""
        payload = self._payload
        return payload is not None and not self._is_served and payload.is_eof()

    @property
    def _is_waiting(self) -> bool:
        """Return whether the next request has to wait: for an answer, or its client."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            return False
        return self._is_serving or self.writing_paused

    def data_received(self, data: bytes) -> None:
        """Parse what belongs to the present request, and keep what comes ahead."""
        if self._is_refused:
            return
        if not self._is_waiting:
            self._parse(data)
        elif data:
            self._ahead += data
            self._pause_reading_for_buffer()
            self._server.watch_paused(self)

    def pause_writing(self) -> None:
        """Record that the client has yet to take what was written."""
        super().pause_writing()
        self._server.record_unread(self)

    def resume_writing(self) -> None:
        """Take the next request: the client has taken enough of its answers."""
        super().resume_writing()
        self._server.record_taken(self)
        self._loop.call_soon(self._take_next)

    def _parse(self, data: bytes) -> None:
        before = self._request_count
        is_body = self._payload is not None and not self._payload.is_eof()
        super().data_received(data)
        if self._upgraded:
            self._decline_upgrade()
        if self._request_count != before and self._messages:
            self._begin_request(data)
        elif is_body:
            self._receive_body(len(data))
        elif data:
            self._receive_head(data)

    def _begin_request(self, data: bytes) -> None:
        """Take a request whose head is complete with some data."""
        message, payload = self._messages[-1]
        if isinstance(message, _ErrInfo):
            self._is_refused = True
            return
        limit = self._server.get_head_limit()
        if self._head_bytes + len(data) > limit and measure_head(message) > limit:
            del self._messages[-1]
            self._refuse_head(limit)
            return
        length = None if message.chunked else read_length(message) or 0
        self._may_hold_more = self._head_bytes > 0 or not is_whole(data, length)
        self._head_bytes = 0
        self._payload = payload
        self._is_served = False
        self._is_chunked = message.chunked
        if self.held:
            self._server.budget.release(self)
        cost = REQUEST_BYTES + 2 * FIELD_BYTES * len(message.raw_headers)
        # Nothing is held of a body that is longer than allowed.
        if length and length <= self._server.get_body_limit():
            cost += BODY_COPIES * length
        self.has_room = self._server.try_hold(self, cost)
        if payload.is_eof():
            self._server.move(self, Phase.SERVING)
            return
        self._set_read_size(CHUNKS_READ_BYTES if message.chunked else BODY_READ_BYTES)
        self._server.move(self, Phase.BODY)

    def _receive_body(self, received: int) -> None:
        """Count a part of a body, or record its end."""
        if self._is_serving:
            self._server.move(self, Phase.SERVING)
        elif not self._is_served:
            if self._is_chunked and self.has_room:
                self._hold_or_end(BODY_COPIES * received)
        elif self._payload is not None and self._payload.is_eof():
            # The last of a body whose request was refused.
            self._loop.call_soon(self._take_next)

    def _hold_or_end(self, size: int) -> None:
        if not self._server.try_hold(self, size):
            self.end(Reason.MEMORY)

    def _receive_head(self, data: bytes) -> None:
        """Count a part of a head that is not complete."""
        self._payload = None
        if not self._head_bytes:
            self._server.move(self, Phase.HEAD)
        self._head_bytes += len(data)
        limit = self._server.get_head_limit()
        if self._head_bytes > limit:
            self._refuse_head(limit)
            return
        self._hold_or_end(2 * len(data) + FIELD_BYTES * data.count(b"\n"))

    def _refuse_head(self, limit: int) -> None:
        """Answer a head that exceeds its limit, and take nothing more."""
        self._is_refused = True
        message = f"request head longer than {limit} bytes"
        error = _ErrInfo(HEADER_TOO_LARGE, LineTooLong(b"", limit), message)
        self._messages.append((error, EMPTY_PAYLOAD))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Handler,
    ) -> tuple[web.StreamResponse, bool]:
        """Serve a request; then take what was sent ahead of its answer."""
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._end_request()

    def _decline_upgrade(self) -> None:
        """Take what follows a request to upgrade for the next request."""
        if self._parser is None:
            return
        self._parser.set_upgraded(False)
        self._upgraded = False
        self._ahead = self._message_tail + self._ahead
        self._message_tail = b""

    def _end_request(self) -> None:
        self._server.budget.release(self)
        self._is_served = True
        if self._is_refused:
            # aiohttp closes the connection: nothing of the request is read on.
            self._lingering_time = 0.0
            return
        self._server.move(self, Phase.IDLE)
        if self.transport is not None:
            self._set_read_size(HEAD_READ_BYTES)
            self._take_next()

    def _take_next(self) -> None:
        """Parse what came while a request was served."""
        if self.transport is None or self._force_close or self._is_waiting:
            return
        if self._payload is not None and not self._payload.is_eof():
            # The rest of the present body comes first.
            return
        self._payload = None
        if self._may_hold_more:
            # Whole requests may have come together with the last one.
            self._parse(b"")
        if self._ahead and not self._is_waiting:
            ahead, self._ahead = self._ahead, b""
            self._parse(ahead)
        self._resume_reading_if_drained()

    def _resume_reading_if_drained(self) -> None:
        """Read on, unless what was sent ahead still waits."""
        if not self._buffer_paused or (self._is_waiting and self._ahead):
            return
        if len(self._messages) >= self._max_msg_queue_size:
            return
        self._resume_reading_for_buffer()

    def end(self, reason: Reason) -> None:
        """Refuse a request that is not complete, or close the connection."""
        log_decision(
            LOG,
            Decision.CONNECTION_ENDED,
            reason=reason.value,
            phase=self.phase.name.lower(),
            held=self.held,
        )
        payload = self._payload
        if self.phase is Phase.BODY and payload is not None and not self._is_served:
            self._is_refused = True
            payload.set_exception(RequestEnded(reason.value))
        else:
            self._abort()

    def _abort(self) -> None:
        """Close at once, dropping what is not sent."""
        self._is_refused = True
        if self._socket is not None:
            self._socket.abort()

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed but for bytes yet to be sent."""
        return self._socket is not None and self._socket.is_closing()

    @property
    def has_client_left(self) -> bool:
        """Return whether the client has closed its side; asked while reading pauses."""
        return self._socket is not None and is_closed_by_peer(self._socket)

    @property
    def is_paused(self) -> bool:
        """Return whether nothing is read, so that an end does not show."""
        return self._buffer_paused

    def _make_error_handler(self, err_info: _ErrInfo) -> Handler:
        """Return the handler for what is no request."""

        async def refuse(_: web.BaseRequest) -> web.StreamResponse:
            log_decision(
                LOG,
                Decision.REQUEST_INVALID,
                status=err_info.status,
                reason=err_info.message,
            )
            response = web.Response(status=err_info.status, text=err_info.message)
            response.force_close()
            return response

        return refuse


def has_room(request: web.BaseRequest) -> bool:
    """Return whether there is room for a request; if not, it must be refused."""
    connection = request.protocol
    return not isinstance(connection, IngressProtocol) or connection.has_room
