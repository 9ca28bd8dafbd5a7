"""Limiters, which decide at each daemon which requests of an organisation may run.

All limiters receive the same throttles from the leaders. They are compared in
tests/quotasim.py; the daemon uses the one named ``DEFAULT``.
"""

from typing import Final

from kestreltally.fleet.model import OrganisationName, Seconds
from kestreltally.quotas.base import (
    ISOLATED_WAIT,
    LIMITERS,
    THROTTLE_TTL,
    BaseLimiter,
    Limiter,
    LocalShare,
    register_limiter,
)
from kestreltally.quotas.grants import Grant
from kestreltally.quotas.ordered import OrderedLimiter
from kestreltally.quotas.ratio import RatioLimiter
from kestreltally.quotas.spending import Throttle

__all__ = [
    "DEFAULT",
    "LIMITERS",
    "THROTTLE_TTL",
    "UNORDERED",
    "Limiter",
    "OrderedLimiter",
    "RatioLimiter",
]

# Depth of a share's bucket in seconds of the share, for uneven arrivals.
SHARE_DEPTH: Final[Seconds] = 1.0
DEFAULT: Final = "ordered"
# The limiter of daemons that do not grant quotas in the order of arrival.
UNORDERED: Final = "ratio"


@register_limiter("shares")
class ShareLimiter(BaseLimiter):
    """Allots each daemon the fraction of the rate that it has of all requests."""

    def _allows(
        self,
        grant: Grant,
        units: int,
        share: LocalShare,
        throttle: Throttle,
        now: Seconds,
    ) -> bool:
        rate = self._compute_fraction(share) * grant.rate
        return share.allotted_bucket.acquire(units, rate, SHARE_DEPTH * rate, now)


@register_limiter("equal")
class EqualLimiter(BaseLimiter):
    """Allots each daemon an equal part of rate and burst, ignoring throttles."""

    def _compute_wait(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: LocalShare,
        now: Seconds,
    ) -> Seconds | None:
        rate = grant.rate / max(1, self.daemons)
        depth = grant.burst / max(1, self.daemons)
        return (
            None
            if share.allotted_bucket.acquire(units, rate, depth, now)
            else ISOLATED_WAIT
        )
