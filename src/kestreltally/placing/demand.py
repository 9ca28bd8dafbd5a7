"""Which weights are asked for, where, and how much: rates that decay in seconds."""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from kestreltally.entry.demand import WeightsDemand
from kestreltally.fleet.model import Seconds, ServiceName, WeightsKey

# Demand may move to other adapters within a few seconds.
RATE_TIME: Final[Seconds] = 5.0
# Requests that were refused come back within about a second.
MISS_TIME: Final[Seconds] = 1.2
# A daemon's count of waiting requests is believed this long.
WAITING_LIFE: Final[Seconds] = 0.8
FORGET_BELOW: Final = 0.01
# Rates fade this often: within it they lose 2 in 100, and a leader plans several times.
DECAY_EVERY: Final[Seconds] = 0.1

Asked = tuple[ServiceName, WeightsKey]


@dataclass(frozen=True, slots=True)
class Waiting:
    """What one daemon told of its requests that wait, and when."""

    data_centre: str
    told: WeightsDemand
    at: Seconds


@dataclass(frozen=True, slots=True)
class WaitingTotal:
    """The requests that wait for some weights, over all daemons."""

    count: int
    timely: int
    prompt_tokens: int


NOBODY_WAITS: Final = WaitingTotal(0, 0, 0)


@dataclass(slots=True)
class WeightsRow:
    """The demand for some weights.

    ``rates`` are requests a second by data centre, ``rate`` their sum, ``missed`` the
    requests sent back lately, all as of ``at``; ``waiting`` holds what each daemon
    told. ``waiting_since`` is when the first of them was told.
    """

    at: Seconds
    rates: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    rate: float = 0.0
    missed: float = 0.0
    waiting: dict[str, Waiting] = field(default_factory=dict)
    waiting_since: Seconds = 0.0

    def decay(self, now: Seconds) -> None:
        """Let the rates fade to a moment."""
        passed = max(0.0, now - self.at)
        if passed <= 0:
            return
        kept = math.exp(-passed / RATE_TIME)
        for data_centre in self.rates:
            self.rates[data_centre] *= kept
        self.rate *= kept
        self.missed *= math.exp(-passed / MISS_TIME)
        self.at = now

    def add(self, data_centre: str, arrivals: int) -> None:
        """Count requests that came in a data centre."""
        self.rates[data_centre] += arrivals / RATE_TIME
        self.rate += arrivals / RATE_TIME

    def count_waiting(self, now: Seconds) -> int:
        """Return how many requests wait now."""
        if not self.waiting:
            return 0
        return sum(each.waiting for each in self._list_believed(now))

    def _list_believed(self, now: Seconds) -> list[WeightsDemand]:
        """Return what daemons told so lately that it still holds."""
        return [
            each.told for each in self.waiting.values() if now - each.at < WAITING_LIFE
        ]

    def sum_waiting(self, now: Seconds) -> WaitingTotal:
        """Return what waits now."""
        if not self.waiting:
            return NOBODY_WAITS
        told = self._list_believed(now)
        return WaitingTotal(
            count=sum(each.waiting for each in told),
            timely=sum(each.timely for each in told),
            prompt_tokens=sum(each.prompt_tokens for each in told),
        )


class DemandTable:
    """The demand for all weights that were asked for lately.

    ``waiting`` are the rows for which some daemon told of requests that wait.
    """

    def __init__(self) -> None:
        self.rows: dict[Asked, WeightsRow] = {}
        self.waiting: dict[Asked, WeightsRow] = {}
        self._decayed_at: Seconds = float("-inf")

    def take(
        self, vm: str, data_centre: str, told: WeightsDemand, now: Seconds
    ) -> None:
        """Take in what a daemon tells."""
        asked = (told.service, told.key)
        row = self.rows.get(asked)
        if row is None:
            row = self.rows[asked] = WeightsRow(at=now)
        row.decay(now)
        row.add(data_centre, told.arrivals)
        row.missed += told.missed
        if told.waiting:
            if not row.count_waiting(now):
                row.waiting_since = now
            row.waiting[vm] = Waiting(data_centre, told, now)
            self.waiting[asked] = row
        elif row.waiting.pop(vm, None) is not None and not row.waiting:
            self.waiting.pop(asked, None)

    def list_notable(self, least_rate: float) -> list[tuple[Asked, WeightsRow]]:
        """Return the rows that may wait, or are asked for more often than so."""
        return [
            (asked, row)
            for asked, row in self.rows.items()
            if row.waiting or row.rate > least_rate
        ]

    def decay(self, now: Seconds) -> None:
        """Let all rates fade, and forget what nobody asks for; often enough."""
        if now - self._decayed_at < DECAY_EVERY:
            return
        self._decayed_at = now
        for asked, row in list(self.rows.items()):
            row.decay(now)
            waits = row.count_waiting(now)
            if row.waiting and not waits:
                row.waiting.clear()
                self.waiting.pop(asked, None)
            faded = row.rate < FORGET_BELOW and row.missed < FORGET_BELOW
            if faded and not waits:
                del self.rows[asked]
