"""Requests do not reach an endpoint later than the drain bound after it has left.

The endpoints leave without a word: their entry just goes. All plays have a daemon, or
its path to the store, fail shortly before. Times count from the store's answer.
"""

import asyncio

import pytest

from bench.faultsoak.proxy import ProxyMode
from kestreltally.entry.channel import Channel
from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import Endpoint, RequestKind
from tests.drainrig import DrainRig, run_drain_rig
from tests.entryrig import (
    BOUNDS,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)

# Times between a fault and the leaving of an endpoint, seconds.
PHASES = (0.1, 0.4, 0.7, 1.0)


async def play_reset(rig: DrainRig, phase: float) -> float:
    """Reset all connections to the store for a moment; the store is well."""
    rig.set_paths(ProxyMode.RESET)
    await asyncio.sleep(0.3)
    rig.set_paths(ProxyMode.PASS)
    await asyncio.sleep(phase)
    victim = rig.pick_victim("north")
    left_at = await rig.leave(victim, says_so=False)
    return await rig.find_last_arrival(victim, left_at)


async def play_silent_leader(rig: DrainRig, phase: float) -> float:
    """Silence the store for one leader alone."""
    leader = rig.find_leader("north")
    rig.paths[leader].set_mode(ProxyMode.SILENT)
    await asyncio.sleep(phase)
    victim = rig.pick_victim("north")
    left_at = await rig.leave(victim, says_so=False)
    return await rig.find_last_arrival(victim, left_at, out_of_touch=leader)


async def play_restarts(rig: DrainRig, phase: float, *, says_so: bool) -> float:
    """Silence the store for one leader, then restart all other daemons."""
    leader = rig.find_leader("north")
    rig.paths[leader].set_mode(ProxyMode.SILENT)
    await asyncio.sleep(phase)
    victim = rig.pick_victim("north")
    left_at = await rig.leave(victim, says_so=says_so)
    await asyncio.sleep(0.3)
    await rig.restart([vm for vm in rig.daemons if vm != leader])
    return await rig.find_last_arrival(victim, left_at, out_of_touch=leader)


@pytest.mark.parametrize("phase", PHASES)
async def test_reset_store_connections_do_not_keep_a_removed_endpoint(
    phase: float,
) -> None:
    async with run_drain_rig() as rig:
        assert await play_reset(rig, phase) < BOUNDS.drain


@pytest.mark.parametrize("phase", PHASES)
async def test_followers_of_a_leader_without_the_store_drop_a_removed_endpoint(
    phase: float,
) -> None:
    async with run_drain_rig() as rig:
        assert await play_silent_leader(rig, phase) < BOUNDS.drain


@pytest.mark.parametrize("says_so", [False, True])
@pytest.mark.parametrize("phase", PHASES)
async def test_restarted_daemons_do_not_believe_a_leader_without_the_store(
    phase: float, says_so: bool
) -> None:
    async with run_drain_rig() as rig:
        assert await play_restarts(rig, phase, says_so=says_so) < BOUNDS.drain


async def answer_whole(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen))


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
async def test_request_is_not_sent_to_an_endpoint_removed_while_it_waited(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind
) -> None:
    endpoints = [ScriptedEndpoint(name, answer_whole) for name in ("e1", "e2")]
    acquire = ChannelPool.acquire
    removed: list[str] = []

    async with run_entry(endpoints, make_route(kind)) as rig:

        async def wait_for_channel(
            pool: ChannelPool, endpoint: Endpoint, request_id: str
        ) -> Channel:
            channel = await acquire(pool, endpoint, request_id)
            if not removed:
                removed.append(endpoint.id)
                rig.fleet.drop_endpoint(endpoint.id)
            return channel

        monkeypatch.setattr(ChannelPool, "acquire", wait_for_channel)
        reply = await rig.ask("POST", body=b"x")
    assert reply.status == 200
    assert {each.name: len(each.seen) for each in endpoints}[removed[0]] == 0
