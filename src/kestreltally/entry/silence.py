"""Decides when a stalled answer is asked for at another endpoint too.

Engines serve requests of equal urgency in order of arrival. A second run waits in
another queue, and its prompt is processed again. None is started while the engine is
alive and nothing shows that it has lost the request. Nor is one while most endpoints
are silent at the same time: the cause is not in any of them.
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
# Fewer silent endpoints than this are taken for failing each by itself.
MIN_SHARED: Final = 2
# Sound endpoints that fall silent together go on within this time.
SHARED_SILENCE_TIMEOUT: Final[Seconds] = 1.5
# After a silence, all answers of an endpoint go on within this time.
RESUME_TIME: Final[Seconds] = 0.3


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


@dataclass(frozen=True, slots=True)
class ServiceSilence:
    """How many endpoints of a service are silent.

    ``asked`` counts the endpoints that owe this daemon an answer, ``silent`` those of
    them that have sent nothing for a while.
    """

    silent: int
    asked: int

    @property
    def is_shared(self) -> bool:
        """Return whether most endpoints are silent at the same time."""
        return self.silent >= MIN_SHARED and 2 * self.silent > self.asked


@dataclass(frozen=True, slots=True)
class StalledAnswer:
    """State of an answer that brings nothing for a while.

    ``silent_for``: the time since it brought something, or was asked for.
    ``resumed_for``: the time since its endpoint sent bytes again after a silence.
    ``is_shared``: most endpoints of its service are silent.
    ``shared_ended_for``: the time since that was last so.
    """

    silent_for: Seconds
    resumed_for: Seconds
    is_shared: bool
    shared_ended_for: Seconds


def evaluate_stall(answer: StalledAnswer) -> Verdict:
    """Return whether to wait for a stalled answer only, or to ask another endpoint."""
    if answer.is_shared:
        is_over = answer.silent_for > SHARED_SILENCE_TIMEOUT
        return Verdict.SILENT if is_over else Verdict.WAIT
    if min(answer.resumed_for, answer.shared_ended_for) < RESUME_TIME:
        return Verdict.WAIT
    return Verdict.SILENT


def compute_first_check_delay(objective: Seconds) -> Seconds:
    """Return the time without an answer after which a request is first checked."""
    return max(MIN_FIRST_CHECK_DELAY, FIRST_CHECK_FACTOR * objective)
