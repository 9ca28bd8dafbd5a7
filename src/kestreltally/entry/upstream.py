"""HTTP connections to endpoints (channels), pooled and used for one request at a time.

The parser and the protocol are aiohttp's. Its client session is not used, because this
module has to decide itself what may be sent again, which pooled connection may carry a
request that must not run twice, and when a connection with surplus bytes is dropped.
"""

import asyncio
import math
import re
import socket
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from aiohttp import StreamReader
from aiohttp.client_exceptions import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from multidict import MultiMapping

from kestreltally.entry.channel_protocol import ChannelProtocol
from kestreltally.entry.holdings import Holdings
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.notices import NoticeTable
from kestreltally.fleet.rate_limits import NEVER
from kestreltally.platform.headers import (
    is_genuine,
    list_unrecognised,
    read_answer_id,
    read_instance,
    read_notice,
)
from kestreltally.sockets import harden_socket

# Round trips take 0.5 ms to a few ms; a lost SYN packet is sent again only after 1 s.
CONNECT_TIMEOUT: Final[Seconds] = 0.7
# An idle channel is no longer used this long before its endpoint would close it.
KEEP_ALIVE_MARGIN: Final[Seconds] = 0.8
# How long an idle channel is kept if the endpoint names no keep-alive time.
DEFAULT_IDLE_TIMEOUT: Final[Seconds] = 4.0
MAX_IDLE_TIMEOUT: Final[Seconds] = 10.0
READ_BUFFER_BYTES: Final = 2**16
MAX_HEAD_BYTES: Final = 32_768
# Number of answers to other requests that are skipped before a channel is given up.
MAX_SURPLUS_ANSWERS: Final = 3
_KEEP_ALIVE: Final = re.compile(r"timeout=(\d+)")


class NotConnected(Exception):
    """No channel could be opened, and nothing was sent.

    ``refused`` is true if the connection was refused: nothing listens at the address.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class AnswerLost(Exception):
    """The channel failed after the request was sent; the request may have run."""


class AnswerTruncated(Exception):
    """The body of an answer was truncated."""


@dataclass(slots=True)
class Answer:
    """An endpoint's answer: status and headers, and the body still to be read.

    ``taken`` counts the bytes of the body that were read, ``buffered`` those of them
    that are kept until the whole body has arrived. ``share`` is the number of bytes
    that may be held of the answer.
    """

    status: int
    reason: str
    headers: MultiMapping[str]
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: StreamReader
    protocol: ChannelProtocol
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


class Channel:
    """One connection to one incarnation of an endpoint.

    All messages of an endpoint pass through it: answers to forward, refusals, reports,
    answers to orders, and late answers that no request waits for any more.
    """

    def __init__(
        self, protocol: ChannelProtocol, endpoint: Endpoint, notices: NoticeTable
    ) -> None:
        self._protocol = protocol
        self._endpoint = endpoint
        self._notices = notices
        self._loop = asyncio.get_running_loop()
        self.usable_until = self._loop.time() + DEFAULT_IDLE_TIMEOUT

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port of the endpoint."""
        return self._endpoint.host, self._endpoint.port

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Set the endpoint's current record, to which notices are applied."""
        self._endpoint = endpoint

    @property
    def reusable(self) -> bool:
        """Return whether the channel is open and no surplus bytes have arrived."""
        return self._protocol.is_connected() and not self._protocol.should_close

    async def send(self, head: bytes, body: bytes, request_id: str | None) -> Answer:
        """Send a request and return the head of its answer.

        A faulty endpoint may send a second answer to an earlier request. Such answers
        are skipped, and the channel is not kept. Without a ``request_id`` any answer is
        accepted. Raises ``Unavailable`` if nothing was sent, and ``AnswerLost`` once
        any byte may have been sent.
        """
        protocol = self._protocol
        transport = protocol.transport
        if transport is None:
            raise AnswerLost("channel closed before the request was sent")
        protocol.set_response_params(
            skip_payload=head.startswith(b"HEAD "),
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        sent_at = self._loop.time()
        trial = self._notices.start_send(self._endpoint, sent_at)
        transport.write(head + body if body else head)
        try:
            answer = await self._read_head()
            for _ in range(MAX_SURPLUS_ANSWERS):
                matches = request_id in (None, read_answer_id(answer.headers))
                # An answer to an earlier request may be of any age.
                asked_at = sent_at if matches else NEVER
                self._apply_notice(
                    answer, asked_at, from_request=request_id is not None
                )
                if matches:
                    return answer
                protocol.force_close()
                await answer.body.read()
                answer = await self._read_head()
        except (ClientError, OSError, HttpProcessingError) as error:
            raise AnswerLost(repr(error)) from error
        finally:
            if trial:
                self._notices.end_trial(self._endpoint)
        raise AnswerLost(
            f"the first {MAX_SURPLUS_ANSWERS} answers were to other requests"
        )

    async def _read_head(self) -> Answer:
        message, payload = await self._protocol.read()
        while 100 <= message.code < 200:
            message, payload = await self._protocol.read()
        return Answer(
            status=message.code,
            reason=message.reason or "",
            headers=message.headers,
            raw_headers=message.raw_headers,
            body=payload,
            protocol=self._protocol,
        )

    def _apply_notice(
        self, answer: Answer, sent_at: Seconds, *, from_request: bool
    ) -> None:
        """Apply the notice that an answer contains about its endpoint.

        Answers of another endpoint at the same address, and those that are not genuine,
        are ignored. Only answers to ``from_request`` requests can be checked for being
        genuine.
        """
        instance = read_instance(answer.headers)
        if instance and instance != self._endpoint.id:
            return
        if from_request and not is_genuine(answer.status, answer.headers):
            return
        self._notices.unknown_signals.record(
            list_unrecognised(answer.status, answer.headers)
        )
        notice = read_notice(answer.status, answer.headers)
        self._notices.record(
            self._endpoint,
            notice,
            self._loop.time(),
            sent_at,
            from_request=from_request,
        )

    def apply_keep_alive(self, answer: Answer, now: Seconds) -> None:
        """Apply the idle time after which the endpoint closes the channel."""
        match = _KEEP_ALIVE.search(answer.headers.get("Keep-Alive", ""))
        timeout = float(match[1]) - KEEP_ALIVE_MARGIN if match else DEFAULT_IDLE_TIMEOUT
        self.usable_until = now + min(timeout, MAX_IDLE_TIMEOUT)

    def abort(self) -> None:
        """Close at once, dropping unsent bytes."""
        self._protocol.abort()

    @property
    def unsent(self) -> int:
        """Return the number of bytes of the request that the endpoint has not taken."""
        transport = self._protocol.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def resume(self) -> None:
        """Receive again, whether or not the last answer was paused."""
        self._protocol.set_held(False)

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        self._protocol.close()


class ChannelPool:
    """Pooled channels by address; the most recently used is reused first."""

    def __init__(self, notices: NoticeTable, holdings: Holdings | None = None) -> None:
        self._notices = notices
        self._holdings = holdings
        self._idle: dict[tuple[str, int], deque[Channel]] = defaultdict(deque)
        self.opened = 0
        self.used = 0

    async def acquire(self, endpoint: Endpoint) -> Channel:
        """Return a pooled channel or a new one; raises ``NotConnected``."""
        self.used += 1
        address = (endpoint.host, endpoint.port)
        loop = asyncio.get_running_loop()
        channel = self._pop_idle(address, loop.time())
        if channel is not None:
            channel.set_endpoint(endpoint)
        else:
            channel = await self._connect(endpoint)
        if self._holdings is not None:
            self._holdings.start_sending(channel)
        return channel

    def _pop_idle(self, address: tuple[str, int], now: Seconds) -> Channel | None:
        idle = self._idle[address]
        while idle:
            channel = idle.pop()
            if channel.reusable and now < channel.usable_until:
                return channel
            channel.close()
        return None

    async def _connect(self, endpoint: Endpoint) -> Channel:
        host, port = endpoint.host, endpoint.port
        loop = asyncio.get_running_loop()
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        try:
            harden_socket(connection)
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.sock_connect(connection, (host, port))
            _, protocol = await loop.create_connection(
                lambda: self._make_protocol(loop), sock=connection
            )
        except (OSError, TimeoutError) as error:
            connection.close()
            refused = isinstance(error, ConnectionRefusedError)
            raise NotConnected(f"{host}:{port}: {error!r}", refused=refused) from error
        except BaseException:
            connection.close()
            raise
        self.opened += 1
        return Channel(protocol, endpoint, self._notices)

    def _make_protocol(self, loop: asyncio.AbstractEventLoop) -> ChannelProtocol:
        if self._holdings is None:
            return ChannelProtocol(loop)
        return ChannelProtocol(loop, self._holdings.record_received)

    def release(self, channel: Channel, *, keep: bool) -> None:
        """Return a channel to the pool; one that is not kept is closed at once."""
        channel.resume()
        if self._holdings is not None:
            self._holdings.end_sending(channel)
        if keep and channel.reusable:
            self._idle[channel.address].append(channel)
        else:
            channel.abort()

    def close_expired(self, now: Seconds) -> None:
        """Close pooled channels whose idle time is over."""
        for address, idle in list(self._idle.items()):
            kept = deque(c for c in idle if c.reusable and now < c.usable_until)
            for channel in idle:
                if channel not in kept:
                    channel.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all pooled channels."""
        for idle in self._idle.values():
            for channel in idle:
                channel.close()
        self._idle.clear()


def encode_head(method: str, path: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the bytes of a request's head; the path is sent unchanged."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode("utf-8", "surrogateescape")
