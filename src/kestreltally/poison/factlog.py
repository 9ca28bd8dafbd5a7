"""A log of facts, and the queue of those that this daemon still has to report.

A leader sends all facts once to each connected daemon, by their positions. A follower
reports its local facts, and those the leader lacks, until the leader echoes them.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import Clearing, Fact, IncarnationName
from kestreltally.poison.fingerprints import Digest
from kestreltally.poison.suspects import SIGHTING_RETENTION

# Maximum number of facts kept for daemons that lack them: twice the register's limit.
MAX_FACTS: Final = 4_096


class FactLog:
    """The facts in the order in which this daemon received them."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._facts: deque[tuple[int, Fact]] = deque(maxlen=MAX_FACTS)
        self.position = 0
        # Facts not echoed by the leader yet, ids of echoed ones, and all local facts.
        self._unconfirmed: dict[Fact, None] = {}
        self._confirmed: set[tuple[Digest, IncarnationName | int]] = set()
        self._local: deque[Fact] = deque(maxlen=MAX_FACTS)

    def add(self, fact: Fact) -> None:
        """Append a fact that is new to this daemon."""
        self.position += 1
        self._facts.append((self.position, fact))

    def add_local(self, facts: Iterable[Fact]) -> None:
        """Record facts observed by this daemon, to be reported to the leader."""
        for fact in facts:
            self._unconfirmed[fact] = None
            self._local.append(fact)
        while len(self._unconfirmed) > MAX_FACTS:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def record_echo(self, facts: Iterable[Fact]) -> None:
        """Record facts sent by the leader, which need not be reported to it."""
        confirmed = {_identify(fact) for fact in facts}
        self._confirmed |= confirmed
        for fact in [
            each for each in self._unconfirmed if _identify(each) in confirmed
        ]:
            del self._unconfirmed[fact]

    def start_reporting(self) -> None:
        """Report all local facts to a newly connected leader, which may have none."""
        self._confirmed.clear()
        self._unconfirmed.clear()
        self._queue_unconfirmed(self._local)

    def report_remaining(self) -> None:
        """Report all facts that the leader has not sent, including those of others."""
        self._queue_unconfirmed(self.list_since(0))

    def _queue_unconfirmed(self, facts: Iterable[Fact]) -> None:
        oldest = self._clock() - SIGHTING_RETENTION
        for fact in facts:
            if _get_time(fact) > oldest and _identify(fact) not in self._confirmed:
                self._unconfirmed[fact] = None

    def list_unconfirmed(self) -> list[Fact]:
        """Return the facts that the leader has not echoed yet."""
        return list(self._unconfirmed)

    def list_since(self, position: int) -> list[Fact]:
        """Return the facts after a position, oldest first."""
        found: list[Fact] = []
        if position == self.position:
            return found
        oldest = self._clock() - SIGHTING_RETENTION
        for number, fact in reversed(self._facts):
            if number <= position:
                break
            if _get_time(fact) > oldest:
                found.append(fact)
        found.reverse()
        return found

    def prune_old(self) -> None:
        """Remove ids of echoed facts that are no longer kept."""
        if len(self._confirmed) > MAX_FACTS:
            self._confirmed &= {_identify(fact) for fact in self.list_since(0)}

    def clear(self) -> None:
        """Remove all facts."""
        self._facts.clear()
        self._unconfirmed.clear()
        self._confirmed.clear()
        self._local.clear()


def _get_time(fact: Fact) -> Seconds:
    return fact.at if isinstance(fact, Clearing) else fact.ended_at


def _identify(fact: Fact) -> tuple[Digest, IncarnationName | int]:
    """Return the identity of a fact, independent of its time."""
    if isinstance(fact, Clearing):
        return fact.fingerprint.digest, fact.number
    return fact.fingerprint.digest, fact.incarnation
