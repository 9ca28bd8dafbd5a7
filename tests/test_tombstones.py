"""Tests that removed endpoints are not restored by daemons with older data.

Guards against a request that reaches an engine more than four seconds after the store
accepted that the engine leaves, because its leader has lost the store.
"""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.knowledge.tombstones import RETENTION, Tombstones
from kestreltally.platform.store import Revision
from tests.ports import reserve_port
from tests.test_fleet_daemon import run_fleet
from tests.test_knowledge import make_endpoint

REMOVED = replace(make_endpoint("e1"), start_time_ms=7)
# The operators' bound, counted from the store's answer.
DRAIN_BOUND = 2.0
NOW = 50.0


@pytest.mark.parametrize("reconnecting_vm", ["south-1", "north-2"])
async def test_leader_without_store_does_not_restore_removed_endpoint(
    reconnecting_vm: str,
) -> None:
    # Guards against rows from before the removal, sent to daemons that reconnect.
    async with run_fleet() as rig:
        await rig.add_daemon("north-2", "north")
        await rig.add_daemon("south-2", "south")
        await asyncio.sleep(1.0)
        leader = rig.daemons["north-1"]
        leader._store._base = f"http://127.0.0.1:{reserve_port()}/objects"
        await asyncio.sleep(0.3)
        (victim,) = [e for e in rig.engines if e.zone == "north" and not e.model]
        victim.pause_heartbeats(60.0)
        await rig.store.drop("servers", victim.id)
        removed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        for peer in list(leader._exchange.feed._peers):
            if peer.vm == reconnecting_vm:
                peer.stream.abort()
        for number in range(40):
            for vm in ("north-2", "south-1", "south-2"):
                reply = await rig.ask(vm, "/a/x", request_id=f"{vm}-{number}")
                assert reply.status == 200
            await asyncio.sleep(0.05)
        assert max(victim.arrivals, default=0.0) < removed_at + DRAIN_BOUND


def record_removed(tombstones: Tombstones) -> None:
    tombstones.record(REMOVED.id, REMOVED.start_time_ms, Revision(0, 100), NOW)


def test_tombstone_covers_older_rows_of_same_incarnation() -> None:
    tombstones = Tombstones()
    record_removed(tombstones)
    assert tombstones.is_removed(REMOVED, Revision(0, 97))
    assert tombstones.is_removed(REMOVED, Revision(0, 100))
    assert tombstones.is_removed(REMOVED, None)
    # A row from a later state of the store is valid, also from that of a later era.
    assert not tombstones.is_removed(REMOVED, Revision(0, 101))
    assert not tombstones.is_removed(REMOVED, Revision(1, 60))
    # Another incarnation is another endpoint.
    reborn = replace(REMOVED, start_time_ms=8)
    assert not tombstones.is_removed(reborn, Revision(0, 97))
    other = replace(REMOVED, id=make_endpoint("e2").id)
    assert not tombstones.is_removed(other, Revision(0, 97))


def test_tombstone_ends_when_listed_again_or_after_retention() -> None:
    tombstones = Tombstones()
    record_removed(tombstones)
    tombstones.remove(REMOVED.id)
    assert not tombstones.is_removed(REMOVED, Revision(0, 97))
    record_removed(tombstones)
    tombstones.prune_old(NOW + RETENTION - 0.1)
    assert tombstones.is_removed(REMOVED, Revision(0, 97))
    tombstones.prune_old(NOW + RETENTION)
    assert not tombstones.is_removed(REMOVED, Revision(0, 97))
