"""What a soak does, made from its seed: faults, signals and changes, in series and
overlapping."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bench.faultsoak.proxy import ProxyMode

# Faults begin this long after the daemons are ready, seconds.
FIRST_FAULT_AT: Final = 1.0
# The mean pause between two beginnings, and the length of a fault, seconds.
MEAN_PAUSE: Final = 0.9
FAULT_DURATIONS: Final = (0.3, 5.0)
# The last fault ends so long before recovery is measured.
GRACE: Final = 8.0


class Action(Enum):
    """What is done to the system or its surroundings."""

    STORE_PATH = "path of a daemon to the store"
    ENDPOINT_PATH = "path of all daemons to an endpoint"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_COMPACTS = "store forgets its history"
    PAUSE = "daemon paused"
    KILL = "daemon killed"
    KILL_MANY = "most daemons killed at once"
    PLANNED_STOP = "daemon stopped as planned"
    RELOAD = "daemon told of new settings"
    ENGINE_CRASH = "engine crashes"
    ENGINE_LEAVES = "endpoint leaves, another comes"
    ENGINE_ERRORS = "endpoint answers 500"
    CONFIGURE = "new configuration"
    VERSION = "new version of an adapter"
    REVOKE = "a key is taken away"
    POISON = "a request that ends engines comes again and again"
    STORE_RESTORED = "store comes back from a copy"
    LEAVING_NOTICE = "endpoint leaves, and only its answers say so"
    BACKOFF_NOTICE = "endpoint turns requests away and asks for rest"
    RATE_LIMIT_NOTICE = "endpoint names how much it takes from all daemons"


# How often each is drawn: what the system must bear most often comes most often.
_WEIGHTS: Final = {
    Action.STORE_PATH: 4,
    Action.ENDPOINT_PATH: 4,
    Action.STORE_DOWN: 1,
    Action.STORE_SLOW: 1,
    Action.STORE_LOSES_ANSWERS: 1,
    Action.STORE_COMPACTS: 1,
    Action.PAUSE: 3,
    Action.KILL: 3,
    Action.KILL_MANY: 1,
    Action.PLANNED_STOP: 3,
    Action.RELOAD: 1,
    Action.ENGINE_CRASH: 2,
    Action.ENGINE_LEAVES: 2,
    Action.ENGINE_ERRORS: 1,
    Action.CONFIGURE: 3,
    Action.VERSION: 1,
}
# In a part of the plans a request that ends engines comes again and again, for seconds.
POISON_FRACTION: Final = 0.5
POISON_DURATION: Final = 10.0
# Keys are taken away so often beside all that, seconds.
MEAN_REVOKE_INTERVAL: Final = 3.0
# Endpoints speak for themselves, and the store comes back from a copy, so often,
# seconds.
MEAN_NOTICE_INTERVAL: Final = 5.0
MEAN_RESTORE_INTERVAL: Final = 15.0
# What the store loses, or how long an endpoint rests, seconds.
NOTICE_DURATIONS: Final = (1.0, 4.0)
# Limits come so often, and hold for longer than the window in which they are counted,
# seconds.
MEAN_LIMIT_INTERVAL: Final = 8.0
LIMIT_DURATIONS: Final = (6.0, 9.0)
_FAULT_MODES: Final = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]


@dataclass(frozen=True)
class Step:
    """One thing done at a moment, seconds from the start; ``target`` is a number."""

    at: float
    duration: float
    action: Action
    target: int
    mode: ProxyMode

    def __str__(self) -> str:
        how = f" ({self.mode.value})" if self.action.value.startswith("path") else ""
        return f"{self.at:6.2f} +{self.duration:.2f} {self.action.value}{how} {self.target}"


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the steps of a seed: the same for the same seed and length."""
    draw = random.Random(seed)
    steps = []
    at = FIRST_FAULT_AT
    while at < seconds:
        (action,) = draw.choices(list(_WEIGHTS), list(_WEIGHTS.values()))
        duration = min(draw.uniform(*FAULT_DURATIONS), seconds - at)
        steps.append(
            Step(
                at=at,
                duration=duration,
                action=action,
                target=draw.randrange(1000),
                mode=draw.choice(_FAULT_MODES),
            )
        )
        at += draw.expovariate(1 / MEAN_PAUSE)
    # Drawn apart, so that each seed's other steps stay as they were.
    steps.extend(_draw_revocations(random.Random(f"keys {seed}"), seconds))
    steps.extend(_draw_poison(random.Random(f"poison {seed}"), seconds))
    steps.extend(_draw_notices(random.Random(f"notices {seed}"), seconds))
    steps.extend(_draw_rate_limits(random.Random(f"limits {seed}"), seconds))
    steps.extend(_draw_restores(random.Random(f"eras {seed}"), seconds))
    return sorted(steps, key=lambda each: each.at)


def _draw_poison(draw: random.Random, seconds: float) -> list[Step]:
    duration = min(POISON_DURATION, seconds - FIRST_FAULT_AT)
    if draw.random() >= POISON_FRACTION or duration <= 0:
        return []
    at = draw.uniform(FIRST_FAULT_AT, seconds - duration)
    target = draw.randrange(1000)
    return [Step(at, duration, Action.POISON, target, ProxyMode.PASS)]


def _draw_times(draw: random.Random, mean: float, seconds: float) -> Iterator[float]:
    """Yield moments that are ``mean`` seconds apart on average.

    Each pause is drawn after what is drawn for the moment before it.
    """
    at = FIRST_FAULT_AT + draw.expovariate(1 / mean)
    while at < seconds:
        yield at
        at += draw.expovariate(1 / mean)


def _draw_notices(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, MEAN_NOTICE_INTERVAL, seconds):
        action = draw.choice([Action.LEAVING_NOTICE, Action.BACKOFF_NOTICE])
        duration = min(draw.uniform(*NOTICE_DURATIONS), seconds - at)
        steps.append(Step(at, duration, action, draw.randrange(1000), ProxyMode.PASS))
    return steps


def _draw_rate_limits(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, MEAN_LIMIT_INTERVAL, seconds):
        duration = min(draw.uniform(*LIMIT_DURATIONS), seconds - at)
        target = draw.randrange(1000)
        steps.append(
            Step(at, duration, Action.RATE_LIMIT_NOTICE, target, ProxyMode.PASS)
        )
    return steps


def _draw_restores(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, MEAN_RESTORE_INTERVAL, seconds):
        duration = min(draw.uniform(*NOTICE_DURATIONS), seconds - at)
        steps.append(Step(at, duration, Action.STORE_RESTORED, 0, ProxyMode.PASS))
    return steps


def _draw_revocations(draw: random.Random, seconds: float) -> list[Step]:
    return [
        Step(at, 0.0, Action.REVOKE, 0, ProxyMode.PASS)
        for at in _draw_times(draw, MEAN_REVOKE_INTERVAL, seconds)
    ]
