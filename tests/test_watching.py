"""Tests how soon a daemon detects that the store does not answer."""

import asyncio

import pytest

from kestreltally.fleet.model import Seconds
from kestreltally.fleet_daemon import (
    CONFIGURATION_GAP,
    MAINTENANCE_INTERVAL,
    VERSIONS_GAP,
    VERSIONS_WAIT,
)
from kestreltally.knowledge import endpoints_age
from kestreltally.knowledge.configuration_age import MARGIN_FRACTION, WAIT_FRACTION
from kestreltally.knowledge.endpoints_age import (
    ENDPOINTS_GAP,
    ENDPOINTS_WAIT,
    MAX_PROOF_FRACTION,
)
from kestreltally.knowledge.feed import MAX_BATCH_DELAY, UPDATE_INTERVAL
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
# The fraction of a bound that is kept for busy machines.
RESERVE = 0.25
# A call to the store, or a frame between two daemons.
CALL_TIME = 0.05


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
        assert watch.compute_age() < ENDPOINTS_GAP + ENDPOINTS_WAIT + 0.05
        store.silent = True
        silent_since = clock()
        while watch.compute_age() < MAX_PROOF_FRACTION * DRAIN_BOUND:
            await asyncio.sleep(0.01)
        assert clock() - silent_since < (1.0 - RESERVE) * DRAIN_BOUND
    running.cancel()


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0])
def test_times_until_a_departure_is_known_leave_a_reserve(bound: Seconds) -> None:
    allowed = (1.0 - RESERVE) * bound
    margin = min(WATCH_MARGIN, endpoints_age.MARGIN_FRACTION * bound)
    told = MAX_BATCH_DELAY + CALL_TIME
    # By one leader whose connection falls silent in the pause between two calls.
    silent = ENDPOINTS_GAP + ENDPOINTS_WAIT + margin + CALL_TIME
    assert silent + told <= allowed
    # By another leader, which tells this daemon's own.
    assert ENDPOINTS_GAP + CALL_TIME + 2 * told <= allowed
    # By this daemon itself, once the proofs are too old.
    assert MAX_PROOF_FRACTION * bound + MAINTENANCE_INTERVAL + CALL_TIME <= allowed
    # Proofs that come in time are younger, also where a leader relies on another one.
    hop = UPDATE_INTERVAL + MAX_BATCH_DELAY
    usual = ENDPOINTS_GAP + ENDPOINTS_WAIT + CALL_TIME + 2 * hop
    assert usual <= MAX_PROOF_FRACTION * bound


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
