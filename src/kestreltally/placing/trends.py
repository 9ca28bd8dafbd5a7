"""Request rates that rise and fall: what each adapter is expected to be asked for next.

One mean cannot tell an adapter that is asked for once from one that is asked for
regularly but rarely, nor a pause from an end. So there is a fast and a slow mean for
each adapter. The state starts empty in a new leader; until it has watched for a while,
adapters of which it has not heard count as possibly requested.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from kestreltally.entry.demand import WeightsDemand
from kestreltally.fleet.model import Seconds
from kestreltally.placing.demand import DemandKey

# The fast mean follows a rise within about two loads from the weight store, the slow
# one remembers adapters that are requested every few seconds.
FAST_DECAY_TIME: Final[Seconds] = 1.5
SLOW_DECAY_TIME: Final[Seconds] = 25.0
# The weight of a new sample in the mean number of prompt tokens.
PROMPT_WEIGHT: Final = 0.2
# A rise counts once this many requests support it: one or two are chance.
MIN_RISEN_REQUESTS: Final = 2.5
# The prior odds that demand for an adapter has ended. At a steady rate, a pause in
# which three requests were expected makes the end as likely as not.
END_ODDS: Final = 0.05
# The rate assumed of an adapter that a new leader has not heard of, and how fast that
# falls. A single waiting request displaces it after about two seconds: until then, an
# adapter requested every second may not have been requested again.
UNSEEN_RATE: Final = 2.0
UNSEEN_DECAY_TIME: Final[Seconds] = 2.0
# A rate over less time than this says nothing.
MIN_WATCH_TIME: Final[Seconds] = 1.0
# Rows whose slow mean is below this are removed, at most once per interval. A single
# request is remembered for about two slow time constants.
PRUNE_RATE: Final = 0.005
PRUNE_INTERVAL: Final[Seconds] = 1.0
# Maximum number of rows; those with the lowest slow mean are removed first.
MAX_ROWS: Final = 8_192


@dataclass(slots=True)
class Trend:
    """The means of one adapter, as of ``at``, in requests per second.

    ``prompt`` is the mean number of prompt tokens that a request adds to be processed,
    without those that the engine has cached.
    """

    at: Seconds
    fast: float = 0.0
    slow: float = 0.0
    prompt: float = 0.0

    def add(self, requests: int, now: Seconds) -> None:
        """Count requests."""
        elapsed = max(0.0, now - self.at)
        self.fast *= math.exp(-elapsed / FAST_DECAY_TIME)
        self.slow *= math.exp(-elapsed / SLOW_DECAY_TIME)
        self.fast += requests / FAST_DECAY_TIME
        self.slow += requests / SLOW_DECAY_TIME
        self.at = now

    def add_prompts(self, requests: int, tokens: int) -> None:
        """Record the prompt tokens of requests sent to an engine."""
        mean = tokens / requests
        weight = PROMPT_WEIGHT if self.prompt else 1.0
        self.prompt += weight * (mean - self.prompt)


def forecast(trend: Trend, watched: Seconds, now: Seconds) -> float:
    """Return the expected requests per second of an adapter.

    ``watched`` is how long the means have been collected.
    """
    silence = max(0.0, now - trend.at)
    part = 1.0 - math.exp(-max(MIN_WATCH_TIME, watched) / SLOW_DECAY_TIME)
    usual = trend.slow / part
    goes_on = math.exp(-usual * silence)
    expected = (
        usual
        * math.exp(-silence / SLOW_DECAY_TIME)
        * goes_on
        * (1.0 + END_ODDS)
        / (goes_on + END_ODDS)
    )
    risen = trend.fast * math.exp(-silence / FAST_DECAY_TIME)
    if risen * FAST_DECAY_TIME >= MIN_RISEN_REQUESTS:
        return max(expected, risen)
    return expected


@dataclass(slots=True)
class TrendTable:
    """The trends of all recently requested adapters; empty in a new leader.

    Rates are counted since ``started_at``, and of all engines since ``complete_at``.
    """

    started_at: Seconds = float("-inf")
    complete_at: Seconds = float("-inf")
    rows: dict[DemandKey, Trend] = field(default_factory=dict)
    _pruned_at: Seconds = 0.0

    def start(self, now: Seconds) -> None:
        """Start to watch, with nothing known."""
        self.rows.clear()
        self.started_at = self.complete_at = now

    def extend(self, now: Seconds) -> None:
        """Start to watch more engines, of whose adapters nothing is known."""
        self.complete_at = now
        if not self.rows:
            self.started_at = now

    def apply(self, reported: WeightsDemand, now: Seconds) -> None:
        """Apply a daemon's report."""
        name = (reported.service, reported.key)
        if reported.arrivals:
            self.add(name, reported.arrivals, now)
        if reported.sent:
            self.add_prompts(name, reported.sent, reported.sent_tokens)

    def add(self, name: DemandKey, requests: int, now: Seconds) -> None:
        """Count requests for an adapter."""
        row = self.rows.get(name)
        if row is None:
            row = self.rows[name] = Trend(now)
        row.add(requests, now)

    def add_prompts(self, name: DemandKey, requests: int, tokens: int) -> None:
        """Record the prompt tokens of requests sent to an engine."""
        row = self.rows.get(name)
        if row is not None:
            row.add_prompts(requests, tokens)

    def forecast(self, name: DemandKey, now: Seconds) -> float:
        """Return the expected requests per second of an adapter."""
        row = self.rows.get(name)
        if row is None:
            unheard = now - self.complete_at
            return UNSEEN_RATE * math.exp(-unheard / UNSEEN_DECAY_TIME)
        return forecast(row, now - self.started_at, now)

    def read_prompt(self, name: DemandKey) -> float:
        """Return the prompt tokens per request of an adapter, 0 if unknown."""
        row = self.rows.get(name)
        return 0.0 if row is None else row.prompt

    def prune(self, now: Seconds) -> None:
        """Remove adapters that are hardly requested any more."""
        if now - self._pruned_at < PRUNE_INTERVAL:
            return
        self._pruned_at = now
        rates = {
            name: row.slow * math.exp(-(now - row.at) / SLOW_DECAY_TIME)
            for name, row in self.rows.items()
        }
        excess = len(rates) - MAX_ROWS
        limit = sorted(rates.values())[excess] if excess > 0 else PRUNE_RATE
        for name, rate in rates.items():
            if rate < max(limit, PRUNE_RATE):
                del self.rows[name]
