"""Occupancy of endpoints: requests in flight and prompt tokens not yet processed."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import EndpointId


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Counts by endpoint for the requests of one or several daemons.

    ``in_flight`` counts requests. ``unread`` counts the unprocessed prompt tokens of
    those without a first event yet; an engine processes them before requests that come
    later.
    """

    in_flight: Mapping[EndpointId, int]
    unread: Mapping[EndpointId, int]

    @classmethod
    def total(cls, parts: "Iterable[Occupancy]") -> "Occupancy":
        """Return the sum of all parts."""
        in_flight: dict[EndpointId, int] = {}
        unread: dict[EndpointId, int] = {}
        for part in parts:
            _add(in_flight, part.in_flight)
            _add(unread, part.unread)
        return cls(in_flight, unread)

    def minus(self, other: "Occupancy") -> "Occupancy":
        """Return these counts less others, never below zero.

        The two may have been measured at different times.
        """
        return Occupancy(
            in_flight=_subtract(self.in_flight, other.in_flight),
            unread=_subtract(self.unread, other.unread),
        )


EMPTY: Final = Occupancy({}, {})


def _add(total: dict[EndpointId, int], more: Mapping[EndpointId, int]) -> None:
    for endpoint, count in more.items():
        total[endpoint] = total.get(endpoint, 0) + count


def _subtract(
    counts: Mapping[EndpointId, int], subtracted: Mapping[EndpointId, int]
) -> Mapping[EndpointId, int]:
    remaining = (
        (endpoint, n - subtracted.get(endpoint, 0)) for endpoint, n in counts.items()
    )
    return {endpoint: count for endpoint, count in remaining if count > 0}
