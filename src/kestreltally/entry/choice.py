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
# So many prompt tokens that an endpoint has yet to read cost as much as a full batch:
# it reads them for half a second, most of an objective, before it begins with others.
UNREAD_TOKENS: Final = 20_000.0
# What a prompt read before on an endpoint is worth, if it is all of it.
PREFIX_GAIN: Final = 0.4


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that could take a request.

    ``under_way`` counts the requests of all daemons there, ``unread`` the prompt tokens
    that it has yet to read for them, ``known_part`` is the part of this prompt that it
    has read before.
    """

    endpoint: Endpoint
    under_way: int
    far: bool
    known_part: float = 0.0
    unread: int = 0


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
    cost += option.unread / UNREAD_TOKENS
    if option.far:
        cost += FAR_COST
    return cost - PREFIX_GAIN * option.known_part


@chooses_option("least-cost")
def choose_least_cost(options: Sequence[Option]) -> Option:
    """Return the option of least cost; ties go by the endpoint's id."""
    return min(options, key=lambda each: (weigh_option(each), each.endpoint.id))
