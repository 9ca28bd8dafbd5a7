"""Tombstones of removed endpoints, so that older rows do not restore them.

Leaders may know different states of the store: one that has lost contact with it still
sends endpoints that were removed since then. Which of two statements is newer is
decided by revisions of the store, which all daemons share, and not by anybody's clock.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, is_other_incarnation
from kestreltally.platform.store import Revision

# A leader that alone has lost contact with the store resigns long before this.
RETENTION: Final[Seconds] = 60.0


@dataclass(frozen=True, slots=True)
class Tombstone:
    """An incarnation of an endpoint that the store lacks as of a revision."""

    start_time_ms: int
    revision: Revision
    recorded_at: Seconds


class Tombstones:
    """The endpoints that were removed recently."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, Tombstone] = {}

    def record(
        self,
        endpoint: EndpointId,
        start_time_ms: int,
        revision: Revision,
        now: Seconds,
    ) -> None:
        """Record that the store lacks an endpoint as of a revision."""
        self._rows[endpoint] = Tombstone(start_time_ms, revision, now)

    def covers(
        self, endpoint: EndpointId, start_time_ms: int, revision: Revision
    ) -> bool:
        """Return whether a removal as of a revision is recorded, or a later one."""
        row = self._rows.get(endpoint)
        return (
            row is not None
            and not is_other_incarnation(row.start_time_ms, start_time_ms)
            and revision <= row.revision
        )

    def is_removed(self, endpoint: Endpoint, as_of: Revision | None) -> bool:
        """Return whether a row as of a revision predates the removal of its endpoint.

        None stands for a sender that does not state its revision.
        """
        row = self._rows.get(endpoint.id)
        if row is None or is_other_incarnation(
            row.start_time_ms, endpoint.start_time_ms
        ):
            return False
        return as_of is None or as_of <= row.revision

    def remove(self, endpoint: EndpointId) -> bool:
        """Remove the tombstone of an endpoint that is listed again, if there is one."""
        return self._rows.pop(endpoint, None) is not None

    def prune_old(self, now: Seconds) -> None:
        """Remove tombstones older than the retention period."""
        for name, row in list(self._rows.items()):
            if now - row.recorded_at >= RETENTION:
                del self._rows[name]
