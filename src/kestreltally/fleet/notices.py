"""Notices: what endpoints say about themselves in their answers.

An endpoint can say that it is leaving, ask for backoff, or name a rate limit. A notice
is a statement of the endpoint, not a suspicion, so the rules that keep a minimum of
endpoints in use do not apply to it. Precedence:

- Leaving, from an answer to any daemon or from the store's entry: overrides the store's
  entry and leaders' rows however recent, because these may be outdated or come from a
  backup. A new incarnation of the endpoint ends it.
- Backoff requested from this daemon by a 503: overrides everything else. It ends after
  the named time, or with a new incarnation.
- Several rejections in a row without a named time: the same, with a growing time. A
  single rejection may mean that the endpoint is full for a moment, or that it lacks
  what the request needs.
- Backoff requested from another daemon: overrides nothing on this daemon. A leader
  loads the weights elsewhere, for the daemons that must not call the endpoint.
- A rate limit, from an answer to any daemon: the newest limit applies to all daemons
  (``fleet/rate_limits.py``). An answer without a limit, or a new incarnation, ends it.
- Brittleness, from an answer to any daemon: how many requests the endpoint can turn
  away in a second before it falls over. It spreads and ends as a rate limit does.

Notices can be combined: a leaving endpoint gets no requests, one that is backing off
gets none until the backoff ends, and other calls need a credit if a limit is named.
"""

import logging
from collections.abc import Callable, Container, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
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
from kestreltally.fleet.named_limits import NEVER, NamedLimit
from kestreltally.fleet.notice_states import (
    MAX_TRIALS,
    TRIAL_STEP,
    EndpointNotices,
)
from kestreltally.fleet.rate_limits import IssuerState, RateLimitState
from kestreltally.fleet.unknown_signals import UnknownSignals

LOG = logging.getLogger("kestreltally.notices")

# A leaving endpoint normally disappears within a minute. Its notice is kept for that
# long after the last report on it, because its entry may expire and come back.
RETENTION: Final[Seconds] = 60.0
NO_ISSUER: Final = IssuerState(known=False, daemons=None)


class Unavailable(Exception):
    """The endpoint is gone, leaving or limits its load; the request was not sent."""


class NoticeTable:
    """The notices of all endpoints that this daemon has received."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, EndpointNotices] = {}
        # The endpoints that say that they are brittle.
        self._brittle: set[EndpointId] = set()
        self.unknown_signals = UnknownSignals()
        # When a request was last sent to each endpoint, until the endpoint is removed.
        self.sent_at: dict[EndpointId, Seconds] = {}
        # Returns whether an endpoint is known and not leaving.
        self.is_serving: Callable[[Endpoint], bool] = lambda _: True
        # Called with an endpoint whose notice has changed.
        self.notify_change: Callable[[EndpointId], None] = lambda _: None
        # Called with an endpoint, and its start time, once it is known to be leaving.
        self.notify_leaving: Callable[[EndpointId, int], None] = lambda *_: None
        # Returns the state of the issuer of credits for an endpoint with a rate limit.
        self.get_issuer_state: Callable[[Endpoint], IssuerState] = lambda _: NO_ISSUER
        # Called with an endpoint when a request starts to wait for a credit for it.
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
        """Record the notice of an answer.

        ``sent_at`` is when its request was sent, ``now`` by default; ``from_request``
        means that the answer is to a request, not to a report or an order.
        """
        if notice == EMPTY_NOTICE:
            row = self._get_row(endpoint)
        else:
            row = self._ensure_row(endpoint.id, endpoint.start_time_ms, now)
        if row is None:
            return
        sent_at = now if sent_at is None else sent_at
        before = row.rate_limit.limit
        if row.rate_limit.receive(notice, sent_at, now, from_request=from_request):
            self._announce_limit(endpoint.id, row, before, now)
        if row.brittleness.receive_named(
            notice.brittle, sent_at, now, from_request=from_request
        ):
            self._announce_brittleness(endpoint.id, row)
        if notice.leaves:
            self._record_leaving(endpoint.id, row)
        backoff = notice.backoff
        if from_request and notice.rejects:
            backoff = row.count_rejection(sent_at, now)
        elif from_request:
            row.consecutive_rejections, row.default_backoff = 0, 0.0
        if backoff > 0:
            self._start_backoff(endpoint.id, row, backoff, now)
        elif not notice.rejects:
            self._advance_recovery(endpoint, now)

    def _record_leaving(self, endpoint: EndpointId, row: EndpointNotices) -> None:
        if row.leaves:
            return
        row.leaves = True
        log_decision(LOG, Decision.ENDPOINT_SAYS_LEAVING, endpoint=endpoint)
        self.notify_leaving(endpoint, row.start_time_ms)
        self.notify_change(endpoint)

    def _announce_limit(
        self,
        endpoint: EndpointId,
        row: EndpointNotices,
        before: float | None,
        now: Seconds,
    ) -> None:
        """Report a limit that has started, ended, or changed significantly."""
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

    def _announce_brittleness(self, endpoint: EndpointId, row: EndpointNotices) -> None:
        """Report that an endpoint has become brittle, or no longer is."""
        if row.brittleness.limit is None:
            self._brittle.discard(endpoint)
        else:
            self._brittle.add(endpoint)
        log_decision(
            LOG,
            Decision.ENDPOINT_SAYS_BRITTLE,
            endpoint=endpoint,
            bears=row.brittleness.limit,
        )
        self.notify_change(endpoint)

    def _start_backoff(
        self, endpoint: EndpointId, row: EndpointNotices, rest: Seconds, now: Seconds
    ) -> None:
        is_new = now >= row.backoff_until
        row.start_recovery(now + rest)
        if is_new:
            log_decision(
                LOG, Decision.ENDPOINT_WANTS_REST, endpoint=endpoint, rest=rest
            )
            self.notify_change(endpoint)

    def _advance_recovery(self, endpoint: Endpoint, now: Seconds) -> None:
        """Allow more requests in flight at an endpoint that answers again."""
        row = self._get_row(endpoint)
        if row is None or not row.recovering or now < row.backoff_until:
            return
        row.max_in_flight += TRIAL_STEP
        row.recovering = row.max_in_flight < MAX_TRIALS

    def _ensure_row(
        self, endpoint: EndpointId, start_time_ms: int, now: Seconds
    ) -> EndpointNotices | None:
        """Return the row of an incarnation, None if a later one is known.

        A late answer of an earlier incarnation says nothing about the current one.
        """
        row = self._rows.get(endpoint)
        if row is not None and is_other_incarnation(row.start_time_ms, start_time_ms):
            if start_time_ms < row.start_time_ms:
                return None
            row = None
        if row is None:
            row = self._rows[endpoint] = EndpointNotices(start_time_ms, now)
            self._brittle.discard(endpoint)
        row.recorded_at = max(row.recorded_at, now)
        return row

    def _get_row(self, endpoint: Endpoint) -> EndpointNotices | None:
        """Return the row of this incarnation of an endpoint."""
        row = self._rows.get(endpoint.id)
        if row is None or is_other_incarnation(
            row.start_time_ms, endpoint.start_time_ms
        ):
            return None
        return row

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint, marked as leaving if it has said so itself.

        An endpoint that is listed as leaving is remembered, because its entry may lack
        this again after the store is restored from a backup.
        """
        row = self._get_row(endpoint)
        if row is not None and row.leaves:
            return endpoint if endpoint.leaving else replace(endpoint, leaving=True)
        if endpoint.leaving:
            row = self._ensure_row(endpoint.id, endpoint.start_time_ms, NEVER)
            if row is not None:
                row.leaves = True
                self.notify_leaving(endpoint.id, row.start_time_ms)
        return endpoint

    def compute_backoff(self, endpoint: Endpoint, now: Seconds) -> Seconds:
        """Return the remaining backoff of an endpoint, 0 if it can be called."""
        row = self._get_row(endpoint)
        if row is None:
            return 0.0
        return row.compute_backoff(now) or self._compute_credit_wait(endpoint, row, now)

    def _compute_credit_wait(
        self, endpoint: Endpoint, row: EndpointNotices, now: Seconds
    ) -> Seconds:
        if row.rate_limit.limit is None:
            return 0.0
        return row.rate_limit.compute_wait(self.get_issuer_state(endpoint), now)

    def is_constrained(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Return whether an endpoint's notices keep any daemon from using it."""
        row = self._get_row(endpoint)
        if row is None:
            return False
        backing_off = row.compute_backoff(now) > 0 or now < row.remote_backoff_until
        return backing_off or row.rate_limit.is_constrained()

    def start_request(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Record that a client's request is sent; return whether it is a trial.

        Raises ``Unavailable``. As for ``start_send``, do not await before the bytes are
        sent: the endpoint may have been removed since it was chosen.
        """
        if not self.is_serving(endpoint):
            raise Unavailable(endpoint.id)
        trial = self.start_send(endpoint, now)
        self.sent_at[endpoint.id] = now
        return trial

    def start_send(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Record that a call is sent to an endpoint; return whether it is a trial.

        Raises ``Unavailable``. Call it directly before the bytes are sent, without
        awaiting in between: a call for which the endpoint was chosen before its
        notice arrived must not be sent after it.
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
        """Record that a trial has an answer, or will get none."""
        row = self._get_row(endpoint)
        if row is not None and row.trials:
            row.trials.popleft()

    # Brittle endpoints.

    @property
    def any_brittle(self) -> bool:
        """Return whether any endpoint says that it is brittle."""
        return bool(self._brittle)

    def get_brittleness(self, endpoint: Endpoint) -> NamedLimit | None:
        """Return what an endpoint has said of being brittle, None if nothing."""
        row = self._get_row(endpoint)
        if row is None or not row.brittleness.version:
            return None
        return row.brittleness

    # Credits at endpoints with a rate limit.

    @property
    def any_rate_limited(self) -> bool:
        """Return whether any endpoint has a rate limit."""
        return any(row.rate_limit.limit is not None for row in self._rows.values())

    def is_rate_limited(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has a rate limit."""
        return self.get_rate_limit(endpoint.id, endpoint.start_time_ms) is not None

    def list_rate_limits(self) -> list[tuple[EndpointId, int, RateLimitState]]:
        """Return the endpoints with a rate limit, with their start times."""
        return [
            (name, row.start_time_ms, row.rate_limit)
            for name, row in self._rows.items()
            if row.rate_limit.limit is not None and not row.leaves
        ]

    def get_rate_limit(
        self, endpoint: EndpointId, start_time_ms: int
    ) -> RateLimitState | None:
        """Return the rate limit of an incarnation, None if there is none."""
        row = self._rows.get(endpoint)
        if row is None or is_other_incarnation(row.start_time_ms, start_time_ms):
            return None
        return row.rate_limit if row.rate_limit.limit is not None else None

    def record_demand(self, endpoint: Endpoint, now: Seconds) -> None:
        """Record a call that would be made if a credit were available."""
        limit = self.get_rate_limit(endpoint.id, endpoint.start_time_ms)
        if limit is not None:
            limit.demand.add(1, now)

    @contextmanager
    def wait_for_credits(
        self, endpoints: Iterable[Endpoint], urgency: int
    ) -> Iterator[None]:
        """Count a request that waits for a credit of any of some endpoints."""
        found = (
            (each.id, self.get_rate_limit(each.id, each.start_time_ms))
            for each in endpoints
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

    # Exchange with other daemons.

    def list_known(self, now: Seconds) -> list[KnownNotice]:
        """Return the notices in force, and what is known of limits."""
        known = []
        for name, row in self._rows.items():
            backoff = max(0.0, row.backoff_until - now)
            named = row.rate_limit.version or row.brittleness.version
            if row.leaves or backoff or named:
                known.append(
                    KnownNotice(
                        endpoint=name,
                        start_time_ms=row.start_time_ms,
                        leaves=row.leaves,
                        backoff=backoff,
                        limit=row.rate_limit.limit,
                        limit_version=row.rate_limit.version,
                        credit_wait=row.rate_limit.wait,
                        brittle=row.brittleness.limit,
                        brittle_version=row.brittleness.version,
                    )
                )
        return known

    def count(self, now: Seconds) -> dict[str, float]:
        """Return the number of endpoints by kind of notice in force."""
        known = self.list_known(now)
        return {
            "leaving": float(sum(each.leaves for each in known)),
            "resting": float(sum(each.backoff > 0 for each in known)),
            "limited": float(sum(each.limit is not None for each in known)),
            "brittle": float(len(self._brittle)),
        }

    def apply_reported(self, reported: Iterable[KnownNotice], now: Seconds) -> None:
        """Apply notices that another daemon has received."""
        for each in reported:
            self.apply_reported_limit(each, now)
            if not each.leaves and not each.backoff:
                continue
            row = self._ensure_row(each.endpoint, each.start_time_ms, now)
            if row is None:
                continue
            if each.leaves:
                self._record_leaving(each.endpoint, row)
            row.remote_backoff_until = max(row.remote_backoff_until, now + each.backoff)

    def apply_reported_limit(self, reported: KnownNotice, now: Seconds) -> None:
        """Apply what another daemon knows of an endpoint's limits.

        A report that limits have ended does not create a row: daemons report to each
        other, so such a row would never expire.
        """
        if reported.limit is None and reported.brittle is None:
            row = self._rows.get(reported.endpoint)
            if row is None or is_other_incarnation(
                row.start_time_ms, reported.start_time_ms
            ):
                return
        else:
            row = self._ensure_row(reported.endpoint, reported.start_time_ms, now)
            if row is None:
                return
        before = row.rate_limit.limit
        if row.rate_limit.apply_reported(reported.limit, reported.limit_version, now):
            row.recorded_at = now
            self._announce_limit(reported.endpoint, row, before, now)
        if row.brittleness.apply_reported(
            reported.brittle, reported.brittle_version, now
        ):
            row.recorded_at = now
            self._announce_brittleness(reported.endpoint, row)

    def prune_old(self, listed: Container[EndpointId], now: Seconds) -> None:
        """Remove expired notices, and those of endpoints that no longer exist."""
        for name, row in list(self._rows.items()):
            is_listed = name in listed
            is_limited = row.rate_limit.limit is not None or name in self._brittle
            is_in_force = row.leaves or is_limited
            # A leaving that was read from an entry has no time of its own.
            if is_in_force and (is_listed or row.recorded_at == NEVER):
                row.recorded_at = now
            backoff_until = max(row.backoff_until, row.remote_backoff_until)
            if now > RETENTION + max(row.recorded_at, backoff_until):
                del self._rows[name]
                self._brittle.discard(name)
