"""A first comparison of placement policies, using the product's decision code.

Six daemons, each with its own delayed view, run against the fakes under virtual time,
at Dala's size: nine engines, nine loads per second, four at once. The engines' slots,
rates and times are assumed, and there is no clairvoyant bound to compare with yet.
"""

import asyncio
import logging
import statistics
from dataclasses import dataclass
from multiprocessing import Pool
from random import Random

import click

from kestreltally.timeline.events import Event
from tests.fleet import Fleet, Node, run_virtual

POLICIES = ("affinity", "random_lru", "rendezvous_lru", "least_loaded_lru")
WORKLOADS = ("steady", "flip", "stampede")
ADAPTERS = 200
SLOTS = 4
LOAD_TIME = 4 / 9
TOKEN_TIME = 0.04
RATE = 30.0
SECONDS = 40.0
SKEW = 1.0
STALLED_AFTER = 0.1


@dataclass(frozen=True)
class RunResult:
    """The results of one run; times are in virtual seconds."""

    policy: str
    workload: str
    seed: int
    sent: int
    done: int
    stalls: int
    stall_seconds: float
    wait_p95: float
    loads: int
    batch_share: float


class PolicyRun:
    """One run of one policy."""

    def __init__(self, policy: str, workload: str, seed: int) -> None:
        self.policy, self.workload, self.seed = policy, workload, seed
        self.fleet = Fleet(
            seed=seed,
            daemons=6,
            engines=9,
            services=0,
            adapters=ADAPTERS,
            unfenced=0,
            data_centres=3,
            overrides={"placement": {"policy": policy}},
        )
        self.random = Random(seed)
        self.received: dict[str, float] = {}
        self.waits: dict[str, float] = {}
        self.loads = 0
        self.busy = self.batched = 0.0

    def watch(self, node: Node, event: Event) -> None:
        if event.what == "received":
            self.received[event.request] = event.stamp
        elif event.what == "sent" and event.request in self.received:
            waited = event.stamp - self.received[event.request]
            self.waits.setdefault(event.request, waited)
        elif event.what == "orders a load":
            self.loads += 1

    def draw_adapter(self, share: float) -> int:
        """Draw from a Zipf distribution; the workload changes the ranks over time."""
        weights = [1 / (rank + 1) ** SKEW for rank in range(ADAPTERS)]
        rank = self.random.choices(range(ADAPTERS), weights)[0]
        if self.workload == "flip" and share > 0.5:
            return ADAPTERS - 1 - rank
        if self.workload == "stampede" and 0.4 < share < 0.6:
            return self.random.randrange(ADAPTERS)
        return rank

    async def sample_batches(self) -> None:
        while True:
            for endpoint in self.fleet.endpoints.values():
                if endpoint.running:
                    self.busy += 1
                    self.batched += len(endpoint.running)
            await asyncio.sleep(0.02)

    async def run(self) -> RunResult:
        fleet = self.fleet
        await fleet.start()
        for endpoint in fleet.endpoints.values():
            endpoint.load_time, endpoint.token_time = LOAD_TIME, TOKEN_TIME
            endpoint.slots = SLOTS
        for name in fleet.endpoints:
            stored = fleet.store.get(f"config/endpoint/{name}")
            stored.value["value"].update({"slots": SLOTS, "batch_limit": 8})
            await fleet.store.put(stored.key, stored.value)
        await fleet.settle(4.0)
        fleet.watchers.append(self.watch)
        fleet.spawn(self.sample_batches())
        count = int(SECONDS * RATE)
        for number in range(count):
            adapter = self.draw_adapter(number / count)
            fleet.send(self.random.randrange(6), f"a{adapter}", deadline=10.0)
            await fleet.settle(self.random.expovariate(RATE))
        await fleet.settle(12.0)
        problems = fleet.list_problems()
        assert not problems, problems[:3]
        await fleet.close()
        waits = sorted(self.waits.values())
        stalled = [wait for wait in waits if wait > STALLED_AFTER]
        return RunResult(
            policy=self.policy,
            workload=self.workload,
            seed=self.seed,
            sent=len(fleet.sent),
            done=sum(sent.done for sent in fleet.sent),
            stalls=len(stalled),
            stall_seconds=sum(stalled),
            wait_p95=waits[int(0.95 * len(waits))],
            loads=self.loads,
            batch_share=self.batched / self.busy / 8,
        )


def run_policy(case: tuple[str, str, int]) -> RunResult:
    """Run one case under virtual time."""
    logging.disable(logging.WARNING)

    async def run() -> RunResult:
        return await PolicyRun(*case).run()

    return run_virtual(run())


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--processes", default=6, show_default=True)
@click.option("--policy", "policies", multiple=True, default=POLICIES)
def main(seeds: int, processes: int, policies: tuple[str, ...]) -> None:
    """Compare the placement policies; medians over the seeds."""
    cases = [
        (p, w, s) for w in WORKLOADS for p in policies for s in range(1, seeds + 1)
    ]
    with Pool(processes) as pool:
        found = pool.map(run_policy, cases, chunksize=1)
    click.echo(
        "| workload | policy | done | waits > 0.1 s | seconds | p95 | loads | batch |"
    )
    click.echo("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for workload in WORKLOADS:
        for policy in policies:
            runs = [f for f in found if (f.workload, f.policy) == (workload, policy)]
            medians = {
                name: statistics.median(getattr(each, name) for each in runs)
                for name in (
                    "stalls",
                    "stall_seconds",
                    "wait_p95",
                    "loads",
                    "batch_share",
                )
            }
            done = statistics.median(each.done / each.sent for each in runs)
            click.echo(
                f"| {workload} | {policy} | {done:.3f} | {medians['stalls']:.0f} "
                f"| {medians['stall_seconds']:.0f} | {medians['wait_p95']:.2f} s "
                f"| {medians['loads']:.0f} | {medians['batch_share']:.3f} |"
            )


if __name__ == "__main__":
    main()
