"""The notices of one incarnation of an endpoint, and what follows from them."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.fleet.named_limits import NEVER, NamedLimit
from kestreltally.fleet.rate_limits import RateLimitState

# After a backoff a single request is sent. Each answer allows one more in flight, up to
# MAX_TRIALS: if all waiting requests were sent at once, they would be rejected again.
INITIAL_TRIALS: Final = 1
TRIAL_STEP: Final = 1
MAX_TRIALS: Final = 16
# A request sent after a backoff blocks others for this long at most if its answer does
# not start: a healthy engine's first byte takes 0.1 s, more behind a queue.
TRIAL_TIMEOUT: Final[Seconds] = 1.0
# While all requests allowed after a backoff are in flight, callers look again after
# this time: an answer to any of them allows the next.
TRIAL_POLL_INTERVAL: Final[Seconds] = 0.05
# An endpoint that rejects this many requests in a row without naming a time is treated
# as if it had asked for backoff, which doubles with each further rejection.
MAX_REJECTIONS: Final = 3
INITIAL_DEFAULT_BACKOFF: Final[Seconds] = 0.3
MAX_DEFAULT_BACKOFF: Final[Seconds] = 2.4
FOREVER: Final[Seconds] = float("inf")


@dataclass(slots=True)
class EndpointNotices:
    """The state of one incarnation of an endpoint.

    ``recovering`` stays set after the backoff until answers have shown that it is over;
    until then ``max_in_flight`` requests may be in flight, and ``trials`` holds their
    send times. ``remote_backoff_until`` is the end of the longest backoff that was
    requested from another daemon. ``consecutive_rejections`` counts rejections without
    a named time, and ``default_backoff`` is the last backoff applied for them.
    """

    start_time_ms: int
    recorded_at: Seconds
    leaves: bool = False
    recovering: bool = False
    backoff_until: Seconds = NEVER
    max_in_flight: int = INITIAL_TRIALS
    trials: deque[Seconds] = field(default_factory=deque)
    remote_backoff_until: Seconds = NEVER
    consecutive_rejections: int = 0
    rejected_at: Seconds = NEVER
    default_backoff: Seconds = 0.0
    rate_limit: RateLimitState = field(default_factory=RateLimitState)
    brittleness: NamedLimit = field(default_factory=NamedLimit)

    def start_recovery(self, now: Seconds) -> None:
        """Limit the requests in flight; answers then raise the limit step by step."""
        self.recovering = True
        self.max_in_flight = INITIAL_TRIALS
        self.backoff_until = max(self.backoff_until, now)

    def count_rejection(self, sent_at: Seconds, now: Seconds) -> Seconds:
        """Count a rejection without a named time; return the backoff it causes.

        Requests that were in flight together are rejected for one reason and count
        once.
        """
        if sent_at < self.rejected_at:
            return 0.0
        self.rejected_at = now
        self.consecutive_rejections += 1
        if self.consecutive_rejections < MAX_REJECTIONS or now < self.backoff_until:
            return 0.0
        longer = max(INITIAL_DEFAULT_BACKOFF, 2 * self.default_backoff)
        self.default_backoff = min(MAX_DEFAULT_BACKOFF, longer)
        return self.default_backoff

    def compute_backoff(self, now: Seconds) -> Seconds:
        """Return the remaining backoff, 0 if the endpoint can be called."""
        if self.leaves:
            return FOREVER
        if not self.recovering:
            return 0.0
        if now < self.backoff_until:
            return self.backoff_until - now
        while self.trials and now - self.trials[0] >= TRIAL_TIMEOUT:
            self.trials.popleft()
        return 0.0 if len(self.trials) < self.max_in_flight else TRIAL_POLL_INTERVAL
