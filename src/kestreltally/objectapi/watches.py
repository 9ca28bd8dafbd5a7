"""Reads and watches the platform's services, and claims endpoint leadership."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import msgspec
from result import Ok

from kestreltally.entities.configuration import CONFIG_PREFIX
from kestreltally.entities.ids import Seconds
from kestreltally.objectapi.records import (
    LEADER_PREFIX,
    LeaderValue,
    read_config_objects,
    read_leader_record,
)
from kestreltally.orders import (
    ClaimEnded,
    ClaimEndpoint,
    ConfigArrived,
    LeaderRead,
    LeadersChanged,
    OutsideEvent,
    ReadLeader,
    VmsListed,
)
from kestreltally.ports import (
    AnswerLost,
    ObjectApi,
    ObjectApiDown,
    PlatformError,
    StoredObject,
    VmList,
)
from kestreltally.systems.configuration import is_watcher
from kestreltally.world import World

LOG = logging.getLogger("kestreltally.objectapi")
INITIAL_RETRY_DELAY: Final[Seconds] = 0.2
MAX_RETRY_DELAY: Final[Seconds] = 5.0
READ_BACK_TRIES: Final = 5
WATCHER_CHECK_INTERVAL: Final[Seconds] = 0.5
WATCH_CONFIRM_WAIT: Final[Seconds] = 1.0


class PlatformWatches:
    """Calls of one daemon to the platform; results are posted to its inbox."""

    def __init__(
        self,
        world: World,
        objects: ObjectApi,
        vms: VmList,
        post: Callable[[OutsideEvent], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._world = world
        self._objects = objects
        self._vms = vms
        self._post = post
        self._clock = clock

    async def read_leader(self, order: ReadLeader) -> None:
        """Read the leader record of an endpoint."""
        asked_at = self._clock()
        record, failed = None, False
        try:
            stored = await self._objects.read(LEADER_PREFIX + order.endpoint)
            record = read_leader_record(stored)
        except PlatformError:
            failed = True
        self._post(
            LeaderRead(
                endpoint=order.endpoint,
                record=record,
                asked_at=asked_at,
                failed=failed,
            )
        )

    async def claim_endpoint(self, order: ClaimEndpoint) -> None:
        """Claim an endpoint by writing its leader record.

        If the response is lost, the record is read back to see whose claim won.
        """
        claimed_at = self._clock()
        record = order.record
        value = LeaderValue(
            leader=record.leader,
            incarnation=record.incarnation,
            epoch=record.epoch,
            change=record.change,
        )
        key = LEADER_PREFIX + record.endpoint
        stored: StoredObject | None
        try:
            plain = msgspec.to_builtins(value)
            result = await self._objects.write(key, plain, order.expected_version)
            stored = (
                result.ok_value if isinstance(result, Ok) else result.err_value.current
            )
        except ObjectApiDown:
            stored = None
        except AnswerLost:
            stored = await self._read_back(key)
        current = read_leader_record(stored) if stored is not None else None
        won = current is not None and current.change == record.change
        self._post(
            ClaimEnded(
                endpoint=record.endpoint,
                won=won,
                record=current,
                claimed_at=claimed_at,
            )
        )

    async def _read_back(self, key: str) -> StoredObject | None:
        """Read an object after a write with a lost response; None if that fails."""
        for _ in range(READ_BACK_TRIES):
            try:
                return await self._objects.read(key)
            except PlatformError:
                await asyncio.sleep(INITIAL_RETRY_DELAY)
        return None

    def _jitter(self, wait: Seconds) -> Seconds:
        return wait * self._world.random.uniform(0.5, 1.5)

    async def _back_off(
        self, resource: str, error: Exception, wait: Seconds
    ) -> Seconds:
        """Wait with jitter after a failed call; return the next wait, doubled."""
        LOG.warning("platform: watch of %s failed: %s", resource, error)
        await asyncio.sleep(self._jitter(wait))
        return min(wait * 2, MAX_RETRY_DELAY)

    async def watch_config(self) -> None:
        """Watch the configuration while this daemon is the designated watcher.

        The first listing is read in any case.
        """
        wait = INITIAL_RETRY_DELAY
        listed_revision = 0
        while True:
            if listed_revision and not is_watcher(self._world):
                await asyncio.sleep(WATCHER_CHECK_INTERVAL)
                continue
            try:
                listed_revision = await self._read_config(listed_revision)
                wait = INITIAL_RETRY_DELAY
            except PlatformError as error:
                wait = await self._back_off("configuration", error, wait)

    async def _read_config(self, listed_revision: int) -> int:
        """List or watch once; return the object API's revision that was reached."""
        asked_at = self._clock()
        initial = listed_revision == 0
        if initial:
            listing = await self._objects.list(CONFIG_PREFIX)
        else:
            listing = await self._objects.watch(
                CONFIG_PREFIX,
                listed_revision,
                WATCH_CONFIRM_WAIT,
            )
        # A watch that ends without changes confirms the configuration as of the end
        # of its wait; a response with objects only as of the start of the request.
        timed_out = not initial and not listing.objects
        confirmed_at = asked_at + WATCH_CONFIRM_WAIT if timed_out else asked_at
        revisions = [each.revision for each in listing.objects]
        known = self._world.config.revision
        self._post(
            ConfigArrived(
                after=0 if initial else min(known, listed_revision),
                revision=max([*revisions, known]),
                complete=initial,
                objects=read_config_objects(listing.objects),
                confirmed_at=min(confirmed_at, self._clock()),
            )
        )
        return max(listing.revision, 1)

    async def watch_leaders(self) -> None:
        """Watch the leader records of all endpoints."""
        wait = INITIAL_RETRY_DELAY
        seen_revision = 0
        while True:
            try:
                seen_revision = await self._read_leaders(seen_revision)
                wait = INITIAL_RETRY_DELAY
            except PlatformError as error:
                wait = await self._back_off("leaders", error, wait)

    async def _read_leaders(self, seen_revision: int) -> int:
        if seen_revision == 0:
            listing = await self._objects.list(LEADER_PREFIX)
        else:
            platform = self._world.settings.platform
            listing = await self._objects.watch(
                LEADER_PREFIX,
                seen_revision,
                platform.watch_wait,
            )
        records = [read_leader_record(each) for each in listing.objects]
        found = tuple(record for record in records if record is not None)
        if found:
            self._post(LeadersChanged(records=found))
        return max(listing.revision, 1)

    async def poll_vm_list(self) -> None:
        """Poll the VM list at the configured period, with jitter."""
        while True:
            try:
                self._post(VmsListed(vms=await self._vms.fetch()))
            except PlatformError as error:
                LOG.warning("platform: reading the VM list failed: %s", error)
            period = self._world.settings.platform.vm_list_period
            await asyncio.sleep(self._jitter(period))
