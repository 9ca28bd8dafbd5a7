"""The leader's state and orders with engines that answer late or not at all."""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.entry.outcomes import Outcome
from kestreltally.fleet.model import EndpointId, Notice, WeightsKey
from kestreltally.placing.leader import UNKNOWN_LOAD_WAIT
from kestreltally.placing.orders import CALL_TIMEOUT
from kestreltally.placing.planner import plan_most_missed_first
from tests.entryrig import MODELS
from tests.leaderrig import (
    LOAD_TIME,
    MODEL,
    PLACES,
    FakeEngine,
    LeaderRig,
    make_engine_row,
    make_held,
    make_requested,
    make_view,
)

pytestmark = pytest.mark.looptime


async def test_requested_adapter_is_loaded_and_published() -> None:
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(0.4)
    key = WeightsKey(MODEL, "a7")
    assert rig.is_held(7)
    now = asyncio.get_running_loop().time()
    assert len(rig.fleet.list_holders(MODELS, key, now)) == 1
    rig.close()


async def test_load_wait_is_unknown_while_no_leader_can_order() -> None:
    # Guards against requests that wait for a leader whose lease has expired.
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    assert rig.leader.estimate_load_wait() < 0.5
    rig.lease.can_order = lambda: False
    rig.lease.compute_order_wait = lambda: None
    await asyncio.sleep(0.2)
    assert rig.leader.estimate_load_wait() == UNKNOWN_LOAD_WAIT
    # Requests wait for another leader that can order.
    rig.leader.get_remote_wait = lambda: 0.25
    assert rig.leader.estimate_load_wait() < 0.5
    rig.close()


async def test_load_polling_adapts_when_loads_become_quick_again() -> None:
    """Run slow loads, then quick ones, and measure when their end is detected.

    The request for the last of twelve quick adapters waits 0.44 s, including an unload
    before the load. It waited 0.86 s when polling started by the mean load time.
    """
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    clock = asyncio.get_running_loop().time
    waited = 0.0
    for number in range(32):
        for engine in rig.engines.values():
            engine.load_time = 1.0 if number < 20 else LOAD_TIME
        started_at = clock()
        key = WeightsKey(MODEL, f"a{number}")
        while not rig.fleet.list_holders(MODELS, key, clock()):
            rig.ask(number)
            await asyncio.sleep(0.02)
        waited = clock() - started_at
        await asyncio.sleep(1.5)
    rig.close()
    assert waited < 2 * LOAD_TIME


async def test_unanswered_order_is_resent_immediately() -> None:
    # Guards against a failure with a third of the orders unanswered, in which each such
    # order blocked its engine for 0.5 s or more.
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    rig.client.lost_orders = 1
    rig.ask(7)
    await asyncio.sleep(CALL_TIMEOUT + LOAD_TIME + 0.1)
    assert rig.is_held(7)
    assert sum(each.loads for each in rig.engines.values()) == 1
    rig.close()


async def test_an_engine_that_restarted_empty_gets_its_model_first() -> None:
    rig = LeaderRig()
    await asyncio.sleep(0.5)
    empty = FakeEngine("e3", "north")
    empty.has_model = False
    rig.engines["e3"] = empty
    empty.write_report(asyncio.get_running_loop().time())
    rig.leader.put_endpoint(make_engine_row(empty))
    await asyncio.sleep(2.0)
    assert empty.has_model
    rig.close()


async def test_nothing_is_ordered_without_the_lease() -> None:
    rig = LeaderRig()
    rig.lease.can_order = lambda: False
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(1.0)
    assert all(each.sequence == 0 for each in rig.engines.values())
    rig.close()


async def test_adapter_in_use_is_kept_when_places_are_short() -> None:
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    for number in range(2 * PLACES):
        rig.ask(number)
        await asyncio.sleep(0.5)
    used = next(name for name, each in rig.engines.items() if "a0" in each.held)
    rig.leader.list_uses = lambda: {(EndpointId(used), WeightsKey(MODEL, "a0"))}
    for number in range(20, 30):
        for _ in range(5):
            rig.ask(number)
        await asyncio.sleep(0.5)
    assert rig.is_held(0)
    assert not any(each.overfilled for each in rig.engines.values())
    rig.close()


async def test_adapters_of_an_unreachable_engine_are_loaded_elsewhere() -> None:
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(0.5)
    name = next(name for name, each in rig.engines.items() if "a7" in each.held)
    rig.client.unreachable.add(name)
    key = WeightsKey(MODEL, "a7")
    rig.leader.record_refused(EndpointId(name), key)
    for _ in range(20):
        rig.ask(7)
        await asyncio.sleep(0.1)
    now = asyncio.get_running_loop().time()
    holders = [each.id for each in rig.fleet.list_holders(MODELS, key, now)]
    assert holders and name not in holders
    rig.close()


@pytest.mark.parametrize("seed", range(8))
async def test_no_engine_is_ordered_beyond_its_places(seed: int) -> None:
    rig = LeaderRig(seed)
    await asyncio.sleep(1.0)
    rig.client.faulty = True
    for step in range(400):
        rig.ask(rig.client.random.randrange(30))
        await asyncio.sleep(0.05)
        assert not any(each.overfilled for each in rig.engines.values()), (seed, step)
    rig.client.faulty = False
    await asyncio.sleep(13.0)
    for _ in range(20):
        rig.ask(99)
        await asyncio.sleep(0.1)
    assert rig.is_held(99)
    assert not any(each.overfilled for each in rig.engines.values())
    rig.close()


async def test_least_used_adapter_is_evicted() -> None:
    engine = make_view("e1", "north", make_held("hot", 9.0), make_held("cold", 0.1))
    (placed,) = plan_most_missed_first([engine], [make_requested("new", 1)], 10.0)
    assert placed.victim == WeightsKey(MODEL, "cold")


async def test_no_eviction_for_an_adapter_of_lower_score() -> None:
    engine = make_view("e1", "north", make_held("a", 9.0), make_held("b", 8.0))
    assert plan_most_missed_first([engine], [make_requested("new", 1)], 10.0) == []


async def test_adapter_in_use_is_never_evicted() -> None:
    engine = make_view(
        "e1", "north", make_held("a", 0.1, in_use=True), make_held("b", 5.0)
    )
    assert plan_most_missed_first([engine], [make_requested("new", 1)], 10.0) == []


async def test_free_place_in_the_demanding_data_centre_is_preferred() -> None:
    remote = make_view("e1", "south")
    local = make_view("e2", "north")
    (placed,) = plan_most_missed_first(
        [remote, local], [make_requested("new", 1)], 10.0
    )
    assert (placed.engine, placed.victim) == ("e2", None)


async def test_most_missed_is_planned_first() -> None:
    engine = make_view("e1", "north")
    requested = [make_requested("one", 1), make_requested("many", 5)]
    (placed,) = plan_most_missed_first([engine], requested, 10.0)
    assert placed.key == WeightsKey(MODEL, "many")


@pytest.mark.parametrize("saturated", [True, False])
async def test_replica_is_loaded_when_all_holders_are_full(saturated: bool) -> None:
    # Guards against a failure in which three engines refused 4,700 requests for
    # adapters that only they held, while other engines had free capacity.
    engine = make_view("e1", "north", make_held("cold", 0.1))
    requested = replace(
        make_requested("hot", 0, rate=1.0),
        holders={"north": 1},
        saturated=saturated,
    )
    placed = plan_most_missed_first([engine], [requested], 10.0)
    assert [each.key.adapter for each in placed] == (["hot"] if saturated else [])


async def test_engine_failing_most_requests_is_quarantined() -> None:
    # Guards against a failure in which engines that kept going down and up lost 300
    # requests, because no single daemon observed enough failures.
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(0.5)
    clock = asyncio.get_running_loop().time
    key = WeightsKey(MODEL, "a7")
    (holder,) = rig.fleet.list_holders(MODELS, key, clock())
    rig.leader.endpoint_health.record(
        Outcome(holder.id, completed=1, failed=4), clock()
    )
    await asyncio.sleep(0.1)
    assert rig.fleet.list_holders(MODELS, key, clock()) == []
    rig.ask(7)
    await asyncio.sleep(0.5)
    (other,) = rig.fleet.list_holders(MODELS, key, clock())
    assert other.id != holder.id
    await asyncio.sleep(1.0)
    assert len(rig.fleet.list_holders(MODELS, key, clock())) == 2
    rig.close()


async def test_at_most_half_of_a_service_is_quarantined() -> None:
    rig = LeaderRig()
    await asyncio.sleep(0.5)
    for name in rig.engines:
        failed = Outcome(EndpointId(name), completed=0, failed=9)
        rig.leader.endpoint_health.record(failed, asyncio.get_running_loop().time())
    await asyncio.sleep(0.1)
    assert sum(each.quarantined for each in rig.fleet.endpoints.values()) == 1
    rig.close()


async def test_adapters_of_a_leaving_engine_are_loaded_elsewhere() -> None:
    rig = LeaderRig()
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(0.5)
    for _ in range(10):
        rig.ask(7, waiting=0)
        await asyncio.sleep(0.8)
    clock = asyncio.get_running_loop().time
    key = WeightsKey(MODEL, "a7")
    (holder,) = rig.fleet.list_holders(MODELS, key, clock())
    rig.fleet.notices.record(holder, Notice(leaves=True, backoff=0.0), clock())
    rig.leader.record_notice(holder.id)
    assert rig.fleet.list_holders(MODELS, key, clock()) == []
    await asyncio.sleep(2 * LOAD_TIME)
    (other,) = rig.fleet.list_holders(MODELS, key, clock())
    assert other.id != holder.id
    rig.close()


async def test_engine_in_backoff_gets_no_orders() -> None:
    rig = LeaderRig(engines=1)
    await asyncio.sleep(1.0)
    rig.ask(7)
    await asyncio.sleep(0.5)
    clock = asyncio.get_running_loop().time
    (engine,) = rig.fleet.endpoints.values()
    rig.fleet.notices.record(engine, Notice(leaves=False, backoff=3.0), clock())
    rig.ask(8)
    await asyncio.sleep(2.9)
    assert not rig.is_held(8)
    # The request still waits when the backoff ends.
    rig.ask(8)
    await asyncio.sleep(1.0)
    assert rig.is_held(8)
    rig.close()
