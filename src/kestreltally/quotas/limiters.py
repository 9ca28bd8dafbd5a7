"""Which requests of an organisation at its limit may run: a daemon's own part.

All ways hear the same words of the leaders. They are compared in tests/quotasim.py; the
daemon uses the one named ``DEFAULT``.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeVar

from kestreltally.fleet.model import OrganisationName, Quota, Seconds
from kestreltally.quotas.grants import Grant, QuotaBounds
from kestreltally.quotas.spending import (
    SHARE_TIME,
    Spending,
    SpendingCounter,
    Word,
)
from kestreltally.rates import Bucket, RateMeter

# A leader's words are believed this long: it sends some each 0.2 s.
WORD_LIFE: Final[Seconds] = 0.45
# Until a daemon knows how many there are, it grants as if there were so many.
DAEMONS_UNKNOWN: Final = 64
# Without word, refused clients come back when a leader may be heard again.
ALONE_WAIT: Final[Seconds] = 0.5
WAIT_LEAST: Final[Seconds] = 0.2
# Without word, this part of the own share is granted, and so many seconds of it at
# once, for requests come unevenly.
ALONE_PART: Final = 0.6
ALONE_DEPTH: Final[Seconds] = 1.5
# A share's bucket holds so many seconds of it, so that it need not come evenly.
SHARE_DEPTH: Final[Seconds] = 1.0

NEVER: Final[Seconds] = float("-inf")

Clock = Callable[[], Seconds]


@dataclass(slots=True)
class Share:
    """This daemon's part in an organisation's requests."""

    asked: RateMeter
    alone: Bucket
    lent: Bucket
    # By the size of requests, how much of the next one is granted already. It begins
    # anywhere, for else the first of each size would be refused at every daemon.
    credits: dict[int, float] = field(default_factory=dict)
    # The part of what all daemons are asked for that was last known.
    part: float | None = None
    # The moment of the last word, once this daemon grants without one.
    alone_since: Seconds | None = None


class Limiter(Protocol):
    """Grants requests, and tells what it granted."""

    def __init__(self, clock: Clock, bounds: QuotaBounds) -> None: ...

    daemons: int

    def grant(self, name: OrganisationName, quota: Quota, units: int) -> Seconds | None:
        """Return none for a request that may run, else when to come back."""

    def give_back(self, name: OrganisationName, units: int) -> None:
        """Take back what was granted to a request that has not run."""

    def take_spendings(self) -> list[Spending]:
        """Return what was asked for and granted since the last call."""

    def note_words(self, words: Iterable[Word]) -> None:
        """Take a leader's words in."""


L = TypeVar("L", bound=type[Limiter])
LIMITERS: Final[dict[str, type[Limiter]]] = {}
DEFAULT: Final = "ratio"


def limits(name: str) -> Callable[[L], L]:
    """Register a way to hold quotas under a name."""

    def register(limiter: L) -> L:
        LIMITERS[name] = limiter
        return limiter

    return register


class _Limiter:
    """What all ways share: words, counts, and what holds without a leader."""

    def __init__(self, clock: Clock, bounds: QuotaBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._counter = SpendingCounter()
        self._words: dict[OrganisationName, Word] = {}
        self._told_at = NEVER
        self._shares: dict[OrganisationName, Share] = {}
        self.daemons = DAEMONS_UNKNOWN

    def note_words(self, words: Iterable[Word]) -> None:
        """Take a leader's words in: who is not named is below its limit."""
        now = self._told_at = self._clock()
        self._words = {each.organisation: each for each in words}
        for name, word in self._words.items():
            share = self._shares.get(name)
            if share is not None and word.asked > 0:
                share.part = min(1.0, share.asked.read(now) / word.asked)

    def take_spendings(self) -> list[Spending]:
        """Return what was asked for and granted since the last call."""
        return self._counter.take(self._clock())

    def give_back(self, name: OrganisationName, units: int) -> None:
        """Take back what was granted to a request that has not run."""
        self._counter.add([Spending(name, 0, -units)])

    def grant(self, name: OrganisationName, quota: Quota, units: int) -> Seconds | None:
        """Return none for a request that may run, else when to come back."""
        now = self._clock()
        share = self._shares.get(name)
        if share is None:
            share = Share(
                RateMeter(SHARE_TIME, now, started_at=now), Bucket(now), Bucket(now)
            )
            self._shares[name] = share
        share.asked.add(units, now)
        grant = self._bounds.find_grant(quota)
        wait = self._find_wait(name, grant, units, share, now)
        granted = units if wait is None else 0
        self._counter.add([Spending(name, units, granted)])
        return wait

    def _find_wait(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: Share,
        now: Seconds,
    ) -> Seconds | None:
        if now - self._told_at > WORD_LIFE:
            return self._grant_alone(name, grant, units, share, now)
        word = self._words.get(name)
        if word is None or word.ratio >= 1.0:
            return None
        granted = self._grants(grant, units, share, word, now)
        return None if granted else max(WAIT_LEAST, word.wait)

    def _grant_alone(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: Share,
        now: Seconds,
    ) -> Seconds | None:
        """Grant this daemon's share, which leaders that miss it take as spent."""
        rate = ALONE_PART * self._find_part(share) * grant.rate
        if share.alone_since != self._told_at:
            share.alone_since = self._told_at
            word = self._words.get(name)
            if word is not None and word.ratio < 1.0:
                # What fills up while words come is not for who is at its limit.
                share.alone.level = min(share.alone.level, 1.0)
                share.alone.at = now
        granted = share.alone.acquire(units, rate, ALONE_DEPTH * rate, now)
        return None if granted else ALONE_WAIT

    def _find_part(self, share: Share) -> float:
        """Return this daemon's part of an organisation's requests, or an equal one."""
        return share.part if share.part is not None else 1.0 / max(1, self.daemons)

    def _grants(
        self, grant: Grant, units: int, share: Share, word: Word, now: Seconds
    ) -> bool:
        """Tell whether a request of an organisation at its limit may run."""
        raise NotImplementedError


@limits("ratio")
class RatioLimiter(_Limiter):
    """Grants the same part of all requests, at each daemon and of each size.

    It needs no shares, so requests that come unevenly or are large are treated alike.
    """

    def _grants(
        self, grant: Grant, units: int, share: Share, word: Word, now: Seconds
    ) -> bool:
        size = units.bit_length()
        credit = share.credits.get(size)
        credit = (random.random() if credit is None else credit) + word.ratio
        share.credits[size] = credit - 1.0 if credit >= 1.0 else credit
        return credit >= 1.0


@limits("shares")
class ShareLimiter(_Limiter):
    """Lends each daemon the part of the rate that it has of what is asked for."""

    def _grants(
        self, grant: Grant, units: int, share: Share, word: Word, now: Seconds
    ) -> bool:
        rate = self._find_part(share) * grant.rate
        return share.lent.acquire(units, rate, SHARE_DEPTH * rate, now)


@limits("equal")
class EqualLimiter(_Limiter):
    """Gives each daemon an equal part of rate and burst, and hears nobody."""

    def _find_wait(
        self,
        name: OrganisationName,
        grant: Grant,
        units: int,
        share: Share,
        now: Seconds,
    ) -> Seconds | None:
        rate = grant.rate / max(1, self.daemons)
        depth = grant.burst / max(1, self.daemons)
        return None if share.lent.acquire(units, rate, depth, now) else ALONE_WAIT
