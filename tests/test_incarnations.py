"""An engine restarts under the same id: its former state is discarded."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from kestreltally.fleet.model import Endpoint, EndpointId, ServiceName, WeightsKey
from kestreltally.placing.enginestate import EngineState
from kestreltally.platform.engines import EngineReport
from tests.leaderrig import MODEL, LeaderRig, make_engine_row
from tests.test_fleet_daemon import run_fleet

START_TIME_MS = 1_769_353_084_983
HELD = {WeightsKey(MODEL): 1, WeightsKey(MODEL, "a1"): 1}


def make_row(start_time_ms: int, *, leaving: bool = False) -> Endpoint:
    return Endpoint(
        id=EndpointId("e1"),
        service=ServiceName("models"),
        host="127.0.0.1",
        port=1,
        data_centre="north",
        slots=4,
        leaving=leaving,
        weights=dict(HELD),
        start_time_ms=start_time_ms,
    )


def make_report(
    start_time_ms: int, sequence: int, weights: dict[WeightsKey, int]
) -> EngineReport:
    return EngineReport(
        weights=weights,
        loading=frozenset(),
        warm=frozenset(),
        busy=False,
        sequence=sequence,
        running=0,
        waiting=0,
        start_time_ms=start_time_ms,
    )


def test_report_of_a_newer_incarnation_resets_the_state() -> None:
    state = EngineState(make_row(START_TIME_MS))
    state.apply_report(make_report(START_TIME_MS, 7, HELD), 1.0)
    state.start_unload(WeightsKey(MODEL, "a1"), 1.1)
    # Order counts restart: by its count alone, the report would predate the last order.
    state.apply_report(make_report(START_TIME_MS + 9, 0, {}), 2.0)
    assert (state.sequence, state.weights, state.pending_unloads) == (0, {}, {})
    assert state.endpoint.start_time_ms == START_TIME_MS + 9
    assert not state.make_endpoint().weights


def test_late_report_of_an_earlier_incarnation_is_ignored() -> None:
    state = EngineState(make_row(START_TIME_MS + 9))
    state.apply_report(make_report(START_TIME_MS + 9, 0, {}), 1.0)
    state.apply_report(make_report(START_TIME_MS, 7, HELD), 2.0)
    assert (state.sequence, state.weights) == (0, {})


@pytest.mark.looptime
async def test_late_entry_of_an_earlier_incarnation_is_ignored() -> None:
    rig = LeaderRig()
    try:
        engine = rig.engines["e1"]
        engine.restart(START_TIME_MS + 9)
        rig.leader.put_endpoint(make_engine_row(engine))
        before = replace(
            make_engine_row(engine), start_time_ms=START_TIME_MS, weights=dict(HELD)
        )
        rig.leader.put_endpoint(before)
        state = rig.leader.engines[EndpointId("e1")]
        assert state.endpoint.start_time_ms == START_TIME_MS + 9 and not state.weights
    finally:
        rig.close()


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(12))
async def test_restarting_engines_are_never_overfilled(
    seed: int,
) -> None:
    rng = Random(seed)
    rig = LeaderRig(seed)
    try:
        start_time_ms = START_TIME_MS
        for engine in rig.engines.values():
            engine.born = start_time_ms
            rig.leader.put_endpoint(make_engine_row(engine))
        rig.client.faulty = True
        for _ in range(60):
            rig.ask(rng.randrange(20))
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            if rng.random() < 0.1:
                start_time_ms += 1
                engine = rng.choice(list(rig.engines.values()))
                engine.restart(start_time_ms)
                if rng.random() < 0.5:
                    rig.leader.put_endpoint(make_engine_row(engine))
        assert all(engine.overfilled == 0 for engine in rig.engines.values())
        rig.client.faulty = False
        await asyncio.sleep(13.0)
        rig.ask(99)
        await asyncio.sleep(3.0)
        assert rig.is_held(99)
    finally:
        rig.close()


async def test_restarted_engine_is_used_by_its_new_incarnation() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1")).whole
        for engine in rig.engines:
            if engine.model:
                engine.restart()
        await asyncio.sleep(1.2)
        engines = {engine.id: engine for engine in rig.engines}
        for daemon in rig.daemons.values():
            for row in daemon._fleet.endpoints.values():
                engine = engines[row.id]
                assert row.start_time_ms == engine.born
                assert {k.adapter for k in row.weights} <= {"", *engine.loaded}
        reply = await rig.ask("south-1", "/m/x", "a1", "q2")
        assert reply.status == 200 and reply.whole
