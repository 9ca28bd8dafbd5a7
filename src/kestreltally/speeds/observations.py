"""What one daemon observes of the engines, relative to what it usually observes.

A daemon that is slow itself sees all engines slow. Each observation is therefore the
logarithm of its ratio to this daemon's own median for the service, so that only the
differences between engines remain.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds, ServiceName

# Observations are not compared with the median until it rests on this many.
MIN_TYPICAL_SAMPLES: Final = 8
# The largest step of the running median, as a logarithm: INITIAL_STEP divided by the
# number of samples, but at least MIN_STEP, about 5 %.
INITIAL_STEP: Final = 1.0
MIN_STEP: Final = 0.05
# Ratios beyond this are cut to it: a hung request says little of an engine's speed.
MAX_LOG_RATIO: Final = math.log(8.0)
# The time between events of a stream is measured with at least this many.
MIN_GAPS: Final = 4
# An engine pauses its streams while it reads prompts; the lower quartile of the times
# between events is the time without such pauses.
GAP_QUANTILE: Final = 0.25


@dataclass(frozen=True, slots=True)
class Sums:
    """A number of observations, and the sum of the logarithms of their ratios."""

    count: int = 0
    total: float = 0.0

    @property
    def mean(self) -> float:
        """Return the mean; there must be an observation."""
        return self.total / self.count

    def add(self, other: "Sums") -> "Sums":
        """Return the sums of both."""
        return Sums(self.count + other.count, self.total + other.total)


NONE: Final = Sums()


@dataclass(frozen=True, slots=True)
class Observed:
    """What a daemon observed of one engine since its last report.

    ``reading`` is on the time per prompt token, ``streaming`` on the time per event of
    a stream. ``whole`` and ``failed`` count answers; an error status is a failure.
    """

    reading: Sums = NONE
    streaming: Sums = NONE
    whole: int = 0
    failed: int = 0

    def add(self, other: "Observed") -> "Observed":
        """Return the sums of both."""
        return Observed(
            self.reading.add(other.reading),
            self.streaming.add(other.streaming),
            self.whole + other.whole,
            self.failed + other.failed,
        )


@dataclass(slots=True)
class Typical:
    """The running median of a logarithm."""

    value: float = 0.0
    samples: int = 0

    def compare(self, sample: float) -> float | None:
        """Learn a sample; return its difference, None while too few are known."""
        if not self.samples:
            self.value = sample
        difference = sample - self.value
        self.samples += 1
        step = max(MIN_STEP, INITIAL_STEP / self.samples)
        self.value += max(-step, min(step, difference))
        if self.samples <= MIN_TYPICAL_SAMPLES:
            return None
        return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, difference))


def compute_gap(arrived_at: Iterable[Seconds]) -> Seconds | None:
    """Return the time between events without pauses, None if too few have arrived."""
    gaps = sorted(later - earlier for earlier, later in pairwise(arrived_at))
    if len(gaps) < MIN_GAPS:
        return None
    return gaps[int(GAP_QUANTILE * len(gaps))]


@dataclass(slots=True)
class SpeedObserver:
    """Collects this daemon's observations until they are reported.

    ``find_service`` returns the service of a model engine, None for other endpoints,
    which are not observed.
    """

    find_service: Callable[[EndpointId], ServiceName | None]
    _reading: dict[ServiceName, Typical] = field(default_factory=dict)
    _streaming: dict[ServiceName, Typical] = field(default_factory=dict)
    _observed: dict[EndpointId, Observed] = field(default_factory=dict)

    def record_reading(self, endpoint: EndpointId, per_token: Seconds) -> None:
        """Record the time per prompt token of a request."""
        ratio = self._compare(self._reading, endpoint, per_token)
        if ratio is not None:
            self._add(endpoint, Observed(reading=Sums(1, ratio)))

    def record_stream(
        self, endpoint: EndpointId, arrived_at: Iterable[Seconds]
    ) -> None:
        """Record when the events of a stream arrived."""
        gap = compute_gap(arrived_at)
        if gap is None:
            return
        ratio = self._compare(self._streaming, endpoint, gap)
        if ratio is not None:
            self._add(endpoint, Observed(streaming=Sums(1, ratio)))

    def record_outcome(self, endpoint: EndpointId, *, whole: bool) -> None:
        """Count a whole answer or a failure."""
        if self.find_service(endpoint) is not None:
            self._add(endpoint, Observed(whole=int(whole), failed=int(not whole)))

    def pop(self) -> dict[EndpointId, Observed]:
        """Return and clear the observations since the last call."""
        observed, self._observed = self._observed, {}
        return observed

    def remove(self, endpoint: EndpointId) -> None:
        """Drop the observations of an engine that ended or restarted."""
        self._observed.pop(endpoint, None)

    def _compare(
        self,
        typical: dict[ServiceName, Typical],
        endpoint: EndpointId,
        took: Seconds,
    ) -> float | None:
        service = self.find_service(endpoint)
        if service is None or took <= 0:
            return None
        return typical.setdefault(service, Typical()).compare(math.log(took))

    def _add(self, endpoint: EndpointId, observed: Observed) -> None:
        known = self._observed.get(endpoint)
        self._observed[endpoint] = observed if known is None else known.add(observed)
