"""The budget of repeated sends: this daemon's part of one bound over all daemons."""

from collections import defaultdict, deque
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds, ServiceName

# The bound holds over all daemons, and requests are not spread evenly over them.
RATIO_PART: Final = 0.75
SLACK_PART: Final = 0.7


class RetryBudget:
    """Grants sends past the first of a request, by service, in a sliding window.

    ``daemons`` is how many there are, none where this one was never told: any part of
    the slack may be too much for all together then, and it takes none.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._first: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self._repeats: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self.daemons: int | None = None

    def note_request(self, service: ServiceName, now: Seconds) -> None:
        """Count a request of a client."""
        requests = self._first[service]
        requests.append(now)
        self._forget(requests, now)

    def take(self, service: ServiceName, now: Seconds) -> bool:
        """Take leave for one more send, if the budget has it."""
        repeats = self._repeats[service]
        self._forget(repeats, now)
        if len(repeats) + 1 > self._allowance(service, now):
            return False
        repeats.append(now)
        return True

    def left(self, service: ServiceName, now: Seconds) -> float:
        """Return how many more sends the budget has."""
        self._forget(self._repeats[service], now)
        return self._allowance(service, now) - len(self._repeats[service])

    def _allowance(self, service: ServiceName, now: Seconds) -> float:
        requests = self._first[service]
        self._forget(requests, now)
        own = RATIO_PART * self._bounds.retry_ratio * len(requests)
        if self.daemons is None:
            return own
        return own + SLACK_PART * self._bounds.retry_slack / max(1, self.daemons)

    def _forget(self, times: deque[Seconds], now: Seconds) -> None:
        while times and now - times[0] > self._bounds.retry_window:
            times.popleft()
