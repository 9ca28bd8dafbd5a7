"""Opens channels to endpoints, and keeps idle ones for the next request."""

import asyncio
import socket
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from typing import Final

from kestreltally.entry.answer import Answer as Answer
from kestreltally.entry.answer import AnswerInvalid as AnswerInvalid
from kestreltally.entry.answer import AnswerLost as AnswerLost
from kestreltally.entry.answer import AnswerTruncated as AnswerTruncated
from kestreltally.entry.answer import ChannelClosed as ChannelClosed
from kestreltally.entry.answer_end import ConnectionOutcome
from kestreltally.entry.channel import Channel as Channel
from kestreltally.entry.channel_protocol import ChannelProtocol
from kestreltally.entry.channel_rules import ChannelRules
from kestreltally.entry.channels import WAIT_FOR_CHANNEL
from kestreltally.entry.holdings import Holdings
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.notices import NoticeTable
from kestreltally.reach.contact import Contact
from kestreltally.sockets import harden_socket

# Round trips take 0.5 ms to a few ms; a lost SYN packet is sent again only after 1 s.
CONNECT_TIMEOUT: Final[Seconds] = 0.7

# As above, for a connection that only shows whether an endpoint lives on. It is tried
# again if nothing answers, as the endpoint may be silent for a moment.
TRY_CONNECT_TIMEOUT: Final[Seconds] = 0.2

Address = tuple[str, int]


class NotConnected(Exception):
    """No channel could be opened, and nothing was sent.

    ``refused`` is true if the connection was refused: nothing listens at the address.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class ChannelPool:
    """Pooled channels by address; the most recently used is reused first.

    Without ``rules`` any number is opened, and idle ones are kept for a fixed time.
    """

    def __init__(
        self,
        notices: NoticeTable,
        holdings: Holdings | None = None,
        rules: ChannelRules | None = None,
        contact: Contact | None = None,
    ) -> None:
        self.contact = contact or Contact()
        self._notices = notices
        self._holdings = holdings
        self._rules = rules
        self._idle: dict[Address, deque[Channel]] = defaultdict(deque)
        self._open: Counter[Address] = Counter()
        self._waiters: dict[Address, deque[asyncio.Future[None]]] = defaultdict(deque)
        self.opened = 0
        self.used = 0
        self.waits = 0

    @property
    def open_count(self) -> int:
        """Return the number of open channels, idle or in use."""
        return self._open.total()

    @property
    def idle_count(self) -> int:
        """Return the number of idle channels."""
        return sum(len(each) for each in self._idle.values())

    async def acquire(self, endpoint: Endpoint, request_id: str = "") -> Channel:
        """Return a pooled channel or a new one; raises ``NotConnected``.

        The request has not been sent over it before.
        """
        self.used += 1
        address = (endpoint.host, endpoint.port)
        channel = self._pop_idle(address, request_id) or await self._wait_for_idle(
            endpoint, request_id
        )
        if channel is not None:
            channel.set_endpoint(endpoint)
        else:
            channel = await self._open_channel(endpoint)
        if self._holdings is not None:
            self._holdings.start_sending(channel)
        return channel

    async def try_connect(self, endpoint: Endpoint) -> ConnectionOutcome:
        """Return whether an endpoint accepts a connection now.

        The channel opened is kept for a request.
        """
        try:
            async with asyncio.timeout(TRY_CONNECT_TIMEOUT):
                channel = await self._open_channel(endpoint)
        except NotConnected as error:
            if error.refused:
                return ConnectionOutcome.REFUSED
            return ConnectionOutcome.UNANSWERED
        except TimeoutError:
            return ConnectionOutcome.UNANSWERED
        self._keep(channel)
        self._wake_waiter(channel.address)
        return ConnectionOutcome.ACCEPTED

    async def open(self, endpoint: Endpoint) -> Channel:
        """Return a new channel, which the caller releases; raises ``NotConnected``."""
        channel = await self._open_channel(endpoint)
        if self._holdings is not None:
            self._holdings.start_sending(channel)
        return channel

    def has_idle(self, endpoint: Endpoint) -> bool:
        """Return whether an idle channel to an endpoint may be used now."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get((endpoint.host, endpoint.port), ())
        return any(each.reusable and now < each.usable_until for each in idle)

    def _pop_idle(self, address: Address, request_id: str) -> Channel | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle[address]
        kept_open = []
        found = None
        while idle and found is None:
            channel = idle.pop()
            is_usable = channel.reusable and now < channel.usable_until
            if is_usable and not channel.has_sent(request_id):
                found = channel
            elif channel.reusable and now < channel.open_until:
                kept_open.append(channel)
            else:
                self._close(channel, now)
        idle.extend(reversed(kept_open))
        return found

    async def _wait_for_idle(
        self, endpoint: Endpoint, request_id: str
    ) -> Channel | None:
        """Wait briefly for a channel in use if this daemon's share is open."""
        address = (endpoint.host, endpoint.port)
        share = self._rules.get_share(endpoint) if self._rules is not None else None
        if share is None or self._open[address] < share.open:
            return None
        self.waits += 1
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[address].append(waiter)
        try:
            async with asyncio.timeout(WAIT_FOR_CHANNEL):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._remove_waiter(address, waiter)
        return self._pop_idle(address, request_id)

    def _remove_waiter(self, address: Address, waiter: asyncio.Future[None]) -> None:
        waiters = self._waiters[address]
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            del self._waiters[address]

    def _wake_waiter(self, address: Address) -> None:
        waiters = self._waiters.get(address)
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def _open_channel(self, endpoint: Endpoint) -> Channel:
        address = (endpoint.host, endpoint.port)
        self._open[address] += 1
        try:
            return await self._connect(endpoint)
        except BaseException:
            self._count_closed(address)
            raise

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
            self.contact.record_not_opened()
            refused = isinstance(error, ConnectionRefusedError)
            raise NotConnected(f"{host}:{port}: {error!r}", refused=refused) from error
        except BaseException:
            connection.close()
            raise
        self.opened += 1
        self.contact.record_opened()
        return Channel(protocol, endpoint, self._notices)

    def _make_protocol(self, loop: asyncio.AbstractEventLoop) -> ChannelProtocol:
        if self._holdings is None:
            protocol = ChannelProtocol(loop)
        else:
            protocol = ChannelProtocol(loop, self._holdings.record_received)
        protocol.notify_answered = self.contact.record_answered
        return protocol

    def release(self, channel: Channel, *, keep: bool) -> None:
        """Return a channel to the pool; one that is not kept is closed at once.

        With rules, a channel is kept too if its endpoint gave a complete error answer.
        """
        channel.resume()
        if self._holdings is not None:
            self._holdings.end_sending(channel)
        if self._rules is not None:
            keep = keep or channel.has_whole_failure
        address = channel.address
        if keep and channel.reusable:
            self._keep(channel)
        else:
            channel.abort()
            self._count_closed(address)
        self._wake_waiter(address)

    def _keep(self, channel: Channel) -> None:
        idle = self._idle[channel.address]
        idle.append(channel)
        if self._rules is None:
            return
        now = asyncio.get_running_loop().time()
        channel.start_idle(self._rules, now)
        share = self._rules.get_share(channel.endpoint)
        while share is not None and len(idle) > share.idle:
            self._close(idle.popleft(), now)

    def _close(self, channel: Channel, now: Seconds) -> None:
        if self._rules is not None:
            channel.record_end(self._rules, now)
        channel.close()
        self._count_closed(channel.address)

    def _count_closed(self, address: Address) -> None:
        self._open[address] -= 1
        if self._open[address] <= 0:
            del self._open[address]

    def close_expired(self, now: Seconds) -> None:
        """Close pooled channels whose idle time is over."""
        for address, idle in list(self._idle.items()):
            kept = deque(c for c in idle if c.reusable and now < c.open_until)
            for channel in idle:
                if channel not in kept:
                    self._close(channel, now)
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
