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


@dataclass(slots=True)
class WeightsRow:
    """The demand for some weights.

    ``rates`` are requests a second by data centre, ``missed`` the requests sent back
    lately, both as of ``at``; ``waiting`` holds what each daemon told.
    ``waiting_since`` is when the first of them was told.
    """

    at: Seconds
    rates: dict[str, float] = field(default_factory=lambda: defaultdict(float))
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
        self.missed *= math.exp(-passed / MISS_TIME)
        self.at = now

    def rate(self) -> float:
        """Return the requests a second over all data centres."""
        return sum(self.rates.values())

    def count_waiting(self, now: Seconds) -> int:
        """Return how many requests wait now."""
        return sum(each.waiting for each in self._list_believed(now))

    def _list_believed(self, now: Seconds) -> list[WeightsDemand]:
        """Return what daemons told so lately that it still holds."""
        return [
            each.told for each in self.waiting.values() if now - each.at < WAITING_LIFE
        ]

    def sum_waiting(self, now: Seconds) -> WaitingTotal:
        """Return what waits now."""
        told = self._list_believed(now)
        return WaitingTotal(
            count=sum(each.waiting for each in told),
            timely=sum(each.timely for each in told),
            prompt_tokens=sum(each.prompt_tokens for each in told),
        )


class DemandTable:
    """The demand for all weights that were asked for lately."""

    def __init__(self) -> None:
        self.rows: dict[tuple[ServiceName, WeightsKey], WeightsRow] = {}

    def take(
        self, vm: str, data_centre: str, told: WeightsDemand, now: Seconds
    ) -> None:
        """Take in what a daemon tells."""
        row = self.rows.get((told.service, told.key))
        if row is None:
            row = self.rows[(told.service, told.key)] = WeightsRow(at=now)
        row.decay(now)
        row.rates[data_centre] += told.arrivals / RATE_TIME
        row.missed += told.missed
        if told.waiting:
            if not row.count_waiting(now):
                row.waiting_since = now
            row.waiting[vm] = Waiting(data_centre, told, now)
        else:
            row.waiting.pop(vm, None)

    def decay(self, now: Seconds) -> None:
        """Let all rates fade, and forget what nobody asks for."""
        for name, row in list(self.rows.items()):
            row.decay(now)
            faded = row.rate() < FORGET_BELOW and row.missed < FORGET_BELOW
            if faded and not row.count_waiting(now):
                del self.rows[name]
