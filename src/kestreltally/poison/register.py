"""Which requests end the endpoints that run them, by what all daemons have seen.

An end cuts off all that ran at the endpoint, and one request at most is to blame. What
tells it from the others: it was at several ends, one after another, and never ran well
in between; and no other request was at all of these ends and more.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import Clearing, Fact, Life, Sighting, make_clearing
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.news import News
from kestreltally.poison.suspects import MEMORY, Suspect

LOG = logging.getLogger("kestreltally.poison")

# A request is stopped after so many ends. With two, one that its client repeats once
# and that meets another's crash both times would be stopped for it.
ENDS_TO_STOP: Final = 3
# What other daemons have to say of an end is awaited for this long: a word takes some
# 0.15 s over two leaders. Until then the request is held back.
SETTLE: Final[Seconds] = 0.3
# What would end an engine today may run well on its next version: a request is stopped
# for this long at first, and may then run; each end more doubles it. With a fixed time
# it would end three engines in each such span.
STOP_FIRST: Final[Seconds] = 900.0
STOP_MOST: Final[Seconds] = 8 * 3600.0
# Suspects and sightings kept at the most, some 0.3 kB each, and requests that are
# stopped among them, which others never push out.
SIGHTINGS_MOST: Final = 2_048
STOPPED_MOST: Final = 256
# Clearings whose numbers are remembered, so that none is taken in twice.
CLEARINGS_MOST: Final = 4_096


@dataclass(frozen=True, slots=True)
class Block:
    """A request may not run now; ``wait`` is how long that holds.

    It is ``settled`` once no other daemon is awaited; ``content`` is what lines show.
    """

    content: str
    ends: int
    wait: Seconds
    settled: bool


@dataclass(frozen=True, slots=True)
class Standing:
    """What operators see of a request; ``last_ended`` counts back from now."""

    content: str
    ends: int
    stopped: bool
    lives: tuple[Life, ...]
    last_ended: Seconds


class PoisonRegister:
    """The facts that this daemon has seen or been told, and what follows from them."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._suspects: OrderedDict[Digest, Suspect] = OrderedDict()
        self._outlines: dict[int, set[Digest]] = {}
        self._count = 0
        self._stopped: set[Digest] = set()
        self._clearings: dict[int, None] = {}
        self.news = News(clock)
        # Called when there is something to tell.
        self.notify_change: Callable[[], None] = lambda: None

    # What is asked of it.

    def is_outlined(self, outline: int) -> bool:
        """Tell whether any suspect has this outline: then a digest is worth it."""
        return outline in self._outlines

    def is_suspect(self, digest: Digest) -> bool:
        """Tell whether anything counts against a request."""
        suspect = self._suspects.get(digest)
        return suspect is not None and bool(suspect.list_valid(self._clock()))

    def find_block(self, digest: Digest) -> Block | None:
        """Return why a request may not run now, if it may not."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return None
        now = self._clock()
        ends = suspect.list_ends(now)
        content = str(suspect.fingerprint)
        if len(ends) < ENDS_TO_STOP or self._is_explained(suspect, now):
            self._note_verdict(suspect, len(ends), stopped=False)
            return None
        unsettled = suspect.noted_at + SETTLE - now
        if unsettled > 0:
            return Block(content, len(ends), unsettled, settled=False)
        self._note_verdict(suspect, len(ends), stopped=True)
        wait = ends[-1].ended_at + _find_stop_time(len(ends)) - now
        return Block(content, len(ends), wait, settled=True) if wait > 0 else None

    def judge(self) -> None:
        """Give the verdicts that are due, also where nobody asks for them."""
        due = [
            digest
            for digest, suspect in self._suspects.items()
            if len(suspect.sightings) >= ENDS_TO_STOP
        ]
        for digest in due:
            self.find_block(digest)

    def _is_explained(self, suspect: Suspect, now: Seconds) -> bool:
        """Tell whether another request was at all the same ends, and rather made them.

        That is one at more ends, or one that fewer events had come of.
        """
        lives = {each.life for each in suspect.list_valid(now)}
        weight = suspect.weigh(now)
        return any(
            lives <= {each.life for each in other.list_valid(now)}
            and len(other.list_ends(now)) >= ENDS_TO_STOP
            and other.weigh(now) > weight
            for other in self._suspects.values()
            if other is not suspect and len(other.sightings) >= len(lives)
        )

    def _note_verdict(self, suspect: Suspect, ends: int, *, stopped: bool) -> None:
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

    def list_suspects(self, least: int = 1) -> list[Standing]:
        """Return the requests that were at so many ends, the worst first."""
        self.judge()
        now = self._clock()
        found = [
            Standing(
                content=str(suspect.fingerprint),
                ends=len(ends),
                stopped=digest in self._stopped,
                lives=tuple(each.life for each in ends),
                last_ended=now - ends[-1].ended_at,
            )
            for digest, suspect in self._suspects.items()
            if len(ends := suspect.list_ends(now)) >= least
        ]
        return sorted(found, key=lambda each: each.ends, reverse=True)

    def list_stopped(self) -> list[Sighting]:
        """Return the ends for which requests are stopped."""
        self.judge()
        now = self._clock()
        stopped = [self._suspects[digest] for digest in sorted(self._stopped)]
        return [end for suspect in stopped for end in suspect.list_ends(now)]

    def count(self) -> dict[str, float]:
        """Return how many requests are known, by what is held of them."""
        self.judge()
        return {
            "suspected": float(len(self._suspects) - len(self._stopped)),
            "stopped": float(len(self._stopped)),
        }

    # What it is told.

    def note_own(self, facts: Iterable[Fact]) -> bool:
        """Take in what this daemon has seen, and tell the others if it is news."""
        news = [fact for fact in facts if self._add(fact)]
        self.news.add_own(news)
        for fact in news:
            if isinstance(fact, Sighting):
                self._tell_suspicion(fact)
        if news:
            self.notify_change()
        return bool(news)

    def _tell_suspicion(self, seen: Sighting) -> None:
        """Log that a request was at more than one end.

        Only who saw it does: all daemons would make a line of each request at each end,
        32 requests at an engine some 2,500 lines at 79 daemons.
        """
        suspect = self._suspects.get(seen.fingerprint.digest)
        ends = len(suspect.list_ends(self._clock())) if suspect is not None else 0
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
        """Take in what another daemon tells; tell whether any of it is news."""
        added = [self._add(fact) for fact in facts]
        return any(added)

    def pardon(self, shown: str) -> int:
        """Void what counts against requests whose shown digest begins so."""
        now = self._clock()
        named = [
            digest
            for digest, suspect in self._suspects.items()
            if shown and digest.hex().startswith(shown) and suspect.list_valid(now)
        ]
        self.note_own(
            make_clearing(self._suspects[digest].fingerprint, now) for digest in named
        )
        return len(named)

    def clear(self) -> None:
        """Forget all: the digests were made under another secret."""
        self._suspects.clear()
        self._outlines.clear()
        self._stopped.clear()
        self._clearings.clear()
        self.news.clear()
        self._count = 0

    def _add(self, fact: Fact) -> bool:
        """Take a fact in; tell whether it is news."""
        if isinstance(fact, Clearing):
            return self._add_clearing(fact)
        now = self._clock()
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._open_case(fact.fingerprint)
        if fact.life in suspect.sightings or fact.ended_at <= now - MEMORY:
            return False
        suspect.sightings[fact.life] = fact
        suspect.noted_at = now
        self._suspects.move_to_end(digest)
        self._count += 1
        self.news.add(fact)
        self._make_room()
        return True

    def _open_case(self, fingerprint: Fingerprint) -> Suspect:
        suspect = self._suspects[fingerprint.digest] = Suspect(fingerprint)
        self._outlines.setdefault(fingerprint.outline, set()).add(fingerprint.digest)
        self._count += 1
        return suspect

    def _add_clearing(self, fact: Clearing) -> bool:
        """Take a clearing in, also one that comes before what it voids."""
        if fact.number in self._clearings:
            return False
        self._clearings[fact.number] = None
        while len(self._clearings) > CLEARINGS_MOST:
            del self._clearings[next(iter(self._clearings))]
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest) or self._open_case(fact.fingerprint)
        suspect.cleared_at = max(suspect.cleared_at, fact.at)
        self.news.add(fact)
        self.find_block(digest)
        return True

    def _make_room(self) -> None:
        """Forget those at the fewest ends first, the oldest among them."""
        while len(self._stopped) > STOPPED_MOST:
            self._forget(next(each for each in self._suspects if each in self._stopped))
        while self._count > SIGHTINGS_MOST:
            self._forget(self._find_least())

    def _find_least(self) -> Digest:
        """Return the suspect that was at the fewest ends, the oldest among them."""
        open_cases = {
            digest: len(suspect.sightings)
            for digest, suspect in self._suspects.items()
            if digest not in self._stopped
        }
        for most in range(1, ENDS_TO_STOP):
            for digest, ends in open_cases.items():
                if ends <= most:
                    return digest
        return next(iter(open_cases or self._suspects))

    def _forget(self, digest: Digest) -> None:
        suspect = self._suspects.pop(digest)
        self._count -= 1 + len(suspect.sightings)
        self._stopped.discard(digest)
        known = self._outlines[suspect.fingerprint.outline]
        known.discard(digest)
        if not known:
            del self._outlines[suspect.fingerprint.outline]

    def prune_old(self) -> None:
        """Forget what no longer counts."""
        now = self._clock()
        self.news.prune_old()
        for digest, suspect in list(self._suspects.items()):
            ends = (each.ended_at for each in suspect.sightings.values())
            if max(ends, default=suspect.cleared_at) <= now - MEMORY:
                self._note_verdict(suspect, 0, stopped=False)
                self._forget(digest)


def _find_stop_time(ends: int) -> Seconds:
    """Return how long after its last end a request is stopped."""
    return min(STOP_MOST, STOP_FIRST * 2.0 ** (ends - ENDS_TO_STOP))
