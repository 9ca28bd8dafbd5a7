"""Sends Thrift structs over a TCP connection between two daemons, compressed.

Each frame is a length and the compressed bytes of one struct. All frames of a direction
share one deflate stream, as messages repeat the same names, and traffic between data
centres is expensive.
"""

import asyncio
import zlib
from typing import Any, Final

from thriftpy2.thrift import TException
from thriftpy2.utils import deserialize

from kestreltally.knowledge.encoding import PROTOCOL, encode_struct

LENGTH_BYTES: Final = 4
# A full list of 3,300 engines with nine adapters each takes about 2 MB.
MAX_FRAME_BYTES: Final = 2**24
# A window of 4 KiB covers about a dozen updates. A stream then has 32 KiB of state,
# which is acceptable for a leader of several hundred daemons.
WINDOW_BITS: Final = -12
MEMORY_LEVEL: Final = 5
# The exceptions that decoding a malformed struct may raise.
STRUCT_ERRORS: Final = (TException, EOFError, RecursionError, TypeError, ValueError)


class MalformedFrame(ValueError):
    """The peer sent something other than a frame of the expected type."""


class FrameStream:
    """Sends and receives frames on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._deflater = zlib.compressobj(wbits=WINDOW_BITS, memLevel=MEMORY_LEVEL)
        self._inflater = zlib.decompressobj(wbits=WINDOW_BITS)

    @property
    def unsent(self) -> int:
        """Return the number of bytes buffered until the peer reads them."""
        return self._writer.transport.get_write_buffer_size()

    def send(self, message: Any) -> None:
        """Write a struct."""
        payload = self._deflater.compress(encode_struct(message))
        payload += self._deflater.flush(zlib.Z_SYNC_FLUSH)
        self._writer.write(len(payload).to_bytes(LENGTH_BYTES, "big") + payload)

    async def receive(self, expected: Any) -> Any:
        """Read a struct; raises ``MalformedFrame`` or ``IncompleteReadError``."""
        length = int.from_bytes(await self._reader.readexactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME_BYTES:
            raise MalformedFrame(
                f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )
        compressed = await self._reader.readexactly(length)
        try:
            payload = self._inflater.decompress(compressed, MAX_FRAME_BYTES)
            if not payload:
                # Even a struct without fields has a stop byte.
                raise MalformedFrame("frame has no content")
            return deserialize(expected(), payload, PROTOCOL)
        except (*STRUCT_ERRORS, zlib.error) as error:
            raise MalformedFrame(repr(error)) from error

    def close(self) -> None:
        """Close the connection once buffered data is sent."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection at once, and drop buffered data."""
        self._writer.transport.abort()
