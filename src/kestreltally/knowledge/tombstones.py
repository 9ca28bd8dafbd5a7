"""Tombstones of removed endpoints, so that older updates do not restore them.

A leader that has lost contact with the store still sends endpoints that were removed
since then. Its rows are as old as the last answer that it got from the store.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, is_other_incarnation

# A leader that alone has lost contact with the store resigns long before this.
RETENTION: Final[Seconds] = 60.0


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """A removed incarnation of an endpoint, as of a state of the store."""

    start_time_ms: int
    as_of: Seconds


class Tombstones:
    """The endpoints that were removed recently."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Tombstone] = {}

    def record(self, endpoint: Endpoint, as_of: Seconds) -> None:
        """Record that an endpoint is missing in the store as of a time."""
        self._rows[endpoint.id] = _Tombstone(endpoint.start_time_ms, as_of)

    def is_removed(self, endpoint: Endpoint, as_of: Seconds) -> bool:
        """Return whether a row as of a time predates the removal of its endpoint."""
        row = self._rows.get(endpoint.id)
        if row is None or is_other_incarnation(
            row.start_time_ms, endpoint.start_time_ms
        ):
            return False
        return as_of <= row.as_of

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the tombstone of an endpoint that the store lists."""
        self._rows.pop(endpoint, None)

    def prune_old(self, now: Seconds) -> None:
        """Remove tombstones older than the retention period."""
        for name, row in list(self._rows.items()):
            if now - row.as_of >= RETENTION:
                del self._rows[name]
