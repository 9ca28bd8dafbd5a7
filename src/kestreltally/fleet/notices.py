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
  (``fleet/limits.py``). An answer without a limit ends it, or another start of it.

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
from kestreltally.fleet.limits import NEVER, Lending, LimitStanding
from kestreltally.fleet.model import (
    SILENT,
    Endpoint,
    EndpointId,
    KnownNotice,
    Notice,
    Seconds,
    is_other_life,
)
from kestreltally.fleet.unread import UnreadWords

LOG = logging.getLogger("kestreltally.notices")

# An endpoint that leaves is gone within a minute as a rule; its notice is kept for that
# long after the last word on it, for its entry may lapse and come back.
RETENTION: Final[Seconds] = 60.0
# After a rest one request goes alone, and with each answer one more may be under way
# at once, until RISEN are: all at once would be turned away again.
RISE_FIRST: Final = 1
RISE_STEP: Final = 1
RISEN: Final = 16
# A request that has no answer's head after this no longer keeps others back: sound
# engines begin to answer within some 0.1 s, queues of a second are usual.
TRIAL_MOST: Final[Seconds] = 1.0
# What is told of an endpoint that is being tried: when to look again.
TRIAL_LOOK: Final[Seconds] = 0.05
# An endpoint that turns so many requests in a row away, and names no time, is left
# alone as if it had asked for rest: at first so long, twice as long each time again.
TURNED_AWAY_MOST: Final = 3
UNTOLD_REST: Final[Seconds] = 0.3
UNTOLD_REST_MOST: Final[Seconds] = 2.4
FOR_EVER: Final[Seconds] = float("inf")
NOBODY_LENDS: Final = Lending(heard=False, daemons=None)


class NotWanted(Exception):
    """The endpoint has said that it wants nothing now: nothing was sent."""


@dataclass(slots=True)
class _Standing:
    """What is known of one start of an endpoint.

    ``resting`` holds on past the rest until answers have shown that it is over; until
    then ``allowed`` requests may be under way, and ``trials`` tells when each of them
    went. ``rests_elsewhere_until`` is the longest rest that another daemon was asked
    for. ``turned_away`` counts the requests in a row that were turned away with no time
    named, and ``untold_rest`` is how long it was last left alone for them.
    """

    born: int
    noted_at: Seconds
    leaves: bool = False
    resting: bool = False
    rests_until: Seconds = NEVER
    allowed: int = RISE_FIRST
    trials: deque[Seconds] = field(default_factory=deque)
    rests_elsewhere_until: Seconds = NEVER
    turned_away: int = 0
    turned_away_at: Seconds = NEVER
    untold_rest: Seconds = 0.0
    limit: LimitStanding = field(default_factory=LimitStanding)

    def begin_rise(self, now: Seconds) -> None:
        """Let requests return by steps from now on."""
        self.resting = True
        self.allowed = RISE_FIRST
        self.rests_until = max(self.rests_until, now)

    def count_turned_away(self, sent_at: Seconds, now: Seconds) -> Seconds:
        """Count a request turned away with no time named; return the rest it needs.

        Those that were on their way together are turned away for one reason, once.
        """
        if sent_at < self.turned_away_at:
            return 0.0
        self.turned_away_at = now
        self.turned_away += 1
        if self.turned_away < TURNED_AWAY_MOST or now < self.rests_until:
            return 0.0
        longer = max(UNTOLD_REST, 2 * self.untold_rest)
        self.untold_rest = min(UNTOLD_REST_MOST, longer)
        return self.untold_rest

    def find_rest(self, now: Seconds) -> Seconds:
        """Return how long it is to be left alone, 0 where it may be asked."""
        if self.leaves:
            return FOR_EVER
        if not self.resting:
            return 0.0
        if now < self.rests_until:
            return self.rests_until - now
        while self.trials and now - self.trials[0] >= TRIAL_MOST:
            self.trials.popleft()
        return 0.0 if len(self.trials) < self.allowed else TRIAL_LOOK


class NoticeTable:
    """The word of endpoints on themselves, as far as it was heard here."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Standing] = {}
        self.unread = UnreadWords()
        # Called with the endpoint of which something is new.
        self.notify_change: Callable[[EndpointId], None] = lambda _: None
        # Tells who lends turns at an endpoint that names a limit.
        self.find_lending: Callable[[Endpoint], Lending] = lambda _: NOBODY_LENDS
        # Called with an endpoint at which a turn is waited for.
        self.record_requested: Callable[[EndpointId], None] = lambda _: None

    def record(
        self,
        endpoint: Endpoint,
        notice: Notice,
        now: Seconds,
        sent_at: Seconds | None = None,
        *,
        signed: bool = True,
    ) -> None:
        """Take in what an answer says of its endpoint.

        ``sent_at`` is when its request was sent, now where it is not told; ``signed``
        tells that the answer is a request's, not a report's or an order's.
        """
        if notice == SILENT:
            row = self._look_up(endpoint)
        else:
            row = self._find_row(endpoint.id, endpoint.born, now)
        if row is None:
            return
        sent_at = now if sent_at is None else sent_at
        before = row.limit.limit
        if row.limit.hear(notice, sent_at, now, signed=signed):
            self._note_limit(endpoint.id, row, before, now)
        if notice.leaves:
            self._note_leaving(endpoint.id, row)
        rest = notice.rest
        if signed and notice.turns_away:
            rest = row.count_turned_away(sent_at, now)
        elif signed:
            row.turned_away, row.untold_rest = 0, 0.0
        if rest > 0:
            self._begin_rest(endpoint.id, row, rest, now)
        elif not notice.turns_away:
            self._end_rest(endpoint, now)

    def _note_leaving(self, endpoint: EndpointId, row: _Standing) -> None:
        if row.leaves:
            return
        row.leaves = True
        log_decision(LOG, Decision.ENDPOINT_SAYS_LEAVING, endpoint=endpoint)
        self.notify_change(endpoint)

    def _note_limit(
        self,
        endpoint: EndpointId,
        row: _Standing,
        before: float | None,
        now: Seconds,
    ) -> None:
        """Tell of a limit that has begun, ended, or changed notably."""
        limit = row.limit.limit
        log_decision(
            LOG,
            Decision.ENDPOINT_NAMES_LIMIT,
            endpoint=endpoint,
            limit=limit,
            before=before,
        )
        if limit is None:
            row.begin_rise(now)
        self.notify_change(endpoint)

    def _begin_rest(
        self, endpoint: EndpointId, row: _Standing, rest: Seconds, now: Seconds
    ) -> None:
        news = now >= row.rests_until
        row.begin_rise(now + rest)
        if news:
            log_decision(
                LOG, Decision.ENDPOINT_WANTS_REST, endpoint=endpoint, rest=rest
            )
            self.notify_change(endpoint)

    def _end_rest(self, endpoint: Endpoint, now: Seconds) -> None:
        """Let more requests go to an endpoint that answers after its rest."""
        row = self._look_up(endpoint)
        if row is None or not row.resting or now < row.rests_until:
            return
        row.allowed += RISE_STEP
        row.resting = row.allowed < RISEN

    def _find_row(
        self, endpoint: EndpointId, born: int, now: Seconds
    ) -> _Standing | None:
        """Return the row of an endpoint's start, none where a later one is known.

        A late answer of an earlier start says nothing of the newer.
        """
        row = self._rows.get(endpoint)
        if row is not None and is_other_life(row.born, born):
            if born < row.born:
                return None
            row = None
        if row is None:
            row = self._rows[endpoint] = _Standing(born, now)
        row.noted_at = max(row.noted_at, now)
        return row

    def _look_up(self, endpoint: Endpoint) -> _Standing | None:
        """Return what is known of this start of an endpoint."""
        row = self._rows.get(endpoint.id)
        if row is None or is_other_life(row.born, endpoint.born):
            return None
        return row

    def heed(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it is told, leaving where it has said so itself.

        That it is listed as leaving is remembered: its entry in a copy from which the
        store comes back may not say so again yet.
        """
        row = self._look_up(endpoint)
        if row is not None and row.leaves:
            return endpoint if endpoint.leaving else replace(endpoint, leaving=True)
        if endpoint.leaving:
            row = self._find_row(endpoint.id, endpoint.born, NEVER)
            if row is not None:
                row.leaves = True
        return endpoint

    def find_rest(self, endpoint: Endpoint, now: Seconds) -> Seconds:
        """Return how long an endpoint is to be left alone, 0 where it may be asked."""
        row = self._look_up(endpoint)
        if row is None:
            return 0.0
        return row.find_rest(now) or self._find_turn_wait(endpoint, row, now)

    def _find_turn_wait(
        self, endpoint: Endpoint, row: _Standing, now: Seconds
    ) -> Seconds:
        if row.limit.limit is None:
            return 0.0
        return row.limit.compute_wait(self.find_lending(endpoint), now)

    def is_short(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Tell whether some daemon cannot use an endpoint for its own word."""
        row = self._look_up(endpoint)
        if row is None:
            return False
        rests = row.find_rest(now) > 0 or now < row.rests_elsewhere_until
        return rests or row.limit.is_short()

    def begin_send(self, endpoint: Endpoint, now: Seconds) -> bool:
        """Note that a request leaves for an endpoint; tell whether it is a trial.

        Raises ``NotWanted``. To be called with no pause before the bytes leave: what
        was chosen before the endpoint's word must not follow it.
        """
        row = self._look_up(endpoint)
        if row is None:
            return False
        if row.find_rest(now) > 0:
            raise NotWanted(endpoint.id)
        if row.limit.limit is not None:
            row.limit.wants.add(1, now)
            if not row.limit.take(self.find_lending(endpoint), now):
                raise NotWanted(endpoint.id)
        if not row.resting:
            return False
        row.trials.append(now)
        return True

    def end_trial(self, endpoint: Endpoint) -> None:
        """Note that a trial has an answer, or will get none."""
        row = self._look_up(endpoint)
        if row is not None and row.trials:
            row.trials.popleft()

    # Turns at endpoints that name a limit.

    @property
    def any_limited(self) -> bool:
        """Tell whether any endpoint names a limit."""
        return any(row.limit.limit is not None for row in self._rows.values())

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint names a limit."""
        return self.find_limit(endpoint.id, endpoint.born) is not None

    def list_limits(self) -> list[tuple[EndpointId, int, LimitStanding]]:
        """Return the endpoints that name a limit, and their starts."""
        return [
            (name, row.born, row.limit)
            for name, row in self._rows.items()
            if row.limit.limit is not None and not row.leaves
        ]

    def find_limit(self, endpoint: EndpointId, born: int) -> LimitStanding | None:
        """Return the limit of an endpoint's start, none where none is in force."""
        row = self._rows.get(endpoint)
        if row is None or is_other_life(row.born, born):
            return None
        return row.limit if row.limit.limit is not None else None

    def want_turn(self, endpoint: Endpoint, now: Seconds) -> None:
        """Note that a call would be made at an endpoint if a turn were at hand."""
        limit = self.find_limit(endpoint.id, endpoint.born)
        if limit is not None:
            limit.wants.add(1, now)

    @contextmanager
    def wait_for_turns(
        self, endpoints: Iterable[Endpoint], urgency: int
    ) -> Iterator[None]:
        """Count a request that waits for a turn at any of some endpoints."""
        found = ((each.id, self.find_limit(each.id, each.born)) for each in endpoints)
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
            rest = max(0.0, row.rests_until - now)
            if row.leaves or rest or row.limit.version:
                known.append(
                    KnownNotice(
                        endpoint=name,
                        born=row.born,
                        leaves=row.leaves,
                        rest=rest,
                        limit=row.limit.limit,
                        limit_version=row.limit.version,
                        turn_wait=row.limit.wait,
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

    def take_told(self, told: Iterable[KnownNotice], now: Seconds) -> None:
        """Take in what another daemon heard."""
        for each in told:
            self.take_limit_told(each, now)
            if not each.leaves and not each.rest:
                continue
            row = self._find_row(each.endpoint, each.born, now)
            if row is None:
                continue
            if each.leaves:
                self._note_leaving(each.endpoint, row)
            row.rests_elsewhere_until = max(row.rests_elsewhere_until, now + each.rest)

    def take_limit_told(self, told: KnownNotice, now: Seconds) -> None:
        """Take in what another daemon knows of a limit.

        That one is over is no reason to remember an endpoint: it would never end, for
        daemons tell each other.
        """
        if told.limit is None:
            row = self._rows.get(told.endpoint)
            if row is None or is_other_life(row.born, told.born):
                return
        else:
            row = self._find_row(told.endpoint, told.born, now)
            if row is None:
                return
        before = row.limit.limit
        if row.limit.take_told(told.limit, told.limit_version, now):
            row.noted_at = now
            self._note_limit(told.endpoint, row, before, now)

    def prune_old(self, listed: Container[EndpointId], now: Seconds) -> None:
        """Drop what is over, and what is known of endpoints that are gone."""
        for name, row in list(self._rows.items()):
            if name in listed and (row.leaves or row.limit.limit is not None):
                row.noted_at = now
            rests = max(row.rests_until, row.rests_elsewhere_until)
            if now > RETENTION + max(row.noted_at, rests):
                del self._rows[name]
