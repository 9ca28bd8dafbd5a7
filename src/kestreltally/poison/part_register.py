"""Decides which parts of prompts crash engines, from all daemons' facts.

At a crash each part of a request that had not got far is a suspect; a completed answer
proves all of its parts innocent. This is group testing (Dorfman, 1943): the sound
requests that share a part with suspected ones are the tests. A part is blamed that was
present at several crashes, one after another, without a completed answer in between.
Where several parts were always present together, requests that hold all of them are
stopped, and those that hold some go on and tell them apart.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import Clearing, IncarnationName, Sighting
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.suspects import SIGHTING_RETENTION

LOG = logging.getLogger("kestreltally.poison")

CRASHES_TO_STOP: Final = 3
# From this many crashes on they are kept in the store, in case all daemons fail.
CRASHES_TO_KEEP: Final = 2
# Engines that fail within this time, as in one rack, count as one crash.
GROUP_TIME: Final[Seconds] = 0.15
# A part is stopped for this long after its last crash, and then tried by one daemon, a
# request at a time.
STOP_TIME: Final[Seconds] = 900.0
TRIAL_INTERVAL: Final[Seconds] = 60.0
# Maximum number of suspected parts and their sightings, about 0.5 kB each.
MAX_SIGHTINGS: Final = 2_048


@dataclass(frozen=True, slots=True)
class PartBlock:
    """A request must not run: one of its parts was present at ``ends`` crashes."""

    content: str
    ends: int
    wait: Seconds

    @property
    def fault(self) -> str:
        """Return why the request is refused."""
        return f"stopped: {self.ends} endpoints ended under a part of its prompt"


@dataclass(slots=True)
class SuspectedPart:
    """A part, and the crashes at which it was present.

    ``companions`` are the suspected parts that were with it at all of these crashes.
    """

    fingerprint: Fingerprint
    sightings: dict[IncarnationName, Sighting] = field(default_factory=dict)
    companions: frozenset[Digest] | None = None
    cleared_at: Seconds = float("-inf")
    stopped: bool = False
    tried_at: Seconds = float("-inf")

    def list_crashes(self, now: Seconds) -> list[Sighting]:
        """Return one sighting for each crash that counts, ordered by time."""
        since = max(self.cleared_at, now - SIGHTING_RETENTION)
        crashes: list[Sighting] = []
        for each in sorted(self.sightings.values(), key=lambda seen: seen.ended_at):
            is_next = not crashes or each.ended_at - crashes[-1].ended_at > GROUP_TIME
            if each.ended_at > since and is_next:
                crashes.append(each)
        return crashes

    def add(self, sighting: Sighting) -> None:
        """Add a sighting; companions that were not there are none."""
        self.sightings[sighting.incarnation] = sighting
        present = frozenset(sighting.companions)
        known = self.companions
        self.companions = present if known is None else known & present

    def clear(self, at: Seconds) -> None:
        """Void the sightings up to a time, and what was concluded from them."""
        self.cleared_at = max(self.cleared_at, at)
        self.sightings = {
            life: each
            for life, each in self.sightings.items()
            if each.ended_at > self.cleared_at
        }
        self.companions = None
        for each in self.sightings.values():
            self.add(each)


class PartRegister:
    """The suspected parts, and the verdicts on them.

    ``may_try`` returns whether this daemon is the one that tries a stopped part again.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._suspects: OrderedDict[Digest, SuspectedPart] = OrderedDict()
        self._sighting_count = 0
        self.may_try: Callable[[], bool] = lambda: False

    def __bool__(self) -> bool:
        """Return whether any part is suspected."""
        return self._sighting_count > 0

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether any sighting counts against a part."""
        suspect = self._suspects.get(digest)
        return suspect is not None and bool(suspect.sightings)

    def find_block(self, digests: Sequence[Digest]) -> PartBlock | None:
        """Return why a request with these parts must not run now, None if it can."""
        for digest in digests:
            suspect = self._suspects.get(digest)
            if suspect is None or len(suspect.sightings) < CRASHES_TO_STOP:
                continue
            block = self._find_block(suspect, digests)
            if block is not None:
                return block
        return None

    def _find_block(
        self, suspect: SuspectedPart, digests: Sequence[Digest]
    ) -> PartBlock | None:
        now = self._clock()
        crashes = suspect.list_crashes(now)
        self._record_verdict(suspect, crashes)
        if len(crashes) < CRASHES_TO_STOP or not self._are_present(suspect, digests):
            return None
        wait = crashes[-1].ended_at + STOP_TIME - now
        if wait <= 0:
            wait = TRIAL_INTERVAL
            if self.may_try() and now - suspect.tried_at >= TRIAL_INTERVAL:
                suspect.tried_at = now
                return None
        return PartBlock(str(suspect.fingerprint), len(crashes), wait)

    def _are_present(self, suspect: SuspectedPart, digests: Sequence[Digest]) -> bool:
        """Return whether a request has all parts that nothing tells from a suspect."""
        return all(
            each in digests
            for each in suspect.companions or ()
            if self.is_suspect(each)
        )

    def _record_verdict(
        self, suspect: SuspectedPart, crashes: Sequence[Sighting]
    ) -> None:
        stopped = len(crashes) >= CRASHES_TO_STOP
        if stopped == suspect.stopped:
            return
        suspect.stopped = stopped
        log_decision(
            LOG,
            Decision.PART_STOPPED if stopped else Decision.PART_PARDONED,
            content=str(suspect.fingerprint),
            ends=len(crashes),
            lives=[each.incarnation for each in crashes],
            companions=len(suspect.companions or ()),
        )

    def evaluate(self) -> None:
        """Apply due verdicts, also on parts that no request has."""
        now = self._clock()
        for suspect in self._suspects.values():
            if suspect.stopped or len(suspect.sightings) >= CRASHES_TO_STOP:
                self._record_verdict(suspect, suspect.list_crashes(now))

    def list_suspects(self) -> list[SuspectedPart]:
        """Return the suspected parts."""
        return list(self._suspects.values())

    def list_kept(self) -> list[Sighting]:
        """Return the sightings that must outlive all daemons."""
        now = self._clock()
        return [
            each
            for _, suspect in sorted(self._suspects.items())
            if len(suspect.list_crashes(now)) >= CRASHES_TO_KEEP
            for each in suspect.sightings.values()
        ]

    def count(self) -> dict[str, float]:
        """Return the numbers of suspected and of stopped parts."""
        stopped = sum(each.stopped for each in self._suspects.values())
        return {
            "suspected": float(len(self._suspects) - stopped),
            "stopped": float(stopped),
        }

    # Updates.

    def add_sighting(self, fact: Sighting) -> bool:
        """Add a sighting; return whether it was new and counts."""
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = SuspectedPart(fact.fingerprint)
        oldest = max(suspect.cleared_at, self._clock() - SIGHTING_RETENTION)
        if fact.incarnation in suspect.sightings or fact.ended_at <= oldest:
            return False
        suspect.add(fact)
        self._suspects.move_to_end(digest)
        self._sighting_count += 1
        self._evict()
        return True

    def add_clearing(self, fact: Clearing) -> None:
        """Add a clearing, which may arrive before the sightings that it voids."""
        digest = fact.fingerprint.digest
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = SuspectedPart(fact.fingerprint)
        before = len(suspect.sightings)
        suspect.clear(fact.at)
        self._sighting_count += len(suspect.sightings) - before
        self._record_verdict(suspect, suspect.list_crashes(self._clock()))

    def _evict(self) -> None:
        """Evict the parts at the fewest crashes first, the oldest among them."""
        while self._sighting_count + len(self._suspects) > MAX_SIGHTINGS:
            least = min(len(each.sightings) for each in self._suspects.values())
            self._remove(
                next(k for k, v in self._suspects.items() if len(v.sightings) <= least)
            )

    def _remove(self, digest: Digest) -> None:
        self._sighting_count -= len(self._suspects.pop(digest).sightings)

    def prune_old(self) -> None:
        """Remove parts whose sightings and clearings are past their retention."""
        oldest = self._clock() - SIGHTING_RETENTION
        for digest, suspect in list(self._suspects.items()):
            times = [each.ended_at for each in suspect.sightings.values()]
            if max([suspect.cleared_at, *times]) <= oldest:
                self._remove(digest)

    def clear(self) -> None:
        """Remove all parts, because the digests were made with another secret."""
        self._suspects.clear()
        self._sighting_count = 0
