"""Removals of endpoints: from whom a daemon learns that one is gone."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.fleet.model import Seconds


class RemovalSource(Enum):
    """Through what the removal of an endpoint reached this daemon."""

    LIST = "list"
    WATCH = "watch"
    LEADER = "leader"
    FULL_UPDATE = "full update"
    # Missing in the first list that this daemon has read.
    FIRST_LIST = "first list"
    # Another daemon has learned of it.
    DEPARTURE = "departure"
    # Missing among the endpoints that another leader lists.
    ABSENCE = "absence"


# Through these a daemon sees an entry go that it has known to be listed.
CERTAIN_SOURCES: Final = frozenset(
    {RemovalSource.LIST, RemovalSource.WATCH, RemovalSource.DEPARTURE}
)


@dataclass(frozen=True, slots=True)
class RemovalOrigin:
    """Where a removal came from.

    ``leader`` is the daemon that sent it. ``doubted_for`` is how long the entry was
    kept although it was missing, because the store may have been unavailable.
    """

    source: RemovalSource
    leader: str | None = None
    doubted_for: Seconds | None = None
