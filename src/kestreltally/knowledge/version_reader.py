"""Reads from the store which software versions serve, when a list may lack some.

A daemon's list of endpoints is up to about a second old, and older while the daemon
hears neither its leaders nor the store. A client that takes a stream up cannot wait for
the next update.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.platform.documents import (
    ENDPOINTS_KIND,
    MalformedDocument,
    decode_endpoint,
)
from kestreltally.platform.store import Listing, Store, StoreError
from kestreltally.streams.versions import NEVER, VersionHistory

LOG = logging.getLogger("kestreltally.knowledge")

# How long a client may wait for the list.
READ_TIMEOUT: Final[Seconds] = 0.25
# Bounds the calls of the store while many streams are taken up.
MIN_READ_INTERVAL: Final[Seconds] = 0.1
# Delay before the next call after the store has failed.
RETRY_DELAY: Final[Seconds] = 1.0


class VersionReader:
    """Records the software versions of all endpoints in the store's list."""

    def __init__(
        self, store: Store, history: VersionHistory, clock: Callable[[], Seconds]
    ) -> None:
        self._store = store
        self._history = history
        self._clock = clock
        self._began_at: Seconds = NEVER
        self._failed_at: Seconds = NEVER
        self._reading: asyncio.Task[None] | None = None
        self._as_of: Seconds = NEVER

    async def read(self, since: Seconds) -> Seconds:
        """Read the list; return the time as of which all versions are known.

        That is ``since`` or later unless the store fails. Callers share one reading,
        and none waits longer than ``READ_TIMEOUT``.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_TIMEOUT):
                while self._as_of < since and self._can_read():
                    await asyncio.shield(self._get_reading())
        return self._as_of

    def _can_read(self) -> bool:
        """Return whether the store answers, as far as is known."""
        now = self._clock()
        is_late = self._is_reading() and now - self._began_at > READ_TIMEOUT
        return not is_late and now - self._failed_at >= RETRY_DELAY

    def _is_reading(self) -> bool:
        return self._reading is not None and not self._reading.done()

    def _get_reading(self) -> "asyncio.Task[None]":
        if self._reading is None or self._reading.done():
            wait = self._began_at + MIN_READ_INTERVAL - self._clock()
            self._began_at = self._clock() + max(0.0, wait)
            self._reading = asyncio.create_task(self._read_later(wait))
        return self._reading

    async def _read_later(self, wait: Seconds) -> None:
        if wait > 0:
            await asyncio.sleep(wait)
        self._began_at = began_at = self._clock()
        try:
            listing = await self._store.list_objects(ENDPOINTS_KIND)
        except StoreError as error:
            self._failed_at = self._clock()
            log_decision(LOG, Decision.VERSIONS_NOT_READ, reason=str(error))
            return
        self._record(listing)
        self._as_of = began_at

    def _record(self, listing: Listing) -> None:
        now = self._clock()
        for stored in listing.objects:
            try:
                endpoint = decode_endpoint(stored.name, stored.content)
            except MalformedDocument as error:
                log_decision(LOG, Decision.ENTRY_REJECTED, reason=str(error))
                continue
            self._history.record(endpoint.service, endpoint.software, now)
