"""Limits the rate of base model loads from the weight store.

Adapter loads are not counted: they take a quarter of a second and are limited by their
cost (docs/QUESTIONS.md, 1).
"""

from collections.abc import Sequence
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds

# Over all leaders, the bound on a window allows the rate with some overage and three
# extra loads. Each leader has its fraction of the rate and a burst of one load.
BURST: Final = 1.0


def compute_fraction(can_order: Sequence[bool]) -> float:
    """Return a daemon's fraction of the rate: the leases under which it can order.

    A held lease that still waits for the former holder's last order does not count, as
    the former holder may still use that fraction.
    """
    return sum(can_order) / len(can_order)


class LoadLimiter:
    """A token bucket that starts empty, as a former leader may have used its tokens."""

    def __init__(self, bounds: Bounds, now: Seconds) -> None:
        self._window = bounds.load_window
        self._tokens = 0.0
        self._filled_at = now

    def refill(self, loads_per_second: float, now: Seconds) -> None:
        """Add the tokens accrued since the last call."""
        gained = (now - self._filled_at) * loads_per_second
        self._tokens = min(BURST, self._tokens + gained)
        self._filled_at = now

    @property
    def available(self) -> int:
        """Return how many loads can start now."""
        return int(self._tokens)

    def acquire(self) -> None:
        """Consume the token of one load."""
        self._tokens -= 1.0
