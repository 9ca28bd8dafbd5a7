"""Bounds the age of the configuration that a daemon acts on.

A configuration has to be in force everywhere soon after the store has acknowledged it,
and requests with a revoked key must be refused even by a daemon that reaches neither
the store nor a leader. So a daemon keeps the latest time for which it is proven to know
every configuration that the store had acknowledged by then. A call that waits proves
nothing: its connection may be silent. There are two proofs:

- A read of the configuration, or an answered call of its watch: it is valid as of the
  time of the call or later.
- An update of a leader: a report carries the daemon's own time, and the leader answers
  with the offset of its own proof from the arrival of that report. No clocks are
  compared, and an update that stays unread for some time does not prove a later time.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.retry_delays import (
    UNSCALED_RETRY_DAEMONS,
    draw_retry_delay,
)
from kestreltally.platform.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from kestreltally.platform.store import (
    Store,
    StoredObject,
    StoreError,
    lacks_writes,
)

LOG = logging.getLogger("kestreltally.authority")

NEVER: Final[Seconds] = float("-inf")
# Keys are no longer accepted this long before the bound is reached, as the monotonic
# clocks of a daemon and of the operators may differ in rate by a few percent.
DRIFT_MARGIN: Final[Seconds] = 0.2
# A daemon refuses an unknown key for good only if its configuration is at most this
# old: longer than the delay of leaders and feeds, shorter than the time in which
# configurations come into force on all daemons.
FRESHNESS_LIMIT: Final[Seconds] = 2.5
# The longest time between two reads of a daemon that has to read.
READ_INTERVAL: Final[Seconds] = 1.5
# Each daemon retries within this time, however many daemons read. Watches retry less
# often; this read is more urgent, as requests with a key are refused until it succeeds.
MAX_RETRY_INTERVAL: Final[Seconds] = 2.0


class Authority:
    """The time up to which this daemon is proven to know all configurations.

    ``bound`` is the maximum age at which keys are accepted; None accepts keys at any
    age.
    """

    def __init__(self, bound: Seconds | None, clock: Callable[[], Seconds]) -> None:
        self.bound = bound
        self._clock = clock
        self.as_of: Seconds = NEVER
        self._was_valid = bound is None

    def record(self, as_of: Seconds) -> None:
        """Record that all configurations up to a time of the local clock are known."""
        self.as_of = max(self.as_of, as_of)
        self._log_change()

    def compute_age(self) -> Seconds:
        """Return the maximum age of the known configuration."""
        return self._clock() - self.as_of

    @property
    def is_valid(self) -> bool:
        """Return whether keys can still be accepted."""
        return self.bound is None or self.compute_age() < self.bound - DRIFT_MARGIN

    def compute_key_deadline(self, key_age: Seconds) -> Seconds:
        """Return until when a key is accepted that another daemon has checked.

        ``key_age`` is how long ago that daemon's configuration was confirmed.
        """
        if self.bound is None:
            return math.inf
        return self._clock() + self.bound - DRIFT_MARGIN - key_age

    def is_past(self, deadline: Seconds) -> bool:
        """Return whether a time has come."""
        return self._clock() >= deadline

    @property
    def is_fresh(self) -> bool:
        """Return whether an unknown key is unknown to the operators too."""
        return self.compute_age() < FRESHNESS_LIMIT

    def check(self) -> bool:
        """Return whether keys can still be accepted, and log a change of that."""
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
    """Reads the configuration repeatedly while nothing else proves its age.

    ``apply_stored`` returns whether the configuration read is in force, ``is_needed``
    whether this daemon has to read, and ``count_readers`` how many daemons read when
    the store does not answer.
    """

    def __init__(
        self,
        store: Store,
        authority: Authority,
        apply_stored: Callable[[StoredObject], bool],
        is_needed: Callable[[], bool],
        count_readers: Callable[[], int],
        clock: Callable[[], Seconds],
        interval: Seconds = READ_INTERVAL,
    ) -> None:
        self._interval = interval
        self._store = store
        self._authority = authority
        self._apply_stored = apply_stored
        self._is_needed = is_needed
        self._count_readers = count_readers
        self._clock = clock
        self._required = asyncio.Event()

    def wake_if_needed(self) -> None:
        """Start reading if this daemon has to."""
        if not self._required.is_set() and self._is_needed():
            self._required.set()

    async def run(self) -> None:
        """Read whenever this daemon has to; runs forever."""
        while True:
            if not self._is_needed():
                self._required.clear()
                await self._required.wait()
                continue
            if not await self._wait_for_turn():
                continue
            try:
                await self.read()
                await asyncio.sleep(self._interval)
            except StoreError as error:
                log_decision(LOG, Decision.CONFIGURATION_NOT_READ, reason=str(error))
                await asyncio.sleep(
                    draw_retry_delay(self._count_readers(), MAX_RETRY_INTERVAL)
                )

    async def _wait_for_turn(self) -> bool:
        """Wait so that many followers do not read at once; return whether to read.

        What they all lack is often confirmed by their leader meanwhile.
        """
        readers = self._count_readers()
        if readers > UNSCALED_RETRY_DAEMONS:
            await asyncio.sleep(draw_retry_delay(readers, MAX_RETRY_INTERVAL))
        return self._is_needed()

    async def read(self) -> None:
        """Read once; raises ``StoreError``."""
        started_at = self._clock()
        stored = await self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if stored is None or not self._apply_stored(stored):
            return
        if lacks_writes(self._store.restored_at, started_at):
            # A store restored from a backup has lost its last seconds, and with them
            # perhaps the write that revoked a key.
            return
        self._authority.record(started_at)
