"""Units a second: a bucket that bounds them, and a mean that measures them."""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# A mean over a time of which less than this part has passed is taken as if it had.
MIN_ELAPSED_FRACTION: Final = 0.2


@dataclass(slots=True)
class Bucket:
    """Units that fill up at a rate; one request may overdraw it, however large."""

    at: Seconds
    level: float = 1.0

    def refill(self, rate: float, depth: float, now: Seconds) -> float:
        """Fill up to a moment; return the units in it."""
        filled = self.level + rate * max(0.0, now - self.at)
        self.level = min(max(1.0, depth), filled)
        self.at = now
        return self.level

    def acquire(self, units: int, rate: float, depth: float, now: Seconds) -> bool:
        """Take units if any are left; tell whether they were taken."""
        if self.refill(rate, depth, now) <= 0:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class RateMeter:
    """Units a second, a mean over the last ``time_constant`` seconds or so.

    Since ``started_at`` all was counted; before it nothing is known.
    """

    time_constant: Seconds
    at: Seconds
    started_at: Seconds = float("-inf")
    _sum: float = 0.0

    def add(self, units: float, now: Seconds) -> None:
        """Count some units at a moment."""
        self._sum = self._sum * self._decay(now) + units
        self.at = now

    def read(self, now: Seconds) -> float:
        """Return the units a second at a moment."""
        # As long as it has not counted for long, the mean is of that time only.
        elapsed_fraction = 1.0 - math.exp(
            -max(0.0, now - self.started_at) / self.time_constant
        )
        return (
            self._sum
            * self._decay(now)
            / (self.time_constant * max(MIN_ELAPSED_FRACTION, elapsed_fraction))
        )

    def _decay(self, now: Seconds) -> float:
        return math.exp(-max(0.0, now - self.at) / self.time_constant)
