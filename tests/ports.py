"""Ports of loopback that stay this process's own until a server listens there."""

import socket

_HELD: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that nothing else is given until this process ends.

    A socket stays bound to it without listening. The kernel then picks the port neither
    for a connection of any process nor for one that asks for any free port, while
    a server of ours, which allows addresses to be used again, can listen at it.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    _HELD.append(held)
    port: int = held.getsockname()[1]
    return port
