"""Limits that endpoints name, and this daemon's turns at them.

An endpoint in need names how many requests a second it takes from all daemons together.
From then on each call of any kind needs a turn there, which the daemon that leads the
endpoint lends (``placing/turns.py``): only one place that counts for all keeps a sum of
a few requests a second, in any window. A turn ends soon where it is not used, so that
what is lent and lost adds nothing later.

Which word on a limit is newer is told without comparing clocks: who hears a word that
differs from the one it knows, in an answer to what was sent after it knew that one,
adds one to its version. Of two with one version the stricter holds.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Notice, Seconds
from kestreltally.rates import Bucket, RateMeter

# Urgency of turns that nobody waits for yet; those of requests end at 9.
AHEAD: Final = 10
# Turns are wanted ahead for this time, by the pace of the last second or so: as long as
# it takes to ask for one and get it.
AHEAD_TIME: Final[Seconds] = 0.25
WANTS_TIME: Final[Seconds] = 1.0
# What is told as the wait for a turn while its lender knows of none who waits.
TURN_TRIP: Final[Seconds] = 0.05
# A limit is short where a turn takes longer: as long as a load of an adapter elsewhere.
SHORT_WAIT: Final[Seconds] = 0.25
# Changes of a limit by less than this factor are told with what is told in any case.
NOTABLE_FACTOR: Final = 2.0
# Even an endpoint that takes nothing is called this often a second where it is wanted:
# only an answer tells that its limit is over.
RATE_LEAST: Final = 0.25
# Who hears nobody that holds the lease keeps to this part of an equal share, for the
# others may hear one.
ALONE_PART: Final = 0.4
# All daemons may use a first turn in one moment then: above so many, and the limit's
# number, none uses any.
ALONE_MOST: Final = 4
# What is told then as the wait for a turn: some such times later another lends.
ALONE_WAIT: Final[Seconds] = 1.0
NEVER: Final[Seconds] = float("-inf")


@dataclass(frozen=True, slots=True)
class Lending:
    """Who lends turns at an endpoint.

    ``heard`` tells that a lender is heard, or is this daemon; ``daemons`` is how many
    daemons there are, none where this one was never told.
    """

    heard: bool
    daemons: int | None


def is_stricter(limit: float | None, than: float | None) -> bool:
    """Tell whether a limit, none for no limit, allows less than another."""
    return limit is not None and (than is None or limit < than)


@dataclass(slots=True)
class LimitStanding:
    """What is known of the limit of one start of an endpoint.

    ``known_at`` is since when the word in force is known here, ``wait`` how long a call
    waits for its turn by its lender's word, and ``named_in_calls`` whether answers to
    reports and orders name the limit too. ``turns`` holds the ends of the turns at
    hand, ``waiting`` counts the requests that wait for one, by urgency.
    """

    limit: float | None = None
    version: int = 0
    known_at: Seconds = NEVER
    wait: Seconds = 0.0
    named_in_calls: bool = False
    turns: list[Seconds] = field(default_factory=list)
    waiting: Counter[int] = field(default_factory=Counter)
    wants: RateMeter = field(default_factory=lambda: RateMeter(WANTS_TIME, 0.0))
    alone: Bucket | None = None

    @property
    def rate(self) -> float:
        """Return the calls a second that all daemons may make; 0 without a limit."""
        return 0.0 if self.limit is None else max(RATE_LEAST, self.limit)

    def hear(
        self, notice: Notice, sent_at: Seconds, now: Seconds, *, signed: bool
    ) -> bool:
        """Take in an answer to what was sent at a moment; tell whether it is news.

        An answer without a limit ends it where its request was sent with the limit
        known. Answers to calls that are not ``signed`` do so only where they are known
        to name limits.
        """
        if notice.unclear:
            return False
        if notice.limit is None:
            ends = self.limit is not None and sent_at >= self.known_at
            if not ends or not (signed or self.named_in_calls):
                return False
        else:
            self.named_in_calls |= not signed
            late = sent_at < self.known_at
            if notice.limit == self.limit:
                return False
            if late and not is_stricter(notice.limit, self.limit):
                return False
        return self._take(notice.limit, self.version + 1, now)

    def take_told(self, limit: float | None, version: int, now: Seconds) -> bool:
        """Take in another daemon's word; tell whether it is news."""
        newer = version > self.version
        if newer or (version == self.version and is_stricter(limit, self.limit)):
            return self._take(limit, version, now)
        return False

    def _take(self, limit: float | None, version: int, now: Seconds) -> bool:
        before, self.limit = self.limit, limit
        self.version = version
        self.known_at = now
        if limit is None:
            self.turns.clear()
        if before is None or limit is None:
            self.wait = 0.0
            return before != limit
        low, high = sorted((before, limit))
        return high > NOTABLE_FACTOR * low

    # Turns.

    def _count_turns(self, now: Seconds) -> int:
        """Return how many turns are at hand, without those that have ended."""
        self.turns = [ends for ends in self.turns if ends > now]
        return len(self.turns)

    def compute_wait(self, lending: Lending, now: Seconds) -> Seconds:
        """Return how long until a call may be made, 0 where one may be now."""
        if self.limit is None or self._count_turns(now):
            return 0.0
        rate = self._find_rate_alone(lending)
        if not rate:
            return max(TURN_TRIP, self.wait) if lending.heard else ALONE_WAIT
        level = self._find_alone(now).refill(rate, 1.0, now)
        return 0.0 if level > 0 else max(TURN_TRIP, -level / rate)

    def take(self, lending: Lending, now: Seconds) -> bool:
        """Use a turn up, if one is at hand."""
        if self._count_turns(now):
            self.turns.remove(min(self.turns))
            return True
        rate = self._find_rate_alone(lending)
        return rate > 0 and self._find_alone(now).acquire(1, rate, 1.0, now)

    def _find_rate_alone(self, lending: Lending) -> float:
        """Return what may be called without a lender, a second; 0 for nothing."""
        daemons = lending.daemons
        if lending.heard or daemons is None or daemons > ALONE_MOST + self.rate:
            return 0.0
        return ALONE_PART * self.rate / max(1, daemons)

    def _find_alone(self, now: Seconds) -> Bucket:
        if self.alone is None:
            # Not all begin in the same moment.
            self.alone = Bucket(now, -random.random())
        return self.alone

    def list_requested(self, now: Seconds) -> dict[int, int]:
        """Return how many more turns are wanted, by urgency."""
        if self.limit is None:
            return {}
        pace = min(self.rate, self.wants.read(now))
        ahead = math.ceil(pace * AHEAD_TIME) if pace >= RATE_LEAST else 0
        # Who waits may have been woken, and not have used its turn yet.
        at_hand = self._count_turns(now)
        wanted = {}
        for urgency, count in sorted({**self.waiting, AHEAD: ahead}.items()):
            met = min(count, at_hand)
            at_hand -= met
            if count > met:
                wanted[urgency] = count - met
        return wanted

    def is_short(self) -> bool:
        """Tell whether calls wait so long that work is better done elsewhere."""
        return self.limit is not None and self.wait > SHORT_WAIT
