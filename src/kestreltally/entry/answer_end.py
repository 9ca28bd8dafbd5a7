"""Decides whether an answer that ended with its connection is complete.

An answer without length and chunks ends as its endpoint does: the kernel closes the
connections of a process that has crashed in order. Only an endpoint that lives on can
have ended its answer itself.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.fleet.model import Seconds

# A sound endpoint may be silent for about a second. Clients give up a stream two
# seconds after its last event, so its end has to come before.
MAX_UNKNOWN_TIME: Final[Seconds] = 1.5


class ConnectionOutcome(Enum):
    """What became of a new connection to an endpoint.

    ``UNANSWERED``: it was neither accepted nor refused, so nothing is known.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class AnsweringProcess(Enum):
    """Which process listens at the address of the endpoint that wrote an answer.

    ``OTHER`` is a later incarnation of the endpoint, or another endpoint.
    """

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class EndVerdict(Enum):
    """Whether an answer is complete; while it is ``UNKNOWN``, ask again."""

    COMPLETE = "complete"
    TRUNCATED = "truncated"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EndedAnswer:
    """An answer whose connection was closed in order.

    ``connection`` is the outcome of the last connection to its endpoint, and
    ``unknown_for`` the time since the end. ``process`` is what accepted it.
    """

    connection: ConnectionOutcome
    unknown_for: Seconds
    process: AnsweringProcess = AnsweringProcess.UNKNOWN


def evaluate_end(answer: EndedAnswer) -> EndVerdict:
    """Return whether an answer is complete, as far as is known.

    An endpoint that accepts connections and is silent otherwise may be paused, so it
    counts as the one that wrote the answer.
    """
    if answer.process is AnsweringProcess.OTHER:
        return EndVerdict.TRUNCATED
    if answer.connection is ConnectionOutcome.ACCEPTED:
        return EndVerdict.COMPLETE
    if answer.connection is ConnectionOutcome.REFUSED:
        return EndVerdict.TRUNCATED
    if answer.unknown_for < MAX_UNKNOWN_TIME:
        return EndVerdict.UNKNOWN
    return EndVerdict.TRUNCATED
