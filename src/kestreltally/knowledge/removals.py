"""Removals of endpoints: from whom a daemon learns that one is gone."""

from dataclasses import dataclass
from enum import Enum

from kestreltally.fleet.model import Seconds


class RemovalSource(Enum):
    """Through what the removal of an endpoint reached this daemon."""

    LIST = "list"
    WATCH = "watch"
    LEADER = "leader"
    FULL_UPDATE = "full update"


@dataclass(frozen=True, slots=True)
class RemovalOrigin:
    """Where a removal came from.

    ``leader`` is the daemon that sent it. ``doubted_for`` is how long the entry was
    kept although it was missing, because the store may have been unavailable.
    """

    source: RemovalSource
    leader: str | None = None
    doubted_for: Seconds | None = None
