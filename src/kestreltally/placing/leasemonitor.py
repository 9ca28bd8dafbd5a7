"""Reads all leases from the store in one call, while a leader is unreachable."""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Seconds
from kestreltally.placing.lease import Lease
from kestreltally.platform.documents import LEASE_KIND
from kestreltally.platform.store import Store, StoreError

LOG = logging.getLogger("kestreltally.lease")

# How often a daemon without a leader reads the leases. All daemons of a data centre
# together need at most MAX_READS_PER_SECOND: the first one that sees a free lease takes
# it, and its address spreads over the feed.
READ_INTERVAL: Final[Seconds] = 0.3
MAX_READ_INTERVAL: Final[Seconds] = 2.0
MAX_READS_PER_SECOND: Final = 20.0


class LeaseMonitor:
    """Checks all leases in one call, for those that need it."""

    def __init__(
        self,
        store: Store,
        leases: Mapping[str, Lease],
        needs_check: Callable[[Lease], bool],
        count_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self._store = store
        self._leases = leases
        self._needs_check = needs_check
        self._count_daemons = count_daemons

    async def run(self) -> None:
        """Check the leases forever, whenever one needs it."""
        while True:
            if any(self._needs_check(lease) for lease in self._leases.values()):
                try:
                    await self._check()
                except StoreError as error:
                    log_decision(LOG, Decision.LEASE_NOT_READ, reason=str(error))
            await asyncio.sleep(self._compute_interval())

    def _compute_interval(self) -> Seconds:
        """Return the time until the next read, so that all daemons share the rate."""
        daemons_per_lease = self._count_daemons() / len(self._leases)
        usual = min(
            MAX_READ_INTERVAL,
            max(READ_INTERVAL, daemons_per_lease / MAX_READS_PER_SECOND),
        )
        return usual * random.uniform(0.7, 1.3)

    async def _check(self) -> None:
        listing = await self._store.list_objects(LEASE_KIND)
        found = {stored.name: stored for stored in listing.objects}
        for lease in self._leases.values():
            if self._needs_check(lease):
                await lease.check(found.get(lease.data_centre))
