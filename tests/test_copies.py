"""Adapters are loaded from engines' own copies if there are any."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies

from kestreltally.fleet.copies import INITIAL_DEPTH, MAX_ROWS, CopyTable
from kestreltally.fleet.model import EndpointId, WeightsKey
from kestreltally.placing.planner import (
    MAX_COPY_WAIT,
    plan_most_missed_first,
)
from kestreltally.placing.plans import EngineView, RequestedAdapter
from tests.leaderrig import LOAD_TIME, MODEL, LeaderRig, make_requested, make_view

FIRST, SECOND = EndpointId("e1"), EndpointId("e2")


def make_key(number: int) -> WeightsKey:
    return WeightsKey(MODEL, f"a{number}")


def test_recently_unloaded_adapters_have_copies() -> None:
    table = CopyTable()
    table.record_dropped(FIRST, make_key(1))
    table.record_dropped(SECOND, make_key(1))
    assert table.list_engines(make_key(1)) == [FIRST, SECOND]
    table.remove_endpoint(FIRST)
    assert table.list_engines(make_key(1)) == [SECOND]


def test_a_model_leaves_no_copy_of_an_adapter() -> None:
    table = CopyTable()
    table.record_dropped(FIRST, WeightsKey(MODEL))
    assert table.list_engines(WeightsKey(MODEL)) == []


def test_the_depth_is_learned_from_loads() -> None:
    table = CopyTable()
    for number in range(100):
        table.record_dropped(FIRST, make_key(number))
    assert not table.has_copy(FIRST, make_key(0))
    table.record_load(90, fast=True)
    assert table.has_copy(FIRST, make_key(10))
    for _ in range(40):
        table.record_load(20, fast=False)
    assert not table.has_copy(FIRST, make_key(70))
    assert table.has_copy(FIRST, make_key(95))


def test_fast_loads_compensate_for_a_slow_load() -> None:
    table = CopyTable()
    table.record_load(2, fast=False)
    assert table.depth < INITIAL_DEPTH - 5
    for _ in range(40):
        table.record_load(2, fast=True)
    assert table.depth >= INITIAL_DEPTH


def test_a_slow_load_beyond_the_depth_changes_nothing() -> None:
    table = CopyTable()
    table.record_load(INITIAL_DEPTH + 10, fast=False)
    assert table.depth == INITIAL_DEPTH


def test_the_table_is_bounded() -> None:
    table = CopyTable()
    for number in range(MAX_ROWS + 10):
        table.record_dropped(FIRST, make_key(number))
    assert table.measure_age(FIRST, make_key(0)) is None
    assert table.measure_age(FIRST, make_key(MAX_ROWS)) == 9


@settings(derandomize=True, deadline=None)
@given(strategies.lists(strategies.integers(0, 9), max_size=60))
def test_the_age_counts_unloads(drops: list[int]) -> None:
    table = CopyTable()
    for number in drops:
        table.record_dropped(FIRST, make_key(number))
    for number in range(10):
        since = drops[::-1].index(number) if number in drops else None
        assert table.measure_age(FIRST, make_key(number)) == since


def keep_copy(view: EngineView, number: int) -> EngineView:
    return replace(view, warm=frozenset({make_key(number)}))


def plan(
    engines: list[EngineView], *requested: RequestedAdapter
) -> list[tuple[str, str]]:
    placed = plan_most_missed_first(engines, requested, 10.0)
    return [(each.engine, each.key.adapter) for each in placed]


async def test_an_engine_with_a_copy_is_chosen_before_an_emptier_one() -> None:
    kept = keep_copy(replace(make_view("e1", "north"), running=4), 7)
    assert plan([make_view("e2", "north"), kept], make_requested("a7", 1)) == [
        ("e1", "a7")
    ]


async def test_an_adapter_waits_briefly_for_the_engine_with_its_copy() -> None:
    kept = keep_copy(replace(make_view("e1", "north"), ready=False), 7)
    engines = [make_view("e2", "north"), kept]
    assert plan(engines, make_requested("a7", 1)) == []
    waited = replace(make_requested("a7", 1), waited=MAX_COPY_WAIT)
    assert plan(engines, waited) == [("e2", "a7")]


async def test_two_copies_on_one_engine_are_loaded_in_sequence() -> None:
    kept = replace(make_view("e1", "north"), warm=frozenset({make_key(7), make_key(8)}))
    engines = [make_view("e2", "north"), kept]
    requested = (make_requested("a7", 1), make_requested("a8", 1))
    assert plan(engines, *requested) == [("e1", "a7")]


async def test_loads_from_the_store_leave_a_load_slot_for_copies() -> None:
    kept = keep_copy(replace(make_view("e1", "north"), ready_for_cold=False), 7)
    assert plan([kept], make_requested("a8", 1)) == []
    assert plan([kept], make_requested("a7", 1)) == [("e1", "a7")]


@pytest.mark.looptime
async def test_a_copy_is_loaded_at_once_besides_loads_from_the_store() -> None:
    """Send bursts of requests for three new adapters and one that was held recently.

    The request for the latter waits 0.04 s on average; the wait is 0.16 s if loads from
    the store can occupy all load slots of the engine.
    """
    rig = LeaderRig(engines=1)
    await asyncio.sleep(1.0)
    clock = asyncio.get_running_loop().time
    waits = []
    for burst in range(10):
        (engine,) = rig.engines.values()
        known = make_key(burst)
        engine.copies.append(known.adapter)
        rig.fleet.copies.record_dropped(EndpointId(engine.name), known)
        for number in range(3):
            rig.ask(100 + 3 * burst + number)
        await asyncio.sleep(0.15)
        began = clock()
        while not rig.is_held(burst):
            rig.ask(burst)
            await asyncio.sleep(0.01)
        waits.append(clock() - began)
        await asyncio.sleep(8.0)
    rig.close()
    assert sum(waits) / len(waits) < LOAD_TIME / 2
