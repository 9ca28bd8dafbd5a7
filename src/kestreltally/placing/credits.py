"""Lends turns at endpoints that name a limit: one place counts for all daemons.

Equal parts starve who asks alone, and everybody in a large fleet. One ratio for all, as
quotas have it, keeps a mean over many requests, and no window of a few. So a turn is
lent for each call, to who waits for it, the more urgent first.

Who holds the endpoint's lease lends all of a limit. Nobody may hold it for long, as the
store is away or the holder is lost: then each leader lends to those that it hears their
share of a part of the limit. A daemon follows one lender, so these shares are that part
at the most over all, and a holder that only others hear may lend beside them.
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

# A turn ends so long after it was lent.
CREDIT_TTL: Final[Seconds] = 0.4
# In any such time an endpoint gets its limit, and so many calls more at the most.
WINDOW: Final[Seconds] = 4.0
WINDOW_BURST: Final = 4.0
# Turns that may be lent at once, and what of the limit besides.
MIN_DEPTH: Final = 2.0
DEPTH_TIME: Final[Seconds] = 0.05

# Who lends without a lease lends a turn once it is there, nearly whole, and keeps one
# at the most: a few who lend in one moment must not add up.
UNLEASED_DEPTH: Final = 1.0
UNLEASED_MIN_LEVEL: Final = 0.99

# How long calls wait is worked out so often: all borrowers are asked for it.
ESTIMATE_INTERVAL: Final[Seconds] = 0.05
# A moment later a turn is surely there.
MIN_RECHECK_DELAY: Final[Seconds] = 0.001

# Turns wanted, by urgency: the lower number first.
CreditDemand = dict[int, int]


@dataclass(slots=True, eq=False)
class CreditHolder:
    """A daemon that wants turns, or the leader of some; it begins anew as it connects.

    ``received`` is how many turns it had got as it wrote ``requested``; of those lent
    since it does not know yet.
    """

    requested: dict[EndpointId, CreditDemand] = field(default_factory=dict)
    received: dict[EndpointId, int] = field(default_factory=dict)
    issued: Counter[EndpointId] = field(default_factory=Counter)
    last_credit: dict[EndpointId, int] = field(default_factory=dict)
    # The ends of turns lent and not told yet.
    unreported: dict[EndpointId, list[Seconds]] = field(default_factory=dict)

    def list_outstanding(self, endpoint: EndpointId) -> CreditDemand:
        """Return what is still wanted at an endpoint, beside what is on its way."""
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

    def issue(self, endpoint: EndpointId, number: int, ends: Seconds) -> None:
        """Note a turn that is lent; it is told with the next update."""
        self.issued[endpoint] += 1
        self.last_credit[endpoint] = number
        self.unreported.setdefault(endpoint, []).append(ends)

    def pop_unreported(self) -> dict[EndpointId, list[Seconds]]:
        """Return the turns to be told, once."""
        unreported, self.unreported = self.unreported, {}
        return unreported


@dataclass(slots=True)
class _Pool:
    """The turns that may be lent at one start of an endpoint."""

    born: int
    bucket: Bucket
    estimated_at: Seconds = float("-inf")


@dataclass(frozen=True, slots=True)
class Terms:
    """How turns are lent at a limit.

    ``rate`` is turns a second, ``depth`` how many may be lent at once, and ``min_level``
    what must be there before one is lent.
    """

    rate: float
    depth: float
    min_level: float


def compute_leased_terms(rate: float) -> Terms:
    """Return the terms of who holds the lease, at a limit."""
    return Terms(
        rate=compute_issue_rate(rate), depth=compute_depth(rate), min_level=0.0
    )


def compute_unleased_terms(rate: float, reachable: int, daemons: int) -> Terms:
    """Return the terms of who hears some of all daemons, and holds no lease."""
    share = reachable / max(1, reachable, daemons)
    return Terms(
        rate=ISOLATED_FRACTION * rate * share,
        depth=UNLEASED_DEPTH,
        min_level=UNLEASED_MIN_LEVEL,
    )


def compute_depth(rate: float) -> float:
    """Return how many turns at a limit may be lent at once.

    More at a low limit, whose calls come unevenly, and as its window leaves room.
    """
    return max(MIN_DEPTH, WINDOW_BURST - CREDIT_TTL * rate) + DEPTH_TIME * rate


def compute_issue_rate(rate: float) -> float:
    """Return how many turns a second are lent at a limit.

    Not all of a high limit, for turns lent over a window, and in the time before it in
    which they last, may all be used within that window.
    """
    max_issued = WINDOW * rate + WINDOW_BURST - compute_depth(rate)
    return min(rate, max_issued / (WINDOW + CREDIT_TTL))


class CreditIssuer:
    """Lends turns at some endpoints, and hands on those lent by other leaders.

    ``list_credit_holders`` returns the daemons to lend to at an endpoint; ``local_holder`` is this
    one, whose turns are given to ``use_local``.
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
        self._pools: dict[EndpointId, _Pool] = {}
        self._number = 0

    def issue(
        self, endpoint: EndpointId, born: int, limit: RateLimitState, terms: Terms
    ) -> Seconds | None:
        """Lend what may be lent now; return when to look again, none if not."""
        now = self._clock()
        pool = self._get_pool(endpoint, born, now)
        level = pool.bucket.refill(terms.rate, terms.depth, now)
        if level <= terms.min_level:
            # Who is next is looked for once there is something to lend.
            if now - pool.estimated_at >= ESTIMATE_INTERVAL:
                self._update_wait(endpoint, pool, limit, terms)
            return MIN_RECHECK_DELAY + (terms.min_level - level) / terms.rate
        lacking = self._issue_from(endpoint, pool.bucket, terms, now)
        self._update_wait(endpoint, pool, limit, terms)
        return None if lacking is None else MIN_RECHECK_DELAY + lacking / terms.rate

    def _get_pool(self, endpoint: EndpointId, born: int, now: Seconds) -> _Pool:
        pool = self._pools.get(endpoint)
        if pool is None or pool.born != born:
            # Begins empty: another leader may just have lent what there was.
            pool = self._pools[endpoint] = _Pool(born, Bucket(now, 0.0))
        return pool

    def _issue_from(
        self, endpoint: EndpointId, bucket: Bucket, terms: Terms, now: Seconds
    ) -> float | None:
        """Lend what a bucket holds; return what it lacks for the next turn, if any."""
        while (next_up := self._choose_next(endpoint)) is not None:
            urgency, holder = next_up
            # Who does not wait for a turn leaves the others for who will.
            prefetch = urgency >= PREFETCH_URGENCY
            reserve = (
                max(terms.min_level, terms.depth - 1) if prefetch else terms.min_level
            )
            if bucket.level <= reserve:
                return reserve - bucket.level
            bucket.level -= 1
            self._assign(endpoint, holder, now + CREDIT_TTL)
        return None

    def _update_wait(
        self, endpoint: EndpointId, pool: _Pool, limit: RateLimitState, terms: Terms
    ) -> None:
        """Work out how long one more call waits for its turn, behind those that do."""
        pool.estimated_at = self._clock()
        outstanding = self.sum_outstanding(endpoint)
        waiting = sum(
            n for urgency, n in outstanding.items() if urgency < PREFETCH_URGENCY
        )
        limit.wait = (1 + waiting) / terms.rate if waiting else 0.0

    def hand_over(self, endpoint: EndpointId, ends: list[Seconds]) -> None:
        """Hand on turns that another leader has lent; what nobody wants stays here."""
        for each in ends:
            next_up = self._choose_next(endpoint)
            self._assign(endpoint, next_up[1] if next_up else self._local_holder, each)

    def retain_pools(self, endpoints: Iterable[EndpointId]) -> None:
        """Drop all pools but those of some endpoints."""
        listed = set(endpoints)
        self._pools = {k: pool for k, pool in self._pools.items() if k in listed}

    def _choose_next(self, endpoint: EndpointId) -> tuple[int, CreditHolder] | None:
        """Return who is next: the most urgent, then who had its last turn first."""
        waiting = (
            (min(outstanding), holder.last_credit.get(endpoint, 0), number, holder)
            for number, holder in enumerate(self._list_credit_holders(endpoint))
            if (outstanding := holder.list_outstanding(endpoint))
        )
        first = min(waiting, key=lambda each: each[:3], default=None)
        return None if first is None else (first[0], first[3])

    def _assign(
        self, endpoint: EndpointId, holder: CreditHolder, ends: Seconds
    ) -> None:
        self._number += 1
        if holder is self._local_holder:
            self._local_holder.last_credit[endpoint] = self._number
            self._use_local(endpoint, ends)
        else:
            holder.issue(endpoint, self._number, ends)

    def sum_outstanding(self, endpoint: EndpointId) -> CreditDemand:
        """Return what all borrowers still want at an endpoint."""
        total: Counter[int] = Counter()
        for holder in self._list_credit_holders(endpoint):
            total.update(holder.list_outstanding(endpoint))
        return dict(total)
