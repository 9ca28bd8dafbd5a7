"""Compares strategies to keep a rate limit over all daemons, in virtual time.

Run it by ``python -m tests.limitsim``. Daemons in groups, each with a leader, get
requests that only one rate-limited endpoint serves. Messages between daemons are
delayed, and each strategy uses only what a real daemon would know.
"""

import random
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import click

from kestreltally.fleet.model import EndpointId
from kestreltally.fleet.rate_limits import IssuerState, RateLimitState
from kestreltally.placing.credits import (
    CreditHolder,
    CreditIssuer,
    compute_leased_parameters,
)
from kestreltally.rates import Bucket, RateMeter
from tests.virtualtime import VirtualTime
from tests.windows import WINDOW, count_max_in_window

END: Final = 14.0
# All daemons know the limit by then.
SETTLE_TIME: Final = 1.5
MAX_WAIT: Final = 0.5
GROUPS: Final = 3
TRIP_TIME: Final = (0.001, 0.004)
REPORT_INTERVAL: Final = 0.2
MIN_REPORT_GAP: Final = 0.02
GATHER_TIME: Final = (0.02, 0.05)
ENDPOINT: Final = EndpointId("e")
ISSUER_REACHABLE: Final = IssuerState(known=True, daemons=None)


@dataclass
class Daemon:
    """One daemon and its knowledge of the limit."""

    group: int
    rate: float
    standing: RateLimitState
    holder: CreditHolder = field(default_factory=CreditHolder)
    received: int = 0
    reported_at: float = -1.0
    reports: bool = False
    waiting: deque[float] = field(default_factory=deque)
    asked: RateMeter = field(default_factory=lambda: RateMeter(1.0, 0.0))
    bucket: Bucket = field(default_factory=lambda: Bucket(0.0))
    credit: float = 0.0


class Simulation:
    """A simulation of one strategy with one seed."""

    def __init__(
        self, seed: int, daemons: int, limit: float, asked: float, *, even: bool
    ) -> None:
        self.rng = random.Random(seed)
        self.limit = limit
        self.time = VirtualTime()
        self.after = self.time.after
        self.arrivals: list[float] = []
        self.asked = self.refused = 0
        self.messages = 0
        weights = [1.0 if even else self.rng.paretovariate(0.9) for _ in range(daemons)]
        self.daemons = [
            Daemon(at % GROUPS, asked * weight / sum(weights), self._make_standing())
            for at, weight in enumerate(weights)
        ]
        for daemon in self.daemons:
            daemon.credit = self.rng.random()
            daemon.bucket.level = self.rng.random()
            self._arrive_later(daemon)

    def _make_standing(self) -> RateLimitState:
        standing = RateLimitState()
        standing.apply_reported(self.limit, 1, 0.0)
        return standing

    @property
    def now(self) -> float:
        return self.time.now

    def run(self) -> "Simulation":
        self.start()
        self.time.run_until(END)
        return self

    def start(self) -> None:
        """Start the periodic work of the strategy."""

    def _arrive_later(self, daemon: Daemon) -> None:
        if daemon.rate > 0:
            wait = self.rng.expovariate(daemon.rate)
            self.after(wait, lambda: self._arrive(daemon))

    def _arrive(self, daemon: Daemon) -> None:
        self.asked += 1
        daemon.asked.add(1, self.now)
        self.ask(daemon)
        self._arrive_later(daemon)

    def ask(self, daemon: Daemon) -> None:
        """Send a request, queue it, or refuse it."""
        if self.can_send(daemon):
            self.send()
        else:
            self.refused += 1

    def can_send(self, daemon: Daemon) -> bool:
        """Return whether a request can be sent at once."""
        raise NotImplementedError

    def send(self) -> None:
        self.arrivals.append(self.now)

    @property
    def max_in_window(self) -> int:
        """The maximum number of requests in a window, from ``SETTLE_TIME`` on."""
        return count_max_in_window(self.arrivals, SETTLE_TIME)

    @property
    def used_fraction(self) -> float:
        """The used fraction of the limit, or of the requests if these are fewer."""
        recent = sum(1 for at in self.arrivals if at >= SETTLE_TIME)
        duration = END - SETTLE_TIME
        usable = min(self.limit * duration, self.asked * duration / END)
        return recent / usable if usable else 1.0


class EqualShares(Simulation):
    """Each daemon gets an equal share of the limit."""

    def can_send(self, daemon: Daemon) -> bool:
        rate = self.limit / len(self.daemons)
        return daemon.bucket.acquire(1, rate, 1.0, self.now)


class ProportionalShares(Simulation):
    """Each daemon gets a share in proportion to its last reported request rate."""

    def start(self) -> None:
        self.total = 0.0
        self._share_total()

    def _share_total(self) -> None:
        self.total = sum(each.asked.read(self.now) for each in self.daemons)
        self.messages += len(self.daemons)
        self.after(REPORT_INTERVAL, self._share_total)

    def can_send(self, daemon: Daemon) -> bool:
        part = daemon.asked.read(self.now) / max(self.total, 1e-9)
        return daemon.bucket.acquire(1, min(1.0, part) * self.limit, 1.0, self.now)


class CommonRatio(ProportionalShares):
    """Each daemon grants the same fraction of its requests, as quotas do."""

    def can_send(self, daemon: Daemon) -> bool:
        daemon.credit += min(1.0, self.limit / max(self.total, 1e-9))
        granted = daemon.credit >= 1.0
        daemon.credit -= granted
        return granted


class Credits(Simulation):
    """The endpoint's leader issues credits through the leader of each group."""

    def start(self) -> None:
        self.groups = [
            [each for each in self.daemons if each.group == number]
            for number in range(GROUPS)
        ]
        self.group_holders = [CreditHolder() for _ in range(GROUPS)]
        self.group_received = [0] * GROUPS
        self.leaders = [self._make_issuer(number) for number in range(GROUPS)]
        self.owner = RateLimitState()
        self.owner.apply_reported(self.limit, 1, 0.0)
        self.parameters = compute_leased_parameters(self.owner.rate)
        self.recheck_at = float("inf")

    def _make_issuer(self, number: int) -> CreditIssuer:
        own = CreditHolder()

        def list_credit_holders(_: EndpointId) -> list[CreditHolder]:
            own_group = [each.holder for each in self.groups[number]]
            others = self.group_holders[1:] if number == 0 else []
            return [*own_group, *others]

        return CreditIssuer(own, list_credit_holders, lambda *_: None, lambda: self.now)

    def can_send(self, daemon: Daemon) -> bool:
        return daemon.standing.use_credit(ISSUER_REACHABLE, self.now)

    def ask(self, daemon: Daemon) -> None:
        daemon.standing.demand.add(1, self.now)
        if self.can_send(daemon):
            self.send()
        elif daemon.standing.compute_wait(ISSUER_REACHABLE, self.now) > MAX_WAIT:
            self.refused += 1
        else:
            daemon.standing.waiting[2] += 1
            daemon.waiting.append(self.now)
            self.after(MAX_WAIT, lambda: self._time_out(daemon))
            self._expedite_report(daemon)
            return
        self._report_later(daemon)

    def _time_out(self, daemon: Daemon) -> None:
        if daemon.waiting and daemon.waiting[0] <= self.now - MAX_WAIT:
            daemon.waiting.popleft()
            daemon.standing.waiting[2] -= 1
            self.refused += 1

    def _expedite_report(self, daemon: Daemon) -> None:
        if not daemon.reports:
            daemon.reports = True
            gap = max(0.0, daemon.reported_at + MIN_REPORT_GAP - self.now)
            self.after(gap, lambda: self._report(daemon))

    def _report_later(self, daemon: Daemon) -> None:
        if not daemon.reports and daemon.standing.list_requested(self.now):
            daemon.reports = True
            wait = daemon.reported_at + REPORT_INTERVAL - self.now
            self.after(max(0.0, wait), lambda: self._report(daemon))

    def _report(self, daemon: Daemon) -> None:
        daemon.reports = False
        daemon.reported_at = self.now
        requested, received = daemon.standing.list_requested(self.now), daemon.received
        self.messages += 1

        def arrive() -> None:
            daemon.holder.requested = {ENDPOINT: requested}
            daemon.holder.received = {ENDPOINT: received}
            if daemon.group == 0:
                self._issue()
            else:
                self._forward(daemon.group)

        self.after(self.rng.uniform(*TRIP_TIME), arrive)
        if requested:
            self._report_later(daemon)

    def _forward(self, group: int) -> None:
        requested, received = (
            self.leaders[group].sum_outstanding(ENDPOINT),
            self.group_received[group],
        )
        self.messages += 1

        def arrive() -> None:
            self.group_holders[group].requested = {ENDPOINT: requested}
            self.group_holders[group].received = {ENDPOINT: received}
            self._issue()

        self.after(self.rng.uniform(*TRIP_TIME) + MIN_REPORT_GAP, arrive)

    def _issue(self) -> None:
        wait = self.leaders[0].issue(ENDPOINT, 1, self.owner, self.parameters)
        if wait is not None and not self.now < self.recheck_at <= self.now + wait:
            self.recheck_at = self.now + wait
            self.after(wait, self._issue)
        for number in range(GROUPS):
            self._send_credits(number)

    def _send_credits(self, group: int) -> None:
        """Send the credits that the owner has issued to one group."""
        if group == 0:
            self._send_to_followers(0)
            return
        ends = self.group_holders[group].pop_unreported().get(ENDPOINT)
        if ends is None:
            return
        self.messages += 1

        def arrive() -> None:
            self.group_received[group] += len(ends)
            self.leaders[group].hand_over(ENDPOINT, ends)
            self._send_to_followers(group)

        self.after(
            self.rng.uniform(*TRIP_TIME) + self.rng.uniform(*GATHER_TIME), arrive
        )

    def _send_to_followers(self, group: int) -> None:
        for daemon in self.groups[group]:
            ends = daemon.holder.pop_unreported().get(ENDPOINT)
            if ends is not None:
                self.messages += 1
                wait = self.rng.uniform(*TRIP_TIME) + self.rng.uniform(*GATHER_TIME)
                self.after(wait, self._make_arrival(daemon, ends))

    def _make_arrival(self, daemon: Daemon, ends: list[float]) -> Callable[[], None]:
        def arrive() -> None:
            daemon.received += len(ends)
            daemon.standing.wait = self.owner.wait
            daemon.standing.credits.extend(ends)
            while daemon.waiting and self.can_send(daemon):
                daemon.waiting.popleft()
                daemon.standing.waiting[2] -= 1
                self.send()

        return arrive


STRATEGIES: Final = {
    "equal": EqualShares,
    "shares": ProportionalShares,
    "ratio": CommonRatio,
    "turns": Credits,
}


def simulate(
    strategy: str, seed: int, daemons: int, limit: float, asked: float, *, even: bool
) -> Simulation:
    """Run the simulation of one seed."""
    return STRATEGIES[strategy](seed, daemons, limit, asked, even=even).run()


@click.command()
@click.option("--seeds", default=200)
@click.option("--daemons", default=(6, 30, 79, 1_100), multiple=True)
@click.option("--way", "ways", default=tuple(STRATEGIES), multiple=True)
def main(seeds: int, daemons: tuple[int, ...], ways: tuple[str, ...]) -> None:
    """Print a table of the strategies."""
    click.echo("| daemons | limit | asked | even | way | most | aim | over | used |")
    for size in daemons:
        for limit in (0.5, 2.9, 8.0, 40.0):
            for asked, even in ((0.9, True), (4.0, True), (4.0, False)):
                for strategy in ways:
                    runs = [
                        simulate(strategy, seed, size, limit, asked * limit, even=even)
                        for seed in range(seeds)
                    ]
                    limit_in_window = WINDOW * limit + 5
                    max_count = max(each.max_in_window for each in runs)
                    over = sum(each.max_in_window > limit_in_window for each in runs)
                    used = statistics.mean(each.used_fraction for each in runs)
                    click.echo(
                        f"| {size} | {limit} | {asked * limit:.1f} | {even} "
                        f"| {strategy} | {max_count} | {limit_in_window:.1f} | {over} "
                        f"| {used:.2f} |"
                    )


if __name__ == "__main__":
    main()
