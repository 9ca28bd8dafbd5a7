"""Watches the objects of one kind in the store, starting from a list."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.retry_delays import draw_retry_delay
from kestreltally.platform.store import (
    WATCH_MARGIN,
    Changes,
    HistoryGone,
    Listing,
    Revision,
    StaleEra,
    Store,
    StoreError,
    StoreSilent,
    WatchInterrupted,
)

LOG = logging.getLogger("kestreltally.knowledge")

# Each daemon retries within this time, however many of them retry.
MAX_RETRY_INTERVAL: Final[Seconds] = 3.0
CLOCK_RESOLUTION: Final[Seconds] = 0.001


class WatchHandler(Protocol):
    """Applies the objects of one kind in the store."""

    def apply_listing(self, listing: Listing) -> None:
        """Apply a list of all objects; those missing are deleted."""

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes of some objects."""


class KindWatch:
    """Keeps a handler up to date while the watch is enabled.

    ``gap`` is the minimum time between two calls; changes within it are received
    together. ``wait`` is how long one call waits for a change. It is short, because a
    store that stops answering may never answer a pending watch, even after it recovers.
    ``margin`` is how long its answer may take in addition. ``count_watchers`` returns
    how many daemons retry when the store does not answer. ``record_current`` is called
    with a time once an answer is applied: all objects that the store had acknowledged
    by then are known.

    A call without an answer is repeated at once, over a new connection, if the call
    before it was answered: then the connection may be at fault, and not the store.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        handler: WatchHandler,
        gap: Seconds,
        wait: Seconds,
        count_watchers: Callable[[], int],
        clock: Callable[[], Seconds],
        record_current: Callable[[Seconds], None] = lambda _: None,
        margin: Seconds = WATCH_MARGIN,
    ) -> None:
        self._margin = margin
        self._store = store
        self._record_current = record_current
        self._kind = kind
        self._handler = handler
        self._gap = gap
        self._wait = wait
        self._count_watchers = count_watchers
        self._clock = clock
        self._enabled = asyncio.Event()
        self.answered_at: Seconds = float("-inf")
        self.failed_at: Seconds = float("-inf")
        self._regained_at: Seconds = float("-inf")
        self._revision: Revision | None = None
        self._connected = True
        # The latest time up to which all objects are proven to be known.
        self._current_as_of: Seconds = float("-inf")

    @property
    def enabled(self) -> bool:
        """Return whether the watch is enabled."""
        return self._enabled.is_set()

    def set_enabled(self, enabled: bool) -> None:
        """Start or stop the watch; one that was stopped starts from a new list."""
        if enabled and not self._enabled.is_set():
            self._revision = None
            self._enabled.set()
        elif not enabled:
            self._enabled.clear()

    @property
    def is_first_answer(self) -> bool:
        """Return whether the answer to the last call is the first after a failure."""
        return self._regained_at >= self.answered_at > float("-inf")

    @property
    def failing(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.failed_at > self.answered_at

    def compute_age(self) -> Seconds:
        """Return the maximum age of the known objects, proven by answered calls."""
        return self._clock() - self._current_as_of

    async def run(self) -> None:
        """Watch the objects while enabled; runs forever."""
        while True:
            await self._enabled.wait()
            try:
                await self._step()
            except StaleEra:
                self._revision = None
            except WatchInterrupted as error:
                LOG.debug("knowledge: watch of %s begins again: %s", self._kind, error)
            except HistoryGone:
                # The store was available all the time, so no entry has expired because
                # of an outage.
                log_decision(LOG, Decision.HISTORY_GONE, kind=self._kind)
                self._revision = None
            except StoreSilent as error:
                was_connected = self._connected
                self._record_failure(error)
                if not was_connected:
                    await self._wait_to_retry()
            except StoreError as error:
                self._record_failure(error)
                await self._wait_to_retry()

    async def _wait_to_retry(self) -> None:
        await asyncio.sleep(
            draw_retry_delay(self._count_watchers(), MAX_RETRY_INTERVAL)
        )

    async def _step(self) -> None:
        started_at = self._clock()
        if self._revision is None:
            listing = await self._store.list_objects(self._kind)
            self._record_answer()
            self._handler.apply_listing(listing)
            self._revision = listing.revision
            self._record_proof(started_at)
            return
        changes = await self._store.watch(
            self._kind, self._revision, self._wait, self._margin
        )
        self._record_answer()
        if not self._enabled.is_set():
            return
        self._revision = changes.revision
        self._handler.apply_changes(changes)
        self._record_proof(self._compute_as_of(changes, started_at))
        await asyncio.sleep(self._gap)

    def _record_proof(self, as_of: Seconds) -> None:
        self._current_as_of = max(self._current_as_of, as_of)
        self._record_current(as_of)

    def _compute_as_of(self, changes: Changes, started_at: Seconds) -> Seconds:
        """Return the time up to which all changes are known by an answer.

        A store that has no changes to report answers when the wait is over.
        """
        waited = self.answered_at - started_at
        if changes.changes or waited < self._wait - CLOCK_RESOLUTION:
            return started_at
        return started_at + min(waited, self._wait)

    def _record_answer(self) -> None:
        self.answered_at = self._clock()
        if not self._connected:
            self._connected = True
            self._regained_at = self.answered_at
            log_decision(LOG, Decision.STORE_REGAINED, kind=self._kind)

    def _record_failure(self, error: StoreError) -> None:
        self.failed_at = self._clock()
        if self._connected:
            self._connected = False
            log_decision(LOG, Decision.STORE_LOST, kind=self._kind, reason=str(error))
