"""Length-prefixed thrift structs on a TCP connection between two daemons."""

import asyncio
from pathlib import Path
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TException
from thriftpy2.utils import deserialize, serialize

IDL: Final[Any] = thriftpy2.load(
    str(Path(__file__).with_name("feed.thrift")), module_name="feed_thrift"
)
LENGTH_BYTES: Final = 4
# A whole list of 3,300 engines with nine adapters each is some 2 MB.
FRAME_LIMIT: Final = 2**24
_PROTOCOL: Final = TCyBinaryProtocolFactory()


class MalformedFrame(ValueError):
    """The peer sent something else than a frame of the expected type."""


def write_frame(writer: asyncio.StreamWriter, message: Any) -> int:
    """Write a struct; return the bytes written."""
    content: bytes = serialize(message, _PROTOCOL)
    writer.write(len(content).to_bytes(LENGTH_BYTES, "big") + content)
    return len(content) + LENGTH_BYTES


async def read_frame(reader: asyncio.StreamReader, expected: Any) -> Any:
    """Read a struct; raises ``MalformedFrame`` or ``IncompleteReadError``."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > FRAME_LIMIT:
        raise MalformedFrame(f"a frame of {length} bytes")
    content = await reader.readexactly(length)
    try:
        return deserialize(expected(), content, _PROTOCOL)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise MalformedFrame(repr(error)) from error
