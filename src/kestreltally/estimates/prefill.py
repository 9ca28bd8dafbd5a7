"""Estimates prefill times of engines from observed times to the first event.

An engine processes prompts one after another: urgent ones first, others in order of
arrival, without preemption. The model is

    time to first event
        = base_latency + token_time x (uncached_tokens + fraction x queued_tokens)

where ``token_time`` (prefill seconds per prompt token) is learned per engine,
``base_latency`` for all engines together, and ``fraction`` per request priority: the
fraction of the queued tokens that a request has to wait for.
"""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds

# Initial estimates. Each sample moves an estimate by 10 to 20 % of the difference. An
# accelerator prefills about 40 tokens per ms and emits its first token after about
# 20 ms.
INITIAL_TOKEN_TIME: Final[Seconds] = 1 / 40_000
INITIAL_BASE_LATENCY: Final[Seconds] = 0.02
INITIAL_FRACTION: Final = 1.0
TOKEN_TIME_WEIGHT: Final = 0.15
BASE_LATENCY_WEIGHT: Final = 0.1
FRACTION_WEIGHT: Final = 0.1
# After this many samples an engine's own token time weighs as much as the typical one.
PRIOR_SAMPLES: Final = 3.0
# The token time is learned from prompts long enough that prefill dominates, with hardly
# anything queued before them; the base latency from short prompts; the fraction where
# many tokens are queued.
LONG_PROMPT_TOKENS: Final = 2_000
SHORT_PROMPT_TOKENS: Final = 300
MAX_QUEUED_FRACTION: Final = 0.25
# Bounds the factor between a sample and the estimate that it updates, because a hung
# request does not mean that the engine is slow.
MAX_STEP_FACTOR: Final = 4.0
MAX_FRACTION: Final = 1.5


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prompt tokens to process before the first event of a request.

    ``uncached_tokens`` are those of the request itself that the engine has not cached,
    ``queued_tokens`` those of other requests at the same engine.
    """

    uncached_tokens: int
    queued_tokens: float
    priority: int


@dataclass(slots=True)
class _TokenTime:
    """Prefill seconds per prompt token of one engine, and the number of samples."""

    seconds: Seconds
    samples: float = 0.0


@dataclass(slots=True)
class PrefillTimeTable:
    """Learned prefill times; the module docstring defines the terms."""

    base_latency: Seconds = INITIAL_BASE_LATENCY
    typical_token_time: Seconds = INITIAL_TOKEN_TIME
    _token_times: dict[EndpointId, _TokenTime] = field(default_factory=dict)
    _fractions: dict[int, float] = field(default_factory=dict)

    def compute_token_time(self, endpoint: EndpointId) -> Seconds:
        """Return an engine's prefill seconds per prompt token.

        With few samples the result stays close to the typical token time.
        """
        row = self._token_times.get(endpoint)
        if row is None:
            return self.typical_token_time
        confidence = row.samples / (row.samples + PRIOR_SAMPLES)
        return confidence * row.seconds + (1 - confidence) * self.typical_token_time

    def compute_fraction(self, priority: int) -> float:
        """Return the fraction of the queued tokens that a priority waits for."""
        return self._fractions.get(priority, INITIAL_FRACTION)

    def predict(self, endpoint: EndpointId, work: PrefillWork) -> Seconds:
        """Return the predicted time to the first event of a request sent now."""
        return self.base_latency + self.compute_token_time(
            endpoint
        ) * self._count_tokens(work)

    def predict_unqueued(self, tokens: int) -> Seconds:
        """Return the predicted time to the first event at a typical, idle engine."""
        return self.base_latency + self.typical_token_time * tokens

    def _count_tokens(self, work: PrefillWork) -> float:
        """Return the tokens that are processed before the first event."""
        return (
            work.uncached_tokens
            + self.compute_fraction(work.priority) * work.queued_tokens
        )

    def learn(self, endpoint: EndpointId, work: PrefillWork, took: Seconds) -> None:
        """Update the estimates with a request's observed time to its first event."""
        if (
            work.uncached_tokens >= LONG_PROMPT_TOKENS
            and work.queued_tokens <= MAX_QUEUED_FRACTION * work.uncached_tokens
        ):
            prefill_time = max(0.0, took - self.base_latency)
            self._learn_token_time(endpoint, prefill_time / self._count_tokens(work))
        elif work.queued_tokens >= LONG_PROMPT_TOKENS:
            token_time = self.compute_token_time(endpoint)
            waited = took - self.base_latency - token_time * work.uncached_tokens
            self._learn_fraction(
                work.priority, waited / (token_time * work.queued_tokens)
            )
        elif work.uncached_tokens <= SHORT_PROMPT_TOKENS and not work.queued_tokens:
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
        """Remove the estimate of a removed engine."""
        self._token_times.pop(endpoint, None)
