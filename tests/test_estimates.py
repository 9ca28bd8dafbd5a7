"""Times to the first event are learned while running, and told truly."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.health import HealthTable
from kestreltally.estimates.pace import (
    PACE_FIRST,
    PART_MOST,
    STEP_MOST,
    PaceTable,
    Reading,
)
from kestreltally.fleet.model import EndpointId

FAST, SLOW = EndpointId("fast"), EndpointId("slow")
BASE = 0.02
LONG = 9_000
URGENT, PATIENT = 0, 1


def make_reading(own: int = LONG, ahead: float = 0.0, priority: int = 1) -> Reading:
    return Reading(own, ahead, priority)


def teach(table: PaceTable, engine: EndpointId, pace: float, times: int = 40) -> None:
    for _ in range(times):
        table.learn(engine, make_reading(), BASE + pace * LONG)


def test_each_engine_has_its_own_pace() -> None:
    table = PaceTable()
    teach(table, FAST, 30e-6)
    teach(table, SLOW, 60e-6)
    assert table.predict(FAST, make_reading()) == pytest.approx(0.29, rel=0.1)
    assert table.predict(SLOW, make_reading()) == pytest.approx(0.56, rel=0.1)


def test_an_engine_that_turned_slow_is_known_after_some_prompts() -> None:
    table = PaceTable()
    teach(table, FAST, 30e-6)
    teach(table, FAST, 120e-6, times=15)
    assert table.find_pace(FAST) > 90e-6


def test_a_new_engine_is_taken_for_a_usual_one() -> None:
    table = PaceTable()
    teach(table, SLOW, 60e-6, times=200)
    assert table.find_pace(FAST) == pytest.approx(60e-6, rel=0.1)


def test_the_urgent_wait_for_a_part_of_what_is_ahead() -> None:
    table = PaceTable()
    teach(table, FAST, 30e-6)
    pace = table.find_pace(FAST)
    for _ in range(60):
        ahead = 20_000.0
        table.learn(
            FAST,
            make_reading(own=100, ahead=ahead, priority=URGENT),
            table.base + pace * (100 + 0.25 * ahead),
        )
        table.learn(
            FAST,
            make_reading(ahead=ahead, priority=PATIENT),
            table.base + pace * (LONG + ahead),
        )
    assert table.find_part(URGENT) == pytest.approx(0.25, abs=0.05)
    assert table.find_part(PATIENT) == pytest.approx(1.0, abs=0.05)


@given(
    st.integers(0, 50_000),
    st.floats(0.0, 200_000.0),
    st.integers(0, 9),
    st.floats(0.0, 60.0),
)
def test_one_odd_time_changes_no_belief_beyond_its_bounds(
    own: int, ahead: float, priority: int, took: float
) -> None:
    table = PaceTable()
    table.learn(FAST, Reading(own, ahead, priority), took)
    assert PACE_FIRST / STEP_MOST <= table.find_pace(FAST) <= PACE_FIRST * STEP_MOST
    assert 0.0 <= table.find_part(priority) <= PART_MOST
    assert 0.0 <= table.base <= STEP_MOST * BASE


@given(st.integers(0, 50_000), st.floats(0.0, 200_000.0), st.integers(0, 50_000))
def test_more_to_read_is_never_predicted_to_begin_sooner(
    own: int, ahead: float, more: int
) -> None:
    table = PaceTable()
    first = table.predict(FAST, Reading(own, ahead, PATIENT))
    assert table.predict(FAST, Reading(own + more, ahead, PATIENT)) >= first
    assert table.predict(FAST, Reading(own, ahead + more, PATIENT)) >= first


@pytest.mark.parametrize(
    ("now", "left"), [(1.0, 9_000), (1.2, 9_000), (1.35, 4_500), (9.0, 900)]
)
def test_what_is_unread_grows_less_once_its_turn_has_come(
    now: float, left: int
) -> None:
    health = HealthTable()
    health.begin(FAST, 1.0, LONG, reads_in=0.2, reads_for=0.3)
    assert health.measure(now).unread[FAST] == pytest.approx(left, abs=1)
    assert health.measure_one(FAST, now)[1] == pytest.approx(left, abs=1)
