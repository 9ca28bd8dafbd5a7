"""What the platform's and the endpoints' clients share of HTTP."""

from typing import Final

from aiohttp import ClientSession, ClientTimeout, TCPConnector

CONNECT_TIMEOUT: Final = 1.0
READ_BUFFER: Final = 2**18


def open_session(limit_per_host: int = 0) -> ClientSession:
    """Return a session that sends each call once and sets no overall time limit."""
    session = ClientSession(
        connector=TCPConnector(limit=0, limit_per_host=limit_per_host),
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        read_bufsize=READ_BUFFER,
        auto_decompress=False,
    )
    # By itself aiohttp sends GET, PUT and DELETE a second time when the connection
    # ends before the answer, and has no public switch for it. What may be sent
    # again is decided here, not there.
    session._retry_connection = False
    return session
