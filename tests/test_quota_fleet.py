"""The keeper of a quota among complete daemons, and its loss.

Guards against daemons that do not find the keeper over the feed and datagrams, and
against requests granted beyond the quota while the keeper is lost.
"""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.quotas.grants import QuotaBounds
from tests import test_fleet_daemon
from tests.entryrig import BOUNDS, Reply
from tests.test_fleet_daemon import FleetRig, make_configuration, run_fleet

WINDOW = 4.0
# In a window 10 a second and 20 at once: 60 requests, of which keepers grant 54.
TENANT = {"Name": "org", "Keys": ["k"], "Unit": "requests", "RatePerS": 10, "Burst": 20}
MAX_RUNS = 60


async def ask(rig: FleetRig, number: int) -> Reply:
    vms = sorted(rig.daemons)
    return await rig.ask(vms[number % len(vms)], f"/a/{number}", key="k")


async def count_served(rig: FleetRig, first: int, count: int) -> int:
    replies = await asyncio.gather(*(ask(rig, first + n) for n in range(count)))
    assert {each.status for each in replies} <= {200, 429}
    return sum(each.status == 200 for each in replies)


async def wait_for_keeper(rig: FleetRig) -> None:
    async with asyncio.timeout(15.0):
        while not all(
            each._exchange.quota_keeping is not None
            and each._exchange.quota_keeping.orders.is_complete(each._clock())
            for each in rig.daemons.values()
            if each._exchange.leaders.leads
        ):
            await asyncio.sleep(0.1)
    # Daemons still have what leaders told before.
    await asyncio.sleep(0.6)


async def test_daemons_ask_the_keeper_and_outlive_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bounds = replace(BOUNDS, quota=QuotaBounds(window=WINDOW))
    monkeypatch.setattr(test_fleet_daemon, "BOUNDS", bounds)
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(4)
        configuration = {**make_configuration(2, "/a/"), "Tenants": [TENANT]}
        await rig.store.put("config", "main", configuration)
        await asyncio.sleep(1.0)
        await wait_for_keeper(rig)
        # Far below the limit daemons grant on their own.
        assert await count_served(rig, 0, 40) == 40
        await asyncio.sleep(0.8)
        served = 40 + await count_served(rig, 100, 40)
        asked = [
            sum(each._quota_asking.counts.values())
            for each in rig.daemons.values()
            if each._quota_asking is not None
        ]
        assert sum(asked) > 0
        # In order: all that the keeper may grant, and no more.
        assert served == 54
        leader, *_ = (
            vm for vm, each in rig.daemons.items() if each._exchange.leaders.leads
        )
        await rig.daemons.pop(leader).close()
        served += await count_served(rig, 200, 20)
        assert served <= MAX_RUNS
        # The window drains, and another leader keeps the account or the ratio decides.
        await asyncio.sleep(WINDOW + 0.5)
        assert await count_served(rig, 300, 20) > 0
