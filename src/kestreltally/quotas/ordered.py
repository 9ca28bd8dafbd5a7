"""The limiter that grants a quota in the order in which requests arrive."""

import random
from collections.abc import Iterable
from typing import Final

from kestreltally.fleet.model import OrganisationName, Quota, Seconds
from kestreltally.quotas.base import (
    ISOLATED_WAIT,
    NEVER,
    THROTTLE_TTL,
    Clock,
    LocalShare,
    register_limiter,
)
from kestreltally.quotas.grants import Grant, QuotaBounds
from kestreltally.quotas.ratio import RatioLimiter
from kestreltally.quotas.spending import Keeper, SpendingCounter, Throttle

# Without contact to a leader, a daemon grants in any window at most this fraction of
# its share of the window, with what it ran before. Shares are estimates, and their sum
# may exceed the whole.
ISOLATED_WINDOW_FRACTION: Final = 0.45
# The same before it hears a leader for the first time.
STARTED_FRACTION: Final = 0.02
# Leaders know what a daemon granted in isolation this long after it regained contact.
REPORT_TIME: Final[Seconds] = 0.6
# Part of the way by which a known share moves to its newest value.
FRACTION_STEP: Final = 0.2


@register_limiter("ordered")
class OrderedLimiter(RatioLimiter):
    """Asks the keeper for each request near the limit, else grants by ratio.

    Without contact to a leader, what a daemon ran in the last window counts against
    its share of the window, so that a rise before it lost contact is not granted twice.
    A daemon that never heard a leader does not know what ran before, and grants less.
    """

    def __init__(self, clock: Clock, bounds: QuotaBounds) -> None:
        super().__init__(clock, bounds)
        self._counter = SpendingCounter(bounds.window)
        self._started_at = clock()
        self._regained_at = NEVER

    def _get_counting_start(self) -> Seconds:
        return self._started_at

    def find_keeper(self, name: OrganisationName) -> Keeper | None:
        """Return the keeper that the last valid throttle of an organisation names."""
        throttle = self._throttles.get(name)
        if throttle is None or self._clock() - self._received_at > THROTTLE_TTL:
            return None
        return throttle.keeper

    def apply_throttles(self, throttles: Iterable[Throttle]) -> None:
        """Apply a leader's throttles, and compare this daemon's share as of then."""
        before = {name: each.fraction for name, each in self._shares.items()}
        lost = self._clock() - self._received_at > THROTTLE_TTL
        if lost and self._received_at != NEVER:
            self._regained_at = self._clock()
        super().apply_throttles(throttles)
        now = self._clock()
        for name, share in self._shares.items():
            asked = share.read_delayed(now)
            throttle = self._throttles.get(name)
            known = before[name]
            share.fraction = known
            if asked is None or throttle is None or throttle.asked <= 0:
                continue
            fraction = min(1.0, asked / throttle.asked)
            share.fraction = (
                fraction
                if known is None
                else known + FRACTION_STEP * (fraction - known)
            )

    def _compute_wait(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: LocalShare,
        now: Seconds,
    ) -> Seconds | None:
        if now - self._regained_at < REPORT_TIME:
            return self._grant_isolated(name, grant, units, share, now)
        return super()._compute_wait(name, grant, units, share, now)

    def record_kept(
        self, name: OrganisationName, quota: Quota, units: int, *, granted: bool
    ) -> None:
        """Record a request on which the keeper decided, who counts what it granted."""
        super().record_kept(name, quota, units, granted=granted)
        if granted:
            self._shares[name].ran.add(units, self._clock())

    def grant(self, name: OrganisationName, quota: Quota, units: int) -> Seconds | None:
        """Return None if a request may run, else the time until a retry."""
        wait = super().grant(name, quota, units)
        if wait is None:
            self._shares[name].ran.add(units, self._clock())
        return wait

    def refund(self, name: OrganisationName, units: int, asked_at: Seconds) -> None:
        """Refund units granted to a request that did not run."""
        super().refund(name, units, asked_at)
        is_counted = self._clock() - asked_at < self._bounds.window
        if name in self._shares and is_counted:
            self._shares[name].ran.add(-units, self._clock())

    def _grant_isolated(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: LocalShare,
        now: Seconds,
    ) -> Seconds | None:
        share.ran.settle(now)
        share_of_window = self._compute_fraction(share) * (
            grant.rate * self._bounds.window + grant.burst
        )
        if self._received_at == NEVER:
            fraction = STARTED_FRACTION
            needed = units if share.ran.total else 0.0
        else:
            # A request that fits only in part is granted with the probability of that
            # part, so that overshoot and shortfall are equal on average.
            fraction = ISOLATED_WINDOW_FRACTION
            needed = units * random.random() if share.ran.total else 0.0
        if share.ran.total + needed > max(1.0, fraction * share_of_window):
            return ISOLATED_WAIT
        return super()._grant_isolated(name, grant, units, share, now)
