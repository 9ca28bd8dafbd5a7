"""The limiter that grants the same fraction of all requests."""

import random

from kestreltally.fleet.model import Seconds
from kestreltally.quotas.base import BaseLimiter, LocalShare, register_limiter
from kestreltally.quotas.grants import Grant
from kestreltally.quotas.spending import Throttle


@register_limiter("ratio")
class RatioLimiter(BaseLimiter):
    """Grants the same fraction of all requests, at each daemon and of each size.

    It needs no shares, so uneven arrivals and large requests are treated alike.
    """

    def _allows(
        self,
        grant: Grant,
        units: int,
        share: LocalShare,
        throttle: Throttle,
        now: Seconds,
    ) -> bool:
        size = units.bit_length()
        credit = share.credits.get(size)
        credit = (random.random() if credit is None else credit) + throttle.ratio
        share.credits[size] = credit - 1.0 if credit >= 1.0 else credit
        return credit >= 1.0
