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


# Through these a daemon itself sees an entry go that it has known to be listed.
SEEN_SOURCES: Final = frozenset({RemovalSource.LIST, RemovalSource.WATCH})


@dataclass(frozen=True, slots=True)
class RemovalOrigin:
    """Where a removal came from.

    ``leader`` is the daemon that sent it. ``doubted_for`` is how long the entry was
    kept although it was missing, because the store may have been unavailable.
    ``certain`` says that some daemon saw the entry go: one that is merely missing in
    the first list of a daemon may have expired, and others may keep it for that reason.
    """

    source: RemovalSource
    leader: str | None = None
    doubted_for: Seconds | None = None
    certain: bool = False

    @property
    def is_seen_here(self) -> bool:
        """Return whether this daemon itself saw the entry go."""
        return self.source in SEEN_SOURCES
