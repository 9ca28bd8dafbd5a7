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
from kestreltally.quotas.limiters import DEFAULT, LIMITERS, Limiter
from kestreltally.quotas.order import Ask, OrderBook, Verdict
from kestreltally.quotas.spending import Keeper, Spending, SpendingCounter
from kestreltally.rates import Bucket

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
# A daemon decides itself once its question got no answer for this time.
ASK_TIMEOUT = 0.1
# Messages that are on their way at the end still arrive.
DRAIN_STEPS = 10
FOREVER = 1e9
BOUNDS = QuotaBounds(WINDOW, overage=0.1, slack=110_000.0)


@dataclass(frozen=True)
class Load:
    """The requests of an organisation, relative to its rate, and injected faults.

    ``base`` is the normal load, ``hot`` the load from ``hot_from`` to ``hot_to``.
    ``skew`` is how unevenly requests are spread over daemons. ``cut_off`` is the
    fraction of daemons without contact to a leader from ``cut_at`` to ``healed_at``.
    The first of the lost or paused leaders keeps the account.
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
    leaders_lost: int = 1
    leader_paused_at: float = FOREVER
    paused_for: float = 4.0
    all_restart_at: float = FOREVER
    lowered_at: float = FOREVER
    lowered_to: float = 1.0
    length: float = 20.0
    # How long refused clients wait at most before they return once; 0 for never.
    patience: float = 0.0
    sizes: tuple[int, ...] = (400, 700, 900, 1_200)


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
    refused. ``owed_lost`` and ``bucket_lost`` are the fractions lost of the units of
    requests that would run, in the order of arrival, within what the quota allows in a
    window, and by a bucket of the quota's rate and burst. ``told`` clients were told a
    time for which room was reserved; ``told_served`` of them were served then.
    """

    over: float
    wrongly_refused: float
    owed_lost: float = 0.0
    bucket_lost: float = 0.0
    told: int = 0
    told_served: int = 0
    asked: int = 0


@dataclass
class SimRequest:
    """A client's request, and whether it would run by each measure."""

    size: int
    content: int
    owed: bool = False
    owed_by_bucket: bool = False
    ran: bool = False
    told: bool = False
    told_served: bool = False
    returned: bool = False


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
    relays_now: bool = False

    def keep_orders(self, since: float) -> None:
        """Keep accounts in the order of arrival, with reports received since a time."""
        self.ledger.orders = OrderBook(BOUNDS)
        for step in range(40):
            self.ledger.orders.touch(0.0, since + step / 2)

    def decide(self, ask: Ask, now: float) -> Verdict | None:
        """Decide as the keeper, and record what is granted."""
        if self.ledger.orders is None or not self.ledger.orders.is_complete(now):
            return None
        verdict = self.ledger.orders.decide(ask, now)
        if verdict is not None and verdict.granted:
            spendings = [Spending(NAME, 0, ask.units)]
            self.ledger.record(spendings, now)
            for number in range(GROUPS):
                self.unsent[number].add(spendings)
            self.relays_now = self.ledger.orders.count_unrelayed(NAME, ask.units)
        return verdict


class IdealLimiter:
    """Knows all requests at once, and lets them run in order within any window."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._limit = 0.0
        self._ran: deque[tuple[float, int]] = deque()
        self._in_window = 0

    def set_quota(self, quota: Quota) -> None:
        """Apply a quota from now on."""
        self._limit = self._bounds.compute_max_units(quota)

    def allows(self, size: int, now: float) -> bool:
        """Return whether a request runs."""
        while self._ran and self._ran[0][0] < now - WINDOW:
            self._in_window -= self._ran.popleft()[1]
        if self._in_window + size > self._limit:
            return False
        self._ran.append((now, size))
        self._in_window += size
        return True


class Simulation:
    """Simulates one load with one limiter and one seed."""

    def __init__(self, load: Load, limiter_name: str, seed: int) -> None:
        random.seed(seed)
        self.load = load
        self.limiter_name = limiter_name
        self.now = 0.0
        self.quota = Quota(QuotaUnit.TOKENS, load.rate, load.burst, 200)
        self.leaders: list[SimLeader | None] = [
            self._make_leader(-20.0) for _ in range(GROUPS)
        ]
        self._paused: SimLeader | None = None
        self.requests: list[SimRequest] = []
        self._owed_bucket = Bucket(0.0, load.burst)
        self.asked = 0
        self.daemons = [self._make_daemon(n) for n in range(load.daemons)]
        for daemon in self.daemons:
            # The daemons have been running for a while.
            daemon.limiter.daemons = load.daemons
            daemon.limiter.apply_throttles([])
        self._messages: list[tuple[float, int, Callable[[], None]]] = []
        self._sent = 0
        self.granted: list[tuple[float, int]] = []
        self.allowed_units = 0.0
        # What runs in order within the bound, and within the quota itself.
        self._allowed = IdealLimiter(BOUNDS)
        self._owed = IdealLimiter(QuotaBounds(WINDOW))
        self._set_quota()

    def _make_daemon(self, number: int) -> SimDaemon:
        limiter = LIMITERS[self.limiter_name](lambda: self.now, BOUNDS)
        return SimDaemon(
            limiter,
            number % GROUPS,
            random.lognormvariate(0.0, self.load.skew),
            phase=random.randrange(REPORT_STEPS),
        )

    def _make_leader(self, since: float) -> SimLeader:
        leader = SimLeader()
        if self.limiter_name == DEFAULT:
            leader.keep_orders(since)
            leader.ledger.find_keeper = lambda _: self._find_keeper()
        return leader

    def _find_keeper(self) -> Keeper | None:
        """Return the first leader that keeps complete accounts."""
        for number, leader in enumerate(self.leaders):
            orders = leader.ledger.orders if leader is not None else None
            if orders is not None and orders.is_complete(self.now):
                return Keeper(str(number), 0)
        return None

    def _set_quota(self) -> None:
        self._allowed.set_quota(self.quota)
        self._owed.set_quota(self.quota)
        organisation = Organisation(NAME, ("k",), None, self.quota)
        for leader in self.leaders:
            if leader is not None:
                leader.ledger.apply_organisations([organisation])
                if leader.ledger.orders is not None:
                    leader.ledger.orders.apply_organisations([organisation], self.now)

    def _post(self, deliver: Callable[[], None]) -> None:
        self._post_at(self.now + random.uniform(0.5, 1.5) * MESSAGE_DELAY, deliver)

    def _post_at(self, at: float, deliver: Callable[[], None]) -> None:
        self._sent += 1
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
        for _ in range(DRAIN_STEPS):
            self.now += TICK
            self._deliver()
        told = [each for each in self.requests if each.told and each.returned]
        return Outcome(
            self._measure_over(),
            self._measure_wrongly_refused(),
            _measure_lost([each for each in self.requests if each.owed]),
            _measure_lost([each for each in self.requests if each.owed_by_bucket]),
            len(told),
            sum(each.told_served for each in told),
            self.asked,
        )

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
            self.leaders[: load.leaders_lost] = [None] * load.leaders_lost
        if at(load.leader_lost_at + RE_ELECTION_TIME):
            for number in range(load.leaders_lost):
                self.leaders[number] = self._make_leader(self.now - 19.5)
                self._restart_orders(number)
            self._set_quota()
        if at(load.leader_paused_at):
            self._paused, self.leaders[0] = self.leaders[0], None
        if at(load.leader_paused_at + load.paused_for):
            self.leaders[0] = self._paused
        if at(load.all_restart_at):
            self.leaders = [None] * GROUPS
            self.daemons = [self._make_daemon(n) for n in range(load.daemons)]
        if at(load.all_restart_at + FIRST_ELECTION_TIME):
            self.leaders = [self._make_leader(self.now) for _ in range(GROUPS)]
            for number in range(GROUPS):
                self._restart_orders(number)
            self._set_quota()
        if at(load.lowered_at):
            rate, burst = load.rate * load.lowered_to, load.burst * load.lowered_to
            self.quota = replace(self.quota, rate=rate, burst=burst)
            self._set_quota()

    def _restart_orders(self, number: int) -> None:
        """Have a new leader begin with accounts that are not complete."""
        leader = self.leaders[number]
        if leader is not None and leader.ledger.orders is not None:
            leader.ledger.orders = OrderBook(BOUNDS)

    def _send_requests(self) -> None:
        load = self.load
        hot = load.hot_from <= self.now < load.hot_to
        units = (load.hot if hot else load.base) * load.rate * TICK
        weights = [each.weight for each in self.daemons]
        asked = random.gauss(units, 0.2 * units) + self._carried
        while asked > 0:
            size = random.choice(load.sizes)
            if random.random() < 0.03:
                size = random.choice((6_000, 9_000, 20_000))
            (daemon,) = random.choices(self.daemons, weights)
            self._ask(daemon, size)
            asked -= size
        self._carried = asked

    _carried = 0.0

    def _ask(self, daemon: SimDaemon, size: int) -> None:
        request = SimRequest(size, len(self.requests))
        self.requests.append(request)
        if self._allowed.allows(size, self.now):
            self.allowed_units += size
        request.owed = self._owed.allows(size, self.now)
        bucket = self._owed_bucket
        if bucket.refill(self.quota.rate, self.quota.burst, self.now) >= size:
            bucket.level -= size
            request.owed_by_bucket = True
        self._try(daemon, request)

    def _try(self, daemon: SimDaemon, request: SimRequest) -> None:
        """Ask the keeper if the daemon has to, else the daemon itself."""
        keeper = daemon.limiter.find_keeper(NAME)
        if keeper is None:
            self._grant_alone(daemon, request)
            return
        self.asked += 1
        leader = None if daemon.partitioned else self.leaders[int(keeper.host)]
        if leader is None:
            self._post_at(
                self.now + ASK_TIMEOUT, lambda: self._grant_alone(daemon, request)
            )
            return
        ask = Ask(NAME, request.content, request.size, self.load.patience)

        def decide() -> None:
            verdict = leader.decide(ask, self.now)
            if leader.relays_now:
                leader.relays_now = False
                self._report_to_leaders(int(keeper.host), leader)
            if verdict is None:
                self._grant_alone(daemon, request)
            else:
                self._post(lambda: self._apply(daemon, request, verdict))

        self._post(decide)

    def _apply(self, daemon: SimDaemon, request: SimRequest, verdict: Verdict) -> None:
        limiter = daemon.limiter
        limiter.record_kept(NAME, self.quota, request.size, granted=verdict.granted)
        self._end_try(request, verdict)

    def _grant_alone(self, daemon: SimDaemon, request: SimRequest) -> None:
        wait = daemon.limiter.grant(NAME, self.quota, request.size)
        self._end_try(request, Verdict(wait is None, wait or 0.0))

    def _end_try(self, request: SimRequest, verdict: Verdict) -> None:
        if verdict.granted:
            self.granted.append((self.now, request.size))
            request.ran = True
            request.told_served = request.told
        elif self.load.patience and not request.returned:
            request.told = verdict.reserved
            wait = min(verdict.wait, self.load.patience)
            self._post_at(self.now + wait, lambda: self._return(request))

    def _return(self, request: SimRequest) -> None:
        request.returned = True
        self._try(random.choice(self.daemons), request)

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


def _measure_lost(owed: list[SimRequest]) -> float:
    """Return the fraction of the units of some requests that did not run."""
    lost = sum(each.size for each in owed if not each.ran)
    return lost / max(1, sum(each.size for each in owed))


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
                f"{broken} | {wrongly_refused:.3f} | "
                f"{sum(each.owed_lost for each in ran) / seeds:.3f} | "
                f"{sum(each.bucket_lost for each in ran) / seeds:.3f} | "
                f"{sum(each.told_served for each in ran)} of "
                f"{sum(each.told for each in ran)} | "
                f"{sum(each.asked for each in ran) / seeds:.0f}"
            )
    return lines


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print(
        "load | limiter | overrun, 99th percentile | maximum | broken | "
        "wrongly refused | owed in a window, lost | owed by the bucket, lost | "
        "served at the told time | questions a run"
    )
    for line in compare(list(LIMITERS), LOADS, count):
        print(line, flush=True)
