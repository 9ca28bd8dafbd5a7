"""The choice of an engine by many daemons whose totals are 0.2 s old.

Guards against herds: all daemons take the engine that was least loaded, and overload it
until the next totals.
"""

from dataclasses import replace

import pytest

from kestreltally.entry.choice import Option, choose_least_cost
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.spread_choice import choose_spread, list_comparable
from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.tables import Fleet
from tests.spreadsim import TOKEN_TIME, Load, play
from tests.test_choice import make_option

# Prompts per second that 20 engines can read.
CAPACITY = 20 / (2_900 * TOKEN_TIME)


@pytest.mark.parametrize(
    ("load", "p90"),
    [
        # Of the 1 s that a caller bears, nine in ten take at most half for the queue.
        (Load(0.3 * CAPACITY, choices=4), 0.3),
        (Load(0.6 * CAPACITY, choices=4), 0.5),
        (Load(0.6 * CAPACITY, choices=2), 0.5),
        (Load(0.3 * CAPACITY, choices=20), 0.5),
    ],
)
def test_equal_engines_get_equal_work_in_time(load: Load, p90: float) -> None:
    result = play(replace(load, seconds=15.0), choose_spread)
    assert result.busiest < 1.3
    assert result.quantile(0.9) < p90


def test_herd_of_the_least_cost_does_not_form() -> None:
    load = Load(0.3 * CAPACITY, choices=20, seconds=10.0)
    spread, least = play(load, choose_spread), play(load, choose_least_cost)
    assert spread.quantile(0.9) < 0.5 * least.quantile(0.9)


def test_slow_engine_gets_work_in_proportion_to_its_speed() -> None:
    load = Load(0.8 * CAPACITY, choices=4, seconds=20.0, slowness={0: 3.0})
    result = play(load, choose_spread)
    mean = sum(result.sent[1:]) / 19
    assert 0.1 * mean < result.sent[0] < 0.6 * mean
    # Nearly all callers get their first event within the 1 s that they bear.
    assert result.quantile(0.99) < 0.9


def test_moment_of_slowness_changes_little() -> None:
    load = Load(0.6 * CAPACITY, seconds=10.0, pause=(5.0, 5.6, 2.5))
    result = play(load, choose_spread)
    assert result.sent[0] > 0.8 * sum(result.sent) / 20
    assert result.quantile(0.99) < 0.7


def test_cached_prompt_and_remote_endpoint_are_not_left_to_chance() -> None:
    def make(name: str, tokens: int, **counts: float) -> Option:
        option = make_option(name, **counts)
        return replace(option, work=PrefillWork(tokens, 0.0, 0))

    cached = make("a", 2_900, first_event_delay=0.16)
    uncached = make("b", 9_200, first_event_delay=0.23)
    assert list_comparable([cached, uncached]) == [cached]
    remote = replace(make("c", 2_900, first_event_delay=0.1), remote=True)
    assert list_comparable([cached, remote]) == [cached]
    alike = make("d", 2_900, first_event_delay=0.4)
    assert list_comparable([cached, alike]) == [cached, alike]
    # A full batch is avoided.
    full = make("e", 2_900, first_event_delay=0.16, in_flight=8)
    assert list_comparable([cached, full]) == [cached]


def test_without_speeds_the_least_cost_is_chosen() -> None:
    finder = EndpointFinder("north", Fleet(), HealthTable())
    assert finder.speeds is None
    assert finder._choose is choose_least_cost


def test_least_loaded_plain_endpoint_is_chosen_and_ties_are_random() -> None:
    options = [make_option(name, in_flight=1) for name in "abcd"]
    options.append(make_option("e", in_flight=2))
    chosen = {choose_spread(options).endpoint.id for _ in range(200)}
    assert chosen == {"a", "b", "c", "d"}
