"""Decides which requests a daemon still passes on during a planned stop."""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import RequestKind, Seconds

# How long streams are accepted after the start of a planned stop, and what may be
# repeated whatever its deadline. The load balancer sends none after 2 s; most of the
# grace period is still left, and the longest streams last 4 to 5 s. Later ones come on
# connections that were kept open.
ACCEPT_DURATION: Final[Seconds] = 2.9

STOPPING: Final = "daemon is stopping"
STOPS_BEFORE_DEADLINE: Final = "daemon stops before the deadline of the request"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """When a planned stop has started, and when it breaks off what still runs."""

    started_at: Seconds
    ends_at: Seconds


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that is to be passed on at ``at``; it ends by its ``deadline``.

    A ``repeatable`` one that is broken off may go on elsewhere.
    """

    kind: RequestKind
    repeatable: bool
    at: Seconds
    deadline: Seconds


def find_stop_refusal(stop: PlannedStop, request: PendingRequest) -> str | None:
    """Return why a request is not passed on during a planned stop, None if it is.

    An endpoint may take until the deadline to answer, so only a deadline before the
    end of the stop rules out that the answer is broken off.
    """
    if request.at >= stop.ends_at:
        return STOPPING
    is_early = request.at <= stop.started_at + ACCEPT_DURATION
    if request.kind is RequestKind.STREAM and not is_early:
        return STOPPING
    if is_early and request.repeatable:
        return None
    return STOPS_BEFORE_DEADLINE if request.deadline > stop.ends_at else None
