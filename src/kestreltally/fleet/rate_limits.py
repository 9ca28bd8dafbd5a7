"""Limits that endpoints name, and this daemon's turns at them.

An endpoint in need names how many requests a second it takes from all daemons together.
From then on each call of any kind needs a turn there, which the daemon that leads the
endpoint lends (``placing/turns.py``): only one place that counts for all keeps a sum of
a few requests a second, in any window. A turn ends soon where it is not used, so that
what is lent and lost adds nothing later.

Which word on a limit is newer is told without comparing clocks: who hears a word that
differs from the one it knows, in an answer to what was sent after it knew that one,
adds one to its version. Of two with one version the stricter holds.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Notice, Seconds
from kestreltally.rates import Bucket, RateMeter

# Urgency of turns that nobody waits for yet; those of requests end at 9.
PREFETCH_URGENCY: Final = 10
# Turns are wanted ahead for this time, by the pace of the last second or so: as long as
# it takes to ask for one and get it.
PREFETCH_TIME: Final[Seconds] = 0.25
DEMAND_TIME: Final[Seconds] = 1.0
# What is told as the wait for a turn while its lender knows of none who waits.
CREDIT_ROUND_TRIP: Final[Seconds] = 0.05
# A limit is short where a turn takes longer: as long as a load of an adapter elsewhere.
CONSTRAINED_WAIT: Final[Seconds] = 0.25
# Changes of a limit by less than this factor are told with what is told in any case.
SIGNIFICANT_FACTOR: Final = 2.0
# Even an endpoint that takes nothing is called this often a second where it is wanted:
# only an answer tells that its limit is over.
MIN_RATE: Final = 0.25
# Who hears nobody that holds the lease keeps to this part of an equal share, for the
# others may hear one.
ISOLATED_FRACTION: Final = 0.4
# All daemons may use a first turn in one moment then: above so many, and the limit's
# number, none uses any.
MAX_ISOLATED: Final = 4
# What is told then as the wait for a turn: some such times later another lends.
ISOLATED_WAIT: Final[Seconds] = 1.0
NEVER: Final[Seconds] = float("-inf")


@dataclass(frozen=True, slots=True)
class IssuerState:
    """Who lends turns at an endpoint.

    ``known`` tells that a lender is heard, or is this daemon; ``daemons`` is how many
    daemons there are, none where this one was never told.
    """

    known: bool
    daemons: int | None


def is_stricter(limit: float | None, than: float | None) -> bool:
    """Tell whether a limit, none for no limit, allows less than another."""
    return limit is not None and (than is None or limit < than)


@dataclass(slots=True)
class RateLimitState:
    """What is known of the limit of one start of an endpoint.

    ``known_at`` is since when the word in force is known here, ``wait`` how long a call
    waits for its turn by its lender's word, and ``named_in_calls`` whether answers to
    reports and orders name the limit too. ``credits`` holds the ends of the turns at
    hand, ``waiting`` counts the requests that wait for one, by urgency.
    """

    limit: float | None = None
    version: int = 0
    known_at: Seconds = NEVER
    wait: Seconds = 0.0
    named_in_calls: bool = False
    credits: list[Seconds] = field(default_factory=list)
    waiting: Counter[int] = field(default_factory=Counter)
    demand: RateMeter = field(default_factory=lambda: RateMeter(DEMAND_TIME, 0.0))
    isolated_bucket: Bucket | None = None

    @property
    def rate(self) -> float:
        """Return the calls a second that all daemons may make; 0 without a limit."""
        return 0.0 if self.limit is None else max(MIN_RATE, self.limit)

    def receive(
        self, notice: Notice, sent_at: Seconds, now: Seconds, *, from_request: bool
    ) -> bool:
        """Take in an answer to what was sent at a moment; tell whether it is news.

        An answer without a limit ends it where its request was sent with the limit
        known. Answers to calls that are not ``from_request`` do so only where they are known
        to name limits.
        """
        if notice.malformed:
            return False
        if notice.limit is None:
            ends = self.limit is not None and sent_at >= self.known_at
            if not ends or not (from_request or self.named_in_calls):
                return False
        else:
            self.named_in_calls |= not from_request
            late = sent_at < self.known_at
            if notice.limit == self.limit:
                return False
            if late and not is_stricter(notice.limit, self.limit):
                return False
        return self._update(notice.limit, self.version + 1, now)

    def apply_reported(self, limit: float | None, version: int, now: Seconds) -> bool:
        """Take in another daemon's word; tell whether it is news."""
        newer = version > self.version
        if newer or (version == self.version and is_stricter(limit, self.limit)):
            return self._update(limit, version, now)
        return False

    def _update(self, limit: float | None, version: int, now: Seconds) -> bool:
        before, self.limit = self.limit, limit
        self.version = version
        self.known_at = now
        if limit is None:
            self.credits.clear()
        if before is None or limit is None:
            self.wait = 0.0
            return before != limit
        low, high = sorted((before, limit))
        return high > SIGNIFICANT_FACTOR * low

    # Turns.

    def _count_credits(self, now: Seconds) -> int:
        """Return how many turns are at hand, without those that have ended."""
        self.credits = [ends for ends in self.credits if ends > now]
        return len(self.credits)

    def compute_wait(self, issuer: IssuerState, now: Seconds) -> Seconds:
        """Return how long until a call may be made, 0 where one may be now."""
        if self.limit is None or self._count_credits(now):
            return 0.0
        rate = self._compute_isolated_rate(issuer)
        if not rate:
            return max(CREDIT_ROUND_TRIP, self.wait) if issuer.known else ISOLATED_WAIT
        level = self._get_isolated_bucket(now).refill(rate, 1.0, now)
        return 0.0 if level > 0 else max(CREDIT_ROUND_TRIP, -level / rate)

    def use_credit(self, issuer: IssuerState, now: Seconds) -> bool:
        """Use a turn up, if one is at hand."""
        if self._count_credits(now):
            self.credits.remove(min(self.credits))
            return True
        rate = self._compute_isolated_rate(issuer)
        return rate > 0 and self._get_isolated_bucket(now).acquire(1, rate, 1.0, now)

    def _compute_isolated_rate(self, issuer: IssuerState) -> float:
        """Return what may be called without a lender, a second; 0 for nothing."""
        daemons = issuer.daemons
        if issuer.known or daemons is None or daemons > MAX_ISOLATED + self.rate:
            return 0.0
        return ISOLATED_FRACTION * self.rate / max(1, daemons)

    def _get_isolated_bucket(self, now: Seconds) -> Bucket:
        if self.isolated_bucket is None:
            # Not all begin in the same moment.
            self.isolated_bucket = Bucket(now, -random.random())
        return self.isolated_bucket

    def list_requested(self, now: Seconds) -> dict[int, int]:
        """Return how many more turns are wanted, by urgency."""
        if self.limit is None:
            return {}
        pace = min(self.rate, self.demand.read(now))
        ahead = math.ceil(pace * PREFETCH_TIME) if pace >= MIN_RATE else 0
        # Who waits may have been woken, and not have used its turn yet.
        at_hand = self._count_credits(now)
        wanted = {}
        for urgency, count in sorted({**self.waiting, PREFETCH_URGENCY: ahead}.items()):
            met = min(count, at_hand)
            at_hand -= met
            if count > met:
                wanted[urgency] = count - met
        return wanted

    def is_constrained(self) -> bool:
        """Tell whether calls wait so long that work is better done elsewhere."""
        return self.limit is not None and self.wait > CONSTRAINED_WAIT
