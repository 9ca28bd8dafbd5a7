"""How fast engines read prompts, learned from the times to the first event.

An engine reads prompts one after another: the urgent ones are let in first, others in
the order of their arrival, and nothing that is being read gives way. So

    time to the first event = base + pace x (own unread tokens + part x tokens ahead)

where ``pace`` belongs to the engine, ``base`` to all engines, and ``part`` to the
priority of the request: how much of what is ahead it has to wait for.
"""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds

# Beliefs before anything was seen; each sample moves them by a tenth to a fifth. An
# accelerator reads some 40 tokens in a ms, and says its first word in some 20 ms.
PACE_FIRST: Final[Seconds] = 1 / 40_000
BASE_FIRST: Final[Seconds] = 0.02
PART_FIRST: Final = 1.0
PACE_WEIGHT: Final = 0.15
BASE_WEIGHT: Final = 0.1
PART_WEIGHT: Final = 0.1
# An engine's own pace is believed as much as all engines' after so many samples.
FEW_SAMPLES: Final = 3.0
# A pace is learned from prompts so long that reading is most of the time, with hardly
# anything ahead; a base from short ones; a part where much is ahead.
LONG_TOKENS: Final = 2_000
SHORT_TOKENS: Final = 300
AHEAD_LITTLE: Final = 0.25
# One sample changes a belief by this factor at most: a hung request is no slow engine.
STEP_MOST: Final = 4.0
PART_MOST: Final = 1.5


@dataclass(frozen=True, slots=True)
class Reading:
    """What is to be read before a request begins: own unread tokens, and others'."""

    own: int
    ahead: float
    priority: int


@dataclass(slots=True)
class _Pace:
    """The seconds a token of one engine, and how many samples tell them."""

    seconds: Seconds
    samples: float = 0.0


@dataclass(slots=True)
class PaceTable:
    """What was learned of reading; see the module's text for the terms."""

    base: Seconds = BASE_FIRST
    usual: Seconds = PACE_FIRST
    _paces: dict[EndpointId, _Pace] = field(default_factory=dict)
    _parts: dict[int, float] = field(default_factory=dict)

    def find_pace(self, endpoint: EndpointId) -> Seconds:
        """Return the seconds a token of an engine; few samples count little."""
        own = self._paces.get(endpoint)
        if own is None:
            return self.usual
        trust = own.samples / (own.samples + FEW_SAMPLES)
        return trust * own.seconds + (1 - trust) * self.usual

    def find_part(self, priority: int) -> float:
        """Return which part of the tokens ahead requests of a priority wait for."""
        return self._parts.get(priority, PART_FIRST)

    def predict(self, endpoint: EndpointId, reading: Reading) -> Seconds:
        """Return the time to the first event of a request sent now."""
        return self.base + self.find_pace(endpoint) * self._count_tokens(reading)

    def predict_alone(self, tokens: int) -> Seconds:
        """Return the time to the first event at a usual engine with nothing ahead."""
        return self.base + self.usual * tokens

    def _count_tokens(self, reading: Reading) -> float:
        """Return the tokens that are read before a request begins."""
        return reading.own + self.find_part(reading.priority) * reading.ahead

    def learn(self, endpoint: EndpointId, reading: Reading, took: Seconds) -> None:
        """Take in how long a request took to its first event."""
        if reading.own >= LONG_TOKENS and reading.ahead <= AHEAD_LITTLE * reading.own:
            read_for = max(0.0, took - self.base)
            self._learn_pace(endpoint, read_for / self._count_tokens(reading))
        elif reading.ahead >= LONG_TOKENS:
            pace = self.find_pace(endpoint)
            waited = took - self.base - pace * reading.own
            self._learn_part(reading.priority, waited / (pace * reading.ahead))
        elif reading.own <= SHORT_TOKENS and not reading.ahead:
            seen = min(took, STEP_MOST * self.base)
            self.base += BASE_WEIGHT * (seen - self.base)

    def _learn_pace(self, endpoint: EndpointId, seen: Seconds) -> None:
        row = self._paces.setdefault(endpoint, _Pace(self.usual))
        bounded = min(max(seen, row.seconds / STEP_MOST), row.seconds * STEP_MOST)
        row.seconds += PACE_WEIGHT * (bounded - row.seconds)
        row.samples += 1
        self.usual += PACE_WEIGHT / 3 * (row.seconds - self.usual)

    def _learn_part(self, priority: int, seen: float) -> None:
        known = self.find_part(priority)
        bounded = min(max(seen, 0.0), PART_MOST)
        self._parts[priority] = known + PART_WEIGHT * (bounded - known)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an engine that is gone."""
        self._paces.pop(endpoint, None)
