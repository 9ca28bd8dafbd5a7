"""The stand-in engine conforms to the published interface."""

from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestClient, TestServer

from standins.engine import make_app
from standins.text import make_answer

OPTIONS = {"load_time": 0.0, "token_time": 0.0, "report_lag": 0.0, "slots": 1}
HEADERS = {"X-Adapter-Version": "a@1", "X-Attempt-Id": "r/1"}


@pytest.fixture
async def engine() -> AsyncIterator[TestClient]:
    async with TestClient(TestServer(make_app(OPTIONS))) as client:
        yield client


async def order(engine: TestClient, name: str, token: int, **more: str) -> int:
    response = await engine.post(f"/orders/{name}", json={"token": token, **more})
    return response.status


async def test_orders_are_fenced(engine: TestClient) -> None:
    assert await order(engine, "fence", 5) == 200
    assert await order(engine, "load", 4, adapter="a@1") == 409
    assert await order(engine, "load", 6, adapter="a@1") == 200
    assert await order(engine, "load", 7, adapter="b@1") == 507
    assert await order(engine, "role", 8, role="prefill") == 200
    assert await order(engine, "role", 9, role="idle") == 400
    assert await order(engine, "unload", 6, adapter="a@1") == 409


async def test_answers_resume_from_token_ids(engine: TestClient) -> None:
    await order(engine, "load", 1, adapter="a@1")
    body = {"prompt": "p", "max_tokens": 4}
    whole = await (
        await engine.post("/v1/completions", json=body, headers=HEADERS)
    ).text()
    events = whole.split("\n\n")
    resumed = {**body, "resume_token_ids": [1, 2, 3]}
    response = await engine.post("/v1/completions", json=resumed, headers=HEADERS)
    assert (await response.text()).split("\n\n") == events[3:]
    assert make_answer("a@1", "p", 4).split()[3] in events[3]


async def test_what_is_not_loaded_is_refused(engine: TestClient) -> None:
    response = await engine.post("/v1/completions", json={}, headers=HEADERS)
    assert response.status == 409
    assert (await response.json())["reason"] == "not_loaded"


async def test_caches_are_told_of_exported_and_imported(engine: TestClient) -> None:
    assert (await engine.get("/cache", params={"prompt": "x"})).status == 404
    await engine.put("/cache", json={"prefix": "x"})
    assert (await engine.get("/cache", params={"prompt": "x"})).status == 200
    await engine.post("/faults", json={"cache_gaps": 1.0})
    await engine.put("/cache", json={"prefix": "y"})
    events = await (await engine.get("/cache/events")).json()
    assert [event["prefix"] for event in events] in ([], ["x"])


async def test_a_restart_loses_everything(engine: TestClient) -> None:
    await order(engine, "load", 3, adapter="a@1")
    before = await (await engine.get("/report")).json()
    await engine.post("/restart")
    after = await (await engine.get("/report")).json()
    assert before["loaded"] == ["a@1"] and after["loaded"] == []
    assert before["instance"] != after["instance"] and after["fence"] == 0


async def test_an_unknown_fault_is_an_error(engine: TestClient) -> None:
    response = await engine.post("/faults", json={"colour": 1})
    assert response.status == 400
    assert "there are: " in (await response.json())["error"]
