"""Tests of a store that is restored from a backup of some seconds ago.

Guards against adapters that are no longer loaded, a configuration that is not put in
force, and two daemons that give orders to the same engine.

A restored store lacks the latest writes, including leases, and assigns their revisions
again. A daemon that knows a later revision waits for one that is newer still, writes on
condition of a revision that now belongs to another object, or watches from it past
changes that it never received. A lease holder that found its own older record treated
its revision as outdated, and retried at once without end. So revisions are compared
within an era only.
"""

import asyncio

from tests.test_fleet_daemon import (
    FleetRig,
    make_configuration,
    read_versions,
    run_fleet,
)

# Writes of the last seconds that the store loses.
LOST_SECONDS = 2.0


async def restore_recent_backup(rig: FleetRig) -> None:
    """Restore the store from a backup of some seconds ago."""
    backup = rig.store.make_snapshot()
    await asyncio.sleep(LOST_SECONDS)
    await rig.store.restore(backup)


def check_orders(rig: FleetRig) -> None:
    """Check that no engine got orders of two lease holders with the same fence."""
    for engine in rig.engines:
        numbers = [fence for _, fence in engine.holders]
        assert numbers == sorted(numbers)
        named = set(engine.holders)
        assert len({fence for _, fence in named}) == len(named)


async def test_leaders_continue_after_store_restore() -> None:
    async with run_fleet() as rig:
        for number in range(2):
            await restore_recent_backup(rig)
            calls = rig.store.calls
            await asyncio.sleep(1.0)
            # Four engines write 3.3 times/s each, two daemons renew leases and watch.
            assert rig.store.calls - calls < 60
            for vm in rig.daemons:
                name = f"a{number}{vm[0]}"
                reply = await rig.ask(vm, "/m/x", name, f"q-{name}")
                assert reply.whole and read_versions(reply) == {f"{name}@1"}
        check_orders(rig)
        assert all(each._exchange.leaders.leads for each in rig.daemons.values())


async def test_configuration_with_reused_revision_comes_into_force() -> None:
    async with run_fleet() as rig:
        backup = rig.store.make_snapshot()
        await asyncio.sleep(LOST_SECONDS)
        # The operator has written already, and other writes have raised the revisions,
        # so no daemon sees a lower revision than the one that it knows.
        backup.objects["config"]["main"]["Specification"] = make_configuration(7, "/b/")
        await rig.store.restore(backup, later_changes=200)
        for vm in rig.daemons:
            await rig.ask_until(vm, "/b/x", 200, 2.0)


async def test_older_configuration_does_not_replace_newer_one() -> None:
    async with run_fleet() as rig:
        backup = rig.store.make_snapshot()
        await rig.store.put("config", "main", make_configuration(4, "/b/"))
        for vm in rig.daemons:
            await rig.ask_until(vm, "/b/x", 200, 2.0)
        await rig.store.restore(backup)
        for _ in range(10):
            await asyncio.sleep(0.1)
            for vm in rig.daemons:
                assert (await rig.ask(vm, "/b/x")).status == 200


async def test_endpoints_missing_in_backup_stay_in_use() -> None:
    async with run_fleet() as rig:
        backup = rig.store.make_snapshot()
        backup.objects["servers"].clear()
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        for engine in rig.engines:
            engine.pause_heartbeats(1.5)
        await rig.store.restore(backup)
        for number in range(10):
            await asyncio.sleep(0.1)
            assert (await rig.ask("south-1", "/a/x")).status == 200
            reply = await rig.ask("north-1", "/m/x", "a1", f"q-{number}")
            assert reply.whole and read_versions(reply) == {"a1@1"}


async def test_leaving_endpoint_stays_unused_after_restore() -> None:
    async with run_fleet() as rig:
        first, second = [each for each in rig.engines if not each.model]
        backup = rig.store.make_snapshot()
        first.state = "draining"
        await asyncio.sleep(1.2)
        first.pause_heartbeats(1.5)
        before = sum(first.runs.values())
        await rig.store.restore(backup)
        for number in range(12):
            await asyncio.sleep(0.1)
            for vm in rig.daemons:
                reply = await rig.ask(vm, "/a/x", request_id=f"{vm}-{number}")
                assert reply.status == 200
        assert sum(first.runs.values()) == before
        assert sum(second.runs.values()) >= 24


async def restart_from_backup(rig: FleetRig, vm: str) -> list[int]:
    """Restore the store from a backup, then restart a daemon; return its statuses.

    The operators repeat the write that the backup lacks after a second.
    """
    backup = rig.store.make_snapshot()
    newer = make_configuration(4, "/b/")
    await rig.store.put("config", "main", newer)
    for each in rig.daemons:
        await rig.ask_until(each, "/b/x", 200, 2.0)
    await rig.daemons.pop(vm).close()
    await rig.store.restore(backup)
    await rig.add_daemon(vm, vm.partition("-")[0])
    asyncio.get_running_loop().call_later(
        1.0, lambda: asyncio.ensure_future(rig.store.put("config", "main", newer))
    )
    statuses = []
    for _ in range(30):
        statuses.append((await rig.ask(vm, "/b/x")).status)
        await asyncio.sleep(0.1)
    return statuses


async def test_daemon_started_on_backup_ignores_old_configuration() -> None:
    # Guards against a restarted daemon that rejects newer routes or serves old ones.
    async with run_fleet() as rig:
        await rig.daemons.pop("south-1").close()
        statuses = await restart_from_backup(rig, "north-1")
        assert set(statuses) <= {200, 503}
        assert statuses[-10:] == [200] * 10


async def test_daemon_started_on_backup_applies_leaders_configuration() -> None:
    async with run_fleet() as rig:
        await rig.add_daemon("north-2", "north")
        await asyncio.sleep(0.5)
        statuses = await restart_from_backup(rig, "north-2")
        assert set(statuses) <= {200, 503}
        # Before the operators have written again.
        assert statuses[7:] == [200] * 23
