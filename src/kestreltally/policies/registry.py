"""Placement policies: where a request runs, and which slot is evicted.

A policy is a pure function of its arguments. Decorators register the policies, and the
settings choose one by name.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, TypeVar

from kestreltally.entities.ids import AdapterVersion, EndpointId, Seconds


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint on which a request could run, as seen by an entry daemon.

    ``rank`` is its position in the rendezvous hashing order for the adapter; ``remote``
    is set if it is in another data centre.
    """

    endpoint: EndpointId
    rank: int
    loaded: bool
    occupied: int
    queued: int
    batch_limit: int
    remote: bool


@dataclass(frozen=True, slots=True)
class Resident:
    """An adapter in a slot, as seen by the leader."""

    adapter: AdapterVersion
    used_at: Seconds
    demand: float
    pinned: bool
    waiting: int


Chooser = Callable[[Sequence[Candidate], int, Random], Candidate]
Evicter = Callable[[Sequence[Resident], float, Seconds], Resident | None]
C = TypeVar("C", bound=Chooser)
E = TypeVar("E", bound=Evicter)

CHOOSERS: Final[dict[str, Chooser]] = {}
EVICTERS: Final[dict[str, Evicter]] = {}


class UnknownPolicy(ValueError):
    """No policy has that name."""


def chooses_endpoint(name: str) -> Callable[[C], C]:
    """Register a function that chooses the endpoint, under a policy's name."""

    def register(chooser: C) -> C:
        CHOOSERS[name] = chooser
        return chooser

    return register


def chooses_victim(*names: str) -> Callable[[E], E]:
    """Register a function that chooses the slot to evict, under policies' names."""

    def register(evicter: E) -> E:
        for name in names:
            EVICTERS[name] = evicter
        return evicter

    return register


def require_policy(name: str) -> None:
    """Raise ``UnknownPolicy`` unless both halves of the policy are registered."""
    if name not in CHOOSERS or name not in EVICTERS:
        known = ", ".join(sorted(set(CHOOSERS) & set(EVICTERS)))
        raise UnknownPolicy(f"placement.policy = {name!r}: allowed are {known}")
