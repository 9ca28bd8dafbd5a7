"""Servers whose connections share one budget, and their maintenance."""

from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import Any, Final

from aiohttp import web

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import ClientLimits, Seconds
from kestreltally.ingress.budget import NoRoom, RequestBudget
from kestreltally.ingress.capacity import IngressCapacity
from kestreltally.ingress.connections import (
    Connection,
    ConnectionLimiter,
    Phase,
    Reason,
)
from kestreltally.ingress.protocol import MAX_FIELDS, IngressProtocol
from kestreltally.sockets import open_listener

# Limit of request heads in bytes, used before any configuration is known.
MAX_HEAD_BYTES: Final = 65_536
# A head that another daemon passes on, with what it adds.
PEER_HEAD_BYTES: Final = 2 * MAX_HEAD_BYTES
# Heads of checks and of operators.
SERVICE_HEAD_BYTES: Final = 8_192
# Time after which connections without any request are closed, before a configuration
# is known.
MAX_IDLE_TIME: Final[Seconds] = 75.0
# The multiples of the configured times after which connections are closed that send no
# head, or only a part of one. The times count from different moments here and there.
IDLE_TIME_FACTOR: Final = 1.25
HEAD_TIME_FACTOR: Final = 2.0
# Connections that wait in the kernel, and how many are taken at once.
BACKLOG: Final = 512
ACCEPT_BATCH: Final = 16
# How long a client may take for the rest of its last answer, and how often that is
# looked at.
CLOSING_TIME: Final[Seconds] = 10.0
CLOSING_INTERVAL: Final[Seconds] = 1.0
SHUTDOWN_TIMEOUT: Final[Seconds] = 0.1

GetLimits = Callable[[], ClientLimits | None]
Serve = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Ingress:
    """All servers of a process: what their clients hold, in one place."""

    def __init__(
        self,
        capacity: IngressCapacity,
        clock: Callable[[], Seconds],
        get_limits: GetLimits = lambda: None,
    ) -> None:
        self.capacity = capacity
        self.clock = clock
        self.get_limits = get_limits
        self.budget = RequestBudget(
            capacity.request_bytes, clock, self._list_unfinished
        )
        self.paused: set[IngressProtocol] = set()
        self._limiters: dict[str, ConnectionLimiter] = {}
        self._checked_closing_at: Seconds = 0.0
        self._runners: list[web.BaseRunner] = []

    def _list_unfinished(self) -> Iterator[Connection]:
        for limiter in self._limiters.values():
            yield from limiter.list_phase(Phase.BODY)
            yield from limiter.list_phase(Phase.HEAD)

    async def listen(
        self,
        name: str,
        serve: Serve,
        at: SocketAddress,
        connections: int,
        max_head_bytes: int = SERVICE_HEAD_BYTES,
        **options: Any,
    ) -> int:
        """Serve at an address until ``close``; return the port; raises ``OSError``."""
        server = self._make_server(name, connections, max_head_bytes)(serve, **options)
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT
        )
        return await self._start(runner, at)

    async def listen_for_app(
        self,
        name: str,
        app: web.Application,
        at: SocketAddress,
        connections: int,
        max_head_bytes: int = SERVICE_HEAD_BYTES,
        shutdown_timeout: Seconds = SHUTDOWN_TIMEOUT,
        **options: Any,
    ) -> int:
        """Serve an application at an address, as ``listen`` serves a function."""
        make_server = self._make_server(name, connections, max_head_bytes)
        runner = IngressAppRunner(app, make_server, shutdown_timeout, options)
        return await self._start(runner, at)

    def _make_server(
        self, name: str, connections: int, max_head_bytes: int
    ) -> Callable[..., "IngressServer"]:
        limiter = self._limiters[name] = ConnectionLimiter(connections)
        return partial(IngressServer, self, limiter, max_head_bytes)

    async def _start(self, runner: web.BaseRunner, at: SocketAddress) -> int:
        await runner.setup()
        self._runners.append(runner)
        listener = open_listener(at.host, at.port)
        # asyncio takes as many connections at once as may wait, before any is counted.
        await web.SockSite(runner, listener, backlog=ACCEPT_BATCH).start()
        listener.listen(BACKLOG)
        port: int = listener.getsockname()[1]
        return port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for runner in self._runners:
            await runner.cleanup()

    def run_maintenance(self) -> None:
        """Close connections whose clients have left, or send nothing in time."""
        self._end_left()
        limits = self.get_limits()
        idle = IDLE_TIME_FACTOR * limits.idle_timeout if limits else MAX_IDLE_TIME
        head = HEAD_TIME_FACTOR * limits.header_timeout if limits else MAX_IDLE_TIME
        now = self.clock()
        for limiter in self._limiters.values():
            limiter.end_overdue(Phase.OPENED, now - idle, Reason.SILENT)
            limiter.end_overdue(Phase.HEAD, now - head, Reason.SLOW_HEAD)
        if now - self._checked_closing_at >= CLOSING_INTERVAL:
            self._checked_closing_at = now
            for limiter in self._limiters.values():
                limiter.end_closing(now - CLOSING_TIME)

    def _end_left(self) -> None:
        for connection in list(self.paused):
            if not connection.is_paused:
                self.paused.discard(connection)
            elif connection.has_client_left:
                self.paused.discard(connection)
                connection.end(Reason.CLIENT_GONE)

    def measure_connections(self) -> dict[str, int]:
        """Return the number of connections by port, and how many found no room."""
        counts = {name: len(limiter) for name, limiter in self._limiters.items()}
        counts["refused"] = sum(limiter.refused for limiter in self._limiters.values())
        counts["ended"] = sum(limiter.ended for limiter in self._limiters.values())
        return counts

    def measure_bytes(self) -> dict[str, int]:
        """Return the bytes held of requests, their limit, and what found no room."""
        budget = self.budget
        return {
            "held": budget.held,
            "held_large": budget.held_large,
            "limit": budget.limit,
            "requests_refused": budget.refused,
            "requests_ended": budget.ended,
        }


class IngressServer(web.Server):
    """aiohttp's server, whose connections are counted."""

    def __init__(
        self,
        ingress: Ingress,
        limiter: ConnectionLimiter,
        max_head_bytes: int,
        serve: Serve,
        *,
        for_callers: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(
            serve,
            max_line_size=max_head_bytes,
            max_field_size=max_head_bytes,
            max_headers=MAX_FIELDS,
            access_log=None,
            **options,
        )
        self._ingress = ingress
        self._limiter = limiter
        self._max_head_bytes = max_head_bytes
        self._for_callers = for_callers
        self.budget = ingress.budget

    def __call__(self) -> IngressProtocol:
        """Return the protocol of a new connection."""
        return IngressProtocol(self, self._loop, **self._kwargs)

    def get_head_limit(self) -> int:
        """Return how many bytes a head may have.

        The operators' limit is for callers: daemons add fields to what they pass on.
        """
        limits = self._ingress.get_limits()
        if limits is None or not self._for_callers:
            return self._max_head_bytes
        return min(limits.header_bytes, self._max_head_bytes)

    def get_body_limit(self) -> int:
        """Return how many bytes a body may have."""
        limits = self._ingress.get_limits()
        return limits.body_bytes if limits else 0

    def admit(self, connection: IngressProtocol) -> bool:
        """Count a new connection; return whether there is room for it."""
        return self._limiter.admit(connection, self._ingress.clock())

    def move(self, connection: IngressProtocol, phase: Phase) -> None:
        """Record that a connection enters a phase."""
        self._limiter.move(connection, phase, self._ingress.clock())

    def watch_paused(self, connection: IngressProtocol) -> None:
        """Look for the end of a connection that isn't read."""
        self._ingress.paused.add(connection)

    def record_unread(self, connection: IngressProtocol) -> None:
        """Record that a client takes nothing of what was written for it."""
        self._limiter.record_unread(connection, self._ingress.clock())

    def record_taken(self, connection: IngressProtocol) -> None:
        """Record that a client has taken most of what was written for it."""
        self._limiter.record_taken(connection)

    def try_hold(self, connection: IngressProtocol, size: int) -> bool:
        """Count bytes held for a connection; return whether there is room for them."""
        try:
            self.budget.hold(connection, size)
        except NoRoom:
            return False
        return True

    def forget(self, connection: IngressProtocol) -> None:
        """Stop counting a connection that is closed."""
        self._limiter.remove(connection)
        self._ingress.paused.discard(connection)
        self.budget.release(connection)


class IngressAppRunner(web.AppRunner):
    """aiohttp's runner of an application, at a server whose connections are counted."""

    __slots__ = ("_make_ingress_server", "_options")

    def __init__(
        self,
        app: web.Application,
        make_server: Callable[..., IngressServer],
        shutdown_timeout: Seconds,
        options: dict[str, Any],
    ) -> None:
        super().__init__(app, shutdown_timeout=shutdown_timeout)
        self._make_ingress_server = make_server
        self._options = options

    async def _make_server(self) -> web.Server:
        # aiohttp prepares the application as it makes a server of its own.
        await super()._make_server()
        return self._make_ingress_server(
            self.app._handle, request_factory=self.app._make_request, **self._options
        )
