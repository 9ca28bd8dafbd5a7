"""Loads of models keep the ceiling over all leaders, as leases change hands."""

from dataclasses import dataclass, field
from random import Random

import pytest

from kestreltally.placing.ceiling import LoadCeiling, compute_fraction
from kestreltally.placing.lease import ORDER_TRANSIT, TAKE_AFTER, VALIDITY
from tests.entryrig import BOUNDS
from tests.windows import count_most

DAEMONS = 5
LEASES = 3
LASTS = 60.0
STEP = 0.02


@dataclass
class Held:
    """One daemon's time with a lease."""

    orders_from: float
    until: float


@dataclass
class Daemon:
    ceiling: LoadCeiling
    held: dict[int, Held] = field(default_factory=dict)


def change_hands(daemons: list[Daemon], lease: int, draw: Random, now: float) -> None:
    """Have a lease taken while its former holder may still order for a moment."""
    for former in daemons:
        if lease in former.held:
            former.held[lease].until = now + VALIDITY - TAKE_AFTER
    start = now + VALIDITY - TAKE_AFTER + ORDER_TRANSIT + BOUNDS.lease
    new = draw.choice([each for each in daemons if lease not in each.held])
    new.held[lease] = Held(start, float("inf"))


def play(seed: int, rate: float) -> list[float]:
    """Return when loads began, with engines that want as many as they may have."""
    draw = Random(seed)
    daemons = [Daemon(LoadCeiling(BOUNDS, 0.0)) for _ in range(DAEMONS)]
    for lease in range(LEASES):
        daemons[lease].held[lease] = Held(0.0, float("inf"))
    loads: list[float] = []
    now, next_change = 0.0, draw.expovariate(0.3)
    while now < LASTS:
        if now >= next_change:
            change_hands(daemons, draw.randrange(LEASES), draw, now)
            next_change = now + draw.expovariate(0.3)
        for daemon in daemons:
            daemon.held = {k: h for k, h in daemon.held.items() if h.until > now}
            if not daemon.held:
                daemon.ceiling = LoadCeiling(BOUNDS, now)
            able = [h.orders_from <= now for h in daemon.held.values()]
            waits = [False] * (LEASES - len(able))
            daemon.ceiling.refill(compute_fraction([*able, *waits]) * rate, now)
            while any(able) and daemon.ceiling.available:
                daemon.ceiling.take()
                loads.append(now)
        now += STEP
    return loads


@pytest.mark.parametrize("rate", [1.0, 4.4, 9.3, 33.0])
def test_loads_of_models_keep_the_ceiling_over_three_leaders(rate: float) -> None:
    # Guards against leaders whose parts add up beyond the rate as leases change hands.
    window = BOUNDS.load_window
    for seed in range(40):
        most = count_most(play(seed, rate), 0.0, window)
        assert most <= rate * window * BOUNDS.load_overage + 3
