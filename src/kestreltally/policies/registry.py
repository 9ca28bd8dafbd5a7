"""Placement policies: where a request goes, and which slot makes room.

A policy is a pure function of what it is shown. Decorators fill the registries,
and the settings choose by name.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, TypeVar

from kestreltally.entities.ids import AdapterVersion, EndpointId, Seconds


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint at which a request could run, as an entry daemon sees it.

    ``rank`` is its place by rendezvous hashing for the adapter; ``remote`` says that it
    is in another data centre.
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
    """An adapter in a slot, as the leader sees it."""

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
    """Register what chooses the endpoint under a policy's name."""

    def register(chooser: C) -> C:
        CHOOSERS[name] = chooser
        return chooser

    return register


def chooses_victim(*names: str) -> Callable[[E], E]:
    """Register what chooses the slot that makes room, under policies' names."""

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
