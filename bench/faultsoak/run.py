"""Run the soak: each seed gives a plan; a failing plan is printed and can be shrunk."""

import asyncio
import contextlib
import logging
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientSession

from bench.cluster import wait_for_answer
from bench.faultsoak.actions import PERFORMERS
from bench.faultsoak.checker import Checker
from bench.faultsoak.plan import Action, Step, make_plan
from bench.faultsoak.proxy import HOST
from bench.faultsoak.soak import Soak
from bench.faultsoak.system import SoakSystem, VmLimits

READY_TIMEOUT: Final = 15.0
# Each start takes half a second of a core; beyond these many they wait for each other.
UNSCALED_READY_DAEMONS: Final = 16
READY_TIMEOUT_PER_DAEMON: Final = 1.0
# Time for the election of leaders and listing of engines, seconds.
SETTLE_TIME: Final = 1.0
# Time after the last disturbance, seconds, and fraction of requests that must be
# served from then on.
RECOVERY_TIME: Final = 12.0
MIN_RECOVERED_FRACTION: Final = 0.9
MEASURE_DURATION: Final = 3.0
MAX_SHRINK_RUNS: Final = 12
# The limits of each VM in plans with clients that don't behave.
CROWD_LIMITS: Final = VmLimits(memory_mb=160.0, descriptors=600)
RunPlan = Callable[[list[Step]], Coroutine[Any, Any, Checker]]


async def run_plan(system: SoakSystem, plan: list[Step], daemons: int) -> Checker:
    """Start the system and run a plan on it; return the checker with its results."""
    checker = Checker(system)
    soak = Soak(system, checker, PERFORMERS)
    system.has_silences = any(s.action is Action.ENDPOINTS_SILENT for s in plan)
    if any(step.action is Action.CROWD for step in plan):
        system.vm_limits = CROWD_LIMITS
    system.has_own_paths = any(step.action is Action.CUT_OFF for step in plan)
    tasks: list[asyncio.Task[None]] = []
    try:
        await system.start(daemons)
        await _wait_until_ready(system)
        for number, daemon in enumerate(system.daemons):
            tasks.append(asyncio.create_task(system.supervise(daemon)))
            tasks.append(asyncio.create_task(soak.send_requests(daemon, number)))
            tasks.append(asyncio.create_task(soak.send_streams(daemon, number)))
            tasks.append(asyncio.create_task(soak.probe(daemon)))
        await _perform_all(soak, plan)
        await _check_recovery(soak)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        checker.check_final()
        checker.problems.extend(soak.streams.check(checker.contact, checker.mixed))
        checker.notes.append(soak.streams.describe())
    finally:
        for task in tasks:
            task.cancel()
        await system.close()
    return checker


async def _wait_until_ready(system: SoakSystem) -> None:
    more = max(0, len(system.daemons) - UNSCALED_READY_DAEMONS)
    limit = READY_TIMEOUT + READY_TIMEOUT_PER_DAEMON * more
    async with asyncio.timeout(limit), ClientSession() as http:
        for daemon in system.daemons:
            await wait_for_answer(http, f"http://{HOST}:{daemon.port + 1}/ready")
    await asyncio.sleep(SETTLE_TIME)


async def _perform_all(soak: Soak, plan: list[Step]) -> None:
    clock = asyncio.get_running_loop().time
    began = clock()
    running = []
    for step in plan:
        await asyncio.sleep(max(0.0, began + step.at - clock()))
        running.append(asyncio.create_task(soak.perform(step)))
    await asyncio.gather(*running)


async def _check_recovery(soak: Soak) -> None:
    """Check that requests are served again after the last disturbance."""
    await asyncio.sleep(RECOVERY_TIME)
    since = asyncio.get_running_loop().time()
    await asyncio.sleep(MEASURE_DURATION)
    records = [a for a in soak.checker.records if a.began >= since and a.ended]
    records = [record for record in records if soak.checker.must_be_served(record)]
    served = sum(record.status == 200 and record.whole for record in records)
    if not records or served < MIN_RECOVERED_FRACTION * len(records):
        soak.checker.problems.append(
            f"not recovered: {served} of {len(records)} served"
        )


async def shrink(plan: list[Step], run: RunPlan) -> list[Step]:
    """Return a smaller plan that still fails, within a limited number of runs."""
    runs = 0
    part = len(plan) // 2
    while part and runs < MAX_SHRINK_RUNS:
        for start in range(0, len(plan), part):
            fewer = plan[:start] + plan[start + part :]
            runs += 1
            if fewer and (await run(fewer)).problems:
                plan = fewer
                break
            if runs >= MAX_SHRINK_RUNS:
                break
        else:
            part //= 2
    return plan


def report(checker: Checker, seed: int) -> None:
    """Print the results of a seed."""
    statuses = Counter(record.status for record in checker.records)
    orders = sum(len(e.engine.holders) for e in checker.system.all_endpoints)
    click.echo(
        f"seed {seed}: requests {len(checker.records)}, by status "
        f"{dict(sorted(statuses.items()))}, orders {orders}, "
        f"problems {len(checker.problems)}"
    )
    for note in checker.notes:
        click.echo(f"  {note}")
    for problem in checker.problems[:20]:
        click.echo(f"  {problem}")


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--seeds", default=1, help="How many seeds, one after the other.")
@click.option("--seconds", default=20.0, help="Length of each plan, in seconds.")
@click.option("--daemons", default=4)
@click.option("--base-port", default=23_000)
@click.option("--keep", type=Path, help="Directory for the logs of all seeds.")
@click.option("--shrunk/--whole", default=False, help="Shrink a plan that fails.")
def main(
    seed: int,
    seeds: int,
    seconds: float,
    daemons: int,
    base_port: int,
    keep: Path | None,
    shrunk: bool,
) -> None:
    """Run daemon processes under faults; exit with 0 only if no check failed."""
    # The stand-ins' servers run in this process, and would log each broken connection.
    logging.disable(logging.ERROR)
    failed = []
    for number in range(seed, seed + seeds):
        plan = make_plan(number, seconds)
        with contextlib.ExitStack() as stack:
            if keep is not None:
                directory = keep / f"seed-{number}"
                directory.mkdir(parents=True, exist_ok=True)
            else:
                directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            # Every other seed plays a deployment without keys.
            has_keys = number % 2 == 1
            run = _make_runner(directory, base_port, daemons, checks_keys=has_keys)
            checker = asyncio.run(run(plan))
            report(checker, number)
            if checker.problems:
                failed.append(number)
                if shrunk:
                    plan = asyncio.run(shrink(plan, run))
                click.echo("\n".join(f"    {step}" for step in plan))
    click.echo(f"fault soak: seeds {seeds}, failed {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _make_runner(
    directory: Path, base_port: int, daemons: int, *, checks_keys: bool
) -> RunPlan:
    async def run(plan: list[Step]) -> Checker:
        system = SoakSystem(directory, base_port, checks_keys=checks_keys)
        return await run_plan(system, plan, daemons)

    return run


if __name__ == "__main__":
    main()
