"""What an endpoint says of itself in its answers holds at once.

What users saw: with the store away, requests went on to an engine for 2 s and more
after its answers had begun to say that it leaves. An engine that had turned a daemon
away, and asked for 3 s of rest, got 44 requests from it in that time; one request was
sent to it eight times in 0.6 s, and what that engine held was brought nowhere else.

The order of events: an engine answers (200, or 503 and "not run"), and its answer's
head says that it leaves, or how long it wants to be left alone. The daemon hands the
answer on, or moves on. The next request is chosen an endpoint for by the store's
entries and the leader's rows, which say nothing of it; often the same engine, for it
alone holds the adapter.

The cause: nobody read these headers. The evidence: as many requests a second reached
the leaving engine after its word as before (9 to 13, then 8 to 14), so no daemon heeded
it even for a moment; and the second send followed a refusal by 1 ms, with the engine
counted as the least busy one.
"""

import asyncio

import pytest

from kestreltally.fleet.model import EndpointId, RequestKind
from tests.entryrig import (
    MODELS,
    STAMP,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)
from tests.test_fleet_daemon import MODEL, FleetRig, run_fleet

UNSAFE = RequestKind.UNSAFE
STREAM = RequestKind.STREAM
ADAPTER = {"X-Model-Name": "base/a1"}
LEAVING = b"Server-Leaving: 1\r\n"
# What is on its way when an endpoint says so may still reach it.
ON_THE_WAY = 0.1


def make_resting(rest: bytes) -> ScriptedEndpoint:
    """Return an endpoint that turns all away and names a time to come back."""

    async def turn_away(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        heads = b"X-Not-Run: 1\r\nRetry-After: " + rest + b"\r\n"
        writer.write(make_answer(seen, b"", b"503 Service Unavailable", heads))

    return ScriptedEndpoint("e1", turn_away)


async def answer_whole(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen))


@pytest.mark.parametrize(
    ("status", "heads"),
    [
        (b"200 OK", STAMP + LEAVING),
        (b"500 Internal Server Error", LEAVING),
        (b"503 Service Unavailable", b"X-Not-Run: 1\r\n" + LEAVING),
        (b"421 Misdirected Request", LEAVING),
    ],
)
async def test_an_endpoint_whose_answers_say_that_it_leaves_gets_no_new_work(
    status: bytes, heads: bytes
) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, status=status, extra=heads))

    leaving = ScriptedEndpoint("e1", answer)
    staying = ScriptedEndpoint("e2", answer_whole)
    async with run_entry([leaving, staying], make_route()) as rig:
        await rig.ask()
        assert len(leaving.seen) == 1
        for number in range(10):
            # What the leader tells is older than what was seen here.
            rig.fleet.put_endpoint(leaving.make_endpoint())
            assert (await rig.ask(request_id=f"again-{number}")).status == 200
    assert len(leaving.seen) == 1


async def test_an_endpoint_that_asks_for_rest_gets_it() -> None:
    resting = make_resting(b"0.8")
    awake = ScriptedEndpoint("e2", answer_whole)
    async with run_entry([resting, awake], make_route(UNSAFE)) as rig:
        replies = [
            await rig.ask("POST", body=b"x", request_id=f"q{number}")
            for number in range(20)
        ]
        assert [each.status for each in replies] == [200] * 20
        assert len(resting.seen) == 1
        await asyncio.sleep(0.9)
        await rig.ask("POST", body=b"x", request_id="later")
        assert len(resting.seen) == 2


async def test_who_alone_could_serve_is_not_asked_while_it_rests() -> None:
    resting = make_resting(b"3.00")
    async with run_entry([resting], make_route(UNSAFE, timeout=1.0)) as rig:
        loop = asyncio.get_running_loop()
        for number in range(10):
            began = loop.time()
            reply = await rig.ask("POST", body=b"x", request_id=f"q{number}")
            assert reply.status == 503
            assert loop.time() - began < 0.2
            # True, and spread, so that not all come back in one moment.
            assert 2.0 < float(reply.headers["retry-after"]) < 4.5
    assert len(resting.seen) == 1


async def test_what_was_chosen_before_the_word_is_not_sent_after_it() -> None:
    # Many at once: all have chosen, and wait for their channels, as the word comes.
    resting = make_resting(b"2.0")
    resting.service = MODELS
    route = make_route(STREAM, service=MODELS, timeout=1.5, resumable=True)
    async with run_entry([resting], route) as rig:
        first = await rig.ask("POST", headers=ADAPTER, request_id="first")
        assert first.status == 503
        await asyncio.gather(
            *(
                rig.ask("POST", headers=ADAPTER, request_id=f"q{number}")
                for number in range(30)
            )
        )
    assert len(resting.seen) == 1


async def ask_for_a_while(rig: FleetRig, vm: str, adapter: str, name: str) -> int:
    """Ask for 3 s; return how many requests were not served."""
    loop = asyncio.get_running_loop()
    began, number, missed = loop.time(), 0, 0
    while loop.time() - began < 3.0:
        number += 1
        reply = await rig.ask(vm, "/m/x", adapter, f"{name}-{number}")
        missed += reply.status != 200
        await asyncio.sleep(0.03)
    return missed


async def test_a_leaving_engine_gets_no_new_work_though_the_store_is_away() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.held]
        rig.store.faults.set(down=True)
        engine.says_leaving = True
        loop = asyncio.get_running_loop()
        told_at = loop.time()
        asked = (ask_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        # One daemon has it by an answer, the other by that one's word.
        late = [at for at in engine.arrivals if at > told_at + 1.0]
        assert late == []
        # What it held is brought to another engine while there is a leader.
        assert sum(missed) <= 2


async def test_what_a_resting_engine_holds_is_brought_elsewhere() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.held]
        assert engine.model == MODEL
        rested_from = asyncio.get_running_loop().time()
        engine.rests_until = rested_from + 5.0
        asked = (ask_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        # One request of each daemon learns of the rest.
        during = [at for at in engine.arrivals if at > rested_from + ON_THE_WAY]
        assert len(during) <= len(rig.daemons)
        assert sum(missed) <= 2


async def test_what_an_engine_holds_that_turns_all_away_is_brought_elsewhere() -> None:
    # Guards against a 503 without a time that nobody keeps: its holder alone was asked
    # again until the budget of repeated sends was used up.
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.held]
        engine.sheds = True
        began = asyncio.get_running_loop().time()
        asked = (ask_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        arrived = [at for at in engine.arrivals if at > began]
        # Three requests of each daemon learn of it, and some more each try it later.
        assert len(arrived) <= 6 * len(rig.daemons)
        assert sum(missed) <= 4


async def test_an_endpoint_that_turns_a_part_away_is_used_on() -> None:
    # Guards against an engine left alone because it was full for a moment.
    refusing = 0

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal refusing
        refusing += 1
        if refusing % 2:
            heads = b"X-Not-Run: 1\r\n"
            writer.write(make_answer(seen, b"", b"503 Service Unavailable", heads))
        else:
            writer.write(make_answer(seen))

    async with run_entry([ScriptedEndpoint("e1", answer)], make_route(UNSAFE)) as rig:
        replies = [
            await rig.ask("POST", body=b"x", request_id=f"q{number}")
            for number in range(4)
        ]
    assert [each.status for each in replies] == [200] * 4


async def test_all_daemons_heed_an_endpoints_word_soon() -> None:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(8)
        await asyncio.sleep(1.0)
        engine = next(each for each in rig.engines if not each.model)
        engine.says_leaving = True
        rig.store.faults.set(down=True)
        loop = asyncio.get_running_loop()
        while not any(_is_leaving(rig, vm, engine.id) for vm in rig.daemons):
            await rig.ask("north-4", "/a/x")
        heard_at = loop.time()
        while not all(_is_leaving(rig, vm, engine.id) for vm in rig.daemons):
            await asyncio.sleep(0.01)
            assert loop.time() - heard_at < 1.0


def _is_leaving(rig: FleetRig, vm: str, engine: str) -> bool:
    known = rig.daemons[vm]._fleet.endpoints.get(EndpointId(engine))
    return known is not None and known.leaving
