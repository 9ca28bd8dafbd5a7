"""Issues credits for calls at rate-limited endpoints, counted centrally.

Equal shares would starve a daemon that is the only one with requests, and every daemon
of a large fleet. A common ratio, as quotas use, keeps the mean rate over many requests,
but not the rate within a window of a few requests. So one credit is issued per call, to
a daemon with a waiting request, most urgent first.

The holder of the endpoint's lease issues the whole limit. There may be no holder for a
long time, while the store is down or after a holder is lost: then each leader issues a
fraction of the limit, in proportion to the daemons that it reaches. A daemon follows
one issuer, so these shares add up to that fraction at most. A lease holder that only
other daemons can reach may issue credits at the same time.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.fleet.rate_limits import (
    ISOLATED_FRACTION,
    PREFETCH_URGENCY,
    RateLimitState,
)
from kestreltally.rates import Bucket

# A credit expires this long after it was issued.
CREDIT_TTL: Final[Seconds] = 0.4
# In any window an endpoint gets at most its limit and this many extra calls.
WINDOW: Final[Seconds] = 4.0
WINDOW_BURST: Final = 4.0
# Credits that can be issued at once: the minimum, plus the limit over this time.
MIN_DEPTH: Final = 2.0
DEPTH_TIME: Final[Seconds] = 0.05

# An issuer without the lease issues a credit once its bucket holds nearly a whole one,
# and accumulates one at most: several such issuers must not add up to a burst.
UNLEASED_DEPTH: Final = 1.0
UNLEASED_MIN_LEVEL: Final = 0.99

# The wait estimate is updated this often, as it asks all credit holders.
ESTIMATE_INTERVAL: Final[Seconds] = 0.05
# Added to a recheck delay, so that the credit has accrued by then.
MIN_RECHECK_DELAY: Final[Seconds] = 0.001

# Requested credits by urgency; lower numbers come first.
CreditDemand = dict[int, int]


@dataclass(slots=True, eq=False)
class CreditHolder:
    """A daemon that requests credits, or a leader for its followers.

    A new holder is created for each connection. ``received`` is how many credits had
    arrived at the time of ``requested``; it does not cover credits issued since.
    """

    requested: dict[EndpointId, CreditDemand] = field(default_factory=dict)
    received: dict[EndpointId, int] = field(default_factory=dict)
    issued: Counter[EndpointId] = field(default_factory=Counter)
    last_credit: dict[EndpointId, int] = field(default_factory=dict)
    # Expiry times of credits that are issued but not yet reported.
    unreported: dict[EndpointId, list[Seconds]] = field(default_factory=dict)

    def list_outstanding(self, endpoint: EndpointId) -> CreditDemand:
        """Return the requested credits at an endpoint, less those in transit."""
        requested = self.requested.get(endpoint)
        if not requested:
            return {}
        in_transit = self.issued[endpoint] - self.received.get(endpoint, 0)
        outstanding = {}
        for urgency, count in sorted(requested.items()):
            covered = min(count, max(0, in_transit))
            in_transit -= covered
            if count > covered:
                outstanding[urgency] = count - covered
        return outstanding

    def issue(self, endpoint: EndpointId, number: int, expires_at: Seconds) -> None:
        """Record an issued credit; it is reported with the next update."""
        self.issued[endpoint] += 1
        self.last_credit[endpoint] = number
        self.unreported.setdefault(endpoint, []).append(expires_at)

    def pop_unreported(self) -> dict[EndpointId, list[Seconds]]:
        """Return and clear the credits to be reported."""
        unreported, self.unreported = self.unreported, {}
        return unreported


@dataclass(slots=True)
class _CreditPool:
    """The credits that can be issued for one incarnation of an endpoint."""

    start_time_ms: int
    bucket: Bucket
    estimated_at: Seconds = float("-inf")


@dataclass(frozen=True, slots=True)
class IssueParameters:
    """The token bucket parameters for issuing the credits of a limit.

    ``rate`` is credits per second, ``depth`` how many can be issued at once, and
    ``min_level`` the bucket level that must be exceeded to issue one.
    """

    rate: float
    depth: float
    min_level: float


def compute_leased_parameters(rate: float) -> IssueParameters:
    """Return the parameters of the lease holder for a limit."""
    return IssueParameters(
        rate=compute_issue_rate(rate), depth=compute_depth(rate), min_level=0.0
    )


def compute_unleased_parameters(
    rate: float, reachable: int, daemons: int
) -> IssueParameters:
    """Return the parameters of an issuer without the lease.

    ``reachable`` is the number of daemons that it reaches, of ``daemons`` in all.
    """
    share = reachable / max(1, reachable, daemons)
    return IssueParameters(
        rate=ISOLATED_FRACTION * rate * share,
        depth=UNLEASED_DEPTH,
        min_level=UNLEASED_MIN_LEVEL,
    )


def compute_depth(rate: float) -> float:
    """Return how many credits of a limit can be issued at once.

    A low limit has more: its calls arrive unevenly, and its window allows for a burst.
    """
    return max(MIN_DEPTH, WINDOW_BURST - CREDIT_TTL * rate) + DEPTH_TIME * rate


def compute_issue_rate(rate: float) -> float:
    """Return how many credits per second are issued for a limit.

    Less than a high limit: credits issued during a window and in the credit lifetime
    before it may all be used within that window.
    """
    max_issued = WINDOW * rate + WINDOW_BURST - compute_depth(rate)
    return min(rate, max_issued / (WINDOW + CREDIT_TTL))


class CreditIssuer:
    """Issues credits for endpoints, and hands over those that other leaders issued.

    ``list_credit_holders`` returns the daemons to issue to at an endpoint.
    ``local_holder`` is this daemon, whose credits are passed to ``use_local``.
    """

    def __init__(
        self,
        local_holder: CreditHolder,
        list_credit_holders: Callable[[EndpointId], Iterable[CreditHolder]],
        use_local: Callable[[EndpointId, Seconds], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._local_holder = local_holder
        self._list_credit_holders = list_credit_holders
        self._use_local = use_local
        self._clock = clock
        self._pools: dict[EndpointId, _CreditPool] = {}
        self._sequence = 0

    def issue(
        self,
        endpoint: EndpointId,
        start_time_ms: int,
        limit: RateLimitState,
        parameters: IssueParameters,
    ) -> Seconds | None:
        """Issue what can be issued now; return the delay until a recheck, or None."""
        now = self._clock()
        pool = self._get_pool(endpoint, start_time_ms, now)
        level = pool.bucket.refill(parameters.rate, parameters.depth, now)
        if level <= parameters.min_level:
            # The next holder is chosen only once there is a credit to issue.
            if now - pool.estimated_at >= ESTIMATE_INTERVAL:
                self._update_wait(endpoint, pool, limit, parameters)
            return MIN_RECHECK_DELAY + (parameters.min_level - level) / parameters.rate
        shortfall = self._issue_from(endpoint, pool.bucket, parameters, now)
        self._update_wait(endpoint, pool, limit, parameters)
        return (
            None
            if shortfall is None
            else MIN_RECHECK_DELAY + shortfall / parameters.rate
        )

    def _get_pool(
        self, endpoint: EndpointId, start_time_ms: int, now: Seconds
    ) -> _CreditPool:
        pool = self._pools.get(endpoint)
        if pool is None or pool.start_time_ms != start_time_ms:
            # The pool starts empty: another leader may just have issued the credits.
            pool = self._pools[endpoint] = _CreditPool(start_time_ms, Bucket(now, 0.0))
        return pool

    def _issue_from(
        self,
        endpoint: EndpointId,
        bucket: Bucket,
        parameters: IssueParameters,
        now: Seconds,
    ) -> float | None:
        """Issue the credits in a bucket; return the shortfall for the next, if any."""
        while (chosen := self._choose_next(endpoint)) is not None:
            urgency, holder = chosen
            # Prefetching leaves a reserve for requests that will wait.
            prefetch = urgency >= PREFETCH_URGENCY
            reserve = (
                max(parameters.min_level, parameters.depth - 1)
                if prefetch
                else parameters.min_level
            )
            if bucket.level <= reserve:
                return reserve - bucket.level
            bucket.level -= 1
            self._assign(endpoint, holder, now + CREDIT_TTL)
        return None

    def _update_wait(
        self,
        endpoint: EndpointId,
        pool: _CreditPool,
        limit: RateLimitState,
        parameters: IssueParameters,
    ) -> None:
        """Estimate how long one more call waits for a credit, behind those waiting."""
        pool.estimated_at = self._clock()
        outstanding = self.sum_outstanding(endpoint)
        waiting = sum(
            n for urgency, n in outstanding.items() if urgency < PREFETCH_URGENCY
        )
        limit.wait = (1 + waiting) / parameters.rate if waiting else 0.0

    def hand_over(self, endpoint: EndpointId, expiry_times: list[Seconds]) -> None:
        """Hand over credits issued by another leader; keep those nobody requests."""
        for each in expiry_times:
            chosen = self._choose_next(endpoint)
            self._assign(endpoint, chosen[1] if chosen else self._local_holder, each)

    def retain_pools(self, endpoints: Iterable[EndpointId]) -> None:
        """Remove all pools except those of the given endpoints."""
        listed = set(endpoints)
        self._pools = {k: pool for k, pool in self._pools.items() if k in listed}

    def _choose_next(self, endpoint: EndpointId) -> tuple[int, CreditHolder] | None:
        """Return the next holder: the most urgent, then the least recently served."""
        waiting = (
            (min(outstanding), holder.last_credit.get(endpoint, 0), number, holder)
            for number, holder in enumerate(self._list_credit_holders(endpoint))
            if (outstanding := holder.list_outstanding(endpoint))
        )
        first = min(waiting, key=lambda each: each[:3], default=None)
        return None if first is None else (first[0], first[3])

    def _assign(
        self, endpoint: EndpointId, holder: CreditHolder, expires_at: Seconds
    ) -> None:
        self._sequence += 1
        if holder is self._local_holder:
            self._local_holder.last_credit[endpoint] = self._sequence
            self._use_local(endpoint, expires_at)
        else:
            holder.issue(endpoint, self._sequence, expires_at)

    def sum_outstanding(self, endpoint: EndpointId) -> CreditDemand:
        """Return the outstanding credits of all holders at an endpoint."""
        total: Counter[int] = Counter()
        for holder in self._list_credit_holders(endpoint):
            total.update(holder.list_outstanding(endpoint))
        return dict(total)
