"""Takes requests back that still wait when none may begin on their engine's version.

An engine drops a waiting request once its channel is closed. One that may run again
moves on to another engine.
"""

import asyncio
import logging
import math
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.progress import AttemptFailed
from kestreltally.entry.run import Run
from kestreltally.entry.upstream import Answer
from kestreltally.fleet.model import Seconds, WeightsKey
from kestreltally.fleet.tables import Fleet

LOG = logging.getLogger("kestreltally.relay")


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request that was sent, and whose answer has not started."""

    run: Run
    key: WeightsKey
    sent_at: Seconds
    timeout: asyncio.Timeout
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class VersionRecall:
    """Limits how long requests wait at engines that hold an older version.

    The start of an answer shows that a request has begun. Until then its channel may be
    closed: at the end of the older version, whether the newer one was known when the
    request was sent or not.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._waiting: defaultdict[WeightsKey, set[_Waiting]] = defaultdict(set)
        fleet.notify_version = self._apply_version

    def is_too_late(self, run: Run) -> bool:
        """Return whether a request must not be sent to its engine any more."""
        key = run.request.adapter
        if key is None:
            return False
        now = asyncio.get_running_loop().time()
        return now > self._fleet.find_version_end(key, self._get_held(run, key))

    async def wait(self, run: Run, answering: Coroutine[Any, Any, Answer]) -> Answer:
        """Return what ``answering`` does; raises ``AttemptFailed`` if taken back."""
        key = run.request.adapter
        if key is None:
            return await answering
        try:
            async with asyncio.timeout(None) as timeout:
                sent_at = asyncio.get_running_loop().time()
                waiting = _Waiting(run, key, sent_at, timeout)
                self._start(waiting)
                try:
                    return await answering
                finally:
                    self._end(waiting)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            run.progress.taken_back += 1
            raise AttemptFailed(
                f"{key} is outdated at the endpoint", may_have_run=True
            ) from error

    def _start(self, waiting: _Waiting) -> None:
        self._waiting[waiting.key].add(waiting)
        self._schedule(waiting)

    def _end(self, waiting: _Waiting) -> None:
        waiting.cancel_timer()
        waiters = self._waiting[waiting.key]
        waiters.discard(waiting)
        if not waiters:
            del self._waiting[waiting.key]

    def _apply_version(self, key: WeightsKey) -> None:
        """Limit the requests that wait already when a newer version is learned of."""
        for waiting in self._waiting.get(key, ()):
            self._schedule(waiting)

    def _schedule(self, waiting: _Waiting) -> None:
        waiting.cancel_timer()
        end = self._find_end(waiting)
        if end == math.inf:
            return
        loop = asyncio.get_running_loop()
        waiting.timer = loop.call_at(max(end, loop.time()), self._review, waiting)

    def _review(self, waiting: _Waiting) -> None:
        """Take a request back, unless its engine holds a newer version by now."""
        now = asyncio.get_running_loop().time()
        if self._find_end(waiting) > now:
            self._schedule(waiting)
            return
        run, key = waiting.run, waiting.key
        row = self._fleet.endpoints.get(run.endpoint.id)
        log_decision(
            LOG,
            Decision.REQUEST_TAKEN_BACK,
            request=run.request.head.id,
            endpoint=run.endpoint.id,
            weights=str(key),
            held=run.endpoint.weights.get(key),
            newest=self._fleet.get_newest_version(key),
            waited=round(now - waiting.sent_at, 3),
            row=row.weights.get(key) if row is not None else None,
        )
        waiting.timeout.reschedule(now)

    def _find_end(self, waiting: _Waiting) -> Seconds:
        held = self._get_held(waiting.run, waiting.key)
        return self._fleet.find_version_end(waiting.key, held)

    def _get_held(self, run: Run, key: WeightsKey) -> int:
        """Return the version that an engine holds, as far as known by now."""
        row = self._fleet.endpoints.get(run.endpoint.id)
        current = row.weights.get(key, 0) if row is not None else 0
        return max(current, run.endpoint.weights.get(key, 0))
