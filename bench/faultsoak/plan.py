"""What a soak does, made from its seed: faults, signals and changes, in series and
overlapping."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bench.faultsoak.proxy import ProxyMode

# Faults begin this long after the daemons are ready, seconds.
FIRST_AT: Final = 1.0
# The mean pause between two beginnings, and the length of a fault, seconds.
PAUSE_MEAN: Final = 0.9
LENGTHS: Final = (0.3, 5.0)
# The last fault ends so long before recovery is measured.
GRACE: Final = 8.0


class Action(Enum):
    """What is done to the system or its surroundings."""

    STORE_PATH = "path of a daemon to the store"
    ENDPOINT_PATH = "path of all daemons to an endpoint"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets its history"
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
    STORE_RETURNS = "store comes back from a copy"
    SAYS_LEAVING = "endpoint leaves, and only its answers say so"
    WANTS_REST = "endpoint turns requests away and asks for rest"
    NAMES_LIMIT = "endpoint names how much it takes from all daemons"


# How often each is drawn: what the system must bear most often comes most often.
_WEIGHTS: Final = {
    Action.STORE_PATH: 4,
    Action.ENDPOINT_PATH: 4,
    Action.STORE_DOWN: 1,
    Action.STORE_SLOW: 1,
    Action.STORE_LOSES: 1,
    Action.STORE_FORGETS: 1,
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
POISON_PART: Final = 0.5
POISON_LASTS: Final = 10.0
# Keys are taken away so often beside all that, seconds.
REVOKE_MEAN: Final = 3.0
# Endpoints speak for themselves, and the store comes back from a copy, so often,
# seconds.
SPEAK_MEAN: Final = 5.0
RETURN_MEAN: Final = 15.0
# What the store loses, or how long an endpoint rests, seconds.
SPOKEN_LENGTHS: Final = (1.0, 4.0)
# Limits come so often, and hold for longer than the window in which they are counted,
# seconds.
LIMIT_MEAN: Final = 8.0
LIMIT_LENGTHS: Final = (6.0, 9.0)
_DISTURBING: Final = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]


@dataclass(frozen=True)
class Step:
    """One thing done at a moment, seconds from the start; ``target`` is a number."""

    at: float
    lasts: float
    action: Action
    target: int
    mode: ProxyMode

    def __str__(self) -> str:
        how = f" ({self.mode.value})" if self.action.value.startswith("path") else ""
        return (
            f"{self.at:6.2f} +{self.lasts:.2f} {self.action.value}{how} {self.target}"
        )


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the steps of a seed: the same for the same seed and length."""
    draw = random.Random(seed)
    steps = []
    at = FIRST_AT
    while at < seconds:
        (action,) = draw.choices(list(_WEIGHTS), list(_WEIGHTS.values()))
        lasts = min(draw.uniform(*LENGTHS), seconds - at)
        steps.append(
            Step(
                at=at,
                lasts=lasts,
                action=action,
                target=draw.randrange(1000),
                mode=draw.choice(_DISTURBING),
            )
        )
        at += draw.expovariate(1 / PAUSE_MEAN)
    # Drawn apart, so that each seed's other steps stay as they were.
    steps.extend(_revoke(random.Random(f"keys {seed}"), seconds))
    steps.extend(_poison(random.Random(f"poison {seed}"), seconds))
    steps.extend(_speak(random.Random(f"notices {seed}"), seconds))
    steps.extend(_limit(random.Random(f"limits {seed}"), seconds))
    steps.extend(_return(random.Random(f"eras {seed}"), seconds))
    return sorted(steps, key=lambda each: each.at)


def _poison(draw: random.Random, seconds: float) -> list[Step]:
    lasts = min(POISON_LASTS, seconds - FIRST_AT)
    if draw.random() >= POISON_PART or lasts <= 0:
        return []
    at = draw.uniform(FIRST_AT, seconds - lasts)
    target = draw.randrange(1000)
    return [Step(at, lasts, Action.POISON, target, ProxyMode.PASS)]


def _draw_times(draw: random.Random, mean: float, seconds: float) -> Iterator[float]:
    """Yield moments that are ``mean`` seconds apart on average.

    Each pause is drawn after what is drawn for the moment before it.
    """
    at = FIRST_AT + draw.expovariate(1 / mean)
    while at < seconds:
        yield at
        at += draw.expovariate(1 / mean)


def _speak(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, SPEAK_MEAN, seconds):
        action = draw.choice([Action.SAYS_LEAVING, Action.WANTS_REST])
        lasts = min(draw.uniform(*SPOKEN_LENGTHS), seconds - at)
        steps.append(Step(at, lasts, action, draw.randrange(1000), ProxyMode.PASS))
    return steps


def _limit(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, LIMIT_MEAN, seconds):
        lasts = min(draw.uniform(*LIMIT_LENGTHS), seconds - at)
        target = draw.randrange(1000)
        steps.append(Step(at, lasts, Action.NAMES_LIMIT, target, ProxyMode.PASS))
    return steps


def _return(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, RETURN_MEAN, seconds):
        lasts = min(draw.uniform(*SPOKEN_LENGTHS), seconds - at)
        steps.append(Step(at, lasts, Action.STORE_RETURNS, 0, ProxyMode.PASS))
    return steps


def _revoke(draw: random.Random, seconds: float) -> list[Step]:
    return [
        Step(at, 0.0, Action.REVOKE, 0, ProxyMode.PASS)
        for at in _draw_times(draw, REVOKE_MEAN, seconds)
    ]
