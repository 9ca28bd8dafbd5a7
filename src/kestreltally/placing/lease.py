"""The lease under which one daemon at a time gives orders to a group of engines.

It is one object of the store, written by conditional updates. A holder gives orders
only while its last renewal that the store answered was sent less than ``VALIDITY``
ago by the steady clock. A successor's write proves that the former holder did not
renew since the revision that it replaces, so the former holder's last order left
within ``VALIDITY`` of the moment when that revision was first seen; the successor
waits that out, and the operators' least time between two holders. Engines here check
no fences, so nothing else stands between two holders.

The store may come back from a copy of some seconds ago, and lose a lease that was taken
meanwhile. So numbers of a lease begin anew above all of older eras, what was written in
an older era proves nothing of who held the lease last, and only a holder whose renewals
were answered so lately that nobody can have taken it goes on at once.

After Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", 1989.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import asdict, replace
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import MachineCapacity, SocketAddress
from kestreltally.fleet.model import Seconds
from kestreltally.placing.leaserecords import Absence, LeaseRecord, Sighting
from kestreltally.platform.documents import LEASE_KIND
from kestreltally.platform.store import (
    FIRST_ERA,
    Conflict,
    Revision,
    StaleEra,
    Store,
    StoredObject,
    StoreError,
)

LOG = logging.getLogger("kestreltally.lease")

RENEW_EVERY: Final[Seconds] = 1.0
RENEW_RETRY: Final[Seconds] = 0.2
# Outlasts the store's usual outages (3 to 5 s were played), in which nobody could take
# over. A holder that is lost costs its successor as much longer a wait, but other data
# centres' leaders bring adapters meanwhile, and a restart on the same VM need not wait.
VALIDITY: Final[Seconds] = 6.0
# An unchanged lease may be taken after this. Sooner would gain nothing: a successor
# waits for the validity's end in any case.
TAKE_AFTER: Final[Seconds] = 5.0
TAKE_JITTER: Final[Seconds] = 0.4
# A lease that was released is left that long to a daemon restarted on the same VM: the
# time that others must keep apart runs meanwhile.
RELEASED_PATIENCE: Final[Seconds] = 2.8
# Daemons of other data centres leave a lease that long to those of its own.
FOREIGN_PATIENCE: Final[Seconds] = 3.0
# A leader of 26 daemons and 15 engines used 0.33 cores and, before frames were
# deflated, 8 Mbit/s, on a calm day of 79 daemons in three data centres. A machine with
# less than about twice that leaves the lease to stronger ones for WEAK_PATIENCE.
LEADER_CORES: Final = 0.66
LEADER_MBPS: Final = 20.0
WEAK_PATIENCE: Final[Seconds] = 0.8
# A holder resigns when another daemon had an answer of the store so long after its own
# last one, and a renewal sent since has failed too: then it alone is cut off. Its word
# lets a successor begin its wait at once. A renewal that is swallowed is known to fail
# after 0.6 s and the next one sent 0.2 s later, so this ends within the validity. With
# no renewal tried since, two of five holders resigned as a store came back that had
# been away from all for 8 s: their engines got no orders for 1.7 s and more.
RESIGN_AFTER: Final[Seconds] = 4.5
RESIGNED_FOR: Final[Seconds] = 3.0
# How long an order may be on its way to an engine.
ORDER_TRANSIT: Final[Seconds] = 0.4
# Orders stop this long before the validity ends.
VALIDITY_MARGIN: Final[Seconds] = 0.1
NEVER: Final[Seconds] = float("-inf")
# Numbers of a lease in one era: more than a taking each second would use in 12 days.
ERA_FENCES: Final = 2**20


def find_weakness(strength: MachineCapacity) -> Seconds:
    """Return how long a machine leaves a free lease to stronger ones."""
    weak = strength.cores < LEADER_CORES or strength.link_mbps < LEADER_MBPS
    return WEAK_PATIENCE if weak else 0.0


class Lease:
    """This daemon's part in who leads the engines of one data centre."""

    def __init__(
        self,
        store: Store,
        vm: str,
        boot: str,
        address: SocketAddress,
        apart: Seconds,
        clock: Callable[[], Seconds],
        data_centre: str,
        patience: Seconds,
    ) -> None:
        self._store = store
        self._vm = vm
        self._boot = boot
        self._address = address
        self._apart = apart
        self._clock = clock
        self.data_centre = data_centre
        self._patience = patience + random.uniform(0.0, TAKE_JITTER)
        self.record: LeaseRecord | None = None
        self.sighting: Sighting | None = None
        self._absence: Absence | None = None
        self._valid_until: Seconds = float("-inf")
        self._orders_from: Seconds = float("inf")
        self._renewed_at: Seconds = float("-inf")
        # When the last renewal that failed was sent, and since when others have had
        # answers that this holder has not.
        self._failed_sent_at: Seconds = float("-inf")
        self._behind_since: Seconds | None = None
        self._not_before: Seconds = float("-inf")
        self._resigned: dict[int, Seconds] = {}
        self.leads = False
        self._began = asyncio.Event()
        # Called when this daemon begins to hold it.
        self.record_start: Callable[[], None] = lambda: None

    @property
    def fence(self) -> int:
        """Return the number of the lease as it was last known."""
        return self.record.fence if self.record is not None else 0

    def is_valid(self) -> bool:
        """Tell whether the lease is held at this very moment, by its record's time."""
        return self.leads and self._clock() < self._valid_until - VALIDITY_MARGIN

    def holds_alone(self) -> bool:
        """Tell whether the lease is held, and no former holder's can hold any more."""
        last = self._orders_from - self._apart - ORDER_TRANSIT
        return self.is_valid() and last <= self._clock()

    def may_order(self) -> bool:
        """Tell whether an order may leave at this very moment."""
        return self.is_valid() and self._orders_from <= self._clock()

    def find_order_wait(self) -> Seconds | None:
        """Return how long until orders may be given, none where that is not known.

        A holder whose lease is over may give none until the store answers it, however
        long that takes.
        """
        return self._find_quiet() if self.is_valid() else None

    def _find_quiet(self) -> Seconds:
        """Return how long a holder still has to keep apart from a former one."""
        return max(0.0, self._orders_from - self._clock())

    def note_revision(self, revision: Revision) -> None:
        """Note that the leader's feed names a revision of the lease."""
        self._see(revision)

    def note_resigned(self, fence: int) -> None:
        """Note that the holder of a number has said that it gives no more orders."""
        self._resigned.setdefault(fence, self._clock())

    def _see(self, revision: Revision) -> Sighting:
        sighting = self.sighting
        if sighting is None or sighting.revision < revision:
            sighting = self.sighting = Sighting(revision, self._clock())
        return sighting

    async def run(self) -> None:
        """Renew the lease for ever, while it is held."""
        while True:
            if not self.leads:
                self._began.clear()
                await self._began.wait()
                # What was written as it began holds as long as a renewal.
                await asyncio.sleep(RENEW_EVERY)
                continue
            sent_at = self._clock()
            try:
                await self._renew()
            except StoreError as error:
                self._failed_sent_at = sent_at
                log_decision(
                    LOG,
                    Decision.LEASE_NOT_RENEWED,
                    lease=self.data_centre,
                    reason=str(error),
                )
                await asyncio.sleep(RENEW_RETRY)

    async def _renew(self) -> None:
        record, sighting = self.record, self.sighting
        if record is None or sighting is None:
            self._lose("nothing held")
            return
        began = self._clock()
        wanted = replace(record, renewals=record.renewals + 1, quiet=self._find_quiet())
        try:
            stored = await self._write(sighting.revision, wanted)
        except StaleEra:
            await self._go_on()
            return
        except Conflict as conflict:
            if sighting.revision.era != self._store.era:
                await self._go_on()
            else:
                self._resolve_conflict(conflict, wanted)
                await asyncio.sleep(RENEW_RETRY)
            return
        if self.leads:
            self._hold(stored, wanted, began)
            await asyncio.sleep(RENEW_EVERY)

    async def _go_on(self) -> None:
        """Hold the lease in a new era of the store, if nobody can have taken it."""
        stored = await self._store.read(LEASE_KIND, self.data_centre)
        found = LeaseRecord.decode(stored.content) if stored is not None else None
        record, began = self.record, self._clock()
        if record is None or not self._may_go_on(record, found, began):
            self._lose("the store came back from a copy")
            return
        wanted = replace(record, quiet=self._find_quiet(), era=self._store.era)
        try:
            if stored is None:
                content = asdict(wanted)
                written = await self._store.create(
                    LEASE_KIND, self.data_centre, content
                )
            else:
                written = await self._write(stored.revision, wanted)
        except Conflict:
            # Looked at once more: it may be an own write whose answer was lost.
            await asyncio.sleep(RENEW_RETRY)
            return
        if self.leads:
            self._hold(written, wanted, began)

    def _may_go_on(
        self, record: LeaseRecord, found: LeaseRecord | None, now: Seconds
    ) -> bool:
        """Tell whether nobody else can hold the lease after the store's return.

        Who took it in the seconds that are lost had found it unchanged for
        ``TAKE_AFTER``: not so where a renewal sent since was answered.
        """
        renewed_at = self._valid_until - VALIDITY
        if not self.leads or now >= renewed_at + TAKE_AFTER:
            return False
        if found is None or found.boot == self._boot:
            return True
        return found.era < self._store.era and found.fence < record.fence

    def _resolve_conflict(self, conflict: Conflict, wanted: LeaseRecord) -> None:
        """Tell an own write whose answer was lost from another daemon's."""
        current = conflict.current
        found = LeaseRecord.decode(current.content) if current is not None else None
        if current is None or found is None or found.boot != self._boot:
            self._lose(f"taken by {found.holder if found else 'nobody'}")
            return
        # An own earlier renewal: it proves nothing of this one's time.
        self.record = replace(wanted, renewals=max(found.renewals, wanted.renewals))
        self._see(current.revision)

    def _hold(self, stored: StoredObject, record: LeaseRecord, began: Seconds) -> None:
        self.record = record
        self.sighting = Sighting(stored.revision, self._clock())
        self._valid_until = began + VALIDITY
        self._renewed_at = self._clock()

    def _lose(self, reason: str) -> None:
        log_decision(
            LOG,
            Decision.LEASE_LOST,
            lease=self.data_centre,
            fence=self.fence,
            reason=reason,
        )
        self._stop_leading()
        self.record = None
        self.sighting = None

    def _stop_leading(self) -> None:
        self.leads = False
        self._valid_until = float("-inf")
        self._orders_from = float("inf")

    @property
    def renewed_at(self) -> Seconds:
        """Return when the store last answered a renewal."""
        return self._renewed_at

    def should_resign(
        self,
        others_renewed_at: Seconds,
        others_read_at: Seconds = float("-inf"),
        own_read_at: Seconds = float("-inf"),
    ) -> bool:
        """Tell whether the store answered others, but not this holder for long.

        Renewals are compared with renewals, and reads with reads: where the store only
        reads for anybody, nobody could take the lease over. To be asked every moment: a
        renewal counts as failed in vain if it was sent after the others' answer was
        first known.
        """
        own_at = max(self._renewed_at, own_read_at)
        renewed = others_renewed_at - self._renewed_at > RESIGN_AFTER
        behind = self.leads and (renewed or others_read_at - own_at > RESIGN_AFTER)
        if not behind:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = self._clock()
        return self._failed_sent_at >= self._behind_since

    def resign(self) -> int:
        """Give no more orders under this number, for the store is out of reach."""
        fence = self.fence
        self._stop_leading()
        self._not_before = self._clock() + RESIGNED_FOR
        log_decision(LOG, Decision.LEASE_RESIGNED, lease=self.data_centre, fence=fence)
        return fence

    async def consider(self, stored: StoredObject | None) -> None:
        """Look at the lease, and take it when its holder does not renew it."""
        now = self._clock()
        if self.leads:
            return
        if stored is None:
            absence = self._absence
            if absence is None or absence.era != self._store.era:
                absence = self._absence = Absence(self._store.era, now)
            if now - absence.since >= self._patience - TAKE_AFTER:
                await self._create(absence)
            return
        record = LeaseRecord.decode(stored.content)
        sighting = self._see(stored.revision)
        if sighting.revision != stored.revision:
            return
        self.record = record
        if now < self._not_before:
            return
        own = record.holder == self._vm and not self._is_outdated(record)
        if own or now - sighting.since >= self._find_patience(record):
            await self._take(record, sighting)

    def _find_patience(self, record: LeaseRecord) -> Seconds:
        """Return how long a lease must be unchanged before it is taken."""
        extra = self._patience - TAKE_AFTER
        if self._is_outdated(record):
            return self._patience
        if record.fence in self._resigned:
            return extra
        if record.released:
            return extra + RELEASED_PATIENCE
        return self._patience

    def _is_outdated(self, record: LeaseRecord) -> bool:
        """Tell whether a record was written before the store came back from a copy.

        Who held the lease after it may be lost, so what it says of its holder, and of
        the orders that are still to be waited for, no longer counts.
        """
        return record.era != self._store.era

    def _next_fence(self, former: int = 0) -> int:
        """Return a number that no holder has had, also of those that are lost."""
        return max(former, self._store.era * ERA_FENCES) + 1

    async def _create(self, absence: Absence) -> None:
        began = self._clock()
        start = began
        if absence.era > FIRST_ERA or self._store.restored_at > NEVER:
            # There was a holder, maybe: its record is lost.
            start = self._keep_apart(absence.since + VALIDITY)
        quiet = max(0.0, start - began)
        record = self._make_record(self._next_fence(), quiet)
        try:
            stored = await self._store.create(
                LEASE_KIND, self.data_centre, asdict(record)
            )
        except Conflict:
            return
        self._hold(stored, record, began)
        self._begin(start)

    async def _take(self, former: LeaseRecord, sighting: Sighting) -> None:
        began = self._clock()
        start = self._find_start(former, sighting, began)
        record = self._make_record(
            self._next_fence(former.fence), quiet=max(0.0, start - began)
        )
        try:
            stored = await self._write(sighting.revision, record)
        except Conflict:
            return
        self._hold(stored, record, began)
        self._begin(start)

    def _find_start(
        self, former: LeaseRecord, sighting: Sighting, now: Seconds
    ) -> Seconds:
        """Return from when on orders are surely apart from a former holder's."""
        if self._is_outdated(former):
            return self._keep_apart(sighting.since + VALIDITY)
        if former.holder == self._vm:
            # One machine is one holder: only what it waited for itself counts.
            return now + former.quiet
        last = sighting.since + (0.0 if former.released else VALIDITY)
        resigned = self._resigned.get(former.fence)
        if resigned is not None:
            last = min(last, resigned)
        return self._keep_apart(last)

    def _keep_apart(self, last: Seconds) -> Seconds:
        """Return from when on orders are apart from one that left at ``last``."""
        return last + ORDER_TRANSIT + self._apart

    def _begin(self, start: Seconds) -> None:
        self.leads = True
        self._orders_from = start
        self._resigned.clear()
        self._began.set()
        self.record_start()
        log_decision(
            LOG,
            Decision.LEASE_HELD,
            lease=self.data_centre,
            fence=self.fence,
            orders_in=round(start - self._clock(), 3),
        )

    def _make_record(self, fence: int, quiet: Seconds) -> LeaseRecord:
        return LeaseRecord(
            holder=self._vm,
            boot=self._boot,
            host=self._address.host,
            port=self._address.port,
            fence=fence,
            renewals=0,
            quiet=quiet,
            era=self._store.era,
        )

    async def _write(self, revision: Revision, record: LeaseRecord) -> StoredObject:
        return await self._store.replace(
            LEASE_KIND, self.data_centre, revision, asdict(record)
        )

    async def release(self) -> None:
        """Give the lease up at a planned stop, so that the next need not wait long."""
        self._not_before = float("inf")
        record, sighting = self.record, self.sighting
        if not self.leads or record is None or sighting is None:
            return
        self._stop_leading()
        try:
            await self._write_release(sighting.revision, record)
        except StoreError as error:
            log_decision(LOG, Decision.LEASE_NOT_RELEASED, reason=str(error))

    async def _write_release(self, revision: Revision, record: LeaseRecord) -> None:
        """Write that the lease is given up, also where a renewal was on its way."""
        released = replace(record, released=True)
        try:
            await self._write(revision, released)
        except Conflict as conflict:
            current = conflict.current
            if current is None:
                raise
            if LeaseRecord.decode(current.content).boot != self._boot:
                raise
            await self._write(current.revision, released)
