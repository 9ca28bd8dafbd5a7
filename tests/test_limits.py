"""A rate limit named by an endpoint holds over all daemons together.

Guards against a failure in which two engines named limits of 4.5 and 2.9 requests per
second for all daemons together, but got 59 and 43 requests in 4 s three seconds later.
The limit is in a header of the engine's answers (status 200). Daemons did not read the
header (each of six counted it 4 to 30 times in 3 s as unread), chose endpoints and
ordered loads as before, and nothing limited a small number of calls over all daemons,
so reading the header alone would not have been enough.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import pytest

from standins.platform_engine import PlatformEngine
from tests.test_fleet_daemon import FleetRig, run_fleet
from tests.windows import compute_allowed, count_max_in_window

# The rule applies from this long after the limit is named.
PROPAGATION_TIME = 1.5


@asynccontextmanager
async def run_daemons(count: int) -> AsyncIterator[FleetRig]:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(count)
        await asyncio.sleep(1.0)
        yield rig


def run_six() -> AbstractAsyncContextManager[FleetRig]:
    return run_daemons(6)


class Load:
    """Sends requests to each daemon at a fixed rate and records the results."""

    def __init__(self, rig: FleetRig, path: str, adapter: str, pause: float) -> None:
        self._rig, self._path, self._adapter = rig, path, adapter
        self._pause = pause
        self.statuses: list[int] = []
        self.waits: list[float] = []

    async def run(self, duration: float) -> None:
        await asyncio.gather(*(self._ask(vm, duration) for vm in self._rig.daemons))

    async def _ask(self, vm: str, duration: float) -> None:
        loop = asyncio.get_running_loop()
        asks = []
        for number in range(int(duration / self._pause)):
            asks.append(loop.create_task(self._ask_once(vm, f"{vm}-{number}")))
            await asyncio.sleep(self._pause)
        await asyncio.gather(*asks)

    async def _ask_once(self, vm: str, name: str) -> None:
        reply = await self._rig.ask(vm, self._path, self._adapter, name)
        self.statuses.append(reply.status)
        if reply.status != 200:
            self.waits.append(float(reply.headers.get("retry-after", "nan")))

    def count_refused(self) -> int:
        return sum(status != 200 for status in self.statuses)


def list_plain(rig: FleetRig) -> list[PlatformEngine]:
    return [each for each in rig.engines if not each.model]


def find_plain(rig: FleetRig) -> PlatformEngine:
    return list_plain(rig)[0]


async def find_holder(rig: FleetRig, adapter: str) -> PlatformEngine:
    assert (await rig.ask("north-1", "/m/x", adapter, "begin")).whole
    (engine,) = [each for each in rig.engines if adapter in each.loaded]
    return engine


@pytest.mark.parametrize("store_away", [False, True])
async def test_a_limit_holds_over_all_daemons(store_away: bool) -> None:
    async with run_six() as rig:
        engine = find_plain(rig)
        engine.limit = 2.9
        rig.store.faults.set(down=store_away)
        loop = asyncio.get_running_loop()
        named_at = loop.time()
        load = Load(rig, "/a/x", "", 0.1)
        await load.run(7.0)
        max_calls = count_max_in_window(engine.calls, named_at + PROPAGATION_TIME)
        assert max_calls <= compute_allowed(engine.limit)
        # The other endpoint can serve all requests.
        assert load.count_refused() == 0


async def test_adapter_held_only_by_a_limited_engine_is_loaded_elsewhere() -> None:
    async with run_six() as rig:
        engine = await find_holder(rig, "a1")
        engine.limit = 2.9
        loop = asyncio.get_running_loop()
        named_at = loop.time()
        load = Load(rig, "/m/x", "a1", 0.1)
        await load.run(7.0)
        max_calls = count_max_in_window(engine.calls, named_at + PROPAGATION_TIME)
        assert max_calls <= compute_allowed(engine.limit)
        assert load.count_refused() <= 0.02 * len(load.statuses)


async def test_endpoint_is_used_again_after_its_limit_ends() -> None:
    async with run_six() as rig:
        engine = find_plain(rig)
        engine.limit = 2.9
        load = Load(rig, "/a/x", "", 0.1)
        await load.run(3.0)
        engine.limit = None
        over_at = asyncio.get_running_loop().time()
        await load.run(4.0)
        assert load.count_refused() == 0
        # Half of the endpoint's share of the requests; the limit was a tenth of it.
        later_arrivals = [at for at in engine.arrivals if at > over_at + 2.0]
        assert len(later_arrivals) > 2.0 * 6 / 0.1 / 2 / 2


async def test_limit_holds_after_its_issuer_is_lost() -> None:
    async with run_six() as rig:
        engine = find_plain(rig)
        engine.limit = 2.9
        named_at = asyncio.get_running_loop().time()
        load = Load(rig, "/a/x", "", 0.1)
        running = asyncio.create_task(load.run(9.0))
        await asyncio.sleep(2.5)
        (issuer,) = [
            vm
            for vm, daemon in rig.daemons.items()
            if daemon._leases[engine.zone].leads
        ]
        # Its clients keep sending requests, which fail.
        await rig.daemons[issuer].close()
        await asyncio.gather(running, return_exceptions=True)
        max_calls = count_max_in_window(engine.calls, named_at + PROPAGATION_TIME)
        assert max_calls <= compute_allowed(engine.limit)


async def test_callers_get_retry_after_when_all_endpoints_are_limited() -> None:
    async with run_six() as rig:
        engines = list_plain(rig)
        for engine in engines:
            engine.limit = 2.9
        named_at = asyncio.get_running_loop().time()
        load = Load(rig, "/a/x", "", 0.2)
        await load.run(6.0)
        for engine in engines:
            max_calls = count_max_in_window(engine.calls, named_at + PROPAGATION_TIME)
            assert max_calls <= compute_allowed(engine.limit)
        assert set(load.statuses) == {200, 503}
        assert all(wait >= 0.3 for wait in load.waits)
        served = load.statuses.count(200)
        assert served > 0.8 * 2 * 2.9 * 6.0


async def test_limited_endpoints_are_used_while_the_store_is_away_for_long() -> None:
    async with run_six() as rig:
        engines = [each for each in rig.engines if not each.model]
        for engine in engines:
            engine.limit = 8.0
        rig.store.faults.set(down=True)
        # Every lease has expired by then.
        await asyncio.sleep(8.0)
        load = Load(rig, "/a/x", "", 0.2)
        await load.run(4.0)
        assert load.statuses.count(200) >= 0.25 * 2 * 8.0 * 4.0
