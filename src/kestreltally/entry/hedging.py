"""Asks another endpoint for an answer that has stalled, and keeps what is held of it.

A sound endpoint may be silent for a second or so. So silence ends no run: a backup is
started beside it, and the first of the two that brings more is the answer.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.backup import Backup
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import AttemptFailed, Progress
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.run import Run
from kestreltally.entry.silence import (
    POLL_INTERVAL,
    Verdict,
    compute_first_check_delay,
)
from kestreltally.entry.stalls import StallMonitor
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.tables import Fleet

LOG = logging.getLogger("kestreltally.relay")

T = TypeVar("T")
# Time after a backup that failed before the next one is started.
BACKUP_INTERVAL: Final[Seconds] = 0.5
# A timer that is later than this shows that the process did not run meanwhile.
MAX_TIMER_DELAY: Final[Seconds] = 0.1


def compute_wait_limit(run: Run) -> Seconds | None:
    """Return how long to wait before another endpoint is asked; None if none may be."""
    route = run.request.route
    if not route.repeatable or run.progress.runs >= route.attempts:
        return None
    return compute_first_check_delay(route.objective)


def is_timer_late(due_at: Seconds, now: Seconds) -> bool:
    """Return whether a timer shows that this process itself did not run for a while.

    What came meanwhile has not been read then. One late timer is excused: a process
    that is always late has to go on all the same.
    """
    return now - due_at > MAX_TIMER_DELAY


class Hedging:
    """Waits for stalled answers, beside backups of their requests."""

    def __init__(
        self,
        fleet: Fleet,
        health: HealthTable,
        budget: RetryBudget,
        finder: EndpointFinder,
    ) -> None:
        self._health = health
        self._budget = budget
        self._finder = finder
        self.stalls = StallMonitor(fleet, health)
        # Starts a backup of a run's request.
        self.start_backup: Callable[[Run], Backup]
        # Called when a run stalls: this daemon's own path may be at fault.
        self.cast_doubt: Callable[[], None] = lambda: None
        # Called with an endpoint whose run was overtaken by a backup.
        self.record_overtaken: Callable[[Endpoint], None] = lambda _: None
        # Returns whether another daemon is to serve the request instead.
        self.is_rerouted: Callable[[ClientRequest, Progress], bool] = lambda *_: False

    async def wait(
        self, run: Run, awaited: Awaitable[T], evaluate: Callable[[], Verdict]
    ) -> T:
        """Return what a stalled run brings after all.

        ``evaluate`` returns why a backup is needed, or ``WAIT``. Raises
        ``AttemptFailed`` once a backup has brought more, and what the run raises. A
        backup stays in ``progress.backup`` until either run claims the answer.
        """
        awaiting = asyncio.ensure_future(awaited)
        began_at = asyncio.get_running_loop().time()
        if run.progress.backup is None:
            self.stalls.log(run)
            self.cast_doubt()
        self._health.start_stall(run.endpoint.id)
        try:
            await self._wait_for_either(run, awaiting, evaluate)
            brought = awaiting.result()
        finally:
            self._health.end_stall(run.endpoint.id)
            awaiting.cancel()
        _log_resumed(run, began_at)
        return brought

    async def _wait_for_either(
        self, run: Run, awaiting: asyncio.Future[T], evaluate: Callable[[], Verdict]
    ) -> None:
        """Return once the run has brought something, or failed."""
        clock, progress = asyncio.get_running_loop().time, run.progress
        poll_at = backup_after = clock()
        was_late = False
        while not awaiting.done():
            now = clock()
            is_late = is_timer_late(poll_at, now) and not was_late
            if progress.backup is None and now >= backup_after and not is_late:
                self._consider_backup(run, evaluate)
            poll_at, was_late = now + POLL_INTERVAL, is_late
            await _wait_for_any(awaiting, progress.backup, POLL_INTERVAL)
            backup = progress.backup
            if awaiting.done() or backup is None:
                continue
            if backup.is_ahead:
                self.record_overtaken(run.endpoint)
                raise AttemptFailed(Verdict.SILENT.value, may_have_run=True)
            if backup.task.done():
                LOG.debug("relay: backup failed: %r", backup.task.exception())
                progress.backup = None
                backup_after = clock() + BACKUP_INTERVAL

    def _consider_backup(self, run: Run, evaluate: Callable[[], Verdict]) -> None:
        """Start a backup if one is needed, and another endpoint may be had."""
        request, progress = run.request, run.progress
        if compute_wait_limit(run) is None:
            return
        if not self.is_rerouted(request, progress) and (
            evaluate() is Verdict.WAIT or not self._finder.has_other(request, progress)
        ):
            return
        now = asyncio.get_running_loop().time()
        if self._budget.can_acquire(request.service_name, now, request.priority):
            progress.backup = self.start_backup(run)
        else:
            self._log_refused(run)

    def _log_refused(self, run: Run) -> None:
        """Log, once for a request, that no backup may be had for now."""
        progress, request = run.progress, run.request
        if progress.backup_refused:
            return
        progress.backup_refused = True
        log_decision(
            LOG,
            Decision.RETRY_REFUSED,
            request=request.head.id,
            service=request.service_name,
            held=progress.last_event_id,
        )


def _log_resumed(run: Run, began_at: Seconds) -> None:
    log_decision(
        LOG,
        Decision.ANSWER_RESUMES,
        request=run.request.head.id,
        endpoint=run.endpoint.id,
        stalled=round(asyncio.get_running_loop().time() - began_at, 3),
        backup=run.progress.backup is not None,
    )


async def _wait_for_any(
    awaiting: asyncio.Future[T], backup: Backup | None, timeout: Seconds
) -> None:
    """Wait until a run or its backup brings something or fails, or the timeout."""
    pending: set[asyncio.Future[Any]] = {awaiting}
    if backup is not None:
        pending |= {backup.task, backup.ahead}
    await asyncio.wait(pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
