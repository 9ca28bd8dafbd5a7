"""The lease under which one daemon at a time gives orders to a group of engines.

The lease is one object in the store, written by conditional updates. A holder gives
orders only while its last successful renewal was sent less than ``VALIDITY`` ago on the
monotonic clock. A successor's write proves that the former holder has not renewed since
the replaced revision, so the former holder's last order left within ``VALIDITY`` of the
first observation of that revision. The successor waits for that time and for the
operators' minimum gap between two holders. Engines do not check fences, so nothing else
separates two holders.

The store may be restored from a backup some seconds old and lose a lease that was taken
since. Therefore the fences of a new era start above all fences of older eras, a record
of an older era proves nothing about the last holder, and only a holder whose last
renewal is so recent that nobody can have taken the lease continues at once.

Another writer may replace the record by one that cannot be read. It is taken like one
of an unknown holder, and a holder that nobody can have replaced writes it again.

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
from kestreltally.placing.leaserecords import (
    Absence,
    LeaseRecord,
    ObservedRevision,
    RecordReader,
)
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

RENEW_INTERVAL: Final[Seconds] = 1.0
RENEW_RETRY_DELAY: Final[Seconds] = 0.2
# Longer than the usual outages of the store (3 to 5 s in simulations), during which
# nobody could take over. A longer validity makes the successor of a lost holder wait
# longer, but leaders of other data centres load adapters in that time, and a daemon
# that restarts on the same VM does not wait.
VALIDITY: Final[Seconds] = 6.0
# An unchanged lease can be taken after this. A shorter delay would gain nothing, as a
# successor waits for the end of the validity in any case.
TAKEOVER_DELAY: Final[Seconds] = 5.0
TAKEOVER_JITTER: Final[Seconds] = 0.4
# For this long a released lease is left to a daemon restarted on the same VM. The
# minimum gap that other daemons must wait for elapses in the same time.
RELEASED_WAIT: Final[Seconds] = 2.8
# For this long, daemons of other data centres leave a lease to those of its own.
REMOTE_WAIT: Final[Seconds] = 3.0
# Under normal load of 79 daemons in three data centres, a leader of 26 daemons and 15
# engines used 0.33 cores and 8 Mbit/s without frame compression. A machine with less
# than about twice that leaves the lease to stronger ones for ``WEAK_WAIT``.
MIN_LEADER_CORES: Final = 0.66
MIN_LEADER_MBPS: Final = 20.0
WEAK_WAIT: Final[Seconds] = 0.8
# A daemon that reaches no endpoint leaves a free lease that long to others, those of
# other data centres and weak machines included.
CUT_OFF_WAIT: Final[Seconds] = REMOTE_WAIT + WEAK_WAIT + 2 * TAKEOVER_JITTER
# A holder resigns if another daemon got an answer from the store this long after the
# holder's own last one, and a renewal sent since has failed too: then only the holder
# is cut off. The announcement lets a successor start its wait at once. An unanswered
# renewal times out after 0.6 s and the next one is sent 0.2 s later, so this ends
# within the validity. Without the failed renewal as a condition, two of five holders
# resigned when a store recovered that had been unreachable for all for 8 s, and their
# engines got no orders for 1.7 s or more.
RESIGN_DELAY: Final[Seconds] = 4.5
RESIGNED_DURATION: Final[Seconds] = 3.0
# How long an order may be in transit to an engine.
MAX_ORDER_TRANSIT: Final[Seconds] = 0.4
# Orders stop this long before the end of the validity.
VALIDITY_MARGIN: Final[Seconds] = 0.1
NEVER: Final[Seconds] = float("-inf")
# Fences per era: enough for one takeover per second over 12 days.
FENCES_PER_ERA: Final = 2**20


def compute_weak_wait(strength: MachineCapacity) -> Seconds:
    """Return how long a machine leaves a free lease to stronger machines."""
    is_weak = strength.cores < MIN_LEADER_CORES or strength.link_mbps < MIN_LEADER_MBPS
    return WEAK_WAIT if is_weak else 0.0


class Lease:
    """This daemon's view of the lease for the engines of one data centre."""

    def __init__(
        self,
        store: Store,
        vm: str,
        boot: str,
        address: SocketAddress,
        holder_gap: Seconds,
        clock: Callable[[], Seconds],
        data_centre: str,
        takeover_wait: Seconds,
    ) -> None:
        self._store = store
        self._vm = vm
        self._boot = boot
        self._address = address
        self._holder_gap = holder_gap
        self._clock = clock
        self.data_centre = data_centre
        self._takeover_wait = takeover_wait + random.uniform(0.0, TAKEOVER_JITTER)
        self.record: LeaseRecord | None = None
        self.observed: ObservedRevision | None = None
        self._reader = RecordReader()
        self._absence: Absence | None = None
        self._valid_until: Seconds = float("-inf")
        self._orders_allowed_from: Seconds = float("inf")
        self._renewed_at: Seconds = float("-inf")
        # When the last failed renewal was sent, and since when other daemons have had
        # answers while this holder has not.
        self._failed_sent_at: Seconds = float("-inf")
        self._behind_since: Seconds | None = None
        self._not_before: Seconds = float("-inf")
        self._resigned_at: dict[int, Seconds] = {}
        self.leads = False
        self._acquired = asyncio.Event()
        # Returns whether no endpoint is within this daemon's reach.
        self.is_cut_off: Callable[[], bool] = lambda: False
        # Called when this daemon becomes the holder.
        self.record_start: Callable[[], None] = lambda: None

    @property
    def fence(self) -> int:
        """Return the last known fence of the lease."""
        return self.record.fence if self.record is not None else 0

    def is_valid(self) -> bool:
        """Return whether this daemon holds the lease at this moment."""
        return self.leads and self._clock() < self._valid_until - VALIDITY_MARGIN

    def is_sole_holder(self) -> bool:
        """Return whether the lease is held and no former holder's validity remains."""
        last = self._orders_allowed_from - self._holder_gap - MAX_ORDER_TRANSIT
        return self.is_valid() and last <= self._clock()

    def can_order(self) -> bool:
        """Return whether an order can be sent at this moment."""
        return self.is_valid() and self._orders_allowed_from <= self._clock()

    def compute_order_wait(self) -> Seconds | None:
        """Return the time until orders are allowed; None if unknown.

        A holder whose lease has expired can give no orders until the store answers,
        however long that takes.
        """
        return self._compute_order_wait() if self.is_valid() else None

    def _compute_order_wait(self) -> Seconds:
        """Return how long this holder still has to wait for a former holder."""
        return max(0.0, self._orders_allowed_from - self._clock())

    def record_revision(self, revision: Revision) -> None:
        """Record a revision of the lease that the leader's feed names."""
        self._observe(revision)

    def record_resigned(self, fence: int) -> None:
        """Record that the holder of a fence has announced its resignation."""
        self._resigned_at.setdefault(fence, self._clock())

    def _observe(self, revision: Revision) -> ObservedRevision:
        observed = self.observed
        if observed is None or observed.revision < revision:
            observed = self.observed = ObservedRevision(revision, self._clock())
        return observed

    async def run(self) -> None:
        """Renew the lease forever, while it is held."""
        while True:
            if not self.leads:
                self._acquired.clear()
                await self._acquired.wait()
                # The write of the takeover is valid as long as a renewal.
                await asyncio.sleep(RENEW_INTERVAL)
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
                await asyncio.sleep(RENEW_RETRY_DELAY)

    async def _renew(self) -> None:
        record, observed = self.record, self.observed
        if record is None or observed is None:
            self._record_lost("no record of a held lease")
            return
        sent_at = self._clock()
        updated = replace(
            record, renewals=record.renewals + 1, quiet=self._compute_order_wait()
        )
        try:
            stored = await self._write(observed.revision, updated)
        except StaleEra:
            await self._continue_in_era()
            return
        except Conflict as conflict:
            if observed.revision.era != self._store.era:
                await self._continue_in_era()
            else:
                self._resolve_conflict(conflict, updated)
                await asyncio.sleep(RENEW_RETRY_DELAY)
            return
        if self.leads:
            self._record_written(stored, updated, sent_at)
            await asyncio.sleep(RENEW_INTERVAL)

    async def _continue_in_era(self) -> None:
        """Continue in a new era of the store, if nobody can have taken the lease."""
        stored = await self._store.read(LEASE_KIND, self.data_centre)
        found = self._reader.read(stored) if stored is not None else None
        record, sent_at = self.record, self._clock()
        if record is None or not self._can_continue(record, found, sent_at):
            self._record_lost("store restored from a backup")
            return
        updated = replace(record, quiet=self._compute_order_wait(), era=self._store.era)
        try:
            if stored is None:
                content = asdict(updated)
                written = await self._store.create(
                    LEASE_KIND, self.data_centre, content
                )
            else:
                written = await self._write(stored.revision, updated)
        except Conflict:
            # Retried, as it may be this daemon's own write whose answer was lost.
            await asyncio.sleep(RENEW_RETRY_DELAY)
            return
        if self.leads:
            self._record_written(written, updated, sent_at)

    def _can_continue(
        self, record: LeaseRecord, found: LeaseRecord | None, now: Seconds
    ) -> bool:
        """Return whether nobody else can hold the lease, whose record ``found`` is.

        It is None if a restore of the store lost it, and if another writer made it
        unreadable. A daemon that took the lease since then must have observed it
        unchanged for ``TAKEOVER_DELAY``. A renewal within that time rules this out.
        """
        renewed_at = self._valid_until - VALIDITY
        if not self.leads or now >= renewed_at + TAKEOVER_DELAY:
            return False
        if found is None or found.boot == self._boot:
            return True
        return found.era < self._store.era and found.fence < record.fence

    def _resolve_conflict(self, conflict: Conflict, updated: LeaseRecord) -> None:
        """Distinguish this daemon's write whose answer was lost from another's."""
        current = conflict.current
        found = self._reader.read(current) if current is not None else None
        if (
            current is not None
            and found is None
            and self._can_continue(updated, None, self._clock())
        ):
            self._observe(current.revision)
            return
        if current is None or found is None or found.boot != self._boot:
            self._record_lost(f"taken by {found.holder if found else 'nobody'}")
            return
        # An earlier renewal by this daemon proves nothing about the time of this one.
        self.record = replace(updated, renewals=max(found.renewals, updated.renewals))
        self._observe(current.revision)

    def _record_written(
        self, stored: StoredObject, record: LeaseRecord, sent_at: Seconds
    ) -> None:
        self.record = record
        self.observed = ObservedRevision(stored.revision, self._clock())
        self._valid_until = sent_at + VALIDITY
        self._renewed_at = self._clock()

    def _record_lost(self, reason: str) -> None:
        log_decision(
            LOG,
            Decision.LEASE_LOST,
            lease=self.data_centre,
            fence=self.fence,
            reason=reason,
        )
        self._stop_leading()
        self.record = None
        self.observed = None

    def _stop_leading(self) -> None:
        self.leads = False
        self._valid_until = float("-inf")
        self._orders_allowed_from = float("inf")

    @property
    def renewed_at(self) -> Seconds:
        """Return the time of the store's last answer to a renewal."""
        return self._renewed_at

    def should_resign(
        self,
        remote_renewed_at: Seconds,
        remote_read_at: Seconds = float("-inf"),
        local_read_at: Seconds = float("-inf"),
    ) -> bool:
        """Return whether the store answers other daemons but not this holder.

        Renewals are compared with renewals, and reads with reads: if the store only
        serves reads, nobody could take the lease over. This must be called often, as a
        failed renewal counts only if it was sent after the first call that found this
        holder behind the others.
        """
        local_answered_at = max(self._renewed_at, local_read_at)
        renewals_behind = remote_renewed_at - self._renewed_at > RESIGN_DELAY
        is_behind = self.leads and (
            renewals_behind or remote_read_at - local_answered_at > RESIGN_DELAY
        )
        if not is_behind:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = self._clock()
        return self._failed_sent_at >= self._behind_since

    def resign(self) -> int:
        """Stop giving orders under the current fence, as the store is unreachable."""
        fence = self.fence
        self._stop_leading()
        self._not_before = self._clock() + RESIGNED_DURATION
        log_decision(LOG, Decision.LEASE_RESIGNED, lease=self.data_centre, fence=fence)
        return fence

    async def check(self, stored: StoredObject | None) -> None:
        """Check the lease, and take it if its holder does not renew it."""
        now = self._clock()
        if self.leads:
            return
        if stored is None:
            absence = self._absence
            if absence is None or absence.era != self._store.era:
                absence = self._absence = Absence(self._store.era, now)
            if now - absence.since >= self._compute_extra_wait():
                await self._create(absence)
            return
        record = self._reader.read(stored)
        observed = self._observe(stored.revision)
        if observed.revision != stored.revision:
            return
        self.record = record or self.record
        if now < self._not_before:
            return
        is_local = (
            record is not None
            and record.holder == self._vm
            and not self._is_outdated(record)
        )
        if (
            is_local and not self.is_cut_off()
        ) or now - observed.since >= self._compute_takeover_wait(record):
            await self._take_over(record, observed)

    def _compute_takeover_wait(self, record: LeaseRecord | None) -> Seconds:
        """Return how long a lease must be unchanged before it can be taken."""
        extra_wait = self._compute_extra_wait()
        if record is None or self._is_outdated(record):
            return extra_wait + TAKEOVER_DELAY
        if record.fence in self._resigned_at:
            return extra_wait
        if record.released:
            return extra_wait + RELEASED_WAIT
        return extra_wait + TAKEOVER_DELAY

    def _compute_extra_wait(self) -> Seconds:
        """Return for how long this daemon leaves a free lease to others."""
        extra_wait = self._takeover_wait - TAKEOVER_DELAY
        return extra_wait + CUT_OFF_WAIT if self.is_cut_off() else extra_wait

    def _is_outdated(self, record: LeaseRecord) -> bool:
        """Return whether a record was written before the store's last restore.

        Later holders may be lost, so its statements about the holder, and about the
        remaining wait for orders, no longer apply.
        """
        return record.era != self._store.era

    def _next_fence(self, former: int = 0) -> int:
        """Return a fence that no holder has had, including those lost in a restore."""
        return max(former, self._store.era * FENCES_PER_ERA) + 1

    def _guess_fence(self, revision: Revision) -> int:
        """Return a number that the fence of an unreadable record does not exceed.

        Each holder has written the record once at least since its era began.
        """
        writes = min(revision.number, FENCES_PER_ERA // 2)
        return max(self.fence, self._store.era * FENCES_PER_ERA + writes)

    async def _create(self, absence: Absence) -> None:
        sent_at = self._clock()
        orders_allowed_from = sent_at
        if absence.era > FIRST_ERA or self._store.restored_at > NEVER:
            # There may have been a holder whose record is lost.
            orders_allowed_from = self._compute_orders_allowed_after(
                absence.since + VALIDITY
            )
        quiet = max(0.0, orders_allowed_from - sent_at)
        record = self._make_record(self._next_fence(), quiet)
        try:
            stored = await self._store.create(
                LEASE_KIND, self.data_centre, asdict(record)
            )
        except Conflict:
            return
        self._record_written(stored, record, sent_at)
        self._start_leading(orders_allowed_from)

    async def _take_over(
        self, former: LeaseRecord | None, observed: ObservedRevision
    ) -> None:
        sent_at = self._clock()
        start = self._compute_orders_allowed_from(former, observed, sent_at)
        known = former.fence if former else self._guess_fence(observed.revision)
        record = self._make_record(
            self._next_fence(known), quiet=max(0.0, start - sent_at)
        )
        try:
            stored = await self._write(observed.revision, record)
        except Conflict:
            return
        self._record_written(stored, record, sent_at)
        self._start_leading(start)

    def _compute_orders_allowed_from(
        self, former: LeaseRecord | None, observed: ObservedRevision, now: Seconds
    ) -> Seconds:
        """Return from when orders are separated from those of a former holder."""
        if former is None or self._is_outdated(former):
            return self._compute_orders_allowed_after(observed.since + VALIDITY)
        if former.holder == self._vm:
            # The same VM is the same holder: only its own remaining wait applies.
            return now + former.quiet
        last = observed.since + (0.0 if former.released else VALIDITY)
        resigned_at = self._resigned_at.get(former.fence)
        if resigned_at is not None:
            last = min(last, resigned_at)
        return self._compute_orders_allowed_after(last)

    def _compute_orders_allowed_after(self, last: Seconds) -> Seconds:
        """Return from when orders are separated from an order sent at ``last``."""
        return last + MAX_ORDER_TRANSIT + self._holder_gap

    def _start_leading(self, orders_allowed_from: Seconds) -> None:
        self.leads = True
        self._orders_allowed_from = orders_allowed_from
        self._resigned_at.clear()
        self._acquired.set()
        self.record_start()
        log_decision(
            LOG,
            Decision.LEASE_HELD,
            lease=self.data_centre,
            fence=self.fence,
            orders_in=round(orders_allowed_from - self._clock(), 3),
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
        """Release the lease at a planned stop, so that the successor waits less."""
        self._not_before = float("inf")
        record, observed = self.record, self.observed
        if not self.leads or record is None or observed is None:
            return
        self._stop_leading()
        try:
            await self._write_release(observed.revision, record)
        except StoreError as error:
            log_decision(LOG, Decision.LEASE_NOT_RELEASED, reason=str(error))

    async def _write_release(self, revision: Revision, record: LeaseRecord) -> None:
        """Write the release, even if a renewal was in flight."""
        released = replace(record, released=True)
        try:
            await self._write(revision, released)
        except Conflict as conflict:
            current = conflict.current
            if current is None:
                raise
            found = self._reader.read(current)
            if found is None or found.boot != self._boot:
                raise
            await self._write(current.revision, released)
