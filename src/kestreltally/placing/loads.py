"""Executes the leader's plans: orders unloads and loads, and polls until they end."""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import Endpoint, Seconds, WeightsKey
from kestreltally.fleet.notices import Unavailable
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.enginestate import MAX_UNANSWERED_CALLS, EngineState
from kestreltally.placing.orders import (
    EngineClient,
    EngineUnreachable,
    EngineUnresponsive,
    OrderNotAllowed,
)
from kestreltally.placing.plans import Placement
from kestreltally.platform.engines import OrderKind, OrderOutcome

LOG = logging.getLogger("kestreltally.loads")

# The assumed load time before any load is measured, and the weight of a new measurement
# in the moving mean.
INITIAL_LOAD_TIME: Final[Seconds] = 0.25
LOAD_TIME_WEIGHT: Final = 0.1
# An adapter of which the engine keeps a copy loads in about 25 ms.
WARM_LOAD_TIME: Final[Seconds] = 0.02
# A load that took less than this fraction of the usual time came from a copy: such
# loads take a tenth of it, and their end is detected about 25 ms late. A load that took
# this multiple of the usual time or more gives no evidence of a copy: the engine was
# slow, or orders were lost.
QUICK_FRACTION: Final = 0.5
OUTLIER_FACTOR: Final = 2.0
# A load is first polled after this fraction of the shortest recent load time, then at
# this interval, and less often the longer it takes. With the mean instead, quick loads
# after slow ones would be detected as late as the slow ones for many loads.
FIRST_POLL_FRACTION: Final = 0.85
ASK_INTERVAL: Final[Seconds] = 0.025
POLL_BACKOFF_FRACTION: Final = 0.1
RECENT_LOADS: Final = 8
# A load whose end is not detected within this time is considered failed. A replacement
# waits for runs, so its time counts from the engine's last answer that it is under way.
LOAD_TIMEOUT: Final[Seconds] = 4.0
# The window over which the rate of completed loads is measured, and the maximum number
# of loads kept for it.
TURNOVER_WINDOW: Final[Seconds] = 2.0
MAX_TURNOVER_LOADS: Final = 256
# How long an engine that did not answer an order gets no further orders.
UNRESPONSIVE_PAUSE: Final[Seconds] = 0.2


class LoadOrigin(Enum):
    """The origin of an adapter, as far as known at the end of its load."""

    STORE = "store"
    COPY = "copy"
    # The engine was expected to keep a copy and did not.
    COPY_GONE = "copy_gone"
    # Another engine was expected to keep a copy, but it was busy or not led by this
    # daemon.
    COPY_ELSEWHERE = "copy_elsewhere"


class Loader:
    """Runs orders on engines, one task per engine at a time.

    ``placing`` holds the weights that are being placed, from the eviction to the order
    of the load. ``load_time`` is the moving mean of load times from the weight store.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: EngineClient,
        clock: Callable[[], Seconds],
        publish: Callable[[Endpoint], None],
        is_led: Callable[[EngineState], bool],
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._publish = publish
        self._is_led = is_led
        self.tasks: set[asyncio.Task[None]] = set()
        self.placing: set[WeightsKey] = set()
        self.load_time = INITIAL_LOAD_TIME
        self._recent_loads = deque([INITIAL_LOAD_TIME], maxlen=RECENT_LOADS)
        self._ended_at: deque[Seconds] = deque(maxlen=MAX_TURNOVER_LOADS)
        self.origins: Counter[LoadOrigin] = Counter()

    def compute_turnover(self) -> float:
        """Return the recent rate of completed loads per second, at least one."""
        now = self._clock()
        recent = sum(1 for at in self._ended_at if now - at < TURNOVER_WINDOW)
        return max(1.0, recent / TURNOVER_WINDOW)

    def start(self, state: EngineState, work: Coroutine[Any, Any, None]) -> None:
        """Start work on an engine and mark the engine as busy."""
        state.busy = True
        self._spawn(self._run_guarded(state, work))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_guarded(
        self, state: EngineState, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run a task on an engine; a missing answer requires a report before orders."""
        try:
            await work
        except EngineUnresponsive as error:
            now = self._clock()
            state.require_report(now)
            unreachable = isinstance(error, EngineUnreachable)
            state.unanswered_calls += MAX_UNANSWERED_CALLS if unreachable else 1
            state.failing_until = now + UNRESPONSIVE_PAUSE
            log_decision(
                LOG,
                Decision.ENGINE_SILENT,
                endpoint=state.endpoint.id,
                reason=str(error),
            )
        except (OrderNotAllowed, Unavailable):
            log_decision(LOG, Decision.ORDER_HELD_BACK)
        finally:
            state.busy = False
            self.publish(state)

    async def read(self, state: EngineState) -> None:
        """Read and apply an engine's report."""
        report = await self._client.read_report(state.endpoint)
        now = self._clock()
        state.apply_report(report, now)
        for key in report.warm:
            self._fleet.copies.record_reported(state.endpoint.id, key)

    async def load(self, state: EngineState, key: WeightsKey) -> None:
        """Order a load; a separate task waits for its end."""
        evictions_ago = self._fleet.copies.measure_age(state.endpoint.id, key)
        version = self._get_version(key)
        outcome = await self._client.order(state, OrderKind.LOAD, key)
        self.publish(state)
        if outcome is OrderOutcome.DONE:
            self._end_load(state, key, version)
        elif outcome is OrderOutcome.IN_FLIGHT:
            state.polled_loads.add(key)
            self._spawn(self._poll_load(state, key, evictions_ago))

    def _get_version(self, key: WeightsKey) -> int:
        """Return the version that an engine holds at least if it confirms an order.

        A version that is named after the order was sent may not be the one it holds.
        """
        return self._fleet.get_newest_version(key) or 1

    def _end_load(self, state: EngineState, key: WeightsKey, version: int) -> None:
        self._ended_at.append(self._clock())
        state.record_loaded(key, version, self._clock())
        self.publish(state)

    def publish(self, state: EngineState) -> None:
        """Publish an engine's state, unless this daemon no longer leads the engine."""
        if self._is_led(state):
            self._publish(state.make_endpoint())

    async def _poll_load(
        self, state: EngineState, key: WeightsKey, evictions_ago: int | None
    ) -> None:
        try:
            await self._await_load(state, key, evictions_ago)
        finally:
            state.polled_loads.discard(key)

    async def _await_load(
        self, state: EngineState, key: WeightsKey, evictions_ago: int | None
    ) -> None:
        """Poll a load until it has ended.

        ``evictions_ago`` is the number of evictions on the engine since it held the
        adapter, None if that is not known.
        """
        started_at = seen_at = self._clock()
        replaces = state.is_replacement(key)
        fast = self._fleet.copies.is_retained(evictions_ago)
        await asyncio.sleep(
            WARM_LOAD_TIME if fast else FIRST_POLL_FRACTION * min(self._recent_loads)
        )
        while key in state.pending_loads and self._clock() - seen_at < LOAD_TIMEOUT:
            if not self._is_led(state):
                return
            if state.sequence is not None:
                version = self._get_version(key)
                try:
                    outcome = await self._client.order(state, OrderKind.LOAD, key)
                except (EngineUnresponsive, OrderNotAllowed, Unavailable):
                    state.require_report(self._clock())
                    outcome = OrderOutcome.UNKNOWN
                if outcome is OrderOutcome.DONE:
                    took = self._clock() - started_at
                    if not replaces:
                        self._record_load_time(took, evictions_ago)
                    self._record_origin(state, key, took, evictions_ago)
                    self._end_load(state, key, version)
                    return
                if replaces and outcome is OrderOutcome.IN_FLIGHT:
                    seen_at = self._clock()
            elapsed = self._clock() - started_at
            await asyncio.sleep(max(ASK_INTERVAL, POLL_BACKOFF_FRACTION * elapsed))
        if state.pending_loads.pop(key, None) is not None:
            log_decision(LOG, Decision.LOAD_NOT_SEEN_TO_END, weights=str(key))
            state.require_report(self._clock())

    def _record_load_time(self, took: Seconds, evictions_ago: int | None) -> None:
        fast = took < QUICK_FRACTION * min(self._recent_loads)
        if evictions_ago is not None and took < OUTLIER_FACTOR * self.load_time:
            self._fleet.copies.record_load(evictions_ago, fast=fast)
        if not fast:
            self._recent_loads.append(took)
            self.load_time += LOAD_TIME_WEIGHT * (took - self.load_time)

    def _record_origin(
        self,
        state: EngineState,
        key: WeightsKey,
        took: Seconds,
        evictions_ago: int | None,
    ) -> None:
        """Count the origin of an adapter."""
        if took < QUICK_FRACTION * min(self._recent_loads):
            origin = LoadOrigin.COPY
        elif self._fleet.copies.is_retained(evictions_ago):
            origin = LoadOrigin.COPY_GONE
        elif self._fleet.list_copies(state.endpoint.service, key):
            origin = LoadOrigin.COPY_ELSEWHERE
        else:
            origin = LoadOrigin.STORE
        self.origins[origin] += 1

    async def place(self, state: EngineState, placement: Placement) -> None:
        """Order a load, preceded by the unload of the adapter to be evicted, if any."""
        self.placing.add(placement.key)
        try:
            await self._evict_and_load(state, placement)
        finally:
            self.placing.discard(placement.key)

    async def _evict_and_load(self, state: EngineState, placement: Placement) -> None:
        victim = placement.victim
        if victim is not None:
            state.start_unload(victim, self._clock())
            self.publish(state)
            outcome = await self._client.order(state, OrderKind.UNLOAD, victim)
            if outcome is not OrderOutcome.DONE:
                # The adapter is still in use, or the known state was wrong. The next
                # report shows which.
                return
        await self.load(state, placement.key)
