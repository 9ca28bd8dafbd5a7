"""Decides which of two statements on an endpoint holds: that it is listed, or removed.

Each statement is as of a revision of the store, and the later one holds, whoever makes
it. A daemon knows the revision as of which its list of endpoints is complete, so an
endpoint that is unknown to it has been removed by then, even if this daemon has started
since. Removals are kept as tombstones, and told to other daemons as departures.
"""

from collections.abc import Callable, Mapping

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, is_other_incarnation
from kestreltally.knowledge.departures import Departure, DepartureLog
from kestreltally.knowledge.doubts import Doubts
from kestreltally.knowledge.removal_origins import RemovalOrigin
from kestreltally.knowledge.tombstones import Tombstones
from kestreltally.platform.store import NO_REVISION, Revision


class Removals:
    """What this daemon knows of removed endpoints; ``known`` are those in its table."""

    def __init__(
        self, known: Mapping[EndpointId, Endpoint], clock: Callable[[], Seconds]
    ) -> None:
        self._known = known
        self._clock = clock
        self._tombstones = Tombstones()
        self.departures = DepartureLog(clock)
        # Entries that this daemon keeps although they are missing.
        self.doubts = Doubts()
        # The latest revision of the store whose complete list of endpoints is known.
        self.revision = NO_REVISION

    def record_complete(self, revision: Revision) -> None:
        """Record that the table reflects all entries as of a revision."""
        self.revision = max(self.revision, revision)

    def is_outdated(self, endpoint: Endpoint, as_of: Revision | None) -> bool:
        """Return whether a row as of a revision is older than its removal."""
        if self._tombstones.is_removed(endpoint, as_of):
            return True
        is_known = endpoint.id in self._known
        return not is_known and as_of is not None and as_of < self.revision

    def is_overridden(self, as_of: Revision | None) -> bool:
        """Return whether a removal is older than the complete list that is known.

        An endpoint that is in that list was listed again since.
        """
        return as_of is not None and as_of < self.revision

    def is_news(self, departure: Departure, revision: Revision) -> bool:
        """Return whether a departure is newer than what is known of its endpoint.

        An entry that is kept in doubt is missing in the list that is known.
        """
        name, start_time_ms = departure.endpoint, departure.start_time_ms
        if self._tombstones.covers(name, start_time_ms, revision):
            return False
        known = self._known.get(name)
        if known is not None and is_other_incarnation(
            known.start_time_ms, start_time_ms
        ):
            return False
        if name in self.doubts:
            return departure.certain
        return self.revision < revision

    def record_removed(
        self,
        endpoint: EndpointId,
        start_time_ms: int,
        revision: Revision,
        origin: RemovalOrigin,
    ) -> None:
        """Remember that the store lacks an endpoint, and tell other daemons."""
        self._tombstones.record(endpoint, start_time_ms, revision, self._clock())
        self.doubts.discard(endpoint)
        departure = Departure(endpoint, start_time_ms, revision, origin.certain)
        self.departures.add(departure, seen_here=origin.is_seen_here)

    def record_leaving(self, endpoint: EndpointId, start_time_ms: int) -> None:
        """Tell other daemons that an endpoint says that it leaves."""
        departure = Departure(endpoint, start_time_ms, None, certain=True)
        self.departures.add(departure, seen_here=False)

    def record_listed(self, endpoint: EndpointId) -> None:
        """Forget the removal of an endpoint that is listed again."""
        if self._tombstones.remove(endpoint):
            self.departures.discard(endpoint)

    def prune_old(self) -> None:
        """Remove tombstones older than their retention period."""
        self._tombstones.prune_old(self._clock())
