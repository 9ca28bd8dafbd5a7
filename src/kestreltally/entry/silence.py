"""How long an endpoint may leave a request unanswered before it is tried elsewhere.

Engines begin requests of one urgency in the order of their arrival, so one that is
sent again loses its turn, and what the engine has read of it is read once more. A
request is therefore left where it is while its engine lives and nothing shows that
the engine has forgotten it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.fleet.model import Seconds

# A repeatable request that has got no answer after this many times its objective is
# looked at.
FIRST_CHECK_FACTOR: Final = 1.3
MIN_FIRST_CHECK_DELAY: Final[Seconds] = 0.3
# Then it is looked at this often: a few times within a load of an adapter.
POLL_INTERVAL: Final[Seconds] = 0.1
# An engine that streams lets no daemon wait this long for the next bytes: the longest
# pause between events that callers accept is 0.25 to 0.4 s.
ENDPOINT_SILENCE_TIMEOUT: Final[Seconds] = 0.5


class Verdict(Enum):
    """What to do with a request that has had no answer for long."""

    WAIT = "wait"
    OVERTAKEN = "a later request was answered first"
    SILENT = "the endpoint is silent"
    CLOSED = "the endpoint no longer serves its weights"


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that has had no answer for long, and what is known of its endpoint.

    ``serves`` tells that the endpoint still counts as a holder of the weights,
    ``has_alternative`` that another one could take the request, ``silent_for`` how long nothing
    has come from the endpoint, ``overtaken`` that it has answered one that was sent
    later and is not more urgent.
    """

    serves: bool
    has_alternative: bool
    silent_for: Seconds
    overtaken: bool


def evaluate_silence(request: UnansweredRequest) -> Verdict:
    """Return whether to wait on, or why to try elsewhere."""
    if not request.serves:
        return Verdict.CLOSED
    if request.overtaken:
        return Verdict.OVERTAKEN
    if request.has_alternative and request.silent_for > ENDPOINT_SILENCE_TIMEOUT:
        return Verdict.SILENT
    return Verdict.WAIT


def compute_first_check_delay(objective: Seconds) -> Seconds:
    """Return after which time without an answer a request is looked at."""
    return max(MIN_FIRST_CHECK_DELAY, FIRST_CHECK_FACTOR * objective)
