"""Who lends as leases change hands and daemons are cut: ``python -m tests.lendersim``.

Daemons of three data centres stand in cells, that is, who hears each other. Cells, the
store's answers in each, suspensions and losses of leaders are drawn anew all the time.
Every daemon wants more turns at one endpoint than there are, and uses each one that it
gets. What is played of leases, and of who is heard, is in seconds; what is lent comes
from the lender itself.
"""

import random
import statistics
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import click

from kestreltally.fleet.model import EndpointId
from kestreltally.fleet.rate_limits import RateLimitState
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.feed_client import FEED_SILENCE_TIMEOUT
from kestreltally.placing.lease import (
    RENEW_EVERY,
    TAKE_AFTER,
    VALIDITY,
    VALIDITY_MARGIN,
)
from kestreltally.placing.turns import (
    TURN_LIFE,
    Borrower,
    Terms,
    TurnLender,
    find_leased_terms,
    find_unleased_terms,
)
from tests.windows import count_allowed, count_most

ENDS_AT: Final = 40.0
SETTLED: Final = 1.5
STEP: Final = 0.02
CONNECT: Final = 0.2
CENTRES: Final = 3
# The data centre of the endpoint.
OWN: Final = 0
E: Final = EndpointId("e")
WANTED: Final = {E: {2: 10**6}}


@dataclass
class Holding:
    """A daemon's belief that it holds a lease."""

    fence: int
    alone_from: float
    valid_until: float
    renewed_at: float


@dataclass(eq=False)
class Daemon:
    """One daemon, and what it lends."""

    centre: int
    lender: TurnLender
    standing: RateLimitState
    cell: int = 0
    joined_at: float = 0.0
    suspended_until: float = 0.0
    holdings: dict[int, Holding] = field(default_factory=dict)
    headcount: DaemonCount = field(default_factory=DaemonCount)
    heard_owner_at: float = 0.0


@dataclass
class Record:
    """A lease as the store has it."""

    fence: int = 1
    renewed_at: float = 0.0


class Play:
    """One seed; ``trouble`` tells whether anything is cut, away, suspended or lost."""

    def __init__(
        self, seed: int, daemons: int, limit: float, *, trouble: bool = True
    ) -> None:
        self.draw = random.Random(seed)
        self.now = 0.0
        self.limit = limit
        self.arrivals: list[float] = []
        self.daemons = [self._make_daemon(at % CENTRES) for at in range(daemons)]
        # All that have ever held a lease.
        self.believers: list[Daemon] = []
        self.records = [Record() for _ in range(CENTRES)]
        for centre in range(CENTRES):
            self._hold(self.daemons[centre], centre, 0.0)
        self.answers = {0: True}
        # How many daemons each leader hears, and whom it takes for the endpoint's.
        self.groups: Counter[Daemon] = Counter()
        self.owners: dict[Daemon, Daemon | None] = {}
        self.next_event = self.draw.expovariate(0.3) if trouble else ENDS_AT

    def _make_daemon(self, centre: int) -> Daemon:
        borrower = Borrower(wanted=dict(WANTED))

        def use(_: EndpointId, ends: float) -> None:
            self.arrivals.append(ends - TURN_LIFE * self.draw.random())

        standing = RateLimitState()
        standing.apply_reported(self.limit, 1, 0.0)
        lender = TurnLender(borrower, lambda _: [borrower], use, lambda: self.now)
        return Daemon(centre, lender, standing)

    def list_holders(self) -> list[Daemon]:
        """Return the daemons that believe they hold a lease."""
        return [each for each in self.believers if each.holdings]

    def _hold(self, daemon: Daemon, centre: int, alone_from: float) -> None:
        if daemon not in self.believers:
            self.believers.append(daemon)
        record = self.records[centre]
        record.renewed_at = self.now
        valid_until = self.now + VALIDITY - VALIDITY_MARGIN
        daemon.holdings[centre] = Holding(
            record.fence, alone_from, valid_until, self.now
        )

    def run(self) -> "Play":
        while self.now < ENDS_AT:
            if self.now >= self.next_event:
                self.next_event = self.now + self.draw.expovariate(0.5)
                self._change()
            for daemon in self.list_holders():
                if self._runs(daemon):
                    self._renew(daemon)
            for centre in range(CENTRES):
                self._take(centre)
            self._lend()
            self.now += STEP
        return self

    # Trouble.

    def _change(self) -> None:
        """Draw some trouble."""
        what = self.draw.choice(("cells", "cells", "store", "suspend", "lose", "heal"))
        leaders = self.list_holders()
        if what == "cells":
            self._part(self.draw.randint(2, 4))
        elif what == "heal":
            self._part(1)
        elif what == "store":
            self.answers = {cell: self.draw.random() < 0.4 for cell in self.answers}
        elif leaders and what == "suspend":
            lasts = self.draw.uniform(0.5, 9.0)
            self.draw.choice(leaders).suspended_until = self.now + lasts
        elif leaders:
            # A daemon that is started again holds nothing, and knows nobody.
            lost = self.draw.choice(leaders)
            lost.holdings.clear()
            lost.headcount = DaemonCount()
            lost.joined_at = self.now

    def _part(self, cells: int) -> None:
        """Part the daemons anew, by data centre or one by one."""
        by_centre = self.draw.random() < 0.5
        of_centre = [self.draw.randrange(cells) for _ in range(CENTRES)]
        for daemon in self.daemons:
            anywhere = self.draw.randrange(cells)
            cell = of_centre[daemon.centre] if by_centre else anywhere
            if cell != daemon.cell:
                daemon.cell, daemon.joined_at = cell, self.now
        self.answers = {cell: self.draw.random() < 0.6 for cell in range(cells)}

    # Leases.

    def _runs(self, daemon: Daemon) -> bool:
        return self.now >= daemon.suspended_until

    def _hears(self, one: Daemon, other: Daemon) -> bool:
        if one is other:
            return True
        joined = max(one.joined_at, other.joined_at, other.suspended_until)
        together = one.cell == other.cell and self._runs(other)
        return together and (joined == 0.0 or self.now - joined >= CONNECT)

    def _renew(self, daemon: Daemon) -> None:
        if not self.answers[daemon.cell]:
            return
        for centre, held in list(daemon.holdings.items()):
            if held.fence < self.records[centre].fence:
                del daemon.holdings[centre]
            elif self.now - held.renewed_at >= RENEW_EVERY:
                self._hold(daemon, centre, held.alone_from)

    def _take(self, centre: int) -> None:
        record = self.records[centre]
        if self.now - record.renewed_at < TAKE_AFTER:
            return
        for daemon in self.daemons:
            able = self._runs(daemon) and self.answers[daemon.cell]
            patient = TAKE_AFTER + (0.0 if daemon.centre == centre else 3.0)
            if not able or self.now - record.renewed_at < patient:
                continue
            if self._find_holder(daemon, centre) is None:
                record.fence += 1
                self._hold(daemon, centre, record.renewed_at + VALIDITY)
                return

    def _find_holder(self, daemon: Daemon, centre: int) -> Daemon | None:
        """Return the newest holder of a lease that a daemon hears."""
        heard = (
            each
            for each in self.believers
            if centre in each.holdings and self._hears(daemon, each)
        )
        return max(heard, key=lambda each: each.holdings[centre].fence, default=None)

    # Lending.

    def _find_primary(self, daemon: Daemon) -> Daemon | None:
        if daemon.holdings:
            return daemon
        centres = sorted(range(CENTRES), key=lambda each: each != daemon.centre)
        found = (self._find_holder(daemon, centre) for centre in centres)
        return next((each for each in found if each is not None), None)

    def _lend(self) -> None:
        if round(self.now / STEP) % 5 == 0:
            self._count()
        for daemon in self.list_holders():
            if not self._runs(daemon):
                continue
            terms = self._find_terms(daemon)
            if terms is not None:
                daemon.lender.issue(E, 1, daemon.standing, terms)

    def _count(self) -> None:
        """Work out whom each leader hears."""
        self.groups.clear()
        self.owners.clear()
        for daemon in self.daemons:
            primary = self._find_primary(daemon) if self._runs(daemon) else None
            if primary is not None:
                self.groups[primary] += 1
                if primary is not daemon:
                    daemon.headcount.record(primary.headcount.most or 1, self.now)
        for daemon in self.list_holders():
            if self._runs(daemon):
                owner = self._find_holder(daemon, OWN)
                self.owners[daemon] = owner
                if owner is not None:
                    daemon.heard_owner_at = self.now
                others = (d for d in self.list_holders() if d is not daemon)
                heard = [each for each in others if self._hears(daemon, each)]
                all_heard = sum(self.groups[d] for d in (daemon, *heard))
                daemon.headcount.record(all_heard, self.now)

    def _find_terms(self, daemon: Daemon) -> Terms | None:
        held = daemon.holdings.get(OWN)
        if held is not None and held.alone_from <= self.now < held.valid_until:
            return find_leased_terms(self.limit)
        group = self.groups[daemon] or 1
        if held is not None:
            asking = (
                self.groups[other]
                for other, owner in self.owners.items()
                if owner is daemon and other is not daemon
            )
            group += sum(asking)
        elif self.now - daemon.heard_owner_at < FEED_SILENCE_TIMEOUT:
            return None
        return find_unleased_terms(self.limit, group, daemon.headcount.most or 0)

    # What came of it.

    @property
    def most(self) -> int:
        return count_most(self.arrivals, SETTLED)

    @property
    def used(self) -> float:
        return len(self.arrivals) / (self.limit * ENDS_AT)


@click.command()
@click.option("--seeds", default=200)
@click.option("--daemons", default=(6, 30, 79, 1_100), multiple=True)
def main(seeds: int, daemons: tuple[int, ...]) -> None:
    """Print a table."""
    click.echo("| daemons | limit | most | allowed | over | used, least | used |")
    for size in daemons:
        for limit in (0.5, 2.9, 8.0, 40.0):
            plays = [Play(seed, size, limit).run() for seed in range(seeds)]
            allowed = count_allowed(limit)
            most = max(each.most for each in plays)
            over = sum(each.most > allowed for each in plays)
            used = [each.used for each in plays]
            click.echo(
                f"| {size} | {limit} | {most} | {allowed:.1f} | {over} "
                f"| {min(used):.2f} | {statistics.mean(used):.2f} |"
            )


if __name__ == "__main__":
    main()
