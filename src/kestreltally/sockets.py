"""Options of the sockets between daemons, endpoints and the store."""

import socket
from typing import Final

# How long sent bytes may go unacknowledged before a connection is given up, ms.
# Machines answer within a few ms; a machine without power says nothing at all.
UNACKNOWLEDGED_MS: Final = 1200
# Probes on an idle connection: after a second, each second, two lost.
PROBE_AFTER_S: Final = 1
PROBE_EVERY_S: Final = 1
PROBES_LOST: Final = 2


def harden_socket(connection: socket.socket) -> None:
    """Let a channel to a silent machine fail within about two seconds."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_LOST)
