"""Chooses the endpoint for a request, as a pure function of the options."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.slots.table import Slot

# Cost added for an endpoint in another data centre. It represents the price of the
# traffic between data centres, a fraction of the value of the request; the added
# latency is negligible.
REMOTE_PENALTY: Final[Seconds] = 0.25
# Cost of joining a full batch, which slows each token; scaled by the occupied fraction.
BATCH_PENALTY: Final[Seconds] = 0.5
# Cost added if the batch is full, because a request then waits until another one ends.
QUEUE_PENALTY: Final[Seconds] = 0.5


@dataclass(frozen=True, slots=True)
class Option:
    """A candidate endpoint for a request.

    ``in_flight`` counts the requests of all daemons at the endpoint, ``remote`` is true
    in another data centre, ``work`` is the prefill before the first event, and
    ``first_event_delay`` the predicted time to that event. ``stream_factor`` is the
    time per token of a stream relative to a typical endpoint. ``slot`` is the request's
    slot at a brittle endpoint.
    """

    endpoint: Endpoint
    in_flight: int
    remote: bool
    work: PrefillWork
    first_event_delay: Seconds
    stream_factor: float = 1.0
    slot: Slot | None = None


Chooser = Callable[[Sequence[Option]], Option]
C = TypeVar("C", bound=Chooser)
ENDPOINT_CHOOSERS: Final[dict[str, Chooser]] = {}


def register_chooser(name: str) -> Callable[[C], C]:
    """Return a decorator that registers a chooser under a name."""

    def register(chooser: C) -> C:
        ENDPOINT_CHOOSERS[name] = chooser
        return chooser

    return register


def compute_cost(option: Option) -> Seconds:
    """Return the cost of an option, as an equivalent time to the first event."""
    slots = max(1, option.endpoint.slots)
    cost = option.first_event_delay
    cost += option.stream_factor * BATCH_PENALTY * option.in_flight / slots
    if option.in_flight >= slots:
        cost += QUEUE_PENALTY
    if option.remote:
        cost += REMOTE_PENALTY
    return cost


@register_chooser("least-cost")
def choose_least_cost(options: Sequence[Option]) -> Option:
    """Return the option of least cost; the endpoint id breaks ties."""
    return min(options, key=lambda each: (compute_cost(each), each.endpoint.id))
