"""Computes the priority with which a request is sent to an engine."""

from typing import Final

from kestreltally.entry.request import ClientRequest
from kestreltally.entry.waiting import LOWEST_URGENCY
from kestreltally.fleet.model import Seconds

# Added to the priority of late requests, which places them in the less urgent half.
LATE_PRIORITY_OFFSET: Final = 5


def compute_urgency(
    request: ClientRequest, first_event_at: Seconds, *, resumes: bool
) -> int:
    """Return the priority to send to an engine, 0 the most urgent.

    A request that misses its objective yields to those that can still meet theirs;
    such late requests keep their order. A stream that has started is not late.
    """
    priority = request.priority
    if resumes or first_event_at <= request.arrived_at + request.route.objective:
        return priority
    return min(LOWEST_URGENCY, LATE_PRIORITY_OFFSET + priority)
