"""Repeated sends of all daemons together keep the operators' bound."""

import pytest

from kestreltally.entry.retries import RetryBudget
from kestreltally.fleet.model import ServiceName
from tests.entryrig import BOUNDS

SERVICE = ServiceName("models")
LASTS = 10.0


@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("daemons", [6, 30, 79, 1_100])
def test_repeated_sends_of_all_daemons_keep_the_bound(
    daemons: int, uneven: bool
) -> None:
    requests = taken = 0
    for number in range(daemons):
        budget = RetryBudget(BOUNDS)
        budget.daemons = daemons
        asked = 120 if not uneven else (600 if number % 10 == 0 else 4)
        for at in range(asked):
            now = at * LASTS / asked
            budget.note_request(SERVICE, now)
            requests += 1
            # Each request fails, and is sent again as often as it may be.
            while budget.take(SERVICE, now):
                taken += 1
    assert taken <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack


@pytest.mark.parametrize("daemons", [1, 6, 79, 1_100])
def test_daemons_never_told_their_number_keep_the_bound(daemons: int) -> None:
    # Guards against each of many taking the part of one of a few.
    requests = taken = 0
    for _ in range(daemons):
        budget = RetryBudget(BOUNDS)
        for at in range(40):
            now = at * LASTS / 40
            budget.note_request(SERVICE, now)
            requests += 1
            while budget.take(SERVICE, now):
                taken += 1
    assert taken <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
    # What its own requests allow it may use.
    assert taken >= 0.5 * BOUNDS.retry_ratio * requests
