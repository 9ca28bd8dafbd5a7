"""Rates: a token bucket that limits them, and a decaying mean that measures them."""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# A mean over a window of which a smaller fraction has elapsed is calculated as if this
# fraction had elapsed.
MIN_ELAPSED_FRACTION: Final = 0.2


@dataclass(slots=True)
class Bucket:
    """A token bucket; a single request may overdraw it by any amount."""

    at: Seconds
    level: float = 1.0

    def refill(self, rate: float, depth: float, now: Seconds) -> float:
        """Refill until ``now``; return the units available."""
        filled = self.level + rate * max(0.0, now - self.at)
        self.level = min(max(1.0, depth), filled)
        self.at = now
        return self.level

    def acquire(self, units: int, rate: float, depth: float, now: Seconds) -> bool:
        """Take units if any are available; return whether they were taken."""
        if self.refill(rate, depth, now) <= 0:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class RateMeter:
    """Units per second: a mean that decays exponentially with ``time_constant``.

    All units since ``started_at`` are counted; nothing is known of earlier ones.
    """

    time_constant: Seconds
    at: Seconds
    started_at: Seconds = float("-inf")
    _sum: float = 0.0

    def add(self, units: float, now: Seconds) -> None:
        """Count units at time ``now``."""
        self._sum = self._sum * self._decay(now) + units
        self.at = now

    def read(self, now: Seconds) -> float:
        """Return the units per second at time ``now``."""
        # While the counted time is short, the mean is taken over that time only.
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
