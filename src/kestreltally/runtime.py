"""The runtime around a daemon's tables: runs the ticks and executes orders.

It makes no decisions. Each order becomes a task that calls a port; its result becomes
an event in the inbox, which starts the next tick immediately.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Final

from kestreltally.entities.configuration import (
    EndpointKind,
)
from kestreltally.entities.ids import AttemptId, EndpointId, Seconds
from kestreltally.entities.permits import Waiter
from kestreltally.objectapi.watches import PlatformWatches
from kestreltally.orders import (
    ClaimEndpoint,
    FenceRaised,
    FetchReport,
    LoadAdapter,
    LoadEnded,
    MessageArrived,
    Order,
    OrderOutcome,
    OutsideEvent,
    PermitUsed,
    RaiseFence,
    ReadLeader,
    ReportFetched,
    SendMessage,
    UnloadAdapter,
    UnloadEnded,
    UseEnd,
    WaiterAdded,
    WaiterAnswer,
    WaiterDropped,
    WaiterGranted,
)
from kestreltally.peers.messages import Envelope, PeerMessage
from kestreltally.ports import (
    EngineClient,
    ObjectApi,
    PeerTransport,
    ServiceClient,
    VmList,
)
from kestreltally.systems.catalog import SYSTEMS
from kestreltally.systems.registry import run_step
from kestreltally.world import World

LOG = logging.getLogger("kestreltally.runtime")
CANCEL_RETRY_INTERVAL: Final[Seconds] = 0.1
# A timer may fire slightly early; the tick still counts as due.
TICK_SLACK: Final[Seconds] = 0.001
NO_ATTEMPT: Final = AttemptId("")


@dataclass(frozen=True)
class Ports:
    """Everything outside the daemon."""

    objects: ObjectApi
    vms: VmList
    engines: EngineClient
    services: ServiceClient
    peers: PeerTransport


class Runtime:
    """One daemon: its tables, its ports and its tick."""

    def __init__(self, world: World, ports: Ports) -> None:
        assert SYSTEMS
        self.world = world
        self.ports = ports
        self.failed = asyncio.Event()
        self._next_tick_at = 0.0
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting: dict[str, asyncio.Future[WaiterAnswer]] = {}
        self._watches = PlatformWatches(
            world=world,
            objects=ports.objects,
            vms=ports.vms,
            post=self.post,
            clock=self.clock,
        )
        self._executors: dict[type[Any], Callable[[Any], Coroutine[Any, Any, None]]] = {
            ReadLeader: self._watches.read_leader,
            ClaimEndpoint: self._watches.claim_endpoint,
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
        """Start the ticks and the watches on the platform's services."""
        for work in (
            self._run_ticks(),
            self._watches.watch_config(),
            self._watches.watch_leaders(),
            self._watches.poll_vm_list(),
        ):
            self._spawn(work)

    async def stop(self) -> None:
        """End all tasks."""
        # Python 3.11's wait_for can swallow a cancellation, so tasks are cancelled
        # again until they end.
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_RETRY_INTERVAL)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task; log its error, because no one awaits it."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            LOG.error("runtime: a task failed: %r", error, exc_info=error)
            self.failed.set()

    def post(self, event: OutsideEvent) -> None:
        """Put an event into the inbox and wake the tick."""
        self.world.inbox.append(event)
        self._wake.set()

    async def _run_ticks(self) -> None:
        # A timer that sets the event costs less than ``wait_for``, and unlike it cannot
        # swallow a cancellation in Python 3.11.
        loop = asyncio.get_running_loop()
        while True:
            timer = loop.call_at(self._next_tick_at, self._wake.set)
            await self._wake.wait()
            timer.cancel()
            self._wake.clear()
            self.step()

    def step(self) -> None:
        """Run one tick and execute its orders."""
        now = self.clock()
        woken = now < self._next_tick_at - TICK_SLACK
        if not woken:
            self._next_tick_at = now + self.world.settings.timing.tick
        run_step(self.world, now, woken)
        self._execute_orders()
        self._resolve_waiters()

    def _execute_orders(self) -> None:
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

    def _resolve_waiters(self) -> None:
        answers, self.world.entry.answers = self.world.entry.answers, []
        for answer in answers:
            future = self._waiting.pop(answer.waiter, None)
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
        """Put the messages of a peer into the inbox."""
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

    async def acquire(self, waiter: Waiter) -> WaiterAnswer:
        """Wait until a request is granted a permit or refused."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[waiter.waiter] = future
        self.post(WaiterAdded(waiter=waiter))
        try:
            answer: WaiterAnswer = await future
            return answer
        except asyncio.CancelledError:
            self.abandon(waiter.waiter, future)
            raise

    def abandon(self, waiter: str, future: "asyncio.Future[WaiterAnswer]") -> None:
        """Remove a request whose caller has left; return a permit granted too late."""
        self._waiting.pop(waiter, None)
        self.post(WaiterDropped(waiter=waiter))
        if future.done() and not future.cancelled():
            answer = future.result()
            if isinstance(answer, WaiterGranted):
                self.release_unused(answer)

    def release_unused(self, granted: WaiterGranted) -> None:
        """Release a permit under which no request was started."""
        permit = granted.permit.permit
        self.post(PermitUsed(permit=permit, attempt=NO_ATTEMPT, end=UseEnd.ENDED))

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
