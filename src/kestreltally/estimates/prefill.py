"""How fast engines read prompts, learned from the times to the first event.

An engine reads prompts one after another: the urgent ones are let in first, others in
the order of their arrival, and nothing that is being read gives way. So

    time to the first event = base + pace x (own unread tokens + part x tokens ahead)

where ``token_time`` belongs to the engine, ``base_latency`` to all engines, and ``part`` to the
priority of the request: how much of what is ahead it has to wait for.
"""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds

# Beliefs before anything was seen; each sample moves them by a tenth to a fifth. An
# accelerator reads some 40 tokens in a ms, and says its first word in some 20 ms.
INITIAL_TOKEN_TIME: Final[Seconds] = 1 / 40_000
INITIAL_BASE_LATENCY: Final[Seconds] = 0.02
INITIAL_FRACTION: Final = 1.0
TOKEN_TIME_WEIGHT: Final = 0.15
BASE_LATENCY_WEIGHT: Final = 0.1
FRACTION_WEIGHT: Final = 0.1
# An engine's own pace is believed as much as all engines' after so many samples.
PRIOR_SAMPLES: Final = 3.0
# A pace is learned from prompts so long that reading is most of the time, with hardly
# anything ahead; a base from short ones; a part where much is ahead.
LONG_PROMPT_TOKENS: Final = 2_000
SHORT_PROMPT_TOKENS: Final = 300
MAX_QUEUED_FRACTION: Final = 0.25
# One sample changes a belief by this factor at most: a hung request is no slow engine.
MAX_STEP_FACTOR: Final = 4.0
MAX_FRACTION: Final = 1.5


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """What is to be read before a request begins: own unread tokens, and others'."""

    own_tokens: int
    queued_tokens: float
    priority: int


@dataclass(slots=True)
class _TokenTime:
    """The seconds a token of one engine, and how many samples tell them."""

    seconds: Seconds
    samples: float = 0.0


@dataclass(slots=True)
class PrefillTimeTable:
    """What was learned of reading; see the module's text for the terms."""

    base_latency: Seconds = INITIAL_BASE_LATENCY
    typical_token_time: Seconds = INITIAL_TOKEN_TIME
    _token_times: dict[EndpointId, _TokenTime] = field(default_factory=dict)
    _fractions: dict[int, float] = field(default_factory=dict)

    def compute_token_time(self, endpoint: EndpointId) -> Seconds:
        """Return the seconds a token of an engine; few samples count little."""
        row = self._token_times.get(endpoint)
        if row is None:
            return self.typical_token_time
        confidence = row.samples / (row.samples + PRIOR_SAMPLES)
        return confidence * row.seconds + (1 - confidence) * self.typical_token_time

    def compute_fraction(self, priority: int) -> float:
        """Return which part of the tokens ahead requests of a priority wait for."""
        return self._fractions.get(priority, INITIAL_FRACTION)

    def predict(self, endpoint: EndpointId, work: PrefillWork) -> Seconds:
        """Return the time to the first event of a request sent now."""
        return self.base_latency + self.compute_token_time(
            endpoint
        ) * self._count_tokens(work)

    def predict_unqueued(self, tokens: int) -> Seconds:
        """Return the time to the first event at a usual engine with nothing ahead."""
        return self.base_latency + self.typical_token_time * tokens

    def _count_tokens(self, work: PrefillWork) -> float:
        """Return the tokens that are read before a request begins."""
        return (
            work.own_tokens + self.compute_fraction(work.priority) * work.queued_tokens
        )

    def learn(self, endpoint: EndpointId, work: PrefillWork, took: Seconds) -> None:
        """Take in how long a request took to its first event."""
        if (
            work.own_tokens >= LONG_PROMPT_TOKENS
            and work.queued_tokens <= MAX_QUEUED_FRACTION * work.own_tokens
        ):
            prefill_time = max(0.0, took - self.base_latency)
            self._learn_token_time(endpoint, prefill_time / self._count_tokens(work))
        elif work.queued_tokens >= LONG_PROMPT_TOKENS:
            token_time = self.compute_token_time(endpoint)
            waited = took - self.base_latency - token_time * work.own_tokens
            self._learn_fraction(
                work.priority, waited / (token_time * work.queued_tokens)
            )
        elif work.own_tokens <= SHORT_PROMPT_TOKENS and not work.queued_tokens:
            observed = min(took, MAX_STEP_FACTOR * self.base_latency)
            self.base_latency += BASE_LATENCY_WEIGHT * (observed - self.base_latency)

    def _learn_token_time(self, endpoint: EndpointId, observed: Seconds) -> None:
        row = self._token_times.setdefault(
            endpoint, _TokenTime(self.typical_token_time)
        )
        bounded = min(
            max(observed, row.seconds / MAX_STEP_FACTOR), row.seconds * MAX_STEP_FACTOR
        )
        row.seconds += TOKEN_TIME_WEIGHT * (bounded - row.seconds)
        row.samples += 1
        self.typical_token_time += (
            TOKEN_TIME_WEIGHT / 3 * (row.seconds - self.typical_token_time)
        )

    def _learn_fraction(self, priority: int, observed: float) -> None:
        known = self.compute_fraction(priority)
        bounded = min(max(observed, 0.0), MAX_FRACTION)
        self._fractions[priority] = known + FRACTION_WEIGHT * (bounded - known)

    def remove(self, endpoint: EndpointId) -> None:
        """Drop an engine that is gone."""
        self._token_times.pop(endpoint, None)
