"""How many daemons there are, by the most that were heard of lately.

Those that are heard at the moment may be a part only: the others may be cut off, and
believe the same of this part. What each part takes of a bound over all must not grow as
it hears fewer.
"""

from typing import Final

from kestreltally.fleet.model import Seconds

# A VM that nobody has heard of for so long is taken for gone.
COUNT_WINDOW: Final[Seconds] = 60.0


class DaemonCount:
    """The most daemons that were told in the last minute or two."""

    def __init__(self) -> None:
        self._window_start: Seconds = float("-inf")
        self._maximum: int | None = None
        # That of the time before.
        self._previous_maximum: int | None = None

    def record(self, count: int, now: Seconds) -> None:
        """Take in how many daemons are heard now."""
        if now - self._window_start >= COUNT_WINDOW:
            self._window_start = now
            self._previous_maximum, self._maximum = self._maximum, None
        self._maximum = max(count, self._maximum or 0)

    @property
    def maximum(self) -> int | None:
        """Return how many there are, none where this was never told."""
        known = [
            each for each in (self._maximum, self._previous_maximum) if each is not None
        ]
        return max(known, default=None)
