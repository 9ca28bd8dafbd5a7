"""HTTP session shared by the clients of the platform and of endpoints."""

from typing import Final

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from kestreltally.sessions import bound_overhead

CONNECT_TIMEOUT: Final = 1.0
READ_BUFFER: Final = 2**18


def open_session(limit_per_host: int = 0) -> ClientSession:
    """Open a session that sends each request once and has no total timeout.

    A ``limit_per_host`` of 0 means no limit.
    """
    session = ClientSession(
        connector=TCPConnector(limit=0, limit_per_host=limit_per_host),
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        read_bufsize=READ_BUFFER,
        auto_decompress=False,
    )
    # By default aiohttp resends GET, PUT and DELETE once if the connection closes
    # before the response, and has no public option to disable that. Which requests
    # can be resent is for the code that uses the session to decide.
    session._retry_connection = False
    bound_overhead(session)
    return session
