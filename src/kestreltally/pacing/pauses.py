"""Whether streams pause too long at a service, and the time between events at engines.

Daemons count the streams of which an event came late and report the counts to leaders.
A leader paces the prompts of a service where that happens to more than a few.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import EndpointId, Seconds, ServiceName

# A stream is stretched if its longest pause reached this fraction of what its route
# allows: an engine that runs a little slower for a moment would have made it late.
STRETCHED_FRACTION: Final = 0.9
# Pacing begins where this fraction of the streams is stretched, and more than a few: a
# single slow engine, link or client stretches some at any time.
ON_FRACTION: Final = 0.05
MIN_STRETCHED: Final = 10.0
# Counts are forgotten: this fraction of them is left after a second.
RETENTION_PER_SECOND: Final = 0.8
# Pacing lasts this long after it was last called for. While it lasts, it prevents the
# pauses by which it is judged, so a lower fraction is enough to prolong it.
HOLD_TIME: Final[Seconds] = 60.0
HOLD_FRACTION: Final = 0.01

# A typical time between events: five tokens of 5 ms.
INITIAL_EVENT_TIME: Final[Seconds] = 0.025
# The estimate is a running quantile of the gaps. Each gap moves it by up to STEP of
# itself. The quantile is low because only the shortest gaps are undisturbed where
# prompts are read nearly all the time.
QUANTILE: Final = 0.2
STEP: Final = 0.02
# Shorter gaps are between events that arrived together.
MIN_EVENT_TIME: Final[Seconds] = 0.001
MAX_EVENT_TIME: Final[Seconds] = 1.0
# The typical value follows the engines' values.
TYPICAL_WEIGHT: Final = 0.002


@dataclass(frozen=True, slots=True)
class StreamPauses:
    """The streams of a service that began or were stretched since the last report.

    ``stretched`` are those with a first pause near or beyond what their route allows.
    """

    service: ServiceName
    streams: int
    stretched: int


def is_stretched(pause: Seconds, limit: Seconds) -> bool:
    """Return whether a pause is near or beyond what a route allows; 0 is no limit."""
    return 0 < STRETCHED_FRACTION * limit <= pause


class PauseCounter:
    """Counts a daemon's streams, and those that are stretched.

    A stream counts as soon as it is stretched, not at its end: streams last seconds.
    """

    def __init__(self) -> None:
        self._counts: dict[ServiceName, list[int]] = {}

    def record_stream(self, service: ServiceName) -> None:
        """Count a stream, at its first event."""
        self._counts.setdefault(service, [0, 0])[0] += 1

    def record_stretched(self, service: ServiceName) -> None:
        """Count a stream as stretched, at its first such pause."""
        self._counts.setdefault(service, [0, 0])[1] += 1

    def pop(self) -> list[StreamPauses]:
        """Return and reset the counts."""
        counts, self._counts = self._counts, {}
        return [StreamPauses(service, *each) for service, each in counts.items()]


@dataclass(slots=True)
class _ServicePauses:
    """Decayed counts of a service, and until when its prompts are paced."""

    updated_at: Seconds
    streams: float = 0.0
    stretched: float = 0.0
    paced_until: Seconds = float("-inf")

    def decay(self, now: Seconds) -> None:
        retained = RETENTION_PER_SECOND ** max(0.0, now - self.updated_at)
        self.streams *= retained
        self.stretched *= retained
        self.updated_at = max(now, self.updated_at)


class PacingSwitch:
    """Decides at which services prompts are paced."""

    def __init__(self) -> None:
        self._rows: dict[ServiceName, _ServicePauses] = {}

    def apply(self, pauses: Iterable[StreamPauses], now: Seconds) -> None:
        """Add reported counts and decide anew."""
        for each in pauses:
            row = self._rows.setdefault(each.service, _ServicePauses(now))
            row.decay(now)
            row.streams += each.streams
            row.stretched += each.stretched
            if self._calls_for_pacing(row, now):
                row.paced_until = now + HOLD_TIME

    def _calls_for_pacing(self, row: _ServicePauses, now: Seconds) -> bool:
        if now < row.paced_until:
            return row.stretched > max(1.0, HOLD_FRACTION * row.streams)
        return row.stretched >= max(MIN_STRETCHED, ON_FRACTION * row.streams)

    def list_paced(self, now: Seconds) -> frozenset[ServiceName]:
        """Return the services whose prompts are paced."""
        return frozenset(
            name for name, row in self._rows.items() if now < row.paced_until
        )


class EventTimes:
    """The time between events of a stream while its engine reads nothing, by engine."""

    def __init__(self) -> None:
        self._typical = INITIAL_EVENT_TIME
        self._times: dict[EndpointId, Seconds] = {}

    def learn(self, endpoint: EndpointId, gap: Seconds) -> None:
        """Update the estimate with the gap between two events."""
        if gap < MIN_EVENT_TIME:
            return
        known = self._times.get(endpoint, self._typical)
        factor = 1 + STEP * QUANTILE if gap > known else 1 - STEP * (1 - QUANTILE)
        known = min(max(known * factor, MIN_EVENT_TIME), MAX_EVENT_TIME)
        self._times[endpoint] = known
        self._typical += TYPICAL_WEIGHT * (known - self._typical)

    def get(self, endpoint: EndpointId) -> Seconds:
        """Return an engine's time between events, or a typical one."""
        return self._times.get(endpoint, self._typical)

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the estimate of a removed engine."""
        self._times.pop(endpoint, None)
