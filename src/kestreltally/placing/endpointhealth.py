"""Quarantines unhealthy endpoints, based on the request outcomes of all daemons.

In a large fleet a single daemon sends an endpoint too few requests to evaluate it: one
in some seconds. The leader therefore sums the outcomes that all daemons report.
"""

import math
from dataclasses import dataclass
from typing import Final

from kestreltally.entry.outcomes import Outcome
from kestreltally.fleet.model import EndpointId, Seconds

# Time constant with which outcomes lose their weight.
OUTCOME_DECAY_TIME: Final[Seconds] = 1.0
# An endpoint is suspect if both its recent failures and their fraction of all requests
# reach these bounds. Endpoints that lose a few answers in a hundred stay far below.
MIN_FAILURES: Final = 2.5
MIN_FAILED_FRACTION: Final = 0.6
# The duration of the first quarantine, which doubles each time, and its maximum.
INITIAL_QUARANTINE: Final[Seconds] = 1.0
MAX_QUARANTINE: Final[Seconds] = 4.0
# After this long without a quarantine, the next one has the initial duration again.
QUARANTINE_RESET_DELAY: Final[Seconds] = 10.0
# At most this fraction of a service's endpoints is quarantined: if more fail, the cause
# is more likely the network path to them.
MAX_QUARANTINED_FRACTION: Final = 0.5


@dataclass(slots=True)
class EndpointHealth:
    """Decayed request outcomes at one endpoint, as of ``at``."""

    at: Seconds
    succeeded: float = 0.0
    failed: float = 0.0
    quarantined_until: Seconds = float("-inf")
    quarantine_count: int = 0

    def decay(self, now: Seconds) -> None:
        """Decay the outcomes to the given time."""
        factor = math.exp(-max(0.0, now - self.at) / OUTCOME_DECAY_TIME)
        self.succeeded *= factor
        self.failed *= factor
        self.at = now


class EndpointHealthTable:
    """The health of the endpoints that a leader evaluates."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, EndpointHealth] = {}

    def record(self, outcome: Outcome, now: Seconds) -> None:
        """Record outcomes of requests at an endpoint."""
        row = self._rows.setdefault(outcome.endpoint, EndpointHealth(now))
        row.decay(now)
        row.succeeded += outcome.completed
        row.failed += outcome.failed

    def is_quarantined(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether an endpoint is still quarantined."""
        row = self._rows.get(endpoint)
        return row is not None and now < row.quarantined_until

    def is_suspect(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether most recent requests failed at an endpoint."""
        row = self._rows.get(endpoint)
        if row is None:
            return False
        row.decay(now)
        if row.failed < MIN_FAILURES:
            return False
        return row.failed >= MIN_FAILED_FRACTION * (row.failed + row.succeeded)

    def quarantine(self, endpoint: EndpointId, now: Seconds) -> Seconds:
        """Quarantine an endpoint; return the duration."""
        row = self._rows.setdefault(endpoint, EndpointHealth(now))
        if now - row.quarantined_until > QUARANTINE_RESET_DELAY:
            row.quarantine_count = 0
        pause = min(MAX_QUARANTINE, INITIAL_QUARANTINE * 2.0**row.quarantine_count)
        row.quarantined_until = now + pause
        row.quarantine_count += 1
        # Only outcomes after the quarantine count for the next evaluation.
        row.succeeded = row.failed = 0.0
        return pause

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self._rows.pop(endpoint, None)
