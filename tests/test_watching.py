"""Tests how soon a daemon detects that the store does not answer."""

import asyncio

import pytest

from kestreltally.fleet.model import Seconds
from kestreltally.fleet_daemon import (
    ENDPOINTS_GAP,
    ENDPOINTS_WAIT,
)
from kestreltally.knowledge.leaders import MAX_FEED_AGE
from kestreltally.knowledge.watching import KindWatch
from kestreltally.platform.store import (
    Changes,
    Listing,
    StoreError,
)

pytestmark = pytest.mark.looptime

DRAIN_BOUND = 2.0


class SilentStore:
    """A store that answers until it falls silent; later calls time out."""

    def __init__(self) -> None:
        self.silent = False

    async def list_objects(self, kind: str) -> Listing:
        return Listing((), 1)

    async def watch(
        self, kind: str, revision: int, wait: Seconds, margin: Seconds
    ) -> Changes:
        await asyncio.sleep(wait + (margin if self.silent else 0.0))
        if self.silent:
            raise StoreError("no answer")
        return Changes((), revision)


class NullHandler:
    """Ignores the objects of the store."""

    def apply_listing(self, listing: Listing) -> None:
        pass

    def apply_changes(self, changes: Changes) -> None:
        pass


async def test_silent_store_is_detected_within_drain_bound() -> None:
    # Guards against requests to a leaving endpoint, seen up to 3,008 ms after it left:
    # the leader's watch waited on a silent store, and followers used its data as fresh.
    store = SilentStore()
    clock = asyncio.get_running_loop().time
    watch = KindWatch(
        store,  # type: ignore[arg-type]
        "endpoints",
        NullHandler(),
        ENDPOINTS_GAP,
        ENDPOINTS_WAIT,
        lambda: 1,
        clock,
    )
    watch.set_enabled(True)
    running = asyncio.create_task(watch.run())
    for phase in range(8):
        store.silent = False
        await asyncio.sleep(3.0 + phase * 0.13)
        assert watch.compute_age() == 0.0
        store.silent = True
        silent_since = clock()
        while watch.compute_age() < MAX_FEED_AGE:
            await asyncio.sleep(0.01)
        assert clock() - silent_since < DRAIN_BOUND - 0.3
    running.cancel()
