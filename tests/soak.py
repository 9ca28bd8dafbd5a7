"""Long randomised runs: six daemons, nine engines, three services, all faults mixed.

A schedule is drawn from a seed. Each of its steps sends a request, changes the
configuration, or injects a fault, which is cleared later. After a violation the seed
is printed with the shortest schedule found that still gives one.
"""

import asyncio
import logging
import sys
from dataclasses import dataclass
from multiprocessing import Pool
from random import Random

import click

from kestreltally.entities.configuration import Adapter
from kestreltally.timeline.events import Event
from tests.fleet import MODEL, Fleet, run_virtual
from tests.matrix import FAULTS

DAEMONS = 6
ENGINES = 9
SERVICES = 3
ADAPTERS = 30
STEP_TIME = 0.06
WARM_UP = 3.0
RECOVERY_TIME = 45.0
STEPS_PER_RUN = 2_000
PROBE_WAIT = 15.0
MAX_FAULT_DURATION = 6.0
MAX_SHRINK_ATTEMPTS = 24
NO_EVENT = Event(0.0, "", 0, 0, "", "")


@dataclass(frozen=True)
class Action:
    """One step of a schedule; ``draw`` is a random number for its own choices."""

    kind: str
    target: int
    adapter: int
    fault: str
    duration: float
    draw: int


def draw_schedule(seed: int, steps: int) -> list[Action]:
    """Return the schedule of a seed."""
    random = Random(seed)
    kinds = ("send", "once", "service", "repeat", "config", "fault", "replace", "stop")
    weights = (70, 8, 10, 4, 2, 4, 0.5, 0.5)
    return [
        Action(
            kind=random.choices(kinds, weights)[0],
            target=random.randrange(DAEMONS),
            adapter=min(int(random.expovariate(0.25)), ADAPTERS - 1),
            fault=random.choice(sorted(FAULTS)),
            duration=random.uniform(0.2, MAX_FAULT_DURATION),
            draw=random.randrange(2**32),
        )
        for _ in range(steps)
    ]


@dataclass(frozen=True)
class SoakResult:
    """Result of a run; ``lost`` requests were at a daemon that was killed."""

    problems: tuple[str, ...]
    sent: int
    done: int
    lost: int


class SoakRun:
    """One run of a schedule."""

    def __init__(self, seed: int, schedule: list[Action]) -> None:
        self.schedule = schedule
        self.fleet = Fleet(
            seed=seed,
            daemons=DAEMONS,
            engines=ENGINES,
            services=SERVICES,
            adapters=ADAPTERS,
            unfenced=2,
            data_centres=3,
        )
        self.last_unrepeatable = ""
        self.last_adapter = 0
        self.version = 1
        self.fault_active = False

    async def run(self) -> "SoakResult":
        fleet = self.fleet
        await fleet.start()
        await fleet.settle(WARM_UP)
        for action in self.schedule:
            await self.perform(action)
            await fleet.settle(STEP_TIME)
        await fleet.heal()
        await fleet.settle(RECOVERY_TIME)
        probes = [fleet.send(n, f"a{n}", deadline=12.0) for n in range(DAEMONS)]
        await fleet.settle(PROBE_WAIT)
        problems = fleet.list_problems()
        problems += [f"probe at {p.vm}: {p.refusal}" for p in probes if not p.done]
        problems += [f"{s.request} never ended" for s in fleet.sent if not s.ended]
        await fleet.close()
        return SoakResult(
            problems=tuple(problems),
            sent=len(fleet.sent),
            done=sum(sent.done for sent in fleet.sent),
            lost=sum(sent.lost for sent in fleet.sent),
        )

    async def perform(self, action: Action) -> None:
        fleet = self.fleet
        node = fleet.nodes[action.target]
        adapter = f"a{action.adapter}"
        if action.kind == "fault":
            await self.inject_fault(action)
        elif action.kind == "config":
            await self.change_config(action)
        elif not node.is_up or node.stopping:
            return
        elif action.kind == "replace":
            await fleet.replace(action.target)
        elif action.kind == "stop":
            fleet.spawn(self.stop_planned(action.target))
        elif action.kind == "repeat" and self.last_unrepeatable:
            fleet.send(
                action.target,
                f"a{self.last_adapter}",
                repeatable=False,
                request=self.last_unrepeatable,
            )
        else:
            unrepeatable = action.kind == "once" or (action.kind == "service")
            sent = fleet.send(
                action.target,
                adapter,
                repeatable=not unrepeatable,
                stream=action.draw % 2 == 0,
                service=action.kind == "service",
            )
            if action.kind == "once":
                self.last_unrepeatable, self.last_adapter = sent.request, action.adapter

    async def inject_fault(self, action: Action) -> None:
        """Inject a fault unless one is active, and clear it after its duration."""
        node = self.fleet.nodes[action.target]
        if self.fault_active or not node.is_up:
            return
        self.fault_active = True
        await FAULTS[action.fault](self.fleet, node, NO_EVENT)
        self.fleet.spawn(self.clear_faults_later(action.duration))

    async def clear_faults_later(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.fleet.heal()
        self.fault_active = False

    async def change_config(self, action: Action) -> None:
        if self.fleet.faults.store_down:
            return
        self.version += 1
        adapter = Adapter(
            f"a{action.adapter}",
            MODEL,
            versions=(1, self.version),
            current=self.version,
            previous=1,
        )
        await self.fleet.put_config(adapter, "adapter", adapter.name)

    async def stop_planned(self, number: int) -> None:
        node = self.fleet.nodes[number]
        clean = await node.stop_planned()
        if not clean:
            self.fleet.problems.append(f"planned stop of {node.vm} cut requests off")
        if self.fleet.nodes[number] is node:
            self.fleet.start_node(number)


def run_schedule(seed: int, schedule: list[Action]) -> SoakResult:
    """Run a schedule under virtual time."""

    async def run() -> SoakResult:
        return await SoakRun(seed, schedule).run()

    return run_virtual(run())


def shrink(seed: int, schedule: list[Action]) -> list[Action]:
    """Return the shortest failing schedule found by removing ever smaller parts."""
    size, attempts = len(schedule) // 2, 0
    while size >= 1 and attempts < MAX_SHRINK_ATTEMPTS:
        for at in range(0, len(schedule), size):
            shorter = schedule[:at] + schedule[at + size :]
            attempts += 1
            if shorter and run_schedule(seed, shorter).problems:
                schedule = shorter
                break
            if attempts >= MAX_SHRINK_ATTEMPTS:
                break
        else:
            size //= 2
    return schedule


def run_seed(seed: int) -> tuple[int, SoakResult]:
    """Run the schedule of one seed."""
    logging.disable(logging.WARNING)
    return seed, run_schedule(seed, draw_schedule(seed, STEPS_PER_RUN))


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--steps", default=20_000, show_default=True)
@click.option("--processes", default=6, show_default=True)
def main(seed: int, steps: int, processes: int) -> None:
    """Run long randomised schedules."""
    seeds = range(seed, seed + max(1, steps // STEPS_PER_RUN))
    violations = 0
    with Pool(processes) as pool:
        for finished, (number, result) in enumerate(
            pool.imap_unordered(run_seed, seeds), start=1
        ):
            problems = result.problems
            state = "passed" if not problems else "FAILED"
            click.echo(
                f"{finished} of {len(seeds)}: seed {number} {state}; requests "
                f"{result.sent}, done {result.done}, lost with a killed daemon "
                f"{result.lost}, refused {result.sent - result.done - result.lost}"
            )
            violations += len(problems)
            for problem in problems[:5]:
                click.echo(f"    {problem}")
            if problems and violations == len(problems):
                shortest = shrink(number, draw_schedule(number, STEPS_PER_RUN))
                click.echo(f"    shortest schedule found, {len(shortest)} steps:")
                for action in shortest[:20]:
                    click.echo(f"      {action}")
    total = len(seeds) * STEPS_PER_RUN
    click.echo(f"soak: seeds {len(seeds)}, steps {total}, violations {violations}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
