"""The retries of all daemons together stay within the configured bound."""

import pytest

from kestreltally.entry.retries import RetryBudget
from kestreltally.fleet.model import ServiceName
from tests.entryrig import BOUNDS

SERVICE = ServiceName("models")
DURATION = 10.0


@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("daemons", [6, 30, 79, 1_100])
def test_retries_of_all_daemons_stay_within_the_bound(
    daemons: int, uneven: bool
) -> None:
    requests = acquired = 0
    for number in range(daemons):
        budget = RetryBudget(BOUNDS)
        budget.daemon_count = daemons
        asked = 120 if not uneven else (600 if number % 10 == 0 else 4)
        for at in range(asked):
            now = at * DURATION / asked
            budget.record_request(SERVICE, now)
            requests += 1
            # Each request fails, and is retried as often as the budget allows.
            while budget.acquire(SERVICE, now):
                acquired += 1
    assert acquired <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack


@pytest.mark.parametrize("daemons", [1, 6, 79, 1_100])
def test_retries_stay_within_the_bound_while_daemon_count_is_unknown(
    daemons: int,
) -> None:
    # Guards against each of many daemons using the slack share of a small group.
    requests = acquired = 0
    for _ in range(daemons):
        budget = RetryBudget(BOUNDS)
        for at in range(40):
            now = at * DURATION / 40
            budget.record_request(SERVICE, now)
            requests += 1
            while budget.acquire(SERVICE, now):
                acquired += 1
    assert acquired <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
    # The share from its own requests is still available.
    assert acquired >= 0.5 * BOUNDS.retry_ratio * requests


def test_a_retry_that_was_never_sent_is_given_back() -> None:
    budget = RetryBudget(BOUNDS)
    budget.daemon_count = 40
    assert 0.0 < budget.compute_remaining(SERVICE, 0.0) < 1.0
    for _ in range(3):
        budget.record_request(SERVICE, 0.0)
    assert budget.acquire(SERVICE, 0.0)
    assert not budget.acquire(SERVICE, 0.1)
    budget.refund(SERVICE, 0.1)
    assert budget.acquire(SERVICE, 0.1)


def test_the_last_retries_are_kept_for_the_most_urgent_requests() -> None:
    budget = RetryBudget(BOUNDS)
    budget.daemon_count = 6
    budget.record_request(SERVICE, 0.0, priority=0)
    budget.record_request(SERVICE, 0.0, priority=2)
    less_urgent = sum(budget.acquire(SERVICE, 0.0, priority=2) for _ in range(20))
    urgent = sum(budget.acquire(SERVICE, 0.0, priority=0) for _ in range(20))
    assert (less_urgent, urgent) == (4, 2)
