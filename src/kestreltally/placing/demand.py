"""Demand for weights by data centre: exponentially decaying request rates."""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from kestreltally.entry.demand import WeightsDemand
from kestreltally.fleet.model import Seconds, ServiceName, WeightsKey

# Time constant of request rates: demand may shift to other adapters within seconds.
RATE_DECAY_TIME: Final[Seconds] = 5.0
# Time constant of refused requests, which are retried within about a second.
MISS_DECAY_TIME: Final[Seconds] = 1.2
# How long a daemon's reported count of waiting requests is valid.
WAITING_TTL: Final[Seconds] = 0.8
PRUNE_THRESHOLD: Final = 0.01
# The interval at which rates are decayed. They lose 2 % in it, and a leader plans
# several times.
DECAY_INTERVAL: Final[Seconds] = 0.1

DemandKey = tuple[ServiceName, WeightsKey]


@dataclass(frozen=True, slots=True)
class WaitingReport:
    """The waiting requests that one daemon reported, and when."""

    data_centre: str
    reported: WeightsDemand
    at: Seconds


@dataclass(frozen=True, slots=True)
class WaitingTotal:
    """The requests waiting for some weights, summed over all daemons."""

    count: int
    within_objective: int
    prompt_tokens: int


NO_WAITING: Final = WaitingTotal(0, 0, 0)


@dataclass(slots=True)
class WeightsRow:
    """The demand for some weights.

    ``rates`` are requests per second by data centre, ``rate`` their sum, ``missed`` the
    recently refused requests, all as of ``at``. ``waiting`` holds each daemon's report
    of waiting requests, ``waiting_since`` is the time of the first one.
    """

    at: Seconds
    rates: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    rate: float = 0.0
    missed: float = 0.0
    waiting: dict[str, WaitingReport] = field(default_factory=dict)
    waiting_since: Seconds = 0.0

    def decay(self, now: Seconds) -> None:
        """Decay the rates to the given time."""
        elapsed = max(0.0, now - self.at)
        if elapsed <= 0:
            return
        factor = math.exp(-elapsed / RATE_DECAY_TIME)
        for data_centre in self.rates:
            self.rates[data_centre] *= factor
        self.rate *= factor
        self.missed *= math.exp(-elapsed / MISS_DECAY_TIME)
        self.at = now

    def add(self, data_centre: str, arrivals: int) -> None:
        """Count requests that arrived in a data centre."""
        self.rates[data_centre] += arrivals / RATE_DECAY_TIME
        self.rate += arrivals / RATE_DECAY_TIME

    def count_waiting(self, now: Seconds) -> int:
        """Return the number of requests waiting now."""
        if not self.waiting:
            return 0
        return sum(each.waiting for each in self._list_current(now))

    def _list_current(self, now: Seconds) -> list[WeightsDemand]:
        """Return the reports that have not expired."""
        return [
            each.reported
            for each in self.waiting.values()
            if now - each.at < WAITING_TTL
        ]

    def sum_waiting(self, now: Seconds) -> WaitingTotal:
        """Return the totals of the requests waiting now."""
        if not self.waiting:
            return NO_WAITING
        reported = self._list_current(now)
        return WaitingTotal(
            count=sum(each.waiting for each in reported),
            within_objective=sum(each.within_objective for each in reported),
            prompt_tokens=sum(each.prompt_tokens for each in reported),
        )


class DemandTable:
    """The demand for all recently requested weights.

    ``waiting`` are the rows for which some daemon reported waiting requests.
    """

    def __init__(self) -> None:
        self.rows: dict[DemandKey, WeightsRow] = {}
        self.waiting: dict[DemandKey, WeightsRow] = {}
        self._decayed_at: Seconds = float("-inf")

    def apply(
        self, vm: str, data_centre: str, reported: WeightsDemand, now: Seconds
    ) -> None:
        """Apply a daemon's report."""
        demand_key = (reported.service, reported.key)
        row = self.rows.get(demand_key)
        if row is None:
            row = self.rows[demand_key] = WeightsRow(at=now)
        row.decay(now)
        row.add(data_centre, reported.arrivals)
        row.missed += reported.missed
        if reported.waiting:
            if not row.count_waiting(now):
                row.waiting_since = now
            row.waiting[vm] = WaitingReport(data_centre, reported, now)
            self.waiting[demand_key] = row
        elif row.waiting.pop(vm, None) is not None and not row.waiting:
            self.waiting.pop(demand_key, None)

    def list_significant(self, min_rate: float) -> list[tuple[DemandKey, WeightsRow]]:
        """Return the rows with waiting requests or a rate above ``min_rate``."""
        return [
            (demand_key, row)
            for demand_key, row in self.rows.items()
            if row.waiting or row.rate > min_rate
        ]

    def decay(self, now: Seconds) -> None:
        """Decay all rates and remove negligible rows, once per ``DECAY_INTERVAL``."""
        if now - self._decayed_at < DECAY_INTERVAL:
            return
        self._decayed_at = now
        for demand_key, row in list(self.rows.items()):
            row.decay(now)
            waiting = row.count_waiting(now)
            if row.waiting and not waiting:
                row.waiting.clear()
                self.waiting.pop(demand_key, None)
            negligible = row.rate < PRUNE_THRESHOLD and row.missed < PRUNE_THRESHOLD
            if negligible and not waiting:
                del self.rows[demand_key]
