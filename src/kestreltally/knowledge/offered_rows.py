"""The rows that a leader offers and that this daemon does not use.

A leader sends a row once. If its state of the store is older than a removal that is
known here, the row is withheld. The leader then either learns of the removal and sends
it, or its later updates show that the endpoint was listed again after the removal.
"""

from collections.abc import Callable

from kestreltally.fleet.model import Endpoint, EndpointId


class OfferedRows:
    """The endpoints that one leader has sent over the present connection."""

    def __init__(self) -> None:
        self._offered: set[EndpointId] = set()
        self._withheld: dict[EndpointId, Endpoint] = {}

    def reset(self) -> None:
        """Forget everything: the leader sends all its rows again."""
        self._offered.clear()
        self._withheld.clear()

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
