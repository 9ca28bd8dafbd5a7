"""Loads for streams that may go on at one software version only.

An adapter that only engines of other versions hold is of no use to such a stream. So
leaders count these requests apart, and load their adapters on engines of the version.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import WAITING_TTL
from kestreltally.placing.planner import place
from kestreltally.placing.plans import Candidate, EngineView, Placement
from kestreltally.streams.origins import BoundWeights

# The score of a waiting stream, relative to a rate of one request per second: nothing
# else can replace what its client has.
STREAM_SCORE: Final = 2.0
# The score grows by itself in each such time.
WAIT_TIME: Final[Seconds] = 0.5
# The leaders of data centres with engines of the version try one after another, each
# for as long as a load from the weight store and the news of it take.
TURN_TIME: Final[Seconds] = 0.5


@dataclass(frozen=True, slots=True)
class BoundDemand:
    """Streams that wait for weights at their version, and since when the first does."""

    weights: BoundWeights
    waiting: int
    since: Seconds


class BoundDemandTable:
    """The streams that wait for weights at their version, by reporting daemon."""

    def __init__(self) -> None:
        self._reported: dict[str, tuple[Seconds, Mapping[BoundWeights, int]]] = {}
        self._since: dict[BoundWeights, Seconds] = {}

    def apply(self, vm: str, waiting: Mapping[BoundWeights, int], now: Seconds) -> bool:
        """Apply a daemon's report; return whether it concerns other weights too."""
        if not waiting:
            self._reported.pop(vm, None)
            return False
        self._reported[vm] = (now, waiting)
        is_new = any(each not in self._since for each in waiting)
        for each in waiting:
            self._since.setdefault(each, now)
        return is_new

    def list_current(self, now: Seconds) -> list[BoundDemand]:
        """Return what streams wait for now, and forget the rest."""
        totals: dict[BoundWeights, int] = defaultdict(int)
        for vm, (at, waiting) in list(self._reported.items()):
            if now - at > WAITING_TTL:
                del self._reported[vm]
                continue
            for weights, count in waiting.items():
                totals[weights] += count
        self._since = {each: self._since.get(each, now) for each in totals}
        return [
            BoundDemand(weights, count, self._since[weights])
            for weights, count in totals.items()
        ]


@dataclass(frozen=True, slots=True)
class BoundRound:
    """Plans the loads of one service for streams that are bound to a version."""

    service: ServiceName
    fleet: Fleet
    led_data_centres: frozenset[str]
    now: Seconds

    def plan(
        self, demand: Iterable[BoundDemand], views: Sequence[EngineView]
    ) -> list[Placement]:
        """Return loads on led engines of the versions that streams are bound to."""
        planned: list[Placement] = []
        for each in sorted(demand, key=lambda d: d.since):
            if not self._is_due(each):
                continue
            assigned = {placement.engine for placement in planned}
            suitable = [
                view
                for view in views
                if view.id not in assigned and self._includes(each.weights, view)
            ]
            planned.extend(place([self._make_candidate(each)], suitable, self.now))
        return planned

    def _is_due(self, demand: BoundDemand) -> bool:
        """Return whether this leader has to load weights that no engine has."""
        origin, key = demand.weights.origin, demand.weights.key
        if origin.service != self.service:
            return False
        available = (self.service, key, self.now, origin.software)
        if self.fleet.list_holders(*available) or self.fleet.is_loading(*available):
            return False
        usable = self.fleet.list_usable(self.service, self.now)
        data_centres = sorted({e.data_centre for e in usable if origin.includes(e)})
        if not data_centres:
            return False
        turn = int((self.now - demand.since) / TURN_TIME) % len(data_centres)
        return data_centres[turn] in self.led_data_centres

    def _includes(self, weights: BoundWeights, view: EngineView) -> bool:
        endpoint = self.fleet.endpoints.get(view.id)
        return endpoint is not None and weights.origin.includes(endpoint)

    def _make_candidate(self, demand: BoundDemand) -> Candidate:
        growth = 1.0 + (self.now - demand.since) / WAIT_TIME
        score = STREAM_SCORE * demand.waiting * growth
        return Candidate(demand.weights.key, None, score, is_replica=False)
