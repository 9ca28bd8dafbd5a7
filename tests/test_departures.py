"""What is gone stays gone, whoever has not heard of it yet.

What users saw in a hunted day: a request reached an engine more than four seconds after
the store had taken that it leaves, as the leader of its data centre had lost the store.
"""

import asyncio
from dataclasses import replace

import pytest

from kestreltally.knowledge.departures import KEPT_FOR, Departures
from tests.ports import reserve_port
from tests.test_fleet_daemon import run_fleet
from tests.test_knowledge import make_endpoint

GONE = replace(make_endpoint("e1"), born=7)
# The operators' bound, from the store's answer on.
LEFT_ALONE_WITHIN = 2.0


@pytest.mark.parametrize("who", ["south-1", "north-2"])
async def test_a_leader_without_the_store_brings_no_gone_endpoint_back(
    who: str,
) -> None:
    # Guards against word of endpoints from before they went, told to who connects anew.
    async with run_fleet() as rig:
        await rig.add_daemon("north-2", "north")
        await rig.add_daemon("south-2", "south")
        await asyncio.sleep(1.0)
        leader = rig.daemons["north-1"]
        leader._store._base = f"http://127.0.0.1:{reserve_port()}/objects"
        await asyncio.sleep(0.3)
        (victim,) = [e for e in rig.engines if e.zone == "north" and not e.model]
        victim.keeps_silent_in_the_store(60.0)
        await rig.store.drop("servers", victim.id)
        gone_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        for peer in list(leader._exchange.feed._peers):
            if peer.vm == who:
                peer.stream.abort()
        for number in range(40):
            for vm in ("north-2", "south-1", "south-2"):
                reply = await rig.ask(vm, "/a/x", request_id=f"{vm}-{number}")
                assert reply.status == 200
            await asyncio.sleep(0.05)
        assert max(victim.arrivals, default=0.0) < gone_at + LEFT_ALONE_WITHIN


def test_word_of_before_its_end_brings_an_endpoint_not_back() -> None:
    departures = Departures()
    departures.note(GONE, 100.0)
    assert departures.is_gone(GONE, 97.0)
    assert departures.is_gone(GONE, 100.0)
    # Who has read the store since knows better.
    assert not departures.is_gone(GONE, 100.3)
    # Another start is another endpoint.
    assert not departures.is_gone(replace(GONE, born=8), 97.0)
    assert not departures.is_gone(replace(GONE, id=make_endpoint("e2").id), 97.0)


def test_an_endpoint_that_is_listed_again_is_no_longer_gone() -> None:
    departures = Departures()
    departures.note(GONE, 100.0)
    departures.forget(GONE.id)
    assert not departures.is_gone(GONE, 97.0)
    departures.note(GONE, 100.0)
    departures.forget_old(100.0 + KEPT_FOR)
    assert not departures.is_gone(GONE, 97.0)
