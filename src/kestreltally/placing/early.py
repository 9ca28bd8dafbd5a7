"""Loads ahead of demand: what a place is worth, and which adapters get another one.

The score of a place is the number of requests per second that would be worse off
without it. For an adapter's only holder these are all of its requests. For a further
holder they are those that find a shorter queue of prompts, which shrinks with each
holder, and a part of those that would go to another data centre. So all places are
compared by one measure, and an adapter gets further holders as long as each is worth
more than the least valuable place.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.placing.planner import (
    MAX_COPY_WAIT,
    MIN_SATURATED_RATE,
    SATURATED_SCORE,
    place,
    register_planner,
    score_missing,
)
from kestreltally.placing.plans import (
    Candidate,
    EngineView,
    Placement,
    RequestedAdapter,
)

# The part of a request's value that a holder in its own data centre saves: the cost of
# the traffic, relative to the cost of a load and the wait for it.
LOCAL_VALUE: Final = 0.8
# The part of the requests that a further holder saves from being late, per fraction of
# an engine's time by which it relieves each other holder.
RELIEF_VALUE: Final = 1.5
# Prompts that keep each holder busy for less than this fraction of its time queue
# there for other reasons.
MIN_READING: Final = 0.8
# A further holder must be worth its own load and that of an adapter which it evicts,
# together 0.8 of a request. It has to earn that within a second, because demand may
# shift soon.
MIN_FURTHER_SCORE: Final = 0.8
# An adapter without a holder that is expected this often is loaded before it is
# requested: the next request would probably wait for the whole load.
MIN_EARLY_RATE: Final = 1.0
# Adapters without waiting requests and at most this rate are not planned for.
MIN_PLANNED_RATE: Final = 0.25
# After a short wait, the score of a waiting request grows by itself in each wait time,
# so that a rare adapter is passed over for a bounded time: after three seconds it
# displaces one requested three times a second. Before, adapters for which most requests
# wait come first: that serves more requests.
SHORT_WAIT: Final[Seconds] = 1.0
WAIT_TIME: Final[Seconds] = 0.5
# Prompts that take longer than this interrupt streams noticeably: a caller sees a pause
# of several tokens.
LONG_PREFILL_TIME: Final[Seconds] = 0.05
# Loads ahead of demand start only while there are fewer loads than engines, so that an
# engine's other loads and the store's speed are left to requests that wait.
MAX_EARLY_LOADS: Final = 2
# With a smaller fraction of places to spare, a further holder must be worth more, in
# proportion: requests soon wait for a place.
AMPLE_SPARE: Final = 0.5
MIN_SPARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class Usage:
    """The expected use of an adapter, seen from one data centre.

    ``rate`` and ``local_rate`` are requests per second. ``reading`` is the time that
    engines process the local requests' prompts, as a fraction of one engine's time.
    """

    rate: float
    local_rate: float
    reading: float


def measure_relief(usage: Usage, holders: int) -> float:
    """Return the score of adding a holder to some, as far as prompts queue there."""
    if usage.reading < MIN_READING * holders:
        return 0.0
    relief = usage.reading / holders - usage.reading / (holders + 1)
    return RELIEF_VALUE * usage.local_rate * min(1.0, relief)


def measure_holder(usage: Usage, others: int, local_others: int) -> float:
    """Return the score of a holder beside others, of them some in its data centre."""
    if not others:
        return usage.rate
    if local_others:
        return measure_relief(usage, local_others)
    return LOCAL_VALUE * usage.local_rate + measure_relief(usage, others)


def _is_long(requested: RequestedAdapter) -> bool | None:
    """Return whether the prompts take long to process, None if unknown."""
    if not requested.prefill_time:
        return None
    return requested.prefill_time > LONG_PREFILL_TIME


def _count(requested: RequestedAdapter) -> int:
    return sum(requested.holders.values()) + sum(requested.loading.values())


def list_missing(requested: Sequence[RequestedAdapter]) -> Iterator[Candidate]:
    """Return the adapters without a holder that are requested, or will be soon."""
    for each in requested:
        if _count(each):
            continue
        expected = sum(each.forecasts.values())
        if not (each.waiting or each.leaving or expected > MIN_EARLY_RATE):
            continue
        score = score_missing(each)
        if each.waiting:
            score *= 1.0 + max(0.0, each.waited - SHORT_WAIT) / WAIT_TIME
        rates = each.forecasts or each.rates
        yield Candidate(
            each.key,
            max(rates, key=lambda dc: rates[dc], default=None),
            score,
            is_replica=False,
            can_wait=bool(each.waiting) and each.waited < MAX_COPY_WAIT,
            long_prompts=_is_long(each),
            ahead=not each.waiting,
        )


def list_further(requested: Sequence[RequestedAdapter]) -> Iterator[Candidate]:
    """Return the adapters for which a further holder is worth its load."""
    for each in requested:
        others = _count(each)
        if not others:
            continue
        for data_centre, rate in each.forecasts.items():
            local = each.holders.get(data_centre, 0) + each.loading.get(data_centre, 0)
            usage = Usage(rate, rate, rate * each.prefill_time)
            score = measure_holder(usage, others, local)
            if each.saturated and not each.loading and rate > MIN_SATURATED_RATE:
                score = max(score, SATURATED_SCORE * rate)
            if score > MIN_FURTHER_SCORE:
                yield Candidate(
                    each.key,
                    data_centre,
                    score,
                    is_replica=True,
                    long_prompts=_is_long(each),
                    ahead=True,
                )


def measure_spare(engines: Sequence[EngineView]) -> float:
    """Return the fraction of places that are free or not in use, above zero."""
    free = sum(each.free_places for each in engines)
    in_use = sum(1 for each in engines for held in each.held if held.in_use)
    unused = sum(len(each.held) for each in engines) - in_use
    return max(MIN_SPARE, (free + unused) / max(1, free + unused + in_use))


@register_planner("early-loads")
def plan_early_loads(
    engines: Sequence[EngineView],
    requested: Sequence[RequestedAdapter],
    now: Seconds,
) -> list[Placement]:
    """Return the next loads: missing adapters, then further holders ahead of demand."""
    candidates = sorted(list_missing(requested), key=lambda each: -each.score)
    if sum(each.pending for each in engines) < len(engines):
        min_score = MIN_FURTHER_SCORE * max(1.0, AMPLE_SPARE / measure_spare(engines))
        reached = {each.data_centre for each in engines}
        further = sorted(
            (
                each
                for each in list_further(requested)
                if each.score > min_score and each.data_centre in reached
            ),
            key=lambda each: -each.score,
        )
        candidates.extend(further[:MAX_EARLY_LOADS])
    return place(candidates, engines, now)
