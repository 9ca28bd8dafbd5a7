"""Units a second: a bucket that bounds them, and a mean that measures them."""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# A mean over a time of which less than this part has passed is taken as if it had.
PACE_LEAST: Final = 0.2


@dataclass(slots=True)
class Bucket:
    """Units that fill up at a rate; one request may overdraw it, however large."""

    at: Seconds
    level: float = 1.0

    def fill(self, rate: float, depth: float, now: Seconds) -> float:
        """Fill up to a moment; return the units in it."""
        filled = self.level + rate * max(0.0, now - self.at)
        self.level = min(max(1.0, depth), filled)
        self.at = now
        return self.level

    def take(self, units: int, rate: float, depth: float, now: Seconds) -> bool:
        """Take units if any are left; tell whether they were taken."""
        if self.fill(rate, depth, now) <= 0:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class Pace:
    """Units a second, a mean over the last ``time`` seconds or so.

    Since ``began`` all was counted; before it nothing is known.
    """

    time: Seconds
    at: Seconds
    began: Seconds = float("-inf")
    _sum: float = 0.0

    def add(self, units: float, now: Seconds) -> None:
        """Count some units at a moment."""
        self._sum = self._sum * self._fade(now) + units
        self.at = now

    def read(self, now: Seconds) -> float:
        """Return the units a second at a moment."""
        # As long as it has not counted for long, the mean is of that time only.
        part = 1.0 - math.exp(-max(0.0, now - self.began) / self.time)
        return self._sum * self._fade(now) / (self.time * max(PACE_LEAST, part))

    def _fade(self, now: Seconds) -> float:
        return math.exp(-max(0.0, now - self.at) / self.time)
