"""What one planning round looks at: the engines led here, and what is asked for.

Everything is of one moment and of one service. The planner sees nothing else, so that
its decisions can be tested without a leader.
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
from kestreltally.placing.books import EngineBook
from kestreltally.placing.demand import DemandTable, WeightsRow
from kestreltally.placing.planner import (
    LEAST_RATE,
    EngineView,
    HeldAdapter,
    Wanted,
)


@dataclass(slots=True)
class Standing:
    """Where adapters stand in the whole fleet: engines that hold or load them.

    ``holders`` and ``coming`` count engines by data centre; what is ``roomy`` is held
    by an engine whose batch is not full, and what is ``leaving`` by one that leaves.
    """

    holders: dict[WeightsKey, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    coming: dict[WeightsKey, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    roomy: set[WeightsKey] = field(default_factory=set)
    leaving: set[WeightsKey] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PlanningRound:
    """What is known as loads for one service are planned.

    ``uses`` tells which adapters on which engines any daemon uses; ``load_time`` is
    that of a load from the weight store.
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

    def list_requested(self, is_seen_to: Callable[[WeightsKey], bool]) -> list[Wanted]:
        """Return the adapters that may be loaded: waited for, or asked for often.

        What is being seen to already is left out. The others change no plan, and are
        most of those asked for lately.
        """
        standing = self._find_standing()
        wanted = []
        for (asked, key), row in self.demand.list_notable(LEAST_RATE):
            if asked != self.service or not key.adapter:
                continue
            waiting = row.sum_waiting(self.now)
            if not waiting.count and row.rate <= LEAST_RATE:
                continue
            if is_seen_to(key):
                continue
            wanted.append(
                Wanted(
                    key=key,
                    rates=dict(row.rates),
                    waiting=waiting.count,
                    timely=waiting.timely,
                    missed=row.missed,
                    holders=standing.holders.get(key, {}),
                    coming=standing.coming.get(key, {}),
                    batch=self.spec.batch,
                    crowded=key in standing.holders and key not in standing.roomy,
                    waited=self.now - row.waiting_since,
                    leaving=key in standing.leaving,
                )
            )
        return wanted

    def _find_standing(self) -> Standing:
        standing = Standing()
        for endpoint in self.fleet.list_leaving(self.service):
            standing.leaving.update(endpoint.weights)
        # What others hold is brought elsewhere for who may not ask them.
        for endpoint in self.fleet.list_usable(self.service, self.now):
            where = endpoint.data_centre
            in_flight = self.occupancy.in_flight.get(endpoint.id, 0)
            for key in endpoint.weights:
                counts = standing.holders[key]
                counts[where] = counts.get(where, 0) + 1
                if in_flight < self.spec.batch:
                    standing.roomy.add(key)
            for key in endpoint.loading:
                counts = standing.coming[key]
                counts[where] = counts.get(where, 0) + 1
        return standing

    def find_copies(self, wanted: list[Wanted]) -> dict[EndpointId, set[WeightsKey]]:
        """Return which of the adapters wanted each engine keeps a copy of."""
        copies: dict[EndpointId, set[WeightsKey]] = defaultdict(set)
        for each in wanted:
            for endpoint in self.fleet.copies.list_engines(each.key):
                copies[endpoint].add(each.key)
        return copies

    def view_engine(
        self,
        book: EngineBook,
        copies: frozenset[WeightsKey],
        *,
        able: bool,
        able_cold: bool,
    ) -> EngineView:
        """Return an engine as the planner sees it."""
        name = book.endpoint.id
        unread = self.occupancy.unread.get(name, 0)
        return EngineView(
            id=name,
            data_centre=book.endpoint.data_centre,
            free=book.count_free(self.spec),
            held=tuple(self._list_held(book)),
            warm=copies,
            running=self.occupancy.in_flight.get(name, 0),
            unread=unread + self._count_coming(book),
            batch=self.spec.batch,
            pace=self.prefill_times.compute_token_time(name),
            load_time=self.load_time,
            able=able,
            able_cold=able_cold,
        )

    def _list_held(self, book: EngineBook) -> list[HeldAdapter]:
        """Return the adapters on an engine that stay for now."""
        nobody = WeightsRow(at=self.now)
        where = book.endpoint.data_centre
        held = []
        for key in book.weights:
            if not key.adapter or key in book.leaving or key in book.incoming:
                continue
            row = self.demand.rows.get((self.service, key), nobody)
            holders = self.fleet.list_holders(self.service, key, self.now)
            held.append(
                HeldAdapter(
                    key=key,
                    since=book.held_since.get(key, 0.0),
                    rate=row.rate,
                    near=row.rates.get(where, 0.0),
                    holders=len(holders),
                    in_use=(book.endpoint.id, key) in self.uses,
                )
            )
        return held

    def _count_coming(self, book: EngineBook) -> int:
        """Return the prompt tokens that wait for what is on its way to an engine."""
        rows = (self.demand.rows.get((self.service, key)) for key in book.incoming)
        return sum(row.sum_waiting(self.now).prompt_tokens for row in rows if row)
