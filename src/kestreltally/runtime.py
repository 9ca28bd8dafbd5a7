"""The outer side of a daemon's tables: runs the ticks and carries orders out.

Nothing is decided here. Each order becomes a task over a port, and its result a
happening in the inbox, which wakes the next tick at once.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec
from result import Ok

from kestreltally.entities.configuration import (
    CONFIG_PREFIX,
    ConfigObject,
    EndpointKind,
    MalformedObject,
    read_config_object,
)
from kestreltally.entities.endpoints import LeaderRecord
from kestreltally.entities.ids import AttemptId, EndpointId, Seconds, VmId
from kestreltally.entities.permits import Want
from kestreltally.invariants import InvariantBroken
from kestreltally.orders import (
    ClaimEnded,
    ClaimEndpoint,
    ConfigArrived,
    FenceRaised,
    FetchReport,
    Happening,
    LeadersChanged,
    LeaderWasRead,
    LoadAdapter,
    LoadEnded,
    MessageArrived,
    Order,
    OrderOutcome,
    PermitUsed,
    RaiseFence,
    ReadLeader,
    ReportFetched,
    SendMessage,
    UnloadAdapter,
    UnloadEnded,
    UseEnd,
    VmsListed,
    WantAdded,
    WantAnswer,
    WantDropped,
    WantGranted,
)
from kestreltally.peers.messages import Envelope, PeerMessage
from kestreltally.ports import (
    AnswerLost,
    EngineClient,
    ObjectApi,
    ObjectApiDown,
    PeerTransport,
    PlatformError,
    ServiceClient,
    StoredObject,
    VmList,
)
from kestreltally.systems.configuration import is_watcher
from kestreltally.systems.everything import SYSTEMS
from kestreltally.systems.registry import run_step
from kestreltally.world import World

LOG = logging.getLogger("kestreltally.runtime")
LEADER_PREFIX: Final = "leader/"
RETRY_FIRST: Final[Seconds] = 0.2
RETRY_MOST: Final[Seconds] = 5.0
READ_BACK_TRIES: Final = 5
CANCEL_AGAIN_AFTER: Final[Seconds] = 0.1
# A timer may fire a little early; then the tick is due all the same.
TICK_SLACK: Final[Seconds] = 0.001
NO_ATTEMPT: Final = AttemptId("")
WATCH_DUTY_CHECK: Final[Seconds] = 0.5
WATCH_CONFIRM_WAIT: Final[Seconds] = 1.0


@dataclass(frozen=True)
class Ports:
    """Everything outside the daemon."""

    objects: ObjectApi
    vms: VmList
    engines: EngineClient
    services: ServiceClient
    peers: PeerTransport


@dataclass(frozen=True)
class LeaderValue:
    """The plain form of a leader record in the object API."""

    leader: str
    incarnation: int
    epoch: int
    change: str


def read_leader_record(stored: StoredObject) -> LeaderRecord | None:
    """Return the leader record in a stored object, or none if there is none."""
    if stored.version == 0 or stored.value is None:
        return None
    try:
        value = msgspec.convert(stored.value, LeaderValue)
    except msgspec.ValidationError as error:
        LOG.error("runtime: leader record %s cannot be read: %s", stored.key, error)
        return None
    return LeaderRecord(
        endpoint=EndpointId(stored.key.removeprefix(LEADER_PREFIX)),
        leader=VmId(value.leader),
        incarnation=value.incarnation,
        epoch=value.epoch,
        change=value.change,
        version=stored.version,
    )


def read_config_objects(stored: Iterable[StoredObject]) -> tuple[ConfigObject, ...]:
    """Return the readable objects; the others are logged and left as they were."""
    objects = []
    for each in stored:
        try:
            objects.append(read_config_object(each.key, each.value, each.revision))
        except MalformedObject as error:
            LOG.error("runtime: configuration left out: %s", error)
    return tuple(objects)


class Runtime:
    """One daemon: its tables, its ports and its tick."""

    def __init__(self, world: World, ports: Ports) -> None:
        assert SYSTEMS
        self.world = world
        self.ports = ports
        self.broken: InvariantBroken | None = None
        self.failed = asyncio.Event()
        self._next_tick_at = 0.0
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting: dict[str, asyncio.Future[WantAnswer]] = {}
        self._executors: dict[type[Any], Callable[[Any], Coroutine[Any, Any, None]]] = {
            ReadLeader: self._read_leader,
            ClaimEndpoint: self._claim_endpoint,
            RaiseFence: self._raise_fence,
            LoadAdapter: self._load_adapter,
            UnloadAdapter: self._unload_adapter,
            FetchReport: self._fetch_report,
        }

    def clock(self) -> Seconds:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()

    # Ticks

    def start(self) -> None:
        """Start the tick and the reading of the platform's services."""
        for work in (
            self._run_ticks(),
            self._watch_config(),
            self._watch_leaders(),
            self._poll_vm_list(),
        ):
            self._spawn(work)

    async def stop(self) -> None:
        """End all tasks."""
        # Python 3.11's wait_for can swallow a cancellation, so it is repeated.
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_AGAIN_AFTER)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        """Forget a task; log it if it failed, for nobody awaits it."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            LOG.error("runtime: a task failed: %r", error, exc_info=error)
            self.failed.set()

    def post(self, happening: Happening) -> None:
        """Put a happening into the inbox and wake the tick."""
        self.world.inbox.append(happening)
        self._wake.set()

    async def _run_ticks(self) -> None:
        # A timer that sets the event costs less than ``wait_for``, and cannot
        # swallow a cancellation as that does in Python 3.11.
        loop = asyncio.get_running_loop()
        while True:
            timer = loop.call_at(self._next_tick_at, self._wake.set)
            await self._wake.wait()
            timer.cancel()
            self._wake.clear()
            self.step()

    def step(self) -> None:
        """Run one tick and carry its orders out."""
        now = self.clock()
        woken = now < self._next_tick_at - TICK_SLACK
        if not woken:
            self._next_tick_at = now + self.world.settings.timing.tick
        try:
            run_step(self.world, now, woken)
        except InvariantBroken as broken:
            self.broken = self.broken or broken
            raise
        self._carry_out()
        self._answer_wants()

    def _carry_out(self) -> None:
        orders, self.world.outbox = self.world.outbox, []
        batches: dict[tuple[str, int], list[PeerMessage]] = defaultdict(list)
        for order in orders:
            if isinstance(order, SendMessage):
                batches[(order.host, order.port)].append(order.message)
            else:
                self._spawn(self._execute(order))
        for (host, port), messages in batches.items():
            self._spawn(self._send(host, port, messages))

    async def _execute(self, order: Order) -> None:
        await self._executors[type(order)](order)

    def _answer_wants(self) -> None:
        answers, self.world.entry.answers = self.world.entry.answers, []
        for answer in answers:
            future = self._waiting.pop(answer.want, None)
            if future is not None and not future.done():
                future.set_result(answer)

    # Peers

    async def _send(self, host: str, port: int, messages: list[PeerMessage]) -> None:
        envelope = Envelope(
            sender=self.world.identity.vm,
            incarnation=self.world.identity.incarnation,
            stamp=self.world.events.stamp(),
            messages=tuple(messages),
        )
        await self.ports.peers.send(host, port, envelope)

    def receive(self, envelope: Envelope) -> None:
        """Take messages of a peer in."""
        self.world.events.observe(envelope.stamp)
        for message in envelope.messages:
            arrived = MessageArrived(
                sender=envelope.sender,
                incarnation=envelope.incarnation,
                message=message,
            )
            self.world.inbox.append(arrived)
        self._wake.set()

    # Requests

    async def acquire(self, want: Want) -> WantAnswer:
        """Wait until a request may run or is refused."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[want.want] = future
        self.post(WantAdded(want=want))
        try:
            answer: WantAnswer = await future
            return answer
        except asyncio.CancelledError:
            self.give_up(want.want, future)
            raise

    def give_up(self, want: str, future: "asyncio.Future[WantAnswer]") -> None:
        """Forget a request whose caller is gone; return a permit that came late."""
        self._waiting.pop(want, None)
        self.post(WantDropped(want=want))
        if future.done() and not future.cancelled():
            answer = future.result()
            if isinstance(answer, WantGranted):
                self.release_unused(answer)

    def release_unused(self, granted: WantGranted) -> None:
        """Return the place of a permit that no request was started under."""
        permit = granted.permit.permit
        self.post(PermitUsed(permit=permit, attempt=NO_ATTEMPT, end=UseEnd.ENDED))

    # The object API

    async def _read_leader(self, order: ReadLeader) -> None:
        asked_at = self.clock()
        record, failed = None, False
        try:
            stored = await self.ports.objects.read(LEADER_PREFIX + order.endpoint)
            record = read_leader_record(stored)
        except PlatformError:
            failed = True
        self.post(
            LeaderWasRead(
                endpoint=order.endpoint,
                record=record,
                asked_at=asked_at,
                failed=failed,
            )
        )

    async def _claim_endpoint(self, order: ClaimEndpoint) -> None:
        claimed_at = self.clock()
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
            result = await self.ports.objects.write(key, plain, order.expected_version)
            stored = (
                result.ok_value if isinstance(result, Ok) else result.err_value.current
            )
        except ObjectApiDown:
            stored = None
        except AnswerLost:
            stored = await self._read_back(key)
        current = read_leader_record(stored) if stored is not None else None
        won = current is not None and current.change == record.change
        self.post(
            ClaimEnded(
                endpoint=record.endpoint,
                won=won,
                record=current,
                claimed_at=claimed_at,
            )
        )

    async def _read_back(self, key: str) -> StoredObject | None:
        """Read what a write with a lost answer left; none if it cannot be read."""
        for _ in range(READ_BACK_TRIES):
            try:
                return await self.ports.objects.read(key)
            except PlatformError:
                await asyncio.sleep(RETRY_FIRST)
        return None

    def _jitter(self, wait: Seconds) -> Seconds:
        return wait * self.world.random.uniform(0.5, 1.5)

    async def _watch_config(self) -> None:
        """Keep the configuration up to date while that is this daemon's duty."""
        wait = RETRY_FIRST
        listed = 0
        while True:
            if listed and not is_watcher(self.world):
                await asyncio.sleep(WATCH_DUTY_CHECK)
                continue
            try:
                listed = await self._read_config(listed)
                wait = RETRY_FIRST
            except PlatformError as error:
                LOG.warning("runtime: configuration cannot be watched: %s", error)
                await asyncio.sleep(self._jitter(wait))
                wait = min(wait * 2, RETRY_MOST)

    async def _read_config(self, listed: int) -> int:
        """List or watch once; return the object API's revision reached."""
        asked_at = self.clock()
        first = listed == 0
        if first:
            listing = await self.ports.objects.list(CONFIG_PREFIX)
        else:
            listing = await self.ports.objects.watch(
                CONFIG_PREFIX,
                listed,
                WATCH_CONFIRM_WAIT,
            )
        # A watch that ends with nothing speaks for its end, not for its beginning.
        quiet = not first and not listing.objects
        confirmed_at = asked_at + WATCH_CONFIRM_WAIT if quiet else asked_at
        revisions = [each.revision for each in listing.objects]
        known = self.world.config.revision
        self.post(
            ConfigArrived(
                after=0 if first else min(known, listed),
                revision=max([*revisions, known]),
                whole=first,
                objects=read_config_objects(listing.objects),
                confirmed_at=min(confirmed_at, self.clock()),
            )
        )
        return max(listing.revision, 1)

    async def _watch_leaders(self) -> None:
        wait = RETRY_FIRST
        seen = 0
        while True:
            try:
                seen = await self._read_leaders(seen)
                wait = RETRY_FIRST
            except PlatformError as error:
                LOG.warning("runtime: leaders cannot be watched: %s", error)
                await asyncio.sleep(self._jitter(wait))
                wait = min(wait * 2, RETRY_MOST)

    async def _read_leaders(self, seen: int) -> int:
        if seen == 0:
            listing = await self.ports.objects.list(LEADER_PREFIX)
        else:
            platform = self.world.settings.platform
            listing = await self.ports.objects.watch(
                LEADER_PREFIX,
                seen,
                platform.watch_wait,
            )
        records = [read_leader_record(each) for each in listing.objects]
        found = tuple(record for record in records if record is not None)
        if found:
            self.post(LeadersChanged(records=found))
        return max(listing.revision, 1)

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                self.post(VmsListed(vms=await self.ports.vms.fetch()))
            except PlatformError as error:
                LOG.warning("runtime: VM list cannot be read: %s", error)
            period = self.world.settings.platform.vm_list_period
            await asyncio.sleep(self._jitter(period))

    # Endpoints

    def _url(self, endpoint: EndpointId) -> str | None:
        spec = self.world.config.endpoints.get(endpoint)
        return spec.url if spec is not None else None

    async def _within_order_timeout(
        self,
        work: Coroutine[Any, Any, OrderOutcome],
    ) -> OrderOutcome:
        try:
            timeout = self.world.settings.timing.order_timeout
            return await asyncio.wait_for(work, timeout)
        except TimeoutError:
            return OrderOutcome.UNKNOWN

    async def _raise_fence(self, order: RaiseFence) -> None:
        asked_at = self.clock()
        url = self._url(order.endpoint)
        if url is None:
            return
        outcome = await self._within_order_timeout(
            self.ports.engines.raise_fence(url, order.epoch)
        )
        self.post(
            FenceRaised(
                endpoint=order.endpoint,
                epoch=order.epoch,
                outcome=outcome,
                asked_at=asked_at,
            )
        )

    async def _load_adapter(self, order: LoadAdapter) -> None:
        url = self._url(order.endpoint)
        outcome = OrderOutcome.FAILED
        if url is not None:
            outcome = await self._within_order_timeout(
                self.ports.engines.load(url, order.adapter, order.epoch)
            )
        self.post(
            LoadEnded(
                load=order.load,
                endpoint=order.endpoint,
                adapter=order.adapter,
                epoch=order.epoch,
                outcome=outcome,
            )
        )

    async def _unload_adapter(self, order: UnloadAdapter) -> None:
        url = self._url(order.endpoint)
        if url is None:
            return
        outcome = await self._within_order_timeout(
            self.ports.engines.unload(url, order.adapter, order.epoch)
        )
        self.post(
            UnloadEnded(
                endpoint=order.endpoint,
                adapter=order.adapter,
                epoch=order.epoch,
                outcome=outcome,
            )
        )

    async def _fetch_report(self, order: FetchReport) -> None:
        spec = self.world.config.endpoints.get(order.endpoint)
        if spec is None:
            return
        engine = spec.kind is EndpointKind.ENGINE
        client = self.ports.engines if engine else self.ports.services
        asked_at = self.clock()
        report = await client.report(order.endpoint, spec.url)
        if report is not None:
            report = replace(report, composed_at=min(report.composed_at, asked_at))
        self.post(ReportFetched(endpoint=order.endpoint, report=report))
