"""What limiters have in common: throttles, counts, and grants without a leader."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeVar

from kestreltally.fleet.model import OrganisationName, Quota, Seconds
from kestreltally.quotas.grants import Grant, QuotaBounds
from kestreltally.quotas.spending import (
    SHARE_AVERAGE_TIME,
    THROTTLE_DELAY,
    Keeper,
    Spending,
    SpendingCounter,
    Throttle,
)
from kestreltally.quotas.window import WindowCount
from kestreltally.rates import Bucket, RateMeter

# How long a leader's throttles are valid: it sends some every 0.2 s.
THROTTLE_TTL: Final[Seconds] = 0.45
# Number of daemons that is assumed until it is known.
ASSUMED_DAEMONS: Final = 64
# Wait reported to refused clients while no leader is reachable: one may be by then.
ISOLATED_WAIT: Final[Seconds] = 0.5
MIN_WAIT: Final[Seconds] = 0.2
# Without contact to a leader, a daemon grants this fraction of its share, and up to
# this many seconds of it at once, because requests arrive unevenly.
ISOLATED_FRACTION: Final = 0.6
ISOLATED_DEPTH: Final[Seconds] = 1.5
NEVER: Final[Seconds] = float("-inf")

Clock = Callable[[], Seconds]


@dataclass(slots=True)
class LocalShare:
    """This daemon's share of an organisation's requests."""

    asked: RateMeter
    isolated_bucket: Bucket
    allotted_bucket: Bucket
    # What this daemon ran of the organisation's units in the last window.
    ran: WindowCount
    # Fraction of the next request that is granted already, by size class. It starts at
    # random; otherwise every daemon would refuse the first request of each size.
    credits: dict[int, float] = field(default_factory=dict)
    # The last known fraction of all daemons' requests that arrives at this daemon.
    fraction: float | None = None
    # When the throttles were received that had expired before this daemon last granted
    # in isolation; None if it never did.
    isolated_since: Seconds | None = None
    # Recent values of ``asked``, and when it had them.
    readings: deque[tuple[Seconds, float]] = field(default_factory=deque)

    def read_delayed(self, now: Seconds) -> float | None:
        """Return the requested rate that the leaders know now, None if too early."""
        self.readings.append((now, self.asked.read(now)))
        while len(self.readings) > 1 and self.readings[1][0] <= now - THROTTLE_DELAY:
            self.readings.popleft()
        read_at, asked = self.readings[0]
        return asked if read_at <= now - THROTTLE_DELAY else None


class Limiter(Protocol):
    """Grants requests and reports what it granted."""

    def __init__(self, clock: Clock, bounds: QuotaBounds) -> None: ...

    daemons: int

    def grant(self, name: OrganisationName, quota: Quota, units: int) -> Seconds | None:
        """Return None if a request may run, else the time until a retry."""

    def find_keeper(self, name: OrganisationName) -> Keeper | None:
        """Return the keeper to ask for each request, if there is one now."""

    def record_kept(
        self, name: OrganisationName, quota: Quota, units: int, *, granted: bool
    ) -> None:
        """Record a request on which the keeper decided, who counts what it granted."""

    def refund(self, name: OrganisationName, units: int, asked_at: Seconds) -> None:
        """Refund units granted to a request that did not run."""

    def refund_unused(self, name: OrganisationName, units: int) -> None:
        """Refund units that a keeper granted and this daemon never counted."""

    def pop_spendings(self) -> list[Spending]:
        """Return what was requested and granted since the last call."""

    def apply_throttles(self, throttles: Iterable[Throttle]) -> None:
        """Apply the throttles of a leader."""


L = TypeVar("L", bound=type[Limiter])
LIMITERS: Final[dict[str, type[Limiter]]] = {}


def register_limiter(name: str) -> Callable[[L], L]:
    """Register a limiter class under a name."""

    def register(limiter: L) -> L:
        LIMITERS[name] = limiter
        return limiter

    return register


class BaseLimiter:
    """Common parts: throttles, counts, and grants without contact to a leader."""

    def __init__(self, clock: Clock, bounds: QuotaBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._counter = SpendingCounter()
        self._throttles: dict[OrganisationName, Throttle] = {}
        self._received_at = NEVER
        self._shares: dict[OrganisationName, LocalShare] = {}
        self.daemons = ASSUMED_DAEMONS

    def apply_throttles(self, throttles: Iterable[Throttle]) -> None:
        """Apply a leader's throttles; others are below their limit."""
        now = self._received_at = self._clock()
        self._throttles = {each.organisation: each for each in throttles}
        for name, throttle in self._throttles.items():
            share = self._shares.get(name)
            if share is not None and throttle.asked > 0:
                share.fraction = min(1.0, share.asked.read(now) / throttle.asked)

    def pop_spendings(self) -> list[Spending]:
        """Return what was requested and granted since the last call."""
        return self._counter.pop(self._clock())

    def refund(self, name: OrganisationName, units: int, asked_at: Seconds) -> None:
        """Refund units granted to a request that did not run.

        Units that have left the window by themselves are not refunded: those that count
        now belong to other requests.
        """
        if self._clock() - asked_at < self._bounds.window:
            self.refund_unused(name, units)

    def refund_unused(self, name: OrganisationName, units: int) -> None:
        """Refund units that a keeper granted and this daemon never counted."""
        self._counter.add([Spending(name, 0, -units)])

    def find_keeper(self, name: OrganisationName) -> Keeper | None:
        """Return None: this limiter asks nobody."""
        return None

    def record_kept(
        self, name: OrganisationName, quota: Quota, units: int, *, granted: bool
    ) -> None:
        """Record a request on which the keeper decided, who counts what it granted."""
        self._record_asked(name, units)
        self._counter.add([Spending(name, units, 0)])

    def _record_asked(self, name: OrganisationName, units: int) -> LocalShare:
        """Count a request for this daemon's share, and return that share."""
        now = self._clock()
        share = self._shares.get(name)
        if share is None:
            share = LocalShare(
                RateMeter(SHARE_AVERAGE_TIME, now, self._get_counting_start()),
                Bucket(now),
                Bucket(now),
                WindowCount(self._bounds.window),
            )
            self._shares[name] = share
        share.asked.add(units, now)
        return share

    def _get_counting_start(self) -> Seconds:
        """Return since when all requests of a new organisation are counted."""
        return self._clock()

    def grant(self, name: OrganisationName, quota: Quota, units: int) -> Seconds | None:
        """Return None if a request may run, else the time until a retry."""
        now = self._clock()
        share = self._record_asked(name, units)
        grant = self._bounds.compute_grant(quota)
        wait = self._compute_wait(name, grant, units, share, now)
        granted = units if wait is None else 0
        self._counter.add([Spending(name, units, granted)])
        return wait

    def _compute_wait(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: LocalShare,
        now: Seconds,
    ) -> Seconds | None:
        if now - self._received_at > THROTTLE_TTL:
            return self._grant_isolated(name, grant, units, share, now)
        throttle = self._throttles.get(name)
        if throttle is None or throttle.ratio >= 1.0:
            return None
        granted = self._allows(grant, units, share, throttle, now)
        return None if granted else max(MIN_WAIT, throttle.wait)

    def _grant_isolated(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: LocalShare,
        now: Seconds,
    ) -> Seconds | None:
        """Grant from this daemon's share, which leaders count as spent meanwhile."""
        rate = ISOLATED_FRACTION * self._compute_fraction(share) * grant.rate
        if share.isolated_since != self._received_at:
            share.isolated_since = self._received_at
            throttle = self._throttles.get(name)
            if throttle is not None and throttle.ratio < 1.0:
                # Units that accumulated before are not for a throttled organisation.
                share.isolated_bucket.level = min(share.isolated_bucket.level, 1.0)
                share.isolated_bucket.at = now
        granted = share.isolated_bucket.acquire(units, rate, ISOLATED_DEPTH * rate, now)
        return None if granted else ISOLATED_WAIT

    def _compute_fraction(self, share: LocalShare) -> float:
        """Return this daemon's fraction of the requests; an equal share if unknown."""
        return (
            share.fraction if share.fraction is not None else 1.0 / max(1, self.daemons)
        )

    def _allows(
        self,
        grant: Grant,
        units: int,
        share: LocalShare,
        throttle: Throttle,
        now: Seconds,
    ) -> bool:
        """Return whether a request of a throttled organisation may run."""
        raise NotImplementedError
