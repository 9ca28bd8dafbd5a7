"""Quarantine of endpoints based on the request outcomes of many daemons."""

import pytest

from kestreltally.entry.outcomes import Outcome, OutcomeCounter
from kestreltally.fleet.model import EndpointId
from kestreltally.placing.endpointhealth import (
    INITIAL_QUARANTINE,
    MAX_QUARANTINE,
    QUARANTINE_RESET_DELAY,
    EndpointHealthTable,
)

NAME = EndpointId("e1")


@pytest.mark.parametrize(
    ("whole", "failed", "suspect"),
    [
        (0, 3, True),
        (2, 4, True),
        (0, 2, False),
        # An endpoint that loses a few answers in a hundred.
        (100, 5, False),
    ],
)
def test_most_requests_must_have_failed(whole: int, failed: int, suspect: bool) -> None:
    table = EndpointHealthTable()
    table.record(Outcome(NAME, whole, failed), 10.0)
    assert table.is_suspect(NAME, 10.1) is suspect


def test_old_outcomes_decay() -> None:
    table = EndpointHealthTable()
    table.record(Outcome(NAME, 0, 3), 10.0)
    assert not table.is_suspect(NAME, 11.0)


def test_quarantine_grows_each_time_and_resets() -> None:
    table = EndpointHealthTable()
    now = 100.0
    pauses = []
    for _ in range(4):
        pauses.append(table.quarantine(NAME, now))
        assert table.is_quarantined(NAME, now + pauses[-1] - 0.1)
        now += pauses[-1]
        assert not table.is_quarantined(NAME, now)
    assert pauses == [1.0, 2.0, 4.0, MAX_QUARANTINE]
    assert (
        table.quarantine(NAME, now + QUARANTINE_RESET_DELAY + 0.1) == INITIAL_QUARANTINE
    )


def test_counts_of_several_daemons_are_summed_and_taken_once() -> None:
    counter = OutcomeCounter()
    counter.record_completed(NAME)
    counter.add([Outcome(NAME, 2, 1)])
    counter.record_failed(NAME)
    assert counter.pop() == [Outcome(NAME, 3, 2)]
    assert counter.pop() == []
