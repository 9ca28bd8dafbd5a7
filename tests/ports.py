"""Ports of loopback that stay this process's own until a server listens there."""

import socket

# Below the range that the kernel hands out, and above the fixed ports of the demos and
# the soaks. A block is larger than what the daemons of one short soak use.
FIRST_BLOCK_PORT = 27_000
LAST_BLOCK_PORT = 32_000
BLOCK_PORTS = 49
_RESERVED: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that nothing else is given until this process ends.

    A socket stays bound to it without listening. The kernel then picks the port neither
    for a connection of any process nor for one that asks for any free port, while
    a server of ours, which allows addresses to be used again, can listen at it.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _RESERVED.append(reserved)
    port: int = reserved.getsockname()[1]
    return port


def claim_ports() -> int:
    """Return the first of ``BLOCK_PORTS`` in a row that no other run of tests is given.

    For processes that count their ports up. A socket bound to the port before the first
    keeps the block until this process ends: another run finds that port taken.
    """
    for guard_port in range(FIRST_BLOCK_PORT, LAST_BLOCK_PORT, 1 + BLOCK_PORTS):
        reserved = socket.socket()
        try:
            reserved.bind(("127.0.0.1", guard_port))
        except OSError:
            reserved.close()
            continue
        _RESERVED.append(reserved)
        return guard_port + 1
    raise AssertionError("all blocks of ports are taken")
