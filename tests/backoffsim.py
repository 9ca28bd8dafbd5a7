"""Simulates strategies to end a backoff, in virtual time.

Daemons queue requests that only one engine can serve, while that engine backs off. Its
batch is free when the backoff ends. The engine rejects requests beyond its batch and
asks for backoff again. Run ``python -m tests.backoffsim`` for a table.
"""

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import click

from kestreltally.fleet import notices
from kestreltally.fleet.model import (
    EMPTY_NOTICE,
    Endpoint,
    EndpointId,
    Notice,
    ServiceName,
)
from kestreltally.fleet.notices import NoticeTable, Unavailable
from tests.virtualtime import VirtualTime

BATCH: Final = 32
BACKOFF: Final = 3.0
HEAD_DELAY: Final = 0.1
RUN_TIME: Final = 0.5
MAX_WAIT: Final = 3.2
ENDS_AT: Final = 15.0
ENDPOINT: Final = Endpoint(
    EndpointId("e"), ServiceName("m"), "h", 1, "north", BATCH, False, {}
)


@dataclass
class Engine:
    """An engine that rejects requests beyond its batch and asks for backoff."""

    running: int = 0
    backoff_until: float = BACKOFF
    rejected: int = 0
    served: int = 0

    def handle(self, now: float) -> Notice:
        if now >= self.backoff_until and self.running >= BATCH:
            self.backoff_until = now + BACKOFF
        if now < self.backoff_until:
            self.rejected += 1
            return Notice(leaves=False, backoff=self.backoff_until - now)
        self.running += 1
        self.served += 1
        return EMPTY_NOTICE


@dataclass
class Simulation:
    """The simulation of one seed."""

    seed: int
    daemons: int
    rate: float
    engine: Engine = field(default_factory=Engine)
    lost: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.time = VirtualTime()
        self.tables = [NoticeTable() for _ in range(self.daemons)]

    def at(self, when: float, action: Callable[[float], None]) -> None:
        self.time.at(when, lambda: action(when))

    def run(self) -> "Simulation":
        for table in self.tables:
            # All daemons had a request rejected as the backoff started.
            rejected_at = self.random.uniform(0.0, 0.2)
            table.record(ENDPOINT, Notice(False, BACKOFF - rejected_at), rejected_at)
            self.at(self.random.expovariate(self.rate), self._make_arrival(table))
        self.time.run_until(ENDS_AT)
        return self

    def _make_arrival(self, table: NoticeTable) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            self._try(table, now, now)
            self.at(now + self.random.expovariate(self.rate), arrive)

        return arrive

    def _try(self, table: NoticeTable, arrived: float, now: float) -> None:
        backoff = table.compute_backoff(ENDPOINT, now)
        if now + backoff > arrived + MAX_WAIT:
            self.lost += 1
            return
        if backoff > 0:
            self.at(
                now + min(backoff, 0.2), lambda later: self._try(table, arrived, later)
            )
            return
        try:
            trial = table.start_send(ENDPOINT, now)
        except Unavailable:
            self.lost += 1
            return
        notice = self.engine.handle(now)
        after = HEAD_DELAY if notice == EMPTY_NOTICE else 0.002
        self.at(now + after, lambda later: self._answer(table, trial, notice, later))
        if notice != EMPTY_NOTICE:
            self.at(now + after, lambda later: self._try(table, arrived, later))

    def _answer(
        self, table: NoticeTable, trial: bool, notice: Notice, now: float
    ) -> None:
        table.record(ENDPOINT, notice, now)
        if trial:
            table.end_trial(ENDPOINT)
        if notice == EMPTY_NOTICE:
            self.at(now + RUN_TIME, self._end_run)

    def _end_run(self, _: float) -> None:
        self.engine.running -= 1


# Initial number of requests in flight, and how many more each answer allows.
STRATEGIES: Final = {
    "all at once": (10**6, 1),
    "one, then all": (1, 10**6),
    "steps": (1, 1),
}


def simulate(strategy: str, seed: int, daemons: int, rate: float) -> Simulation:
    """Simulate a seed with a strategy."""
    saved = notices.INITIAL_TRIALS, notices.TRIAL_STEP
    notices.INITIAL_TRIALS, notices.TRIAL_STEP = STRATEGIES[strategy]  # type: ignore[misc]
    try:
        return Simulation(seed, daemons, rate).run()
    finally:
        notices.INITIAL_TRIALS, notices.TRIAL_STEP = saved  # type: ignore[misc]


@click.command()
@click.option("--seeds", default=200)
def main(seeds: int) -> None:
    """Print a table of the strategies."""
    click.echo("| daemons | rate | strategy | rejected | served | lost |")
    for daemons, rate in ((6, 60.0), (6, 30.0), (79, 60.0), (1_100, 60.0)):
        for strategy in STRATEGIES:
            simulations = [
                simulate(strategy, n, daemons, rate / daemons) for n in range(seeds)
            ]
            rejected, served, lost = (
                statistics.mean(each)
                for each in zip(
                    *(
                        (p.engine.rejected, p.engine.served, p.lost)
                        for p in simulations
                    ),
                    strict=True,
                )
            )
            click.echo(
                f"| {daemons} | {rate:.0f} | {strategy} | {rejected:.1f} "
                f"| {served:.0f} | {lost:.0f} |"
            )


if __name__ == "__main__":
    main()
