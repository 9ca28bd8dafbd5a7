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
WAITING_WORTH: Final = 1.0
# One that can no longer be answered within its objective is worth less to its caller.
LATE_WORTH: Final = 0.3
MISSED_WORTH: Final = 0.5
RATE_WORTH: Final[Seconds] = 1.0
# A newcomer must be worth this much more than what makes way for it, or two adapters
# would take turns.
VICTIM_FACTOR: Final = 1.5
# An adapter stays this long at least, also once those who waited for it have used it:
# what leaves sooner is asked for again.
STAY_LEAST: Final[Seconds] = 1.0
# What one request costs less when it is served in its own data centre, in parts of a
# request: the price of its bytes between data centres.
NEAR_GAIN: Final = 0.12
# A copy pays when it spares the price of its load (0.7 of a request) within 10 s.
COPY_RATE: Final = 0.7
# A place of a batch serves about this many requests a second of one adapter while the
# batch has room for others (14 a second at a batch of 32).
PLACE_RATE: Final = 0.44
# What a copy is worth more, in parts of a request a second, where every engine that
# holds the adapter has a full batch: requests there wait for others to end.
CROWDED_WORTH: Final = 2.0
# An adapter asked for less often than this is not what crowds its engines.
CROWDED_RATE: Final = 0.5
# A load from an engine's own copy costs no load from the weight store, whose price is
# some third of a request.
WARM_GAIN: Final[Seconds] = 0.5
# An engine with a copy that is just given another order is free for the next after some
# 10 to 100 ms; a load from the store takes longer. Until then the adapter is held back,
# as long as such a load takes.
BUSY_TIME: Final[Seconds] = 0.1
HOLD_FOR: Final[Seconds] = 0.25
# What makes way will be asked for again: a load for each request a second.
VICTIM_TIME: Final[Seconds] = 0.5
# What nobody waits for and is asked for no more often than this is not planned for.
LEAST_RATE: Final = min(COPY_RATE, CROWDED_RATE)
# Copies are brought a few at a time, behind the adapters that nobody has.
COPIES_AT_ONCE: Final = 2


@dataclass(frozen=True, slots=True)
class HeldAdapter:
    """An adapter on an engine; ``rate`` is its whole demand, ``near`` that part from
    the engine's data centre, ``holders`` the engines that hold it."""

    key: WeightsKey
    since: Seconds
    rate: float
    near: float
    holders: int
    in_use: bool


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine that may take a load, now if ``able``.

    ``able_cold`` tells the same of a load from the weight store.
    ``unread`` are the tokens that it has yet to read, also for the adapters on their
    way; ``pace`` is the time that one takes, ``load_time`` that of a load.
    """

    id: EndpointId
    data_centre: str
    free: int
    held: tuple[HeldAdapter, ...]
    warm: frozenset[WeightsKey]
    running: int
    batch: int
    unread: int = 0
    pace: Seconds = 0.0
    load_time: Seconds = 0.25
    able: bool = True
    able_cold: bool = True


@dataclass(frozen=True, slots=True)
class Wanted:
    """An adapter that is asked for.

    Of the requests ``waiting``, ``timely`` can still be in time.
    ``holders`` and ``coming`` count engines by data centre; ``crowded`` tells that the
    batches of all holders are full. ``batch`` is that of one engine; ``waited`` is how
    long the first request has waited. ``leaving`` tells that an engine holds it that
    leaves: what is asked for often is brought elsewhere before anyone waits for it.
    """

    key: WeightsKey
    rates: dict[str, float]
    waiting: int
    missed: float
    holders: dict[str, int]
    coming: dict[str, int]
    batch: int = 32
    crowded: bool = False
    timely: int = 0
    waited: Seconds = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """A load to be ordered, and the adapter that makes way for it."""

    engine: EndpointId
    key: WeightsKey
    victim: WeightsKey | None


Planner = Callable[[Sequence[EngineView], Sequence[Wanted], Seconds], list[Placement]]
P = TypeVar("P", bound=Planner)
PLANNERS: Final[dict[str, Planner]] = {}


def plans_places(name: str) -> Callable[[P], P]:
    """Register a way to plan loads under a name."""

    def register(planner: P) -> P:
        PLANNERS[name] = planner
        return planner

    return register


def score_missing(wanted: Wanted) -> float:
    """Return how much an adapter that no engine holds is missed."""
    late = wanted.waiting - wanted.timely
    waits = WAITING_WORTH * wanted.timely + LATE_WORTH * late
    return (
        MISSED_WORTH * wanted.missed + waits + RATE_WORTH * sum(wanted.rates.values())
    )


def score_held(held: HeldAdapter) -> float:
    """Return how much an adapter on an engine would be missed there."""
    if held.holders > 1:
        return NEAR_GAIN * held.near * 10
    return RATE_WORTH * held.rate


@dataclass(frozen=True, slots=True)
class _Want:
    """A load that would help: for which data centre, and how much."""

    key: WeightsKey
    data_centre: str | None
    score: float
    is_copy: bool
    may_hold: bool = False


def _list_missing(wanted: Sequence[Wanted]) -> Iterator[_Want]:
    for each in wanted:
        if sum(each.holders.values()) + sum(each.coming.values()):
            continue
        # What leaves is brought before anyone waits for it.
        if each.waiting or each.leaving:
            busiest = max(each.rates, key=lambda dc: each.rates[dc], default=None)
            yield _Want(
                each.key,
                busiest,
                score_missing(each),
                is_copy=False,
                may_hold=each.waited < HOLD_FOR,
            )


def _list_copies(wanted: Sequence[Wanted]) -> Iterator[_Want]:
    for each in wanted:
        holders = sum(each.holders.values()) + sum(each.coming.values())
        if not holders:
            continue
        if each.crowded and not each.coming and sum(each.rates.values()) > CROWDED_RATE:
            busiest = max(each.rates, key=lambda dc: each.rates[dc])
            worth = CROWDED_WORTH * each.rates[busiest]
            yield _Want(each.key, busiest, worth, is_copy=True)
            continue
        for data_centre, rate in each.rates.items():
            near = each.holders.get(data_centre, 0) + each.coming.get(data_centre, 0)
            if not near and rate > COPY_RATE:
                yield _Want(each.key, data_centre, NEAR_GAIN * rate * 10, True)
            elif near and rate > PLACE_RATE * each.batch * near:
                yield _Want(each.key, data_centre, rate / (near + 1), True)


def _list_settled(engine: EngineView, now: Seconds) -> list[HeldAdapter]:
    """Return the adapters that may make way."""
    return [
        each
        for each in engine.held
        if now - each.since >= STAY_LEAST and not each.in_use
    ]


def count_room(engine: EngineView, now: Seconds) -> int:
    """Return how many adapters that one request waits for an engine could take."""
    weak = [
        each
        for each in _list_settled(engine, now)
        if score_held(each) * VICTIM_FACTOR < WAITING_WORTH
    ]
    return engine.free + len(weak)


def _choose_victim(engine: EngineView, now: Seconds) -> tuple[float, WeightsKey | None]:
    """Return what an engine's next place costs, and which adapter makes way."""
    if engine.free > 0:
        return 0.0, None
    settled = _list_settled(engine, now)
    if not settled:
        return float("inf"), None
    victim = min(settled, key=lambda each: (score_held(each), each.since))
    return score_held(victim), victim.key


@dataclass(frozen=True, slots=True)
class _Offer:
    """An engine, what its next place costs, and which adapter makes way there."""

    engine: EngineView
    cost: float
    victim: WeightsKey | None


def predict_delay(engine: EngineView, want: _Want) -> Seconds:
    """Return how late requests would begin on an engine, after the adapter's load."""
    delay = max(0.0, engine.pace * engine.unread - engine.load_time)
    delay += BATCH_PENALTY * engine.running / max(1, engine.batch)
    if engine.data_centre != want.data_centre:
        delay += REMOTE_PENALTY
    if want.key in engine.warm:
        delay -= WARM_GAIN
    return delay


def _may_come(want: _Want, engine: EngineView, *, busy: bool) -> bool:
    """Tell whether an adapter could come to an engine, now or after a short wait."""
    warm = want.key in engine.warm
    if not warm and (busy or not engine.able_cold):
        return False
    if busy and not want.may_hold:
        return False
    if want.is_copy and engine.data_centre != want.data_centre:
        return False
    return all(each.key != want.key for each in engine.held)


def _choose_engine(
    want: _Want, offers: Sequence[_Offer], given: Container[EndpointId]
) -> Placement | None:
    """Return the load of least cost; none also where a copy is worth a short wait.

    Engines that are ``given`` a load already are as busy as those that are not able.
    """
    best: tuple[float, bool, _Offer] | None = None
    for offer in offers:
        engine = offer.engine
        busy = not engine.able or engine.id in given
        if offer.cost * VICTIM_FACTOR >= want.score:
            continue
        if not _may_come(want, engine, busy=busy):
            continue
        cost = VICTIM_TIME * offer.cost + predict_delay(engine, want)
        if busy:
            cost += BUSY_TIME
        if best is None or cost < best[0]:
            best = (cost, busy, offer)
    if best is None:
        return None
    _, busy, offer = best
    return None if busy else Placement(offer.engine.id, want.key, offer.victim)


@plans_places("most-missed-first")
def plan_most_missed_first(
    engines: Sequence[EngineView],
    wanted: Sequence[Wanted],
    now: Seconds,
) -> list[Placement]:
    """Return the next loads: adapters that are missed first, then copies.

    An engine is given one at a time.
    """
    wants = sorted(_list_missing(wanted), key=lambda each: -each.score)
    copies = sorted(_list_copies(wanted), key=lambda each: -each.score)
    wants.extend(copies[:COPIES_AT_ONCE])
    offers = [_Offer(each, *_choose_victim(each, now)) for each in engines]
    planned: dict[EndpointId, Placement] = {}
    for want in wants:
        placement = _choose_engine(want, offers, planned)
        if placement is not None:
            planned[placement.engine] = placement
    return list(planned.values())
