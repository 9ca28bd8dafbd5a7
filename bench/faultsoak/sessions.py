"""Sessions of the soak's clients, which tell a reset from an end in order."""

from functools import partial

from aiohttp import ClientSession

from kestreltally.entry.channel_protocol import ChannelProtocol
from kestreltally.objectapi import http


def open_session() -> ClientSession:
    """Open a session in which a reset does not complete an answer without length."""
    session = http.open_session()
    assert session.connector is not None
    # aiohttp has no public option for the protocol.
    session.connector._factory = partial(  # type: ignore[assignment]
        ChannelProtocol, loop=session._loop
    )
    return session
