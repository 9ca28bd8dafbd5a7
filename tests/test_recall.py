"""Requests that wait at an engine begin on no version that is too old by then.

Guards against a bound that is checked as a request is sent and counts as it begins: it
was sent 2.4 s after a newer version was named, waited for 3.2 s, and began 5.6 s after.
"""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.entry.beginnings import Beginning, BeginningCheck
from kestreltally.entry.health import HealthTable
from kestreltally.entry.upstream import Channel, ChannelPool
from kestreltally.fleet.model import Endpoint, EndpointId, RequestKind, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet.versions import OLD_VERSION_GRACE
from tests.entryrig import (
    KEY,
    MODELS,
    EntryRig,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_entry,
)

MODEL = {"X-Model-Name": "base/a1"}
MODEL_SERVICE = make_configuration(1).services[MODELS]
# The time left for the older version when the newer one is learned of.
LEFT: Seconds = 0.3


@pytest.mark.parametrize(
    ("predicted", "longest_wait", "repeatable", "in_time"),
    [
        (0.9, 0.0, True, True),
        (1.1, 0.0, True, False),
        (0.1, 1.1, True, False),
        (0.1, 0.9, True, True),
        (0.6, 0.1, False, False),
        (0.1, 0.6, False, False),
        (0.4, 0.4, False, True),
    ],
)
def test_request_is_sent_if_it_is_expected_to_begin_in_time(
    predicted: Seconds, longest_wait: Seconds, repeatable: bool, in_time: bool
) -> None:
    beginning = Beginning(predicted, longest_wait, end=11.0, repeatable=repeatable)
    assert beginning.is_in_time(10.0) is in_time


async def wait_forever(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """Leave a request in the engine's queue."""


async def answer_late(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(2 * LEFT)
    writer.write(make_answer(seen))


async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen))


def make_engine(name: str, script: object) -> ScriptedEndpoint:
    return ScriptedEndpoint(name, script, MODELS)  # type: ignore[arg-type]


async def wait_until_closed(engine: ScriptedEndpoint) -> None:
    """Wait until an engine sees that a channel was closed."""
    async with asyncio.timeout(2.0):
        while not engine.closed:
            await asyncio.sleep(0.01)


def learn_newer(rig: EntryRig, left: Seconds = LEFT) -> None:
    now = asyncio.get_running_loop().time()
    rig.fleet.apply_version(KEY, 2, now + left - OLD_VERSION_GRACE)


def put_newer(rig: EntryRig, engine: ScriptedEndpoint) -> None:
    rig.fleet.put_endpoint(replace(engine.make_endpoint(), weights={KEY: 2}))


async def ask_before_newer(rig: EntryRig, *engines: ScriptedEndpoint) -> Reply:
    """Ask; a newer version is named while the request waits, and some load it."""
    asking = asyncio.create_task(rig.ask("POST", headers=MODEL, body=b"p"))
    await asyncio.sleep(0.05)
    learn_newer(rig)
    for engine in engines:
        put_newer(rig, engine)
    return await asking


async def test_waiting_request_is_taken_back_and_moves_on() -> None:
    first, second = make_engine("e1", wait_forever), make_engine("e2", answer)
    route = make_route(RequestKind.SAFE, service=MODELS, objective=5.0)
    async with run_entry([first], route) as rig, run_entry([second], route):
        reply = await ask_before_newer(rig, second)
        assert reply.whole and reply.status == 200
        await wait_until_closed(first)


async def test_request_that_must_not_run_twice_is_not_said_not_to_have_run() -> None:
    first, second = make_engine("e1", wait_forever), make_engine("e2", answer)
    route = make_route(RequestKind.UNSAFE, service=MODELS)
    async with run_entry([first], route) as rig, run_entry([second], route):
        assert (await ask_before_newer(rig, second)).status == 502
        await wait_until_closed(first)
        assert not second.seen


async def test_request_stays_at_an_engine_that_loads_the_newer_version() -> None:
    engine = make_engine("e1", answer_late)
    route = make_route(RequestKind.SAFE, service=MODELS, objective=5.0)
    async with run_entry([engine], route) as rig:
        assert (await ask_before_newer(rig, engine)).status == 200
        assert len(engine.seen) == 1


async def test_request_that_was_taken_back_waits_for_the_newer_version() -> None:
    first, second = make_engine("e1", wait_forever), make_engine("e2", answer)
    route = make_route(RequestKind.SAFE, service=MODELS, objective=5.0)
    async with run_entry([first], route) as rig, run_entry([second], route):
        rig.relay.finder.load_wait = 0.1
        asking = asyncio.create_task(ask_before_newer(rig))
        await wait_until_closed(first)
        assert not second.seen
        put_newer(rig, second)
        rig.relay.finder.waiters.wake([KEY])
        assert (await asking).status == 200


async def test_request_that_names_an_adapter_of_a_plain_service_is_served() -> None:
    endpoint = ScriptedEndpoint("p1", answer)
    async with run_entry([endpoint], make_route()) as rig:
        rig.fleet.apply_version(KEY, 1, -1e6)
        assert (await rig.ask("POST", headers=MODEL, body=b"p")).status == 200


async def test_request_is_not_sent_if_its_connection_opens_too_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = make_engine("e1", answer)
    route = make_route(RequestKind.UNSAFE, service=MODELS)
    async with run_entry([engine], route) as rig:
        acquire = ChannelPool.acquire

        async def acquire_late(
            pool: ChannelPool, endpoint: Endpoint, request_id: str
        ) -> Channel:
            channel = await acquire(pool, endpoint, request_id)
            learn_newer(rig, left=-0.01)
            return channel

        monkeypatch.setattr(ChannelPool, "acquire", acquire_late)
        rig.relay.finder.load_wait = 10.0
        assert (await rig.ask("POST", headers=MODEL, body=b"p")).status == 503
        assert not engine.seen


def test_wait_of_a_request_that_later_ones_overtook_tells_nothing() -> None:
    health, engine = HealthTable(), EndpointId("e1")
    assert health.measure_wait(engine, 10.0) is None
    health.start(engine, 10.0)
    assert health.measure_wait(engine, 11.5) == pytest.approx(1.5)
    later = health.start(engine, 11.5)
    health.record_answer_start(engine, later, 11.6)
    assert health.measure_wait(engine, 12.0) == pytest.approx(0.1)


def test_engine_whose_wait_is_not_known_is_taken_to_be_like_the_others() -> None:
    fleet, health = Fleet(), HealthTable()
    fleet.apply_version(KEY, 2, 100.0)
    engines = [make_engine(name, answer).make_endpoint() for name in ("e1", "e2")]
    health.start(engines[0].id, 100.0)
    request = make_request(make_route(RequestKind.SAFE, service=MODELS))
    request = replace(request, service=MODEL_SERVICE)
    check = BeginningCheck(fleet, health)
    assert check.filter_timely(request, engines, lambda _: 0.1, 102.0) == engines
    assert check.filter_timely(request, engines, lambda _: 0.1, 103.0) == []


async def test_request_that_has_begun_is_not_taken_back() -> None:
    async def begin(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        content = make_answer(seen)
        writer.write(content[:-1])
        await asyncio.sleep(2 * LEFT)
        writer.write(content[-1:])

    engine = make_engine("e1", begin)
    route = make_route(RequestKind.SAFE, service=MODELS, objective=5.0)
    async with run_entry([engine], route) as rig:
        assert (await ask_before_newer(rig)).status == 200
        assert len(engine.seen) == 1


async def test_request_is_not_sent_behind_one_that_waits_too_long() -> None:
    engine = make_engine("e1", wait_forever)
    route = make_route(RequestKind.SAFE, service=MODELS, objective=5.0)
    async with run_entry([engine], route) as rig:
        waiting = asyncio.create_task(rig.ask("POST", headers=MODEL, body=b"p"))
        await asyncio.sleep(2 * LEFT)
        learn_newer(rig)
        rig.relay.finder.load_wait = 10.0
        reply = await rig.ask("POST", headers=MODEL, body=b"p", request_id="q2")
        assert reply.status == 503 and len(engine.seen) == 1
        waiting.cancel()
