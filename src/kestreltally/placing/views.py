"""The input of one planning round: the led engines and the requested adapters.

It covers one service at one moment. The planner gets no other input, so that its
decisions can be tested without a leader.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from kestreltally.entry.occupancy import Occupancy
from kestreltally.estimates.prefill import PrefillTimeTable
from kestreltally.fleet.model import (
    EndpointId,
    EngineSpec,
    Seconds,
    ServiceName,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import DemandTable, WeightsRow
from kestreltally.placing.early import MIN_PLANNED_RATE
from kestreltally.placing.enginestate import EngineState
from kestreltally.placing.planner import MIN_RATE
from kestreltally.placing.plans import EngineView, HeldAdapter, RequestedAdapter
from kestreltally.placing.trends import TrendTable
from kestreltally.placing.usages import UsageTable


@dataclass(slots=True)
class AdapterDistribution:
    """The distribution of adapters in the fleet: engines that hold or load them.

    ``holders`` and ``loading`` count engines by data centre. An adapter is
    ``unsaturated`` if an engine with free batch slots holds it, and ``leaving`` if a
    leaving engine does.
    """

    holders: dict[WeightsKey, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    loading: dict[WeightsKey, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    unsaturated: set[WeightsKey] = field(default_factory=set)
    leaving: set[WeightsKey] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PlanningRound:
    """The state from which loads for one service are planned.

    ``uses`` are the adapters in use by any daemon, with their engines; ``load_time`` is
    the time of a load from the weight store. ``trends`` are used to load adapters ahead
    of demand; None if that is switched off.
    """

    service: ServiceName
    spec: EngineSpec
    now: Seconds
    fleet: Fleet
    demand: DemandTable
    occupancy: Occupancy
    prefill_times: PrefillTimeTable
    uses: set[tuple[EndpointId, WeightsKey]]
    load_time: Seconds
    trends: TrendTable | None = None

    @property
    def _usages(self) -> UsageTable | None:
        """Return the expected uses of adapters, None without trends."""
        if self.trends is None:
            return None
        return UsageTable(
            self.service, self.demand, self.trends, self.prefill_times, self.now
        )

    def list_requested(
        self, is_handled: Callable[[WeightsKey], bool]
    ) -> list[RequestedAdapter]:
        """Return the adapters that may be loaded: with waiting requests or high rates.

        Adapters that are already being loaded or handed over are left out. All other
        recently requested adapters, which are most of them, do not affect the plan.
        """
        distribution = self._compute_distribution()
        usages = self._usages
        min_rate = MIN_RATE if usages is None else MIN_PLANNED_RATE
        requested = []
        for (service, key), row in self.demand.list_significant(min_rate):
            if service != self.service or not key.adapter:
                continue
            waiting = row.sum_waiting(self.now)
            if not waiting.count and row.rate <= min_rate:
                continue
            if is_handled(key):
                continue
            requested.append(
                RequestedAdapter(
                    key=key,
                    rates=dict(row.rates),
                    waiting=waiting.count,
                    within_objective=waiting.within_objective,
                    missed=row.missed,
                    holders=distribution.holders.get(key, {}),
                    loading=distribution.loading.get(key, {}),
                    batch=self.spec.batch,
                    saturated=key in distribution.holders
                    and key not in distribution.unsaturated,
                    waited=self.now - row.waiting_since,
                    leaving=key in distribution.leaving,
                )
            )
        return [usages.expect(each) for each in requested] if usages else requested

    def _compute_distribution(self) -> AdapterDistribution:
        distribution = AdapterDistribution()
        for endpoint in self.fleet.list_leaving(self.service):
            distribution.leaving.update(endpoint.weights)
        # Engines that not all daemons can use do not count as holders: their adapters
        # are loaded elsewhere.
        for endpoint in self.fleet.list_usable(self.service, self.now):
            data_centre = endpoint.data_centre
            in_flight = self.occupancy.in_flight.get(endpoint.id, 0)
            for key in endpoint.weights:
                counts = distribution.holders[key]
                counts[data_centre] = counts.get(data_centre, 0) + 1
                if in_flight < self.spec.batch:
                    distribution.unsaturated.add(key)
            for key in endpoint.loading:
                counts = distribution.loading[key]
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return distribution

    def list_copies_by_engine(
        self, requested: list[RequestedAdapter]
    ) -> dict[EndpointId, set[WeightsKey]]:
        """Return the requested adapters of which each engine keeps a copy."""
        copies: dict[EndpointId, set[WeightsKey]] = defaultdict(set)
        for each in requested:
            for endpoint in self.fleet.copies.list_engines(each.key):
                copies[endpoint].add(each.key)
        return copies

    def make_view(
        self,
        state: EngineState,
        copies: frozenset[WeightsKey],
        *,
        ready: bool,
        ready_for_cold: bool,
    ) -> EngineView:
        """Return the planner's view of an engine."""
        name = state.endpoint.id
        unread = self.occupancy.unread.get(name, 0)
        held = tuple(self._list_held(state))
        return EngineView(
            id=name,
            data_centre=state.endpoint.data_centre,
            free_places=state.count_free(self.spec),
            held=held,
            warm=copies,
            running=self.occupancy.in_flight.get(name, 0),
            unread=unread + self._count_loading_tokens(state),
            batch=self.spec.batch,
            prefill_time=self.prefill_times.compute_token_time(name),
            load_time=self.load_time,
            ready=ready,
            ready_for_cold=ready_for_cold,
            reading=sum(each.reading for each in held),
            pending=len(state.pending_loads),
        )

    def _list_held(self, state: EngineState) -> list[HeldAdapter]:
        """Return the adapters on an engine that are neither loading nor unloading."""
        no_demand = WeightsRow(at=self.now)
        usages = self._usages
        data_centre = state.endpoint.data_centre
        held = []
        for key in state.weights:
            if (
                not key.adapter
                or key in state.pending_unloads
                or key in state.pending_loads
            ):
                continue
            row = self.demand.rows.get((self.service, key), no_demand)
            holders = self.fleet.list_holders(self.service, key, self.now)
            each = HeldAdapter(
                key=key,
                since=state.held_since.get(key, 0.0),
                rate=row.rate,
                local_rate=row.rates.get(data_centre, 0.0),
                holders=len(holders),
                in_use=(state.endpoint.id, key) in self.uses,
            )
            if usages is not None:
                local = sum(1 for e in holders if e.data_centre == data_centre)
                each = usages.appraise(each, data_centre, local)
            held.append(each)
        return held

    def _count_loading_tokens(self, state: EngineState) -> int:
        """Return the waiting prompt tokens for adapters loading on an engine."""
        rows = (
            self.demand.rows.get((self.service, key)) for key in state.pending_loads
        )
        return sum(row.sum_waiting(self.now).prompt_tokens for row in rows if row)
