"""A confirmed configuration is in force within its bound, whatever call is pending.

A call that waits for a change proves nothing about the time since it was sent: its
channel may have fallen silent, or the store may have been restored meanwhile. Guards
against daemons that took such a call for "no change" for up to 3.8 s.
"""

import asyncio
from typing import Any, cast

import pytest

from kestreltally.knowledge.authority import Authority
from kestreltally.knowledge.configuration_age import ConfigurationAge
from kestreltally.knowledge.structs import Update
from kestreltally.platform.store import WatchInterrupted
from tests.clocks import ManualClock
from tests.entryrig import BOUNDS
from tests.test_fleet_daemon import FleetRig, make_configuration, run_fleet
from tests.test_store_eras import StoreRig

# Machines are in touch again this long after their channels fell silent.
CONTACT_TIME = 3.0
PHASE_INTERVAL = 0.01


async def wait_until_watch_begins(rig: FleetRig) -> None:
    """Return right after a leader's watch of the configuration was sent."""
    watch = rig.daemons["north-1"]._configuration_watch
    loop = asyncio.get_running_loop()
    while not 0.12 < loop.time() - watch.answered_at < 0.2:
        await asyncio.sleep(PHASE_INTERVAL)


async def check_in_force(rig: FleetRig, path: str, until: float) -> None:
    left = until - asyncio.get_running_loop().time()
    await asyncio.gather(*(rig.ask_until(vm, path, 200, left) for vm in rig.daemons))


async def test_change_is_in_force_while_open_store_channels_are_silent() -> None:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(4)
        await asyncio.sleep(0.5)
        await wait_until_watch_begins(rig)
        silent_at = asyncio.get_running_loop().time()
        rig.store_proxy.silence_open()
        await asyncio.sleep(CONTACT_TIME - BOUNDS.configuration)
        await rig.store.put("config", "main", make_configuration(7, "/b/"))
        await check_in_force(rig, "/b/x", silent_at + CONTACT_TIME)


async def test_restored_configuration_is_in_force_though_a_watch_has_just_begun() -> (
    None
):
    async with run_fleet() as rig:
        backup = rig.store.make_snapshot()
        backup.objects["config"]["main"]["Specification"] = make_configuration(7, "/b/")
        await asyncio.sleep(0.5)
        await wait_until_watch_begins(rig)
        restored_at = asyncio.get_running_loop().time()
        await rig.store.restore(backup, later_changes=200)
        await check_in_force(rig, "/b/x", restored_at + BOUNDS.configuration)


async def test_a_watch_that_waits_ends_as_connections_are_given_up() -> None:
    async with StoreRig() as rig:
        listing = await rig.client.list_objects("k")
        watching = asyncio.create_task(rig.client.watch("k", listing.revision, 5.0))
        await asyncio.sleep(0.1)
        rig.client.reconnect()
        with pytest.raises(WatchInterrupted):
            await asyncio.wait_for(watching, 0.5)
        await rig.client.list_objects("k")
        await rig.client.close()


async def test_a_leader_that_another_overtakes_begins_its_watches_again_once() -> None:
    async with run_fleet() as rig:
        leader = rig.daemons["north-1"]
        begun: list[int] = []
        leader._exchange.notify_overtaken = lambda: begun.append(1)
        for version in (1, 2, 2, 3):
            leader._exchange._apply_update(
                "south", Update(leads=[], configuration_version=version)
            )
        assert len(begun) == 2


@pytest.mark.parametrize(
    ("leads", "checks_keys", "age", "store_is_away", "expected"),
    [
        (False, False, 1.7, False, False),
        (False, False, 1.9, False, True),
        (False, False, 1.9, True, False),
        (True, False, 1.7, False, False),
        (True, False, 1.9, True, True),
        (True, True, 0.0, False, True),
    ],
)
def test_a_daemon_reads_once_its_proof_is_too_old(
    leads: bool, checks_keys: bool, age: float, store_is_away: bool, expected: bool
) -> None:
    clock = ManualClock()
    authority = Authority(None, clock)
    authority.record(clock.now)
    configuration_age = ConfigurationAge(
        BOUNDS.configuration,
        authority,
        cast(Any, None),
        cast(Any, None),
        lambda: checks_keys,
        clock.now,
        clock,
    )
    clock.now += age
    needed = configuration_age.is_read_needed(leads=leads, store_is_away=store_is_away)
    assert needed is expected
