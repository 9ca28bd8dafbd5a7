"""The choice of an endpoint for a request."""

import pytest

from kestreltally.entry.choice import Option, choose_least_cost
from kestreltally.entry.occupancy import EMPTY, Occupancy
from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.model import Endpoint, EndpointId
from tests.entryrig import MODELS


def make_option(name: str, *, remote: bool = False, **counts: float) -> Option:
    endpoint = Endpoint(EndpointId(name), MODELS, "h", 1, "north", 8, False, {})
    return Option(
        endpoint=endpoint,
        in_flight=int(counts.get("in_flight", 0)),
        remote=remote,
        work=PrefillWork(uncached_tokens=0, queued_tokens=0.0, priority=0),
        first_event_delay=counts.get("first_event_delay", 0.1),
    )


@pytest.mark.parametrize(
    ("other", "chosen"),
    [
        (make_option("b", in_flight=4), "a"),
        (make_option("b", remote=True), "a"),
        # Its batch is empty, but it has a long prompt to process first.
        (make_option("b", first_event_delay=0.6), "a"),
        (make_option("b", first_event_delay=0.12), "b"),
        # The prompt is cached there.
        (make_option("b", in_flight=3, first_event_delay=0.02), "b"),
    ],
)
def test_endpoint_of_least_cost_is_chosen(other: Option, chosen: str) -> None:
    option = choose_least_cost([make_option("a", in_flight=2), other])
    assert option.endpoint.id == chosen


def test_occupancy_adds_up_and_subtracts_without_negative_counts() -> None:
    one, two = EndpointId("e1"), EndpointId("e2")
    some = Occupancy({one: 2}, {one: 900})
    more = Occupancy({one: 1, two: 4}, {})
    total = Occupancy.total([some, more])
    assert total == Occupancy({one: 3, two: 4}, {one: 900})
    assert total.minus(some) == more
    assert EMPTY.minus(some) == EMPTY
