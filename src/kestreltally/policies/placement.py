"""The product's placement policy and the baselines that it is measured against."""

from collections.abc import Sequence
from random import Random
from typing import Final

from kestreltally.entities.ids import Seconds
from kestreltally.policies.registry import (
    Candidate,
    Resident,
    chooses_endpoint,
    chooses_victim,
)

AFFINITY: Final = "affinity"
RANDOM_LRU: Final = "random_lru"
RENDEZVOUS_LRU: Final = "rendezvous_lru"
LEAST_LOADED_LRU: Final = "least_loaded_lru"
KEEP_RATIO: Final = 1.5
LOAD_COST_IN_BATCHES: Final = 2.0
FAR_COST_IN_BATCHES: Final = 0.05
RANK_COST_IN_BATCHES: Final = 0.3


def _fullness(candidate: Candidate) -> float:
    return (candidate.occupied + candidate.queued) / candidate.batch_limit


@chooses_endpoint(AFFINITY)
def choose_by_affinity(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return where the adapter is held, unless waiting there costs more than a load.

    All costs are counted in batches of work: a load is worth waiting for the
    places of ``LOAD_COST_IN_BATCHES`` batches. Of the endpoints that would have
    to load, the few homes of the adapter come first, so that all entry daemons
    meet at the same ones without speaking to each other.
    """

    def cost(candidate: Candidate) -> float:
        waiting = max(0.0, _fullness(candidate) - 0.5)
        load = 0.0 if candidate.loaded else LOAD_COST_IN_BATCHES
        beyond_home = max(0, candidate.rank - homes + 1) * RANK_COST_IN_BATCHES
        rank = 0.0 if candidate.loaded else beyond_home + candidate.rank * 0.01
        far = FAR_COST_IN_BATCHES if candidate.far else 0.0
        held = -0.5 if candidate.has_permit else 0.0
        return waiting + load + rank + far + held

    return min(candidates, key=lambda each: (cost(each), each.rank))


@chooses_victim(AFFINITY)
def evict_least_wanted(
    residents: Sequence[Resident],
    gain: float,
    now: Seconds,
) -> Resident | None:
    """Return the resident with the least demand, if the newcomer has clearly more.

    The ratio keeps two adapters of like demand from evicting each other in turn.
    """
    idle = [each for each in residents if not each.pinned and each.waiting == 0]
    if not idle:
        return None
    least = min(idle, key=lambda each: (each.demand, each.used_at))
    return least if gain * KEEP_RATIO >= least.demand else None


@chooses_endpoint(RANDOM_LRU)
def choose_at_random(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return any candidate."""
    return random.choice(candidates)


@chooses_endpoint(RENDEZVOUS_LRU)
def choose_first_ranked(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return the first by rendezvous hashing."""
    return min(candidates, key=lambda each: each.rank)


@chooses_endpoint(LEAST_LOADED_LRU)
def choose_least_loaded(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return the least full candidate, of equals one that holds the adapter."""
    return min(
        candidates,
        key=lambda each: (_fullness(each), not each.loaded, random.random()),
    )


@chooses_victim(RANDOM_LRU, RENDEZVOUS_LRU, LEAST_LOADED_LRU)
def evict_least_recent(
    residents: Sequence[Resident],
    gain: float,
    now: Seconds,
) -> Resident | None:
    """Return the resident whose last use is longest ago."""
    free = [each for each in residents if not each.pinned]
    return min(free, key=lambda each: each.used_at, default=None)
