"""The leader's book of each engine: what it holds, what is on its way, what is sure."""

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

# An unload waits for the runs that use the adapter; those last some seconds.
# An engine that has not answered so often in a row is held to be down.
MAX_UNANSWERED_CALLS: Final = 2
UNLOAD_TIMEOUT: Final[Seconds] = 8.0


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """A load that an engine has taken: the engine's count of orders just after."""

    sequence: int
    ordered_at: Seconds


@dataclass(frozen=True, slots=True)
class PendingUnload:
    """An unload that was ordered: the engine's count of orders if it was taken."""

    sequence: int
    ordered_at: Seconds


@dataclass(slots=True)
class EngineState:
    """What the leader knows of one engine by its orders and its reports.

    ``sequence`` is the engine's count of orders as far as known; none means that a
    report must come before any order. A place counts as taken until it is surely
    free.
    """

    endpoint: Endpoint
    weights: dict[WeightsKey, int] = field(default_factory=dict)
    held_since: dict[WeightsKey, Seconds] = field(default_factory=dict)
    incoming: dict[WeightsKey, PendingLoad] = field(default_factory=dict)
    unloading: dict[WeightsKey, PendingUnload] = field(default_factory=dict)
    sequence: int | None = None
    busy: bool = False
    failing_until: Seconds = 0.0
    unanswered_calls: int = 0
    quarantined: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    read_at: Seconds = 0.0
    ordered_at: Seconds = 0.0

    def apply_report(self, report: EngineReport, now: Seconds) -> None:
        """Take a report in; one older than the last order only confirms loads.

        One of an earlier life of the engine, which had other counts, says nothing.
        """
        self.read_at = now
        if is_other_incarnation(self.endpoint.born, report.born):
            if report.born < self.endpoint.born:
                return
            self.start_incarnation(report.born)
        self.unanswered_calls = 0
        if self.sequence is not None and report.sequence < self.sequence:
            self._confirm_loads(report, now)
            return
        self.sequence = report.sequence
        self.weights = dict(report.weights)
        loading = {
            key: self.incoming.get(key, PendingLoad(report.sequence, now))
            for key in report.loading
        }
        # Reports name the adapters on their way, but not a model.
        for key, load in self.incoming.items():
            if not key.adapter and key not in report.weights:
                loading[key] = load
        self.incoming = loading
        self._prune_unloading(report, now)
        self.held_since = {k: self.held_since.get(k, now) for k in report.weights}

    def start_incarnation(self, born: int) -> None:
        """Start anew with an engine that has, under the same id."""
        self.endpoint = replace(self.endpoint, born=born, weights={})
        self.weights = {}
        self.held_since = {}
        self.incoming = {}
        self.unloading = {}
        self.sequence = None

    def _prune_unloading(self, report: EngineReport, now: Seconds) -> None:
        """Use again what was to be unloaded, if the engine did not take the order."""
        self.unloading = {
            key: unload
            for key, unload in self.unloading.items()
            if key in report.weights
            and report.sequence >= unload.sequence
            and now - unload.ordered_at < UNLOAD_TIMEOUT
        }

    def start_unload(self, key: WeightsKey, now: Seconds) -> None:
        """Note that an adapter is to make way: it gets no more requests."""
        self.unloading[key] = PendingUnload((self.sequence or 0) + 1, now)

    def _confirm_loads(self, report: EngineReport, now: Seconds) -> None:
        for key, load in list(self.incoming.items()):
            held = report.weights.get(key)
            if held is not None and report.sequence >= load.sequence:
                self.record_loaded(key, held, now)

    def record_loaded(self, key: WeightsKey, version: int, now: Seconds) -> None:
        """Note that a load has ended well."""
        self.incoming.pop(key, None)
        self.weights[key] = version
        self.held_since[key] = now

    def record_unloaded(self, key: WeightsKey) -> None:
        """Note that an engine has confirmed an unload."""
        self.weights.pop(key, None)
        self.held_since.pop(key, None)
        self.unloading.pop(key, None)

    def count_occupied(self) -> int:
        """Return how many adapter places are or may be taken."""
        held = {key for key in self.weights if key.adapter}
        coming = {key for key in self.incoming if key.adapter}
        return len(held | coming | self.unloading.keys())

    def count_free(self, spec: EngineSpec) -> int:
        """Return how many adapter places are surely free."""
        return max(0, spec.adapter_places - self.count_occupied())

    def require_report(self, now: Seconds) -> None:
        """Give no more orders until a report written from now on has been read."""
        self.sequence = None
        self.read_at = now

    def has_model(self, model: str) -> bool:
        """Tell whether the engine holds a base model."""
        return WeightsKey(model) in self.weights

    @property
    def has_any_model(self) -> bool:
        """Tell whether the engine holds some base model."""
        return any(not key.adapter for key in self.weights)

    def make_row(self) -> Endpoint:
        """Return the engine as the other daemons should see it.

        What a silent engine holds is to be loaded elsewhere, so it shows nothing.
        """
        if self.unanswered_calls >= MAX_UNANSWERED_CALLS:
            return replace(
                self.endpoint, weights={}, loading=frozenset(), spared=self.quarantined
            )
        # What is replaced refuses requests until the new version is there.
        unavailable = self.unloading.keys() | self.incoming.keys()
        usable = {k: v for k, v in self.weights.items() if k not in unavailable}
        return replace(
            self.endpoint,
            weights=usable,
            loading=frozenset(self.incoming),
            spared=self.quarantined,
        )
