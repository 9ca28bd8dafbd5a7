"""How many connections and bytes clients may take of a process, by its VM's limits."""

import os
import resource
from dataclasses import dataclass
from typing import Final

# The platform keeps so many descriptors of a process for files; sockets share the rest.
FILE_DESCRIPTORS: Final = 200
# The fraction of the sockets that clients' connections take at most. Each request also
# needs a channel to an endpoint, some two; the rest is for the store and other daemons.
CLIENT_SOCKETS_FRACTION: Final = 0.4
# Other daemons keep a few channels each, on which they pass requests on.
PEER_SOCKETS_FRACTION: Final = 0.15
# Readiness checks, scrapes and operators need one connection each, for a moment.
SERVICE_SOCKETS_FRACTION: Final = 0.03
# The bytes that a connection may hold without a request: its objects, what one read
# brings, and what the kernel receives while the process doesn't read.
CONNECTION_BYTES: Final = 2**16
# The fractions of the memory that clients' connections, and their requests, may hold.
CONNECTIONS_MEMORY_FRACTION: Final = 0.25
REQUESTS_MEMORY_FRACTION: Final = 0.2
MIN_CONNECTIONS: Final = 8


@dataclass(frozen=True, slots=True)
class IngressCapacity:
    """The most connections, and bytes of heads and bodies, that are held at a time.

    ``clients``, ``peers`` and ``service`` are the connections of callers, of other
    daemons, and to each port for checks and operators. ``request_bytes`` are shared by
    all of them.
    """

    clients: int
    peers: int
    service: int
    request_bytes: int


def compute_capacity(memory: int, descriptors: int) -> IngressCapacity:
    """Return what clients may take of a VM's memory, in bytes, and descriptors.

    A limit of 0 is unknown: that of the process itself holds instead.
    """
    memory = memory or read_process_memory()
    sockets = (descriptors or read_process_descriptors()) - FILE_DESCRIPTORS
    bearable = int(CONNECTIONS_MEMORY_FRACTION * memory / CONNECTION_BYTES)

    def share(fraction: float) -> int:
        return max(MIN_CONNECTIONS, min(bearable, int(fraction * sockets)))

    return IngressCapacity(
        clients=share(CLIENT_SOCKETS_FRACTION),
        peers=share(PEER_SOCKETS_FRACTION),
        service=share(SERVICE_SOCKETS_FRACTION),
        request_bytes=int(REQUESTS_MEMORY_FRACTION * memory),
    )


def read_process_memory() -> int:
    """Return the bytes of memory that this process may take."""
    machine = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    return machine if limit == resource.RLIM_INFINITY else min(machine, limit)


def read_process_descriptors() -> int:
    """Return how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit
