"""One entry, and streams whose endpoints run different versions of software.

Guards against an answer that goes on at another version than the one that began it, and
against one that is given up although its version will soon hold the adapter again.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from kestreltally.deployment import SocketAddress
from kestreltally.entry.intake import PeerIntake
from kestreltally.fleet.model import RequestKind
from kestreltally.fleet.tables import Fleet
from kestreltally.reach.contact import Reach
from tests.entryrig import (
    KEY,
    MODELS,
    EntryRig,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_route,
    run_entry,
)
from tests.test_entry import MODEL, close_connection, make_event, make_streamer
from tests.test_forwarding import connect

STREAM = RequestKind.STREAM
LOAD_TIME = 0.3
ALL_EVENTS = b"".join(make_event(number) for number in (1, 2, 3))


def make_engine(
    name: str, software: str, script: object, *, holds_model: bool = True
) -> ScriptedEndpoint:
    return ScriptedEndpoint(
        name,
        script,  # type: ignore[arg-type]
        MODELS,
        software=software,
        holds_model=holds_model,
    )


def make_stream_route(**options: float) -> object:
    return make_route(STREAM, service=MODELS, resumable=True, attempts=3, **options)


async def ask(rig: EntryRig, **headers: str) -> Reply:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return await rig.ask("POST", headers={**MODEL, **named}, body=b"prompt")


def quarantine(fleet: Fleet, endpoint: ScriptedEndpoint) -> None:
    """Leave only the other endpoints to begin a stream."""
    fleet.put_endpoint(replace(endpoint.make_endpoint(), quarantined=True))


async def test_answer_of_one_version_is_not_completed_by_another() -> None:
    broken = make_engine("e1", "v1", make_streamer(1, 2, whole=False))
    others = [
        make_engine(f"e{number}", "v2", make_streamer(1, 3, whole=True))
        for number in (2, 3)
    ]
    async with run_entry([broken, *others], make_stream_route()) as rig:
        for each in others:
            quarantine(rig.fleet, each)
        asking = asyncio.create_task(ask(rig))
        while not broken.seen:
            await asyncio.sleep(0.001)
        for each in others:
            rig.fleet.put_endpoint(each.make_endpoint())
        reply = await asking
    assert not reply.whole
    assert reply.body == make_event(1) + make_event(2)
    assert not any(each.seen for each in others)


async def test_answer_goes_on_at_the_engine_of_its_version_among_many() -> None:
    async def break_off(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await make_streamer(1, random.randint(1, 2), whole=False)(seen, writer)  # type: ignore[operator]

    engines = [
        make_engine(f"{software}-{number}", software, break_off)
        for software in ("v1", "v2")
        for number in (1, 2)
    ]
    for _ in range(8):
        for each in engines:
            each.seen.clear()
        async with run_entry(engines, make_stream_route()) as rig:
            await ask(rig)
        ran = {each.software for each in engines if each.seen}
        assert len(ran) == 1


async def test_answer_may_begin_at_any_version_until_its_first_event() -> None:
    dead = make_engine("e1", "v1", close_connection)
    sound = make_engine("e2", "v2", make_streamer(1, 3, whole=True))
    async with run_entry([dead, sound], make_stream_route()) as rig:
        for _ in range(6):
            reply = await ask(rig)
            assert (reply.whole, reply.body) == (True, ALL_EVENTS)


async def test_answer_waits_until_another_engine_of_its_version_holds_the_adapter() -> (
    None
):
    async def crash(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        broken.stop_listening()
        await make_streamer(1, 2, whole=False)(seen, writer)  # type: ignore[operator]

    broken = make_engine("e1", "v1", crash)
    loading = make_engine(
        "e2", "v1", make_streamer(1, 3, whole=True), holds_model=False
    )
    other = make_engine("e3", "v2", make_streamer(1, 3, whole=True))
    async with run_entry([broken, loading, other], make_stream_route()) as rig:
        rig.relay.finder.load_wait = LOAD_TIME
        quarantine(rig.fleet, other)
        asking = asyncio.create_task(ask(rig))
        while not broken.seen:
            await asyncio.sleep(0.001)
        rig.fleet.put_endpoint(other.make_endpoint())
        await asyncio.sleep(LOAD_TIME)
        held = replace(loading.make_endpoint(), weights={KEY: 1})
        rig.fleet.put_endpoint(held)
        rig.relay.finder.waiters.wake([KEY])
        reply = await asking
    assert (reply.whole, reply.body) == (True, ALL_EVENTS)
    assert not other.seen


async def begin_and_leave(rig: EntryRig, first: ScriptedEndpoint) -> None:
    """Begin a stream as q1 at an endpoint, which breaks it off after an event."""
    reply = await ask(rig)
    assert first.seen
    assert not reply.whole


async def run_take_up(
    headers: dict[str, str], path: str = "/r/x"
) -> tuple[Reply, list[str]]:
    """Begin a stream at v1 and take it up; return the reply, and what ran it."""
    broken = make_engine("e1", "v1", make_streamer(1, 1, whole=False))
    engines = [
        make_engine("e2", "v1", make_streamer(1, 3, whole=True), holds_model=False),
        make_engine("e3", "v2", make_streamer(1, 3, whole=True), holds_model=False),
    ]
    async with run_entry([broken, *engines], make_stream_route()) as rig:
        await begin_and_leave(rig, broken)
        rig.fleet.drop_endpoint(broken.make_endpoint().id)
        for each in engines:
            rig.fleet.put_endpoint(replace(each.make_endpoint(), weights={KEY: 1}))
        named = {**MODEL, "Last-Event-Id": "1", **headers}
        reply = await rig.ask("POST", path, named, b"prompt", request_id="q2")
    return reply, [each.software for each in engines if each.seen]


async def test_stream_is_taken_up_at_the_version_of_the_request_that_it_names() -> None:
    for _ in range(5):
        reply, ran = await run_take_up({"Resumes": "q1"})
        assert (reply.status, reply.whole, ran) == (200, True, ["v1"])


@pytest.mark.parametrize(
    ("headers", "path"),
    [
        ({}, "/r/x"),
        ({"Resumes": ""}, "/r/x"),
        ({"Resumes": "q2"}, "/r/x"),
        ({"Resumes": "x" * 10_000}, "/r/x"),
        ({"Resumes": "q1"}, "/r/y"),
    ],
    ids=["unnamed", "empty", "unknown", "10 kB", "of another path"],
)
async def test_stream_of_an_unknown_version_is_refused_at_once(
    headers: dict[str, str], path: str
) -> None:
    began = asyncio.get_running_loop().time()
    reply, ran = await run_take_up(headers, path)
    assert (reply.status, ran) == (503, [])
    assert "retry-after" not in reply.headers
    assert asyncio.get_running_loop().time() - began < 2.0


async def test_stream_that_names_two_requests_is_a_clear_error() -> None:
    raw = (
        "POST /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q2\r\n"
        "X-Model-Name: base/a1\r\nLast-Event-Id: 1\r\nResumes: q1\r\n"
        "Resumes: {}\r\nContent-Length: 0\r\n\r\n"
    )
    engine = make_engine("e1", "v1", make_streamer(1, 3, whole=True))
    async with run_entry([engine], make_stream_route()) as rig:
        twice = await rig.send(raw.format("q1").encode())
        differing = await rig.send(raw.format("q0").encode())
    assert (twice.status, differing.status) == (200, 400)
    assert b"Resumes" in differing.body


async def test_one_version_serves_streams_whose_beginning_nobody_knows() -> None:
    engines = [make_engine("e1", "v1", make_streamer(1, 3, whole=True))]
    async with run_entry(engines, make_stream_route()) as rig:
        reply = await ask(rig, Last_Event_Id="1", Resumes="unknown")
    assert (reply.status, reply.body) == (200, make_event(2) + make_event(3))
    assert engines[0].seen[0].find(b"resumes") == b"unknown"


async def test_stream_begins_anew_without_the_last_event() -> None:
    engines = [
        make_engine(f"e{number}", f"v{number}", make_streamer(1, 3, whole=True))
        for number in (1, 2)
    ]
    async with run_entry(engines, make_stream_route()) as rig:
        reply = await ask(rig, Resumes="unknown")
    assert (reply.status, reply.body) == (200, ALL_EVENTS)


async def test_answer_of_a_daemon_that_is_cut_off_goes_on_at_its_version() -> None:
    async def stream_and_cut(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        sender.relay.contact.reach = Reach.CUT_OFF
        await make_streamer(1, 2, whole=False)(seen, writer)  # type: ignore[operator]

    broken = make_engine("e1", "v1", stream_and_cut)
    engines = [
        make_engine(f"{software}-{number}", software, make_streamer(1, 3, whole=True))
        for software in ("v1", "v2")
        for number in (1, 2)
    ]
    route = make_stream_route()
    for _ in range(6):
        async with (
            run_entry(engines, route) as peer,
            run_entry([broken], route) as sender,
        ):
            intake = PeerIntake(peer.fleet, peer.authority)
            anywhere = SocketAddress("127.0.0.1", 0)
            connect(sender, await peer.api.start_forwarding(intake, anywhere))
            sender.relay.contact.reach = Reach.OPEN
            reply = await ask(sender)
        assert (reply.whole, reply.body) == (True, ALL_EVENTS)
    assert {each.software for each in engines if each.seen} == {"v1"}
