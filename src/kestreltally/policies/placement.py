"""The product's placement policy, and baselines for comparison."""

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
EVICTION_DEMAND_RATIO: Final = 0.5
REPLICATION_THRESHOLD_BATCHES: Final = 8.0


def _occupancy(candidate: Candidate) -> float:
    return (candidate.occupied + candidate.queued) / candidate.batch_limit


@chooses_endpoint(AFFINITY)
def choose_by_affinity(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return an endpoint that holds the adapter, or else the adapter's first home.

    The few homes of an adapter are its highest-ranked endpoints by rendezvous hashing,
    so all entry daemons choose the same ones without communicating. Another home loads
    the adapter only if more than ``REPLICATION_THRESHOLD_BATCHES`` batches are running
    and waiting where it is held: an unnecessary load takes bandwidth of the weight
    store from all waiting requests.
    """
    holders = [each for each in candidates if each.loaded]
    others = [each for each in candidates if not each.loaded and each.rank < homes]
    if holders:
        least_occupied = min(
            holders, key=lambda each: (_occupancy(each), each.remote, each.rank)
        )
        if not others or _occupancy(least_occupied) < REPLICATION_THRESHOLD_BATCHES:
            return least_occupied
    return min(others or candidates, key=lambda each: each.rank)


@chooses_victim(AFFINITY)
def evict_least_demanded(
    residents: Sequence[Resident],
    incoming_demand: float,
    now: Seconds,
) -> Resident | None:
    """Return the resident with the least demand, if the new adapter has clearly more.

    The ratio prevents two adapters of similar demand from evicting each other in turn.
    """
    idle = [each for each in residents if not each.pinned and each.waiting == 0]
    if not idle:
        return None
    least = min(idle, key=lambda each: (each.demand, each.used_at))
    return least if incoming_demand * EVICTION_DEMAND_RATIO >= least.demand else None


@chooses_endpoint(RANDOM_LRU)
def choose_at_random(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return a random candidate."""
    return random.choice(candidates)


@chooses_endpoint(RENDEZVOUS_LRU)
def choose_first_ranked(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return the highest-ranked candidate by rendezvous hashing."""
    return min(candidates, key=lambda each: each.rank)


@chooses_endpoint(LEAST_LOADED_LRU)
def choose_least_loaded(
    candidates: Sequence[Candidate],
    homes: int,
    random: Random,
) -> Candidate:
    """Return the least occupied candidate; prefer one that holds the adapter."""
    return min(
        candidates,
        key=lambda each: (_occupancy(each), not each.loaded, random.random()),
    )


@chooses_victim(RANDOM_LRU, RENDEZVOUS_LRU, LEAST_LOADED_LRU)
def evict_least_recent(
    residents: Sequence[Resident],
    incoming_demand: float,
    now: Seconds,
) -> Resident | None:
    """Return the least recently used resident."""
    free = [each for each in residents if not each.pinned]
    return min(free, key=lambda each: each.used_at, default=None)
