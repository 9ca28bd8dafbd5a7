"""Keeps in the store what processes that start again cannot learn from each other.

These are the number of daemons, the software versions of endpoints and, while several
versions of a service are known, where streams began. If all processes end at once,
those that hear each other first would count themselves only, each of them would take
the versions that it sees for all at which streams can have begun, and none would know
at which of several versions a stream may go on.

Only leaders write: once when they are elected, and when a value changes; streams at
most once a second. Leaders read when they are elected, and other daemons when a client
takes up a stream before a leader has told them which versions have served, or one that
no daemon knows.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.leader_record import Record
from kestreltally.knowledge.origin_record import (
    KeepingState,
    OriginRecord,
    choose_record,
    list_streams,
)
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Revision,
    Store,
    StoredObject,
    StoreError,
)
from kestreltally.streams.register import StreamRegister
from kestreltally.streams.versions import MAX_STREAM_LIFE, NEVER, VersionHistory
from kestreltally.values import MalformedRecord

LOG = logging.getLogger("kestreltally.knowledge")

RECORD_KIND: Final = "kestreltally-daemons"
# Added to the name of a leader's record for that of its record of streams.
ORIGINS_SUFFIX: Final = ".streams"
POLL_INTERVAL: Final[Seconds] = 0.5
# Delay before the next call after the store has failed.
RETRY_DELAY: Final[Seconds] = 2.0
# A gap in the history of versions has ended if it did not grow for this long.
GAP_SETTLE_TIME: Final[Seconds] = 0.5
# How long a stream that is taken up may wait for the record.
READ_TIMEOUT: Final[Seconds] = 0.5


class RecordPersistence:
    """Reads the records of all leaders, and writes its own while this daemon leads.

    ``name`` is the data centre, whose leader writes one object, and another one for
    streams: what is lost with that, or too large, leaves the first one as it is.
    """

    def __init__(
        self,
        store: Store,
        daemon_count: DaemonCount,
        history: VersionHistory,
        register: StreamRegister,
        name: str,
        leads: Callable[[], bool],
        clock: Callable[[], Seconds],
    ) -> None:
        self._store = store
        self._daemon_count = daemon_count
        self._history = history
        self._register = register
        self._name = name
        self._leads = leads
        self._clock = clock
        self._revision: Revision | None = None
        self._era = UNKNOWN_ERA
        self._stored: Record | None = None
        self._origins_revision: Revision | None = None
        self._stored_origins: OriginRecord | None = None
        self._origins_written_at: Seconds = NEVER
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

    async def read(self) -> None:
        """Read the records, so that earlier versions and streams are known.

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
        origins = choose_record(self._make_keeping_state(), self._clock())
        if origins is not None:
            await self._write_origins(origins)

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

    def _make_keeping_state(self) -> KeepingState:
        now = self._clock()
        mixed = self._history.list_mixed(now)
        return KeepingState(
            streams=tuple(self._register.list_all()) if mixed else (),
            mixed=mixed,
            stored=self._stored_origins,
            knows_all_versions=self._history.is_complete(now),
            since_write=now - self._origins_written_at,
        )

    async def _read(self) -> None:
        began_at = self._clock()
        listing = await self._store.list_objects(RECORD_KIND)
        self._era = listing.revision.era
        self._revision = self._stored = None
        self._origins_revision = self._stored_origins = None
        for stored in listing.objects:
            if stored.name.endswith(ORIGINS_SUFFIX):
                self._apply_origins(stored)
                continue
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

    def _apply_origins(self, stored: StoredObject) -> None:
        """Record the streams that a leader kept."""
        record = _decode_origins(stored)
        if stored.name == self._name + ORIGINS_SUFFIX:
            self._origins_revision = stored.revision
            self._stored_origins = record
        if record is not None:
            now = self._clock()
            for stream in list_streams(record, now):
                self._register.record(stream)
            for origin in set(record.origins.values()):
                self._history.record(origin.service, origin.software, now)

    async def _write_origins(self, record: OriginRecord) -> None:
        self._origins_written_at = self._clock()
        name, content = self._name + ORIGINS_SUFFIX, record.encode()
        if self._origins_revision is None:
            written = await self._store.create(RECORD_KIND, name, content)
        else:
            written = await self._store.replace(
                RECORD_KIND, name, self._origins_revision, content
            )
        self._origins_revision, self._stored_origins = written.revision, record

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


def _decode_origins(stored: StoredObject) -> OriginRecord | None:
    """Return the streams in an object, None if it is malformed."""
    try:
        return OriginRecord.decode(stored.content)
    except MalformedRecord as error:
        log_decision(
            LOG, Decision.RECORD_NOT_KEPT, object=stored.name, reason=str(error)
        )
        return None
