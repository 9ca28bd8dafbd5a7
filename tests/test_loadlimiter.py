"""The rate limit on model loads holds over all leaders across lease transfers."""

from dataclasses import dataclass, field
from random import Random

import pytest

from kestreltally.placing.lease import MAX_ORDER_TRANSIT, TAKEOVER_DELAY, VALIDITY
from kestreltally.placing.loadlimiter import LoadLimiter, compute_fraction
from tests.entryrig import BOUNDS
from tests.windows import count_max_in_window

DAEMONS = 5
LEASES = 3
DURATION = 60.0
STEP = 0.02


@dataclass
class HeldLease:
    """The period in which one daemon holds a lease."""

    orders_from: float
    until: float


@dataclass
class Daemon:
    limiter: LoadLimiter
    held_leases: dict[int, HeldLease] = field(default_factory=dict)


def transfer_lease(daemons: list[Daemon], lease: int, rng: Random, now: float) -> None:
    """Transfer a lease while its former holder can still order for a short time."""
    for former in daemons:
        if lease in former.held_leases:
            former.held_leases[lease].until = now + VALIDITY - TAKEOVER_DELAY
    start = now + VALIDITY - TAKEOVER_DELAY + MAX_ORDER_TRANSIT + BOUNDS.lease
    new = rng.choice([each for each in daemons if lease not in each.held_leases])
    new.held_leases[lease] = HeldLease(start, float("inf"))


def simulate(seed: int, rate: float) -> list[float]:
    """Return the start times of loads, with unlimited demand for loads."""
    rng = Random(seed)
    daemons = [Daemon(LoadLimiter(BOUNDS, 0.0)) for _ in range(DAEMONS)]
    for lease in range(LEASES):
        daemons[lease].held_leases[lease] = HeldLease(0.0, float("inf"))
    loads: list[float] = []
    now, next_change = 0.0, rng.expovariate(0.3)
    while now < DURATION:
        if now >= next_change:
            transfer_lease(daemons, rng.randrange(LEASES), rng, now)
            next_change = now + rng.expovariate(0.3)
        for daemon in daemons:
            daemon.held_leases = {
                k: h for k, h in daemon.held_leases.items() if h.until > now
            }
            if not daemon.held_leases:
                daemon.limiter = LoadLimiter(BOUNDS, now)
            ordering = [h.orders_from <= now for h in daemon.held_leases.values()]
            waits = [False] * (LEASES - len(ordering))
            daemon.limiter.refill(compute_fraction([*ordering, *waits]) * rate, now)
            while any(ordering) and daemon.limiter.available:
                daemon.limiter.acquire()
                loads.append(now)
        now += STEP
    return loads


@pytest.mark.parametrize("rate", [1.0, 4.4, 9.3, 33.0])
def test_model_loads_keep_the_rate_limit_over_three_leaders(rate: float) -> None:
    # Guards against leaders whose fractions add up to more than the rate during lease
    # transfers.
    window = BOUNDS.load_window
    for seed in range(40):
        max_loads = count_max_in_window(simulate(seed, rate), 0.0, window)
        assert max_loads <= rate * window * BOUNDS.load_overage + 3
