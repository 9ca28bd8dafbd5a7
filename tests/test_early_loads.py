"""Adapters are loaded ahead of demand, where that pays.

Guards against failures in which every adapter had one engine, however long its prompts
queued there; in which an adapter asked for once displaced one that is requested
regularly; and in which a new leader, which has heard of nothing, evicted what is in
demand.
"""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.entry.demand import DemandCounter, WeightsDemand
from kestreltally.fleet.model import EndpointId, WeightsKey
from kestreltally.placing.early import plan_early_loads
from kestreltally.placing.plans import RequestedAdapter
from kestreltally.placing.trends import (
    MAX_ROWS,
    PRUNE_INTERVAL,
    Trend,
    TrendTable,
    forecast,
)
from tests.entryrig import MODELS
from tests.leaderrig import MODEL, LeaderRig, make_held, make_requested, make_view
from tests.placingplay import Outcome, Play

# Callers want the first event within about a second. Where places are short, they bear
# a few seconds before they give up.
MAX_PASSED_OVER = 1.0
MAX_PASSED_OVER_SHORT = 4.0


def play(planner: str, engines: int, places: int, rate: float) -> Outcome:
    game = Play(planner, engines=engines, places=places, seed=5)
    return game.run(rate=rate, seconds=15.0, shift_at=7.0)


def test_further_holders_halve_late_requests_for_few_more_loads() -> None:
    # The most popular adapters have more prompts than one engine processes.
    before = play("most-missed-first", 44, 8, 173.0)
    now = play("early-loads", 44, 8, 173.0)
    assert now.count_late(0.9) < 0.5 * before.count_late(0.9)
    assert now.loads < 1.25 * before.loads
    assert now.lost < before.lost
    assert now.count_waits(0.35) <= 1.1 * before.count_waits(0.35) + 5
    assert max(now.waits) < MAX_PASSED_OVER


def test_rare_adapters_are_not_passed_over_where_places_are_short() -> None:
    # Nearly all places are in use: adapters wait for one.
    before = play("most-missed-first", 24, 5, 105.0)
    now = play("early-loads", 24, 5, 105.0)
    assert max(before.waits) > MAX_PASSED_OVER_SHORT > max(now.waits)
    assert now.lost < 1.2 * before.lost


def make_trend(*at: float) -> Trend:
    trend = Trend(at[0])
    for each in at:
        trend.add(1, each)
    return trend


def test_one_request_counts_less_than_regular_ones() -> None:
    once = make_trend(60.0)
    regular = make_trend(*(float(at) for at in range(60)))
    assert forecast(once, 60.0, 60.5) < 0.1 < 0.7 < forecast(regular, 60.0, 60.5)


def test_silence_is_noticed_sooner_than_by_the_slow_mean() -> None:
    trend = make_trend(*(float(at) for at in range(60)))
    assert forecast(trend, 60.0, 61.0) > 0.7
    assert forecast(trend, 66.0, 66.0) < 0.1 < 0.5 * trend.slow


def test_rise_is_expected_to_go_on() -> None:
    trend = make_trend(*(60.0 + 0.1 * n for n in range(8)))
    assert forecast(trend, 60.0, 60.8) > 3.0 > trend.slow


def test_trends_are_bounded() -> None:
    table = TrendTable()
    for number in range(MAX_ROWS + 100):
        table.add((MODELS, WeightsKey(MODEL, f"a{number}")), 1, 2.0 + number / 1e6)
    table.prune(2.0 + 2 * PRUNE_INTERVAL)
    assert len(table.rows) == MAX_ROWS


def test_new_leader_keeps_what_it_may_not_have_heard_of() -> None:
    table = TrendTable()
    table.start(100.0)
    table.add((MODELS, WeightsKey(MODEL, "heard")), 2, 101.0)
    unheard = (MODELS, WeightsKey(MODEL, "unheard"))
    # A single waiting request displaces scores below 1 / 1.5.
    assert table.forecast(unheard, 102.0) > 0.67 > table.forecast(unheard, 103.0)
    heard = (MODELS, WeightsKey(MODEL, "heard"))
    assert table.forecast(heard, 103.0) > table.forecast(unheard, 103.0)
    table.extend(110.0)
    assert table.forecast(unheard, 111.0) > 1.0


def test_leaders_replaced_midway_evict_little_that_is_in_demand() -> None:
    def run(replaced: bool) -> Outcome:
        game = Play("early-loads", engines=44, places=8, seed=6)
        game.run(rate=173.0, seconds=7.0, shift_at=99.0)
        if replaced:
            game.replace_leaders()
        return game.run(rate=173.0, seconds=14.0, shift_at=99.0)

    kept, new = run(False), run(True)
    assert new.loads < 1.1 * kept.loads
    assert new.count_late(0.9) < 1.3 * kept.count_late(0.9) + 20


@pytest.mark.parametrize(("waited", "loaded"), [(0.1, False), (1.6, True)])
def test_rare_adapter_displaces_a_regular_one_after_a_bounded_wait(
    waited: float, loaded: bool
) -> None:
    regular = replace(make_held("regular", 1.0), value=1.0)
    engine = make_view("e1", "north", regular, replace(regular, value=1.1))
    rare = replace(make_requested("rare", 1), within_objective=1, waited=waited)
    assert bool(plan_early_loads([engine], [rare], 10.0)) is loaded


def test_switched_off_daemons_report_what_they_did_before() -> None:
    counter = DemandCounter()
    counter.record_sent(MODELS, WeightsKey(MODEL, "a1"), 900)
    assert counter.pop_demand(0.0) == []
    counter.counts_prompts = True
    counter.record_sent(MODELS, WeightsKey(MODEL, "a1"), 900)
    (reported,) = counter.pop_demand(0.0)
    assert (reported.sent, reported.sent_tokens, reported.arrivals) == (1, 900, 0)


def make_read(rate: float, prefill_time: float) -> RequestedAdapter:
    requested = make_requested("read", 0, rate)
    return replace(
        requested,
        forecasts={"north": rate},
        holders={"north": 1},
        prefill_time=prefill_time,
    )


def test_further_holder_only_where_prompts_keep_an_engine_busy() -> None:
    engine = make_view("e1", "north", make_held("cold", 0.1))
    assert plan_early_loads([engine], [make_read(8.0, 0.001)], 10.0) == []
    (placed,) = plan_early_loads([engine], [make_read(8.0, 0.12)], 10.0)
    assert placed.ahead
    busy = replace(engine, pending=1)
    assert plan_early_loads([busy], [make_read(8.0, 0.12)], 10.0) == []


def test_long_prompts_and_long_streams_are_kept_apart_unless_places_weigh_more() -> (
    None
):
    reads = replace(make_view("e1", "north"), reading=0.9)
    streams = replace(make_view("e2", "north"), running=1)
    full = make_held("regular", 0.6)
    # Unknown, short and long prompts.
    for prefill_time, expected in ((0.0, "e1"), (0.01, "e2"), (0.3, "e1")):
        requested = replace(make_requested("new", 1), prefill_time=prefill_time)
        (placed,) = plan_early_loads([reads, streams], [requested], 10.0)
        assert placed.engine == expected
    short = replace(make_requested("new", 1), prefill_time=0.01, within_objective=1)
    occupied = replace(streams, held=(full, full), free_places=0)
    (placed,) = plan_early_loads([reads, occupied], [short], 10.0)
    assert placed.engine == "e1"


async def test_adapters_of_a_lost_engine_are_loaded_before_they_are_requested() -> None:
    rig = LeaderRig(engines=2, early_loads=True)
    await asyncio.sleep(0.5)
    for _ in range(20):
        rig.ask(1, waiting=0 if rig.is_held(1) else 1)
        await asyncio.sleep(0.1)
    (holder,) = rig.list_holders(1)
    (other,) = rig.engines.keys() - {holder}
    rig.client.unreachable.add(holder)
    rig.leader.engines[EndpointId(holder)].require_report(0.0)
    report = WeightsDemand(
        MODELS, WeightsKey(MODEL, "a1"), arrivals=1, waiting=0, missed=0
    )
    rig.leader.apply_demand("vm", "north", [report])
    await asyncio.sleep(1.5)
    assert "a1" in rig.engines[other].held
    assert rig.leader.loads_ahead
    rig.close()
