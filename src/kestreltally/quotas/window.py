"""Counts the units of the last seconds, so that a limit holds in any such window."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# Units of this time are counted together, and leave the window together.
BIN_WIDTH: Final[Seconds] = 0.05


@dataclass(slots=True)
class _Bin:
    started_at: Seconds
    units: float


class WindowCount:
    """The units counted in the last ``window`` seconds; none leaves too early."""

    def __init__(self, window: Seconds) -> None:
        self._window = window
        self._bins: deque[_Bin] = deque()
        self.total = 0.0

    def add(self, units: float, now: Seconds) -> None:
        """Count units; negative ones are taken from those that leave first."""
        self.settle(now)
        if units < 0:
            self._take_back(-units)
            return
        if not self._bins or now >= self._bins[-1].started_at + BIN_WIDTH:
            self._bins.append(_Bin(now, 0.0))
        self._bins[-1].units += units
        self.total += units

    def settle(self, now: Seconds) -> None:
        """Drop what has left the window."""
        while self._bins and self._leaves_at(self._bins[0]) <= now:
            self.total -= self._bins.popleft().units
        if not self._bins:
            self.total = 0.0

    def _take_back(self, units: float) -> None:
        while units > 0 and self._bins:
            taken = min(units, self._bins[0].units)
            units -= taken
            self.total -= taken
            self._bins[0].units -= taken
            if self._bins[0].units <= 0:
                self._bins.popleft()

    def count_since(self, started_at: Seconds) -> float:
        """Return the units counted since a time."""
        return sum(each.units for each in self._bins if each.started_at >= started_at)

    def list_leaving(self, since: Seconds) -> Iterator[tuple[Seconds, float]]:
        """Yield when units counted since a time leave, and how many, in order."""
        for each in self._bins:
            if each.started_at >= since:
                yield self._leaves_at(each), each.units

    def _leaves_at(self, counted: _Bin) -> Seconds:
        return counted.started_at + BIN_WIDTH + self._window
