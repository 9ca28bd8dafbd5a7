"""What one caller, and the daemon as a whole, may take; and the retry budget."""

from dataclasses import dataclass
from typing import Final

from kestreltally.entities.configuration import Caller
from kestreltally.entities.ids import Seconds

RETRY_FLOOR_PER_SECOND: Final = 2.0
RETRY_BURST: Final = 10.0
MOST_CALLERS_KEPT: Final = 4_096


@dataclass
class TokenBucket:
    """So many a second, and so many at once."""

    rate: float
    burst: float
    level: float
    filled_at: Seconds

    def take(self, now: Seconds) -> bool:
        """Take one if there is one."""
        self.level = min(self.burst, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def put(self, amount: float) -> None:
        """Add to what may be taken."""
        self.level = min(self.burst, self.level + amount)

    def wait_for_one(self) -> Seconds:
        """Return in how many seconds there will be one."""
        return max(0.0, (1.0 - self.level) / self.rate)


@dataclass
class CallerUse:
    """What one caller takes now."""

    bucket: TokenBucket
    running: int = 0


class CallerLimits:
    """The limits of callers at one daemon.

    A caller's rate is shared evenly by the daemons, since the balancer spreads
    its requests; the concurrency is bounded at each daemon.
    """

    def __init__(self) -> None:
        self._uses: dict[str, CallerUse] = {}

    def enter(self, caller: Caller, daemons: int, now: Seconds) -> Seconds | None:
        """Count a request in; return none, or after how long to come back."""
        rate = caller.requests_per_second / max(1, daemons)
        burst = max(1.0, rate)
        use = self._uses.get(caller.name)
        if use is None:
            self._forget_idle()
            use = CallerUse(TokenBucket(rate, burst, burst, now))
            self._uses[caller.name] = use
        use.bucket.rate, use.bucket.burst = rate, burst
        if use.running >= caller.concurrent:
            return 1.0
        if not use.bucket.take(now):
            return use.bucket.wait_for_one()
        use.running += 1
        return None

    def leave(self, caller: Caller) -> None:
        """Count a request out."""
        use = self._uses.get(caller.name)
        if use is not None:
            use.running = max(0, use.running - 1)

    def _forget_idle(self) -> None:
        if len(self._uses) < MOST_CALLERS_KEPT:
            return
        for name in [name for name, use in self._uses.items() if use.running == 0]:
            del self._uses[name]


class RetryBudget:
    """Retries are a share of the traffic, so that they cannot multiply an overload."""

    def __init__(self, share: float, now: Seconds) -> None:
        self._share = share
        self._bucket = TokenBucket(
            RETRY_FLOOR_PER_SECOND, RETRY_BURST, RETRY_BURST, now
        )

    def note_request(self) -> None:
        """Earn a share of a retry by a request."""
        self._bucket.put(self._share)

    def take(self, now: Seconds) -> bool:
        """Take one retry if there is one."""
        return self._bucket.take(now)
