"""Carries out what the leader plans: unloads, loads, and the wait for their end."""

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
from kestreltally.placing.books import SILENCES_TO_CLOSE, EngineBook
from kestreltally.placing.orders import (
    EngineCaller,
    EngineSilent,
    EngineUnreachable,
    NotHolding,
)
from kestreltally.placing.planner import Placement
from kestreltally.platform.engines import OrderKind, OrderOutcome

LOG = logging.getLogger("kestreltally.loads")

# What a load is taken to last before any was measured; then a moving mean is used.
LOAD_TIME: Final[Seconds] = 0.25
LOAD_TIME_WEIGHT: Final = 0.1
# An adapter that the engine kept a copy of comes in some 25 ms.
WARM_TIME: Final[Seconds] = 0.02
# A load that took less than this part of the usual time came from a copy: those take a
# tenth, and their end is seen some 25 ms late. One that took so many times the usual
# tells nothing: the engine was slow, or orders were lost.
QUICK_PART: Final = 0.5
FAULTY_PART: Final = 2.0
# A load is asked after at this part of the quickest of the last few, then this often,
# and more seldom the longer it lasts. By their mean, loads that are quick again after
# slow ones would be seen to end as late as those for many loads.
ASK_PART: Final = 0.85
ASK_INTERVAL: Final[Seconds] = 0.025
ASK_LATER_PART: Final = 0.1
LAST_LOADS: Final = 8
# A load that was not seen to end after this is taken as failed.
LOAD_GIVEN_UP: Final[Seconds] = 4.0
# Loads of this time tell how fast places turn over; of so many at the most.
TURNOVER_TIME: Final[Seconds] = 2.0
TURNOVER_ROWS: Final = 256
# An engine that did not answer an order is left alone this long.
SILENT_PAUSE: Final[Seconds] = 0.2


class LoadOrigin(Enum):
    """Where an adapter came from, as far as is known when its load has ended."""

    STORE = "store"
    COPY = "copy"
    # The engine was believed to keep a copy, and did not.
    COPY_GONE = "copy_gone"
    # Another engine was believed to keep a copy: it was not free, or not led here.
    COPY_ELSEWHERE = "copy_elsewhere"


class Loader:
    """Works on engines, each of which takes one piece of work at a time.

    ``placing`` names what is being placed; ``load_time`` is the mean of the loads from
    the weight store.
    """

    def __init__(
        self,
        fleet: Fleet,
        caller: EngineCaller,
        clock: Callable[[], Seconds],
        publish: Callable[[Endpoint], None],
        is_led: Callable[[EngineBook], bool],
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._clock = clock
        self._publish = publish
        self._is_led = is_led
        self.tasks: set[asyncio.Task[None]] = set()
        self.placing: set[WeightsKey] = set()
        self.load_time = LOAD_TIME
        self._last_loads = deque([LOAD_TIME], maxlen=LAST_LOADS)
        self._ended_at: deque[Seconds] = deque(maxlen=TURNOVER_ROWS)
        self.origins: Counter[LoadOrigin] = Counter()

    def find_turnover(self) -> float:
        """Return how many loads a second ended of late, one at the least."""
        now = self._clock()
        recent = sum(1 for at in self._ended_at if now - at < TURNOVER_TIME)
        return max(1.0, recent / TURNOVER_TIME)

    def start(self, book: EngineBook, work: Coroutine[Any, Any, None]) -> None:
        """Do work on an engine, which takes no other meanwhile."""
        book.busy = True
        self._spawn(self._guard(book, work))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guard(self, book: EngineBook, work: Coroutine[Any, Any, None]) -> None:
        """Run work on an engine; whatever it does not answer waits for a report."""
        try:
            await work
        except EngineSilent as silent:
            now = self._clock()
            book.doubt(now)
            sure = isinstance(silent, EngineUnreachable)
            book.silences += SILENCES_TO_CLOSE if sure else 1
            book.failing_until = now + SILENT_PAUSE
            log_decision(
                LOG,
                Decision.ENGINE_SILENT,
                endpoint=book.endpoint.id,
                reason=str(silent),
            )
        except (NotHolding, Unavailable):
            log_decision(LOG, Decision.ORDER_HELD_BACK)
        finally:
            book.busy = False
            self.publish(book)

    async def read(self, book: EngineBook) -> None:
        """Take an engine's report in."""
        report = await self._caller.read_report(book.endpoint)
        now = self._clock()
        book.apply_report(report, now)
        for key in report.warm:
            self._fleet.copies.record_reported(book.endpoint.id, key)

    async def load(self, book: EngineBook, key: WeightsKey) -> None:
        """Order a load; another task waits for its end."""
        age = self._fleet.copies.measure_age(book.endpoint.id, key)
        outcome = await self._caller.order(book, OrderKind.LOAD, key)
        self.publish(book)
        if outcome is OrderOutcome.DONE:
            self._end_load(book, key)
        elif outcome is OrderOutcome.IN_FLIGHT:
            self._spawn(self._await_load(book, key, age))

    def _end_load(self, book: EngineBook, key: WeightsKey) -> None:
        self._ended_at.append(self._clock())
        version = self._fleet.get_newest_version(key) or 1
        book.note_held(key, version, self._clock())
        self.publish(book)

    def publish(self, book: EngineBook) -> None:
        """Tell the others of a book, unless it is no longer this daemon's."""
        if self._is_led(book):
            self._publish(book.make_row())

    async def _await_load(
        self, book: EngineBook, key: WeightsKey, age: int | None
    ) -> None:
        """Ask after a load until it has ended.

        ``age`` is how many drops ago the engine held the adapter, if lately.
        """
        began = self._clock()
        fast = self._fleet.copies.is_retained(age)
        await asyncio.sleep(WARM_TIME if fast else ASK_PART * min(self._last_loads))
        while key in book.incoming and self._clock() - began < LOAD_GIVEN_UP:
            if not self._is_led(book):
                return
            if book.sequence is not None:
                try:
                    outcome = await self._caller.order(book, OrderKind.LOAD, key)
                except (EngineSilent, NotHolding, Unavailable):
                    book.doubt(self._clock())
                    outcome = OrderOutcome.UNKNOWN
                if outcome is OrderOutcome.DONE:
                    self._note_load_time(self._clock() - began, age)
                    self._note_origin(book, key, self._clock() - began, age)
                    self._end_load(book, key)
                    return
            passed = self._clock() - began
            await asyncio.sleep(max(ASK_INTERVAL, ASK_LATER_PART * passed))
        if book.incoming.pop(key, None) is not None:
            log_decision(LOG, Decision.LOAD_NOT_SEEN_TO_END, weights=str(key))
            book.doubt(self._clock())

    def _note_load_time(self, took: Seconds, age: int | None) -> None:
        fast = took < QUICK_PART * min(self._last_loads)
        if age is not None and took < FAULTY_PART * self.load_time:
            self._fleet.copies.record_load(age, fast=fast)
        if not fast:
            self._last_loads.append(took)
            self.load_time += LOAD_TIME_WEIGHT * (took - self.load_time)

    def _note_origin(
        self, book: EngineBook, key: WeightsKey, took: Seconds, age: int | None
    ) -> None:
        """Count where an adapter came from."""
        if took < QUICK_PART * min(self._last_loads):
            origin = LoadOrigin.COPY
        elif self._fleet.copies.is_retained(age):
            origin = LoadOrigin.COPY_GONE
        elif self._fleet.list_copies(book.endpoint.service, key):
            origin = LoadOrigin.COPY_ELSEWHERE
        else:
            origin = LoadOrigin.STORE
        self.origins[origin] += 1

    async def place(self, book: EngineBook, placement: Placement) -> None:
        """Order a load, and before it the unload that makes way."""
        self.placing.add(placement.key)
        try:
            await self._make_way_and_load(book, placement)
        finally:
            self.placing.discard(placement.key)

    async def _make_way_and_load(self, book: EngineBook, placement: Placement) -> None:
        victim = placement.victim
        if victim is not None:
            book.begin_unload(victim, self._clock())
            self._publish(book.make_row())
            outcome = await self._caller.order(book, OrderKind.UNLOAD, victim)
            if outcome is not OrderOutcome.DONE:
                # It waits for its runs, or the book was wrong: a report will tell.
                return
        await self.load(book, placement.key)
