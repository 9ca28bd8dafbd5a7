"""What endpoints say of themselves in their answers: that they leave, want a rest, or
take only so many requests a second.

An endpoint's own word is no suspicion: no rule that keeps a part of the endpoints in
use holds against it. Who is right:

- It leaves, by its answers here or at another daemon, or by its entry: overrules the
  store's entry and the rows of leaders, however new, for they may not know yet, or come
  from a copy. Another start of it ends that.
- It wants rest of this daemon, by its 503 here: overrules all else. Its time ends that,
  or another start of it.
- It turns requests away and names no time, several in a row: the same, for a time that
  grows. One alone may be full for a moment, or lack what the request needs.
- It wants rest of another daemon, by that daemon's word: overrules nothing here; a
  leader has what it holds brought elsewhere for those who may not ask it.
- It names a limit, by its answers here or at any daemon: the newest word holds at all
  (``fleet/rate_limits.py``). An answer without a limit ends it, or another start of it.

They may come together: who leaves gets nothing, who rests gets nothing until its rest
is over, and what is left to be sent needs a turn where a limit is named.
"""

import logging
from collections import deque
from collections.abc import Callable, Container, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import (
    EMPTY_NOTICE,
    Endpoint,
    EndpointId,
    KnownNotice,
    Notice,
    Seconds,
    is_other_incarnation,
)
from kestreltally.fleet.rate_limits import NEVER, IssuerState, RateLimitState
from kestreltally.fleet.unknown_signals import UnknownSignals

LOG = logging.getLogger("kestreltally.notices")

# An endpoint that leaves is gone within a minute as a rule; its notice is kept for that
# long after the last word on it, for its entry may lapse and come back.
RETENTION: Final[Seconds] = 60.0
# After a rest one request goes alone, and with each answer one more may be under way
# at once, until RISEN are: all at once would be turned away again.
INITIAL_TRIALS: Final = 1
TRIAL_STEP: Final = 1
MAX_TRIALS: Final = 16
# A request that has no answer's head after this no longer keeps others back: sound
# engines begin to answer within some 0.1 s, queues of a second are usual.
TRIAL_TIMEOUT: Final[Seconds] = 1.0
# What is told of an endpoint that is being tried: when to look again.
TRIAL_POLL_INTERVAL: Final[Seconds] = 0.05
# An endpoint that turns so many requests in a row away, and names no time, is left
# alone as if it had asked for rest: at first so long, twice as long each time again.
MAX_REJECTIONS: Final = 3
INITIAL_DEFAULT_BACKOFF: Final[Seconds] = 0.3
MAX_DEFAULT_BACKOFF: Final[Seconds] = 2.4
FOREVER: Final[Seconds] = float("inf")
NO_ISSUER: Final = IssuerState(known=False, daemons=None)


class Unavailable(Exception):
    """The endpoint has said that it wants nothing now: nothing was sent."""


@dataclass(slots=True)
class _Standing:
    """What is known of one start of an endpoint.

    ``recovering`` holds on past the rest until answers have shown that it is over; until
    then ``max_in_flight`` requests may be under way, and ``trials`` tells when each of them
    went. ``remote_backoff_until`` is the longest rest that another daemon was asked
    for. ``consecutive_rejections`` counts the requests in a row that were turned away with no time
    named, and ``default_backoff`` is how long it was last left alone for them.
    """

    born: int
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

    def start_recovery(self, now: Seconds) -> None:
        """Let requests return by steps from now on."""
        self.recovering = True
        self.max_in_flight = INITIAL_TRIALS
        self.backoff_until = max(self.backoff_until, now)

    def count_rejection(self, sent_at: Seconds, now: Seconds) -> Seconds:
        """Count a request turned away with no time named; return the rest it needs.

        Those that were on their way together are turned away for one reason, once.
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
        """Return how long it is to be left alone, 0 where it may be asked."""
        if self.leaves:
            return FOREVER
        if not self.recovering:
            return 0.0
        if now < self.backoff_until:
            return self.backoff_until - now
        while self.trials and now - self.trials[0] >= TRIAL_TIMEOUT:
            self.trials.popleft()
        return 0.0 if len(self.trials) < self.max_in_flight else TRIAL_POLL_INTERVAL


class NoticeTable:
    """The word of endpoints on themselves, as far as it was heard here."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Standing] = {}
        self.unknown_signals = UnknownSignals()
        # Called with the endpoint of which something is new.
        self.notify_change: Callable[[EndpointId], None] = lambda _: None
        # Tells who lends turns at an endpoint that names a limit.
        self.get_issuer_state: Callable[[Endpoint], IssuerState] = lambda _: NO_ISSUER
        # Called with an endpoint at which a turn is waited for.
        self.record_requested: Callable[[EndpointId], None] = lambda _: None

    def record(
        self,
        endpoint: Endpoint,
        notice: Notice,
        now: Seconds,
        sent_at: Seconds | None = None,
        *,
        from_request: bool = True,
    ) -> None:
        """Take in what an answer says of its endpoint.

        ``sent_at`` is when its request was sent, now where it is not told; ``from_request``
        tells that the answer is a request's, not a report's or an order's.
        """
        if notice == EMPTY_NOTICE:
            row = self._get_row(endpoint)
        else:
            row = self._ensure_row(endpoint.id, endpoint.born, now)
        if row is None:
            return
        sent_at = now if sent_at is None else sent_at
        before = row.rate_limit.limit
        if row.rate_limit.receive(notice, sent_at, now, from_request=from_request):
            self._announce_limit(endpoint.id, row, before, now)
        if notice.leaves:
            self._record_leaving(endpoint.id, row)
        rest = notice.rest
        if from_request and notice.rejects:
            rest = row.count_rejection(sent_at, now)
        elif from_request:
            row.consecutive_rejections, row.default_backoff = 0, 0.0
        if rest > 0:
            self._start_backoff(endpoint.id, row, rest, now)
        elif not notice.rejects:
            self._advance_recovery(endpoint, now)

    def _record_leaving(self, endpoint: EndpointId, row: _Standing) -> None:
        if row.leaves:
            return
        row.leaves = True
        log_decision(LOG, Decision.ENDPOINT_SAYS_LEAVING, endpoint=endpoint)
        self.notify_change(endpoint)

    def _announce_limit(
        self,
        endpoint: EndpointId,
        row: _Standing,
        before: float | None,
        now: Seconds,
    ) -> None:
        """Tell of a limit that has begun, ended, or changed notably."""
        limit = row.rate_limit.limit
        log_decision(
            LOG,
            Decision.ENDPOINT_NAMES_LIMIT,
            endpoint=endpoint,
            limit=limit,
            before=before,
        )
        if limit is None:
            row.start_recovery(now)
        self.notify_change(endpoint)

    def _start_backoff(
        self, endpoint: EndpointId, row: _Standing, rest: Seconds, now: Seconds
    ) -> None:
        news = now >= row.backoff_until
        row.start_recovery(now + rest)
        if news:
            log_decision(
                LOG, Decision.ENDPOINT_WANTS_REST, endpoint=endpoint, rest=rest
            )
            self.notify_change(endpoint)

    def _advance_recovery(self, endpoint: Endpoint, now: Seconds) -> None:
        """Let more requests go to an endpoint that answers after its rest."""
        row = self._get_row(endpoint)
        if row is None or not row.recovering or now < row.backoff_until:
            return
        row.max_in_flight += TRIAL_STEP
        row.recovering = row.max_in_flight < MAX_TRIALS

    def _ensure_row(
        self, endpoint: EndpointId, born: int, now: Seconds
    ) -> _Standing | None:
        """Return the row of an endpoint's start, none where a later one is known.

        A late answer of an earlier start says nothing of the newer.
        """
        row = self._rows.get(endpoint)
        if row is not None and is_other_incarnation(row.born, born):
            if born < row.born:
                return None
            row = None
        if row is None:
            row = self._rows[endpoint] = _Standing(born, now)
        row.recorded_at = max(row.recorded_at, now)
        return row

    def _get_row(self, endpoint: Endpoint) -> _Standing | None:
        """Return what is known of this start of an endpoint."""
        row = self._rows.get(endpoint.id)
        if row is None or is_other_incarnation(row.born, endpoint.born):
            return None
        return row

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it is told, leaving where it has said so itself.

        That it is listed as leaving is remembered: its entry in a copy from which the
        store comes back may not say so again yet.
        """
        row = self._get_row(endpoint)
        if row is not None and row.leaves:
            return endpoint if endpoint.leaving else replace(endpoint, leaving=True)
        if endpoint.leaving:
            row = self._ensure_row(endpoint.id, endpoint.born, NEVER)
            if row is not None:
                row.leaves = True
        return endpoint

    def compute_backoff(self, endpoint: Endpoint, now: Seconds) -> Seconds:
        """Return how long an endpoint is to be left alone, 0 where it may be asked."""
        row = self._get_row(endpoint)
        if row is None:
            return 0.0
        return row.compute_backoff(now) or self._compute_credit_wait(endpoint, row, now)

    def _compute_credit_wait(
        self, endpoint: Endpoint, row: _Standing, now: Seconds
    ) -> Seconds:
        if row.rate_limit.limit is None:
            return 0.0
        return row.rate_limit.compute_wait(self.get_issuer_state(endpoint), now)

    def is_constrained(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Tell whether some daemon cannot use an endpoint for its own word."""
        row = self._get_row(endpoint)
        if row is None:
            return False
        rests = row.compute_backoff(now) > 0 or now < row.remote_backoff_until
        return rests or row.rate_limit.is_constrained()

    def start_send(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Note that a request leaves for an endpoint; tell whether it is a trial.

        Raises ``Unavailable``. To be called with no pause before the bytes leave: what
        was chosen before the endpoint's word must not follow it.
        """
        row = self._get_row(endpoint)
        if row is None:
            return False
        if row.compute_backoff(now) > 0:
            raise Unavailable(endpoint.id)
        if row.rate_limit.limit is not None:
            row.rate_limit.demand.add(1, now)
            if not row.rate_limit.use_credit(self.get_issuer_state(endpoint), now):
                raise Unavailable(endpoint.id)
        if not row.recovering:
            return False
        row.trials.append(now)
        return True

    def end_trial(self, endpoint: Endpoint) -> None:
        """Note that a trial has an answer, or will get none."""
        row = self._get_row(endpoint)
        if row is not None and row.trials:
            row.trials.popleft()

    # Turns at endpoints that name a limit.

    @property
    def any_rate_limited(self) -> bool:
        """Tell whether any endpoint names a limit."""
        return any(row.rate_limit.limit is not None for row in self._rows.values())

    def is_rate_limited(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint names a limit."""
        return self.get_rate_limit(endpoint.id, endpoint.born) is not None

    def list_rate_limits(self) -> list[tuple[EndpointId, int, RateLimitState]]:
        """Return the endpoints that name a limit, and their starts."""
        return [
            (name, row.born, row.rate_limit)
            for name, row in self._rows.items()
            if row.rate_limit.limit is not None and not row.leaves
        ]

    def get_rate_limit(self, endpoint: EndpointId, born: int) -> RateLimitState | None:
        """Return the limit of an endpoint's start, none where none is in force."""
        row = self._rows.get(endpoint)
        if row is None or is_other_incarnation(row.born, born):
            return None
        return row.rate_limit if row.rate_limit.limit is not None else None

    def record_demand(self, endpoint: Endpoint, now: Seconds) -> None:
        """Note that a call would be made at an endpoint if a turn were at hand."""
        limit = self.get_rate_limit(endpoint.id, endpoint.born)
        if limit is not None:
            limit.demand.add(1, now)

    @contextmanager
    def wait_for_credits(
        self, endpoints: Iterable[Endpoint], urgency: int
    ) -> Iterator[None]:
        """Count a request that waits for a turn at any of some endpoints."""
        found = (
            (each.id, self.get_rate_limit(each.id, each.born)) for each in endpoints
        )
        limits = [(name, limit) for name, limit in found if limit is not None]
        for name, limit in limits:
            limit.waiting[urgency] += 1
            self.record_requested(name)
        try:
            yield
        finally:
            for _, limit in limits:
                limit.waiting[urgency] -= 1

    # What daemons tell each other.

    def list_known(self, now: Seconds) -> list[KnownNotice]:
        """Return what is in force, and what is known of limits."""
        known = []
        for name, row in self._rows.items():
            rest = max(0.0, row.backoff_until - now)
            if row.leaves or rest or row.rate_limit.version:
                known.append(
                    KnownNotice(
                        endpoint=name,
                        born=row.born,
                        leaves=row.leaves,
                        rest=rest,
                        limit=row.rate_limit.limit,
                        limit_version=row.rate_limit.version,
                        turn_wait=row.rate_limit.wait,
                    )
                )
        return known

    def count(self, now: Seconds) -> dict[str, float]:
        """Return how many endpoints are left alone by their own word, by which."""
        known = self.list_known(now)
        return {
            "leaving": float(sum(each.leaves for each in known)),
            "resting": float(sum(each.rest > 0 for each in known)),
            "limited": float(sum(each.limit is not None for each in known)),
        }

    def apply_reported(self, reported: Iterable[KnownNotice], now: Seconds) -> None:
        """Take in what another daemon heard."""
        for each in reported:
            self.apply_reported_limit(each, now)
            if not each.leaves and not each.rest:
                continue
            row = self._ensure_row(each.endpoint, each.born, now)
            if row is None:
                continue
            if each.leaves:
                self._record_leaving(each.endpoint, row)
            row.remote_backoff_until = max(row.remote_backoff_until, now + each.rest)

    def apply_reported_limit(self, reported: KnownNotice, now: Seconds) -> None:
        """Take in what another daemon knows of a limit.

        That one is over is no reason to remember an endpoint: it would never end, for
        daemons tell each other.
        """
        if reported.limit is None:
            row = self._rows.get(reported.endpoint)
            if row is None or is_other_incarnation(row.born, reported.born):
                return
        else:
            row = self._ensure_row(reported.endpoint, reported.born, now)
            if row is None:
                return
        before = row.rate_limit.limit
        if row.rate_limit.apply_reported(reported.limit, reported.limit_version, now):
            row.recorded_at = now
            self._announce_limit(reported.endpoint, row, before, now)

    def prune_old(self, listed: Container[EndpointId], now: Seconds) -> None:
        """Drop what is over, and what is known of endpoints that are gone."""
        for name, row in list(self._rows.items()):
            if name in listed and (row.leaves or row.rate_limit.limit is not None):
                row.recorded_at = now
            rests = max(row.backoff_until, row.remote_backoff_until)
            if now > RETENTION + max(row.recorded_at, rests):
                del self._rows[name]
