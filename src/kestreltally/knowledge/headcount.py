"""How many daemons there are, by the most that were heard of lately.

Those that are heard at the moment may be a part only: the others may be cut off, and
believe the same of this part. What each part takes of a bound over all must not grow as
it hears fewer.
"""

from typing import Final

from kestreltally.fleet.model import Seconds

# A VM that nobody has heard of for so long is taken for gone.
REMEMBERED_FOR: Final[Seconds] = 60.0


class Headcount:
    """The most daemons that were told in the last minute or two."""

    def __init__(self) -> None:
        self._began: Seconds = float("-inf")
        self._most: int | None = None
        # That of the time before.
        self._most_before: int | None = None

    def note(self, count: int, now: Seconds) -> None:
        """Take in how many daemons are heard now."""
        if now - self._began >= REMEMBERED_FOR:
            self._began = now
            self._most_before, self._most = self._most, None
        self._most = max(count, self._most or 0)

    @property
    def most(self) -> int | None:
        """Return how many there are, none where this was never told."""
        known = [each for each in (self._most, self._most_before) if each is not None]
        return max(known, default=None)
