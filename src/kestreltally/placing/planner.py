"""Decides which adapter comes to which engine, and which makes way.

Pure functions over what the leader knows. An adapter comes in a quarter of a second
and costs about as much as 0.7 of a request; places are the scarce good.
"""

from collections.abc import Callable, Container, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from kestreltally.entry.choice import BATCH_PENALTY, REMOTE_PENALTY
from kestreltally.fleet.model import EndpointId, Seconds, WeightsKey

# A request that waits counts as much as a rate of one a second would in this time.
WAITING_SCORE: Final = 1.0
# One that can no longer be answered within its objective is worth less to its caller.
LATE_SCORE: Final = 0.3
MISSED_SCORE: Final = 0.5
RATE_SCORE: Final[Seconds] = 1.0
# A newcomer must be worth this much more than what makes way for it, or two adapters
# would take turns.
VICTIM_FACTOR: Final = 1.5
# An adapter stays this long at least, also once those who waited for it have used it:
# what leaves sooner is asked for again.
MIN_STAY: Final[Seconds] = 1.0
# What one request costs less when it is served in its own data centre, in parts of a
# request: the price of its bytes between data centres.
LOCAL_GAIN: Final = 0.12
# A copy pays when it spares the price of its load (0.7 of a request) within 10 s.
MIN_REPLICA_RATE: Final = 0.7
# A place of a batch serves about this many requests a second of one adapter while the
# batch has room for others (14 a second at a batch of 32).
BATCH_SLOT_RATE: Final = 0.44
# What a copy is worth more, in parts of a request a second, where every engine that
# holds the adapter has a full batch: requests there wait for others to end.
CROWDED_SCORE: Final = 2.0
# An adapter asked for less often than this is not what crowds its engines.
MIN_CROWDED_RATE: Final = 0.5
# A load from an engine's own copy costs no load from the weight store, whose price is
# some third of a request.
WARM_GAIN: Final[Seconds] = 0.5
# An engine with a copy that is just given another order is free for the next after some
# 10 to 100 ms; a load from the store takes longer. Until then the adapter is held back,
# as long as such a load takes.
BUSY_DELAY: Final[Seconds] = 0.1
HOLD_DURATION: Final[Seconds] = 0.25
# What makes way will be asked for again: a load for each request a second.
VICTIM_COST_TIME: Final[Seconds] = 0.5
# What nobody waits for and is asked for no more often than this is not planned for.
MIN_RATE: Final = min(MIN_REPLICA_RATE, MIN_CROWDED_RATE)
# Copies are brought a few at a time, behind the adapters that nobody has.
MAX_REPLICAS_PER_ROUND: Final = 2


@dataclass(frozen=True, slots=True)
class HeldAdapter:
    """An adapter on an engine; ``rate`` is its whole demand, ``near`` that part from
    the engine's data centre, ``holders`` the engines that hold it."""

    key: WeightsKey
    since: Seconds
    rate: float
    local_rate: float
    holders: int
    in_use: bool


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine that may take a load, now if ``ready``.

    ``ready_for_cold`` tells the same of a load from the weight store.
    ``unread`` are the tokens that it has yet to read, also for the adapters on their
    way; ``prefill_time`` is the time that one takes, ``load_time`` that of a load.
    """

    id: EndpointId
    data_centre: str
    free_places: int
    held: tuple[HeldAdapter, ...]
    warm: frozenset[WeightsKey]
    running: int
    batch: int
    unread: int = 0
    prefill_time: Seconds = 0.0
    load_time: Seconds = 0.25
    ready: bool = True
    ready_for_cold: bool = True


@dataclass(frozen=True, slots=True)
class RequestedAdapter:
    """An adapter that is asked for.

    Of the requests ``waiting``, ``within_objective`` can still be in time.
    ``holders`` and ``loading`` count engines by data centre; ``crowded`` tells that the
    batches of all holders are full. ``batch`` is that of one engine; ``waited`` is how
    long the first request has waited. ``leaving`` tells that an engine holds it that
    leaves: what is asked for often is brought elsewhere before anyone waits for it.
    """

    key: WeightsKey
    rates: dict[str, float]
    waiting: int
    missed: float
    holders: dict[str, int]
    loading: dict[str, int]
    batch: int = 32
    crowded: bool = False
    within_objective: int = 0
    waited: Seconds = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """A load to be ordered, and the adapter that makes way for it."""

    engine: EndpointId
    key: WeightsKey
    victim: WeightsKey | None


Planner = Callable[
    [Sequence[EngineView], Sequence[RequestedAdapter], Seconds], list[Placement]
]
P = TypeVar("P", bound=Planner)
PLANNERS: Final[dict[str, Planner]] = {}


def register_planner(name: str) -> Callable[[P], P]:
    """Register a way to plan loads under a name."""

    def decorate(planner: P) -> P:
        PLANNERS[name] = planner
        return planner

    return decorate


def score_missing(requested: RequestedAdapter) -> float:
    """Return how much an adapter that no engine holds is missed."""
    too_late = requested.waiting - requested.within_objective
    waiting_score = WAITING_SCORE * requested.within_objective + LATE_SCORE * too_late
    return (
        MISSED_SCORE * requested.missed
        + waiting_score
        + RATE_SCORE * sum(requested.rates.values())
    )


def score_held(held: HeldAdapter) -> float:
    """Return how much an adapter on an engine would be missed there."""
    if held.holders > 1:
        return LOCAL_GAIN * held.local_rate * 10
    return RATE_SCORE * held.rate


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A load that would help: for which data centre, and how much."""

    key: WeightsKey
    data_centre: str | None
    score: float
    is_replica: bool
    can_wait: bool = False


def _list_missing(requested: Sequence[RequestedAdapter]) -> Iterator[_Candidate]:
    for each in requested:
        if sum(each.holders.values()) + sum(each.loading.values()):
            continue
        # What leaves is brought before anyone waits for it.
        if each.waiting or each.leaving:
            busiest = max(each.rates, key=lambda dc: each.rates[dc], default=None)
            yield _Candidate(
                each.key,
                busiest,
                score_missing(each),
                is_replica=False,
                can_wait=each.waited < HOLD_DURATION,
            )


def _list_replicas(requested: Sequence[RequestedAdapter]) -> Iterator[_Candidate]:
    for each in requested:
        holders = sum(each.holders.values()) + sum(each.loading.values())
        if not holders:
            continue
        if (
            each.crowded
            and not each.loading
            and sum(each.rates.values()) > MIN_CROWDED_RATE
        ):
            busiest = max(each.rates, key=lambda dc: each.rates[dc])
            score = CROWDED_SCORE * each.rates[busiest]
            yield _Candidate(each.key, busiest, score, is_replica=True)
            continue
        for data_centre, rate in each.rates.items():
            local_holders = each.holders.get(data_centre, 0) + each.loading.get(
                data_centre, 0
            )
            if not local_holders and rate > MIN_REPLICA_RATE:
                yield _Candidate(each.key, data_centre, LOCAL_GAIN * rate * 10, True)
            elif local_holders and rate > BATCH_SLOT_RATE * each.batch * local_holders:
                yield _Candidate(
                    each.key, data_centre, rate / (local_holders + 1), True
                )


def _list_evictable(engine: EngineView, now: Seconds) -> list[HeldAdapter]:
    """Return the adapters that may make way."""
    return [
        each for each in engine.held if now - each.since >= MIN_STAY and not each.in_use
    ]


def count_free_capacity(engine: EngineView, now: Seconds) -> int:
    """Return how many adapters that one request waits for an engine could take."""
    replaceable = [
        each
        for each in _list_evictable(engine, now)
        if score_held(each) * VICTIM_FACTOR < WAITING_SCORE
    ]
    return engine.free_places + len(replaceable)


def _choose_victim(engine: EngineView, now: Seconds) -> tuple[float, WeightsKey | None]:
    """Return what an engine's next place costs, and which adapter makes way."""
    if engine.free_places > 0:
        return 0.0, None
    evictable = _list_evictable(engine, now)
    if not evictable:
        return float("inf"), None
    victim = min(evictable, key=lambda each: (score_held(each), each.since))
    return score_held(victim), victim.key


@dataclass(frozen=True, slots=True)
class _Offer:
    """An engine, what its next place costs, and which adapter makes way there."""

    engine: EngineView
    cost: float
    victim: WeightsKey | None


def predict_delay(engine: EngineView, candidate: _Candidate) -> Seconds:
    """Return how late requests would begin on an engine, after the adapter's load."""
    delay = max(0.0, engine.prefill_time * engine.unread - engine.load_time)
    delay += BATCH_PENALTY * engine.running / max(1, engine.batch)
    if engine.data_centre != candidate.data_centre:
        delay += REMOTE_PENALTY
    if candidate.key in engine.warm:
        delay -= WARM_GAIN
    return delay


def _can_load(candidate: _Candidate, engine: EngineView, *, busy: bool) -> bool:
    """Tell whether an adapter could come to an engine, now or after a short wait."""
    warm = candidate.key in engine.warm
    if not warm and (busy or not engine.ready_for_cold):
        return False
    if busy and not candidate.can_wait:
        return False
    if candidate.is_replica and engine.data_centre != candidate.data_centre:
        return False
    return all(each.key != candidate.key for each in engine.held)


def _choose_engine(
    candidate: _Candidate, offers: Sequence[_Offer], assigned: Container[EndpointId]
) -> Placement | None:
    """Return the load of least cost; none also where a copy is worth a short wait.

    Engines that are ``assigned`` a load already are as busy as those that are not able.
    """
    best: tuple[float, bool, _Offer] | None = None
    for offer in offers:
        engine = offer.engine
        busy = not engine.ready or engine.id in assigned
        if offer.cost * VICTIM_FACTOR >= candidate.score:
            continue
        if not _can_load(candidate, engine, busy=busy):
            continue
        cost = VICTIM_COST_TIME * offer.cost + predict_delay(engine, candidate)
        if busy:
            cost += BUSY_DELAY
        if best is None or cost < best[0]:
            best = (cost, busy, offer)
    if best is None:
        return None
    _, busy, offer = best
    return None if busy else Placement(offer.engine.id, candidate.key, offer.victim)


@register_planner("most-missed-first")
def plan_most_missed_first(
    engines: Sequence[EngineView],
    requested: Sequence[RequestedAdapter],
    now: Seconds,
) -> list[Placement]:
    """Return the next loads: adapters that are missed first, then copies.

    An engine is given one at a time.
    """
    candidates = sorted(_list_missing(requested), key=lambda each: -each.score)
    replicas = sorted(_list_replicas(requested), key=lambda each: -each.score)
    candidates.extend(replicas[:MAX_REPLICAS_PER_ROUND])
    offers = [_Offer(each, *_choose_victim(each, now)) for each in engines]
    planned: dict[EndpointId, Placement] = {}
    for candidate in candidates:
        placement = _choose_engine(candidate, offers, planned)
        if placement is not None:
            planned[placement.engine] = placement
    return list(planned.values())
