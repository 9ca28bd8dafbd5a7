"""Rate limits named by endpoints, and this daemon's credits for calls there.

An overloaded endpoint names how many requests per second it accepts from all daemons
together. From then on every call to it, of any kind, needs a credit issued by the
daemon that leads the endpoint (``placing/credits.py``): only a single counter can limit
the total in every window to a few requests per second. An unused credit expires soon,
so that credits that are issued and lost do not add to later traffic.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Notice, Seconds
from kestreltally.fleet.named_limits import NamedLimit
from kestreltally.rates import Bucket, RateMeter

# Urgency of credits that no request waits for yet; urgencies of requests end at 9.
PREFETCH_URGENCY: Final = 10
# Credits are prefetched for this time, at the demand of about the last second. It is
# the time it takes to request a credit and receive it.
PREFETCH_TIME: Final[Seconds] = 0.25
DEMAND_TIME: Final[Seconds] = 1.0
# Minimum reported wait for a credit, used while its issuer knows of no waiting request.
CREDIT_ROUND_TRIP: Final[Seconds] = 0.05
# An endpoint is constrained if a credit takes longer than this, the time in which
# another engine loads an adapter.
CONSTRAINED_WAIT: Final[Seconds] = 0.25
# Changes of a limit by less than this factor are sent with the next regular report.
SIGNIFICANT_FACTOR: Final = 2.0
# Minimum calls per second to an endpoint that is in demand, even if its limit is 0:
# only an answer shows that the limit has ended.
MIN_RATE: Final = 0.25
# A daemon without contact to a lease holder uses this fraction of an equal share,
# because other daemons may still have contact.
ISOLATED_FRACTION: Final = 0.4
# All isolated daemons may make their first call at the same moment. With more daemons
# than this plus the limit, none makes any.
MAX_ISOLATED: Final = 4
# Reported wait for a credit of an isolated daemon; another issuer takes over within a
# few such times.
ISOLATED_WAIT: Final[Seconds] = 1.0


@dataclass(frozen=True, slots=True)
class IssuerState:
    """Whether an issuer of credits for an endpoint is reachable.

    ``known`` means that this daemon has contact to an issuer, or is the issuer.
    ``daemons`` is the number of daemons, None if it was never reported.
    """

    known: bool
    daemons: int | None


@dataclass(slots=True)
class RateLimitState(NamedLimit):
    """The rate limit of one incarnation of an endpoint.

    ``wait`` is how long a call waits for a credit according to the issuer. ``credits``
    holds the expiry times of the available credits; ``waiting`` counts the requests
    that wait for one, by urgency.
    """

    wait: Seconds = 0.0
    credits: list[Seconds] = field(default_factory=list)
    waiting: Counter[int] = field(default_factory=Counter)
    demand: RateMeter = field(default_factory=lambda: RateMeter(DEMAND_TIME, 0.0))
    isolated_bucket: Bucket | None = None

    @property
    def rate(self) -> float:
        """Return the calls per second allowed to all daemons; 0 without a limit."""
        return 0.0 if self.limit is None else max(MIN_RATE, self.limit)

    def receive(
        self, notice: Notice, sent_at: Seconds, now: Seconds, *, from_request: bool
    ) -> bool:
        """Update the limit from an answer; return whether peers should be notified."""
        if notice.malformed:
            return False
        return self.receive_named(notice.limit, sent_at, now, from_request=from_request)

    def _apply_change(self, before: float | None) -> bool:
        if self.limit is None:
            self.credits.clear()
        if before is None or self.limit is None:
            self.wait = 0.0
            return before != self.limit
        low, high = sorted((before, self.limit))
        return high > SIGNIFICANT_FACTOR * low

    # Credits.

    def _count_credits(self, now: Seconds) -> int:
        """Return the number of available credits, after dropping expired ones."""
        self.credits = [expires_at for expires_at in self.credits if expires_at > now]
        return len(self.credits)

    def compute_wait(self, issuer: IssuerState, now: Seconds) -> Seconds:
        """Return how long until a call can be made, 0 if one can be made now."""
        if self.limit is None or self._count_credits(now):
            return 0.0
        rate = self._compute_isolated_rate(issuer)
        if not rate:
            return max(CREDIT_ROUND_TRIP, self.wait) if issuer.known else ISOLATED_WAIT
        level = self._get_isolated_bucket(now).refill(rate, 1.0, now)
        return 0.0 if level > 0 else max(CREDIT_ROUND_TRIP, -level / rate)

    def use_credit(self, issuer: IssuerState, now: Seconds) -> bool:
        """Use a credit if one is available; return whether a call can be made."""
        if self._count_credits(now):
            self.credits.remove(min(self.credits))
            return True
        rate = self._compute_isolated_rate(issuer)
        return rate > 0 and self._get_isolated_bucket(now).acquire(1, rate, 1.0, now)

    def _compute_isolated_rate(self, issuer: IssuerState) -> float:
        """Return the calls per second allowed without an issuer; 0 for none."""
        daemons = issuer.daemons
        if issuer.known or daemons is None or daemons > MAX_ISOLATED + self.rate:
            return 0.0
        return ISOLATED_FRACTION * self.rate / max(1, daemons)

    def _get_isolated_bucket(self, now: Seconds) -> Bucket:
        if self.isolated_bucket is None:
            # Random start level, so that daemons do not call at the same moment.
            self.isolated_bucket = Bucket(now, -random.random())
        return self.isolated_bucket

    def list_requested(self, now: Seconds) -> dict[int, int]:
        """Return how many more credits are required, by urgency."""
        if self.limit is None:
            return {}
        call_rate = min(self.rate, self.demand.read(now))
        prefetched = (
            math.ceil(call_rate * PREFETCH_TIME) if call_rate >= MIN_RATE else 0
        )
        # A waiting request may have been woken without having used its credit yet.
        available = self._count_credits(now)
        required = {}
        for urgency, count in sorted(
            {**self.waiting, PREFETCH_URGENCY: prefetched}.items()
        ):
            covered = min(count, available)
            available -= covered
            if count > covered:
                required[urgency] = count - covered
        return required

    def is_constrained(self) -> bool:
        """Return whether calls wait so long that another endpoint is preferable."""
        return self.limit is not None and self.wait > CONSTRAINED_WAIT
