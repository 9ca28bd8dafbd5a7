"""The plan of a soak, drawn from a seed: faults, signals and configuration changes,
one after the other and overlapping."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bench.faultsoak.proxy import ProxyMode

# Delay of the first fault after the daemons are ready, seconds.
FIRST_FAULT_AT: Final = 1.0
# Mean pause between the starts of two faults, and range of durations, seconds.
MEAN_PAUSE: Final = 0.9
FAULT_DURATIONS: Final = (0.3, 5.0)
# Time between the end of the last fault and the measurement of recovery, seconds.
GRACE: Final = 8.0


class Action(Enum):
    """An action on the system or its environment."""

    STORE_PATH = "path from a daemon to the store"
    ENDPOINT_PATH = "path from all daemons to an endpoint"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_COMPACTS = "store compacts its history"
    PAUSE = "daemon paused"
    KILL = "daemon killed"
    KILL_MANY = "most daemons killed at once"
    PLANNED_STOP = "daemon stopped as planned"
    RELOAD = "daemon reloads its settings"
    ENGINE_CRASH = "engine crashes"
    ENGINE_LEAVES = "endpoint leaves, another replaces it"
    ENGINE_ERRORS = "endpoint answers 500"
    CONFIGURE = "new configuration"
    VERSION = "new version of an adapter"
    REVOKE = "key revoked"
    POISON = "poison request repeated"
    STORE_RESTORED = "store restored from a backup"
    LEAVING_NOTICE = "endpoint leaves, announced only in its answers"
    BACKOFF_NOTICE = "endpoint rejects requests and asks for backoff"
    RATE_LIMIT_NOTICE = "endpoint announces a rate limit for all daemons"
    STORE_CHANNELS_SILENT = "open channels to the store silent, then a configuration"
    KILL_SERIES = "all daemons killed three times while engines fail"
    ENGINE_GOES = "endpoint leaves without a word, another replaces it"
    LEADER_SILENT = "store silent for one leader, an endpoint goes"
    LEADER_OUTLIVES = "the same, and all other daemons are killed"
    CUT_OFF = "daemons cut off from all endpoints"
    BRITTLE_NOTICE = "engines announce that they are brittle, and most clients at one"
    DEADLY_PART = "requests with one part crash engines"
    ODD_ENTRY = "entry of another writer that cannot be decoded"
    VERSION_LEAVES = "engines of a version leave, and all daemons are killed"
    VERSION_WAITS = "new version of an adapter while requests wait and nothing loads"
    ODD_ANSWERS = "plain endpoints answer with false or repeated rejections"
    BROKEN_HEADS = "endpoints answer with heads that are none"
    CROWD = "clients of a daemon don't behave"
    ENDPOINTS_SILENT = "endpoints of a service silent for a while, then they go on"


# Relative frequency of each action, highest for what is most frequent in operation.
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
# Fraction of plans with a repeated poison request, and its duration in seconds.
POISON_FRACTION: Final = 0.5
POISON_DURATION: Final = 10.0
# Mean interval between revocations of a key, seconds.
MEAN_REVOKE_INTERVAL: Final = 3.0
# Mean intervals between notices of endpoints and between restores of the store from a
# backup, seconds.
MEAN_NOTICE_INTERVAL: Final = 5.0
MEAN_RESTORE_INTERVAL: Final = 15.0
# Range of the time of writes lost by a restore, or of a backoff, seconds.
NOTICE_DURATIONS: Final = (1.0, 4.0)
# Mean interval between rate limits, and their durations, seconds. The durations exceed
# the window in which calls are counted.
MEAN_LIMIT_INTERVAL: Final = 8.0
LIMIT_DURATIONS: Final = (6.0, 9.0)
# Mean interval between silences of all channels to the store, seconds.
MEAN_SILENCE_INTERVAL: Final = 12.0
# Fraction of plans in which all daemons are killed in series, and duration, seconds.
KILL_SERIES_FRACTION: Final = 0.25
KILL_SERIES_DURATION: Final = 13.2
# Mean interval between departures of endpoints that do not say that they leave, and
# between silences of the store for one leader, and the duration of these, seconds.
MEAN_GOING_INTERVAL: Final = 3.0
MEAN_LEADER_INTERVAL: Final = 9.0
LEADER_SILENCE_DURATIONS: Final = (3.5, 6.0)
# Fraction of plans in which daemons are cut off from all endpoints, the mean interval
# between cuts, and their duration, seconds.
CUT_FRACTION: Final = 0.4
MEAN_CUT_INTERVAL: Final = 6.0
CUT_DURATIONS: Final = (1.0, 7.0)
# Fraction of plans with brittle engines, and with a part of prompts that crashes
# engines, and the durations of these, seconds.
BRITTLE_FRACTION: Final = 0.4
BRITTLE_DURATION: Final = 9.0
DEADLY_PART_FRACTION: Final = 0.4
DEADLY_PART_DURATION: Final = 10.0
# Fractions of plans with an entry that cannot be decoded, and with a software version
# that leaves, and the durations of these, seconds.
ODD_ENTRY_FRACTION: Final = 0.5
ODD_ENTRY_DURATION: Final = 6.0
VERSION_FRACTION: Final = 0.3
VERSION_DURATION: Final = 6.0
# Fraction of plans with a version that is named while requests wait, and its duration:
# longer than the bound, seconds.
VERSION_WAITS_FRACTION: Final = 0.3
VERSION_WAITS_DURATION: Final = 7.0
# Fraction of plans with odd answers of plain endpoints, and their duration, seconds.
ODD_ANSWERS_FRACTION: Final = 0.5
ODD_ANSWERS_DURATION: Final = 6.0
# Fraction of plans with answers whose heads are broken, and their duration, seconds.
BROKEN_HEADS_FRACTION: Final = 0.5
BROKEN_HEADS_DURATION: Final = 6.0
# Fraction of plans with clients that don't behave, and how long they stay, seconds.
CROWD_FRACTION: Final = 0.4
CROWD_DURATION: Final = 5.0
# Fraction of plans in which sound endpoints fall silent, the mean interval between such
# silences, and their duration, seconds.
SILENT_FRACTION: Final = 0.4
MEAN_SILENT_INTERVAL: Final = 2.5
SILENT_DURATIONS: Final = (0.4, 1.5)
_FAULT_MODES: Final = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]


@dataclass(frozen=True)
class Step:
    """One action at a time in seconds from the start; ``target`` is a number."""

    at: float
    duration: float
    action: Action
    target: int
    mode: ProxyMode

    def __str__(self) -> str:
        how = f" ({self.mode.value})" if self.action.value.startswith("path") else ""
        return (
            f"{self.at:6.2f} +{self.duration:.2f} "
            f"{self.action.value}{how} {self.target}"
        )


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the steps for a seed, equal for equal seeds and lengths."""
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
    # Each kind has its own generator, so that adding one leaves the other steps of a
    # seed unchanged.
    steps.extend(_draw_revocations(random.Random(f"keys {seed}"), seconds))
    steps.extend(_draw_poison(random.Random(f"poison {seed}"), seconds))
    steps.extend(_draw_notices(random.Random(f"notices {seed}"), seconds))
    steps.extend(_draw_rate_limits(random.Random(f"limits {seed}"), seconds))
    steps.extend(_draw_restores(random.Random(f"eras {seed}"), seconds))
    steps.extend(_draw_silences(random.Random(f"silences {seed}"), seconds))
    steps.extend(_draw_kill_series(random.Random(f"series {seed}"), seconds))
    steps.extend(_draw_goings(random.Random(f"goings {seed}"), seconds))
    steps.extend(_draw_silent_leaders(random.Random(f"leaders {seed}"), seconds))
    steps.extend(_draw_cuts(random.Random(f"cuts {seed}"), seconds))
    steps.extend(_draw_brittle(random.Random(f"brittle {seed}"), seconds))
    steps.extend(_draw_deadly_part(random.Random(f"parts {seed}"), seconds))
    steps.extend(_draw_odd_entry(random.Random(f"odd {seed}"), seconds))
    steps.extend(_draw_version_leaves(random.Random(f"software {seed}"), seconds))
    steps.extend(_draw_version_waits(random.Random(f"waits {seed}"), seconds))
    steps.extend(_draw_silent_endpoints(random.Random(f"silent {seed}"), seconds))
    steps.extend(_draw_odd_answers(random.Random(f"answers {seed}"), seconds))
    steps.extend(_draw_broken_heads(random.Random(f"heads {seed}"), seconds))
    steps.extend(_draw_crowd(random.Random(f"crowd {seed}"), seconds))
    return sorted(steps, key=lambda each: each.at)


def _draw_odd_entry(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw, seconds, Action.ODD_ENTRY, ODD_ENTRY_FRACTION, ODD_ENTRY_DURATION
    )


def _draw_odd_answers(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw, seconds, Action.ODD_ANSWERS, ODD_ANSWERS_FRACTION, ODD_ANSWERS_DURATION
    )


def _draw_broken_heads(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw,
        seconds,
        Action.BROKEN_HEADS,
        BROKEN_HEADS_FRACTION,
        BROKEN_HEADS_DURATION,
    )


def _draw_crowd(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(draw, seconds, Action.CROWD, CROWD_FRACTION, CROWD_DURATION)


def _draw_version_leaves(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw, seconds, Action.VERSION_LEAVES, VERSION_FRACTION, VERSION_DURATION
    )


def _draw_version_waits(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw,
        seconds,
        Action.VERSION_WAITS,
        VERSION_WAITS_FRACTION,
        VERSION_WAITS_DURATION,
    )


def _draw_brittle(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw, seconds, Action.BRITTLE_NOTICE, BRITTLE_FRACTION, BRITTLE_DURATION
    )


def _draw_deadly_part(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(
        draw, seconds, Action.DEADLY_PART, DEADLY_PART_FRACTION, DEADLY_PART_DURATION
    )


def _draw_once(
    draw: random.Random, seconds: float, action: Action, fraction: float, longest: float
) -> list[Step]:
    """Return one step of an action in a fraction of plans, else none."""
    duration = min(longest, seconds - FIRST_FAULT_AT)
    if draw.random() >= fraction or duration <= 0:
        return []
    at = draw.uniform(FIRST_FAULT_AT, seconds - duration)
    return [Step(at, duration, action, draw.randrange(1000), ProxyMode.PASS)]


def _draw_cuts(draw: random.Random, seconds: float) -> list[Step]:
    if draw.random() >= CUT_FRACTION:
        return []
    steps = []
    for at in _draw_times(draw, MEAN_CUT_INTERVAL, seconds):
        duration = min(draw.uniform(*CUT_DURATIONS), seconds - at)
        target = draw.randrange(1000)
        steps.append(Step(at, duration, Action.CUT_OFF, target, ProxyMode.PASS))
    return steps


def _draw_silent_endpoints(draw: random.Random, seconds: float) -> list[Step]:
    if draw.random() >= SILENT_FRACTION:
        return []
    steps = []
    for at in _draw_times(draw, MEAN_SILENT_INTERVAL, seconds):
        duration = draw.uniform(*SILENT_DURATIONS)
        target = draw.randrange(1000)
        steps.append(
            Step(at, duration, Action.ENDPOINTS_SILENT, target, ProxyMode.PASS)
        )
    return steps


def _draw_goings(draw: random.Random, seconds: float) -> list[Step]:
    return [
        Step(at, 0.0, Action.ENGINE_GOES, draw.randrange(1000), ProxyMode.PASS)
        for at in _draw_times(draw, MEAN_GOING_INTERVAL, seconds)
    ]


def _draw_silent_leaders(draw: random.Random, seconds: float) -> list[Step]:
    steps = []
    for at in _draw_times(draw, MEAN_LEADER_INTERVAL, seconds):
        action = draw.choice([Action.LEADER_SILENT, Action.LEADER_OUTLIVES])
        duration = draw.uniform(*LEADER_SILENCE_DURATIONS)
        steps.append(Step(at, duration, action, draw.randrange(1000), ProxyMode.SILENT))
    return steps


def _draw_poison(draw: random.Random, seconds: float) -> list[Step]:
    return _draw_once(draw, seconds, Action.POISON, POISON_FRACTION, POISON_DURATION)


def _draw_times(draw: random.Random, mean: float, seconds: float) -> Iterator[float]:
    """Yield times that are ``mean`` seconds apart on average.

    Each pause is drawn after the caller's draws for the preceding time.
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


def _draw_silences(draw: random.Random, seconds: float) -> list[Step]:
    return [
        Step(at, 0.0, Action.STORE_CHANNELS_SILENT, 0, ProxyMode.PASS)
        for at in _draw_times(draw, MEAN_SILENCE_INTERVAL, seconds)
    ]


def _draw_kill_series(draw: random.Random, seconds: float) -> list[Step]:
    last = seconds - KILL_SERIES_DURATION
    if draw.random() >= KILL_SERIES_FRACTION or last < FIRST_FAULT_AT:
        return []
    at = draw.uniform(FIRST_FAULT_AT, last)
    return [Step(at, KILL_SERIES_DURATION, Action.KILL_SERIES, 0, ProxyMode.PASS)]


def _draw_revocations(draw: random.Random, seconds: float) -> list[Step]:
    return [
        Step(at, 0.0, Action.REVOKE, 0, ProxyMode.PASS)
        for at in _draw_times(draw, MEAN_REVOKE_INTERVAL, seconds)
    ]
