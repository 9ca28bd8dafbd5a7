"""Relays one request: chooses an endpoint, sends the request, forwards the answer.

A request that must not run twice is sent to one endpoint only, unless that endpoint
states that it did not run. A resumable stream continues at another endpoint after the
last forwarded event.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import nullcontext
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.backup import Backup
from kestreltally.entry.choice import Option
from kestreltally.entry.delivery import Delivery
from kestreltally.entry.finder import EndpointFinder, PathLost
from kestreltally.entry.health import HealthTable
from kestreltally.entry.hedging import Hedging
from kestreltally.entry.process_check import ProcessCheck
from kestreltally.entry.progress import (
    UNAVAILABLE,
    AttemptFailed,
    Progress,
    make_final_error,
    make_stop_error,
    make_timeout_error,
)
from kestreltally.entry.request import (
    Caller,
    ClientRequest,
    Refused,
)
from kestreltally.entry.resumption import Resumption
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.run import Run
from kestreltally.entry.runner import Runner
from kestreltally.entry.sending import Sender
from kestreltally.entry.slot_gate import SlotGate
from kestreltally.entry.time_limits import TimeLimits
from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.forwarding.rerouting import Rerouting
from kestreltally.poison.guard import PoisonGuard
from kestreltally.reach.contact import Contact
from kestreltally.slots.table import SlotTable

LOG = logging.getLogger("kestreltally.relay")

# A request is given up this long before its deadline, so that the refusal still
# arrives.
REFUSAL_MARGIN: Final[Seconds] = 0.03
# Pause before the endpoints are tried again after all of them have been tried.
RETRY_PAUSE: Final[Seconds] = 0.1


class Relay:
    """Relays requests to endpoints."""

    def __init__(
        self,
        data_centre: str,
        fleet: Fleet,
        pool: ChannelPool,
        health: HealthTable,
        budget: RetryBudget,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self.health = health
        self.budget = budget
        self.finder = EndpointFinder(data_centre, fleet, health, pool.contact)
        self.delivery = Delivery(health, budget, pool)
        self.delivery.end_check.find_process = ProcessCheck(
            pool, fleet.notices
        ).find_process
        self.hedging = Hedging(fleet, health, budget, self.finder)
        self.delivery.hedging = self.hedging
        self.resumption = Resumption(fleet)
        self.delivery.begin_stream = self.resumption.begin
        self.poison = PoisonGuard(lambda endpoint: health.get_row(endpoint).received_at)
        self.poison.crash_detector.get_serving = self._get_serving
        self.poison.crash_detector.believe_later = pool.contact.believe_later
        self.poison.crash_detector.record_not_opened = pool.contact.record_not_opened
        sender = Sender(
            fleet, pool, health, self.finder, self.delivery, self.hedging, self.poison
        )
        self.runner = Runner(
            pool, health, self.finder, sender, self.delivery, self.poison
        )
        self.runner.check_again = self._check_after_turn
        self.time_limits = TimeLimits()
        # Raises ``Refused`` if a planned stop might break off a request.
        self.check_stop: Callable[[ClientRequest], None] = lambda _: None
        self.rerouting = Rerouting(pool.contact, self._acquire_retry)
        self._connect_hedging()
        # Makes requests wait for room at brittle endpoints, None if switched off.
        self.slots: SlotGate | None = None
        # Raises ``Refused`` if a key was revoked after its request was read.
        self.check_caller: Callable[[Caller], None] = lambda _: None

    def _connect_hedging(self) -> None:
        self.hedging.start_backup = lambda run: Backup(
            lambda backup: self._run_backup(run, backup)
        )
        self.hedging.cast_doubt = self.contact.record_broken
        self.hedging.record_overtaken = lambda endpoint: self.delivery.record_failure(
            endpoint, "silent"
        )
        self.hedging.is_rerouted = self.rerouting.is_possible

    def switch_on_slots(self, table: SlotTable) -> None:
        """Send requests to brittle endpoints with slots only from now on."""
        self.slots = SlotGate(self._fleet, self.finder, table)
        self.poison.crash_detector.was_overloaded = table.overloads.was_overloaded

    @property
    def contact(self) -> Contact:
        """Return the state of this daemon's path to the endpoints."""
        return self._pool.contact

    def _get_serving(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint if it is listed and not leaving."""
        known = self._fleet.endpoints.get(endpoint)
        return known if known is not None and not known.leaving else None

    async def serve(
        self, request: ClientRequest, client: web.BaseRequest, progress: Progress
    ) -> web.StreamResponse:
        """Return the answer to a request; raises ``Refused`` or ``StreamBroken``."""
        self._check_poison(request, progress)
        if not self.rerouting.is_needed(progress):
            self._record_arrival(request)
        try:
            async with self.time_limits.limit(request.deadline - REFUSAL_MARGIN):
                return await self._serve_with_retries(request, client, progress)
        except TimeoutError as error:
            if self.time_limits.is_over:
                raise make_stop_error(progress) from error
            raise make_timeout_error(progress) from error
        finally:
            if progress.backup is not None:
                await progress.backup.cancel()

    def _record_arrival(self, request: ClientRequest) -> None:
        """Count a request; the daemon that serves one passed on counts it."""
        self.budget.record_request(
            request.service_name, request.arrived_at, request.priority
        )
        if request.head.weights is not None and request.service.engine is not None:
            self.finder.demand.record_arrival(
                request.service_name, request.head.weights
            )

    async def _serve_with_retries(
        self, request: ClientRequest, client: web.BaseRequest, progress: Progress
    ) -> web.StreamResponse:
        while True:
            if progress.backup is not None:
                response = await self._continue_with_backup(request, progress)
            else:
                option = await self._find(request, progress)
                if option is None:
                    self._check_again(request, progress)
                    return await self.rerouting.forward(request, client, progress)
                run = Run(request, client, progress, option.endpoint)
                with option.slot or nullcontext():
                    response = await self._try(run, option)
            if response is not None:
                return response
            if len(progress.trail) > 2 * len(progress.tried):
                # All endpoints have been tried: pause before the next round.
                await asyncio.sleep(RETRY_PAUSE)

    async def _try(self, run: Run, option: Option) -> web.StreamResponse | None:
        """Return the answer of an endpoint, None if another is to be tried.

        Raises ``Refused`` or ``StreamBroken``.
        """
        request, progress = run.request, run.progress
        self._check_again(request, progress)
        sends = progress.sends
        if sends and not self._acquire_retry(request):
            raise make_final_error(progress)
        try:
            return await self.runner.run(run, option)
        except AttemptFailed as failure:
            self._record_failed_attempt(run, option, failure, sends)
            self._check_another(request, progress, failure)
            return None

    def _record_failed_attempt(
        self, run: Run, option: Option, failure: AttemptFailed, sends: int
    ) -> None:
        """Record why a run failed; ``sends`` counts those before it."""
        request, progress = run.request, run.progress
        if option.slot is not None:
            option.slot.rejected = failure.turned_away
        progress.last_fault = failure.fault
        progress.unreached += failure.unreached
        if sends and progress.sends == sends:
            self._refund_retry(request)
        self._log_failed_attempt(request, progress, option.endpoint, failure)

    def _check_another(
        self, request: ClientRequest, progress: Progress, failure: AttemptFailed
    ) -> None:
        """Raise the final error after a failure if no other run may follow."""
        if progress.backup is not None:
            return
        if not self._can_try_another(request, progress, failure):
            raise make_final_error(progress) from failure

    async def _continue_with_backup(
        self, request: ClientRequest, progress: Progress
    ) -> web.StreamResponse | None:
        """Return the answer of a backup, None if another endpoint is to be tried."""
        # From now on it is the first run, and may have a backup of its own.
        backup, progress.backup = progress.backup, None
        assert backup is not None
        try:
            return await backup.take_over()
        except AttemptFailed as failure:
            self._check_another(request, progress, failure)
            return None

    async def _run_backup(self, first: Run, backup: Backup) -> web.StreamResponse:
        """Run a request at another endpoint, or daemon, while its first run stalls.

        Raises ``AttemptFailed``, ``Refused`` or ``StreamBroken``.
        """
        request, progress = first.request, first.progress
        option = await self._find(request, progress)
        if option is None:
            return await self.rerouting.forward(request, first.client, progress, backup)
        if option.endpoint.id in progress.tried:
            raise AttemptFailed("no other endpoint", may_have_run=False)
        run = Run(request, first.client, progress, option.endpoint, backup)
        with option.slot or nullcontext():
            self._check_again(request, progress)
            if not self._acquire_retry(request):
                raise AttemptFailed("no retry left", may_have_run=False)
            sends = progress.sends
            try:
                return await self.runner.run(run, option)
            except AttemptFailed as failure:
                self._record_failed_attempt(run, option, failure, sends)
                raise
            except asyncio.CancelledError:
                if progress.sends == sends:
                    self._refund_retry(request)
                    progress.tried.discard(option.endpoint.id)
                raise

    def _check_again(self, request: ClientRequest, progress: Progress) -> None:
        """Check what may have changed while a request waited; raises ``Refused``."""
        if not progress.runs:
            self.check_stop(request)
            if request.caller is not None:
                self.check_caller(request.caller)
        self._check_poison(request, progress)

    def _check_after_turn(self, request: ClientRequest, progress: Progress) -> None:
        """Check what may have changed while a prompt waited; raises ``Refused``."""
        self.check_stop(request)
        if request.caller is not None:
            self.check_caller(request.caller)
        self._check_poison(request, progress)

    async def _find(self, request: ClientRequest, progress: Progress) -> Option | None:
        """Return the chosen endpoint, with a slot there if it needs one.

        Return None if none is within reach.
        """
        if self.rerouting.is_needed(progress):
            return None
        if progress.origin is None and request.takes_up_stream:
            progress.origin = request.origin or await self.resumption.find_origin(
                request
            )
        try:
            while True:
                option = await self.finder.find(request, progress)
                if self.slots is None or not self.slots.is_needed(option.endpoint):
                    return option
                reserved = await self.slots.obtain(request, progress, option)
                if reserved is not None:
                    return reserved
        except PathLost:
            return None

    def _check_poison(self, request: ClientRequest, progress: Progress) -> None:
        """Stop a suspected poison request: endpoints have ended while they ran it.

        It would probably end the next endpoint too, and all other requests there.
        """
        block = self.poison.find_block(request)
        if block is None:
            return
        progress.content = block.content
        progress.last_fault = block.fault
        if progress.runs or progress.response is not None:
            raise make_final_error(progress)
        raise Refused(UNAVAILABLE, progress.last_fault, block.wait)

    def _log_failed_attempt(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        failure: AttemptFailed,
    ) -> None:
        now = asyncio.get_running_loop().time()
        progress.trail.append(failure.fault)
        log_decision(
            LOG,
            Decision.REQUEST_MOVES_ON,
            request=request.head.id,
            endpoint=endpoint.id,
            software=endpoint.software,
            fault=failure.fault,
            may_have_run=failure.may_have_run,
            retries_left=round(
                self.budget.compute_remaining(request.service_name, now), 1
            ),
            left=round(request.deadline - now, 3),
        )

    def _acquire_retry(self, request: ClientRequest) -> bool:
        now = asyncio.get_running_loop().time()
        granted = self.budget.acquire(request.service_name, now, request.priority)
        log_decision(
            LOG,
            Decision.REQUEST_REPEATED if granted else Decision.RETRY_REFUSED,
            request=request.head.id,
            service=request.service_name,
            retries_left=round(
                self.budget.compute_remaining(request.service_name, now), 1
            ),
            daemons=self.budget.daemon_count,
            uptime=round(now - self.budget.started_at, 1),
        )
        return granted

    def _refund_retry(self, request: ClientRequest) -> None:
        """Give back the retry of a request that was not sent, as no channel opened."""
        now = asyncio.get_running_loop().time()
        self.budget.refund(request.service_name, now)

    def _can_try_another(
        self, request: ClientRequest, progress: Progress, failure: AttemptFailed
    ) -> bool:
        if not failure.may_have_run and not progress.runs:
            return True
        return request.route.repeatable and progress.runs < request.route.attempts
