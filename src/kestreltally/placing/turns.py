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
TURN_LIFE: Final[Seconds] = 0.4
# In any such time an endpoint gets its limit, and so many calls more at the most.
WINDOW: Final[Seconds] = 4.0
WINDOW_MORE: Final = 4.0
# Turns that may be lent at once, and what of the limit besides.
DEPTH_LEAST: Final = 2.0
DEPTH_TIME: Final[Seconds] = 0.05

# Who lends without a lease lends a turn once it is there, nearly whole, and keeps one
# at the most: a few who lend in one moment must not add up.
UNLEASED_DEPTH: Final = 1.0
UNLEASED_LEAST: Final = 0.99

# How long calls wait is worked out so often: all borrowers are asked for it.
ESTIMATE_EVERY: Final[Seconds] = 0.05
# A moment later a turn is surely there.
LOOK_LEAST: Final[Seconds] = 0.001

# Turns wanted, by urgency: the lower number first.
Wanted = dict[int, int]


@dataclass(slots=True, eq=False)
class Borrower:
    """A daemon that wants turns, or the leader of some; it begins anew as it connects.

    ``received`` is how many turns it had got as it wrote ``wanted``; of those lent
    since it does not know yet.
    """

    wanted: dict[EndpointId, Wanted] = field(default_factory=dict)
    received: dict[EndpointId, int] = field(default_factory=dict)
    lent: Counter[EndpointId] = field(default_factory=Counter)
    last_turn: dict[EndpointId, int] = field(default_factory=dict)
    # The ends of turns lent and not told yet.
    untold: dict[EndpointId, list[Seconds]] = field(default_factory=dict)

    def list_open(self, endpoint: EndpointId) -> Wanted:
        """Return what is still wanted at an endpoint, beside what is on its way."""
        wanted = self.wanted.get(endpoint)
        if not wanted:
            return {}
        coming = self.lent[endpoint] - self.received.get(endpoint, 0)
        still = {}
        for urgency, count in sorted(wanted.items()):
            met = min(count, max(0, coming))
            coming -= met
            if count > met:
                still[urgency] = count - met
        return still

    def issue(self, endpoint: EndpointId, number: int, ends: Seconds) -> None:
        """Note a turn that is lent; it is told with the next update."""
        self.lent[endpoint] += 1
        self.last_turn[endpoint] = number
        self.untold.setdefault(endpoint, []).append(ends)

    def take_untold(self) -> dict[EndpointId, list[Seconds]]:
        """Return the turns to be told, once."""
        taken, self.untold = self.untold, {}
        return taken


@dataclass(slots=True)
class _Pool:
    """The turns that may be lent at one start of an endpoint."""

    born: int
    bucket: Bucket
    estimated_at: Seconds = float("-inf")


@dataclass(frozen=True, slots=True)
class Terms:
    """How turns are lent at a limit.

    ``rate`` is turns a second, ``depth`` how many may be lent at once, and ``least``
    what must be there before one is lent.
    """

    rate: float
    depth: float
    least: float


def find_leased_terms(rate: float) -> Terms:
    """Return the terms of who holds the lease, at a limit."""
    return Terms(rate=find_lent_rate(rate), depth=find_depth(rate), least=0.0)


def find_unleased_terms(rate: float, heard: int, daemons: int) -> Terms:
    """Return the terms of who hears some of all daemons, and holds no lease."""
    share = heard / max(1, heard, daemons)
    return Terms(
        rate=ISOLATED_FRACTION * rate * share,
        depth=UNLEASED_DEPTH,
        least=UNLEASED_LEAST,
    )


def find_depth(rate: float) -> float:
    """Return how many turns at a limit may be lent at once.

    More at a low limit, whose calls come unevenly, and as its window leaves room.
    """
    return max(DEPTH_LEAST, WINDOW_MORE - TURN_LIFE * rate) + DEPTH_TIME * rate


def find_lent_rate(rate: float) -> float:
    """Return how many turns a second are lent at a limit.

    Not all of a high limit, for turns lent over a window, and in the time before it in
    which they last, may all be used within that window.
    """
    most = WINDOW * rate + WINDOW_MORE - find_depth(rate)
    return min(rate, most / (WINDOW + TURN_LIFE))


class TurnLender:
    """Lends turns at some endpoints, and hands on those lent by other leaders.

    ``list_borrowers`` returns the daemons to lend to at an endpoint; ``own`` is this
    one, whose turns are given to ``take_own``.
    """

    def __init__(
        self,
        own: Borrower,
        list_borrowers: Callable[[EndpointId], Iterable[Borrower]],
        take_own: Callable[[EndpointId, Seconds], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._own = own
        self._list_borrowers = list_borrowers
        self._take_own = take_own
        self._clock = clock
        self._pools: dict[EndpointId, _Pool] = {}
        self._number = 0

    def issue(
        self, endpoint: EndpointId, born: int, limit: RateLimitState, terms: Terms
    ) -> Seconds | None:
        """Lend what may be lent now; return when to look again, none if not."""
        now = self._clock()
        pool = self._find_pool(endpoint, born, now)
        level = pool.bucket.refill(terms.rate, terms.depth, now)
        if level <= terms.least:
            # Who is next is looked for once there is something to lend.
            if now - pool.estimated_at >= ESTIMATE_EVERY:
                self._tell_wait(endpoint, pool, limit, terms)
            return LOOK_LEAST + (terms.least - level) / terms.rate
        lacking = self._lend_from(endpoint, pool.bucket, terms, now)
        self._tell_wait(endpoint, pool, limit, terms)
        return None if lacking is None else LOOK_LEAST + lacking / terms.rate

    def _find_pool(self, endpoint: EndpointId, born: int, now: Seconds) -> _Pool:
        pool = self._pools.get(endpoint)
        if pool is None or pool.born != born:
            # Begins empty: another leader may just have lent what there was.
            pool = self._pools[endpoint] = _Pool(born, Bucket(now, 0.0))
        return pool

    def _lend_from(
        self, endpoint: EndpointId, bucket: Bucket, terms: Terms, now: Seconds
    ) -> float | None:
        """Lend what a bucket holds; return what it lacks for the next turn, if any."""
        while (found := self._find_next(endpoint)) is not None:
            urgency, borrower = found
            # Who does not wait for a turn leaves the others for who will.
            ahead = urgency >= PREFETCH_URGENCY
            kept = max(terms.least, terms.depth - 1) if ahead else terms.least
            if bucket.level <= kept:
                return kept - bucket.level
            bucket.level -= 1
            self._hand(endpoint, borrower, now + TURN_LIFE)
        return None

    def _tell_wait(
        self, endpoint: EndpointId, pool: _Pool, limit: RateLimitState, terms: Terms
    ) -> None:
        """Work out how long one more call waits for its turn, behind those that do."""
        pool.estimated_at = self._clock()
        still = self.sum_open(endpoint)
        waiting = sum(n for urgency, n in still.items() if urgency < PREFETCH_URGENCY)
        limit.wait = (1 + waiting) / terms.rate if waiting else 0.0

    def hand_on(self, endpoint: EndpointId, ends: list[Seconds]) -> None:
        """Hand on turns that another leader has lent; what nobody wants stays here."""
        for each in ends:
            found = self._find_next(endpoint)
            self._hand(endpoint, found[1] if found else self._own, each)

    def forget(self, endpoints: Iterable[EndpointId]) -> None:
        """Drop all pools but those of some endpoints."""
        kept = set(endpoints)
        self._pools = {k: pool for k, pool in self._pools.items() if k in kept}

    def _find_next(self, endpoint: EndpointId) -> tuple[int, Borrower] | None:
        """Return who is next: the most urgent, then who had its last turn first."""
        waiting = (
            (min(still), borrower.last_turn.get(endpoint, 0), number, borrower)
            for number, borrower in enumerate(self._list_borrowers(endpoint))
            if (still := borrower.list_open(endpoint))
        )
        first = min(waiting, key=lambda each: each[:3], default=None)
        return None if first is None else (first[0], first[3])

    def _hand(self, endpoint: EndpointId, borrower: Borrower, ends: Seconds) -> None:
        self._number += 1
        if borrower is self._own:
            self._own.last_turn[endpoint] = self._number
            self._take_own(endpoint, ends)
        else:
            borrower.issue(endpoint, self._number, ends)

    def sum_open(self, endpoint: EndpointId) -> Wanted:
        """Return what all borrowers still want at an endpoint."""
        total: Counter[int] = Counter()
        for borrower in self._list_borrowers(endpoint):
            total.update(borrower.list_open(endpoint))
        return dict(total)
