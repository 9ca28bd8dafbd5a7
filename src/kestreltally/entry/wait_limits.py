"""How long a request may wait for weights, and what it is told if that is too long."""

import random
from typing import Final

from kestreltally.entry.progress import DEFAULT_RETRY_DELAY, UNAVAILABLE, Progress
from kestreltally.entry.request import ClientRequest, Refused
from kestreltally.fleet.model import Seconds

# No request is refused for a wait this short, even if it misses its objective: loading
# an adapter from the weight store takes 0.25 s, twice that while others are loading.
MIN_ACCEPTED_WAIT: Final[Seconds] = 0.5
# Upper limit of the retry time in refusals, and the assumed load time while no leader
# is in contact.
MAX_RETRY_DELAY: Final[Seconds] = 2.0
# Clients refused during a backoff are told to return within this fraction of it after
# its end, so that they do not all retry at once.
RETRY_JITTER: Final = 0.25


def make_backoff_refusal(backoff: Seconds) -> Refused:
    """Return a refusal with a jittered retry time after the end of a backoff."""
    retry_after = max(
        DEFAULT_RETRY_DELAY, backoff * random.uniform(1.0, 1.0 + RETRY_JITTER)
    )
    return Refused(
        UNAVAILABLE, "all endpoints that could serve are in backoff", retry_after
    )


def compute_ready_deadline(
    request: ClientRequest, progress: Progress, prefill_time: Seconds, *, is_new: bool
) -> Seconds:
    """Return the latest time at which the weights must be loaded.

    A new request is refused at once if a wait longer than ``MIN_ACCEPTED_WAIT`` would
    make it miss its objective. A request that has waited is served late rather than
    refused, as long as its client still waits. So is one of which the client has
    events, as nothing else can replace those.
    """
    deadline = _compute_silence_deadline(request, progress) - prefill_time
    if not is_new or progress.origin is not None:
        return deadline
    max_wait = max(MIN_ACCEPTED_WAIT, request.route.objective - prefill_time)
    return min(deadline, request.arrived_at + max_wait)


def _compute_silence_deadline(request: ClientRequest, progress: Progress) -> Seconds:
    """Return the time by which the client must receive the next event."""
    if progress.event_at is None or not request.route.silence_limit:
        return request.first_event_deadline
    return min(request.deadline, progress.event_at + request.route.silence_limit)
