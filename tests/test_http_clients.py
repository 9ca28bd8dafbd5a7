"""The HTTP clients over real sockets: no request is silently sent twice."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
from aiohttp import web
from result import Err, Ok, Result

from kestreltally.endpoints.engines import HttpEngineClient
from kestreltally.endpoints.services import HttpServiceClient
from kestreltally.entities.ids import AdapterVersion, AttemptId, RequestId
from kestreltally.objectapi.http import open_session
from kestreltally.objectapi.objects import HttpObjectApi
from kestreltally.ports import (
    AnswerLost,
    AttemptLost,
    Conflict,
    EndpointRefused,
    EngineAttempt,
    ObjectApiDown,
    ServiceCall,
    StoredObject,
)
from kestreltally.requests.claims import Claims
from tests.fakes import FakeStore, Faults, Gate, StoreView


@asynccontextmanager
async def serve_and_disconnect(requests: list[bytes]) -> AsyncIterator[str]:
    """Read each request, and close the connection instead of answering."""

    async def read_and_disconnect(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    server = await asyncio.start_server(read_and_disconnect, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    yield f"http://{host}:{port}"
    server.close()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "POST", "GET"])
async def test_interrupted_call_is_not_resent(method: str) -> None:
    requests: list[bytes] = []
    call = ServiceCall(AttemptId("r/1"), method, "/x", {}, b"")
    async with serve_and_disconnect(requests) as url, open_session() as session:
        with pytest.raises(AttemptLost):
            await HttpServiceClient(session).call(url, call)
    assert len(requests) == 1


@pytest.mark.parametrize(
    ("status", "error"),
    [(409, EndpointRefused), (503, EndpointRefused), (500, AttemptLost)],
)
async def test_only_agreed_statuses_mean_not_run(
    status: int, error: type[Exception]
) -> None:
    async def answer(_: web.Request) -> web.Response:
        return web.json_response({"reason": "not_loaded"}, status=status)

    app = web.Application()
    app.router.add_post("/v1/completions", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    adapter = AdapterVersion("a", 1)
    attempt = EngineAttempt(AttemptId("r/1"), adapter, "/v1/completions", {}, 1, 0)
    async with open_session() as session:
        with pytest.raises(error):
            await HttpEngineClient(session).start(url, attempt)
    await runner.cleanup()


async def test_interrupted_write_is_not_resent() -> None:
    requests: list[bytes] = []
    async with serve_and_disconnect(requests) as url, open_session() as session:
        objects = HttpObjectApi(session, url, timeout=1.0)
        with pytest.raises(AnswerLost):
            await objects.write("k", {}, 0)
    assert len(requests) == 1


async def test_failed_connection_means_not_applied() -> None:
    async with open_session() as session:
        objects = HttpObjectApi(session, "http://127.0.0.1:1", timeout=1.0)
        with pytest.raises(ObjectApiDown):
            await objects.read("k")


class DuplicatingView(StoreView):
    """An object API that receives every write twice."""

    async def write(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[StoredObject, Conflict]:
        await super().write(key, value, expected_version)
        return await super().write(key, value, expected_version)


async def test_conflict_with_own_claim_counts_as_held() -> None:
    """A write may arrive twice; the second then conflicts with the first."""
    store = FakeStore(Faults(), Random(1))
    claims = Claims(DuplicatingView(store, "vm-0", Gate()), lambda: 0.0)
    claimed = await claims.claim("till", RequestId("r"), "vm-0/1")
    assert isinstance(claimed, Ok)
    other = await claims.claim("till", RequestId("r"), "vm-0/2")
    assert isinstance(other, Err)
