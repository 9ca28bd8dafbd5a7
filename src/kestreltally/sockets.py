"""Options of the sockets between clients, daemons, endpoints and the store."""

import asyncio
import logging
import socket
from typing import Final

LOG = logging.getLogger("kestreltally.sockets")

# How long sent bytes may stay unacknowledged before a connection is closed. Machines
# acknowledge within a few milliseconds; a machine that lost power never does.
USER_TIMEOUT_MS: Final = 1200
# TCP keepalive: the first probe after one idle second, then one every second; the
# connection is closed after two unanswered probes.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
# How many unsent bytes the kernel takes for a receiver that reads slowly. Without a
# bound it takes megabytes, which the process can neither count nor end.
MAX_KERNEL_UNSENT: Final = 2**16
# How many bytes the kernel receives of a client while the process doesn't read. It
# counts objects of its own too, and takes twice as much as it is told.
MAX_KERNEL_UNREAD: Final = 2**14
# The states, in the first byte of TCP_INFO, of a connection that the peer has closed.
CLOSED_STATES: Final = frozenset({7, 8})


def harden_socket(connection: socket.socket) -> None:
    """Make a connection to a silent machine fail within about two seconds."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS
    )
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def bound_kernel_unsent(transport: asyncio.WriteTransport) -> None:
    """Leave unsent bytes in the transport's buffer, where they are counted."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT
        )


def open_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections receive little ahead of their reader.

    Raises ``OSError``.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections take this over; it must be set before the first one comes.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_KERNEL_UNREAD)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed a connection, although nothing is read."""
    connection = transport.get_extra_info("socket")
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError as error:
        LOG.debug("sockets: state of a connection not known: %r", error)
        return False
    return bool(info) and info[0] in CLOSED_STATES
