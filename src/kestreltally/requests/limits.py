"""Rate and concurrency limits of callers, and the retry budget of a daemon."""

from dataclasses import dataclass
from typing import Final

from kestreltally.entities.configuration import Caller
from kestreltally.entities.ids import Seconds

MIN_RETRIES_PER_SECOND: Final = 2.0
RETRY_BURST: Final = 10.0
MAX_TRACKED_CALLERS: Final = 4_096


@dataclass
class TokenBucket:
    """A token bucket: ``rate`` tokens per second, at most ``burst`` at once."""

    rate: float
    burst: float
    level: float
    filled_at: Seconds

    def acquire(self, now: Seconds) -> bool:
        """Take one token; return whether one was available."""
        self.level = min(self.burst, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def add(self, amount: float) -> None:
        """Add tokens, up to the burst size."""
        self.level = min(self.burst, self.level + amount)

    def compute_wait(self) -> Seconds:
        """Return the seconds until a token is available."""
        return max(0.0, (1.0 - self.level) / self.rate)


@dataclass
class CallerUsage:
    """The current usage of one caller."""

    bucket: TokenBucket
    running: int = 0


class CallerLimits:
    """The limits of callers at one daemon.

    Each daemon allows an equal share of a caller's rate, since the load balancer
    spreads its requests evenly. The concurrency limit applies per daemon.
    """

    def __init__(self) -> None:
        self._usage: dict[str, CallerUsage] = {}

    def acquire(
        self, caller: Caller, daemon_count: int, now: Seconds
    ) -> Seconds | None:
        """Count a started request; return None, or the wait if it is over a limit."""
        rate = caller.requests_per_second / max(1, daemon_count)
        burst = max(1.0, rate)
        usage = self._usage.get(caller.name)
        if usage is None:
            self._remove_idle()
            usage = CallerUsage(TokenBucket(rate, burst, burst, now))
            self._usage[caller.name] = usage
        usage.bucket.rate, usage.bucket.burst = rate, burst
        if usage.running >= caller.concurrent:
            return 1.0
        if not usage.bucket.acquire(now):
            return usage.bucket.compute_wait()
        usage.running += 1
        return None

    def release(self, caller: Caller) -> None:
        """Count an ended request."""
        usage = self._usage.get(caller.name)
        if usage is not None:
            usage.running = max(0, usage.running - 1)

    def _remove_idle(self) -> None:
        if len(self._usage) < MAX_TRACKED_CALLERS:
            return
        for name in [name for name, usage in self._usage.items() if usage.running == 0]:
            del self._usage[name]


class RetryBudget:
    """Limits retries to a fraction of requests, so that they cannot amplify load."""

    def __init__(self, fraction: float, now: Seconds) -> None:
        self._fraction = fraction
        self._bucket = TokenBucket(
            MIN_RETRIES_PER_SECOND, RETRY_BURST, RETRY_BURST, now
        )

    def record_request(self) -> None:
        """Add the fraction of a retry that one request allows."""
        self._bucket.add(self._fraction)

    def acquire(self, now: Seconds) -> bool:
        """Take one retry; return whether the budget allows it."""
        return self._bucket.acquire(now)
