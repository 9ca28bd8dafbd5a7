"""Tests how soon a daemon detects that the store does not answer."""

import asyncio

import pytest

from kestreltally.fleet.model import Seconds
from kestreltally.fleet_daemon import (
    CONFIGURATION_GAP,
    ENDPOINTS_GAP,
    ENDPOINTS_WAIT,
    VERSIONS_GAP,
    VERSIONS_WAIT,
)
from kestreltally.knowledge.configuration_age import MARGIN_FRACTION, WAIT_FRACTION
from kestreltally.knowledge.leaders import MAX_FEED_AGE
from kestreltally.knowledge.watching import KindWatch
from kestreltally.platform.store import (
    WATCH_MARGIN,
    Changes,
    Listing,
    StoreError,
    StoreSilent,
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


class SilentConnection(SilentStore):
    """A store whose pending call is never answered, while new ones are."""

    def __init__(self) -> None:
        super().__init__()
        self.answered_at = 0.0

    async def watch(
        self, kind: str, revision: int, wait: Seconds, margin: Seconds
    ) -> Changes:
        began_silent = self.silent
        await asyncio.sleep(wait)
        if self.silent and not began_silent:
            await asyncio.sleep(margin)
            raise StoreSilent("no answer")
        self.answered_at = asyncio.get_running_loop().time() - wait
        return Changes((), revision)


@pytest.mark.parametrize(
    ("bound", "reserve", "gap", "wait", "margin"),
    [
        *(
            (
                bound,
                0.25 * bound,
                CONFIGURATION_GAP,
                WAIT_FRACTION * bound,
                MARGIN_FRACTION * bound,
            )
            for bound in (2.0, 3.0, 4.0)
        ),
        (5.0, 2.0, VERSIONS_GAP, VERSIONS_WAIT, WATCH_MARGIN),
    ],
)
async def test_silence_of_one_watch_alone_is_noticed_within_its_bound(
    bound: Seconds, reserve: Seconds, gap: Seconds, wait: Seconds, margin: Seconds
) -> None:
    store = SilentConnection()
    clock = asyncio.get_running_loop().time
    watch = KindWatch(
        store,  # type: ignore[arg-type]
        "config",
        NullHandler(),
        gap,
        wait,
        lambda: 1,
        clock,
        margin=margin,
    )
    watch.set_enabled(True)
    running = asyncio.create_task(watch.run())
    for phase in range(8):
        store.silent = False
        await asyncio.sleep(3.0 + phase * 0.13)
        store.silent = True
        silent_since = clock()
        while store.answered_at <= silent_since:
            await asyncio.sleep(0.01)
        assert store.answered_at - silent_since < bound - reserve
    running.cancel()
