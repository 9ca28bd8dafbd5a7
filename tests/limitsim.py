"""Ways to hold a limit over all daemons, in virtual time: ``python -m tests.limitsim``.

Daemons in groups, each with a leader, get requests that only one endpoint serves, which
takes so many a second from all of them. Words between daemons take their time, and each
way hears what the daemon itself would hear.
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
from kestreltally.placing.turns import Borrower, TurnLender, find_leased_terms
from kestreltally.rates import Bucket, RateMeter
from tests.virtualtime import VirtualTime
from tests.windows import WINDOW, count_most

ENDS_AT: Final = 14.0
# All have heard of the limit by then.
SETTLED: Final = 1.5
WAIT_MOST: Final = 0.5
GROUPS: Final = 3
TRIP: Final = (0.001, 0.004)
REPORT_INTERVAL: Final = 0.2
MIN_REPORT_INTERVAL: Final = 0.02
MIN_BATCH_DELAY: Final = (0.02, 0.05)
E: Final = EndpointId("e")
HEARD: Final = IssuerState(known=True, daemons=None)


@dataclass
class Daemon:
    """One daemon, and what it knows of the limit."""

    group: int
    rate: float
    standing: RateLimitState
    borrower: Borrower = field(default_factory=Borrower)
    received: int = 0
    reported_at: float = -1.0
    reports: bool = False
    waiting: deque[float] = field(default_factory=deque)
    asked: RateMeter = field(default_factory=lambda: RateMeter(1.0, 0.0))
    bucket: Bucket = field(default_factory=lambda: Bucket(0.0))
    credit: float = 0.0


class Play:
    """One seed of one way."""

    def __init__(
        self, seed: int, daemons: int, limit: float, asked: float, *, even: bool
    ) -> None:
        self.draw = random.Random(seed)
        self.limit = limit
        self.time = VirtualTime()
        self.after = self.time.after
        self.arrivals: list[float] = []
        self.asked = self.lost = 0
        self.words = 0
        weights = [
            1.0 if even else self.draw.paretovariate(0.9) for _ in range(daemons)
        ]
        self.daemons = [
            Daemon(at % GROUPS, asked * weight / sum(weights), self._make_standing())
            for at, weight in enumerate(weights)
        ]
        for daemon in self.daemons:
            daemon.credit = self.draw.random()
            daemon.bucket.level = self.draw.random()
            self._arrive_later(daemon)

    def _make_standing(self) -> RateLimitState:
        standing = RateLimitState()
        standing.apply_reported(self.limit, 1, 0.0)
        return standing

    @property
    def now(self) -> float:
        return self.time.now

    def run(self) -> "Play":
        self.begin()
        self.time.run_until(ENDS_AT)
        return self

    def begin(self) -> None:
        """Begin what the way does by itself."""

    def _arrive_later(self, daemon: Daemon) -> None:
        if daemon.rate > 0:
            wait = self.draw.expovariate(daemon.rate)
            self.after(wait, lambda: self._arrive(daemon))

    def _arrive(self, daemon: Daemon) -> None:
        self.asked += 1
        daemon.asked.add(1, self.now)
        self.ask(daemon)
        self._arrive_later(daemon)

    def ask(self, daemon: Daemon) -> None:
        """Send a request, have it wait, or refuse it."""
        if self.may_send(daemon):
            self.send()
        else:
            self.lost += 1

    def may_send(self, daemon: Daemon) -> bool:
        """Tell whether a request may leave at once."""
        raise NotImplementedError

    def send(self) -> None:
        self.arrivals.append(self.now)

    @property
    def most(self) -> int:
        """The most requests in a window, once all have heard."""
        return count_most(self.arrivals, SETTLED)

    @property
    def used(self) -> float:
        """The part of the limit, or of what was asked, that was used."""
        late = sum(1 for at in self.arrivals if at >= SETTLED)
        lasts = ENDS_AT - SETTLED
        usable = min(self.limit * lasts, self.asked * lasts / ENDS_AT)
        return late / usable if usable else 1.0


class Equal(Play):
    """Each daemon keeps an equal part."""

    def may_send(self, daemon: Daemon) -> bool:
        rate = self.limit / len(self.daemons)
        return daemon.bucket.acquire(1, rate, 1.0, self.now)


class Shares(Play):
    """Each daemon keeps the part that it has of what all ask for, as told lately."""

    def begin(self) -> None:
        self.total = 0.0
        self._tell()

    def _tell(self) -> None:
        self.total = sum(each.asked.read(self.now) for each in self.daemons)
        self.words += len(self.daemons)
        self.after(REPORT_INTERVAL, self._tell)

    def may_send(self, daemon: Daemon) -> bool:
        part = daemon.asked.read(self.now) / max(self.total, 1e-9)
        return daemon.bucket.acquire(1, min(1.0, part) * self.limit, 1.0, self.now)


class Ratio(Shares):
    """Each daemon grants the same part of what it is asked for, as quotas have it."""

    def may_send(self, daemon: Daemon) -> bool:
        daemon.credit += min(1.0, self.limit / max(self.total, 1e-9))
        granted = daemon.credit >= 1.0
        daemon.credit -= granted
        return granted


class Turns(Play):
    """Turns are lent by the leader of the endpoint, by way of each group's leader."""

    def begin(self) -> None:
        self.groups = [
            [each for each in self.daemons if each.group == number]
            for number in range(GROUPS)
        ]
        self.forwards = [Borrower() for _ in range(GROUPS)]
        self.forward_received = [0] * GROUPS
        self.leaders = [self._make_lender(number) for number in range(GROUPS)]
        self.owner = RateLimitState()
        self.owner.apply_reported(self.limit, 1, 0.0)
        self.terms = find_leased_terms(self.owner.rate)
        self.look_at = float("inf")

    def _make_lender(self, number: int) -> TurnLender:
        own = Borrower()

        def list_borrowers(_: EndpointId) -> list[Borrower]:
            own_group = [each.borrower for each in self.groups[number]]
            others = self.forwards[1:] if number == 0 else []
            return [*own_group, *others]

        return TurnLender(own, list_borrowers, lambda *_: None, lambda: self.now)

    def may_send(self, daemon: Daemon) -> bool:
        return daemon.standing.use_credit(HEARD, self.now)

    def ask(self, daemon: Daemon) -> None:
        daemon.standing.demand.add(1, self.now)
        if self.may_send(daemon):
            self.send()
        elif daemon.standing.compute_wait(HEARD, self.now) > WAIT_MOST:
            self.lost += 1
        else:
            daemon.standing.waiting[2] += 1
            daemon.waiting.append(self.now)
            self.after(WAIT_MOST, lambda: self._give_up(daemon))
            self._report_soon(daemon)
            return
        self._report_later(daemon)

    def _give_up(self, daemon: Daemon) -> None:
        if daemon.waiting and daemon.waiting[0] <= self.now - WAIT_MOST:
            daemon.waiting.popleft()
            daemon.standing.waiting[2] -= 1
            self.lost += 1

    def _report_soon(self, daemon: Daemon) -> None:
        if not daemon.reports:
            daemon.reports = True
            gap = max(0.0, daemon.reported_at + MIN_REPORT_INTERVAL - self.now)
            self.after(gap, lambda: self._report(daemon))

    def _report_later(self, daemon: Daemon) -> None:
        if not daemon.reports and daemon.standing.list_requested(self.now):
            daemon.reports = True
            wait = daemon.reported_at + REPORT_INTERVAL - self.now
            self.after(max(0.0, wait), lambda: self._report(daemon))

    def _report(self, daemon: Daemon) -> None:
        daemon.reports = False
        daemon.reported_at = self.now
        wanted, got = daemon.standing.list_requested(self.now), daemon.received
        self.words += 1

        def arrive() -> None:
            daemon.borrower.wanted = {E: wanted}
            daemon.borrower.received = {E: got}
            if daemon.group == 0:
                self._lend()
            else:
                self._forward(daemon.group)

        self.after(self.draw.uniform(*TRIP), arrive)
        if wanted:
            self._report_later(daemon)

    def _forward(self, group: int) -> None:
        wanted, got = self.leaders[group].sum_open(E), self.forward_received[group]
        self.words += 1

        def arrive() -> None:
            self.forwards[group].wanted = {E: wanted}
            self.forwards[group].received = {E: got}
            self._lend()

        self.after(self.draw.uniform(*TRIP) + MIN_REPORT_INTERVAL, arrive)

    def _lend(self) -> None:
        wait = self.leaders[0].issue(E, 1, self.owner, self.terms)
        if wait is not None and not self.now < self.look_at <= self.now + wait:
            self.look_at = self.now + wait
            self.after(wait, self._lend)
        for number in range(GROUPS):
            self._tell(number)

    def _tell(self, group: int) -> None:
        """Send turns that the owner has lent to one group on their way."""
        if group == 0:
            self._tell_followers(0)
            return
        ends = self.forwards[group].take_untold().get(E)
        if ends is None:
            return
        self.words += 1

        def arrive() -> None:
            self.forward_received[group] += len(ends)
            self.leaders[group].hand_on(E, ends)
            self._tell_followers(group)

        self.after(
            self.draw.uniform(*TRIP) + self.draw.uniform(*MIN_BATCH_DELAY), arrive
        )

    def _tell_followers(self, group: int) -> None:
        for daemon in self.groups[group]:
            ends = daemon.borrower.take_untold().get(E)
            if ends is not None:
                self.words += 1
                wait = self.draw.uniform(*TRIP) + self.draw.uniform(*MIN_BATCH_DELAY)
                self.after(wait, self._make_arrival(daemon, ends))

    def _make_arrival(self, daemon: Daemon, ends: list[float]) -> Callable[[], None]:
        def arrive() -> None:
            daemon.received += len(ends)
            daemon.standing.wait = self.owner.wait
            daemon.standing.credits.extend(ends)
            while daemon.waiting and self.may_send(daemon):
                daemon.waiting.popleft()
                daemon.standing.waiting[2] -= 1
                self.send()

        return arrive


WAYS: Final = {"equal": Equal, "shares": Shares, "ratio": Ratio, "turns": Turns}


def play(
    way: str, seed: int, daemons: int, limit: float, asked: float, *, even: bool
) -> Play:
    """Play one seed."""
    return WAYS[way](seed, daemons, limit, asked, even=even).run()


@click.command()
@click.option("--seeds", default=200)
@click.option("--daemons", default=(6, 30, 79, 1_100), multiple=True)
@click.option("--way", "ways", default=tuple(WAYS), multiple=True)
def main(seeds: int, daemons: tuple[int, ...], ways: tuple[str, ...]) -> None:
    """Print a table of ways."""
    click.echo("| daemons | limit | asked | even | way | most | aim | over | used |")
    for size in daemons:
        for limit in (0.5, 2.9, 8.0, 40.0):
            for asked, even in ((0.9, True), (4.0, True), (4.0, False)):
                for way in ways:
                    plays = [
                        play(way, seed, size, limit, asked * limit, even=even)
                        for seed in range(seeds)
                    ]
                    aim = WINDOW * limit + 5
                    most = max(each.most for each in plays)
                    over = sum(each.most > aim for each in plays)
                    used = statistics.mean(each.used for each in plays)
                    click.echo(
                        f"| {size} | {limit} | {asked * limit:.1f} | {even} | {way} "
                        f"| {most} | {aim:.1f} | {over} | {used:.2f} |"
                    )


if __name__ == "__main__":
    main()
