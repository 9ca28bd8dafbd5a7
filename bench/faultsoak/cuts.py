"""Cuts of one daemon from all endpoints, while everything else reaches it.

Each daemon has a proxy of its own before each endpoint. The operating system has one
loopback network for all processes, so a daemon's connections are directed to these
proxies where it opens them: ``redirect_connections`` replaces the addresses that a
process, or a task and those that it starts, connects to.
"""

import contextlib
import json
import socket
from collections.abc import Callable
from contextvars import ContextVar
from enum import Enum
from pathlib import Path
from typing import Any, Final

from bench.faultsoak.proxy import HOST, Proxy, ProxyMode

Address = tuple[str, int]
# Returns the address to connect to in place of another.
Resolver = Callable[[Address], Address]
# Connections that fill the queue of a listener that never accepts any.
QUEUE_FILLERS: Final = 3

RESOLVER: Final[ContextVar[Resolver | None]] = ContextVar("resolver", default=None)


class CutMode(Enum):
    """What happens to the channels of a daemon that is cut off."""

    HANG = "open channels silent, new ones hang"
    RESET = "open channels reset, new ones refused"
    REFUSE = "open channels live on, new ones refused"


def redirect_connections() -> Callable[[], None]:
    """Direct connections to what ``RESOLVER`` returns; return what ends this."""
    connect = socket.socket.connect

    def connect_resolved(self: socket.socket, address: Any) -> None:
        resolve = RESOLVER.get()
        if resolve is not None and self.family == socket.AF_INET:
            address = resolve(address)
        connect(self, address)

    socket.socket.connect = connect_resolved  # type: ignore[method-assign,assignment]

    def restore() -> None:
        socket.socket.connect = connect  # type: ignore[method-assign]

    return restore


class Hole:
    """An address at which connections hang, and one at which they are refused."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(0)
        self.hanging: Address = self._listener.getsockname()
        self._fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        for each in self._fillers:
            each.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                each.connect(self.hanging)
        self._closed = socket.socket()
        self._closed.bind((HOST, 0))
        self.refusing: Address = self._closed.getsockname()

    def close(self) -> None:
        """Release the sockets."""
        for each in (*self._fillers, self._listener, self._closed):
            each.close()


class DaemonPaths:
    """One daemon's own proxies before the endpoints, and whether they are cut."""

    def __init__(self, hole: Hole) -> None:
        self._hole = hole
        self._proxies: dict[Address, Proxy] = {}
        self.mode: CutMode | None = None

    async def add(self, endpoint: Address) -> None:
        """Add a proxy before an endpoint."""
        if endpoint not in self._proxies:
            proxy = self._proxies[endpoint] = Proxy(endpoint[1])
            await proxy.start()

    def remove(self, endpoint: Address) -> None:
        """Close the proxy before an endpoint that has ended: nothing listens there."""
        proxy = self._proxies.get(endpoint)
        if proxy is not None:
            proxy.close()

    def resolve(self, address: Address) -> Address:
        """Return the address to connect to in place of an endpoint's."""
        proxy = self._proxies.get((address[0], address[1]))
        if proxy is None:
            return address
        if self.mode is CutMode.HANG:
            return self._hole.hanging
        return self._hole.refusing if self.mode is not None else (HOST, proxy.port)

    def cut(self, mode: CutMode) -> None:
        """Cut this daemon off from all endpoints."""
        self.mode = mode
        effect = {CutMode.HANG: ProxyMode.SILENT, CutMode.RESET: ProxyMode.RESET}
        for proxy in self._proxies.values():
            proxy.set_mode(effect.get(mode, ProxyMode.PASS))

    def heal(self) -> None:
        """End the cut; bytes that were dropped break their channels."""
        self.mode = None
        for proxy in self._proxies.values():
            proxy.set_mode(ProxyMode.PASS)

    def make_table(self) -> dict[str, Address]:
        """Return what each endpoint's address resolves to."""
        return {f"{a[0]}:{a[1]}": self.resolve(a) for a in self._proxies}

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.close()


class FileResolver:
    """Resolves addresses by a table in a file, which is read again when it changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = 0
        self._table: dict[str, Address] = {}

    def __call__(self, address: Address) -> Address:
        """Return the address to connect to."""
        changed_at = self._path.stat().st_mtime_ns if self._path.exists() else 0
        if changed_at != self._changed_at:
            content = json.loads(self._path.read_text(encoding="utf-8"))
            self._table = {name: tuple(found) for name, found in content.items()}
            self._changed_at = changed_at
        return self._table.get(f"{address[0]}:{address[1]}", address)
