"""Facts on their way: which this daemon has yet to tell, and to whom.

A leader tells each daemon that is connected all facts once, by their positions. Who
follows reports its own, and what the leader lacks, until the leader tells them back.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import Clearing, Fact, Life
from kestreltally.poison.fingerprints import Digest
from kestreltally.poison.suspects import SIGHTING_RETENTION

# Facts kept for daemons that have not been told yet: twice what a register holds.
MAX_FACTS: Final = 4_096


class FactLog:
    """The facts in the order in which they came to this daemon."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._facts: deque[tuple[int, Fact]] = deque(maxlen=MAX_FACTS)
        self.position = 0
        # Facts that the leader has not told back yet, which it has, and all own ones.
        self._unconfirmed: dict[Fact, None] = {}
        self._confirmed: set[tuple[Digest, Life | int]] = set()
        self._local: deque[Fact] = deque(maxlen=MAX_FACTS)

    def add(self, fact: Fact) -> None:
        """Take in a fact that is new here."""
        self.position += 1
        self._facts.append((self.position, fact))

    def add_local(self, facts: Iterable[Fact]) -> None:
        """Note that facts were seen here: the leader is to be told."""
        for fact in facts:
            self._unconfirmed[fact] = None
            self._local.append(fact)
        while len(self._unconfirmed) > MAX_FACTS:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def record_echo(self, facts: Iterable[Fact]) -> None:
        """Take in what the leader tells: it needs not be told that."""
        confirmed = {_identify(fact) for fact in facts}
        self._confirmed |= confirmed
        for fact in [
            each for each in self._unconfirmed if _identify(each) in confirmed
        ]:
            del self._unconfirmed[fact]

    def start_reporting(self) -> None:
        """Tell a leader that is heard anew all own facts: it may know nothing."""
        self._confirmed.clear()
        self._unconfirmed.clear()
        self._queue_unconfirmed(self._local)

    def report_remaining(self) -> None:
        """Tell the leader whatever it has not told, whoever saw it."""
        self._queue_unconfirmed(self.list_since(0))

    def _queue_unconfirmed(self, facts: Iterable[Fact]) -> None:
        oldest = self._clock() - SIGHTING_RETENTION
        for fact in facts:
            if _get_time(fact) > oldest and _identify(fact) not in self._confirmed:
                self._unconfirmed[fact] = None

    def list_unconfirmed(self) -> list[Fact]:
        """Return the facts that the leader has yet to be told, or to tell back."""
        return list(self._unconfirmed)

    def list_since(self, position: int) -> list[Fact]:
        """Return the facts after a position, the oldest first."""
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
        """Forget what the leader has told of facts that are no longer kept."""
        if len(self._confirmed) > MAX_FACTS:
            self._confirmed &= {_identify(fact) for fact in self.list_since(0)}

    def clear(self) -> None:
        """Forget all."""
        self._facts.clear()
        self._unconfirmed.clear()
        self._confirmed.clear()
        self._local.clear()


def _get_time(fact: Fact) -> Seconds:
    return fact.at if isinstance(fact, Clearing) else fact.ended_at


def _identify(fact: Fact) -> tuple[Digest, Life | int]:
    """Return what makes two facts the same, however late they came."""
    if isinstance(fact, Clearing):
        return fact.fingerprint.digest, fact.number
    return fact.fingerprint.digest, fact.life
