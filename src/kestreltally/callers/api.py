"""The HTTP API for callers: the usual paths of model servers, and plain services."""

import logging
import math
from dataclasses import replace
from typing import Final

from aiohttp import web
from result import Err

from kestreltally.callers.identity import authenticate_caller, check_rules
from kestreltally.callers.parsing import (
    CHAT,
    COMPLETIONS,
    HEADER_REQUEST,
    parse_completion,
    parse_service_call,
    refuse,
)
from kestreltally.callers.sinks import BufferedSink, StreamSink, describe_refusal
from kestreltally.entities.configuration import Caller
from kestreltally.ingress.protocol import RequestEnded, has_room
from kestreltally.metrics import Metrics
from kestreltally.orders import RefusalReason
from kestreltally.requests.attempts import CallerRequest
from kestreltally.requests.flow import RequestServer
from kestreltally.requests.outcomes import STATUS_OF_REASON, Refusal
from kestreltally.runtime import Runtime
from kestreltally.systems.configuration import list_adapters

LOG = logging.getLogger("kestreltally.callers")
HEADER_RETRY_AFTER: Final = "Retry-After"
HEADER_OUTCOME: Final = "X-Outcome"


def make_refusal_response(refusal: Refusal, request: str) -> web.Response:
    """Return the HTTP form of a refusal."""
    headers = {HEADER_REQUEST: request, HEADER_OUTCOME: refusal.outcome.value}
    if refusal.retry_after > 0:
        headers[HEADER_RETRY_AFTER] = str(math.ceil(refusal.retry_after))
    return web.json_response(
        describe_refusal(refusal, request),
        status=STATUS_OF_REASON[refusal.reason],
        headers=headers,
    )


class CallerApi:
    """The HTTP handlers for callers at one daemon."""

    def __init__(
        self,
        runtime: Runtime,
        server: RequestServer,
        metrics: Metrics,
    ) -> None:
        self._runtime = runtime
        self._server = server
        self._metrics = metrics
        self._serial = 0

    def make_app(self) -> web.Application:
        """Return the application with its routes."""
        limit = self._runtime.world.settings.limits.body_bytes
        app = web.Application(client_max_size=limit)
        app.router.add_post(COMPLETIONS, self.serve_completion)
        app.router.add_post(CHAT, self.serve_completion)
        app.router.add_get("/v1/models", self.list_models)
        app.router.add_route("*", "/{path:.*}", self.serve_service)
        return app

    def _refuse(self, refusal: Refusal, request: str) -> web.Response:
        self._metrics.count_refusal(refusal)
        return make_refusal_response(refusal, request)

    async def _authenticate_and_read(
        self, http: web.Request
    ) -> tuple[Caller, bytes] | web.Response:
        """Return the caller and the request body, or a refusal response."""
        request = http.headers.get(HEADER_REQUEST, "")
        if not self._server.is_accepting:
            stopping = refuse(RefusalReason.STOPPING, "this daemon is stopping", 1.0)
            return self._refuse(stopping.err_value, request)
        found = authenticate_caller(
            self._runtime.world,
            http.headers.get("Authorization", ""),
        )
        if isinstance(found, Err):
            return self._refuse(found.err_value, request)
        if not has_room(http):
            return self._refuse_for_memory(request)
        try:
            return found.ok_value, await http.read()
        except RequestEnded:
            return self._refuse_for_memory(request)
        except web.HTTPRequestEntityTooLarge:
            limit = self._runtime.world.settings.limits.body_bytes
            large = refuse(RefusalReason.TOO_LARGE, f"body: at most {limit} bytes")
            return self._refuse(large.err_value, request)

    def _refuse_for_memory(self, request: str) -> web.Response:
        full = refuse(RefusalReason.DAEMON_LIMIT, "no memory for the request", 1.0)
        return self._refuse(full.err_value, request)

    def _make_unique(self, request: CallerRequest) -> CallerRequest:
        """Give a repeatable request its own internal id if its id is in use."""
        if not request.repeatable or request.request not in self._server.live:
            return request
        self._serial += 1
        unique = type(request.request)(f"{request.request}#{self._serial}")
        return replace(request, request=unique)

    async def serve_completion(self, http: web.Request) -> web.StreamResponse:
        """Serve a completion or chat completion."""
        authenticated = await self._authenticate_and_read(http)
        if isinstance(authenticated, web.Response):
            return authenticated
        caller, raw = authenticated
        parsed = parse_completion(
            self._runtime.world,
            caller,
            http.path,
            http.headers,
            raw,
            self._runtime.clock(),
        )
        request_id = http.headers.get(HEADER_REQUEST, "")
        if isinstance(parsed, Err):
            return self._refuse(parsed.err_value, request_id)
        request, streamed = parsed.ok_value
        request = self._make_unique(request)
        external_id = request.request.partition(":")[2]
        if streamed:
            return await self._serve_stream(http, request, external_id, as_event=True)
        return await self._serve_buffered(http, request, external_id)

    async def _serve_stream(
        self,
        http: web.Request,
        request: CallerRequest,
        external_id: str,
        as_event: bool,
    ) -> web.StreamResponse:
        sink = StreamSink(http, external_id)
        with self._metrics.time_request(request):
            result = await self._server.serve(request, sink)
        if not isinstance(result, Err):
            return await sink.finish(with_end_mark=as_event)
        refusal = result.err_value
        if sink.response is None:
            return self._refuse(refusal, external_id)
        self._metrics.count_refusal(refusal)
        return await sink.abort(refusal, as_event)

    async def _serve_buffered(
        self,
        http: web.Request,
        request: CallerRequest,
        external_id: str,
    ) -> web.StreamResponse:
        sink = BufferedSink()
        with self._metrics.time_request(request):
            result = await self._server.serve(request, sink)
        if isinstance(result, Err):
            return self._refuse(result.err_value, external_id)
        assert sink.head is not None
        headers = {
            HEADER_REQUEST: external_id,
            "X-Adapter-Version": sink.head.adapter,
        }
        body = sink.compose(external_id, chat=http.path == CHAT)
        return web.json_response(body, headers=headers)

    async def serve_service(self, http: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        authenticated = await self._authenticate_and_read(http)
        if isinstance(authenticated, web.Response):
            return authenticated
        caller, raw = authenticated
        parsed = parse_service_call(
            self._runtime.world,
            caller,
            http.method,
            http.path,
            http.path_qs,
            http.headers,
            raw,
            self._runtime.clock(),
        )
        if isinstance(parsed, Err):
            return self._refuse(parsed.err_value, http.headers.get(HEADER_REQUEST, ""))
        request = self._make_unique(parsed.ok_value)
        external_id = request.request.partition(":")[2]
        return await self._serve_stream(http, request, external_id, as_event=False)

    async def list_models(self, http: web.Request) -> web.StreamResponse:
        """List the adapters that the caller is allowed to use."""
        authenticated = await self._authenticate_and_read(http)
        if isinstance(authenticated, web.Response):
            return authenticated
        caller, _ = authenticated
        world = self._runtime.world
        allowed = [
            adapter
            for adapter in list_adapters(world)
            if adapter.current and check_rules(world, caller.name, adapter.name) is None
        ]
        data = [
            {"id": each.name, "object": "model", "version": each.current}
            for each in allowed
        ]
        return web.json_response({"object": "list", "data": data})
