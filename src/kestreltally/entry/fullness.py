"""How full endpoints are: requests under way, and prompts still to be read."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import EndpointId


@dataclass(frozen=True, slots=True)
class Fullness:
    """Counts by endpoint of some daemons' requests.

    ``under_way`` counts requests; ``unread`` the prompt tokens of those that have not
    begun to answer, which an engine reads before it begins with what comes later.
    """

    under_way: Mapping[EndpointId, int]
    unread: Mapping[EndpointId, int]

    def plus(self, other: "Fullness") -> "Fullness":
        """Return the counts of both together."""
        return Fullness(
            under_way=_add(self.under_way, other.under_way),
            unread=_add(self.unread, other.unread),
        )

    def minus(self, other: "Fullness") -> "Fullness":
        """Return these counts without others, which may be of another moment."""
        return Fullness(
            under_way=_subtract(self.under_way, other.under_way),
            unread=_subtract(self.unread, other.unread),
        )


EMPTY: Final = Fullness({}, {})


def _add(
    some: Mapping[EndpointId, int], more: Mapping[EndpointId, int]
) -> Mapping[EndpointId, int]:
    if not more:
        return some
    return Counter(some) + Counter(more)


def _subtract(
    some: Mapping[EndpointId, int], less: Mapping[EndpointId, int]
) -> Mapping[EndpointId, int]:
    # A counter's difference drops what is not above zero.
    return Counter(some) - Counter(less)
