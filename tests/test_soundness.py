"""Which endpoints are left alone, by what many daemons' requests met there."""

import pytest

from kestreltally.entry.outcomes import Outcome, OutcomeCounter
from kestreltally.fleet.model import EndpointId
from kestreltally.placing.soundness import (
    FORGIVEN_AFTER,
    SPARE_FIRST,
    SPARE_MOST,
    SoundnessTable,
)

NAME = EndpointId("e1")


@pytest.mark.parametrize(
    ("whole", "failed", "suspect"),
    [
        (0, 3, True),
        (2, 4, True),
        (0, 2, False),
        # An endpoint that loses some answers in a hundred.
        (100, 5, False),
    ],
)
def test_most_requests_must_have_failed(whole: int, failed: int, suspect: bool) -> None:
    table = SoundnessTable()
    table.record(Outcome(NAME, whole, failed), 10.0)
    assert table.is_suspect(NAME, 10.1) is suspect


def test_what_happened_long_ago_hardly_counts() -> None:
    table = SoundnessTable()
    table.record(Outcome(NAME, 0, 3), 10.0)
    assert not table.is_suspect(NAME, 11.0)


def test_an_endpoint_is_left_alone_longer_each_time_and_forgiven() -> None:
    table = SoundnessTable()
    now = 100.0
    pauses = []
    for _ in range(4):
        pauses.append(table.spare(NAME, now))
        assert table.is_spared(NAME, now + pauses[-1] - 0.1)
        now += pauses[-1]
        assert not table.is_spared(NAME, now)
    assert pauses == [1.0, 2.0, 4.0, SPARE_MOST]
    assert table.spare(NAME, now + FORGIVEN_AFTER + 0.1) == SPARE_FIRST


def test_counts_of_several_daemons_are_summed_and_taken_once() -> None:
    counter = OutcomeCounter()
    counter.record_completed(NAME)
    counter.add([Outcome(NAME, 2, 1)])
    counter.record_failed(NAME)
    assert counter.take() == [Outcome(NAME, 3, 2)]
    assert counter.take() == []
