"""Bounds how fast loads of base models from the weight store may begin.

Adapters are not counted: they come in a quarter of a second, and their price bounds
them (docs/QUESTIONS.md, 1).
"""

from collections.abc import Sequence
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds

# The bound allows the rate with some overage and three loads more in a window, over
# all leaders: each has its part of the rate, and one load at once.
BURST: Final = 1.0


def compute_fraction(can_order: Sequence[bool]) -> float:
    """Return a daemon's part of the rate, by whether it may order under each lease.

    A lease that is held, but waits until the former holder's last order is past, gives
    no part yet: that one may use it still.
    """
    return sum(can_order) / len(can_order)


class LoadLimiter:
    """A token bucket that starts empty, as if a former leader had used it up."""

    def __init__(self, bounds: Bounds, now: Seconds) -> None:
        self._window = bounds.load_window
        self._tokens = 0.0
        self._filled_at = now

    def refill(self, loads_per_second: float, now: Seconds) -> None:
        """Add what the rate has gained since the last call."""
        gained = (now - self._filled_at) * loads_per_second
        self._tokens = min(BURST, self._tokens + gained)
        self._filled_at = now

    @property
    def available(self) -> int:
        """Return how many loads may begin now."""
        return int(self._tokens)

    def acquire(self) -> None:
        """Use one load up."""
        self._tokens -= 1.0
