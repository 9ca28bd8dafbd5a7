"""Simulation of credit issuers under lease changes and network partitions.

Run it by ``python -m tests.issuersim``. Daemons of three data centres are divided into
cells; only daemons of one cell reach each other. Cells, the availability of the store
in each cell, suspensions and losses of leaders change at random. Every daemon requests
more credits at one endpoint than there are, and uses each credit that it gets. Leases
and reachability are modelled in seconds; the credits come from the real issuer.
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
from kestreltally.placing.credits import (
    CREDIT_TTL,
    CreditHolder,
    CreditIssuer,
    IssueParameters,
    compute_leased_parameters,
    compute_unleased_parameters,
)
from kestreltally.placing.lease import (
    RENEW_INTERVAL,
    TAKEOVER_DELAY,
    VALIDITY,
    VALIDITY_MARGIN,
)
from tests.windows import compute_allowed, count_max_in_window

END: Final = 40.0
SETTLE_TIME: Final = 1.5
STEP: Final = 0.02
CONNECT_DELAY: Final = 0.2
CENTRES: Final = 3
# The data centre of the endpoint.
LOCAL: Final = 0
ENDPOINT: Final = EndpointId("e")
REQUESTED: Final = {ENDPOINT: {2: 10**6}}


@dataclass
class Holding:
    """A lease that a daemon believes to hold."""

    fence: int
    alone_from: float
    valid_until: float
    renewed_at: float


@dataclass(eq=False)
class Daemon:
    """One daemon and its issuer."""

    centre: int
    issuer: CreditIssuer
    standing: RateLimitState
    cell: int = 0
    joined_at: float = 0.0
    suspended_until: float = 0.0
    holdings: dict[int, Holding] = field(default_factory=dict)
    headcount: DaemonCount = field(default_factory=DaemonCount)
    owner_received_at: float = 0.0


@dataclass
class Record:
    """The record of a lease in the store."""

    fence: int = 1
    renewed_at: float = 0.0


class Simulation:
    """A simulation of one seed; ``with_faults`` enables faults."""

    def __init__(
        self, seed: int, daemons: int, limit: float, *, with_faults: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limit = limit
        self.arrivals: list[float] = []
        self.daemons = [self._make_daemon(at % CENTRES) for at in range(daemons)]
        # All daemons that have ever held a lease.
        self.leaders: list[Daemon] = []
        self.records = [Record() for _ in range(CENTRES)]
        for centre in range(CENTRES):
            self._record_held(self.daemons[centre], centre, 0.0)
        self.answers = {0: True}
        # How many daemons each leader reaches, and the leader that it considers
        # responsible for the endpoint.
        self.groups: Counter[Daemon] = Counter()
        self.owners: dict[Daemon, Daemon | None] = {}
        self.next_event = self.rng.expovariate(0.3) if with_faults else END

    def _make_daemon(self, centre: int) -> Daemon:
        holder = CreditHolder(requested=dict(REQUESTED))

        def use_credit(_: EndpointId, ends: float) -> None:
            self.arrivals.append(ends - CREDIT_TTL * self.rng.random())

        standing = RateLimitState()
        standing.apply_reported(self.limit, 1, 0.0)
        issuer = CreditIssuer(holder, lambda _: [holder], use_credit, lambda: self.now)
        return Daemon(centre, issuer, standing)

    def list_leaders(self) -> list[Daemon]:
        """Return the daemons that believe to hold a lease."""
        return [each for each in self.leaders if each.holdings]

    def _record_held(self, daemon: Daemon, centre: int, alone_from: float) -> None:
        if daemon not in self.leaders:
            self.leaders.append(daemon)
        record = self.records[centre]
        record.renewed_at = self.now
        valid_until = self.now + VALIDITY - VALIDITY_MARGIN
        daemon.holdings[centre] = Holding(
            record.fence, alone_from, valid_until, self.now
        )

    def run(self) -> "Simulation":
        while self.now < END:
            if self.now >= self.next_event:
                self.next_event = self.now + self.rng.expovariate(0.5)
                self._inject_fault()
            for daemon in self.list_leaders():
                if self._is_running(daemon):
                    self._renew(daemon)
            for centre in range(CENTRES):
                self._take_over(centre)
            self._issue()
            self.now += STEP
        return self

    # Faults.

    def _inject_fault(self) -> None:
        """Inject a random fault."""
        fault = self.rng.choice(("cells", "cells", "store", "suspend", "lose", "heal"))
        leaders = self.list_leaders()
        if fault == "cells":
            self._partition(self.rng.randint(2, 4))
        elif fault == "heal":
            self._partition(1)
        elif fault == "store":
            self.answers = {cell: self.rng.random() < 0.4 for cell in self.answers}
        elif leaders and fault == "suspend":
            duration = self.rng.uniform(0.5, 9.0)
            self.rng.choice(leaders).suspended_until = self.now + duration
        elif leaders:
            # A restarted daemon holds no lease and knows no other daemon.
            restarted = self.rng.choice(leaders)
            restarted.holdings.clear()
            restarted.headcount = DaemonCount()
            restarted.joined_at = self.now

    def _partition(self, cells: int) -> None:
        """Divide the daemons into new cells, by data centre or individually."""
        by_data_centre = self.rng.random() < 0.5
        cell_of_centre = [self.rng.randrange(cells) for _ in range(CENTRES)]
        for daemon in self.daemons:
            random_cell = self.rng.randrange(cells)
            cell = cell_of_centre[daemon.centre] if by_data_centre else random_cell
            if cell != daemon.cell:
                daemon.cell, daemon.joined_at = cell, self.now
        self.answers = {cell: self.rng.random() < 0.6 for cell in range(cells)}

    # Leases.

    def _is_running(self, daemon: Daemon) -> bool:
        return self.now >= daemon.suspended_until

    def _can_reach(self, one: Daemon, other: Daemon) -> bool:
        if one is other:
            return True
        joined = max(one.joined_at, other.joined_at, other.suspended_until)
        together = one.cell == other.cell and self._is_running(other)
        return together and (joined == 0.0 or self.now - joined >= CONNECT_DELAY)

    def _renew(self, daemon: Daemon) -> None:
        if not self.answers[daemon.cell]:
            return
        for centre, holding in list(daemon.holdings.items()):
            if holding.fence < self.records[centre].fence:
                del daemon.holdings[centre]
            elif self.now - holding.renewed_at >= RENEW_INTERVAL:
                self._record_held(daemon, centre, holding.alone_from)

    def _take_over(self, centre: int) -> None:
        record = self.records[centre]
        if self.now - record.renewed_at < TAKEOVER_DELAY:
            return
        for daemon in self.daemons:
            able = self._is_running(daemon) and self.answers[daemon.cell]
            waited_enough = TAKEOVER_DELAY + (0.0 if daemon.centre == centre else 3.0)
            if not able or self.now - record.renewed_at < waited_enough:
                continue
            if self._find_holder(daemon, centre) is None:
                record.fence += 1
                self._record_held(daemon, centre, record.renewed_at + VALIDITY)
                return

    def _find_holder(self, daemon: Daemon, centre: int) -> Daemon | None:
        """Return the newest holder of a lease that a daemon reaches."""
        reachable = (
            each
            for each in self.leaders
            if centre in each.holdings and self._can_reach(daemon, each)
        )
        return max(
            reachable, key=lambda each: each.holdings[centre].fence, default=None
        )

    # Issuing credits.

    def _find_primary(self, daemon: Daemon) -> Daemon | None:
        if daemon.holdings:
            return daemon
        centres = sorted(range(CENTRES), key=lambda each: each != daemon.centre)
        found = (self._find_holder(daemon, centre) for centre in centres)
        return next((each for each in found if each is not None), None)

    def _issue(self) -> None:
        if round(self.now / STEP) % 5 == 0:
            self._count_reachable()
        for daemon in self.list_leaders():
            if not self._is_running(daemon):
                continue
            parameters = self._choose_parameters(daemon)
            if parameters is not None:
                daemon.issuer.issue(ENDPOINT, 1, daemon.standing, parameters)

    def _count_reachable(self) -> None:
        """Update which daemons each leader reaches."""
        self.groups.clear()
        self.owners.clear()
        for daemon in self.daemons:
            primary = self._find_primary(daemon) if self._is_running(daemon) else None
            if primary is not None:
                self.groups[primary] += 1
                if primary is not daemon:
                    daemon.headcount.record(primary.headcount.maximum or 1, self.now)
        for daemon in self.list_leaders():
            if self._is_running(daemon):
                owner = self._find_holder(daemon, LOCAL)
                self.owners[daemon] = owner
                if owner is not None:
                    daemon.owner_received_at = self.now
                others = (d for d in self.list_leaders() if d is not daemon)
                reachable = [each for each in others if self._can_reach(daemon, each)]
                reachable_daemons = sum(self.groups[d] for d in (daemon, *reachable))
                daemon.headcount.record(reachable_daemons, self.now)

    def _choose_parameters(self, daemon: Daemon) -> IssueParameters | None:
        holding = daemon.holdings.get(LOCAL)
        if holding is not None and holding.alone_from <= self.now < holding.valid_until:
            return compute_leased_parameters(self.limit)
        group = self.groups[daemon] or 1
        if holding is not None:
            asking = (
                self.groups[other]
                for other, owner in self.owners.items()
                if owner is daemon and other is not daemon
            )
            group += sum(asking)
        elif self.now - daemon.owner_received_at < FEED_SILENCE_TIMEOUT:
            return None
        return compute_unleased_parameters(
            self.limit, group, daemon.headcount.maximum or 0
        )

    # Results.

    @property
    def max_in_window(self) -> int:
        return count_max_in_window(self.arrivals, SETTLE_TIME)

    @property
    def used_fraction(self) -> float:
        return len(self.arrivals) / (self.limit * END)


@click.command()
@click.option("--seeds", default=200)
@click.option("--daemons", default=(6, 30, 79, 1_100), multiple=True)
def main(seeds: int, daemons: tuple[int, ...]) -> None:
    """Print a table of results."""
    click.echo("| daemons | limit | most | allowed | over | used, least | used |")
    for size in daemons:
        for limit in (0.5, 2.9, 8.0, 40.0):
            runs = [Simulation(seed, size, limit).run() for seed in range(seeds)]
            allowed = compute_allowed(limit)
            max_in_window = max(each.max_in_window for each in runs)
            over = sum(each.max_in_window > allowed for each in runs)
            used_fraction = [each.used_fraction for each in runs]
            click.echo(
                f"| {size} | {limit} | {max_in_window} | {allowed:.1f} | {over} "
                f"| {min(used_fraction):.2f} | {statistics.mean(used_fraction):.2f} |"
            )


if __name__ == "__main__":
    main()
