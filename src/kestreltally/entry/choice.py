"""Chooses the endpoint for a request: a pure function of what is known."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.model import Endpoint, Seconds

# An endpoint of another data centre counts as this much later: the bytes between data
# centres of one request cost a part of its worth, and hardly any time.
REMOTE_PENALTY: Final[Seconds] = 0.25
# A batch that is full when a request joins it slows each of its tokens so much.
BATCH_PENALTY: Final[Seconds] = 0.5
# A full batch makes the next request wait for a whole one to end.
QUEUE_PENALTY: Final[Seconds] = 0.5


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that could take a request.

    ``in_flight`` counts the requests of all daemons there; ``first_event_delay`` is the predicted
    time to the first event, by what is to be read before it.
    """

    endpoint: Endpoint
    in_flight: int
    remote: bool
    work: PrefillWork
    first_event_delay: Seconds


Chooser = Callable[[Sequence[Option]], Option]
C = TypeVar("C", bound=Chooser)
ENDPOINT_CHOOSERS: Final[dict[str, Chooser]] = {}


def register_chooser(name: str) -> Callable[[C], C]:
    """Register a way to choose an endpoint under a name."""

    def register(chooser: C) -> C:
        ENDPOINT_CHOOSERS[name] = chooser
        return chooser

    return register


def compute_cost(option: Option) -> Seconds:
    """Return what a request at an endpoint costs, as time to its first event."""
    slots = max(1, option.endpoint.slots)
    cost = option.first_event_delay + BATCH_PENALTY * option.in_flight / slots
    if option.in_flight >= slots:
        cost += QUEUE_PENALTY
    if option.remote:
        cost += REMOTE_PENALTY
    return cost


@register_chooser("least-cost")
def choose_least_cost(options: Sequence[Option]) -> Option:
    """Return the option of least cost; ties go by the endpoint's id."""
    return min(options, key=lambda each: (compute_cost(each), each.endpoint.id))
