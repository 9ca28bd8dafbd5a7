"""Proves how old a daemon's list of endpoints may be.

Requests must not reach an endpoint later than a bound after the store has acknowledged
that it leaves or is gone. So each daemon keeps the latest time for which it is proven
to know of every endpoint that had left by then. There are two proofs:

- An answered call of this daemon's own watch, as of the time of that call or later.
- An update of a leader, by the leader's own proof. As for the configuration, it is
  stated relative to the arrival of a report that carries this daemon's time.

A call that waits proves nothing: its connection may be silent.

The proofs also tell whether the store was unavailable to all daemons, or to this one
alone: in the first case, entries may have expired although their endpoints are alive.
"""

from collections.abc import Callable
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.updates import AGE_UNKNOWN

NEVER: Final[Seconds] = float("-inf")
# An entry expires after three heartbeats of silence. When an outage begins, up to one
# of them may have passed, so a shorter outage than two heartbeats expires no entry.
MIN_OUTAGE_HEARTBEATS: Final = 2


class EndpointsAge:
    """The times up to which this daemon knows of all endpoints that have left.

    ``heartbeat`` is the interval at which endpoints refresh their entries.
    """

    def __init__(self, heartbeat: Seconds, clock: Callable[[], Seconds]) -> None:
        self._min_outage = MIN_OUTAGE_HEARTBEATS * heartbeat
        self._clock = clock
        self._outage_ended_at: Seconds = NEVER
        self.watched_as_of: Seconds = NEVER
        self.reported_as_of: Seconds = NEVER

    @property
    def as_of(self) -> Seconds:
        """Return the latest time for which there is a proof."""
        return max(self.watched_as_of, self.reported_as_of)

    def record_watched(self, as_of: Seconds) -> None:
        """Record a proof by an answered call of this daemon's watch."""
        in_outage = self._is_in_outage()
        self.watched_as_of = max(self.watched_as_of, as_of)
        self._record_outage_end(in_outage=in_outage)

    def record_reported(self, as_of: Seconds) -> None:
        """Record a proof by the update of a leader."""
        in_outage = self._is_in_outage()
        self.reported_as_of = max(self.reported_as_of, as_of)
        self._record_outage_end(in_outage=in_outage)

    def _is_in_outage(self) -> bool:
        """Return whether nobody may have had an answer for long enough to expire one.

        A daemon that has just started has no proof, so it assumes the worst.
        """
        return self.compute_age() >= self._min_outage

    def _record_outage_end(self, *, in_outage: bool) -> None:
        if in_outage and not self._is_in_outage():
            self._outage_ended_at = self._clock()

    def find_outage_end(self) -> Seconds:
        """Return when the last outage ended that may have expired entries.

        This is the present if none of its proofs has come yet. An outage counts only if
        no daemon that is heard had an answer meanwhile.
        """
        return self._clock() if self._is_in_outage() else self._outage_ended_at

    def compute_age(self) -> Seconds:
        """Return the age of the latest proof, infinite if there is none."""
        return self._clock() - self.as_of

    def describe(self) -> Seconds:
        """Return the age of the latest proof for log lines."""
        return round(min(self.compute_age(), AGE_UNKNOWN), 3)
