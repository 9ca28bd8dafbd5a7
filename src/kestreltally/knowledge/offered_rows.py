"""The rows that a leader offers and that this daemon does not use.

A leader sends a row once. If its state of the store is older than a removal that is
known here, the row is withheld. The leader then either learns of the removal and sends
it, or its later updates show that the endpoint was listed again after the removal.
"""

from collections.abc import Callable

from kestreltally.fleet.model import Endpoint, EndpointId
from kestreltally.platform.store import Revision


class OfferedRows:
    """The endpoints that one leader has sent over the present connection."""

    def __init__(self) -> None:
        self._offered: set[EndpointId] = set()
        self._withheld: dict[EndpointId, Endpoint] = {}
        # The revision of this daemon's own list, if the full update was older.
        self._overridden_by: Revision | None = None
        self.wants_full = False

    def reset(self, overridden_by: Revision | None) -> None:
        """Forget everything: the leader sends all its rows again.

        ``overridden_by`` is the revision of a later list, None if there is none. Then
        the leader need not know all endpoints of that list, and never tells the removal
        of one that it has not known, so all its rows are needed once it has caught up.
        """
        self._offered.clear()
        self._withheld.clear()
        self._overridden_by = overridden_by
        self.wants_full = False

    @property
    def is_reconciled(self) -> bool:
        """Return whether what this leader sends covers all that this daemon knows."""
        return self._overridden_by is None

    def record_revision(self, revision: Revision) -> None:
        """Record the revision that an update reflects."""
        if self._overridden_by is not None and revision >= self._overridden_by:
            self.wants_full = True

    def record_sent(self, endpoint: EndpointId) -> None:
        """Record that the leader has sent a row, which is used."""
        self._offered.add(endpoint)
        self._withheld.pop(endpoint, None)

    def record_gone(self, endpoint: EndpointId) -> None:
        """Record that the leader has sent the removal of an endpoint."""
        self._offered.discard(endpoint)
        self._withheld.pop(endpoint, None)

    def withhold(self, endpoint: Endpoint) -> None:
        """Keep a row that the leader has sent, without using it."""
        self._offered.add(endpoint.id)
        self._withheld[endpoint.id] = endpoint

    def record_dropped(self, endpoint: Endpoint) -> None:
        """Withhold the row of an endpoint that was removed by another source."""
        if endpoint.id in self._offered:
            self._withheld[endpoint.id] = endpoint

    def get_withheld(self, endpoint: EndpointId) -> Endpoint | None:
        """Return a withheld row."""
        return self._withheld.get(endpoint)

    def pop_usable(self, is_usable: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Return the withheld rows that can be used now, and keep the others."""
        usable = [each for each in self._withheld.values() if is_usable(each)]
        for endpoint in usable:
            del self._withheld[endpoint.id]
        return usable
