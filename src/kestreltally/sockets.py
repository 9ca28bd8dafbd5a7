"""Options of the sockets between clients, daemons, endpoints and the store."""

import asyncio
import socket
from typing import Final

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
