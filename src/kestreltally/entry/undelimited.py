"""Answers to clients that have neither a length nor chunks, and end in a close."""

import asyncio
import socket
import struct
from typing import Final

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

# Values of SO_LINGER: a close resets the connection, or happens in order.
_RESET: Final = struct.pack("ii", 1, 0)
_IN_ORDER: Final = struct.pack("ii", 0, 0)


class UndelimitedResponse(web.StreamResponse):
    """An answer that ends with its connection.

    The connection is reset however it is closed, also by the end of this process,
    unless the whole answer has been written.
    """

    # An attribute of aiohttp's responses: no chunks are used for want of a length.
    _length_check = False
    _transport: asyncio.Transport | None = None

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head; the connection is used for no other request."""
        if not self.prepared:
            self.force_close()
            self._transport = request.transport
            _set_linger(self._transport, _RESET)
            if self._transport is not None:
                # Writing waits until the kernel has all bytes: those of a process that
                # ends would be lost although the connection is closed in order.
                self._transport.set_write_buffer_limits(high=0)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """End the answer in order."""
        writer = self._payload_writer
        await super().write_eof(data)
        if writer is not None:
            await writer.drain()
        _set_linger(self._transport, _IN_ORDER)


def _set_linger(transport: asyncio.Transport | None, value: bytes) -> None:
    if transport is None or transport.is_closing():
        return
    connection: socket.socket = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
