"""Chooses the endpoint for a request: a pure function of what is known."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from kestreltally.fleet.model import Endpoint

# An endpoint of another data centre counts as this much fuller (parts of its batch):
# the bytes between data centres of one request cost about an eighth of its worth,
# while a batch that is half full still answers in time.
FAR_COST: Final = 0.5
# A full batch makes the next request wait for a whole one to end.
QUEUE_COST: Final = 1.0
# What a prompt read before on an endpoint is worth, if it is all of it.
PREFIX_GAIN: Final = 0.4


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that could take a request.

    ``under_way`` counts the requests of all daemons there, ``known_part`` is the part
    of the prompt that it has read before.
    """

    endpoint: Endpoint
    under_way: int
    far: bool
    known_part: float = 0.0


Chooser = Callable[[Sequence[Option]], Option]
C = TypeVar("C", bound=Chooser)
ENDPOINT_CHOOSERS: Final[dict[str, Chooser]] = {}


def chooses_option(name: str) -> Callable[[C], C]:
    """Register a way to choose an endpoint under a name."""

    def register(chooser: C) -> C:
        ENDPOINT_CHOOSERS[name] = chooser
        return chooser

    return register


def weigh_option(option: Option) -> float:
    """Return what a request at an endpoint costs, in parts of its batch."""
    slots = max(1, option.endpoint.slots)
    cost = option.under_way / slots
    if option.under_way >= slots:
        cost += QUEUE_COST
    if option.far:
        cost += FAR_COST
    return cost - PREFIX_GAIN * option.known_part


@chooses_option("least-cost")
def choose_least_cost(options: Sequence[Option]) -> Option:
    """Return the option of least cost; ties go by the endpoint's id."""
    return min(options, key=lambda each: (weigh_option(each), each.endpoint.id))
