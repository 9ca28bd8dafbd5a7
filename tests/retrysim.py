"""Daemons that retry all requests of a service while processes are killed.

Every request fails, and is retried as often as its daemon's budget allows. Processes
are killed and started again, clients move between daemons, and load rises and falls,
all drawn from a seed.
"""

import random
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import Final

from kestreltally.entry.retries import RetryBudget
from kestreltally.fleet.model import ServiceName
from tests.entryrig import BOUNDS

SERVICE: Final = ServiceName("models")
DURATION: Final = 50.0
STEP: Final = 0.25
RESTART_DELAY: Final = 0.5
# A process is told the number of daemons this long after its start.
COUNT_DELAY: Final = 0.3


@dataclass
class Process:
    """A daemon's present process, or the time at which the next one starts."""

    budget: RetryBudget | None
    starts_at: float = 0.0
    # The fraction of all requests that arrive here.
    weight: float = 1.0


@dataclass
class Played:
    """The times of all requests and of all retries."""

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def compute_excess(self) -> float:
        """Return by how much retries exceed the bound in the worst window."""
        window = BOUNDS.retry_window
        return max(
            (
                self._count(self.retries, at, at + window) - self._compute_allowed(at)
                for at in self.retries
            ),
            default=0.0,
        )

    def _compute_allowed(self, at: float) -> float:
        """Return the bound of the window that begins now.

        The requests are those of that window, of the one before, or of the one half a
        window before, whichever has most.
        """
        window = BOUNDS.retry_window
        starts = (at, at - window, at - window / 2)
        requests = max(self._count(self.requests, s, s + window) for s in starts)
        return BOUNDS.retry_ratio * requests + BOUNDS.retry_slack

    @staticmethod
    def _count(times: list[float], start: float, end: float) -> int:
        return bisect_right(times, end) - bisect_left(times, start)


class RetrySim:
    """Plays a number of daemons, of which ``told`` are known to each other."""

    def __init__(
        self, daemons: int, rate: float, seed: int, told: int | None = None
    ) -> None:
        self._random = random.Random(seed)
        self._rate = rate
        self._told = told or daemons
        self._processes = [
            Process(self._make_budget(-60.0), weight=self._random.choice((1, 1, 3)))
            for _ in range(daemons)
        ]
        for process in self._processes:
            assert process.budget is not None
            process.budget.daemon_count = daemons
        self.played = Played()

    @staticmethod
    def _make_budget(now: float) -> RetryBudget:
        return RetryBudget(BOUNDS, started_at=now)

    def play(self, kills: dict[float, float], failing_from: float = 20.0) -> Played:
        """Play with a share of the processes killed at each of some times."""
        due = sorted(kills)
        for number in range(int(DURATION / STEP)):
            now = number * STEP
            while due and due[0] <= now:
                self._kill(kills[due.pop(0)], now)
            self._start_due(now)
            self._serve(now, fails=now >= failing_from)
        return self.played

    def _kill(self, share: float, now: float) -> None:
        count = round(share * len(self._processes))
        for process in self._random.sample(self._processes, count):
            process.budget = None
            process.starts_at = now + RESTART_DELAY

    def _start_due(self, now: float) -> None:
        for process in self._processes:
            budget = process.budget
            if budget is None:
                if process.starts_at <= now:
                    process.budget = self._make_budget(now)
            elif now >= budget.started_at + COUNT_DELAY:
                budget.daemon_count = self._told

    def _serve(self, now: float, *, fails: bool) -> None:
        """Serve the requests of one step at the processes that run."""
        running = [each for each in self._processes if each.budget is not None]
        if not running:
            return
        # Load swings between four fifths and six fifths within some seconds.
        swing = 1.0 + 0.2 * (1.0 if int(now / 4.0) % 2 else -1.0)
        count = round(self._rate * swing * STEP)
        weights = [each.weight for each in running]
        for process in self._random.choices(running, weights, k=count):
            budget = process.budget
            assert budget is not None
            budget.record_request(SERVICE, now)
            self.played.requests.append(now)
            while fails and budget.acquire(SERVICE, now):
                self.played.retries.append(now)
