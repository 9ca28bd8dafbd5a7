"""Simulates quotas in virtual time, with delayed, partitioned and failed leaders.

Uses the project's own limiters and ledger. ``python -m tests.quotasim`` prints the
table of docs/design: each limiter with each load, over many seeds.
"""

import random
import sys
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from kestreltally.fleet.model import Organisation, OrganisationName, Quota, QuotaUnit
from kestreltally.quotas.grants import QuotaBounds
from kestreltally.quotas.ledger import Ledger
from kestreltally.quotas.limiters import LIMITERS, Limiter
from kestreltally.quotas.spending import Spending, SpendingCounter

NAME = OrganisationName("hule930")
TICK = 0.02
REPORT_STEPS = 10
MESSAGE_DELAY = 0.03
WINDOW = 8.0
GROUPS = 3
# Followers switch to another leader within the first time; a lease has a new holder
# after the second.
FAILOVER_TIME = 0.8
RE_ELECTION_TIME = 6.0
# After all daemons were killed, the first leader is available after this time.
FIRST_ELECTION_TIME = 2.0
FOREVER = 1e9
BOUNDS = QuotaBounds(WINDOW, overage=0.1, slack=110_000.0)


@dataclass(frozen=True)
class Load:
    """The requests of an organisation, relative to its rate, and injected faults.

    ``base`` is the normal load, ``hot`` the load from ``hot_from`` to ``hot_to``.
    ``skew`` is how unevenly requests are spread over daemons. ``cut_off`` is the
    fraction of daemons without contact to a leader from ``cut_at`` to ``healed_at``.
    """

    name: str
    rate: float = 100_000.0
    burst: float = 100_000.0
    base: float = 0.55
    hot: float = 0.55
    hot_from: float = 4.0
    hot_to: float = 14.0
    skew: float = 0.5
    daemons: int = 74
    cut_off: float = 0.0
    cut_at: float = FOREVER
    healed_at: float = FOREVER
    leader_lost_at: float = FOREVER
    all_restart_at: float = FOREVER
    lowered_at: float = FOREVER
    lowered_to: float = 1.0
    length: float = 20.0


LOADS = (
    Load("usual"),
    Load("hot", hot=4.2),
    Load("hot, few daemons asked", hot=4.2, skew=2.0),
    Load("hot, small rate", rate=3_000.0, burst=3_000.0, hot=4.2),
    Load("just below", base=0.9, hot=0.95),
    Load(
        "hot, a third cut off",
        hot=4.2,
        cut_off=0.33,
        cut_at=5.0,
        healed_at=13.0,
    ),
    Load(
        "usual, nearly all cut off",
        cut_off=0.92,
        cut_at=5.0,
        healed_at=16.0,
    ),
    Load(
        "hot, nearly all cut off",
        hot=3.3,
        cut_off=0.92,
        cut_at=5.0,
        healed_at=16.0,
    ),
    Load("hot, a leader lost", hot=4.2, leader_lost_at=6.0),
    Load("hot, all restarted", hot=4.2, all_restart_at=7.0),
    Load("lowered to a tenth", base=0.9, hot=0.9, lowered_at=4.0, lowered_to=0.1),
    Load("hot, 1,100 daemons", hot=4.2, daemons=1_100, length=12.0),
)


@dataclass(frozen=True)
class Outcome:
    """The results of a load.

    ``over`` is the maximum that ran in a window as a fraction of the allowed
    maximum. ``wrongly_refused`` is the fraction of the units within the limit that was
    refused.
    """

    over: float
    wrongly_refused: float


@dataclass
class SimDaemon:
    """A daemon's limiter and its group, whose leader it follows."""

    limiter: Limiter
    group: int
    weight: float
    partitioned: bool = False
    phase: int = 0


@dataclass
class SimLeader:
    """A leader's ledger, and the spendings to send to the other leaders."""

    ledger: Ledger = field(default_factory=lambda: Ledger(BOUNDS))
    unsent: dict[int, SpendingCounter] = field(
        default_factory=lambda: defaultdict(SpendingCounter)
    )


class Simulation:
    """Simulates one load with one limiter and one seed."""

    def __init__(self, load: Load, limiter_name: str, seed: int) -> None:
        random.seed(seed)
        self.load = load
        self.limiter_name = limiter_name
        self.now = 0.0
        self.quota = Quota(QuotaUnit.TOKENS, load.rate, load.burst, 200)
        self.leaders: list[SimLeader | None] = [SimLeader() for _ in range(GROUPS)]
        self.daemons = [self._make_daemon(n) for n in range(load.daemons)]
        for daemon in self.daemons:
            # The daemons have been running for a while.
            daemon.limiter.daemons = load.daemons
            daemon.limiter.apply_throttles([])
        self._messages: list[tuple[float, int, Callable[[], None]]] = []
        self._sent = 0
        self.granted: list[tuple[float, int]] = []
        self.allowed_units = 0.0
        self._in_window = 0
        self._allowed: deque[tuple[float, int]] = deque()
        self._set_quota()

    def _make_daemon(self, number: int) -> SimDaemon:
        limiter = LIMITERS[self.limiter_name](lambda: self.now, BOUNDS)
        return SimDaemon(
            limiter,
            number % GROUPS,
            random.lognormvariate(0.0, self.load.skew),
            phase=random.randrange(REPORT_STEPS),
        )

    def _set_quota(self) -> None:
        organisation = Organisation(NAME, ("k",), None, self.quota)
        for leader in self.leaders:
            if leader is not None:
                leader.ledger.apply_organisations([organisation])

    def _post(self, deliver: Callable[[], None]) -> None:
        self._sent += 1
        at = self.now + random.uniform(0.5, 1.5) * MESSAGE_DELAY
        self._messages.append((at, self._sent, deliver))

    def run(self) -> Outcome:
        """Simulate the whole load and return the results."""
        steps = round(self.load.length / TICK)
        for step in range(steps):
            self.now = step * TICK
            self._deliver()
            self._apply_faults(step)
            self._send_requests()
            for daemon in self.daemons:
                if self._is_due(daemon.phase):
                    self._report(daemon)
            if self._is_due(REPORT_STEPS // 2):
                self._send_throttles()
        return Outcome(self._measure_over(), self._measure_wrongly_refused())

    def _is_due(self, phase: int) -> bool:
        return (round(self.now / TICK) - phase) % REPORT_STEPS == 0

    def _deliver(self) -> None:
        due = [each for each in self._messages if each[0] <= self.now]
        self._messages = [each for each in self._messages if each[0] > self.now]
        for _, _, deliver in sorted(due, key=lambda each: each[:2]):
            deliver()

    def _apply_faults(self, step: int) -> None:
        load = self.load

        def at(moment: float) -> bool:
            return step == round(moment / TICK)

        if at(load.cut_at) or at(load.healed_at):
            for number, daemon in enumerate(self.daemons):
                daemon.partitioned = (
                    at(load.cut_at) and number < load.cut_off * load.daemons
                )
        if at(load.leader_lost_at):
            self.leaders[0] = None
        if at(load.leader_lost_at + RE_ELECTION_TIME):
            self.leaders[0] = SimLeader()
            self._set_quota()
        if at(load.all_restart_at):
            self.leaders = [None] * GROUPS
            self.daemons = [self._make_daemon(n) for n in range(load.daemons)]
        if at(load.all_restart_at + FIRST_ELECTION_TIME):
            self.leaders = [SimLeader() for _ in range(GROUPS)]
            self._set_quota()
        if at(load.lowered_at):
            rate, burst = load.rate * load.lowered_to, load.burst * load.lowered_to
            self.quota = replace(self.quota, rate=rate, burst=burst)
            self._set_quota()

    def _send_requests(self) -> None:
        load = self.load
        hot = load.hot_from <= self.now < load.hot_to
        units = (load.hot if hot else load.base) * load.rate * TICK
        weights = [each.weight for each in self.daemons]
        asked = random.gauss(units, 0.2 * units) + self._carried
        while asked > 0:
            size = round(random.choice((400, 700, 900, 1_200)))
            if random.random() < 0.03:
                size = random.choice((6_000, 9_000, 20_000))
            (daemon,) = random.choices(self.daemons, weights)
            self._ask(daemon, size)
            asked -= size
        self._carried = asked

    _carried = 0.0

    def _ask(self, daemon: SimDaemon, size: int) -> None:
        granted = daemon.limiter.grant(NAME, self.quota, size) is None
        if granted:
            self.granted.append((self.now, size))
        # What an ideal limiter with complete knowledge lets run in each window.
        while self._allowed and self._allowed[0][0] < self.now - WINDOW:
            self._in_window -= self._allowed.popleft()[1]
        if self._in_window + size <= BOUNDS.compute_max_units(self.quota):
            self._allowed.append((self.now, size))
            self._in_window += size
            self.allowed_units += size

    def _choose_leader(self, daemon: SimDaemon) -> SimLeader | None:
        """Return the leader that a daemon follows, another one soon after a failure."""
        leader = self.leaders[daemon.group]
        if leader is not None or daemon.partitioned:
            return None if daemon.partitioned else leader
        if self.now < self.load.leader_lost_at + FAILOVER_TIME:
            return None
        return next((each for each in self.leaders if each is not None), None)

    def _report(self, daemon: SimDaemon) -> None:
        leader = self._choose_leader(daemon)
        if leader is None:
            return
        spendings = daemon.limiter.pop_spendings()

        def apply() -> None:
            leader.ledger.record(spendings, self.now)
            for number in range(GROUPS):
                leader.unsent[number].add(spendings)

        self._post(apply)

    def _send_throttles(self) -> None:
        for number, leader in enumerate(self.leaders):
            if leader is None:
                continue
            self._report_to_leaders(number, leader)
            connected = sum(not each.partitioned for each in self.daemons)
            leader.ledger.record_daemon_count(connected, self.now)
            throttles = leader.ledger.make_throttles(self.now)
            for daemon in self.daemons:
                if self._choose_leader(daemon) is leader:
                    limiter = daemon.limiter
                    self._post(lambda to=limiter, w=throttles: to.apply_throttles(w))  # type: ignore[misc]

    def _report_to_leaders(self, number: int, leader: SimLeader) -> None:
        for other_number, other in enumerate(self.leaders):
            if other is None or other_number == number:
                continue
            spendings: list[Spending] = leader.unsent[other_number].pop(self.now)
            ledger = other.ledger
            self._post(lambda to=ledger, s=spendings: to.record(s, self.now))  # type: ignore[misc]

    def _measure_over(self) -> float:
        """Return the maximum of a window as a fraction of the allowed maximum.

        A lowered limit applies a window and some seconds after it was set.
        """
        load = self.load
        begins = 0.0
        if load.lowered_at < FOREVER:
            begins = load.lowered_at + 3.0 + 1.0
        bound = BOUNDS.compute_max_units(self.quota)
        most, total, first = 0.0, 0.0, 0
        ran = [each for each in self.granted if each[0] >= begins]
        for at, size in ran:
            total += size
            while ran[first][0] < at - WINDOW:
                total -= ran[first][1]
                first += 1
            most = max(most, total)
        return most / bound

    def _measure_wrongly_refused(self) -> float:
        granted = sum(size for _, size in self.granted)
        return max(0.0, self.allowed_units - granted) / max(1.0, self.allowed_units)


def compare(limiter_names: list[str], loads: tuple[Load, ...], seeds: int) -> list[str]:
    """Return a line per load and limiter: overruns and the mean refused fraction."""
    lines = []
    for load in loads:
        for limiter_name in limiter_names:
            ran = [Simulation(load, limiter_name, seed).run() for seed in range(seeds)]
            over = sorted(each.over for each in ran)
            wrongly_refused = sum(each.wrongly_refused for each in ran) / seeds
            p99 = over[int(0.99 * (seeds - 1))]
            broken = sum(each > 1.0 for each in over)
            lines.append(
                f"{load.name} | {limiter_name} | {p99:.2f} | {over[-1]:.2f} | "
                f"{broken} | {wrongly_refused:.3f}"
            )
    return lines


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print(
        "load | limiter | overrun, 99th percentile | maximum | broken | wrongly refused"
    )
    for line in compare(list(LIMITERS), LOADS, count):
        print(line, flush=True)
