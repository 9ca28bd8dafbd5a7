"""Versions of weights, and until when requests may begin on older ones."""

import math
from typing import Final, NamedTuple

from kestreltally.fleet.model import Seconds

# The operators' bound from the acknowledgement of a version to the last request that
# begins on an older one, unless the deployment states another.
DEFAULT_VERSION_BOUND: Final[Seconds] = 5.0
# This part of the bound is kept for timers that fire late, and for the way of the close
# of a channel to its engine.
BEGIN_MARGIN: Final[Seconds] = 0.4
OLD_VERSION_GRACE: Final[Seconds] = DEFAULT_VERSION_BOUND - BEGIN_MARGIN
NEVER: Final[Seconds] = -math.inf


def compute_grace(bound: Seconds) -> Seconds:
    """Return for how long requests may begin on a version after its successor."""
    return bound - BEGIN_MARGIN


def describe_time(time: Seconds) -> Seconds | None:
    """Return a time for log lines, None if it is not limited or not known."""
    return round(time, 3) if math.isfinite(time) else None


class LearnedVersion(NamedTuple):
    """A version, and the latest time at which it is proven not to have existed."""

    number: int
    absent_at: Seconds


class KnownVersions:
    """The versions of some weights that this daemon has learned of.

    Nobody tells a daemon when a version was acknowledged, only that it was after
    ``absent_at``. So the grace period of a version begins with that time of the first
    newer one, whatever comes after that. Versions are kept as long as they decide when
    an older one has to end: those within the grace period, and the newest one before
    them.
    """

    def __init__(self, grace: Seconds = OLD_VERSION_GRACE) -> None:
        self._grace = grace
        # Ascending, by number and by time.
        self._learned: list[LearnedVersion] = []

    @property
    def newest(self) -> int:
        """Return the newest version, 0 if none is known."""
        return self._learned[-1].number if self._learned else 0

    def record(self, number: int, absent_at: Seconds) -> bool:
        """Record a version; return whether it is newer than all known ones."""
        if number <= self.newest:
            return False
        self._prune(absent_at)
        self._learned.append(LearnedVersion(number, absent_at))
        return True

    def find_end(self, held: int) -> Seconds:
        """Return until when requests may begin on a version, infinite if it is new."""
        if held >= self.newest:
            return math.inf
        return self.find_successor(held).absent_at + self._grace

    def find_successor(self, held: int) -> LearnedVersion:
        """Return the first version that is newer than a held one, which is older."""
        return next(each for each in self._learned if each.number > held)

    def is_outdated(self, held: int, now: Seconds) -> bool:
        """Return whether no request may begin on a version any more."""
        return now > self.find_end(held)

    def _prune(self, now: Seconds) -> None:
        ended = sum(now - each.absent_at > self._grace for each in self._learned)
        del self._learned[: max(0, ended - 1)]

    def __len__(self) -> int:
        return len(self._learned)


class VersionsProof:
    """The latest time for which this daemon is proven to know of all versions.

    A version that it learns of after that was acknowledged later than that.
    """

    def __init__(self) -> None:
        self.as_of: Seconds = NEVER

    def record(self, as_of: Seconds) -> None:
        """Record that all versions are known that the store had at a time."""
        self.as_of = max(self.as_of, as_of)
