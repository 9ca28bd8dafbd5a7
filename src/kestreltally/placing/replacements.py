"""Decides when an engine replaces its older version of an adapter.

An engine that replaces an adapter waits for its runs and rejects new requests for it
until the newer version is loaded. So at most half of the holders replace it at a time,
in an order that is the same for all leaders.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final
from zlib import crc32

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import EndpointId, Seconds, ServiceName, WeightsKey
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.enginestate import EngineState

LOG = logging.getLogger("kestreltally.replacements")

# For at most this time a holder waits for others, or yields to loads for which requests
# wait.
MAX_DELAY: Final[Seconds] = 2.0


class Reason(IntEnum):
    """Why an older version is replaced now, the most urgent reason first."""

    NOT_USABLE = 1
    ALONE = 2
    OVERDUE = 3
    TURN = 4
    RELIEVED = 5


@dataclass(frozen=True, slots=True)
class OutdatedAdapter:
    """An adapter that an engine holds in an older version than the newest.

    ``older`` and ``newer`` are the engines that can serve an older and the newest
    version, ``loading`` those that load the adapter. ``waited`` is the time since the
    leader found it outdated.
    """

    key: WeightsKey
    held: int
    newest: int
    waited: Seconds = 0.0
    older: frozenset[EndpointId] = frozenset()
    newer: frozenset[EndpointId] = frozenset()
    loading: frozenset[EndpointId] = frozenset()

    @property
    def holders(self) -> int:
        """Return how many engines serve the adapter or load it."""
        return len(self.older | self.newer | self.loading)


@dataclass(frozen=True, slots=True)
class Replacement:
    """An older version that is to be replaced, and the reason."""

    adapter: OutdatedAdapter
    reason: Reason


def choose_replacement(
    engine: EndpointId, outdated: Iterable[OutdatedAdapter], *, yields: bool = False
) -> Replacement | None:
    """Return what an engine is to replace now, None if it has to wait.

    With ``yields``, what other engines serve in the newest version has to wait.
    """
    due = [
        Replacement(each, reason)
        for each in outdated
        if (reason := assess(engine, each)) is not None
        and not (yields and reason is Reason.RELIEVED and each.waited < MAX_DELAY)
    ]
    return min(due, key=_rank, default=None)


def _rank(replacement: Replacement) -> tuple[Reason, Seconds, WeightsKey]:
    adapter = replacement.adapter
    return replacement.reason, -adapter.waited, adapter.key


def assess(engine: EndpointId, adapter: OutdatedAdapter) -> Reason | None:
    """Return why an engine may replace an adapter now, None if it has to serve it."""
    if engine not in adapter.older:
        return Reason.RELIEVED if adapter.newer else Reason.NOT_USABLE
    if not (adapter.older | adapter.newer | adapter.loading) - {engine}:
        return Reason.ALONE
    if adapter.waited >= MAX_DELAY:
        return Reason.OVERDUE
    before = [e for e in adapter.older if _order(adapter, e) < _order(adapter, engine)]
    absent = len(before) + len(adapter.loading - {engine})
    if absent >= max(1, adapter.holders // 2):
        return None
    return Reason.RELIEVED if adapter.newer else Reason.TURN


def _order(adapter: OutdatedAdapter, engine: EndpointId) -> tuple[int, EndpointId]:
    """Return the place of an engine among the holders, another for each adapter."""
    return crc32(f"{adapter.key} {engine}".encode()), engine


def log_replacement(engine: EndpointId, replacement: Replacement) -> None:
    """Log that an engine replaces an older version, and why now."""
    adapter = replacement.adapter
    log_decision(
        LOG,
        Decision.VERSION_REPLACED,
        endpoint=engine,
        weights=str(adapter.key),
        held=adapter.held,
        newest=adapter.newest,
        reason=replacement.reason.name.lower(),
        waited=round(adapter.waited, 3),
        older=len(adapter.older),
        newer=len(adapter.newer),
    )


@dataclass(frozen=True, slots=True)
class _Holders:
    """The engines that can serve an adapter, by version, and those that load it."""

    usable: dict[EndpointId, int]
    loading: frozenset[EndpointId]


@dataclass(slots=True)
class OutdatedTable:
    """Adapters that engines hold in older versions, and since when this is known.

    All engines are looked at once for each adapter in a round, which ``update`` begins.
    """

    fleet: Fleet
    _found_at: dict[tuple[WeightsKey, int], Seconds] = field(default_factory=dict)
    _holders: dict[tuple[ServiceName, WeightsKey], _Holders] = field(
        default_factory=dict
    )

    def list_outdated(self, state: EngineState) -> list[WeightsKey]:
        """Return the weights of which an engine holds an older version."""
        return [
            key
            for key, version in state.weights.items()
            if self._is_outdated(key, version) and key not in state.pending_loads
        ]

    def _is_outdated(self, key: WeightsKey, version: int) -> bool:
        return version < (self.fleet.get_newest_version(key) or 0)

    def update(self, engines: Iterable[EngineState], now: Seconds) -> None:
        """Begin a round; record since when engines hold older versions of adapters."""
        self._holders.clear()
        outdated = {
            (key, self.fleet.get_newest_version(key) or 0)
            for state in engines
            for key, version in state.weights.items()
            if key.adapter and self._is_outdated(key, version)
        }
        self._found_at = {each: self._found_at.get(each, now) for each in outdated}

    def choose(
        self, state: EngineState, now: Seconds, *, yields: bool
    ) -> Replacement | None:
        """Return what an engine is to replace now, None if nothing."""
        outdated = [
            self.describe(state.endpoint.service, key, state.weights[key], now)
            for key in self.list_outdated(state)
            if key.adapter
        ]
        return choose_replacement(state.endpoint.id, outdated, yields=yields)

    def describe(
        self, service: ServiceName, key: WeightsKey, held: int, now: Seconds
    ) -> OutdatedAdapter:
        """Return the state of an outdated adapter in the fleet."""
        newest = self.fleet.get_newest_version(key) or held
        holders = self._get_holders(service, key, now)
        newer = frozenset(n for n, number in holders.usable.items() if number >= newest)
        return OutdatedAdapter(
            key=key,
            held=held,
            newest=newest,
            waited=now - self._found_at.get((key, newest), now),
            older=frozenset(holders.usable) - newer,
            newer=newer,
            loading=holders.loading,
        )

    def _get_holders(
        self, service: ServiceName, key: WeightsKey, now: Seconds
    ) -> _Holders:
        """Return the holders of an adapter, looked up once in each round."""
        found = self._holders.get((service, key))
        if found is None:
            found = self._holders[(service, key)] = self._find_holders(
                service, key, now
            )
        return found

    def _find_holders(
        self, service: ServiceName, key: WeightsKey, now: Seconds
    ) -> _Holders:
        engines = [
            each
            for each in self.fleet.endpoints.values()
            if each.service == service and not each.leaving and not each.quarantined
        ]
        return _Holders(
            usable={
                each.id: each.weights[key]
                for each in engines
                if key in each.weights and not self.fleet.is_outdated(each, key, now)
            },
            loading=frozenset(each.id for each in engines if key in each.loading),
        )
