"""Estimates the number of daemons as the maximum seen in recent time windows.

The daemons that are reachable now may be one side of a network partition. The share of
a common limit that each side uses must not grow when it reaches fewer daemons.
"""

from collections import deque
from typing import Final

from kestreltally.fleet.model import Seconds

# A VM that was not reported for this long is treated as removed.
COUNT_WINDOW: Final[Seconds] = 60.0
# A daemon that moves to another leader is counted by both until each has told the other
# in its next report, so a number counts once it has been reported for two of these.
SETTLE_TIME: Final[Seconds] = 0.5


class DaemonCount:
    """The maximum number of daemons reported in the last one to two windows."""

    def __init__(self) -> None:
        self._window_start: Seconds = float("-inf")
        self._maximum: int | None = None
        # Maximum of the previous window.
        self._previous_maximum: int | None = None
        self._settled_from: Seconds | None = None
        self._recent: deque[tuple[Seconds, int]] = deque()

    def record(self, count: int, now: Seconds) -> None:
        """Record the number of daemons that are reachable now."""
        if now - self._window_start >= COUNT_WINDOW:
            self._window_start = now
            self._previous_maximum, self._maximum = self._maximum, None
        self._maximum = max(self._settle(count, now), self._maximum or 0)

    def record_former(self, count: int, now: Seconds) -> None:
        """Record a number that daemons had counted before this process started."""
        if now - self._window_start >= COUNT_WINDOW:
            self._window_start = now
            self._maximum = None
        self._previous_maximum = max(count, self._previous_maximum or 0)

    def _settle(self, count: int, now: Seconds) -> int:
        """Return the number that was reported all the time lately.

        The first numbers count at once: a number that is too small is the worse error.
        """
        if self._settled_from is None:
            self._settled_from = now + SETTLE_TIME
        self._recent.append((now, count))
        while now - self._recent[0][0] > SETTLE_TIME:
            self._recent.popleft()
        if now < self._settled_from:
            return count
        return min(each for _, each in self._recent)

    @property
    def maximum(self) -> int | None:
        """Return the estimated number of daemons, None if none was recorded."""
        known = [
            each for each in (self._maximum, self._previous_maximum) if each is not None
        ]
        return max(known, default=None)
