"""Decides which requests crash the endpoints that run them, from all daemons' facts.

A crash cuts off all requests at the endpoint, of which at most one is to blame. That
one was present at several crashes, one after another, without a successful run in
between, and no other request was present at all of these crashes and more. Crashes are
called ``ends`` in the API and the logs.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.poison.factlog import FactLog
from kestreltally.poison.facts import (
    Clearing,
    Fact,
    IncarnationName,
    Sighting,
    make_clearing,
)
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.part_register import PartRegister
from kestreltally.poison.parts import is_part
from kestreltally.poison.suspects import SIGHTING_RETENTION, Suspect

LOG = logging.getLogger("kestreltally.poison")

# The kinds of suspects that are shown to operators.
REQUEST: Final = "request"
PART: Final = "part"
# A request is stopped after this many crashes. With two, an innocent request that its
# client repeats once would be stopped if it met another request's crash both times.
CRASHES_TO_STOP: Final = 3
# How long reports of other daemons on a crash are awaited: they take about 0.15 s over
# two leaders. Until then the request is held back.
SETTLE_TIME: Final[Seconds] = 0.3
# A request that crashes an engine may run on the engine's next version. It is therefore
# stopped for this long at first and may then run again; each further crash doubles the
# time. With a fixed time it would crash three engines in each such period.
INITIAL_STOP_TIME: Final[Seconds] = 900.0
MAX_STOP_TIME: Final[Seconds] = 8 * 3600.0
# Maximum number of suspects plus sightings, about 0.3 kB each, and of stopped requests
# among them, which other suspects never evict.
MAX_SIGHTINGS: Final = 2_048
MAX_STOPPED: Final = 256
# Number of clearings whose ids are remembered, so that none is applied twice.
MAX_CLEARINGS: Final = 4_096


@dataclass(frozen=True, slots=True)
class Block:
    """A request must not run now; ``wait`` is the remaining time.

    It is ``settled`` once no reports of other daemons are awaited. ``content`` is the
    shortened digest shown in logs.
    """

    content: str
    ends: int
    wait: Seconds
    settled: bool

    @property
    def fault(self) -> str:
        """Return why the request is refused."""
        return f"stopped: {self.ends} endpoints ended under it"


@dataclass(frozen=True, slots=True)
class SuspectSummary:
    """A request or part as shown to operators; ``last_ended`` is an age."""

    content: str
    ends: int
    stopped: bool
    lives: tuple[IncarnationName, ...]
    last_ended: Seconds
    kind: str = REQUEST


class PoisonRegister:
    """The facts this daemon has observed or received, and the verdicts from them."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._suspects: OrderedDict[Digest, Suspect] = OrderedDict()
        self._outlines: dict[int, set[Digest]] = {}
        self._entry_count = 0
        self._stopped: set[Digest] = set()
        self._clearings: dict[int, None] = {}
        self.fact_log = FactLog(clock)
        self.parts = PartRegister(clock)
        # Called when there are new facts to report.
        self.notify_change: Callable[[], None] = lambda: None

    # Queries.

    def has_outline(self, outline: int) -> bool:
        """Return whether a suspect has this outline, so that a digest is needed."""
        return outline in self._outlines

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether any valid sighting counts against a request."""
        suspect = self._suspects.get(digest)
        return suspect is not None and bool(suspect.list_valid(self._clock()))

    def find_block(self, digest: Digest) -> Block | None:
        """Return why a request must not run now, None if it can run."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return None
        now = self._clock()
        ends = suspect.list_sequential(now)
        content = str(suspect.fingerprint)
        if len(ends) < CRASHES_TO_STOP or self._is_explained_by_other(suspect, now):
            self._record_verdict(suspect, len(ends), stopped=False)
            return None
        unsettled = suspect.recorded_at + SETTLE_TIME - now
        if unsettled > 0:
            return Block(content, len(ends), unsettled, settled=False)
        self._record_verdict(suspect, len(ends), stopped=True)
        wait = ends[-1].ended_at + _compute_stop_time(len(ends)) - now
        return Block(content, len(ends), wait, settled=True) if wait > 0 else None

    def evaluate(self) -> None:
        """Apply due verdicts, also of requests that are not queried."""
        self.parts.evaluate()
        due = [
            digest
            for digest, suspect in self._suspects.items()
            if len(suspect.sightings) >= CRASHES_TO_STOP
        ]
        for digest in due:
            self.find_block(digest)

    def _is_explained_by_other(self, suspect: Suspect, now: Seconds) -> bool:
        """Return whether a more likely suspect was present at all the same crashes.

        That is a request at more crashes, or one whose attempts had less often started
        to be answered.
        """
        lives = {each.incarnation for each in suspect.list_valid(now)}
        suspect_score = suspect.score(now)
        return any(
            lives <= {each.incarnation for each in other.list_valid(now)}
            and len(other.list_sequential(now)) >= CRASHES_TO_STOP
            and other.score(now) > suspect_score
            for other in self._suspects.values()
            if other is not suspect and len(other.sightings) >= len(lives)
        )

    def _record_verdict(self, suspect: Suspect, ends: int, *, stopped: bool) -> None:
        digest = suspect.fingerprint.digest
        if stopped == (digest in self._stopped):
            return
        if stopped:
            self._stopped.add(digest)
        else:
            self._stopped.discard(digest)
        log_decision(
            LOG,
            Decision.POISON_STOPPED if stopped else Decision.POISON_PARDONED,
            content=str(suspect.fingerprint),
            ends=ends,
            lives=sorted(suspect.sightings),
        )

    def list_suspects(self, min_crashes: int = 1) -> list[SuspectSummary]:
        """Return requests with at least ``min_crashes`` crashes, most crashes first.

        Suspected parts of prompts are listed after them.
        """
        self.evaluate()
        now = self._clock()
        parts = [
            SuspectSummary(
                content=str(suspect.fingerprint),
                ends=len(crashes),
                stopped=suspect.stopped,
                lives=tuple(each.incarnation for each in crashes),
                last_ended=now - crashes[-1].ended_at,
                kind=PART,
            )
            for suspect in self.parts.list_suspects()
            if len(crashes := suspect.list_crashes(now)) >= min_crashes
        ]
        found = [
            SuspectSummary(
                content=str(suspect.fingerprint),
                ends=len(ends),
                stopped=digest in self._stopped,
                lives=tuple(each.incarnation for each in ends),
                last_ended=now - ends[-1].ended_at,
            )
            for digest, suspect in self._suspects.items()
            if len(ends := suspect.list_sequential(now)) >= min_crashes
        ]
        return [
            *sorted(found, key=lambda each: each.ends, reverse=True),
            *sorted(parts, key=lambda each: each.ends, reverse=True),
        ]

    def list_kept(self) -> list[Sighting]:
        """Return the sightings of stopped requests and parts, and of likely parts."""
        return [*self.list_stopped(), *self.parts.list_kept()]

    def list_stopped(self) -> list[Sighting]:
        """Return the sightings for which requests are stopped."""
        self.evaluate()
        now = self._clock()
        stopped = [self._suspects[digest] for digest in sorted(self._stopped)]
        return [end for suspect in stopped for end in suspect.list_sequential(now)]

    def count(self) -> dict[str, float]:
        """Return the numbers of suspected and of stopped requests."""
        self.evaluate()
        return {
            "suspected": float(len(self._suspects) - len(self._stopped)),
            "stopped": float(len(self._stopped)),
        }

    # Updates.

    def record_local(self, facts: Iterable[Fact]) -> bool:
        """Record facts observed by this daemon and report them if any is new."""
        added = [fact for fact in facts if self._add(fact)]
        self.fact_log.add_local(added)
        for fact in added:
            if isinstance(fact, Sighting):
                self._log_suspicion(fact)
        if added:
            self.notify_change()
        return bool(added)

    def _log_suspicion(self, seen: Sighting) -> None:
        """Log that a request was present at more than one crash.

        Only the observing daemon logs it. Otherwise each daemon would log every request
        at every crash: with 32 requests at an engine, about 2,500 lines at 79 daemons.
        """
        suspect = self._suspects.get(seen.fingerprint.digest)
        ends = len(suspect.list_sequential(self._clock())) if suspect is not None else 0
        if suspect is None or ends < 2:
            return
        log_decision(
            LOG,
            Decision.POISON_SUSPECTED,
            content=str(suspect.fingerprint),
            ends=ends,
            lives=sorted(suspect.sightings),
        )

    def record_reported(self, facts: Iterable[Fact]) -> bool:
        """Record facts reported by another daemon; return whether any was new."""
        added = [self._add(fact) for fact in facts]
        return any(added)

    def pardon(self, shown: str) -> int:
        """Clear requests and parts whose digest starts with ``shown``; count them."""
        now = self._clock()
        suspected = [
            *(s.fingerprint for s in self._suspects.values() if s.list_valid(now)),
            *(s.fingerprint for s in self.parts.list_suspects() if s.sightings),
        ]
        named = [e for e in suspected if shown and e.digest.hex().startswith(shown)]
        self.record_local(make_clearing(each, now) for each in named)
        return len(named)

    def clear(self) -> None:
        """Remove all facts, because the digests were made with another secret."""
        self._suspects.clear()
        self._outlines.clear()
        self._stopped.clear()
        self._clearings.clear()
        self.fact_log.clear()
        self._entry_count = 0
        self.parts.clear()

    def _add(self, fact: Fact) -> bool:
        """Add a fact; return whether it was new."""
        if isinstance(fact, Clearing):
            return self._add_clearing(fact)
        if is_part(fact.fingerprint):
            is_new = self.parts.add_sighting(fact)
            if is_new:
                self.fact_log.add(fact)
            return is_new
        now = self._clock()
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._add_suspect(fact.fingerprint)
        if (
            fact.incarnation in suspect.sightings
            or fact.ended_at <= now - SIGHTING_RETENTION
        ):
            return False
        suspect.sightings[fact.incarnation] = fact
        suspect.recorded_at = now
        self._suspects.move_to_end(digest)
        self._entry_count += 1
        self.fact_log.add(fact)
        self._evict()
        return True

    def _add_suspect(self, fingerprint: Fingerprint) -> Suspect:
        suspect = self._suspects[fingerprint.digest] = Suspect(fingerprint)
        self._outlines.setdefault(fingerprint.outline, set()).add(fingerprint.digest)
        self._entry_count += 1
        return suspect

    def _add_clearing(self, fact: Clearing) -> bool:
        """Add a clearing, which may arrive before the sightings that it voids."""
        if fact.number in self._clearings:
            return False
        self._clearings[fact.number] = None
        while len(self._clearings) > MAX_CLEARINGS:
            del self._clearings[next(iter(self._clearings))]
        if is_part(fact.fingerprint):
            self.parts.add_clearing(fact)
            self.fact_log.add(fact)
            return True
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest) or self._add_suspect(fact.fingerprint)
        suspect.cleared_at = max(suspect.cleared_at, fact.at)
        self.fact_log.add(fact)
        self.find_block(digest)
        return True

    def _evict(self) -> None:
        """Evict suspects with the fewest crashes first, the oldest among them."""
        while len(self._stopped) > MAX_STOPPED:
            self._remove(next(each for each in self._suspects if each in self._stopped))
        while self._entry_count > MAX_SIGHTINGS:
            self._remove(self._choose_eviction())

    def _choose_eviction(self) -> Digest:
        """Return the oldest suspect among those with the fewest crashes."""
        not_stopped = {
            digest: len(suspect.sightings)
            for digest, suspect in self._suspects.items()
            if digest not in self._stopped
        }
        for max_crashes in range(1, CRASHES_TO_STOP):
            for digest, ends in not_stopped.items():
                if ends <= max_crashes:
                    return digest
        return next(iter(not_stopped or self._suspects))

    def _remove(self, digest: Digest) -> None:
        suspect = self._suspects.pop(digest)
        self._entry_count -= 1 + len(suspect.sightings)
        self._stopped.discard(digest)
        known = self._outlines[suspect.fingerprint.outline]
        known.discard(digest)
        if not known:
            del self._outlines[suspect.fingerprint.outline]

    def prune_old(self) -> None:
        """Remove suspects and facts past their retention."""
        now = self._clock()
        self.fact_log.prune_old()
        self.parts.prune_old()
        for digest, suspect in list(self._suspects.items()):
            ends = (each.ended_at for each in suspect.sightings.values())
            if max(ends, default=suspect.cleared_at) <= now - SIGHTING_RETENTION:
                self._record_verdict(suspect, 0, stopped=False)
                self._remove(digest)


def _compute_stop_time(crashes: int) -> Seconds:
    """Return how long after its last crash a request is stopped."""
    return min(MAX_STOP_TIME, INITIAL_STOP_TIME * 2.0 ** (crashes - CRASHES_TO_STOP))
