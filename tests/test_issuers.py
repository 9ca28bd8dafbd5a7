"""Rate-limited endpoints are used without a valid lease, and never beyond the limit.

Guards against a failure in which, with the store unreachable for longer than a lease,
no requests were sent to rate-limited endpoints and the end of a limit went unnoticed.
In large fleets the same happened for some seconds after the loss of a leader.
"""

import asyncio

import pytest

from standins.platform_engine import PlatformEngine
from tests.test_fleet_daemon import FleetRig
from tests.test_limits import Load, find_holder, list_plain, run_daemons
from tests.windows import compute_allowed, count_max_in_window

# Every lease has expired this long after the store became unreachable.
LEASE_EXPIRY_TIME = 8.0
# Requests per second of all daemons together.
REQUEST_RATE = 50.0


def set_limits(rig: FleetRig, limit: float) -> list[PlatformEngine]:
    """Set a limit at the endpoints of the plain service; return them."""
    engines = list_plain(rig)
    for engine in engines:
        engine.limit = limit
    return engines


def make_load(rig: FleetRig) -> Load:
    return Load(rig, "/a/x", "", len(rig.daemons) / REQUEST_RATE)


def check_limit(engine: PlatformEngine, limit: float, since: float) -> None:
    assert count_max_in_window(engine.calls, since) <= compute_allowed(limit)


def count_arrivals(engines: list[PlatformEngine], since: float, until: float) -> int:
    return sum(since <= at < until for each in engines for at in each.arrivals)


@pytest.mark.parametrize(("daemons", "limit"), [(4, 2.9), (12, 8.0)])
async def test_limits_named_without_a_valid_lease_are_used_and_removed(
    daemons: int, limit: float
) -> None:
    # Guards against reachable leaders that issue no credits because no lease is valid.
    async with run_daemons(daemons) as rig:
        loop = asyncio.get_running_loop()
        rig.store.faults.set(down=True)
        await asyncio.sleep(LEASE_EXPIRY_TIME)
        engines = set_limits(rig, limit)
        named_at = loop.time()
        await make_load(rig).run(5.0)
        for engine in engines:
            check_limit(engine, limit, named_at + 0.5)
        used = count_arrivals(engines, named_at + 1.0, named_at + 5.0)
        assert used >= 0.25 * 2 * limit * 4.0
        for engine in engines:
            engine.limit = None
        await make_load(rig).run(3.0)
        load = make_load(rig)
        await load.run(2.0)
        assert load.count_refused() <= 0.02 * len(load.statuses)


async def test_a_limit_is_fully_used_soon_after_the_store_is_back() -> None:
    # Guards against bursts once leases are valid again, and against issuing only the
    # unleased fraction of the limit from then on.
    async with run_daemons(6) as rig:
        loop = asyncio.get_running_loop()
        engines = set_limits(rig, 8.0)
        started_at = loop.time()
        load = asyncio.create_task(make_load(rig).run(26.0))
        for _ in range(2):
            rig.store.faults.set(down=True)
            await asyncio.sleep(LEASE_EXPIRY_TIME)
            rig.store.faults.set(down=False)
            back_at = loop.time()
            await asyncio.sleep(4.5)
            used = count_arrivals(engines, back_at + 0.5, back_at + 4.5)
            assert used >= 0.6 * 2 * 8.0 * 4.0
        await load
        for engine in engines:
            check_limit(engine, 8.0, started_at + 0.5)


async def test_only_holder_of_an_adapter_is_used_within_its_limit() -> None:
    # Guards against refusing all requests if the adapter can't be loaded elsewhere.
    async with run_daemons(6) as rig:
        engine = await find_holder(rig, "a1")
        engine.limit = 4.0
        loop = asyncio.get_running_loop()
        rig.store.faults.set(down=True)
        await asyncio.sleep(LEASE_EXPIRY_TIME)
        started_at = loop.time()
        await Load(rig, "/m/x", "a1", 0.2).run(5.0)
        check_limit(engine, 4.0, started_at)
        assert (
            count_arrivals([engine], started_at + 1.0, started_at + 5.0)
            >= 0.25 * 4.0 * 4.0
        )


@pytest.mark.parametrize("stop", [False, True])
async def test_a_limit_is_used_while_a_lost_leader_has_no_successor(stop: bool) -> None:
    # Guards against large fleets in which no daemon issues credits without the lease.
    async with run_daemons(14) as rig:
        loop = asyncio.get_running_loop()
        engines = set_limits(rig, 8.0)
        named_at = loop.time()
        (north,) = [each for each in engines if each.zone == "north"]
        leader = rig.daemons.pop("north-1")
        load = asyncio.create_task(make_load(rig).run(10.0))
        await asyncio.sleep(2.0)
        if stop:
            await leader.stop()
            lost_at = loop.time()
            await leader.close()
        else:
            await leader.close()
            lost_at = loop.time()
        await load
        used = count_arrivals([north], lost_at + 1.0, lost_at + 4.0)
        assert used >= 0.25 * 8.0 * 3.0
        for engine in engines:
            check_limit(engine, 8.0, named_at + 1.5)
