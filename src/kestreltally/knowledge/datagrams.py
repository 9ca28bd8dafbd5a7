"""Exchanges single datagrams between daemons, for answers that must be quick.

A datagram may be lost, repeated or late, so nothing that must hold may rest on one:
senders repeat what they want, and go on without an answer.
"""

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import Any, Final, cast

from thriftpy2.utils import deserialize

from kestreltally.deployment import SocketAddress
from kestreltally.knowledge.encoding import PROTOCOL, encode_struct
from kestreltally.knowledge.frames import STRUCT_ERRORS
from kestreltally.knowledge.structs import Datagram

LOG = logging.getLogger("kestreltally.datagrams")

# The largest payload that passes a network of 1,500-byte packets unfragmented.
MAX_DATAGRAM_BYTES: Final = 1_400

# Handles one field of a datagram: the datagram, and the address of its sender.
DatagramHandler = Callable[[Any, SocketAddress], None]


class DatagramPort(asyncio.DatagramProtocol):
    """Sends and receives datagrams at one address.

    ``handlers`` maps a field of ``Datagram`` to what handles a datagram that has it.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._boot = time.time_ns()
        self._serial = 0
        self._transport: asyncio.DatagramTransport | None = None
        self.handlers: dict[str, DatagramHandler] = {}
        self.sent = 0
        self.malformed = 0

    async def start(self, host: str, port: int) -> None:
        """Receive datagrams at an address; raises ``OSError``."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        connection.setblocking(False)
        try:
            connection.bind((host, port))
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, sock=connection)
        except OSError:
            connection.close()
            raise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Stop receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: SocketAddress, **fields: Any) -> bool:
        """Send a datagram with some fields; return whether it was small enough."""
        if self._transport is None:
            return False
        self._serial += 1
        message = Datagram(vm=self._vm, boot=self._boot, serial=self._serial, **fields)
        payload = encode_struct(message)
        if len(payload) > MAX_DATAGRAM_BYTES:
            LOG.debug("datagrams: %d bytes are too many to send", len(payload))
            return False
        self.sent += 1
        self._transport.sendto(payload, (address.host, address.port))
        return True

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle each field that a datagram has (called by asyncio)."""
        try:
            message = deserialize(Datagram(), data, PROTOCOL)
        except STRUCT_ERRORS as error:
            self.malformed += 1
            LOG.debug("datagrams: malformed, from %s: %r", address, error)
            return
        if not message.vm:
            return
        sender = SocketAddress(address[0], address[1])
        for name, handle in self.handlers.items():
            if getattr(message, name) is not None:
                handle(message, sender)

    def error_received(self, error: Exception) -> None:
        """Ignore that an address is not reachable (called by asyncio)."""
        LOG.debug("datagrams: not delivered: %r", error)
