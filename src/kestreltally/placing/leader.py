"""The leader: tracks the state of its engines, and plans and orders loads."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import Bounds
from kestreltally.entry.demand import WeightsDemand
from kestreltally.entry.occupancy import EMPTY
from kestreltally.estimates.prefill import PrefillTimeTable
from kestreltally.events import wait_at_most
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    EngineSpec,
    Seconds,
    ServiceName,
    WeightsKey,
    is_other_incarnation,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.bound import BoundDemandTable, BoundRound
from kestreltally.placing.demand import DemandTable
from kestreltally.placing.endpointhealth import (
    MAX_QUARANTINED_FRACTION,
    EndpointHealthTable,
)
from kestreltally.placing.enginestate import EngineState
from kestreltally.placing.handover import Handover
from kestreltally.placing.lease import Lease
from kestreltally.placing.loadlimiter import LoadLimiter, compute_fraction
from kestreltally.placing.loads import Loader, LoadOrigin
from kestreltally.placing.orders import REPORT_LAG, EngineClient
from kestreltally.placing.planner import (
    PLANNERS,
    count_free_capacity,
    score_missing,
)
from kestreltally.placing.plans import EngineView, RequestedAdapter
from kestreltally.placing.replacements import OutdatedTable, log_replacement
from kestreltally.placing.trends import TrendTable
from kestreltally.placing.views import PlanningRound

LOG = logging.getLogger("kestreltally.leader")

TICK: Final[Seconds] = 0.04
# The tick without a lease; acquiring one wakes the loop at once.
IDLE_TICK: Final[Seconds] = 1.0
# New demand triggers planning at once, but not more often than this.
MIN_TICK: Final[Seconds] = 0.01
# Limit of concurrent adapter loads per engine. One of the four is reserved for adapters
# of which the engine keeps a copy: these load in about 25 ms.
MAX_PENDING_LOADS: Final = 4
MAX_PENDING_COLD_LOADS: Final = 3
REPORT_INTERVAL: Final[Seconds] = 0.1
# If an engine's own listing of its weights differs from the leader's state, a report is
# read once the last order is older than this: two heartbeats.
LISTING_CHECK_DELAY: Final[Seconds] = 3.0
# The load wait that is reported while none of the held leases allows orders.
UNKNOWN_LOAD_WAIT: Final[Seconds] = 2.0
# The extra time if a leader of another data centre loads an adapter instead.
FORWARD_TIME: Final[Seconds] = 0.1


class Leader:
    """Plans and orders loads on the engines of data centres whose leases are held."""

    def __init__(
        self,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        get_lease: Callable[[Endpoint], Lease],
        client: EngineClient,
        bounds: Bounds,
        clock: Callable[[], Seconds],
        publish: Callable[[Endpoint], None],
        *,
        early_loads: bool = False,
    ) -> None:
        self._fleet = fleet
        self._leases = leases
        self._get_lease = get_lease
        self._loader = Loader(
            fleet,
            client,
            clock,
            publish,
            lambda state: self.engines.get(state.endpoint.id) is state,
        )
        self._bounds = bounds
        self._clock = clock
        self._publish = publish
        self._trends = TrendTable() if early_loads else None
        self._plan = PLANNERS["early-loads" if early_loads else "most-missed-first"]
        self.engines: dict[EndpointId, EngineState] = {}
        self.demand = DemandTable()
        self.bound_demand = BoundDemandTable()
        self.occupancy = EMPTY
        # The load time that other leaders report; None if none can be reached.
        self.get_remote_wait: Callable[[], Seconds | None] = lambda: None
        self._load_limiters: dict[ServiceName, LoadLimiter] = {}
        self.handover = Handover(fleet, self.demand)
        self._led_data_centres: set[str] = set()
        self._wake = asyncio.Event()
        self.missing = 0
        self._outdated = OutdatedTable(fleet)
        # Loads ordered although no request waited.
        self.loads_ahead = 0
        # How many adapters the led engines could take: after the missing ones, and in
        # total.
        self.free_capacity = 0
        self.available_places = 0
        # Returns the adapters in use by any daemon, with their engines.
        self.list_uses: Callable[[], set[tuple[EndpointId, WeightsKey]]] = set
        self.endpoint_health = EndpointHealthTable()
        self.prefill_times = PrefillTimeTable()

    @property
    def load_time(self) -> Seconds:
        """Return the recent mean time of a load from the weight store."""
        return self._loader.load_time

    def count_loads(self) -> dict[str, float]:
        """Return the number of adapters that this leader loaded, by origin."""
        return {each.value: float(self._loader.origins[each]) for each in LoadOrigin}

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Apply an endpoint's entry from the store."""
        endpoint = self._fleet.notices.apply_to(endpoint)
        state = self.engines.get(endpoint.id)
        if state is not None and is_other_incarnation(
            state.endpoint.start_time_ms, endpoint.start_time_ms
        ):
            if endpoint.start_time_ms < state.endpoint.start_time_ms:
                return
            # Loads, orders and counts of the former incarnation no longer apply.
            self.drop_endpoint(endpoint.id)
            state = None
        if state is None:
            state = self.engines[endpoint.id] = EngineState(endpoint)
            state.weights = dict(endpoint.weights)
        state.endpoint = endpoint
        self._check_listing(state)
        self._publish(state.make_endpoint())

    def _check_listing(self, state: EngineState) -> None:
        """Require a report if the engine's own listing differs from the known state."""
        now = self._clock()
        settled = (
            now - state.ordered_at > LISTING_CHECK_DELAY and not state.pending_loads
        )
        if settled and state.endpoint.weights != state.weights:
            state.require_report(now)

    def record_refused(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Record that an engine refused a request because it lacks the weights."""
        state = self.engines.get(endpoint)
        if (
            state is not None
            and key in state.weights
            and key not in state.pending_loads
        ):
            log_decision(
                LOG, Decision.ENGINE_LACKS_WEIGHTS, endpoint=endpoint, weights=str(key)
            )
            state.require_report(self._clock())

    def record_notice(self, endpoint: EndpointId) -> None:
        """Apply a new notice of an endpoint."""
        state = self.engines.get(endpoint)
        if state is not None:
            state.endpoint = self._fleet.notices.apply_to(state.endpoint)
            self._publish(state.make_endpoint())
        self.wake()

    def drop_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that no longer exists."""
        self.engines.pop(endpoint, None)
        self.endpoint_health.remove(endpoint)

    def apply_demand(
        self, vm: str, data_centre: str, reported: Iterable[WeightsDemand]
    ) -> None:
        """Apply the demand that a daemon reports."""
        now = self._clock()
        for each in reported:
            self.demand.apply(vm, data_centre, each, now)
            if self._trends is not None:
                self._trends.apply(each, now)
            if each.waiting:
                self.wake()

    @property
    def is_over_capacity(self) -> bool:
        """Return whether requests wait for adapters that no engine has a place for."""
        return self.missing > 0 and not self.free_capacity

    def wake(self) -> None:
        """Trigger planning without waiting for the next tick."""
        self._wake.set()

    def compute_order_wait(self) -> Seconds | None:
        """Return the time until some lease allows orders; None if unknown."""
        waits = (lease.compute_order_wait() for lease in self._leases.values())
        return min((wait for wait in waits if wait is not None), default=None)

    def estimate_load_wait(self) -> Seconds:
        """Return the expected time until an adapter requested now is loaded."""
        order_wait = self.compute_order_wait()
        local_wait = (
            UNKNOWN_LOAD_WAIT
            if order_wait is None
            else order_wait + self._predict_load_time()
        )
        remote_wait = self.get_remote_wait()
        return (
            local_wait
            if remote_wait is None
            else min(local_wait, remote_wait + FORWARD_TIME)
        )

    def _predict_load_time(self) -> Seconds:
        """Return the expected time of a load, with queueing and waiting for a place.

        Places are assumed to become free at the recent rate of completed loads.
        """
        engines = max(1, len(self.engines))
        batches = 1 + self.missing / (MAX_PENDING_COLD_LOADS * engines)
        excess = max(0, self.missing + 1 - self.available_places)
        return (
            batches * self._loader.load_time + excess / self._loader.compute_turnover()
        )

    def list_unmet(self) -> list[WeightsDemand]:
        """Return waiting demand for weights that no engine holds.

        It is reported to another leader while this one cannot give orders.
        """
        now = self._clock()
        return [
            make_waiting(service, key, row.count_waiting(now))
            for (service, key), row in self.demand.waiting.items()
            if row.count_waiting(now) and not self._fleet.is_held(service, key, now)
        ]

    def list_handed_over(self, data_centre: str) -> list[WeightsDemand]:
        """Return the demand that is handed over to another leader."""
        handed_over = self.handover.list_assigned(data_centre)
        return [make_waiting(service, key, 1) for service, key in handed_over]

    def _sync_leases(self) -> None:
        """Add the engines of newly held leases and remove those of lost ones."""
        led_data_centres = {name for name, lease in self._leases.items() if lease.leads}
        if self._trends is not None and led_data_centres - self._led_data_centres:
            self._trends.extend(self._clock())
        for endpoint in self._fleet.endpoints.values():
            lease = self._get_lease(endpoint)
            if lease.data_centre in led_data_centres - self._led_data_centres:
                self.engines.pop(endpoint.id, None)
                self.put_endpoint(endpoint)
        for name, state in list(self.engines.items()):
            if not self._get_lease(state.endpoint).leads:
                del self.engines[name]
        self._led_data_centres = led_data_centres

    async def run(self) -> None:
        """Plan forever; idle while no lease is held."""
        while True:
            if not any(lease.leads for lease in self._leases.values()):
                self._led_data_centres = set()
                self.engines.clear()
                self._load_limiters.clear()
                if self._trends is not None:
                    self._trends.start(self._clock())
                await wait_at_most(self._wake, IDLE_TICK)
                self._wake.clear()
                continue
            await self._wait_for_demand()
            self._sync_leases()
            if self._led_data_centres:
                self._step()

    async def _wait_for_demand(self) -> None:
        """Wait for the next tick or for a waiting request."""
        await asyncio.sleep(MIN_TICK)
        await wait_at_most(self._wake, TICK - MIN_TICK)
        self._wake.clear()

    def _step(self) -> None:
        now = self._clock()
        self.demand.decay(now)
        if self._trends is not None:
            self._trends.prune(now)
        configuration = self._fleet.configuration
        if configuration is None:
            return
        has_missing = self.missing > 0
        self.missing = 0
        self.free_capacity = 0
        self.available_places = 0
        self._outdated.update(self.engines.values(), now)
        self._quarantine_unhealthy(now)
        self.handover.update_requests(self._led_data_centres, now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._step_service(
                    service.name, service.engine, now, has_missing=has_missing
                )

    def _quarantine_unhealthy(self, now: Seconds) -> None:
        """Quarantine endpoints at which most requests fail; try them again later."""
        for name, state in self.engines.items():
            quarantined = self.endpoint_health.is_quarantined(name, now)
            if not quarantined and self.endpoint_health.is_suspect(name, now):
                quarantined = self._can_quarantine(state.endpoint.service)
                if quarantined:
                    pause = self.endpoint_health.quarantine(name, now)
                    log_decision(
                        LOG, Decision.ENDPOINT_SPARED, endpoint=name, pause=pause
                    )
            if quarantined != state.quarantined:
                state.quarantined = quarantined
                self._publish(state.make_endpoint())

    def _can_quarantine(self, service: ServiceName) -> bool:
        """Return whether one more endpoint of a service can be quarantined."""
        service_endpoints = [
            e for e in self._fleet.endpoints.values() if e.service == service
        ]
        quarantined = sum(1 for each in service_endpoints if each.quarantined)
        return quarantined + 1 <= MAX_QUARANTINED_FRACTION * len(service_endpoints)

    def _step_service(
        self,
        service: ServiceName,
        spec: EngineSpec,
        now: Seconds,
        *,
        has_missing: bool,
    ) -> None:
        engines = [
            each for each in self.engines.values() if each.endpoint.service == service
        ]
        for state in engines:
            if not state.busy and self._needs_report(state, now):
                self._loader.start(state, self._loader.read(state))
        engines = [
            each for each in engines if self._get_lease(each.endpoint).can_order()
        ]
        accepting_engines = [
            each
            for each in engines
            if self._accepts_adapters(each, now) and each.has_any_model
        ]
        limiter = self._load_limiters.setdefault(
            service, LoadLimiter(self._bounds, now)
        )
        fraction = compute_fraction(
            [lease.can_order() for lease in self._leases.values()]
        )
        limiter.refill(fraction * spec.loads_per_second, now)
        ready = [each for each in engines if self._can_take_order(each, now)]
        ready = self._order_models(ready, spec, limiter)
        ready = self._order_versions(ready, limiter)
        ready = self._replace_adapters(ready, now, yields=has_missing)
        self._order_adapters(service, spec, accepting_engines, ready, now)

    def _needs_report(self, state: EngineState, now: Seconds) -> bool:
        if state.endpoint.leaving or now < state.failing_until:
            return False
        if self._fleet.notices.compute_backoff(state.endpoint, now):
            self._fleet.notices.record_demand(state.endpoint, now)
            return False
        since = now - state.read_at
        if state.sequence is None:
            return since >= REPORT_LAG
        return state.needs_polling and since >= REPORT_INTERVAL

    def _accepts_adapters(self, state: EngineState, now: Seconds) -> bool:
        """Return whether an engine accepts adapters, even if it is busy at present."""
        return (
            state.sequence is not None
            and all(key.adapter for key in state.pending_loads)
            and not state.endpoint.leaving
            and not state.quarantined
            and not self._fleet.notices.is_constrained(state.endpoint, now)
            and now >= state.failing_until
        )

    def _can_take_order(self, state: EngineState, now: Seconds) -> bool:
        """Return whether an engine can be given an order now."""
        return (
            self._accepts_adapters(state, now)
            and not state.busy
            and not state.order_under_way
            and not state.replaces
            and not state.pending_unloads
            and len(state.pending_loads) < MAX_PENDING_LOADS
        )

    def _order_models(
        self, engines: list[EngineState], spec: EngineSpec, limiter: LoadLimiter
    ) -> list[EngineState]:
        """Order a base model for engines that have none; return the other engines."""
        ready = []
        for state in engines:
            if state.has_any_model:
                ready.append(state)
            elif not state.pending_loads and spec.models and limiter.available:
                model = self._choose_model(engines, spec)
                limiter.acquire()
                self._loader.start(state, self._loader.load(state, WeightsKey(model)))
        return ready

    def _choose_model(self, engines: list[EngineState], spec: EngineSpec) -> str:
        """Return the model held by the fewest engines."""
        counts = {each.name: 0 for each in spec.models}
        for state in engines:
            for key in (*state.weights, *state.pending_loads):
                if not key.adapter and key.model in counts:
                    counts[key.model] += 1
        return min(counts, key=lambda name: counts[name])

    def _order_versions(
        self, engines: list[EngineState], limiter: LoadLimiter
    ) -> list[EngineState]:
        """Order replacements of outdated base models; return the remaining engines.

        A model is replaced on one engine at a time, as the engine serves no requests
        during the load.
        """
        remaining = []
        model_busy = any(
            not key.adapter
            for state in self.engines.values()
            for key in state.pending_loads
        )
        for state in engines:
            models = [
                key for key in self._outdated.list_outdated(state) if not key.adapter
            ]
            if models and not model_busy and limiter.available:
                model_busy = True
                limiter.acquire()
                self._loader.start(state, self._loader.load(state, models[0]))
            else:
                remaining.append(state)
        return remaining

    def _replace_adapters(
        self, engines: list[EngineState], now: Seconds, *, yields: bool
    ) -> list[EngineState]:
        """Order replacements of outdated adapters; return the remaining engines.

        An adapter is replaced once no other load is pending: meanwhile the engine
        accepts no other order, so the end of a load could not be polled.
        """
        remaining = []
        for state in engines:
            chosen = self._outdated.choose(state, now, yields=yields)
            if chosen is None:
                remaining.append(state)
            elif not state.pending_loads:
                log_replacement(state.endpoint.id, chosen)
                key = chosen.adapter.key
                self._loader.start(state, self._loader.load(state, key))
        return remaining

    def _order_adapters(
        self,
        service: ServiceName,
        spec: EngineSpec,
        accepting_engines: list[EngineState],
        ready: list[EngineState],
        now: Seconds,
    ) -> None:
        planning_round = PlanningRound(
            service=service,
            spec=spec,
            now=now,
            fleet=self._fleet,
            demand=self.demand,
            occupancy=self.occupancy,
            prefill_times=self.prefill_times,
            uses=self.list_uses(),
            load_time=self._loader.load_time,
            trends=self._trends,
        )
        requested = planning_round.list_requested(
            lambda key: key in self._loader.placing
            or self.handover.is_handed_over((service, key))
        )
        copies = planning_round.list_copies_by_engine(requested)
        names = {state.endpoint.id for state in ready}
        views = [
            planning_round.make_view(
                state,
                frozenset(copies.get(state.endpoint.id, ())),
                ready=state.endpoint.id in names,
                ready_for_cold=len(state.pending_loads) < MAX_PENDING_COLD_LOADS,
            )
            for state in accepting_engines
        ]
        views = self._order_bound(service, views, now)
        for placement in self._plan(views, requested, now):
            state = self.engines[placement.engine]
            if placement.ahead:
                self.loads_ahead += 1
                log_decision(
                    LOG,
                    Decision.LOADED_AHEAD,
                    endpoint=placement.engine,
                    weights=str(placement.key),
                    evicted=str(placement.victim) if placement.victim else None,
                )
            self._loader.start(state, self._loader.place(state, placement))
        self._forward_missing(service, views, requested, now)

    def _order_bound(
        self, service: ServiceName, views: list[EngineView], now: Seconds
    ) -> list[EngineView]:
        """Order loads for streams bound to a software version.

        Returns the views, with the engines that got an order as busy.
        """
        bound = [
            each
            for each in self.bound_demand.list_current(now)
            if each.weights.key not in self._loader.placing
        ]
        if not bound:
            return views
        led = frozenset(self._led_data_centres)
        planned = BoundRound(service, self._fleet, led, now).plan(bound, views)
        for placement in planned:
            state = self.engines[placement.engine]
            log_decision(
                LOG,
                Decision.LOADED_FOR_STREAM,
                endpoint=placement.engine,
                software=state.endpoint.software,
                weights=str(placement.key),
                evicted=str(placement.victim) if placement.victim else None,
            )
            self._loader.start(state, self._loader.place(state, placement))
        busy = {placement.engine for placement in planned}
        return [replace(v, ready=False) if v.id in busy else v for v in views]

    def _forward_missing(
        self,
        service: ServiceName,
        views: list[EngineView],
        requested: list[RequestedAdapter],
        now: Seconds,
    ) -> None:
        """Forward adapters for which the led engines have no place to other leaders."""
        missing = sorted(
            (w for w in requested if w.waiting and not w.holders and not w.loading),
            key=score_missing,
            reverse=True,
        )
        free_capacity = sum(count_free_capacity(view, now) for view in views)
        unplaced = [(service, each.key) for each in missing[free_capacity:]]
        forwarded = self.handover.forward(unplaced, self._led_data_centres, now)
        self.missing += len(missing) - forwarded
        self.available_places += free_capacity
        self.free_capacity += max(0, free_capacity - len(missing))


def make_waiting(service: ServiceName, key: WeightsKey, count: int) -> WeightsDemand:
    """Return the demand of waiting requests, as reported to another leader."""
    return WeightsDemand(service, key, arrivals=0, waiting=count, missed=0)
