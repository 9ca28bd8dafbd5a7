"""Which endpoint is chosen for a request."""

import pytest

from kestreltally.entry.choice import Option, choose_least_cost
from kestreltally.entry.occupancy import EMPTY, Fullness
from kestreltally.estimates.pace import Reading
from kestreltally.fleet.model import Endpoint, EndpointId
from tests.entryrig import MODELS


def make_option(name: str, *, far: bool = False, **counts: float) -> Option:
    endpoint = Endpoint(EndpointId(name), MODELS, "h", 1, "north", 8, False, {})
    return Option(
        endpoint=endpoint,
        in_flight=int(counts.get("in_flight", 0)),
        far=far,
        reading=Reading(own=0, ahead=0.0, priority=0),
        first=counts.get("first", 0.1),
    )


@pytest.mark.parametrize(
    ("other", "chosen"),
    [
        (make_option("b", in_flight=4), "a"),
        (make_option("b", far=True), "a"),
        # Its batch is empty, but a long prompt keeps it from beginning.
        (make_option("b", first=0.6), "a"),
        (make_option("b", first=0.12), "b"),
        # It has read the prompt before.
        (make_option("b", in_flight=3, first=0.02), "b"),
    ],
)
def test_the_endpoint_that_begins_soonest_is_chosen(other: Option, chosen: str) -> None:
    option = choose_least_cost([make_option("a", in_flight=2), other])
    assert option.endpoint.id == chosen


def test_fullness_is_summed_and_taken_apart_without_falling_below_zero() -> None:
    one, two = EndpointId("e1"), EndpointId("e2")
    some = Fullness({one: 2}, {one: 900})
    more = Fullness({one: 1, two: 4}, {})
    total = Fullness.total([some, more])
    assert total == Fullness({one: 3, two: 4}, {one: 900})
    assert total.minus(some) == more
    assert EMPTY.minus(some) == EMPTY
