"""Decides when an unanswered request is retried at another endpoint.

Engines serve requests of equal urgency in order of arrival. A retry therefore loses its
place in the queue, and its prompt is processed again. A request stays at its engine
while the engine is alive and nothing shows that it has lost the request.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.fleet.model import Seconds

# A repeatable request without an answer is first checked after this multiple of its
# objective.
FIRST_CHECK_FACTOR: Final = 1.3
MIN_FIRST_CHECK_DELAY: Final[Seconds] = 0.3
# Interval of the following checks: a few of them fit into the time of an adapter load.
POLL_INTERVAL: Final[Seconds] = 0.1
# An engine that is streaming sends bytes to each daemon more often than this: the
# longest pause between events that callers accept is 0.25 to 0.4 s.
ENDPOINT_SILENCE_TIMEOUT: Final[Seconds] = 0.5


class Verdict(Enum):
    """Decision on a request that has waited long for its answer."""

    WAIT = "wait"
    OVERTAKEN = "a later request was answered first"
    SILENT = "the endpoint is silent"
    CLOSED = "the endpoint no longer serves its weights"


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """State of a request that has waited long for its answer, and of its endpoint.

    ``serves``: the endpoint still counts as a holder of the weights.
    ``has_alternative``: another endpoint could serve the request.
    ``silent_for``: the time since any bytes came from the endpoint.
    ``overtaken``: the endpoint answered a request that was sent later and is not more
    urgent.
    """

    serves: bool
    has_alternative: bool
    silent_for: Seconds
    overtaken: bool


def evaluate_silence(request: UnansweredRequest) -> Verdict:
    """Return whether to keep waiting, or why to try another endpoint."""
    if not request.serves:
        return Verdict.CLOSED
    if request.overtaken:
        return Verdict.OVERTAKEN
    if request.has_alternative and request.silent_for > ENDPOINT_SILENCE_TIMEOUT:
        return Verdict.SILENT
    return Verdict.WAIT


def compute_first_check_delay(objective: Seconds) -> Seconds:
    """Return the time without an answer after which a request is first checked."""
    return max(MIN_FIRST_CHECK_DELAY, FIRST_CHECK_FACTOR * objective)
