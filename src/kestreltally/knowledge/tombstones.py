"""Endpoints that are gone, so that older word brings none of them back.

A leader that has lost the store still tells of endpoints that have gone since, to who
connects to it. What it tells is as old as its last answer of the store.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, is_other_life

# A leader that alone has lost the store resigns long before.
RETENTION: Final[Seconds] = 60.0


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """The start of an endpoint that is gone, by what the store held at a moment."""

    born: int
    as_of: Seconds


class Tombstones:
    """The endpoints that were dropped lately."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Tombstone] = {}

    def record(self, endpoint: Endpoint, as_of: Seconds) -> None:
        """Note that an endpoint is gone by what the store held at a moment."""
        self._rows[endpoint.id] = _Tombstone(endpoint.born, as_of)

    def is_removed(self, endpoint: Endpoint, as_of: Seconds) -> bool:
        """Tell whether word on an endpoint, of a moment, is older than its end."""
        row = self._rows.get(endpoint.id)
        if row is None or is_other_life(row.born, endpoint.born):
            return False
        return as_of <= row.as_of

    def remove(self, endpoint: EndpointId) -> None:
        """Forget that an endpoint was gone: the store lists it."""
        self._rows.pop(endpoint, None)

    def prune_old(self, now: Seconds) -> None:
        """Drop what was noted long ago."""
        for name, row in list(self._rows.items()):
            if now - row.as_of >= RETENTION:
                del self._rows[name]
