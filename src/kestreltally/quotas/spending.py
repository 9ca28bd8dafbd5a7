"""What organisations asked for and were granted, as daemons tell each other."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import OrganisationName, Seconds

# What was counted longer ago than this when it is told at last has drained since from
# any bucket that it would have filled.
MAX_UNWEIGHTED_AGE: Final[Seconds] = 4.0

# Over how long the part is taken that one daemon has of what all are asked for; over a
# shorter time for the whole, parts would add up to several times the whole in a lull.
SHARE_AVERAGE_TIME: Final[Seconds] = 6.0


@dataclass(frozen=True, slots=True)
class Spending:
    """Units that an organisation asked for, and those granted, since the last word.

    What was granted and did not run is given back: ``granted`` may be below zero.
    """

    organisation: OrganisationName
    asked: int
    granted: int


@dataclass(frozen=True, slots=True)
class Throttle:
    """The leaders' word on an organisation; those far from their limit come seldom.

    ``ratio`` is the part of its requests that may run, ``asked`` the units a second
    that it asked for lately over all daemons, ``wait`` how long until it is below its
    limit.
    """

    organisation: OrganisationName
    ratio: float
    asked: float
    wait: Seconds


@dataclass(slots=True)
class _Counts:
    asked: int = 0
    granted: int = 0


class SpendingCounter:
    """Sums up spendings between two words."""

    def __init__(self) -> None:
        self._counts: dict[OrganisationName, _Counts] = {}
        self._popped_at: Seconds | None = None

    def add(self, spendings: Iterable[Spending]) -> None:
        """Count some spendings."""
        for each in spendings:
            counts = self._counts.setdefault(each.organisation, _Counts())
            counts.asked += each.asked
            counts.granted += each.granted

    def take(self, now: Seconds) -> list[Spending]:
        """Return what was counted since the last call, as far as it still matters."""
        popped_at = self._popped_at if self._popped_at is not None else now
        counts, self._counts, self._popped_at = self._counts, {}, now
        weight = min(1.0, MAX_UNWEIGHTED_AGE / max(MAX_UNWEIGHTED_AGE, now - popped_at))
        return [
            Spending(name, round(weight * each.asked), round(weight * each.granted))
            for name, each in counts.items()
        ]
