"""The verdicts on engines that a daemon has from the leaders, and their use."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final

from kestreltally.estimates.prefill import PrefillTimeTable, PrefillWork
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
    is_other_incarnation,
)
from kestreltally.speeds.observations import SpeedObserver
from kestreltally.speeds.verdicts import Verdict

# Without word from the leader for this long, its verdicts do not hold any more. A
# leader sends an update at least every 0.2 s.
VERDICT_LIFETIME: Final[Seconds] = 1.0
# The time per prompt token is observed of prompts long enough that reading them takes
# most of the time to the first event, with hardly anything queued before them.
MIN_OBSERVED_TOKENS: Final = 500
MAX_QUEUED_FRACTION: Final = 0.5
# At least this fraction of the time to the first event counts as reading.
MIN_READING_FRACTION: Final = 0.2

Verdicts = Mapping[EndpointId, Verdict]


@dataclass(frozen=True, slots=True)
class _Received:
    """The verdicts of one leader, and when they arrived."""

    at: Seconds
    verdicts: Verdicts


@dataclass(slots=True)
class KnownSpeeds:
    """The verdicts that hold now, by the data centre of the leader that sent them."""

    clock: Callable[[], Seconds]
    random: Random = field(default_factory=Random)
    _received: dict[str, _Received] = field(default_factory=dict)

    def apply(self, data_centre: str, verdicts: Verdicts) -> None:
        """Replace the verdicts of a leader."""
        if verdicts:
            self._received[data_centre] = _Received(self.clock(), verdicts)
        else:
            self._received.pop(data_centre, None)

    def list_current(self) -> dict[EndpointId, Verdict]:
        """Return all verdicts that hold now."""
        self._drop_expired()
        current: dict[EndpointId, Verdict] = {}
        for each in self._received.values():
            current.update(each.verdicts)
        return current

    def find(self, endpoint: EndpointId) -> Verdict | None:
        """Return the verdict on an engine, None if it is typical or unknown."""
        if not self._received:
            return None
        self._drop_expired()
        for each in self._received.values():
            verdict = each.verdicts.get(endpoint)
            if verdict is not None:
                return verdict
        return None

    def find_for(self, endpoint: Endpoint) -> Verdict | None:
        """Return the verdict on this incarnation of an engine."""
        verdict = self.find(endpoint.id)
        if verdict is None or is_other_incarnation(
            endpoint.start_time_ms, verdict.start_time_ms
        ):
            return None
        return verdict

    def get_stream_factor(self, endpoint: Endpoint) -> float:
        """Return an engine's time per token of a stream, relative to the typical."""
        verdict = self.find_for(endpoint)
        return 1.0 if verdict is None else verdict.streaming

    def filter_admitted(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that may get a request now.

        A failing one is included with the probability of its share. All are returned
        if none would be left.
        """
        admitted = [each for each in endpoints if self._admits(each)]
        return admitted or endpoints

    def remove(self, endpoint: EndpointId) -> None:
        """Forget the verdict on an engine that ended or restarted."""
        for name, each in list(self._received.items()):
            kept = {k: v for k, v in each.verdicts.items() if k != endpoint}
            self._received[name] = _Received(each.at, kept)

    def _admits(self, endpoint: Endpoint) -> bool:
        verdict = self.find_for(endpoint)
        return (
            verdict is None
            or verdict.share >= 1.0
            or self.random.random() < verdict.share
        )

    def _drop_expired(self) -> None:
        oldest = self.clock() - VERDICT_LIFETIME
        for name, each in list(self._received.items()):
            if each.at < oldest:
                del self._received[name]


class ObservedPrefillTimes(PrefillTimeTable):
    """Prefill times that use the verdicts of the leaders and feed the observer."""

    def __init__(self, known: KnownSpeeds, observer: SpeedObserver) -> None:
        super().__init__()
        self._known = known
        self._observer = observer

    def compute_token_time(self, endpoint: EndpointId) -> Seconds:
        """Return an engine's prefill seconds per prompt token.

        The verdict of the leaders, who know the observations of all daemons, comes
        before this daemon's own few samples.
        """
        verdict = self._known.find(endpoint)
        if verdict is not None and verdict.reading != 1.0:
            return self.typical_token_time * verdict.reading
        return super().compute_token_time(endpoint)

    def learn(self, endpoint: EndpointId, work: PrefillWork, took: Seconds) -> None:
        """Update the estimates, and record the observation."""
        super().learn(endpoint, work, took)
        if (
            work.uncached_tokens >= MIN_OBSERVED_TOKENS
            and work.queued_tokens <= MAX_QUEUED_FRACTION * work.uncached_tokens
        ):
            reading = max(MIN_READING_FRACTION * took, took - self.base_latency)
            tokens = work.uncached_tokens + work.queued_tokens
            self._observer.record_reading(endpoint, reading / tokens)

    def remove(self, endpoint: EndpointId) -> None:
        """Remove all that is known of an engine that ended or restarted."""
        super().remove(endpoint)
        self._known.remove(endpoint)
        self._observer.remove(endpoint)
