"""Decides which adapter is loaded on which engine, and which one is evicted.

Pure functions of the leader's state. A load takes a quarter of a second and costs about
as much as 0.7 of a request; places are the scarce resource.
"""

from collections.abc import Callable, Container, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from kestreltally.entry.choice import BATCH_PENALTY, REMOTE_PENALTY
from kestreltally.fleet.model import EndpointId, Seconds, WeightsKey
from kestreltally.placing.plans import (
    Candidate,
    EngineView,
    HeldAdapter,
    Placement,
    RequestedAdapter,
)

# The score of a waiting request, relative to a rate of one request per second.
WAITING_SCORE: Final = 1.0
# A request that can no longer meet its objective is worth less to its caller.
LATE_SCORE: Final = 0.3
MISSED_SCORE: Final = 0.5
RATE_SCORE: Final[Seconds] = 1.0
# A candidate must exceed its victim's score by this factor, or two adapters would
# evict each other in turn.
VICTIM_FACTOR: Final = 1.5
# An adapter stays loaded at least this long, even once the requests that waited for it
# are served: an adapter evicted sooner is requested again.
MIN_RESIDENCE_TIME: Final[Seconds] = 1.0
# The saving per request served in its own data centre, as a fraction of a request's
# cost: the cost of its traffic between data centres.
LOCAL_GAIN: Final = 0.12
# A replica is worthwhile if it saves the cost of its load (0.7 of a request) in 10 s.
MIN_REPLICA_RATE: Final = 0.7
# A batch slot serves about this many requests per second of one adapter while the batch
# has slots for others (14 per second with a batch of 32).
BATCH_SLOT_RATE: Final = 0.44
# The score of a replica per request per second if all engines that hold the adapter
# have full batches: requests there wait for others to end.
SATURATED_SCORE: Final = 2.0
# An adapter requested less often than this does not cause its engines' full batches.
MIN_SATURATED_RATE: Final = 0.5
# A load from an engine's own copy saves a load from the weight store, which costs about
# a third of a request.
WARM_GAIN: Final[Seconds] = 0.5
# An engine with a copy that is processing another order is free again after 10 to
# 100 ms; a load from the weight store takes longer. So the load waits for that engine,
# but no longer than a load from the weight store takes.
BUSY_DELAY: Final[Seconds] = 0.1
MAX_COPY_WAIT: Final[Seconds] = 0.25
# The cost of placing adapters with short prompts on an engine that always processes
# prompts, and those with long prompts on an engine with a full batch.
READING_PENALTY: Final[Seconds] = 0.2
LONG_PROMPT_PENALTY: Final[Seconds] = 0.1
# The cost of an eviction per unit of the victim's score: the victim will be requested
# again, with a load for each request per second.
VICTIM_COST_TIME: Final[Seconds] = 0.5
# Adapters without waiting requests and at most this rate are not planned for.
MIN_RATE: Final = min(MIN_REPLICA_RATE, MIN_SATURATED_RATE)
# Replicas are loaded a few at a time, after adapters that no engine holds.
MAX_REPLICAS_PER_ROUND: Final = 2


Planner = Callable[
    [Sequence[EngineView], Sequence[RequestedAdapter], Seconds], list[Placement]
]
P = TypeVar("P", bound=Planner)
PLANNERS: Final[dict[str, Planner]] = {}


def register_planner(name: str) -> Callable[[P], P]:
    """Return a decorator that registers a planner under a name."""

    def decorate(planner: P) -> P:
        PLANNERS[name] = planner
        return planner

    return decorate


def score_missing(requested: RequestedAdapter) -> float:
    """Return the score of loading an adapter that no engine holds."""
    too_late = requested.waiting - requested.within_objective
    waiting_score = WAITING_SCORE * requested.within_objective + LATE_SCORE * too_late
    return (
        MISSED_SCORE * requested.missed
        + waiting_score
        + RATE_SCORE * sum(requested.rates.values())
    )


def score_held(held: HeldAdapter) -> float:
    """Return the score of keeping an adapter on an engine."""
    if held.value is not None:
        return held.value
    if held.holders > 1:
        return LOCAL_GAIN * held.local_rate * 10
    return RATE_SCORE * held.rate


def _list_missing(requested: Sequence[RequestedAdapter]) -> Iterator[Candidate]:
    for each in requested:
        if sum(each.holders.values()) + sum(each.loading.values()):
            continue
        # Adapters on a leaving engine are loaded before any request waits for them.
        if each.waiting or each.leaving:
            busiest = max(each.rates, key=lambda dc: each.rates[dc], default=None)
            yield Candidate(
                each.key,
                busiest,
                score_missing(each),
                is_replica=False,
                can_wait=each.waited < MAX_COPY_WAIT,
            )


def _list_replicas(requested: Sequence[RequestedAdapter]) -> Iterator[Candidate]:
    for each in requested:
        holders = sum(each.holders.values()) + sum(each.loading.values())
        if not holders:
            continue
        if (
            each.saturated
            and not each.loading
            and sum(each.rates.values()) > MIN_SATURATED_RATE
        ):
            busiest = max(each.rates, key=lambda dc: each.rates[dc])
            score = SATURATED_SCORE * each.rates[busiest]
            yield Candidate(each.key, busiest, score, is_replica=True)
            continue
        for data_centre, rate in each.rates.items():
            local_holders = each.holders.get(data_centre, 0) + each.loading.get(
                data_centre, 0
            )
            if not local_holders and rate > MIN_REPLICA_RATE:
                yield Candidate(each.key, data_centre, LOCAL_GAIN * rate * 10, True)
            elif local_holders and rate > BATCH_SLOT_RATE * each.batch * local_holders:
                yield Candidate(each.key, data_centre, rate / (local_holders + 1), True)


def _list_evictable(engine: EngineView, now: Seconds) -> list[HeldAdapter]:
    """Return the adapters that can be evicted."""
    return [
        each
        for each in engine.held
        if now - each.since >= MIN_RESIDENCE_TIME and not each.in_use
    ]


def count_free_capacity(engine: EngineView, now: Seconds) -> int:
    """Return how many adapters with one waiting request an engine could take."""
    replaceable = [
        each
        for each in _list_evictable(engine, now)
        if score_held(each) * VICTIM_FACTOR < WAITING_SCORE
    ]
    return engine.free_places + len(replaceable)


def _choose_victim(engine: EngineView, now: Seconds) -> tuple[float, WeightsKey | None]:
    """Return the cost of an engine's next place, and the adapter to be evicted."""
    if engine.free_places > 0:
        return 0.0, None
    evictable = _list_evictable(engine, now)
    if not evictable:
        return float("inf"), None
    victim = min(evictable, key=lambda each: (score_held(each), each.since))
    return score_held(victim), victim.key


@dataclass(frozen=True, slots=True)
class _LoadTarget:
    """An engine, the cost of its next place, and the adapter to be evicted."""

    engine: EngineView
    cost: float
    victim: WeightsKey | None


def predict_delay(engine: EngineView, candidate: Candidate) -> Seconds:
    """Return the delay of requests on an engine after the adapter's load."""
    delay = max(0.0, engine.prefill_time * engine.unread - engine.load_time)
    delay += BATCH_PENALTY * engine.running / max(1, engine.batch)
    if engine.data_centre != candidate.data_centre:
        delay += REMOTE_PENALTY
    if candidate.key in engine.warm:
        delay -= WARM_GAIN
    return delay + _predict_disturbance(engine, candidate)


def _predict_disturbance(engine: EngineView, candidate: Candidate) -> Seconds:
    """Return the cost of keeping long prompts and long streams on one engine.

    It is zero if the kind of requests is unknown, and less than the cost of another
    data centre or of a load from the weight store.
    """
    if candidate.long_prompts is None:
        return 0.0
    if candidate.long_prompts:
        return LONG_PROMPT_PENALTY * min(1.0, engine.running / max(1, engine.batch))
    return READING_PENALTY * min(1.0, engine.reading)


def _can_load(candidate: Candidate, engine: EngineView, *, busy: bool) -> bool:
    """Return whether an engine can load an adapter, now or after a short wait."""
    warm = candidate.key in engine.warm
    if not warm and (busy or not engine.ready_for_cold):
        return False
    if busy and not candidate.can_wait:
        return False
    if candidate.is_replica and engine.data_centre != candidate.data_centre:
        return False
    return all(each.key != candidate.key for each in engine.held)


def _choose_engine(
    candidate: Candidate,
    load_targets: Sequence[_LoadTarget],
    assigned: Container[EndpointId],
) -> Placement | None:
    """Return the load of lowest cost; None if an engine's copy is worth a short wait.

    Engines that are already ``assigned`` a load count as busy, like those not ready.
    """
    best: tuple[float, bool, _LoadTarget] | None = None
    for load_target in load_targets:
        engine = load_target.engine
        busy = not engine.ready or engine.id in assigned
        if load_target.cost * VICTIM_FACTOR >= candidate.score:
            continue
        if not _can_load(candidate, engine, busy=busy):
            continue
        cost = VICTIM_COST_TIME * load_target.cost + predict_delay(engine, candidate)
        if busy:
            cost += BUSY_DELAY
        if best is None or cost < best[0]:
            best = (cost, busy, load_target)
    if best is None:
        return None
    _, busy, load_target = best
    return (
        None
        if busy
        else Placement(
            load_target.engine.id, candidate.key, load_target.victim, candidate.ahead
        )
    )


def place(
    candidates: Sequence[Candidate], engines: Sequence[EngineView], now: Seconds
) -> list[Placement]:
    """Return loads of candidates, the first ones first; at most one for an engine."""
    load_targets = [_LoadTarget(each, *_choose_victim(each, now)) for each in engines]
    planned: dict[EndpointId, Placement] = {}
    for candidate in candidates:
        placement = _choose_engine(candidate, load_targets, planned)
        if placement is not None:
            planned[placement.engine] = placement
    return list(planned.values())


@register_planner("most-missed-first")
def plan_most_missed_first(
    engines: Sequence[EngineView],
    requested: Sequence[RequestedAdapter],
    now: Seconds,
) -> list[Placement]:
    """Return the next loads: missing adapters first, then replicas."""
    candidates = sorted(_list_missing(requested), key=lambda each: -each.score)
    replicas = sorted(_list_replicas(requested), key=lambda each: -each.score)
    candidates.extend(replicas[:MAX_REPLICAS_PER_ROUND])
    return place(candidates, engines, now)
