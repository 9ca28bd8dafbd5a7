"""Endpoint health as seen by this daemon: ejection, silence and outlier detection."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

from kestreltally.entry.occupancy import Occupancy
from kestreltally.entry.outcomes import OutcomeCounter
from kestreltally.entry.silence import ServiceSilence
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds

# A healthy endpoint starts to answer within about 100 ms. One that has left a request
# unanswered for this long, and has not answered any later one, counts as silent.
SILENCE_TIMEOUT: Final[Seconds] = 1.0
FAILURES_TO_EJECT: Final = 3
# Only failures within this window count towards ejection.
FAILURE_WINDOW: Final[Seconds] = 3.0
# Duration of the first ejection; it doubles with each further one up to the maximum.
INITIAL_EJECTION_TIME: Final[Seconds] = 0.6
MAX_EJECTION_TIME: Final[Seconds] = 4.0
# Maximum fraction of a service's endpoints that are left out. If more fail, the fault
# is more likely to be in this daemon or common to all endpoints.
MAX_EJECTED_FRACTION: Final = 0.5
# An endpoint whose failure rate exceeds the service's median by this much is an
# outlier.
OUTLIER_MARGIN: Final = 0.25
FAILURE_RATE_WEIGHT: Final = 0.12
# Until an answer starts, at most this fraction of its prompt counts as processed.
MAX_READ_FRACTION: Final = 0.9
NOT_SENT: Final[Seconds] = float("inf")
# An endpoint that writes streams and has sent nothing for this long is silent. Events
# of a stream come more often.
QUIET_TIME: Final[Seconds] = 0.3
# The wait of an answered request tells of an endpoint's queue for this long.
RECENT_WAIT_AGE: Final[Seconds] = 2.0


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """A request that was sent and whose answer has not started.

    ``unread`` counts its prompt tokens to process; ``priority`` 0 is the most urgent.
    Prefill is expected to start at ``prefill_starts_at`` and to last
    ``prefill_duration``. ``sent_at`` is infinite for a request that is not sent yet.
    """

    sent_at: Seconds
    unread: int
    priority: int
    prefill_starts_at: Seconds
    prefill_duration: Seconds

    def count_remaining(self, now: Seconds) -> int:
        """Return the prompt tokens that are expected to be unprocessed at a time."""
        if now <= self.prefill_starts_at or self.prefill_duration <= 0:
            return self.unread
        done = min(
            MAX_READ_FRACTION, (now - self.prefill_starts_at) / self.prefill_duration
        )
        return int(self.unread * (1 - done))


@dataclass(slots=True)
class Health:
    """Recent behaviour of one endpoint towards this daemon's requests.

    ``latest_answered`` maps a priority to the highest request token with a started
    answer. ``answered_wait`` is how long the last answered request waited for it.
    ``received_at`` is when bytes last came from the endpoint, ``resumed_at``
    when they last did after a silence. ``streams`` counts requests whose events are
    awaited, the first of them since ``awaited_at``, and ``stalled`` those that have
    brought nothing for a while.
    """

    in_flight: int = 0
    streams: int = 0
    stalled: int = 0
    pending: dict[int, PendingAnswer] = field(default_factory=dict)
    latest_answered: dict[int, int] = field(default_factory=dict)
    answered_at: Seconds = 0.0
    answered_wait: Seconds = 0.0
    received_at: Seconds = 0.0
    resumed_at: Seconds = 0.0
    awaited_at: Seconds = 0.0
    failed_at: deque[Seconds] = field(default_factory=lambda: deque(maxlen=8))
    failure_rate: float = 0.0
    ejected_until: Seconds = 0.0
    ejections: int = 0


class Observer(Protocol):
    """Observes outcomes of requests and times of events."""

    def record_outcome(self, endpoint: EndpointId, *, whole: bool) -> None:
        """Count a whole answer or a failure."""

    def record_stream(
        self, endpoint: EndpointId, arrived_at: Iterable[Seconds]
    ) -> None:
        """Record when the events of a stream arrived."""


class HealthTable:
    """The health of all endpoints, observed from this daemon's requests.

    ``observer`` is told of outcomes too, None if nothing else observes them.
    """

    def __init__(self) -> None:
        self._rows: dict[EndpointId, Health] = {}
        self._next_token = 0
        self.observer: Observer | None = None
        # Reported to the leaders, which evaluate endpoints by the outcomes at all
        # daemons.
        self.outcomes = OutcomeCounter()

    def get_row(self, endpoint: EndpointId) -> Health:
        """Return an endpoint's row, creating it if needed."""
        health = self._rows.get(endpoint)
        if health is None:
            health = self._rows[endpoint] = Health()
        return health

    def start(
        self,
        endpoint: EndpointId,
        now: Seconds,
        unread: int = 0,
        priority: int = 0,
        *,
        prefill_delay: Seconds = 0.0,
        prefill_duration: Seconds = 0.0,
    ) -> int:
        """Record that a request is sent to an endpoint; return a token for it.

        ``unread`` counts the prompt tokens that the endpoint has to process, starting
        ``prefill_delay`` from now and lasting ``prefill_duration``. Returned tokens
        increase.
        """
        self._next_token += 1
        health = self.get_row(endpoint)
        health.in_flight += 1
        health.pending[self._next_token] = PendingAnswer(
            now, unread, priority, now + prefill_delay, prefill_duration
        )
        return self._next_token

    def reserve(self, endpoint: EndpointId, unread: int, priority: int) -> int:
        """Count a request that will be sent to an endpoint later; return a token.

        Call ``end`` with it before the request is sent, or if it is not.
        """
        return self.start(endpoint, NOT_SENT, unread, priority, prefill_delay=0.0)

    def record_answer_start(
        self, endpoint: EndpointId, token: int, now: Seconds
    ) -> None:
        """Record that an answer has started."""
        self.record_received(endpoint, now)
        health = self.get_row(endpoint)
        answer = health.pending.pop(token, None)
        health.answered_at = now
        if answer is not None:
            health.answered_wait = max(0.0, now - answer.sent_at)
            latest = health.latest_answered.get(answer.priority, 0)
            health.latest_answered[answer.priority] = max(latest, token)

    def record_received(self, endpoint: EndpointId, now: Seconds) -> None:
        """Record that bytes came from an endpoint."""
        health = self.get_row(endpoint)
        if now - health.received_at > QUIET_TIME:
            health.resumed_at = now
        health.received_at = now

    def measure_wait(self, endpoint: EndpointId, now: Seconds) -> Seconds | None:
        """Return how long requests have lately waited for an answer, None if unknown.

        These are the ones that still wait, unless a later one was answered before them,
        and the last one that was answered.
        """
        health = self._rows.get(endpoint)
        if health is None:
            return None
        waits = [
            now - each.sent_at
            for token, each in health.pending.items()
            if each.sent_at < NOT_SENT and not self.is_overtaken(endpoint, token)
        ]
        if now - health.answered_at < RECENT_WAIT_AGE:
            waits.append(health.answered_wait)
        return max(waits, default=None)

    def start_awaiting(self, endpoint: EndpointId, now: Seconds) -> None:
        """Count a stream whose events are awaited from now on."""
        health = self.get_row(endpoint)
        if not health.streams:
            health.awaited_at = now
        health.streams += 1

    def end_awaiting(self, endpoint: EndpointId) -> None:
        """Record that events of a stream are not awaited, or have come."""
        self.get_row(endpoint).streams -= 1

    def start_stall(self, endpoint: EndpointId) -> None:
        """Record that a request has brought nothing for a while."""
        self.get_row(endpoint).stalled += 1

    def end_stall(self, endpoint: EndpointId) -> None:
        """Record that a stalled request has brought something, or has ended."""
        self.get_row(endpoint).stalled -= 1

    def is_silent(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether requests have stalled at an endpoint that sends nothing."""
        health = self._rows.get(endpoint)
        if health is None or not health.stalled:
            return False
        return now - health.received_at > QUIET_TIME

    def measure_silence(
        self, endpoints: Iterable[EndpointId], now: Seconds
    ) -> ServiceSilence:
        """Return how many of some endpoints are silent.

        An endpoint counts as asked if it writes streams of this daemon, or has stalled.
        """
        rows = [self.get_row(each) for each in endpoints]
        ages = [
            now - max(each.received_at, each.awaited_at)
            for each in rows
            if each.streams or each.stalled
        ]
        return ServiceSilence(sum(age > QUIET_TIME for age in ages), len(ages))

    def is_overtaken(self, endpoint: EndpointId, token: int) -> bool:
        """Return whether a later request that is not more urgent was answered first."""
        health = self.get_row(endpoint)
        answer = health.pending.get(token)
        if answer is None:
            return False
        return any(
            priority >= answer.priority and latest > token
            for priority, latest in health.latest_answered.items()
        )

    def end(self, endpoint: EndpointId, token: int) -> None:
        """Record that a request has ended, with any outcome."""
        health = self.get_row(endpoint)
        health.in_flight -= 1
        health.pending.pop(token, None)

    def record_success(self, endpoint: EndpointId) -> None:
        """Count a complete answer."""
        self.outcomes.record_completed(endpoint)
        if self.observer is not None:
            self.observer.record_outcome(endpoint, whole=True)
        health = self.get_row(endpoint)
        health.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        health.failed_at.clear()
        health.ejections = 0

    def record_failure(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Count a failure for this daemon; return whether it ejects the endpoint."""
        health = self.get_row(endpoint)
        health.failure_rate += FAILURE_RATE_WEIGHT * (1 - health.failure_rate)
        health.failed_at.append(now)
        recent = sum(1 for at in health.failed_at if now - at < FAILURE_WINDOW)
        if recent < FAILURES_TO_EJECT or now < health.ejected_until:
            return False
        self._eject(health, now)
        return True

    def report_failure(self, endpoint: EndpointId) -> None:
        """Count a failure for the leaders and the observer too."""
        self.outcomes.record_failed(endpoint)
        if self.observer is not None:
            self.observer.record_outcome(endpoint, whole=False)

    def record_error_status(self, endpoint: EndpointId, now: Seconds) -> None:
        """Record an answer with an error status, which does not eject the endpoint."""
        self.get_row(endpoint).answered_at = now
        if self.observer is not None:
            self.observer.record_outcome(endpoint, whole=False)

    def record_stream(
        self, endpoint: EndpointId, arrived_at: Iterable[Seconds]
    ) -> None:
        """Record when the events of a stream arrived."""
        if self.observer is not None:
            self.observer.record_stream(endpoint, arrived_at)

    def _eject(self, health: Health, now: Seconds) -> None:
        duration = min(MAX_EJECTION_TIME, INITIAL_EJECTION_TIME * 2**health.ejections)
        health.ejected_until = now + duration
        health.ejections += 1

    def is_healthy(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether an endpoint is neither ejected nor silent."""
        health = self._rows.get(endpoint)
        if health is None:
            return True
        if now < health.ejected_until:
            return False
        if health.stalled >= FAILURES_TO_EJECT and self.is_silent(endpoint, now):
            return False
        sent = (p.sent_at for p in health.pending.values() if p.sent_at != NOT_SENT)
        oldest = next(sent, now)
        silent = now - oldest > SILENCE_TIMEOUT and health.answered_at < oldest
        return not silent

    def filter_healthy(self, endpoints: list[Endpoint], now: Seconds) -> list[Endpoint]:
        """Return the healthy endpoints, or all if too many would be left out."""
        healthy = [each for each in endpoints if self.is_healthy(each.id, now)]
        if len(healthy) < len(endpoints) * (1 - MAX_EJECTED_FRACTION):
            return endpoints
        return self._drop_outliers(healthy)

    def _drop_outliers(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        rates = [self.get_row(each.id).failure_rate for each in endpoints]
        if not rates:
            return endpoints
        median = sorted(rates)[(len(rates) - 1) // 2]
        kept = [
            each
            for each, rate in zip(endpoints, rates, strict=True)
            if rate <= median + OUTLIER_MARGIN
        ]
        return (
            kept
            if len(kept) >= len(endpoints) * (1 - MAX_EJECTED_FRACTION)
            else endpoints
        )

    def measure(self, now: Seconds) -> Occupancy:
        """Return the occupancy caused by this daemon's requests."""
        busy = {e: h for e, h in self._rows.items() if h.in_flight}
        unread = {
            endpoint: _count_unread(health, now) for endpoint, health in busy.items()
        }
        return Occupancy(
            in_flight={endpoint: health.in_flight for endpoint, health in busy.items()},
            unread={endpoint: tokens for endpoint, tokens in unread.items() if tokens},
        )

    def measure_endpoint(self, endpoint: EndpointId, now: Seconds) -> tuple[int, int]:
        """Return the requests in flight at an endpoint and their unprocessed tokens."""
        health = self._rows.get(endpoint)
        if health is None:
            return 0, 0
        return health.in_flight, _count_unread(health, now)

    def reset(self, endpoint: EndpointId) -> None:
        """Reset the record of an endpoint that restarted.

        The in-flight count stays, because its requests still end.
        """
        health = self._rows.get(endpoint)
        if health is not None:
            self._rows[endpoint] = Health(
                in_flight=health.in_flight,
                streams=health.streams,
                awaited_at=health.awaited_at,
                stalled=health.stalled,
            )

    def remove(self, endpoint: EndpointId) -> None:
        """Remove the row of a removed endpoint unless requests are in flight."""
        health = self._rows.get(endpoint)
        if health is not None and not health.in_flight:
            del self._rows[endpoint]


def _count_unread(health: Health, now: Seconds) -> int:
    return sum(each.count_remaining(now) for each in health.pending.values())
