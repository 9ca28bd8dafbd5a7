"""Keeps the number of daemons in the store, for processes that start again.

A daemon's part of a common bound depends on the number of daemons. If all processes end
at once and only some of them hear each other afterwards, those would count themselves
only. Only leaders call the store: once when they are elected, and when their number
changes.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Revision,
    Store,
    StoredObject,
    StoreError,
)

LOG = logging.getLogger("kestreltally.knowledge")

COUNT_KIND: Final = "kestreltally-daemons"
POLL_INTERVAL: Final[Seconds] = 0.5
# Delay before the next call after the store has failed.
RETRY_DELAY: Final[Seconds] = 2.0


class CountPersistence:
    """Reads the numbers of all leaders once this daemon is one, and writes its own.

    ``name`` is the data centre, whose leader writes one object.
    """

    def __init__(
        self,
        store: Store,
        daemon_count: DaemonCount,
        name: str,
        leads: Callable[[], bool],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._daemon_count = daemon_count
        self._name = name
        self._leads = leads
        self._clock = clock
        self._revision: Revision | None = None
        self._era = UNKNOWN_ERA
        self._stored: int | None = None
        self._has_read = False

    async def run(self) -> None:
        """Synchronize with the store forever."""
        while True:
            if not self._leads():
                self._has_read = False
            else:
                await self._try_step()
            await asyncio.sleep(POLL_INTERVAL)

    async def _try_step(self) -> None:
        try:
            await self._step()
        except Conflict as conflict:
            # Another leader wrote the same object: read it before the next write.
            LOG.debug("knowledge: number of daemons not written: %s", conflict)
            self._has_read = False
        except StoreError as error:
            log_decision(LOG, Decision.COUNT_NOT_KEPT, reason=str(error))
            await asyncio.sleep(RETRY_DELAY)

    async def _step(self) -> None:
        if not self._has_read or self._era != self._store.era:
            await self._read()
            self._has_read = True
        count = self._daemon_count.maximum
        if count is not None and count != self._stored:
            await self._write(count)

    async def _read(self) -> None:
        listing = await self._store.list_objects(COUNT_KIND)
        self._era = listing.revision.era
        self._revision = self._stored = None
        for stored in listing.objects:
            count = _decode_count(stored)
            if stored.name == self._name:
                self._revision, self._stored = stored.revision, count
            if count is not None:
                self._daemon_count.record_former(count, self._clock())

    async def _write(self, count: int) -> None:
        content = {"daemons": count}
        if self._revision is None:
            written = await self._store.create(COUNT_KIND, self._name, content)
        else:
            written = await self._store.replace(
                COUNT_KIND, self._name, self._revision, content
            )
        self._revision, self._stored = written.revision, count


def _decode_count(stored: StoredObject) -> int | None:
    """Return the number in an object, None if it is malformed."""
    content: Any = stored.content
    count = content.get("daemons") if isinstance(content, dict) else None
    if isinstance(count, int) and count > 0:
        return count
    log_decision(LOG, Decision.COUNT_NOT_KEPT, reason=f"malformed record: {content!r}")
    return None
