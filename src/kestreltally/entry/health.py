"""How each endpoint has behaved towards this daemon, and which to spare new work."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from kestreltally.entry.occupancy import Fullness
from kestreltally.entry.outcomes import OutcomeCounter
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds

# A sound endpoint starts to answer in some 100 ms. One that has let a request wait
# this long, and has answered none that came after it, is held silent.
SILENT_AFTER: Final[Seconds] = 1.0
FAILURES_TO_EJECT: Final = 3
# Failures count within this time.
FAILURE_WINDOW: Final[Seconds] = 3.0
# An endpoint is left alone this long at first, and twice as long each time again.
EJECT_FIRST: Final[Seconds] = 0.6
EJECT_MOST: Final[Seconds] = 4.0
# At the most this part of a service's endpoints is left out: beyond it the fault is
# more likely here or in all of them.
EJECT_SHARE: Final = 0.5
# A part of failed requests above that of the service by this much is an outlier.
OUTLIER_MARGIN: Final = 0.25
RATE_WEIGHT: Final = 0.12
# Until an answer begins, this part of its prompt at the most counts as read.
READ_MOST: Final = 0.9


@dataclass(frozen=True, slots=True)
class Awaited:
    """A request whose answer has not begun: when it was sent, and its unread tokens.

    ``priority`` 0 is the most urgent. The endpoint is expected to begin with its prompt
    at ``reads_at`` and to read it for ``reads_for``.
    """

    since: Seconds
    unread: int
    priority: int
    reads_at: Seconds
    reads_for: Seconds

    def count_left(self, now: Seconds) -> int:
        """Return how many tokens are expected to be unread still at a moment."""
        if now <= self.reads_at or self.reads_for <= 0:
            return self.unread
        done = min(READ_MOST, (now - self.reads_at) / self.reads_for)
        return int(self.unread * (1 - done))


@dataclass(slots=True)
class Health:
    """What one endpoint has done for this daemon's requests lately.

    ``answered`` holds, by priority, the token of the latest request that it has begun
    to answer; ``heard_at`` is when any bytes came from it.
    """

    in_flight: int = 0
    awaiting: dict[int, Awaited] = field(default_factory=dict)
    answered: dict[int, int] = field(default_factory=dict)
    answered_at: Seconds = 0.0
    heard_at: Seconds = 0.0
    failed_at: deque[Seconds] = field(default_factory=lambda: deque(maxlen=8))
    failure_rate: float = 0.0
    ejected_until: Seconds = 0.0
    ejections: int = 0


class HealthTable:
    """The health of all endpoints, by this daemon's own requests."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, Health] = {}
        self._next_token = 0
        # For the leaders, which judge endpoints by what all daemons have seen.
        self.outcomes = OutcomeCounter()

    def row(self, endpoint: EndpointId) -> Health:
        """Return an endpoint's row, made when there is none."""
        health = self._rows.get(endpoint)
        if health is None:
            health = self._rows[endpoint] = Health()
        return health

    def begin(
        self,
        endpoint: EndpointId,
        now: Seconds,
        unread: int = 0,
        priority: int = 0,
        *,
        reads_in: Seconds = 0.0,
        reads_for: Seconds = 0.0,
    ) -> int:
        """Note that a request goes to an endpoint; return a token for its answer.

        ``unread`` are the tokens of its prompt that the endpoint has yet to read, from
        ``reads_in`` from now on and for ``reads_for``; the tokens returned rise.
        """
        self._next_token += 1
        health = self.row(endpoint)
        health.in_flight += 1
        health.awaiting[self._next_token] = Awaited(
            now, unread, priority, now + reads_in, reads_for
        )
        return self._next_token

    def note_head(self, endpoint: EndpointId, token: int, now: Seconds) -> None:
        """Note that an answer has begun."""
        health = self.row(endpoint)
        awaited = health.awaiting.pop(token, None)
        health.answered_at = health.heard_at = now
        if awaited is not None:
            latest = health.answered.get(awaited.priority, 0)
            health.answered[awaited.priority] = max(latest, token)

    def record_received(self, endpoint: EndpointId, now: Seconds) -> None:
        """Note that some bytes came from an endpoint."""
        self.row(endpoint).heard_at = now

    def is_overtaken(self, endpoint: EndpointId, token: int) -> bool:
        """Tell whether a later request that is not more urgent was answered first."""
        health = self.row(endpoint)
        awaited = health.awaiting.get(token)
        if awaited is None:
            return False
        return any(
            priority >= awaited.priority and latest > token
            for priority, latest in health.answered.items()
        )

    def end(self, endpoint: EndpointId, token: int) -> None:
        """Note that a request is over, whatever came of it."""
        health = self.row(endpoint)
        health.in_flight -= 1
        health.awaiting.pop(token, None)

    def note_success(self, endpoint: EndpointId) -> None:
        """Count a whole answer."""
        self.outcomes.note_whole(endpoint)
        health = self.row(endpoint)
        health.failure_rate *= 1 - RATE_WEIGHT
        health.failed_at.clear()
        health.ejections = 0

    def record_failure(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Count a failure; tell whether the endpoint is ejected by it."""
        self.outcomes.note_failed(endpoint)
        health = self.row(endpoint)
        health.failure_rate += RATE_WEIGHT * (1 - health.failure_rate)
        health.failed_at.append(now)
        recent = sum(1 for at in health.failed_at if now - at < FAILURE_WINDOW)
        if recent < FAILURES_TO_EJECT or now < health.ejected_until:
            return False
        self._eject(health, now)
        return True

    def _eject(self, health: Health, now: Seconds) -> None:
        pause = min(EJECT_MOST, EJECT_FIRST * 2**health.ejections)
        health.ejected_until = now + pause
        health.ejections += 1

    def is_sound(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Tell whether an endpoint is neither ejected nor silent."""
        health = self._rows.get(endpoint)
        if health is None:
            return True
        if now < health.ejected_until:
            return False
        first = next(iter(health.awaiting.values()), None)
        oldest = first.since if first is not None else now
        silent = now - oldest > SILENT_AFTER and health.answered_at < oldest
        return not silent

    def keep_sound(self, endpoints: list[Endpoint], now: Seconds) -> list[Endpoint]:
        """Return the sound ones, or all when too many would be left out."""
        sound = [each for each in endpoints if self.is_sound(each.id, now)]
        if len(sound) < len(endpoints) * (1 - EJECT_SHARE):
            return endpoints
        return self._drop_outliers(sound)

    def _drop_outliers(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        rates = [self.row(each.id).failure_rate for each in endpoints]
        if not rates:
            return endpoints
        usual = sorted(rates)[(len(rates) - 1) // 2]
        kept = [
            each
            for each, rate in zip(endpoints, rates, strict=True)
            if rate <= usual + OUTLIER_MARGIN
        ]
        return kept if len(kept) >= len(endpoints) * (1 - EJECT_SHARE) else endpoints

    def measure(self, now: Seconds) -> Fullness:
        """Return what of this daemon's requests is under way."""
        busy = {e: h for e, h in self._rows.items() if h.in_flight}
        unread = {
            endpoint: _count_left(health, now) for endpoint, health in busy.items()
        }
        return Fullness(
            in_flight={endpoint: health.in_flight for endpoint, health in busy.items()},
            unread={endpoint: tokens for endpoint, tokens in unread.items() if tokens},
        )

    def measure_one(self, endpoint: EndpointId, now: Seconds) -> tuple[int, int]:
        """Return the requests under way at an endpoint, and their unread tokens."""
        health = self._rows.get(endpoint)
        if health is None:
            return 0, 0
        return health.in_flight, _count_left(health, now)

    def renew(self, endpoint: EndpointId) -> None:
        """Start anew with an endpoint that has; its requests under way still end."""
        health = self._rows.get(endpoint)
        if health is not None:
            self._rows[endpoint] = Health(in_flight=health.in_flight)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop the row of an endpoint that is gone, once it is idle."""
        health = self._rows.get(endpoint)
        if health is not None and not health.in_flight:
            del self._rows[endpoint]


def _count_left(health: Health, now: Seconds) -> int:
    return sum(each.count_left(now) for each in health.awaiting.values())
