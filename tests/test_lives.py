"""An engine starts again under the id that it had: nothing of before is believed."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from kestreltally.fleet.model import Endpoint, EndpointId, ServiceName, WeightsKey
from kestreltally.placing.books import EngineBook
from kestreltally.platform.engines import EngineReport
from tests.leaderrig import MODEL, LeaderRig, make_engine_row
from tests.test_fleet_daemon import run_fleet

BORN = 1_769_353_084_983
HELD = {WeightsKey(MODEL): 1, WeightsKey(MODEL, "a1"): 1}


def make_row(born: int, *, leaving: bool = False) -> Endpoint:
    return Endpoint(
        id=EndpointId("e1"),
        service=ServiceName("models"),
        host="127.0.0.1",
        port=1,
        data_centre="north",
        slots=4,
        leaving=leaving,
        weights=dict(HELD),
        born=born,
    )


def make_report(
    born: int, sequence: int, weights: dict[WeightsKey, int]
) -> EngineReport:
    return EngineReport(
        weights=weights,
        loading=frozenset(),
        warm=frozenset(),
        busy=False,
        sequence=sequence,
        running=0,
        waiting=0,
        born=born,
    )


def test_a_report_of_a_newer_life_begins_the_book_anew() -> None:
    book = EngineBook(make_row(BORN))
    book.apply_report(make_report(BORN, 7, HELD), 1.0)
    book.begin_unload(WeightsKey(MODEL, "a1"), 1.1)
    # Its counts start anew: by its count alone it would be older than the last order.
    book.apply_report(make_report(BORN + 9, 0, {}), 2.0)
    assert (book.sequence, book.weights, book.leaving) == (0, {}, {})
    assert book.endpoint.born == BORN + 9
    assert not book.make_row().weights


def test_a_late_report_of_an_earlier_life_says_nothing() -> None:
    book = EngineBook(make_row(BORN + 9))
    book.apply_report(make_report(BORN + 9, 0, {}), 1.0)
    book.apply_report(make_report(BORN, 7, HELD), 2.0)
    assert (book.sequence, book.weights) == (0, {})


@pytest.mark.looptime
async def test_a_late_entry_of_an_earlier_life_does_not_undo_a_newer() -> None:
    rig = LeaderRig()
    try:
        engine = rig.engines["e1"]
        engine.start_again(BORN + 9)
        rig.leader.put_endpoint(make_engine_row(engine))
        before = replace(make_engine_row(engine), born=BORN, weights=dict(HELD))
        rig.leader.put_endpoint(before)
        book = rig.leader.books[EndpointId("e1")]
        assert book.endpoint.born == BORN + 9 and not book.weights
    finally:
        rig.close()


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(12))
async def test_engines_that_start_again_while_orders_are_late_are_never_overfilled(
    seed: int,
) -> None:
    draw = Random(seed)
    rig = LeaderRig(seed)
    try:
        born = BORN
        for engine in rig.engines.values():
            engine.born = born
            rig.leader.put_endpoint(make_engine_row(engine))
        rig.caller.faulty = True
        for _ in range(60):
            rig.ask(draw.randrange(20))
            await asyncio.sleep(draw.uniform(0.05, 0.5))
            if draw.random() < 0.1:
                born += 1
                engine = draw.choice(list(rig.engines.values()))
                engine.start_again(born)
                if draw.random() < 0.5:
                    rig.leader.put_endpoint(make_engine_row(engine))
        assert all(engine.fell == 0 for engine in rig.engines.values())
        rig.caller.faulty = False
        await asyncio.sleep(13.0)
        rig.ask(99)
        await asyncio.sleep(3.0)
        assert rig.is_held(99)
    finally:
        rig.close()


async def test_an_engine_that_starts_again_is_served_by_its_new_life() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1")).whole
        for engine in rig.engines:
            if engine.model:
                engine.start_again()
        await asyncio.sleep(1.2)
        engines = {engine.id: engine for engine in rig.engines}
        for daemon in rig.daemons.values():
            for row in daemon._fleet.endpoints.values():
                engine = engines[row.id]
                assert row.born == engine.born
                assert {k.adapter for k in row.weights} <= {"", *engine.held}
        reply = await rig.ask("south-1", "/m/x", "a1", "q2")
        assert reply.status == 200 and reply.whole
