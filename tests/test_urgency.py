"""What is late already yields to what can still be in time."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.relay import LEAST_URGENT, find_urgency
from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import RequestKind, ServiceSpec
from kestreltally.platform.headers import RequestHead
from tests.entryrig import KEY, MODELS, make_route

OBJECTIVE = 0.8
ARRIVED = 100.0


def make_request(priority: int = 1) -> ClientRequest:
    route = make_route(RequestKind.STREAM, service=MODELS, objective=OBJECTIVE)
    return ClientRequest(
        method="POST",
        path="/r/x",
        headers=(),
        body=b"",
        head=RequestHead("q", None, KEY, 9_000, 50, (), resumes=False),
        route=replace(route, priority=priority),
        service=ServiceSpec(MODELS, "/health", 100, None),
        arrived=ARRIVED,
        ends=ARRIVED + 5.0,
    )


@pytest.mark.parametrize(
    ("first_in", "resumes", "urgency"),
    [(0.7, False, 1), (0.9, False, 6), (0.9, True, 1)],
)
def test_only_a_late_request_that_has_not_begun_is_less_urgent(
    first_in: float, resumes: bool, urgency: int
) -> None:
    request = make_request()
    assert find_urgency(request, ARRIVED + first_in, resumes=resumes) == urgency


@given(st.integers(0, 9), st.integers(0, 9))
def test_late_requests_keep_their_order(one: int, other: int) -> None:
    late = ARRIVED + 2 * OBJECTIVE
    first = find_urgency(make_request(min(one, other)), late, resumes=False)
    second = find_urgency(make_request(max(one, other)), late, resumes=False)
    assert first <= second <= LEAST_URGENT
