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


class EndVerdict(Enum):
    """Whether an answer is complete; while it is ``UNKNOWN``, ask again."""

    COMPLETE = "complete"
    TRUNCATED = "truncated"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EndedAnswer:
    """An answer whose connection was closed in order.

    ``connection`` is the outcome of the last connection to its endpoint, and
    ``unknown_for`` the time since the end.
    """

    connection: ConnectionOutcome
    unknown_for: Seconds


def evaluate_end(answer: EndedAnswer) -> EndVerdict:
    """Return whether an answer is complete, as far as is known."""
    if answer.connection is ConnectionOutcome.ACCEPTED:
        return EndVerdict.COMPLETE
    if answer.connection is ConnectionOutcome.REFUSED:
        return EndVerdict.TRUNCATED
    if answer.unknown_for < MAX_UNKNOWN_TIME:
        return EndVerdict.UNKNOWN
    return EndVerdict.TRUNCATED
