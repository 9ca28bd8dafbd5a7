"""The leader: keeps the books of its engines, plans loads and has them ordered."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
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
from kestreltally.placing.books import EngineBook
from kestreltally.placing.ceiling import LoadCeiling, compute_fraction
from kestreltally.placing.demand import DemandTable
from kestreltally.placing.handover import Handover
from kestreltally.placing.lease import Lease
from kestreltally.placing.loads import Loader, LoadOrigin
from kestreltally.placing.orders import REPORT_LAG, EngineCaller
from kestreltally.placing.planner import (
    PLANNERS,
    EngineView,
    Wanted,
    count_room,
    score_missing,
)
from kestreltally.placing.soundness import SPARED_PART, SoundnessTable
from kestreltally.placing.views import PlanningRound

LOG = logging.getLogger("kestreltally.leader")

TICK: Final[Seconds] = 0.04
# Without a lease there is nothing to plan until one begins, which is told.
IDLE_TICK: Final[Seconds] = 1.0
# New demand is looked at at once, but not more often than this.
TICK_LEAST: Final[Seconds] = 0.01
# Of the four adapters that may be on their way to one engine at once, one place is kept
# for what the engine has a copy of and brings in some 25 ms.
INCOMING_MOST: Final = 4
INCOMING_COLD: Final = 3
REPORT_INTERVAL: Final[Seconds] = 0.1
# A listing of an engine's weights that differs from its book is checked when the last
# order is older than this: two heartbeats.
LISTING_AGE: Final[Seconds] = 3.0
# The wait that is told while no lease that is held here allows orders.
WAIT_UNKNOWN: Final[Seconds] = 2.0
# What it takes to have a leader of another data centre load an adapter instead.
FORWARD_TIME: Final[Seconds] = 0.1


class Leader:
    """Plans and orders for the engines of the data centres whose leases are held."""

    def __init__(
        self,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        get_lease: Callable[[Endpoint], Lease],
        caller: EngineCaller,
        bounds: Bounds,
        clock: Callable[[], Seconds],
        publish: Callable[[Endpoint], None],
    ) -> None:
        self._fleet = fleet
        self._leases = leases
        self._get_lease = get_lease
        self._loader = Loader(
            fleet,
            caller,
            clock,
            publish,
            lambda book: self.books.get(book.endpoint.id) is book,
        )
        self._bounds = bounds
        self._clock = clock
        self._publish = publish
        self._plan = PLANNERS["most-missed-first"]
        self.books: dict[EndpointId, EngineBook] = {}
        self.demand = DemandTable()
        self.occupancy = EMPTY
        # What other leaders tell that a load takes there; none when none is heard.
        self.other_wait: Callable[[], Seconds | None] = lambda: None
        self._ceilings: dict[ServiceName, LoadCeiling] = {}
        self.handover = Handover(fleet, self.demand)
        self._led: set[str] = set()
        self._wake = asyncio.Event()
        self.missing = 0
        # How many adapters the engines led here could take, and beyond what is missing.
        self.room = 0
        self.places = 0
        # Which adapters on which engines any daemon uses now.
        self.list_uses: Callable[[], set[tuple[EndpointId, WeightsKey]]] = set
        self.soundness = SoundnessTable()
        self.prefill_times = PrefillTimeTable()

    @property
    def load_time(self) -> Seconds:
        """Return how long a load from the weight store lately took."""
        return self._loader.load_time

    def count_loads(self) -> dict[str, float]:
        """Return how many adapters this leader had loaded, by where they came from."""
        return {each.value: float(self._loader.origins[each]) for each in LoadOrigin}

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Take in an endpoint's entry of the store."""
        endpoint = self._fleet.notices.apply_to(endpoint)
        book = self.books.get(endpoint.id)
        if book is not None and is_other_incarnation(book.endpoint.born, endpoint.born):
            if endpoint.born < book.endpoint.born:
                return
            # What was loaded, ordered and counted before is no longer so.
            self.drop_endpoint(endpoint.id)
            book = None
        if book is None:
            book = self.books[endpoint.id] = EngineBook(endpoint)
            book.weights = dict(endpoint.weights)
        book.endpoint = endpoint
        self._check_listing(book)
        self._publish(book.make_row())

    def _check_listing(self, book: EngineBook) -> None:
        """Read the engine's report when its own listing differs from the book."""
        now = self._clock()
        settled = now - book.ordered_at > LISTING_AGE and not book.incoming
        if settled and book.endpoint.weights.keys() != book.weights.keys():
            book.doubt(now)

    def record_refused(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Take in that an engine refused a request for want of its weights."""
        book = self.books.get(endpoint)
        if book is not None and key in book.weights and key not in book.incoming:
            log_decision(
                LOG, Decision.ENGINE_LACKS_WEIGHTS, endpoint=endpoint, weights=str(key)
            )
            book.doubt(self._clock())

    def note_notice(self, endpoint: EndpointId) -> None:
        """Take in that an endpoint has said something of itself."""
        book = self.books.get(endpoint)
        if book is not None:
            book.endpoint = self._fleet.notices.apply_to(book.endpoint)
            self._publish(book.make_row())
        self.wake()

    def drop_endpoint(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone."""
        self.books.pop(endpoint, None)
        self.soundness.forget(endpoint)

    def apply_demand(
        self, vm: str, data_centre: str, told: Iterable[WeightsDemand]
    ) -> None:
        """Take in what a daemon tells of its requests."""
        now = self._clock()
        for each in told:
            self.demand.take(vm, data_centre, each, now)
            if each.waiting:
                self.wake()

    @property
    def is_short(self) -> bool:
        """Tell whether something waits that no engine has a place for."""
        return self.missing > 0 and not self.room

    def wake(self) -> None:
        """Plan at once."""
        self._wake.set()

    def find_order_wait(self) -> Seconds | None:
        """Return how long until some engine may be given an order; none: unknown."""
        waits = (lease.find_order_wait() for lease in self._leases.values())
        return min((wait for wait in waits if wait is not None), default=None)

    def estimate_load_wait(self) -> Seconds:
        """Return how long it takes from now until an adapter asked for now is there."""
        quiet = self.find_order_wait()
        own = WAIT_UNKNOWN if quiet is None else quiet + self._predict_load()
        other = self.other_wait()
        return own if other is None else min(own, other + FORWARD_TIME)

    def _predict_load(self) -> Seconds:
        """Return how long a load takes with those before it, and until a place frees.

        Places free as fast as loads have ended of late.
        """
        engines = max(1, len(self.books))
        turns = 1 + self.missing / (INCOMING_COLD * engines)
        short = max(0, self.missing + 1 - self.places)
        return turns * self._loader.load_time + short / self._loader.find_turnover()

    def list_unmet(self) -> list[WeightsDemand]:
        """Return what is asked for and held nowhere, for a leader that may order."""
        now = self._clock()
        return [
            make_waiting(service, key, row.count_waiting(now))
            for (service, key), row in self.demand.waiting.items()
            if row.count_waiting(now) and not self._fleet.is_held(service, key, now)
        ]

    def list_handed(self, data_centre: str) -> list[WeightsDemand]:
        """Return what another leader is asked for."""
        handed = self.handover.list_for(data_centre)
        return [make_waiting(service, key, 1) for service, key in handed]

    def _follow_leases(self) -> None:
        """Take up the engines of leases newly held, and let go of those lost."""
        led = {name for name, lease in self._leases.items() if lease.leads}
        for endpoint in self._fleet.endpoints.values():
            lease = self._get_lease(endpoint)
            if lease.data_centre in led - self._led:
                self.books.pop(endpoint.id, None)
                self.put_endpoint(endpoint)
        for name, book in list(self.books.items()):
            if not self._get_lease(book.endpoint).leads:
                del self.books[name]
        self._led = led

    async def run(self) -> None:
        """Plan for ever, while a lease is held."""
        while True:
            if not any(lease.leads for lease in self._leases.values()):
                self._led = set()
                self.books.clear()
                self._ceilings.clear()
                await wait_at_most(self._wake, IDLE_TICK)
                self._wake.clear()
                continue
            await self._wait_for_demand()
            self._follow_leases()
            if self._led:
                self._step()

    async def _wait_for_demand(self) -> None:
        """Wait for the next tick, or for a request that waits."""
        await asyncio.sleep(TICK_LEAST)
        await wait_at_most(self._wake, TICK - TICK_LEAST)
        self._wake.clear()

    def _step(self) -> None:
        now = self._clock()
        self.demand.decay(now)
        configuration = self._fleet.configuration
        if configuration is None:
            return
        self.missing = 0
        self.room = 0
        self.places = 0
        self._spare_unsound(now)
        self.handover.renew(self._led, now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._step_service(service.name, service.engine, now)

    def _spare_unsound(self, now: Seconds) -> None:
        """Have endpoints left alone where most requests fail, and tried again later."""
        for name, book in self.books.items():
            spared = self.soundness.is_spared(name, now)
            if not spared and self.soundness.is_suspect(name, now):
                spared = self._may_spare(book.endpoint.service)
                if spared:
                    pause = self.soundness.spare(name, now)
                    log_decision(
                        LOG, Decision.ENDPOINT_SPARED, endpoint=name, pause=pause
                    )
            if spared != book.spared:
                book.spared = spared
                self._publish(book.make_row())

    def _may_spare(self, service: ServiceName) -> bool:
        """Tell whether one more endpoint of a service may be left alone."""
        known = [e for e in self._fleet.endpoints.values() if e.service == service]
        spared = sum(1 for each in known if each.spared)
        return spared + 1 <= SPARED_PART * len(known)

    def _step_service(
        self, service: ServiceName, spec: EngineSpec, now: Seconds
    ) -> None:
        books = [b for b in self.books.values() if b.endpoint.service == service]
        for book in books:
            if not book.busy and self._needs_report(book, now):
                self._loader.start(book, self._loader.read(book))
        books = [b for b in books if self._get_lease(b.endpoint).may_order()]
        open_books = [b for b in books if self._is_open(b, now) and b.has_any_model]
        ceiling = self._ceilings.setdefault(service, LoadCeiling(self._bounds, now))
        part = compute_fraction([lease.may_order() for lease in self._leases.values()])
        ceiling.refill(part * spec.loads_per_second, now)
        able = [b for b in books if self._is_able(b, now)]
        able = self._order_models(able, spec, ceiling)
        able = self._order_versions(able, ceiling)
        self._order_adapters(service, spec, open_books, able, now)

    def _needs_report(self, book: EngineBook, now: Seconds) -> bool:
        if book.endpoint.leaving or now < book.failing_until:
            return False
        if self._fleet.notices.compute_backoff(book.endpoint, now):
            self._fleet.notices.record_demand(book.endpoint, now)
            return False
        since = now - book.read_at
        if book.sequence is None:
            return since >= REPORT_LAG
        return bool(book.leaving) and since >= REPORT_INTERVAL

    def _is_open(self, book: EngineBook, now: Seconds) -> bool:
        """Tell whether an engine takes adapters, if not at this very moment."""
        return (
            book.sequence is not None
            and all(key.adapter for key in book.incoming)
            and not book.endpoint.leaving
            and not book.spared
            and not self._fleet.notices.is_constrained(book.endpoint, now)
            and now >= book.failing_until
        )

    def _is_able(self, book: EngineBook, now: Seconds) -> bool:
        """Tell whether an engine may be given an order now."""
        return (
            self._is_open(book, now)
            and not book.busy
            and not book.leaving
            and len(book.incoming) < INCOMING_MOST
        )

    def _order_models(
        self, books: list[EngineBook], spec: EngineSpec, ceiling: LoadCeiling
    ) -> list[EngineBook]:
        """Have engines without any base model load one; return the others."""
        ready = []
        for book in books:
            if book.has_any_model:
                ready.append(book)
            elif not book.incoming and spec.models and ceiling.available:
                model = self._choose_model(books, spec)
                ceiling.take()
                self._loader.start(book, self._loader.load(book, WeightsKey(model)))
        return ready

    def _choose_model(self, books: list[EngineBook], spec: EngineSpec) -> str:
        """Return the model that the fewest engines hold."""
        counts = {each.name: 0 for each in spec.models}
        for book in books:
            for key in (*book.weights, *book.incoming):
                if not key.adapter and key.model in counts:
                    counts[key.model] += 1
        return min(counts, key=lambda name: counts[name])

    def _order_versions(
        self, books: list[EngineBook], ceiling: LoadCeiling
    ) -> list[EngineBook]:
        """Have what is outdated replaced; return the engines left.

        A model is replaced on one engine at a time: it serves nothing meanwhile.
        """
        left = []
        model_busy = any(
            not key.adapter for book in self.books.values() for key in book.incoming
        )
        for book in books:
            outdated = self._list_outdated(book)
            adapters = [key for key in outdated if key.adapter]
            if adapters:
                self._loader.start(book, self._loader.load(book, adapters[0]))
            elif outdated and not model_busy and ceiling.available:
                model_busy = True
                ceiling.take()
                self._loader.start(book, self._loader.load(book, outdated[0]))
            else:
                left.append(book)
        return left

    def _list_outdated(self, book: EngineBook) -> list[WeightsKey]:
        return [
            key
            for key, held in book.weights.items()
            if held < (self._fleet.get_newest_version(key) or 0)
            and key not in book.incoming
        ]

    def _order_adapters(
        self,
        service: ServiceName,
        spec: EngineSpec,
        open_books: list[EngineBook],
        able: list[EngineBook],
        now: Seconds,
    ) -> None:
        known = PlanningRound(
            service=service,
            spec=spec,
            now=now,
            fleet=self._fleet,
            demand=self.demand,
            occupancy=self.occupancy,
            prefill_times=self.prefill_times,
            uses=self.list_uses(),
            load_time=self._loader.load_time,
        )
        wanted = known.list_requested(
            lambda key: key in self._loader.placing
            or self.handover.is_handed((service, key))
        )
        copies = known.find_copies(wanted)
        names = {book.endpoint.id for book in able}
        views = [
            known.view_engine(
                book,
                frozenset(copies.get(book.endpoint.id, ())),
                able=book.endpoint.id in names,
                able_cold=len(book.incoming) < INCOMING_COLD,
            )
            for book in open_books
        ]
        for placement in self._plan(views, wanted, now):
            book = self.books[placement.engine]
            self._loader.start(book, self._loader.place(book, placement))
        self._pass_on(service, views, wanted, now)

    def _pass_on(
        self,
        service: ServiceName,
        views: list[EngineView],
        wanted: list[Wanted],
        now: Seconds,
    ) -> None:
        """Ask other leaders for what the engines led here have no place for."""
        missing = sorted(
            (w for w in wanted if w.waiting and not w.holders and not w.coming),
            key=score_missing,
            reverse=True,
        )
        room = sum(count_room(view, now) for view in views)
        crowded_out = [(service, each.key) for each in missing[room:]]
        passed = self.handover.pass_on(crowded_out, self._led, now)
        self.missing += len(missing) - passed
        self.places += room
        self.room += max(0, room - len(missing))


def make_waiting(service: ServiceName, key: WeightsKey, count: int) -> WeightsDemand:
    """Return the demand of requests that wait, for another leader."""
    return WeightsDemand(service, key, arrivals=0, waiting=count, missed=0)
