"""Bounds how fast loads from the weight store may begin over all engines."""

from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds

# The bound allows the rate with some overage and three loads more in a window; the
# rate alone, and a short burst, keeps clear of it also when orders arrive late.
BURST: Final = 3.0
# Parts of the bound used in all: the rest is for orders that are carried out late.
RATE_PART: Final = 1.0


class LoadCeiling:
    """A token bucket that starts empty, as if a former leader had used it up."""

    def __init__(self, bounds: Bounds, now: Seconds) -> None:
        self._window = bounds.load_window
        self._tokens = 0.0
        self._filled_at = now

    def refill(self, loads_per_second: float, now: Seconds) -> None:
        """Add what the rate has gained since the last call."""
        gained = (now - self._filled_at) * loads_per_second * RATE_PART
        self._tokens = min(BURST, self._tokens + gained)
        self._filled_at = now

    @property
    def available(self) -> int:
        """Return how many loads may begin now."""
        return int(self._tokens)

    def take(self) -> None:
        """Use one load up."""
        self._tokens -= 1.0
