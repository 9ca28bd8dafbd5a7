"""The entry's HTTP servers, for client requests and readiness checks."""

import asyncio
import logging
from collections.abc import Callable
from hashlib import blake2b
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision
from kestreltally.deployment import SocketAddress
from kestreltally.entry.ends import ClientCall, EndLog
from kestreltally.entry.gate import Gate
from kestreltally.entry.holdings import Holdings
from kestreltally.entry.intake import ClientIntake, Intake
from kestreltally.entry.progress import (
    BAD_GATEWAY,
    RETRY_ELSEWHERE_DELAY,
    UNAVAILABLE,
    StreamBroken,
)
from kestreltally.entry.refusals import decide_refusal
from kestreltally.entry.relay import Relay
from kestreltally.entry.request import (
    RETRY_DELAY,
    ClientDisconnected,
    ClientRequest,
    Refused,
    list_passed_headers,
    read_body,
)
from kestreltally.entry.stopping import (
    PendingRequest,
    PlannedStop,
    find_stop_refusal,
)
from kestreltally.fleet.model import (
    ClientLimits,
    Configuration,
    Route,
    Seconds,
    ServiceName,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet_metrics import RequestEnd
from kestreltally.ingress.capacity import compute_capacity
from kestreltally.ingress.protocol import has_room
from kestreltally.ingress.server import (
    MAX_HEAD_BYTES,
    PEER_HEAD_BYTES,
    Ingress,
    Serve,
)
from kestreltally.platform.headers import decode_request, read_request_id

LOG = logging.getLogger("kestreltally.entry")

# Idle time after which client connections are closed, in seconds. Clients may leave a
# connection idle for four fifths of the configured time. That time is not known when
# the server starts, and closing a connection later than necessary is harmless.
KEEP_ALIVE_TIMEOUT: Final = 75.0
SERVER_OPTIONS: Final = {
    "handler_cancellation": True,
    "keepalive_timeout": KEEP_ALIVE_TIMEOUT,
}
SPLIT_RANGE: Final = 2**32


def choose_service(route: Route, request_id: str) -> ServiceName:
    """Return the service for a request by the route's weights.

    The choice is deterministic in the request id.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    digest = blake2b(request_id.encode(), digest_size=4).digest()
    point = int.from_bytes(digest, "big") / SPLIT_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


class EntryApi:
    """Serves clients, and answers the load balancer's readiness checks."""

    def __init__(
        self,
        fleet: Fleet,
        relay: Relay,
        gate: Gate,
        record_end: Callable[[RequestEnd], None] = lambda _: None,
        holdings: Holdings | None = None,
        ingress: Ingress | None = None,
    ) -> None:
        self._fleet = fleet
        self._relay = relay
        self._gate = gate
        self._end_log = EndLog(fleet, relay.poison, record_end)
        self.holdings = holdings or Holdings(0, lambda: 0.0)
        self.ingress = ingress or Ingress(
            compute_capacity(0, 0), asyncio.get_running_loop().time
        )
        self.ingress.get_limits = self._get_limits
        self._stops_at: Seconds | None = None
        relay.check_stop = lambda request: self._check_stop(
            request, asyncio.get_running_loop().time()
        )
        self._stop_started_at: Seconds = 0.0
        self.active_requests = 0

    def _get_limits(self) -> ClientLimits | None:
        configuration = self._fleet.configuration
        return configuration.limits if configuration is not None else None

    async def start(self, clients: SocketAddress, readiness: SocketAddress) -> None:
        """Listen for clients and readiness checks; raises ``OSError``."""
        capacity = self.ingress.capacity
        await self.ingress.listen(
            "readiness", self._answer_readiness, readiness, capacity.service
        )
        await self.ingress.listen(
            "clients",
            self._make_handler(ClientIntake(self._gate)),
            clients,
            capacity.clients,
            MAX_HEAD_BYTES,
            for_callers=True,
            **SERVER_OPTIONS,
        )

    async def start_forwarding(self, intake: Intake, at: SocketAddress) -> int:
        """Listen for requests of other daemons; return the port.

        Raises ``OSError``.
        """
        return await self.ingress.listen(
            "peers",
            self._make_handler(intake),
            at,
            self.ingress.capacity.peers,
            PEER_HEAD_BYTES,
            **SERVER_OPTIONS,
        )

    def _make_handler(self, intake: Intake) -> Serve:
        async def serve(client: web.BaseRequest) -> web.StreamResponse:
            return await self._serve(client, intake)

        return serve

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.ingress.close()

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop has started."""
        return self._stops_at is not None

    def stop_by(self, deadline: Seconds) -> None:
        """Start a planned stop: report not ready, end all requests by a deadline."""
        self._stop_started_at = asyncio.get_running_loop().time()
        self._stops_at = deadline
        self._relay.time_limits.end_by(deadline)

    def refuse_new(self) -> None:
        """Pass nothing on any more, as the planned stop ends."""
        now = asyncio.get_running_loop().time()
        self._stops_at = now if self._stops_at is None else min(self._stops_at, now)

    def _check_stop(self, request: ClientRequest, now: Seconds) -> None:
        """Refuse a request that a planned stop might break off; raises ``Refused``."""
        if self._stops_at is None:
            return
        reason = find_stop_refusal(
            PlannedStop(self._stop_started_at, self._stops_at),
            PendingRequest(
                request.route.kind, request.route.repeatable, now, request.deadline
            ),
        )
        if reason is not None:
            raise Refused(UNAVAILABLE, reason, RETRY_ELSEWHERE_DELAY, elsewhere=True)

    @property
    def has_work(self) -> bool:
        """Return whether requests are served or answers not yet sent."""
        return self.active_requests > 0 or self.holdings.has_unsent

    @property
    def ready(self) -> bool:
        """Return whether this daemon accepts new clients."""
        known = self._fleet.configuration is not None
        return known and not self.stopping and not self._gate.identity.is_isolated

    async def _answer_readiness(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    async def _serve(
        self, client: web.BaseRequest, intake: Intake
    ) -> web.StreamResponse:
        self.active_requests += 1
        try:
            return await self._serve_and_log(client, intake)
        finally:
            self.active_requests -= 1

    async def _serve_and_log(
        self, client: web.BaseRequest, intake: Intake
    ) -> web.StreamResponse:
        holding = self.holdings.open(client, read_request_id(client.headers))
        call = ClientCall(client, asyncio.get_running_loop().time(), holding)
        try:
            return await self._serve_call(call, intake)
        finally:
            self.holdings.close(holding)

    async def _serve_call(self, call: ClientCall, intake: Intake) -> web.StreamResponse:
        client = call.client
        try:
            call.request = await self._read(call, intake)
            response = await self._serve_within_quota(call, call.request, intake)
        except Refused as refused:
            if call.progress.response is not None:
                self._end_log.record(Decision.REQUEST_BROKEN_OFF, call, refused)
                return self._abort(client)
            refusal = decide_refusal(refused, call.progress.send_log)
            self._end_log.record(Decision.REQUEST_REFUSED, call, refusal)
            response = intake.make_refusal(client, refusal)
        except (StreamBroken, ClientDisconnected) as broken:
            self._end_log.record(Decision.REQUEST_BROKEN_OFF, call, broken)
            return self._abort(client)
        except (asyncio.CancelledError, ConnectionError) as disconnect:
            self._end_log.record(Decision.REQUEST_ABANDONED, call, disconnect)
            raise
        else:
            self._end_log.record(Decision.REQUEST_DONE, call, response)
        if self.stopping:
            response.force_close()
        return response

    async def _serve_within_quota(
        self, call: ClientCall, request: ClientRequest, intake: Intake
    ) -> web.StreamResponse:
        """Serve a request within its organisation's quota; raises ``Refused``."""
        await intake.admit(request)
        try:
            return await self._relay.serve(request, call.client, call.progress)
        finally:
            if not call.progress.runs:
                intake.refund(request)

    def _abort(self, client: web.BaseRequest) -> web.StreamResponse:
        """Close a client's connection so that its answer does not look complete.

        The returned response is never sent: aiohttp does not write to a closing
        transport.
        """
        if client.transport is not None:
            client.transport.close()
        return web.Response(status=BAD_GATEWAY)

    async def _read(self, call: ClientCall, intake: Intake) -> ClientRequest:
        """Read a request; raises ``Refused`` or ``ClientDisconnected``."""
        client = call.client
        arrived_at = asyncio.get_running_loop().time()
        if not has_room(client):
            raise Refused(UNAVAILABLE, "no memory for the request", RETRY_DELAY)
        configuration = self._fleet.configuration
        if configuration is None:
            raise Refused(
                UNAVAILABLE, "no configuration received yet", 0.5, elsewhere=True
            )
        body = await self._read_body(call, configuration)
        # The configuration may have changed while the body was read.
        configuration = self._fleet.configuration or configuration
        path = client.raw_path
        host = client.headers.get("Host", "").partition(":")[0].lower()
        route = self._fleet.routes.find(host, path.partition("?")[0])
        if route is None:
            raise Refused(404, "no route", elsewhere=True)
        caller = intake.identify(client, route)
        try:
            head = decode_request(client.headers)
        except ValueError as error:
            raise Refused(400, str(error)) from error
        # A stream that is taken up goes on at the service that began it.
        began_as = head.resumed if head.resumes else ""
        service = configuration.services.get(choose_service(route, began_as or head.id))
        if service is None:
            raise Refused(UNAVAILABLE, "service of the route not configured", 0.5)
        budget = min(route.timeout, head.deadline or route.timeout)
        request = ClientRequest(
            method=client.method,
            path=path,
            headers=list_passed_headers(client),
            body=body,
            head=head,
            route=route,
            service=service,
            arrived_at=arrived_at,
            deadline=arrived_at + budget,
            caller=caller,
        )
        # The body may have taken a while.
        self._check_stop(request, asyncio.get_running_loop().time())
        return intake.adapt(client, request)

    async def _read_body(self, call: ClientCall, configuration: Configuration) -> bytes:
        limits = configuration.limits
        # The body may take a multiple of the header timeout.
        timeout = 4 * limits.header_timeout
        return await read_body(
            call.client,
            limits.body_bytes,
            timeout,
            lambda size: self.holdings.reserve(call.holding, size),
        )
