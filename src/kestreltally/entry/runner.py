"""Runs a request at the endpoint that was chosen for it."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from aiohttp import web

from kestreltally.entry.choice import Option
from kestreltally.entry.delivery import Delivery
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.pacer import PromptPacer
from kestreltally.entry.progress import AttemptFailed, Prediction, Progress
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.run import Run
from kestreltally.entry.sending import Sender
from kestreltally.entry.upstream import Answer, Channel, ChannelPool
from kestreltally.entry.urgency import compute_urgency
from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.model import Endpoint
from kestreltally.pacing.turns import Turn
from kestreltally.poison.guard import PoisonGuard

MIN_ERROR_STATUS: Final = 400


class Runner:
    """Runs requests at endpoints, and counts what each run uses until it ends."""

    def __init__(
        self,
        pool: ChannelPool,
        health: HealthTable,
        finder: EndpointFinder,
        sender: Sender,
        delivery: Delivery,
        poison: PoisonGuard,
    ) -> None:
        self._pool = pool
        self._health = health
        self._finder = finder
        self._sender = sender
        self._delivery = delivery
        self._poison = poison
        # Called with a prompt's token count when an endpoint starts or ends its
        # prefill.
        self.record_reading: Callable[[int], None] = lambda _: None
        # Called when this daemon's use of an adapter on an engine starts or ends.
        self.notify_use_change: Callable[[], None] = lambda: None
        # Makes long prompts wait for their turn at an engine, None if switched off.
        self.pacer: PromptPacer | None = None
        # Raises ``Refused`` if a request may not be sent any more once its turn comes.
        self.check_again: Callable[[ClientRequest, Progress], None] = lambda *_: None

    async def run(self, run: Run, option: Option) -> web.StreamResponse:
        """Return the answer of the option's endpoint.

        Raises ``AttemptFailed``, ``Refused`` or ``StreamBroken``.
        """
        loop = asyncio.get_running_loop()
        request, progress = run.request, run.progress
        endpoint, predicted = option.endpoint, option.first_event_delay
        progress.tried.add(endpoint.id)
        started_at = loop.time()
        prefill_times = self._finder.prefill_times
        urgency = compute_urgency(
            request, started_at + predicted, resumes=progress.response is not None
        )
        work = replace(option.work, priority=urgency)
        prefill_duration = (
            prefill_times.compute_token_time(endpoint.id) * work.uncached_tokens
        )
        token = self._health.start(
            endpoint.id,
            started_at,
            work.uncached_tokens,
            work.priority,
            prefill_delay=predicted - prefill_duration,
            prefill_duration=prefill_duration,
        )
        self._record_use(request, endpoint, 1)
        self.record_reading(work.uncached_tokens)
        keep = False
        channel: Channel | None = None
        turn: Turn | None = None
        sent_at = started_at
        try:
            if self._needs_turn(request, progress, endpoint, work):
                self._health.end(endpoint.id, token)
                token = self._health.reserve(endpoint.id, work.uncached_tokens, urgency)
                turn = await self._obtain_turn(request, progress, endpoint, work)
                sent_at = loop.time()
                urgency = compute_urgency(
                    request, sent_at + prefill_duration, resumes=False
                )
                work = replace(
                    work,
                    priority=urgency,
                    queued_tokens=0.0 if turn.granted else work.queued_tokens,
                )
                self._health.end(endpoint.id, token)
                token = self._health.start(
                    endpoint.id,
                    sent_at,
                    work.uncached_tokens,
                    urgency,
                    prefill_duration=prefill_duration,
                )
            channel = await self._sender.connect(request, endpoint)
            progress.sends += 1
            run.attempt = self._poison.crash_detector.start(request, endpoint)
            run.token = token
            answer = await self._sender.send(run, channel, urgency)
            self._health.record_answer_start(endpoint.id, token, loop.time())
            if turn is not None:
                turn.end()
            self.record_reading(work.uncached_tokens)
            progress.first_byte_at = progress.first_byte_at or loop.time()
            if request.service.engine is not None and answer.status < MIN_ERROR_STATUS:
                now = loop.time()
                prefill_times.learn(endpoint.id, work, now - sent_at)
                progress.predictions.append(Prediction(predicted, now - started_at))
            channel.apply_keep_alive(answer, loop.time())
            response = await self._forward(run, answer)
            keep = True
            return response
        except AttemptFailed as failure:
            keep = not failure.may_have_run
            if not failure.may_have_run:
                run.record_ended()
            raise
        finally:
            self._end_attempt(run)
            self._health.end(endpoint.id, token)
            self._record_use(request, endpoint, -1)
            if channel is not None:
                self._pool.release(channel, keep=keep)
            if turn is not None:
                turn.end()

    def _needs_turn(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        work: PrefillWork,
    ) -> bool:
        """Return whether a prompt waits for its turn.

        A request that was sent before never does: its client has waited already.
        """
        if self.pacer is None or progress.runs:
            return False
        return self.pacer.needs_turn(request, endpoint, work)

    async def _obtain_turn(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        work: PrefillWork,
    ) -> Turn:
        """Wait for a prompt's turn, and check again what may have changed meanwhile.

        Raises ``Refused`` or ``AttemptFailed``.
        """
        assert self.pacer is not None
        turn = await self.pacer.obtain(request, progress, endpoint, work)
        try:
            self.check_again(request, progress)
        except BaseException:
            turn.end()
            raise
        return turn

    def _end_attempt(self, run: Run) -> None:
        if run.attempt is not None:
            self._poison.crash_detector.end(run.attempt)
            run.attempt = None

    def _record_use(
        self, request: ClientRequest, endpoint: Endpoint, step: int
    ) -> None:
        key = request.head.weights
        if key is None or not key.adapter:
            return
        if self._finder.demand.record_use(endpoint.id, key, step):
            self.notify_use_change()

    async def _forward(self, run: Run, answer: Answer) -> web.StreamResponse:
        request = run.request
        if request.head.weights is not None:
            self._finder.affinity.record(request, request.head.weights, run.endpoint.id)
        return await self._delivery.forward(run, answer)
