"""The leader's state of each engine: weights held, pending loads and unloads."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Final

from kestreltally.fleet.model import (
    Endpoint,
    EngineSpec,
    Seconds,
    WeightsKey,
    is_other_incarnation,
)
from kestreltally.platform.engines import EngineReport

# An engine that leaves this many calls in a row unanswered is considered down.
MAX_UNANSWERED_CALLS: Final = 2
# An unload waits for the runs that use the adapter, which last some seconds.
UNLOAD_TIMEOUT: Final[Seconds] = 8.0


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """A load that an engine has accepted, with its order count just afterwards."""

    sequence: int
    ordered_at: Seconds


@dataclass(frozen=True, slots=True)
class PendingUnload:
    """An unload that was ordered, and the engine's order count once it is accepted."""

    sequence: int
    ordered_at: Seconds


@dataclass(slots=True)
class EngineState:
    """What the leader knows of one engine from its orders and the engine's reports.

    ``sequence`` is the engine's last known order count; None means that a report is
    required before the next order. A place counts as occupied until it is known to be
    free. ``polled_loads`` are those whose end some task polls; the end of others, which
    only reports have shown, is known from further reports.

    An engine that replaces an older version of an adapter waits for the runs of that
    one. Until it is done, it accepts no other order, and its reports say that an order
    is under way but don't list the adapter as loading.
    """

    endpoint: Endpoint
    weights: dict[WeightsKey, int] = field(default_factory=dict)
    held_since: dict[WeightsKey, Seconds] = field(default_factory=dict)
    pending_loads: dict[WeightsKey, PendingLoad] = field(default_factory=dict)
    pending_unloads: dict[WeightsKey, PendingUnload] = field(default_factory=dict)
    polled_loads: set[WeightsKey] = field(default_factory=set)
    sequence: int | None = None
    busy: bool = False
    order_under_way: bool = False
    failing_until: Seconds = 0.0
    unanswered_calls: int = 0
    quarantined: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    read_at: Seconds = 0.0
    ordered_at: Seconds = 0.0

    def apply_report(self, report: EngineReport, now: Seconds) -> None:
        """Apply a report; one older than the last order only confirms loads.

        A report of an earlier incarnation of the engine is ignored: its order counts
        are not comparable.
        """
        self.read_at = now
        if is_other_incarnation(self.endpoint.start_time_ms, report.start_time_ms):
            if report.start_time_ms < self.endpoint.start_time_ms:
                return
            self.start_incarnation(report.start_time_ms)
        self.unanswered_calls = 0
        if self.sequence is not None and report.sequence < self.sequence:
            self._confirm_loads(report, now)
            return
        self.sequence = report.sequence
        loading = {
            key: self.pending_loads.get(key, PendingLoad(report.sequence, now))
            for key in report.loading
        }
        unlisted = {
            key: load
            for key, load in self.pending_loads.items()
            if self._is_unlisted(key, report)
        }
        self.pending_loads = loading | unlisted
        self.weights = dict(report.weights)
        self.order_under_way = report.busy
        self._prune_pending_unloads(report, now)
        self.held_since = {k: self.held_since.get(k, now) for k in report.weights}

    def _is_unlisted(self, key: WeightsKey, report: EngineReport) -> bool:
        """Return whether a pending load is under way although a report omits it.

        Reports don't list a base model that is loading, or an adapter being replaced.
        """
        if not key.adapter:
            return key not in report.weights
        return (
            report.busy
            and self.is_replacement(key)
            and report.weights.get(key) == self.weights[key]
        )

    def is_replacement(self, key: WeightsKey) -> bool:
        """Return whether a load of an adapter replaces an older version."""
        return bool(key.adapter) and key in self.weights

    @property
    def needs_polling(self) -> bool:
        """Return whether something is under way whose end only reports will show."""
        unpolled = self.pending_loads.keys() - self.polled_loads
        unknown = self.order_under_way and not self.pending_loads
        return bool(self.pending_unloads or unpolled or unknown)

    @property
    def replaces(self) -> bool:
        """Return whether the engine replaces an older version of an adapter."""
        return any(self.is_replacement(key) for key in self.pending_loads)

    def start_incarnation(self, start_time_ms: int) -> None:
        """Reset the state for a new incarnation of the engine under the same id."""
        self.endpoint = replace(self.endpoint, start_time_ms=start_time_ms, weights={})
        self.weights = {}
        self.held_since = {}
        self.pending_loads = {}
        self.pending_unloads = {}
        self.order_under_way = False
        self.sequence = None

    def _prune_pending_unloads(self, report: EngineReport, now: Seconds) -> None:
        """Drop pending unloads that are done, were not accepted or have timed out."""
        self.pending_unloads = {
            key: unload
            for key, unload in self.pending_unloads.items()
            if key in report.weights
            and report.sequence >= unload.sequence
            and now - unload.ordered_at < UNLOAD_TIMEOUT
        }

    def start_unload(self, key: WeightsKey, now: Seconds) -> None:
        """Record that an adapter is being evicted: it gets no more requests."""
        self.pending_unloads[key] = PendingUnload((self.sequence or 0) + 1, now)

    def _confirm_loads(self, report: EngineReport, now: Seconds) -> None:
        for key, load in list(self.pending_loads.items()):
            version = report.weights.get(key)
            if version is None or report.sequence < load.sequence:
                continue
            if version != self.weights.get(key):
                self.record_loaded(key, version, now)

    def record_loaded(self, key: WeightsKey, version: int, now: Seconds) -> None:
        """Record that a load has succeeded."""
        if not key.adapter or self.is_replacement(key):
            self.order_under_way = False
        self.pending_loads.pop(key, None)
        self.weights[key] = version
        self.held_since[key] = now

    def record_unloaded(self, key: WeightsKey) -> None:
        """Record that an engine has confirmed an unload."""
        self.weights.pop(key, None)
        self.held_since.pop(key, None)
        self.pending_unloads.pop(key, None)

    def count_occupied(self) -> int:
        """Return how many adapter places are, or may be, occupied."""
        held = {key for key in self.weights if key.adapter}
        loading = {key for key in self.pending_loads if key.adapter}
        return len(held | loading | self.pending_unloads.keys())

    def count_free(self, spec: EngineSpec) -> int:
        """Return how many adapter places are known to be free."""
        return max(0, spec.adapter_places - self.count_occupied())

    def require_report(self, now: Seconds) -> None:
        """Block orders until a report written after this moment has been read."""
        self.sequence = None
        self.read_at = now

    def has_model(self, model: str) -> bool:
        """Return whether the engine holds a given base model."""
        return WeightsKey(model) in self.weights

    @property
    def has_any_model(self) -> bool:
        """Return whether the engine holds any base model."""
        return any(not key.adapter for key in self.weights)

    def make_endpoint(self) -> Endpoint:
        """Return the endpoint as it is published to the other daemons.

        An engine that does not answer is shown without weights, so that these are
        loaded elsewhere.
        """
        if self.unanswered_calls >= MAX_UNANSWERED_CALLS:
            return replace(
                self.endpoint,
                weights={},
                loading=frozenset(),
                quarantined=self.quarantined,
            )
        # Requests for weights that are being replaced are refused until the load ends.
        unavailable = self.pending_unloads.keys() | self.pending_loads.keys()
        usable = {k: v for k, v in self.weights.items() if k not in unavailable}
        return replace(
            self.endpoint,
            weights=usable,
            loading=frozenset(self.pending_loads),
            quarantined=self.quarantined,
        )
