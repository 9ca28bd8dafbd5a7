"""Plays requests for adapters against planners, without leaders, links or clocks.

Four data centres, each planned for by itself, have crests of demand out of phase. The
demand moves to other adapters in the midst. Engines process prompts one after another
and hold an adapter as long as a request uses it. Every load is one from the store.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from kestreltally.entry.demand import WeightsDemand
from kestreltally.estimates.prefill import PrefillTimeTable
from kestreltally.fleet.model import EndpointId, ServiceName, WeightsKey
from kestreltally.placing.demand import DemandTable, WeightsRow
from kestreltally.placing.planner import PLANNERS
from kestreltally.placing.plans import (
    EngineView,
    HeldAdapter,
    Placement,
    RequestedAdapter,
)
from kestreltally.placing.trends import TrendTable
from kestreltally.placing.usages import UsageTable

SERVICE = ServiceName("models")
DATA_CENTRES = ("a", "b", "c", "d")
ADAPTERS = 10_000
TICK, LOAD_TIME, BATCH = 0.04, 0.29, 64
TOKEN_TIME, STREAM_TIME = 1.3 / 38_000, 1.2


@dataclass
class Engine:
    name: EndpointId
    data_centre: str
    held: dict[WeightsKey, float] = field(default_factory=dict)
    loading: dict[WeightsKey, float] = field(default_factory=dict)
    uses: Counter[WeightsKey] = field(default_factory=Counter)
    read_until: float = 0.0


@dataclass
class Outcome:
    """What callers got: waits for weights and times to the first event, in seconds."""

    waits: list[float] = field(default_factory=list)
    firsts: list[float] = field(default_factory=list)
    loads: int = 0

    def count_late(self, limit: float) -> int:
        return sum(1 for each in self.firsts if each > limit)

    def count_waits(self, limit: float) -> int:
        return sum(1 for each in self.waits if each > limit)

    @property
    def lost(self) -> float:
        """Requests lost to lateness, and to the price of loads."""
        return 0.9 * self.count_late(0.9) + 0.4 * self.loads


class Play:
    """One run of a planner."""

    def __init__(self, planner: str, *, engines: int, places: int, seed: int) -> None:
        self.plan, self.early = PLANNERS[planner], planner == "early-loads"
        self.places, self.outcome, self.now = places, Outcome(), 0.0
        self.random, self.durations = Random(seed), Random(seed + 1)
        self.engines = [
            Engine(EndpointId(f"e{n}"), DATA_CENTRES[n % 4]) for n in range(engines)
        ]
        self.prefill = PrefillTimeTable(typical_token_time=TOKEN_TIME)
        self.waiting: dict[WeightsKey, list[tuple[float, str, int]]] = {}
        self.ends: list[tuple[float, Engine, WeightsKey]] = []
        self.names = [WeightsKey("m", f"a{n}") for n in range(ADAPTERS)]
        self.random.shuffle(self.names)
        self.replace_leaders()

    def replace_leaders(self) -> None:
        """Let leaders begin that know nothing of demand."""
        self.demand = {name: DemandTable() for name in DATA_CENTRES}
        self.trends = {name: TrendTable() for name in DATA_CENTRES}
        for each in self.trends.values():
            each.start(self.now)

    def run(self, *, rate: float, seconds: float, shift_at: float) -> Outcome:
        weights = list(accumulate(k**-1.2 for k in range(1, ADAPTERS + 1)))
        while self.now < seconds:
            if shift_at <= self.now < shift_at + TICK:
                self.random.shuffle(self.names)
            for number, name in enumerate(DATA_CENTRES):
                wave = 1 + 0.55 * math.sin(2 * math.pi * (self.now / 15 + number / 4))
                for _ in range(self._draw(rate / 4 * wave * TICK)):
                    self._arrive(
                        name, self.random.choices(self.names, cum_weights=weights)[0]
                    )
            for name in DATA_CENTRES:
                self.demand[name].decay(self.now)
                self._plan_for(name)
            self._pass_tick()
        return self.outcome

    def _draw(self, expected: float) -> int:
        count, limit, product = 0, math.exp(-expected), self.random.random()
        while product > limit:
            count, product = count + 1, product * self.random.random()
        return count

    def _arrive(self, data_centre: str, key: WeightsKey) -> None:
        mean = self.random.choice([6.2, 8.2])
        tokens = int(min(30_000, self.random.lognormvariate(mean, 0.9)))
        self._report(data_centre, key, arrivals=1)
        if not self._send(self.now, data_centre, key, tokens):
            self.waiting.setdefault(key, []).append((self.now, data_centre, tokens))

    def _report(self, data_centre: str, key: WeightsKey, **counts: int) -> None:
        values = {"arrivals": 0, "waiting": 0, "missed": 0, **counts}
        reported = WeightsDemand(SERVICE, key, **values)
        self.demand[data_centre].apply("vm", data_centre, reported, self.now)
        self.trends[data_centre].apply(reported, self.now)

    def _send(self, since: float, data_centre: str, key: WeightsKey, read: int) -> bool:
        holders = [each for each in self.engines if key in each.held]
        if not holders:
            return False
        engine = min(
            holders,
            key=lambda e: max(0.0, e.read_until - self.now)
            + 0.25 * (e.data_centre != data_centre)
            + 0.5 * sum(e.uses.values()) / BATCH,
        )
        engine.read_until = max(engine.read_until, self.now) + read * TOKEN_TIME
        engine.uses[key] += 1
        end = engine.read_until + self.durations.expovariate(1 / STREAM_TIME)
        self.ends.append((end, engine, key))
        self.outcome.waits.append(self.now - since)
        self.outcome.firsts.append(engine.read_until - since)
        self._report(data_centre, key, sent=1, sent_tokens=read)
        if engine.data_centre != data_centre:
            self._report(engine.data_centre, key, arrivals=1, sent=1, sent_tokens=read)
        return True

    def _pass_tick(self) -> None:
        self.now += TICK
        for _, engine, key in (each for each in self.ends if each[0] <= self.now):
            engine.uses[key] -= 1
        self.ends = [each for each in self.ends if each[0] > self.now]
        for engine in self.engines:
            ended = [key for key, end in engine.loading.items() if end <= self.now]
            for key in ended:
                del engine.loading[key]
                engine.held[key] = self.now
        for key, waiters in list(self.waiting.items()):
            if not any(key in each.held for each in self.engines):
                continue
            for since, data_centre, read in waiters:
                self._send(since, data_centre, key, read)
            del self.waiting[key]
            for name in DATA_CENTRES:
                self._report(name, key, waiting=0)

    def _plan_for(self, name: str) -> None:
        engines = [each for each in self.engines if each.data_centre == name]
        for key, waiters in self.waiting.items():
            if name in {each[1] for each in waiters}:
                self._report(name, key, waiting=len(waiters))
        usages = UsageTable(
            SERVICE, self.demand[name], self.trends[name], self.prefill, self.now
        )
        holders: dict[WeightsKey, Counter[str]] = {}
        for engine in self.engines:
            for key in (*engine.held, *engine.loading):
                holders.setdefault(key, Counter())[engine.data_centre] += 1
        requested = [
            self._make_requested(key, row, usages, holders.get(key, Counter()))
            for (_, key), row in usages.demand.list_significant(0.25)
        ]
        views = [self._view(each, usages, holders) for each in engines]
        for placement in self.plan(views, requested, self.now):
            self._load(placement)

    def _make_requested(
        self, key: WeightsKey, row: WeightsRow, usages: UsageTable, held: Counter[str]
    ) -> RequestedAdapter:
        waiting = len(self.waiting.get(key, ())) if row.waiting else 0
        waited = self.now - row.waiting_since
        made = RequestedAdapter(
            key, dict(row.rates), waiting, 0.0, held, {}, BATCH, False, waiting, waited
        )
        return usages.expect(made) if self.early else made

    def _load(self, placement: Placement) -> None:
        engine = next(e for e in self.engines if e.name == placement.engine)
        if placement.victim is not None:
            assert not engine.uses[placement.victim]
            del engine.held[placement.victim]
        self.outcome.loads += 1
        engine.loading[placement.key] = self.now + LOAD_TIME
        assert len(engine.held) + len(engine.loading) <= self.places

    def _view(
        self,
        engine: Engine,
        usages: UsageTable,
        holders: dict[WeightsKey, Counter[str]],
    ) -> EngineView:
        held, data_centre = [], engine.data_centre
        for key, since in engine.held.items():
            row = usages.demand.rows.get((SERVICE, key)) or WeightsRow(self.now)
            local, count = row.rates.get(data_centre, 0.0), holders[key].total()
            in_use = engine.uses[key] > 0
            each = HeldAdapter(key, since, row.rate, local, count, in_use)
            if self.early:
                each = usages.appraise(each, data_centre, holders[key][data_centre])
            held.append(each)
        return EngineView(
            id=engine.name,
            data_centre=data_centre,
            free_places=self.places - len(engine.held) - len(engine.loading),
            held=tuple(held),
            warm=frozenset(),
            running=sum(engine.uses.values()),
            batch=BATCH,
            unread=int(max(0.0, engine.read_until - self.now) / TOKEN_TIME),
            prefill_time=TOKEN_TIME,
            load_time=LOAD_TIME,
            ready=len(engine.loading) < 4,
            ready_for_cold=len(engine.loading) < 3,
            reading=sum(each.reading for each in held),
            pending=len(engine.loading),
        )
