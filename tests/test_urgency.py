"""Late requests yield to those that can still meet their objective."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.request import ClientRequest
from kestreltally.entry.urgency import compute_urgency
from kestreltally.entry.waiting import LOWEST_URGENCY
from kestreltally.fleet.model import RequestKind
from tests.entryrig import MODELS, make_request, make_route

OBJECTIVE = 0.8
ARRIVED = 100.0


def make_urgent(priority: int = 1) -> ClientRequest:
    route = make_route(RequestKind.STREAM, service=MODELS, objective=OBJECTIVE)
    return make_request(replace(route, priority=priority), arrived_at=ARRIVED)


@pytest.mark.parametrize(
    ("first_in", "resumes", "urgency"),
    [(0.7, False, 1), (0.9, False, 6), (0.9, True, 1)],
)
def test_only_a_late_request_that_has_not_started_is_less_urgent(
    first_in: float, resumes: bool, urgency: int
) -> None:
    request = make_urgent()
    assert compute_urgency(request, ARRIVED + first_in, resumes=resumes) == urgency


@given(st.integers(0, 9), st.integers(0, 9))
def test_late_requests_keep_their_order(one: int, other: int) -> None:
    late = ARRIVED + 2 * OBJECTIVE
    first = compute_urgency(make_urgent(min(one, other)), late, resumes=False)
    second = compute_urgency(make_urgent(max(one, other)), late, resumes=False)
    assert first <= second <= LOWEST_URGENCY
