"""Proves how old a daemon's list of endpoints may be.

Requests must not reach an endpoint later than a bound after the store has acknowledged
that it leaves or is gone. So each daemon keeps the latest time for which it is proven
to know of every endpoint that had left by then. There are two proofs:

- An answered call of this daemon's own watch, as of the time of that call or later.
- An update of a leader, by the leader's own proof. As for the configuration, it is
  stated relative to the arrival of a report that carries this daemon's time.

A call that waits proves nothing: its connection may be silent.

A daemon whose leaders' proofs are too old asks the store itself. The times add up to
three quarters of the bound at most, the rest is a reserve for busy machines:

- A leader hears of a departure after the pause between two calls of its watch. If its
  connection falls silent, the wait of a call and the margin for its answer are added,
  and the call that is sent at once over a new connection.
- Any leader that hears of it tells the others, and they tell their followers.
- A daemon relies on proofs that are up to ``MAX_PROOF_FRACTION`` of the bound old. It
  looks at their age at each maintenance, and then lists the endpoints.

The proofs also tell whether the store was unavailable to all daemons, or to this one
alone: in the first case, entries may have expired although their endpoints are alive.
"""

import logging
from collections.abc import Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.updates import AGE_UNKNOWN

LOG = logging.getLogger("kestreltally.knowledge")

NEVER: Final[Seconds] = float("-inf")
# An entry expires after three heartbeats of silence. When an outage begins, up to one
# of them may have passed, so a shorter outage than two heartbeats expires no entry.
MIN_OUTAGE_HEARTBEATS: Final = 2
# A daemon that has not looked at its proofs for this long has stood still, and does not
# know whether others had answers meanwhile. It looks each 0.1 s.
MAX_PAUSE: Final[Seconds] = 1.0
# The pause between two calls of the watch of endpoints, and the wait of a call.
ENDPOINTS_GAP: Final[Seconds] = 0.3
ENDPOINTS_WAIT: Final[Seconds] = 0.4
# How long an answer of the watch may take in addition, as a fraction of the bound.
MARGIN_FRACTION: Final = 0.25
# A daemon asks the store itself once its leaders' proofs are older than this fraction
# of the bound. A leader's own are at most its gap and wait old, and 0.25 s are added
# from each daemon to the next: 1.2 s where a leader relies on another one.
MAX_PROOF_FRACTION: Final = 0.65
# Above this fraction of the bound the list may be outdated, and the daemon says so.
RELIABLE_FRACTION: Final = 0.75


class EndpointsAge:
    """The times up to which this daemon knows of all endpoints that have left.

    ``bound`` is the time within which a daemon must know of a departure, ``heartbeat``
    the interval at which endpoints refresh their entries.
    """

    def __init__(
        self, bound: Seconds, heartbeat: Seconds, clock: Callable[[], Seconds]
    ) -> None:
        self._max_proof_age = MAX_PROOF_FRACTION * bound
        self._reliable_age = RELIABLE_FRACTION * bound
        self._was_reliable = False
        self._min_outage = MIN_OUTAGE_HEARTBEATS * heartbeat
        self._clock = clock
        self._outage_ended_at: Seconds = NEVER
        self._checked_at = clock()
        self._running_since: Seconds = NEVER
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

    def is_reported_lately(self) -> bool:
        """Return whether the leaders' proofs are young enough to rely on them."""
        return self._clock() - self.reported_as_of < self._max_proof_age

    def check(self) -> None:
        """Log when the list of endpoints starts or ceases to be reliable.

        Call this regularly: it shows that this daemon runs.
        """
        if self._has_paused():
            self._running_since = self._clock()
        self._checked_at = self._clock()
        is_reliable = self.compute_age() < self._reliable_age
        if is_reliable == self._was_reliable:
            return
        self._was_reliable = is_reliable
        log_decision(
            LOG,
            Decision.ENDPOINTS_CURRENT if is_reliable else Decision.ENDPOINTS_OUTDATED,
            proof_age=self.describe(),
        )

    def _is_in_outage(self) -> bool:
        """Return whether nobody has had an answer for long enough to expire an entry.

        Only the time counts in which this daemon has run. One that has just started has
        no proof, and assumes the worst.
        """
        if self._has_paused():
            return False
        since = max(self.as_of, self._running_since)
        return self._clock() - since >= self._min_outage

    def _has_paused(self) -> bool:
        """Return whether this daemon has stood still until now."""
        return self._clock() - self._checked_at > MAX_PAUSE

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
