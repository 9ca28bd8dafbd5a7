"""Which brittle endpoints may have fallen over from what they turned away."""

from collections import deque
from collections.abc import Callable
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.slots.limit import REJECTION_WINDOW

# The end of an endpoint is noticed within this time.
OVERLOAD_TTL: Final[Seconds] = 15.0
# Counts of rejections may lack some: this part of what is borne counts as overload.
OVERLOAD_FRACTION: Final = 0.5


class Overloads:
    """When each endpoint last turned away nearly as many requests as it bears.

    ``get_bearable`` returns how many rejections a second an endpoint bears.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self.get_bearable: Callable[[EndpointId], float] = lambda _: 0.0
        self._overloaded_at: dict[EndpointId, Seconds] = {}
        self._rejected_at: dict[EndpointId, deque[Seconds]] = {}

    def record_rejected(self, endpoint: EndpointId) -> None:
        """Count a rejection of this daemon's own."""
        now = self._clock()
        rejected_at = self._rejected_at.setdefault(endpoint, deque())
        rejected_at.append(now)
        while now - rejected_at[0] > REJECTION_WINDOW:
            rejected_at.popleft()
        self.record_count(endpoint, len(rejected_at))

    def record_count(self, endpoint: EndpointId, rejected: int) -> None:
        """Record how many requests an endpoint has lately turned away."""
        if rejected > OVERLOAD_FRACTION * self.get_bearable(endpoint):
            self._overloaded_at[endpoint] = self._clock()

    def was_overloaded(self, endpoint: EndpointId, since: Seconds) -> bool:
        """Return whether an endpoint turned away so many requests that it may fall."""
        return self._overloaded_at.get(endpoint, float("-inf")) >= since

    def prune_old(self) -> None:
        """Forget overloads that explain no end any more."""
        oldest = self._clock() - OVERLOAD_TTL
        self._overloaded_at = {
            k: v for k, v in self._overloaded_at.items() if v > oldest
        }
        self._rejected_at = {
            k: v for k, v in self._rejected_at.items() if v[-1] > oldest
        }
