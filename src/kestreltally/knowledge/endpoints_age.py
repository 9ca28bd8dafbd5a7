"""Proves how old a daemon's list of endpoints may be.

Requests must not reach an endpoint later than a bound after the store has acknowledged
that it leaves or is gone. So each daemon keeps the latest time for which it is proven
to know of every endpoint that had left by then. There are two proofs:

- An answered call of this daemon's own watch, as of the time of that call or later.
- An update of a leader, by the leader's own proof. As for the configuration, it is
  stated relative to the arrival of a report that carries this daemon's time.

A call that waits proves nothing: its connection may be silent.
"""

from collections.abc import Callable
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.updates import AGE_UNKNOWN

NEVER: Final[Seconds] = float("-inf")


class EndpointsAge:
    """The times up to which this daemon knows of all endpoints that have left."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self.watched_as_of: Seconds = NEVER
        self.reported_as_of: Seconds = NEVER

    @property
    def as_of(self) -> Seconds:
        """Return the latest time for which there is a proof."""
        return max(self.watched_as_of, self.reported_as_of)

    def record_watched(self, as_of: Seconds) -> None:
        """Record a proof by an answered call of this daemon's watch."""
        self.watched_as_of = max(self.watched_as_of, as_of)

    def record_reported(self, as_of: Seconds) -> None:
        """Record a proof by the update of a leader."""
        self.reported_as_of = max(self.reported_as_of, as_of)

    def compute_age(self) -> Seconds:
        """Return the age of the latest proof, infinite if there is none."""
        return self._clock() - self.as_of

    def describe(self) -> Seconds:
        """Return the age of the latest proof for log lines."""
        return round(min(self.compute_age(), AGE_UNKNOWN), 3)
