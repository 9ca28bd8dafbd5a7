"""Follows the objects of one kind in the store, by a list and then by watches."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.pauses import draw_pause
from kestreltally.platform.store import (
    Changes,
    EraPassed,
    HistoryGone,
    Listing,
    Revision,
    Store,
    StoreError,
)

LOG = logging.getLogger("kestreltally.knowledge")

# However many daemons ask alike, each asks again within this time.
RETRY_SELDOM: Final[Seconds] = 3.0


class Follower(Protocol):
    """Takes in what the store holds of a kind."""

    def take_listing(self, listing: Listing) -> None:
        """Take in all objects; what is missing is gone."""

    def take_changes(self, changes: Changes) -> None:
        """Take in some changes."""


class KindWatch:
    """Keeps a follower up to date while it is switched on.

    ``gap`` is the least time between two calls: changes within it come together.
    ``wait`` is how long one call waits for a change. A store that fell silent may never
    answer a watch that waited, also once it is back, so waits are short.
    ``count_watchers`` tells how many daemons ask alike when the store does not answer.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        follower: Follower,
        gap: Seconds,
        wait: Seconds,
        count_watchers: Callable[[], int],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._kind = kind
        self._follower = follower
        self._gap = gap
        self._wait = wait
        self._count_watchers = count_watchers
        self._clock = clock
        self._on = asyncio.Event()
        self.answered_at: Seconds = float("-inf")
        self.failed_at: Seconds = float("-inf")
        self._regained_at: Seconds = float("-inf")
        self._revision: Revision | None = None
        self._in_touch = True

    @property
    def on(self) -> bool:
        """Tell whether it is switched on."""
        return self._on.is_set()

    def switch(self, on: bool) -> None:
        """Start or stop following; a stopped one lists anew when it starts."""
        if on and not self._on.is_set():
            self._revision = None
            self._on.set()
        elif not on:
            self._on.clear()

    @property
    def returned_at(self) -> Seconds:
        """Return when the store last answered again, or had come back from a copy.

        What is missing then may be written again soon.
        """
        return max(self._regained_at, self._store.copied_at)

    @property
    def failing(self) -> bool:
        """Tell whether the store did not answer the last call."""
        return self.failed_at > self.answered_at

    def find_age(self) -> Seconds:
        """Return how old this knowledge may be: a watch that waits is fresh."""
        if self.failing:
            return self._clock() - self.answered_at
        return 0.0 if self._revision is not None else float("inf")

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self._on.wait()
            try:
                await self._step()
            except EraPassed:
                self._revision = None
            except HistoryGone:
                # The store was there all the while: nothing has lapsed.
                log_decision(LOG, Decision.HISTORY_GONE, kind=self._kind)
                self._revision = None
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(draw_pause(self._count_watchers(), RETRY_SELDOM))

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list_objects(self._kind)
            self._note_answer()
            self._follower.take_listing(listing)
            self._revision = listing.revision
            return
        changes = await self._store.watch(self._kind, self._revision, self._wait)
        self._note_answer()
        if not self._on.is_set():
            return
        self._revision = changes.revision
        self._follower.take_changes(changes)
        await asyncio.sleep(self._gap)

    def _note_answer(self) -> None:
        self.answered_at = self._clock()
        if not self._in_touch:
            self._in_touch = True
            self._regained_at = self.answered_at
            log_decision(LOG, Decision.STORE_REGAINED, kind=self._kind)

    def _note_failure(self, error: StoreError) -> None:
        self.failed_at = self._clock()
        if self._in_touch:
            self._in_touch = False
            log_decision(LOG, Decision.STORE_LOST, kind=self._kind, reason=str(error))
