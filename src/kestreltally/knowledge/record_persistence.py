"""Keeps in the store what processes that start again cannot learn from each other.

These are the number of daemons and the software versions of endpoints. If all processes
end at once, those that hear each other first would count themselves only, and each of
them would take the versions that it sees for all at which streams can have begun.

Only leaders write: once when they are elected, and when a value changes. Leaders read
when they are elected, and other daemons when a client takes up a stream before a leader
has told them which versions have served.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.leader_record import MalformedRecord, Record
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Revision,
    Store,
    StoredObject,
    StoreError,
)
from kestreltally.streams.versions import MAX_STREAM_LIFE, NEVER, VersionHistory

LOG = logging.getLogger("kestreltally.knowledge")

RECORD_KIND: Final = "kestreltally-daemons"
POLL_INTERVAL: Final[Seconds] = 0.5
# Delay before the next call after the store has failed.
RETRY_DELAY: Final[Seconds] = 2.0
# A gap in the history of versions has ended if it did not grow for this long.
GAP_SETTLE_TIME: Final[Seconds] = 0.5
# How long a stream that is taken up may wait for the record.
READ_TIMEOUT: Final[Seconds] = 0.5


class RecordPersistence:
    """Reads the records of all leaders, and writes its own while this daemon leads.

    ``name`` is the data centre, whose leader writes one object.
    """

    def __init__(
        self,
        store: Store,
        daemon_count: DaemonCount,
        history: VersionHistory,
        name: str,
        leads: Callable[[], bool],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._daemon_count = daemon_count
        self._history = history
        self._name = name
        self._leads = leads
        self._clock = clock
        self._revision: Revision | None = None
        self._era = UNKNOWN_ERA
        self._stored: Record | None = None
        self._has_read = False
        self._read_at: Seconds = NEVER
        self._failed_at: Seconds = NEVER
        self._reading: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Synchronize with the store forever."""
        while True:
            if not self._leads():
                self._has_read = False
            else:
                await self._try_step()
            await asyncio.sleep(POLL_INTERVAL)

    async def confirm_history(self) -> None:
        """Read the records, so that the versions that served before are known.

        Callers share one reading. None begins within ``RETRY_DELAY`` of a failure, or
        of one that was of no use.
        """
        if self._reading is None or self._reading.done():
            last = max(self._failed_at, self._read_at)
            if self._clock() - last < RETRY_DELAY:
                return
            self._reading = asyncio.create_task(self._try_read())
        with suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self._reading), READ_TIMEOUT)

    async def _try_read(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            self._record_failure(error)

    async def _try_step(self) -> None:
        try:
            await self._step()
        except Conflict as conflict:
            # Another leader wrote the same object: read it before the next write.
            LOG.debug("knowledge: record not written: %s", conflict)
            self._has_read = False
        except StoreError as error:
            self._record_failure(error)
            await asyncio.sleep(RETRY_DELAY)

    def _record_failure(self, error: StoreError) -> None:
        self._failed_at = self._clock()
        log_decision(LOG, Decision.RECORD_NOT_KEPT, reason=str(error))

    async def _step(self) -> None:
        if not self._has_read or self._era != self._store.era or self._lacks_history():
            await self._read()
            self._has_read = True
        record = self._make_record()
        if record is not None and record != self._stored:
            await self._write(record)

    def _lacks_history(self) -> bool:
        """Return whether a gap in the history has ended since the last reading."""
        now = self._clock()
        began_at = self._history.complete_since
        if self._history.is_complete(now) or now - began_at < GAP_SETTLE_TIME:
            return False
        return began_at > self._read_at

    def _make_record(self) -> Record | None:
        """Return the present record, None while no endpoint is known.

        Without endpoints nothing has been served that a later process must know.
        """
        now = self._clock()
        count = self._daemon_count.maximum
        software = frozenset(each[:2] for each in self._history.list_ages(now))
        if count is None or not software:
            return None
        if not self._history.is_complete(now):
            return Record(count)
        return Record(count, software, self._era)

    async def _read(self) -> None:
        began_at = self._clock()
        listing = await self._store.list_objects(RECORD_KIND)
        self._era = listing.revision.era
        self._revision = self._stored = None
        for stored in listing.objects:
            record = _decode_record(stored)
            if stored.name == self._name:
                self._revision, self._stored = stored.revision, record
            if record is not None:
                self._apply(record)
        self._read_at = began_at

    def _apply(self, record: Record) -> None:
        """Apply what a leader kept; its versions may have served until now."""
        now = self._clock()
        self._daemon_count.record_former(record.daemons, now)
        if record.software is None:
            return
        for service, version in record.software:
            self._history.record(service, version, now)
        if record.era == self._era:
            self._history.record_complete(now - MAX_STREAM_LIFE)

    async def _write(self, record: Record) -> None:
        content = record.encode()
        if self._revision is None:
            written = await self._store.create(RECORD_KIND, self._name, content)
        else:
            written = await self._store.replace(
                RECORD_KIND, self._name, self._revision, content
            )
        self._revision, self._stored = written.revision, record


def _decode_record(stored: StoredObject) -> Record | None:
    """Return the record in an object, None if it is malformed."""
    try:
        return Record.decode(stored.content)
    except MalformedRecord as error:
        log_decision(
            LOG, Decision.RECORD_NOT_KEPT, object=stored.name, reason=str(error)
        )
        return None
