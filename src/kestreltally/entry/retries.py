"""Retry budget: this daemon's share of the bound for all daemons together."""

from collections import defaultdict, deque
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds, ServiceName

# The fractions of its share that a daemon uses: the bound holds for all daemons
# together, and requests are not spread evenly over them.
NEVER: Final[Seconds] = float("-inf")
RATIO_FRACTION: Final = 0.75
SLACK_FRACTION: Final = 0.7


class RetryBudget:
    """Grants retries by service within a sliding window.

    ``daemon_count`` is the number of daemons, None until it is known. Without it no
    slack is used, because any share of it may exceed the bound for all daemons
    together. ``started_at`` is the time at which this process began to serve requests.
    """

    def __init__(self, bounds: Bounds, started_at: Seconds = NEVER) -> None:
        self._bounds = bounds
        self.started_at = started_at
        self._request_times: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self._retry_times: dict[ServiceName, deque[Seconds]] = defaultdict(deque)
        self.daemon_count: int | None = None

    def record_request(self, service: ServiceName, now: Seconds) -> None:
        """Count a client request."""
        request_times = self._request_times[service]
        request_times.append(now)
        self._prune(request_times, now)

    def acquire(self, service: ServiceName, now: Seconds) -> bool:
        """Use one retry of the budget; return whether it had one."""
        retry_times = self._retry_times[service]
        self._prune(retry_times, now)
        if len(retry_times) + 1 > self._compute_allowance(service, now):
            return False
        retry_times.append(now)
        return True

    def compute_remaining(self, service: ServiceName, now: Seconds) -> float:
        """Return the number of retries left in the budget."""
        self._prune(self._retry_times[service], now)
        return self._compute_allowance(service, now) - len(self._retry_times[service])

    def _compute_allowance(self, service: ServiceName, now: Seconds) -> float:
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
