"""Bounds what HTTP client sessions hold of an answer, whatever a server sends."""

from functools import partial
from typing import Any, Final

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    EofStream,
    ServerDisconnectedError,
    StreamReader,
)
from aiohttp.http_parser import RawResponseMessage

from kestreltally.entry.channel_protocol import ChannelProtocol

# The longest answer of the platform: some pages of what it lists, 1 MB each.
MAX_ANSWER_BYTES: Final = 2**24


class AnswerTooLong(ClientError):
    """The body of an answer exceeds what is read of it."""


class SessionProtocol(ChannelProtocol):
    """Bounds the bytes of each exchange of a session that are no part of a body."""

    def set_response_params(self, **params: Any) -> None:
        """Await an answer to the session's next request."""
        self.start_exchange()
        super().set_response_params(**params)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return an answer's head; raises ``ClientError`` once the connection ended."""
        try:
            return await super().read()
        except EofStream as error:
            raise ServerDisconnectedError from error


def bound_overhead(session: ClientSession) -> None:
    """Close connections of a session over which too much comes that is no body."""
    assert session.connector is not None
    # aiohttp has no public option for the protocol.
    session.connector._factory = partial(  # type: ignore[assignment]
        SessionProtocol, loop=session._loop
    )


async def read_bounded(
    response: ClientResponse, limit: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return a body of at most ``limit`` bytes; raises ``ClientError``.

    The connection of a longer one is closed.
    """
    content = bytearray()
    async for piece in response.content.iter_any():
        content += piece
        if len(content) > limit:
            response.close()
            raise AnswerTooLong(f"body exceeds {limit} bytes")
    return bytes(content)
