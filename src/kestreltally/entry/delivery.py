"""Forwards an endpoint's answer to the client: buffered, streamed, or by events."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answers import make_buffered_answer, make_streamed_answer
from kestreltally.entry.end_check import EndCheck
from kestreltally.entry.events import EventTooLong, has_event
from kestreltally.entry.exchanges import count_answer
from kestreltally.entry.health import HealthTable
from kestreltally.entry.hedging import Hedging, compute_wait_limit, is_timer_late
from kestreltally.entry.progress import AttemptFailed, StreamBroken
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.run import Run
from kestreltally.entry.sends import PROMISE_STATUSES
from kestreltally.entry.silence import Verdict
from kestreltally.entry.upstream import Answer, AnswerTruncated, ChannelPool
from kestreltally.fleet.model import Endpoint, RequestKind, Seconds
from kestreltally.pacing.pauses import EventTimes, PauseCounter, is_stretched
from kestreltally.streams.origins import StreamOrigin

LOG = logging.getLogger("kestreltally.relay")

MIN_UNSUCCESSFUL_STATUS: Final = 300
MIN_FAILURE_STATUS: Final = 500
# Bodies up to this size are buffered, so that a truncated one can be retried.
MAX_BUFFERED_BYTES: Final = 2**18
# The time between events is measured over the last ones, this many at most.
MAX_TIMED_EVENTS: Final = 64


class Delivery:
    """Forwards answers, and records the outcome for the endpoint's health.

    ``event_times`` and ``pauses`` are learned from the events of streams of engines.
    """

    def __init__(
        self, health: HealthTable, budget: RetryBudget, pool: ChannelPool
    ) -> None:
        self._health = health
        self._budget = budget
        self._pool = pool
        self.end_check = EndCheck(pool)
        # Waits for streams that stall, None if nothing else can be asked.
        self.hedging: Hedging | None = None
        self.event_times = EventTimes()
        self.pauses = PauseCounter()
        # Called with the endpoint that wrote the first event of a new stream, before
        # the client gets that event; returns the stream's origin, if it has any.
        self.begin_stream: Callable[[ClientRequest, Endpoint], StreamOrigin | None] = (
            lambda _, __: None
        )

    def record_failure(self, endpoint: Endpoint, fault: str) -> None:
        """Count a failure of an endpoint; log if the endpoint is ejected."""
        contact = self._pool.contact
        contact.record_broken()
        contact.believe_later(lambda: self._health.report_failure(endpoint.id))
        now = asyncio.get_running_loop().time()
        if self._health.record_failure(endpoint.id, now):
            log_decision(
                LOG, Decision.ENDPOINT_LEFT_OUT, endpoint=endpoint.id, fault=fault
            )

    async def forward(self, run: Run, answer: Answer) -> web.StreamResponse:
        """Return the answer as it was sent to the client.

        Raises ``AttemptFailed`` if another endpoint may still be tried, and
        ``StreamBroken`` if the client has already received part of the answer.
        """
        count_answer(run.client, answer)
        if run.request.route.kind is RequestKind.STREAM and answer.status < 300:
            return await self._forward_events(run, answer)
        try:
            body = await self._read_all(run, answer)
            if body is not None:
                await self.end_check.check(run, answer)
        except AnswerTruncated as error:
            run.record_broken()
            self.record_failure(run.endpoint, str(error))
            raise AttemptFailed("answer body truncated", may_have_run=True) from error
        if body is None:
            self._check_status(run, answer)
            return await self._forward_long_body(run, answer)
        _record_complete(run, answer)
        self._check_status(run, answer)
        await run.claim()
        if answer.delimited:
            return make_buffered_answer(answer, body)
        response = await _start_response(run, answer)
        await response.write(body)
        return response

    def _check_status(self, run: Run, answer: Answer) -> None:
        """Raise ``AttemptFailed`` for an error answer that should not be forwarded."""
        request, progress = run.request, run.progress
        is_failure = answer.status >= MIN_FAILURE_STATUS
        now = asyncio.get_running_loop().time()
        if is_failure:
            self._health.record_error_status(run.endpoint.id, now)
        else:
            self._health.record_success(run.endpoint.id)
        has_other = run.is_second or (progress.backup is not None and is_failure)
        if answer.status >= MIN_UNSUCCESSFUL_STATUS and (
            has_other or progress.response is not None
        ):
            # The other run of the request may still bring something better, and what
            # the client has of a stream is not followed by another answer.
            raise AttemptFailed(f"status {answer.status}", may_have_run=True)
        if answer.status in PROMISE_STATUSES:
            # The endpoint has not proven it, or the send would have ended before.
            raise AttemptFailed(f"status {answer.status} unproven", may_have_run=True)
        if not is_failure:
            return
        retryable = request.route.repeatable and progress.runs < request.route.attempts
        if retryable and self._budget.can_acquire(
            request.service_name, now, request.priority
        ):
            raise AttemptFailed(f"status {answer.status}", may_have_run=True)

    async def _forward_long_body(self, run: Run, answer: Answer) -> web.StreamResponse:
        await run.claim()
        response = await _start_response(run, answer)
        try:
            while not answer.body.at_eof():
                await response.write(await answer.read_some())
            await self.end_check.check(run, answer)
        except AnswerTruncated as error:
            run.record_broken()
            self.record_failure(run.endpoint, str(error))
            raise StreamBroken(str(error)) from error
        _record_complete(run, answer)
        self._health.record_success(run.endpoint.id)
        return response

    async def _forward_events(self, run: Run, answer: Answer) -> web.StreamResponse:
        endpoint, events = run.endpoint, run.events
        arrived_at: deque[Seconds] = deque(maxlen=MAX_TIMED_EVENTS)
        try:
            while not answer.body.at_eof():
                content = await self._read_counted(run, answer)
                now = asyncio.get_running_loop().time()
                self._health.record_received(endpoint.id, now)
                if await self._write_events(run, answer, content):
                    arrived_at.append(now)
                    self._record_event(run, now)
            if events.has_partial_event:
                raise AnswerTruncated("stream ended within an event")
            # Without a length or chunks, an engine that ends before its first event
            # looks the same as one whose stream is empty, and no stream is.
            if not answer.delimited and not events.count:
                raise AnswerTruncated("stream ended before its first event")
            await self.end_check.check(run, answer)
        except (AnswerTruncated, EventTooLong) as error:
            if isinstance(error, AnswerTruncated):
                run.record_broken()
            self.record_failure(endpoint, repr(error))
            raise AttemptFailed("stream broken off", may_have_run=True) from error
        self._health.record_stream(endpoint.id, arrived_at)
        run.record_ended()
        self._health.record_success(endpoint.id)
        await run.claim()
        return await _get_response(run, answer)

    async def _read_counted(self, run: Run, answer: Answer) -> bytes:
        """Return the next bytes of a stream, which are counted as awaited."""
        now = asyncio.get_running_loop().time()
        self._health.start_awaiting(run.endpoint.id, now)
        try:
            return await self._read_events(run, answer)
        finally:
            self._health.end_awaiting(run.endpoint.id)

    async def _read_all(self, run: Run, answer: Answer) -> bytes | None:
        """Return a body as ``Answer.read_all``; a backup may overtake it."""
        reading = answer.read_all(MAX_BUFFERED_BYTES)
        if self.hedging is None or run.is_second or run.progress.backup is None:
            return await reading
        return await self.hedging.wait(run, reading, lambda: Verdict.WAIT)

    async def _read_events(self, run: Run, answer: Answer) -> bytes:
        """Return the next bytes of a stream; raises ``AttemptFailed``.

        An endpoint is not silent while this daemon doesn't read what it sends.
        """
        clock = asyncio.get_running_loop().time
        heard_at = clock()
        was_late = False
        while run.is_second or run.progress.backup is None:
            limit = compute_wait_limit(run) if self.hedging is not None else None
            waits_since = clock()
            answer.protocol.was_held = answer.protocol.held
            try:
                async with asyncio.timeout(limit):
                    return await answer.read_some()
            except TimeoutError:
                if answer.protocol.was_held or limit is None:
                    heard_at = clock()
                    continue
                is_late = is_timer_late(waits_since + limit, clock()) and not was_late
                was_late = is_late
                if not is_late and not run.is_second:
                    break
        assert self.hedging is not None
        return await self.hedging.wait(
            run, answer.read_some(), lambda: self._evaluate_stall(run, answer, heard_at)
        )

    def _evaluate_stall(self, run: Run, answer: Answer, heard_at: Seconds) -> Verdict:
        """Return whether another endpoint is to be asked for a stream."""
        if answer.protocol.held or self.hedging is None:
            return Verdict.WAIT
        return self.hedging.stalls.evaluate(run, heard_at)

    async def _write_events(self, run: Run, answer: Answer, content: bytes) -> bool:
        """Write the events that are complete; return whether there are any."""
        complete_events = run.events.feed(content)
        if not complete_events:
            return False
        run.record_answered(complete=False)
        progress = run.progress
        is_contested = run.is_second or progress.backup is not None
        if is_contested and not has_event(complete_events):
            return False
        await run.claim()
        if progress.origin is None:
            progress.origin = self.begin_stream(run.request, run.endpoint)
        response = await _get_response(run, answer)
        progress.last_event_id = run.events.last_id
        await response.write(complete_events)
        return True

    def _record_event(self, run: Run, now: Seconds) -> None:
        """Learn from the time between two events of an engine's stream.

        Only a pause after a client has taken the last event is the engine's.
        """
        request, progress = run.request, run.progress
        if request.service.engine is None:
            return
        longest = progress.longest_pause
        was_written_at, progress.written_at = (
            progress.written_at,
            asyncio.get_running_loop().time(),
        )
        pause = progress.record_event(now)
        if pause is None:
            self.pauses.record_stream(request.service_name)
            return
        pause = min(pause, now - was_written_at)
        self.event_times.learn(run.endpoint.id, pause)
        limit = request.route.max_pause
        if is_stretched(pause, limit) and not is_stretched(longest, limit):
            self.pauses.record_stretched(request.service_name)


async def _get_response(run: Run, answer: Answer) -> web.StreamResponse:
    """Return the response of a stream, which an earlier run may have started."""
    response = run.progress.response
    return response if response is not None else await _start_response(run, answer)


async def _start_response(run: Run, answer: Answer) -> web.StreamResponse:
    """Send the head of an answer to the client, and return the response to write to."""
    response = make_streamed_answer(answer, run.client)
    run.progress.response = response
    await response.prepare(run.client)
    return response


def _record_complete(run: Run, answer: Answer) -> None:
    """Record that an answer is complete.

    An error answer doesn't count as a successful run: an endpoint that fails a fraction
    of its requests may have failed this one without processing it.
    """
    if answer.status < MIN_FAILURE_STATUS:
        run.record_answered(complete=True)
    else:
        run.record_ended()
