"""The budget of repeated sends: this daemon's part of one bound over all daemons."""

from collections import defaultdict, deque
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds, ServiceName

# The bound holds over all daemons, and requests are not spread evenly over them.
RATIO_FRACTION: Final = 0.75
SLACK_FRACTION: Final = 0.7


class RetryBudget:
    """Grants sends past the first of a request, by service, in a sliding window.

    ``daemon_count`` is how many there are, none where this one was never told: any part of
    the slack may be too much for all together then, and it takes none.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._request_times: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self._retry_times: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self.daemon_count: int | None = None

    def record_request(self, service: ServiceName, now: Seconds) -> None:
        """Count a request of a client."""
        request_times = self._request_times[service]
        request_times.append(now)
        self._prune(request_times, now)

    def acquire(self, service: ServiceName, now: Seconds) -> bool:
        """Take leave for one more send, if the budget has it."""
        retry_times = self._retry_times[service]
        self._prune(retry_times, now)
        if len(retry_times) + 1 > self._allowance(service, now):
            return False
        retry_times.append(now)
        return True

    def remaining(self, service: ServiceName, now: Seconds) -> float:
        """Return how many more sends the budget has."""
        self._prune(self._retry_times[service], now)
        return self._allowance(service, now) - len(self._retry_times[service])

    def _allowance(self, service: ServiceName, now: Seconds) -> float:
        request_times = self._request_times[service]
        self._prune(request_times, now)
        from_ratio = RATIO_FRACTION * self._bounds.retry_ratio * len(request_times)
        if self.daemon_count is None:
            return from_ratio
        return from_ratio + SLACK_FRACTION * self._bounds.retry_slack / max(
            1, self.daemon_count
        )

    def _prune(self, times: deque[Seconds], now: Seconds) -> None:
        while times and now - times[0] > self._bounds.retry_window:
            times.popleft()
