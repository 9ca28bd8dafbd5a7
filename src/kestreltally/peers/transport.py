"""Thrift transport over TCP for messages between daemons.

Each peer has one connection with a bounded queue. When a peer does not accept
messages, the oldest are dropped, as a network would do; the senders' retries
compensate for that.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.contrib.aio.protocol import TAsyncBinaryProtocolFactory
from thriftpy2.contrib.aio.rpc import make_client
from thriftpy2.contrib.aio.server import TAsyncServer
from thriftpy2.contrib.aio.socket import TAsyncServerSocket
from thriftpy2.contrib.aio.transport import TAsyncBufferedTransportFactory
from thriftpy2.thrift import TException

from kestreltally.entities.ids import Seconds
from kestreltally.peers.codec import (
    IDL,
    MalformedEnvelope,
    read_envelope,
    write_envelope,
)
from kestreltally.peers.messages import Envelope, PeerMessage

LOG = logging.getLogger("kestreltally.peers")
QUEUE_LIMIT: Final = 2_048
BATCH_LIMIT: Final = 256
CONNECT_TIMEOUT_MS: Final = 500
CALL_TIMEOUT: Final[Seconds] = 1.0
IDLE_TIMEOUT: Final[Seconds] = 30.0
RETRY_DELAY: Final[Seconds] = 0.2


class _PeerConnection:
    """The connection to one peer and its queue of outgoing messages."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._queue: deque[Envelope] = deque(maxlen=QUEUE_LIMIT)
        self._wake = asyncio.Event()
        self._client: TAsyncClient | None = None

    def put(self, envelope: Envelope) -> None:
        self._queue.append(envelope)
        self._wake.set()

    async def run(self) -> None:
        """Send queued messages until the connection is idle for ``IDLE_TIMEOUT``."""
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), IDLE_TIMEOUT)
            except TimeoutError:
                return
            finally:
                self._wake.clear()
            while self._queue:
                await self._send_batch()

    async def _send_batch(self) -> None:
        first = self._queue.popleft()
        messages: list[PeerMessage] = list(first.messages)
        while self._queue and len(messages) < BATCH_LIMIT:
            messages.extend(self._queue.popleft().messages)
        joined = Envelope(
            sender=first.sender,
            incarnation=first.incarnation,
            stamp=first.stamp,
            messages=tuple(messages),
        )
        try:
            client = await self._connect()
            await asyncio.wait_for(client.deliver(write_envelope(joined)), CALL_TIMEOUT)
        except (OSError, TException, TimeoutError, EOFError) as error:
            LOG.debug(
                "peers: sending to %s:%d failed: %r", self._host, self._port, error
            )
            self.close()
            await asyncio.sleep(RETRY_DELAY)

    async def _connect(self) -> Any:
        if self._client is None:
            self._client = await make_client(
                IDL.Peers,
                host=self._host,
                port=self._port,
                connect_timeout=CONNECT_TIMEOUT_MS,
                trans_factory=TAsyncBufferedTransportFactory(),
                proto_factory=TAsyncBinaryProtocolFactory(),
            )
        return self._client

    def close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None


class ThriftTransport:
    """Implements the port ``PeerTransport``."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], _PeerConnection] = {}
        self._tasks: dict[tuple[str, int], asyncio.Task[None]] = {}

    async def send(self, host: str, port: int, envelope: Envelope) -> bool:
        """Queue messages for a peer, opening a connection if there is none."""
        address = (host, port)
        connection = self._connections.get(address)
        if connection is None:
            connection = _PeerConnection(host, port)
            self._connections[address] = connection
            task = asyncio.get_running_loop().create_task(connection.run())
            self._tasks[address] = task
            task.add_done_callback(lambda _: self._remove(address))
        connection.put(envelope)
        return True

    def _remove(self, address: tuple[str, int]) -> None:
        self._tasks.pop(address, None)
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    async def close(self) -> None:
        """Cancel all senders, which closes their connections."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class PeerServer:
    """Receives messages of other daemons."""

    def __init__(self, receive: Callable[[Envelope], None]) -> None:
        self._receive = receive
        self._server: Any = None

    async def deliver(self, written: Any) -> bool:
        """Handle the Thrift method ``deliver``; False for a malformed envelope."""
        try:
            self._receive(read_envelope(written))
        except MalformedEnvelope as error:
            LOG.warning("peers: malformed envelope dropped: %s", error)
            return False
        return True

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises ``OSError`` if the address is in use."""
        server = TAsyncServer(
            TAsyncProcessor(IDL.Peers, self),
            TAsyncServerSocket(host=host, port=port, client_timeout=None),
            iprot_factory=TAsyncBinaryProtocolFactory(),
            itrans_factory=TAsyncBufferedTransportFactory(),
        )
        server.trans.listen()
        self._server = await server.trans.accept(server.handle)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
