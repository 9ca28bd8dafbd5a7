"""Prefill times are learned from observed times to the first event."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.health import HealthTable
from kestreltally.estimates.prefill import (
    INITIAL_TOKEN_TIME,
    MAX_FRACTION,
    MAX_STEP_FACTOR,
    PrefillTimeTable,
    PrefillWork,
)
from kestreltally.fleet.model import EndpointId

FAST, SLOW = EndpointId("fast"), EndpointId("slow")
BASE = 0.02
LONG = 9_000
URGENT, NOT_URGENT = 0, 1


def make_work(
    uncached_tokens: int = LONG, queued_tokens: float = 0.0, priority: int = 1
) -> PrefillWork:
    return PrefillWork(uncached_tokens, queued_tokens, priority)


def teach(
    table: PrefillTimeTable, engine: EndpointId, token_time: float, times: int = 40
) -> None:
    for _ in range(times):
        table.learn(engine, make_work(), BASE + token_time * LONG)


def test_token_time_is_learned_per_engine() -> None:
    table = PrefillTimeTable()
    teach(table, FAST, 30e-6)
    teach(table, SLOW, 60e-6)
    assert table.predict(FAST, make_work()) == pytest.approx(0.29, rel=0.1)
    assert table.predict(SLOW, make_work()) == pytest.approx(0.56, rel=0.1)


def test_slowdown_of_an_engine_is_learned_from_a_few_prompts() -> None:
    table = PrefillTimeTable()
    teach(table, FAST, 30e-6)
    teach(table, FAST, 120e-6, times=15)
    assert table.compute_token_time(FAST) > 90e-6


def test_new_engine_starts_with_the_typical_token_time() -> None:
    table = PrefillTimeTable()
    teach(table, SLOW, 60e-6, times=200)
    assert table.compute_token_time(FAST) == pytest.approx(60e-6, rel=0.1)


def test_urgent_requests_wait_for_a_fraction_of_the_queue() -> None:
    table = PrefillTimeTable()
    teach(table, FAST, 30e-6)
    token_time = table.compute_token_time(FAST)
    for _ in range(60):
        queued_tokens = 20_000.0
        table.learn(
            FAST,
            make_work(
                uncached_tokens=100, queued_tokens=queued_tokens, priority=URGENT
            ),
            table.base_latency + token_time * (100 + 0.25 * queued_tokens),
        )
        table.learn(
            FAST,
            make_work(queued_tokens=queued_tokens, priority=NOT_URGENT),
            table.base_latency + token_time * (LONG + queued_tokens),
        )
    assert table.compute_fraction(URGENT) == pytest.approx(0.25, abs=0.05)
    assert table.compute_fraction(NOT_URGENT) == pytest.approx(1.0, abs=0.05)


@given(
    st.integers(0, 50_000),
    st.floats(0.0, 200_000.0),
    st.integers(0, 9),
    st.floats(0.0, 60.0),
)
def test_one_outlier_moves_estimates_within_their_bounds_only(
    uncached_tokens: int, queued_tokens: float, priority: int, took: float
) -> None:
    table = PrefillTimeTable()
    table.learn(FAST, PrefillWork(uncached_tokens, queued_tokens, priority), took)
    assert (
        INITIAL_TOKEN_TIME / MAX_STEP_FACTOR
        <= table.compute_token_time(FAST)
        <= INITIAL_TOKEN_TIME * MAX_STEP_FACTOR
    )
    assert 0.0 <= table.compute_fraction(priority) <= MAX_FRACTION
    assert 0.0 <= table.base_latency <= MAX_STEP_FACTOR * BASE


@given(st.integers(0, 50_000), st.floats(0.0, 200_000.0), st.integers(0, 50_000))
def test_prediction_does_not_decrease_with_more_tokens(
    uncached_tokens: int, queued_tokens: float, more: int
) -> None:
    table = PrefillTimeTable()
    first = table.predict(FAST, PrefillWork(uncached_tokens, queued_tokens, NOT_URGENT))
    assert (
        table.predict(
            FAST, PrefillWork(uncached_tokens + more, queued_tokens, NOT_URGENT)
        )
        >= first
    )
    assert (
        table.predict(
            FAST, PrefillWork(uncached_tokens, queued_tokens + more, NOT_URGENT)
        )
        >= first
    )


@pytest.mark.parametrize(
    ("now", "left"), [(1.0, 9_000), (1.2, 9_000), (1.35, 4_500), (9.0, 900)]
)
def test_unread_tokens_decrease_once_prefill_is_expected_to_start(
    now: float, left: int
) -> None:
    health = HealthTable()
    health.start(FAST, 1.0, LONG, prefill_delay=0.2, prefill_duration=0.3)
    assert health.measure(now).unread[FAST] == pytest.approx(left, abs=1)
    assert health.measure_endpoint(FAST, now)[1] == pytest.approx(left, abs=1)
