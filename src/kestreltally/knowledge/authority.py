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
from kestreltally.knowledge.retry_delays import draw_retry_delay
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
DRIFT_MARGIN: Final[Seconds] = 0.2
# An unknown key is refused for good only by who knows all up to this long ago: longer
# than leaders and their feeds take to tell, shorter than configurations take to be in
# force everywhere.
FRESHNESS_LIMIT: Final[Seconds] = 2.5
# Leaders read so often: with the feed's 0.4 s a word is some 2 s old at the most, of
# the 5 s it may be.
READ_INTERVAL: Final[Seconds] = 1.5
# However many daemons read for themselves, each tries again within this time: sooner
# than watches, for requests with a key are refused meanwhile.
MAX_RETRY_INTERVAL: Final[Seconds] = 2.0


class Authority:
    """The moment up to which all configurations are known here.

    ``bound`` is how old the word may be by which keys are believed; none where keys
    are believed without bound.
    """

    def __init__(self, bound: Seconds | None, clock: Callable[[], Seconds]) -> None:
        self.bound = bound
        self._clock = clock
        self.as_of: Seconds = NEVER
        self._was_valid = False

    def record(self, as_of: Seconds) -> None:
        """Take in that all up to a moment, of this daemon's clock, is known."""
        self.as_of = max(self.as_of, as_of)
        self._log_change()

    def compute_age(self) -> Seconds:
        """Return how old the word is at most."""
        return self._clock() - self.as_of

    @property
    def is_valid(self) -> bool:
        """Tell whether keys may still be believed."""
        return self.bound is None or self.compute_age() < self.bound - DRIFT_MARGIN

    @property
    def is_fresh(self) -> bool:
        """Tell whether what is unknown here is unknown to the operators too."""
        return self.compute_age() < FRESHNESS_LIMIT

    def check(self) -> bool:
        """Tell whether keys may still be believed, and log when that changes."""
        self._log_change()
        return self._was_valid

    def _log_change(self) -> None:
        is_valid = self.is_valid
        if is_valid == self._was_valid:
            return
        self._was_valid = is_valid
        log_decision(
            LOG,
            Decision.AUTHORITY_REGAINED if is_valid else Decision.AUTHORITY_LOST,
            age=round(self.compute_age(), 3),
            bound=self.bound,
        )


class ConfigurationReader:
    """Reads the configuration again and again while nobody else proves its age.

    ``apply_stored`` tells whether what was read is in force;
    ``is_needed`` whether this daemon is to read; ``count_readers`` how many daemons do
    so when the store does not answer.
    """

    def __init__(
        self,
        store: Store,
        authority: Authority,
        apply_stored: Callable[[StoredObject], bool],
        is_needed: Callable[[], bool],
        count_readers: Callable[[], int],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._authority = authority
        self._apply_stored = apply_stored
        self._is_needed = is_needed
        self._count_readers = count_readers
        self._clock = clock
        self._required = asyncio.Event()

    def wake_if_needed(self) -> None:
        """Begin to read, if that is needed now."""
        if not self._required.is_set() and self._is_needed():
            self._required.set()

    async def run(self) -> None:
        """Read for ever, whenever it is needed."""
        while True:
            if not self._is_needed():
                self._required.clear()
                await self._required.wait()
                continue
            try:
                await self.read()
                await asyncio.sleep(READ_INTERVAL)
            except StoreError as error:
                log_decision(LOG, Decision.CONFIGURATION_NOT_READ, reason=str(error))
                await asyncio.sleep(
                    draw_retry_delay(self._count_readers(), MAX_RETRY_INTERVAL)
                )

    async def read(self) -> None:
        """Read once; raises ``StoreError``."""
        started_at = self._clock()
        stored = await self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if stored is None or not self._apply_stored(stored):
            return
        if lacks_writes(self._store.copied_at, started_at):
            # A copy lacks what took a key away in the seconds that the store has lost.
            return
        self._authority.record(started_at)
