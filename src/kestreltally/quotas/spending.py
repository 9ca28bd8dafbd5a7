"""Reports between daemons on what organisations requested and were granted."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import OrganisationName, Seconds

# Spendings older than this when they are reported count for less: they have drained
# from any bucket since.
MAX_UNWEIGHTED_AGE: Final[Seconds] = 4.0

# Averaging time of a daemon's share of all requests. If the total were averaged over a
# shorter time, shares would add up to several times the total during a lull.
SHARE_AVERAGE_TIME: Final[Seconds] = 6.0

# Delay until all daemons act on a spending: a report, another leader's report and an
# update, each up to 0.2 s.
THROTTLE_DELAY: Final[Seconds] = 0.4


@dataclass(frozen=True, slots=True)
class Spending:
    """Units that an organisation requested and was granted since the last report.

    Units of requests that did not run are refunded, so ``granted`` may be negative.
    """

    organisation: OrganisationName
    asked: int
    granted: int


@dataclass(frozen=True, slots=True)
class Keeper:
    """The address of the leader that keeps an organisation's account."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Throttle:
    """The leaders' throttle of an organisation; rarely sent if far below the limit.

    ``ratio`` is the fraction of its requests that may run, ``asked`` the units per
    second that it recently requested over all daemons, and ``wait`` the time until it
    is below its limit. ``keeper`` decides on each request instead, if there is one.
    """

    organisation: OrganisationName
    ratio: float
    asked: float
    wait: Seconds
    keeper: Keeper | None = None


@dataclass(slots=True)
class _Counts:
    asked: int = 0
    granted: int = 0


class SpendingCounter:
    """Adds up spendings between two reports.

    Those older than ``unweighted_age`` when they are reported count for less.
    """

    def __init__(self, unweighted_age: Seconds = MAX_UNWEIGHTED_AGE) -> None:
        self._unweighted_age = unweighted_age
        self._counts: dict[OrganisationName, _Counts] = {}
        self._popped_at: Seconds | None = None

    def add(self, spendings: Iterable[Spending]) -> None:
        """Add spendings to the counts."""
        for each in spendings:
            counts = self._counts.setdefault(each.organisation, _Counts())
            counts.asked += each.asked
            counts.granted += each.granted

    def pop(self, now: Seconds) -> list[Spending]:
        """Return and reset the counts, weighted down if they are old."""
        popped_at = self._popped_at if self._popped_at is not None else now
        counts, self._counts, self._popped_at = self._counts, {}, now
        age = max(self._unweighted_age, now - popped_at)
        weight = self._unweighted_age / age
        return [
            Spending(name, round(weight * each.asked), round(weight * each.granted))
            for name, each in counts.items()
        ]
