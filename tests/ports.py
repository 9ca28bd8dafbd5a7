"""Loopback ports that are reserved for this process until a server listens on them."""

import socket

# Below the kernel's ephemeral range, and above the fixed ports of the demos and the
# soaks. A block is larger than the number of ports used by one short soak.
FIRST_BLOCK_PORT = 27_000
LAST_BLOCK_PORT = 32_000
BLOCK_PORTS = 49
_RESERVED: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that is not assigned to anything else until this process ends.

    A socket stays bound to it without listening. The kernel then assigns the port
    neither to a connection of any process nor to a socket that requests any free port,
    but a server of this process can listen on it, because it sets ``SO_REUSEADDR``.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _RESERVED.append(reserved)
    port: int = reserved.getsockname()[1]
    return port


def claim_ports() -> int:
    """Return the first of ``BLOCK_PORTS`` consecutive ports reserved for this test run.

    For processes that number their ports consecutively. A socket bound to the port
    before the first reserves the block until this process ends: other runs find it in
    use.
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
    raise AssertionError("all port blocks are in use")
