"""Retry budget: this daemon's share of the bound for all daemons together.

The bound is a ratio of the requests and a fixed slack, in any window of time. Processes
are started again at any moment and remember nothing of the one before them. So a daemon
uses only what no other process can have used as well:

- The ratio is earned: each request pays for a fraction of a retry for a short time.
  However processes start and clients move, a request pays only once.
- The slack is divided by the number of daemons. While the window may still contain
  retries of an earlier process on its VM, a process uses a small part only. The bound
  holds as long as no VM starts more than three processes within a window.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Final

from kestreltally.deployment import Bounds
from kestreltally.fleet.model import Seconds, ServiceName

NEVER: Final[Seconds] = float("-inf")
# A request pays for this fraction of the ratio. The retries of one window are paid for
# by the requests of that window, EARNED_TTL and ARRIVAL_MARGIN: of 1.4 windows of 10 s.
RATIO_FRACTION: Final = 0.7
EARNED_TTL: Final[Seconds] = 3.0
# The fractions of the slack for a process that has been running for a window, and for a
# new one: a VM may use the first and three times the second within one window.
SLACK_FRACTION: Final = 0.7
STARTING_FRACTION: Final = 0.1
# This fraction of the part of the slack is kept for the most urgent kind of request.
RESERVED_FRACTION: Final = 0.25
# A retry arrives at its endpoint at most about this long after it was granted.
ARRIVAL_MARGIN: Final[Seconds] = 1.0


@dataclass(slots=True)
class Amounts:
    """Numbers of retries, each of which is forgotten after some time."""

    ttl: Seconds
    total: float = 0.0
    _entries: deque[tuple[Seconds, float]] = field(default_factory=deque)

    def add(self, amount: float, now: Seconds) -> None:
        """Add an amount that is forgotten after ``ttl``."""
        self._entries.append((now, amount))
        self.total += amount

    def prune(self, now: Seconds) -> None:
        """Forget what is older than ``ttl``."""
        while self._entries and now - self._entries[0][0] > self.ttl:
            self.total -= self._entries.popleft()[1]
        if not self._entries:
            self.total = 0.0

    def take(self, amount: float) -> float:
        """Remove up to an amount, the oldest first; return how much was removed."""
        missing = amount
        while self._entries and missing > 0.0:
            added_at, available = self._entries.popleft()
            if available > missing:
                self._entries.appendleft((added_at, available - missing))
            missing -= min(available, missing)
        self.total = max(0.0, self.total - (amount - missing))
        return amount - missing


class RetryBudget:
    """Grants retries by service within a sliding window.

    ``daemon_count`` is the number of daemons, None until it is known. Without it no
    slack is used, because any share of it may exceed the bound for all daemons
    together. ``started_at`` is the time at which this process began to serve requests.
    """

    def __init__(self, bounds: Bounds, started_at: Seconds = NEVER) -> None:
        self._bounds = bounds
        self.started_at = started_at
        window = bounds.retry_window + ARRIVAL_MARGIN
        self._new_until = started_at + window
        self._earned: dict[ServiceName, Amounts] = defaultdict(
            lambda: Amounts(EARNED_TTL)
        )
        self._used_slack: dict[ServiceName, Amounts] = defaultdict(
            lambda: Amounts(window)
        )
        # The most urgent priority of a service's requests so far.
        self._most_urgent: dict[ServiceName, int] = {}
        self.daemon_count: int | None = None

    def record_request(
        self, service: ServiceName, now: Seconds, priority: int = 0
    ) -> None:
        """Count a client request; priority 0 is the most urgent."""
        known = self._most_urgent.get(service, priority)
        self._most_urgent[service] = min(priority, known)
        earned = self._earned[service]
        earned.prune(now)
        earned.add(RATIO_FRACTION * self._bounds.retry_ratio, now)

    def can_acquire(self, service: ServiceName, now: Seconds, priority: int) -> bool:
        """Return whether a request of a priority can use a retry now."""
        is_urgent = priority <= self._most_urgent.get(service, priority)
        reserved = 0.0 if is_urgent else RESERVED_FRACTION * self._compute_part(now)
        return self.compute_remaining(service, now) >= 1.0 + reserved

    def acquire(self, service: ServiceName, now: Seconds, priority: int = 0) -> bool:
        """Use one retry of the budget; return whether it had one."""
        if not self.can_acquire(service, now, priority):
            return False
        paid = self._earned[service].take(1.0)
        if paid < 1.0:
            self._used_slack[service].add(1.0 - paid, now)
        return True

    def refund(self, service: ServiceName, now: Seconds) -> None:
        """Give back a retry that was acquired, but never sent."""
        self._earned[service].add(1.0, now)

    def compute_remaining(self, service: ServiceName, now: Seconds) -> float:
        """Return the number of retries left in the budget."""
        earned = self._earned[service]
        earned.prune(now)
        return earned.total + self._compute_slack(service, now)

    def _compute_slack(self, service: ServiceName, now: Seconds) -> float:
        """Return what is left of this process's part of the slack."""
        used = self._used_slack[service]
        used.prune(now)
        return max(0.0, self._compute_part(now) - used.total)

    def _compute_part(self, now: Seconds) -> float:
        """Return this process's part of the slack, used or not."""
        if self.daemon_count is None:
            return 0.0
        is_new = now < self._new_until
        fraction = STARTING_FRACTION if is_new else SLACK_FRACTION
        return fraction * self._bounds.retry_slack / max(1, self.daemon_count)
