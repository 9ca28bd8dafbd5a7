"""Leases: one holder at a time can order, separated from the former holder."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from kestreltally.deployment import SocketAddress
from kestreltally.placing.lease import (
    MAX_ORDER_TRANSIT,
    TAKEOVER_DELAY,
    TAKEOVER_JITTER,
    VALIDITY,
    Lease,
)
from kestreltally.placing.leasemonitor import READ_INTERVAL, LeaseMonitor
from kestreltally.platform.store import (
    UNKNOWN_ERA,
    Conflict,
    Listing,
    Revision,
    StaleEra,
    StoredObject,
    StoreError,
)

pytestmark = pytest.mark.looptime

HOLDER_GAP = 3.0
# From the last fault until a daemon orders: the takeover delay, the validity and the
# holder gap, with the intervals between reads.
RECOVERY_TIME = 20.0
DATA_CENTRE = "north"


class FakeStore:
    """Objects of one kind with revisions, shared by all views."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.number = 0
        self.era = 0
        self._backup: tuple[dict[str, StoredObject], int] = ({}, 0)

    def take_backup(self) -> None:
        """Take a backup."""
        self._backup = dict(self.objects), self.number

    def restore(self, writes_since: int = 0) -> None:
        """Restore the last backup, with some writes by others since."""
        objects, self.number = self._backup
        self.number += writes_since
        self.era += 1
        self.objects = {
            name: replace(each, revision=Revision(self.era, each.revision.number))
            for name, each in objects.items()
        }


class StoreView:
    """A daemon's connection to the store, with its own faults."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.down = False
        self.drops_answers = False
        self.latency = 0.004
        self.era = UNKNOWN_ERA
        self.restored_at = float("-inf")
        self.calls = 0

    def _record_era(self) -> None:
        if self.era not in (UNKNOWN_ERA, self._store.era):
            self.restored_at = asyncio.get_running_loop().time()
        self.era = self._store.era

    async def _call(self) -> None:
        was_down = self.down
        self.calls += 1
        await asyncio.sleep(self.latency)
        if self.down or was_down:
            raise StoreError("down")
        self._record_era()

    async def list_objects(self, kind: str) -> Listing:
        await self._call()
        revision = Revision(self._store.era, self._store.number)
        return Listing(tuple(self._store.objects.values()), revision)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        await self._call()
        return self._store.objects.get(name)

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        await self._call()
        if name in self._store.objects:
            raise Conflict(self._store.objects[name])
        return self._write(name, content)

    async def replace(
        self, kind: str, name: str, revision: Revision, content: Any
    ) -> StoredObject:
        if revision.era != self.era:
            raise StaleEra("before")
        await self._call()
        current = self._store.objects.get(name)
        # The store compares numbers only, as it is not sent the era.
        if current is None or current.revision.number != revision.number:
            raise Conflict(current)
        written = self._write(name, content)
        if revision.era != self._store.era:
            raise StaleEra("meanwhile")
        return written

    def _write(self, name: str, content: Any) -> StoredObject:
        self._store.number += 1
        revision = Revision(self._store.era, self._store.number)
        written = StoredObject(name, revision, content)
        self._store.objects[name] = written
        if self.drops_answers:
            raise StoreError("answer lost")
        return written


@dataclass
class Candidate:
    """A daemon that competes for the lease."""

    vm: str
    view: StoreView
    lease: Lease
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        monitor = LeaseMonitor(
            self.view,  # type: ignore[arg-type]
            {DATA_CENTRE: self.lease},
            lambda lease: not lease.leads,
        )
        self.tasks = [
            asyncio.create_task(self.lease.run()),
            asyncio.create_task(monitor.run()),
        ]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.lease.leads = False


def make_candidate(store: FakeStore, vm: str, boot: str = "") -> Candidate:
    view = StoreView(store)
    lease = Lease(
        view,  # type: ignore[arg-type]
        vm,
        boot or f"{vm}-boot",
        SocketAddress("127.0.0.1", 1),
        HOLDER_GAP,
        asyncio.get_running_loop().time,
        DATA_CENTRE,
        TAKEOVER_DELAY,
    )
    return Candidate(vm, view, lease)


async def wait_until_ordering(candidate: Candidate, limit: float) -> float:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not candidate.lease.can_order():
        await asyncio.sleep(0.01)
        assert loop.time() - started_at < limit, f"{candidate.vm} cannot order"
    return loop.time() - started_at


async def test_the_first_daemon_may_order_at_once() -> None:
    first = make_candidate(FakeStore(), "a")
    first.start()
    elapsed = await wait_until_ordering(first, 1.0)
    assert elapsed < TAKEOVER_JITTER + READ_INTERVAL + 0.05
    assert first.lease.fence == 1


async def test_a_holder_without_the_store_stops_within_its_validity() -> None:
    holder = make_candidate(FakeStore(), "a")
    holder.start()
    await wait_until_ordering(holder, 1.0)
    holder.view.down = True
    await asyncio.sleep(VALIDITY)
    assert not holder.lease.can_order()


async def test_holder_continues_when_the_store_recovers_without_a_takeover() -> None:
    holder = make_candidate(FakeStore(), "a")
    holder.start()
    await wait_until_ordering(holder, 1.0)
    holder.view.down = True
    await asyncio.sleep(20.0)
    holder.view.down = False
    assert await wait_until_ordering(holder, 1.0) < 0.5
    assert holder.lease.fence == 1


async def test_a_successor_waits_for_the_former_holders_last_possible_order() -> None:
    store = FakeStore()
    former, successor = make_candidate(store, "a"), make_candidate(store, "b")
    former.start()
    await wait_until_ordering(former, 1.0)
    successor.start()
    await asyncio.sleep(1.0)
    former.kill()
    elapsed = await wait_until_ordering(successor, 15.0)
    assert elapsed >= HOLDER_GAP + MAX_ORDER_TRANSIT
    assert successor.lease.fence == 2


async def test_released_lease_costs_only_the_holder_gap() -> None:
    store = FakeStore()
    former, successor = make_candidate(store, "a"), make_candidate(store, "b")
    former.start()
    await wait_until_ordering(former, 1.0)
    successor.start()
    await former.lease.release()
    former.kill()
    elapsed = await wait_until_ordering(successor, 15.0)
    assert HOLDER_GAP <= elapsed < HOLDER_GAP + MAX_ORDER_TRANSIT + 1.0


async def test_a_lease_is_released_while_a_renewal_is_on_its_way() -> None:
    store = FakeStore()
    former = make_candidate(store, "a")
    former.start()
    await wait_until_ordering(former, 1.0)
    renewing = asyncio.create_task(former.lease._renew())
    await asyncio.sleep(former.view.latency / 2)
    await former.lease.release()
    former.kill()
    renewing.cancel()
    assert store.objects[DATA_CENTRE].content["released"]


async def wait_until_resigning(
    holder: Candidate, remote_renewed_at: float | None = None
) -> float:
    """Poll as a daemon does until the holder should resign; return the elapsed time.

    Others read the store continuously, and renew too unless ``remote_renewed_at`` is
    given as the time of their last renewal.
    """
    clock = asyncio.get_running_loop().time
    started_at = clock()
    while clock() - started_at < 20.0:
        renewed_at = clock() if remote_renewed_at is None else remote_renewed_at
        if holder.lease.should_resign(renewed_at, remote_read_at=clock()):
            return clock() - started_at
        await asyncio.sleep(0.1)
    raise AssertionError("never resigned")


async def test_successor_of_a_resigned_holder_skips_the_validity_wait() -> None:
    store = FakeStore()
    former, successor = make_candidate(store, "a"), make_candidate(store, "b")
    former.start()
    await wait_until_ordering(former, 1.0)
    successor.start()
    former.view.down = True
    assert await wait_until_resigning(former) < VALIDITY - 0.5
    successor.lease.record_resigned(former.lease.resign())
    assert not former.lease.can_order()
    elapsed = await wait_until_ordering(successor, 15.0)
    assert HOLDER_GAP <= elapsed < HOLDER_GAP + MAX_ORDER_TRANSIT + 1.0


async def test_a_holder_does_not_resign_when_the_store_is_down_for_all() -> None:
    # Otherwise all leaders would resign during an outage and wait after the recovery.
    store = FakeStore()
    first, other = make_candidate(store, "a"), make_candidate(store, "b")
    other.lease.data_centre = "south"
    first.start()
    await wait_until_ordering(first, 1.0)
    for phase in range(7):
        await asyncio.sleep(0.1)
        last_answer = asyncio.get_running_loop().time()
        first.view.down = True
        await asyncio.sleep(5.5)
        assert not first.lease.should_resign(last_answer), phase
        first.view.down = False
        await asyncio.sleep(1.0)


async def test_no_holder_resigns_as_the_store_returns_to_all() -> None:
    # Guards against a failure after an outage of the store of 8 s: another holder's
    # renewal succeeded first, and two of five holders resigned before they had retried
    # their own.
    store = FakeStore()
    first = make_candidate(store, "a")
    first.start()
    await wait_until_ordering(first, 1.0)
    clock = asyncio.get_running_loop().time
    for phase in range(12):
        others_answered_at = clock()
        first.view.latency = 0.6
        first.view.down = True
        await asyncio.sleep(8.0 + 0.07 * phase)
        first.view.down = False
        first.view.latency = 0.004
        for _ in range(20):
            assert not first.lease.should_resign(others_answered_at), phase
            await asyncio.sleep(0.1)
            others_answered_at = clock()


async def test_cut_off_holder_resigns_though_all_holders_are_cut_off() -> None:
    # Guards against a failure in which all three leaders were cut off from the store
    # and learned of its answers only from each other, while their followers could read
    # it.
    store = FakeStore()
    first = make_candidate(store, "a")
    first.start()
    await wait_until_ordering(first, 1.0)
    first.view.down = True
    local_read_at = asyncio.get_running_loop().time()
    elapsed = await wait_until_resigning(first, remote_renewed_at=local_read_at)
    assert elapsed < VALIDITY - 1.0
    now = asyncio.get_running_loop().time()
    # If own reads are answered, the store merely accepts no writes.
    assert not first.lease.should_resign(
        local_read_at, remote_read_at=now, local_read_at=now
    )


async def test_a_daemon_restarted_on_its_vm_need_not_wait() -> None:
    store = FakeStore()
    former = make_candidate(store, "a", "boot-1")
    former.start()
    await wait_until_ordering(former, 1.0)
    former.kill()
    restarted = make_candidate(store, "a", "boot-2")
    restarted.start()
    assert await wait_until_ordering(restarted, 5.0) < 1.0
    assert restarted.lease.fence == 2


async def test_order_wait_is_unknown_after_lease_expiry() -> None:
    # Guards against announcing a short load wait while no load can be ordered.
    holder = make_candidate(FakeStore(), "a")
    holder.start()
    await wait_until_ordering(holder, 1.0)
    assert holder.lease.compute_order_wait() == 0.0
    holder.view.down = True
    await asyncio.sleep(VALIDITY + 0.1)
    assert holder.lease.leads
    assert holder.lease.compute_order_wait() is None
    holder.view.down = False
    await asyncio.sleep(1.5)
    assert holder.lease.compute_order_wait() == 0.0
    holder.kill()


async def test_restart_during_the_holder_gap_keeps_waiting() -> None:
    store = FakeStore()
    former = make_candidate(store, "a")
    former.start()
    await wait_until_ordering(former, 1.0)
    former.kill()
    second = make_candidate(store, "b", "boot-1")
    second.start()
    while not second.lease.leads:
        await asyncio.sleep(0.01)
    waits = second.lease.compute_order_wait()
    assert waits is not None
    second.kill()
    restarted = make_candidate(store, "b", "boot-2")
    restarted.start()
    assert await wait_until_ordering(restarted, 15.0) >= waits - 0.8


async def test_own_write_with_a_lost_answer_is_recognised() -> None:
    holder = make_candidate(FakeStore(), "a")
    holder.start()
    await wait_until_ordering(holder, 1.0)
    holder.view.drops_answers = True
    await asyncio.sleep(1.0)
    holder.view.drops_answers = False
    assert await wait_until_ordering(holder, 2.0) < 1.0
    assert holder.lease.fence == 1


async def test_holder_continues_after_a_store_restore() -> None:
    store = FakeStore()
    holder = make_candidate(store, "a")
    holder.start()
    await wait_until_ordering(holder, 1.0)
    for _ in range(3):
        store.take_backup()
        await asyncio.sleep(2.5)
        store.restore()
        calls = holder.view.calls
        for _ in range(40):
            await asyncio.sleep(0.05)
            assert holder.lease.can_order()
        assert holder.view.calls - calls < 10
    assert holder.lease.fence == 1


async def test_fence_lost_by_a_restore_is_not_reused() -> None:
    store = FakeStore()
    first, second = make_candidate(store, "a"), make_candidate(store, "b")
    first.start()
    await wait_until_ordering(first, 1.0)
    store.take_backup()
    first.kill()
    second.start()
    await wait_until_ordering(second, 15.0)
    lost = second.lease.fence
    second.kill()
    store.restore()
    # The third daemon only knows the backup, in which the first one holds the lease.
    third = make_candidate(store, "c")
    third.start()
    stopped_at = asyncio.get_running_loop().time()
    await wait_until_ordering(third, 20.0)
    assert third.lease.fence > lost
    # The second daemon's last order may have been sent this late.
    elapsed = asyncio.get_running_loop().time() - stopped_at
    assert elapsed >= VALIDITY + HOLDER_GAP


async def test_restarted_former_holder_does_not_claim_a_restored_record() -> None:
    store = FakeStore()
    first, second = make_candidate(store, "a"), make_candidate(store, "b")
    first.start()
    await wait_until_ordering(first, 1.0)
    store.take_backup()
    first.kill()
    second.start()
    await wait_until_ordering(second, 15.0)
    second.view.down = True
    store.restore()
    restarted = make_candidate(store, "a", "boot-2")
    restarted.start()
    ordered_at = 0.0
    for _ in range(2_000):
        await asyncio.sleep(0.01)
        assert not (restarted.lease.can_order() and second.lease.can_order())
        if second.lease.can_order():
            ordered_at = asyncio.get_running_loop().time()
        elif restarted.lease.can_order():
            assert asyncio.get_running_loop().time() - ordered_at >= HOLDER_GAP


FAULTS = ("down", "up", "lose", "restart", "slow", "resign")
FAULTS_WITH_RESTORES = (*FAULTS, "keep", "come back")


@pytest.mark.parametrize("seed", range(6))
async def test_holders_are_separated_and_fences_increase_under_random_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, highest = await run_with_faults(seed, FAULTS, monkeypatch)
    assert highest > 1


@pytest.mark.parametrize("seed", range(12))
async def test_holders_are_separated_across_store_restores(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    daemons, _ = await run_with_faults(seed, FAULTS_WITH_RESTORES, monkeypatch)
    for daemon in daemons:
        daemon.view.down = daemon.view.drops_answers = False
        daemon.view.latency = 0.004
    # The next holder waits for holders that a restore may have lost, and then orders.
    await asyncio.sleep(RECOVERY_TIME)
    assert any(each.lease.can_order() for each in daemons)


async def run_with_faults(
    seed: int, faults: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> tuple[list[Candidate], int]:
    """Inject random faults in four daemons; return them and the highest fence."""
    # The leases' own random numbers depend on the seed too.
    monkeypatch.setattr("kestreltally.placing.lease.random", Random(seed))
    monkeypatch.setattr("kestreltally.placing.leasemonitor.random", Random(seed))
    random = Random(seed)
    store = FakeStore()
    daemons = [make_candidate(store, vm) for vm in "abcd"]
    for daemon in daemons:
        daemon.start()
    loop = asyncio.get_running_loop()
    last: dict[str, float] = {}
    highest = 0
    for step in range(2_000):
        await asyncio.sleep(0.02)
        ordering = [each for each in daemons if each.lease.can_order()]
        assert len(ordering) <= 1
        for each in ordering:
            others = [at for vm, at in last.items() if vm != each.vm]
            assert all(loop.time() - at >= HOLDER_GAP for at in others), (seed, step)
            assert each.lease.fence >= highest
            highest = each.lease.fence
            last[each.vm] = loop.time()
        if random.random() < 0.02:
            _inject_fault(random, store, daemons, faults)
    return daemons, highest


def _inject_fault(
    random: Random,
    store: FakeStore,
    daemons: list[Candidate],
    faults: tuple[str, ...],
) -> None:
    at = random.randrange(len(daemons))
    daemon = daemons[at]
    fault = random.choice(faults)
    if fault == "keep":
        store.take_backup()
    elif fault == "come back":
        # A few seconds of writes are lost at most, and others' writes raise the
        # revision number.
        store.restore(random.choice([0, 0, 1, 2, 5, 50]))
        store.take_backup()
    elif fault == "restart":
        daemon.kill()
        daemons[at] = make_candidate(store, daemon.vm, f"boot-{random.random()}")
        daemons[at].start()
    elif fault == "resign" and daemon.lease.leads:
        fence = daemon.lease.resign()
        for other in daemons:
            if other is not daemon and random.random() < 0.7:
                other.lease.record_resigned(fence)
    else:
        daemon.view.down = fault == "down"
        daemon.view.drops_answers = fault == "lose"
        daemon.view.latency = 0.25 if fault == "slow" else 0.004
