"""Which endpoints to leave alone for a while, by what all daemons' requests met there.

In a large fleet each daemon sends an endpoint too few requests to judge it: one request
in some seconds. The leader sums what all report.
"""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.entry.outcomes import Outcome
from kestreltally.fleet.model import EndpointId, Seconds

# What happened longer ago than this hardly counts.
OUTCOME_DECAY_TIME: Final[Seconds] = 1.0
# So many failures of late, and such a part of all requests, make an endpoint suspect.
# Endpoints that lose some answers in a hundred stay far below.
MIN_FAILURES: Final = 2.5
MIN_FAILED_FRACTION: Final = 0.6
# How long an endpoint is left alone at first; twice as long each time again.
INITIAL_QUARANTINE: Final[Seconds] = 1.0
MAX_QUARANTINE: Final[Seconds] = 4.0
# One that has been sound for this long starts anew.
QUARANTINE_RESET_DELAY: Final[Seconds] = 10.0
# Not more than this part of a service's endpoints is spared: beyond it the fault is
# more likely on the way to them.
MAX_QUARANTINED_FRACTION: Final = 0.5


@dataclass(slots=True)
class EndpointHealth:
    """What requests met at one endpoint of late, as of ``at``."""

    at: Seconds
    whole: float = 0.0
    failed: float = 0.0
    quarantined_until: Seconds = float("-inf")
    quarantine_count: int = 0

    def decay(self, now: Seconds) -> None:
        """Let what happened fade to a moment."""
        factor = math.exp(-max(0.0, now - self.at) / OUTCOME_DECAY_TIME)
        self.whole *= factor
        self.failed *= factor
        self.at = now


class EndpointHealthTable:
    """The standing of the endpoints that a leader judges."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, EndpointHealth] = {}

    def record(self, outcome: Outcome, now: Seconds) -> None:
        """Take in how requests ended at an endpoint."""
        row = self._rows.setdefault(outcome.endpoint, EndpointHealth(now))
        row.decay(now)
        row.whole += outcome.whole
        row.failed += outcome.failed

    def is_quarantined(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Tell whether an endpoint is to be left alone still."""
        row = self._rows.get(endpoint)
        return row is not None and now < row.quarantined_until

    def is_suspect(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Tell whether most requests of late failed at an endpoint."""
        row = self._rows.get(endpoint)
        if row is None:
            return False
        row.decay(now)
        if row.failed < MIN_FAILURES:
            return False
        return row.failed >= MIN_FAILED_FRACTION * (row.failed + row.whole)

    def quarantine(self, endpoint: EndpointId, now: Seconds) -> Seconds:
        """Leave an endpoint alone for a while; return for how long."""
        row = self._rows.setdefault(endpoint, EndpointHealth(now))
        if now - row.quarantined_until > QUARANTINE_RESET_DELAY:
            row.quarantine_count = 0
        pause = min(MAX_QUARANTINE, INITIAL_QUARANTINE * 2.0**row.quarantine_count)
        row.quarantined_until = now + pause
        row.quarantine_count += 1
        # Only what happens after the pause counts then.
        row.whole = row.failed = 0.0
        return pause

    def remove(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._rows.pop(endpoint, None)
