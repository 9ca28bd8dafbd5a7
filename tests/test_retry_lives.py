"""Retries of all daemons stay within their bound, whatever their processes go through.

Guards against two failures: a process that started again used a whole part of the slack
although the process before it had used one in the same window; and the parts of those
that remained grew as others were lost.
"""

import asyncio
import random

import pytest

from tests.retrysim import DURATION, RetrySim
from tests.test_fleet_daemon import run_fleet

# Requests per second at deployments of these sizes.
RATES = {6: 42.0, 79: 590.0, 1_100: 3_000.0}


def draw_kills(seed: int) -> dict[float, float]:
    """Return the shares of processes that are killed, by time."""
    drawn = random.Random(seed)
    times = sorted(drawn.uniform(15.0, DURATION) for _ in range(drawn.randint(1, 16)))
    return {at: drawn.choice((0.2, 0.34, 0.5, 1.0)) for at in times}


@pytest.mark.parametrize("daemons", [6, 79, 1_100])
def test_retries_stay_within_the_bound_as_processes_start_again(daemons: int) -> None:
    for seed in range(3 if daemons > 100 else 30):
        sim = RetrySim(daemons, RATES[daemons], seed)
        assert sim.play(draw_kills(seed)).compute_excess() <= 0.0, seed


@pytest.mark.parametrize("daemons", [6, 79])
def test_retries_stay_within_the_bound_as_all_are_killed_in_series(
    daemons: int,
) -> None:
    for seed in range(10):
        sim = RetrySim(daemons, RATES[daemons], seed)
        kills = {20.0 + 3.0 * number: 1.0 for number in range(8)}
        assert sim.play(kills).compute_excess() <= 0.0, seed


async def test_lost_daemons_do_not_enlarge_the_part_of_the_others() -> None:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(6)
        await asyncio.sleep(2.0)
        for vm in ("north-2", "south-2", "south-3"):
            await rig.daemons.pop(vm).close()
        for _ in range(20):
            await asyncio.sleep(0.1)
            for daemon in rig.daemons.values():
                assert (daemon._relay.budget.daemon_count or 6) >= 6


async def test_daemons_that_start_again_without_the_others_count_all() -> None:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(6)
        await asyncio.sleep(3.0)
        for vm in list(rig.daemons):
            await rig.daemons.pop(vm).close()
        for vm in ("north-1", "north-2", "north-3"):
            await rig.add_daemon(vm, "north")
        await asyncio.sleep(4.0)
        for daemon in rig.daemons.values():
            assert (daemon._relay.budget.daemon_count or 6) >= 6
