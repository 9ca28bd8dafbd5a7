"""How old a daemon's word on the configuration is at most.

A key that was taken away must soon run nothing, also where nobody can be asked. So a
daemon keeps the latest moment of which it knows that it holds every configuration that
the store had acknowledged by then. Two things prove a moment:

- a read of the configuration: the store's answers hold at the time of the call at the
  least;
- a leader's word. A report carries this daemon's own time, and the leader answers how
  much later or earlier than the arrival of that report its own proof is. No clocks are
  compared, and an update that lay unread, however long, proves nothing more than when
  its report left.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.pauses import draw_pause
from kestreltally.platform.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from kestreltally.platform.store import (
    Store,
    StoredObject,
    StoreError,
    lacks_writes,
)

LOG = logging.getLogger("kestreltally.authority")

NEVER: Final[Seconds] = float("-inf")
# What is left of the bound when keys are no longer believed: the steady clocks of a
# daemon and the operators may run apart by a few parts in a hundred.
MARGIN: Final[Seconds] = 0.2
# An unknown key is refused for good only by who knows all up to this long ago: longer
# than leaders and their feeds take to tell, shorter than configurations take to be in
# force everywhere.
FRESH: Final[Seconds] = 2.5
# Leaders read so often: with the feed's 0.4 s a word is some 2 s old at the most, of
# the 5 s it may be.
READ_EVERY: Final[Seconds] = 1.5
# However many daemons read for themselves, each tries again within this time: sooner
# than watches, for requests with a key are refused meanwhile.
RETRY_SELDOM: Final[Seconds] = 2.0


class Authority:
    """The moment up to which all configurations are known here.

    ``bound`` is how old the word may be by which keys are believed; none where keys
    are believed without bound.
    """

    def __init__(self, bound: Seconds | None, clock: Callable[[], Seconds]) -> None:
        self.bound = bound
        self._clock = clock
        self.as_of: Seconds = NEVER
        self._held = False

    def note(self, as_of: Seconds) -> None:
        """Take in that all up to a moment, of this daemon's clock, is known."""
        self.as_of = max(self.as_of, as_of)
        self._tell_change()

    def find_age(self) -> Seconds:
        """Return how old the word is at most."""
        return self._clock() - self.as_of

    @property
    def holds(self) -> bool:
        """Tell whether keys may still be believed."""
        return self.bound is None or self.find_age() < self.bound - MARGIN

    @property
    def is_fresh(self) -> bool:
        """Tell whether what is unknown here is unknown to the operators too."""
        return self.find_age() < FRESH

    def check(self) -> bool:
        """Tell whether keys may still be believed, and log when that changes."""
        self._tell_change()
        return self._held

    def _tell_change(self) -> None:
        holds = self.holds
        if holds == self._held:
            return
        self._held = holds
        log_decision(
            LOG,
            Decision.AUTHORITY_REGAINED if holds else Decision.AUTHORITY_LOST,
            age=round(self.find_age(), 3),
            bound=self.bound,
        )


class ConfigurationReader:
    """Reads the configuration again and again while nobody else proves its age.

    ``take`` tells whether what was read is in force;
    ``is_needed`` whether this daemon is to read; ``count_readers`` how many daemons do
    so when the store does not answer.
    """

    def __init__(
        self,
        store: Store,
        authority: Authority,
        take: Callable[[StoredObject], bool],
        is_needed: Callable[[], bool],
        count_readers: Callable[[], int],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._authority = authority
        self._take = take
        self._is_needed = is_needed
        self._count_readers = count_readers
        self._clock = clock
        self._wanted = asyncio.Event()

    def look(self) -> None:
        """Begin to read, if that is needed now."""
        if not self._wanted.is_set() and self._is_needed():
            self._wanted.set()

    async def run(self) -> None:
        """Read for ever, whenever it is needed."""
        while True:
            if not self._is_needed():
                self._wanted.clear()
                await self._wanted.wait()
                continue
            try:
                await self.read()
                await asyncio.sleep(READ_EVERY)
            except StoreError as error:
                log_decision(LOG, Decision.CONFIGURATION_NOT_READ, reason=str(error))
                await asyncio.sleep(draw_pause(self._count_readers(), RETRY_SELDOM))

    async def read(self) -> None:
        """Read once; raises ``StoreError``."""
        asked_at = self._clock()
        stored = await self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if stored is None or not self._take(stored):
            return
        if lacks_writes(self._store.copied_at, asked_at):
            # A copy lacks what took a key away in the seconds that the store has lost.
            return
        self._authority.note(asked_at)
