"""Forwards an endpoint's answer to the client: buffered, streamed, or by events."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answers import make_buffered_answer, make_streamed_answer
from kestreltally.entry.events import EventTooLong
from kestreltally.entry.exchanges import count_answer
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import AttemptFailed, Progress, StreamBroken
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.silence import compute_first_check_delay
from kestreltally.entry.stalls import StallMonitor
from kestreltally.entry.upstream import Answer, AnswerTruncated, ChannelPool
from kestreltally.fleet.model import Endpoint, RequestKind, Seconds
from kestreltally.pacing.pauses import EventTimes, PauseCounter, is_stretched
from kestreltally.streams.origins import StreamOrigin

LOG = logging.getLogger("kestreltally.relay")

MIN_FAILURE_STATUS: Final = 500
# Statuses that tell a client that its request has not run. An endpoint's answer with
# one of them is forwarded only if the endpoint states explicitly that it did not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Bodies up to this size are buffered, so that a truncated one can be retried.
MAX_BUFFERED_BYTES: Final = 2**18
# The time between events is measured over the last ones, this many at most.
MAX_TIMED_EVENTS: Final = 64


def compute_wait_limit(request: ClientRequest, progress: Progress) -> Seconds | None:
    """Return how long to wait for an endpoint; None if no other may be tried."""
    route = request.route
    if not route.repeatable or progress.runs >= route.attempts:
        return None
    return compute_first_check_delay(route.objective)


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
        # Logs and evaluates stalls of answers; set by the relay.
        self.stalls: StallMonitor | None = None
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

    async def forward(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        """Return the answer as it was sent to the client.

        Raises ``AttemptFailed`` if another endpoint may still be tried, and
        ``StreamBroken`` if the client has already received part of the answer.
        """
        count_answer(client, answer)
        if request.route.kind is RequestKind.STREAM and answer.status < 300:
            return await self._forward_events(
                request, client, progress, endpoint, answer
            )
        try:
            body = await answer.read_all(MAX_BUFFERED_BYTES)
            if body is not None:
                await self._check_end(request, progress, endpoint, answer)
        except AnswerTruncated as error:
            progress.record_broken()
            self.record_failure(endpoint, str(error))
            raise AttemptFailed("answer body truncated", may_have_run=True) from error
        if body is None:
            self._check_status(request, progress, endpoint, answer)
            return await self._forward_long_body(
                request, client, progress, endpoint, answer
            )
        _record_complete(progress, answer)
        self._check_status(request, progress, endpoint, answer)
        if answer.delimited:
            return make_buffered_answer(answer, body)
        progress.response = make_streamed_answer(answer, client)
        await progress.response.prepare(client)
        await progress.response.write(body)
        return progress.response

    def _check_status(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> None:
        """Raise ``AttemptFailed`` for an error answer that should not be forwarded."""
        if answer.status < MIN_FAILURE_STATUS:
            self._health.record_success(endpoint.id)
            return
        now = asyncio.get_running_loop().time()
        self._health.record_error_status(endpoint.id, now)
        retryable = request.route.repeatable and progress.runs < request.route.attempts
        if progress.response is not None:
            raise AttemptFailed(f"status {answer.status}", may_have_run=True)
        if answer.status in NOT_RUN_STATUSES:
            raise AttemptFailed(f"status {answer.status}", may_have_run=True)
        if retryable and self._budget.can_acquire(
            request.service_name, now, request.priority
        ):
            raise AttemptFailed(f"status {answer.status}", may_have_run=True)

    async def _forward_long_body(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        response = make_streamed_answer(answer, client)
        progress.response = response
        await response.prepare(client)
        try:
            while not answer.body.at_eof():
                await response.write(await answer.read_some())
            await self._check_end(request, progress, endpoint, answer)
        except AnswerTruncated as error:
            progress.record_broken()
            self.record_failure(endpoint, str(error))
            raise StreamBroken(str(error)) from error
        _record_complete(progress, answer)
        self._health.record_success(endpoint.id)
        return response

    async def _forward_events(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        events = progress.events
        events.restart()
        arrived_at: deque[Seconds] = deque(maxlen=MAX_TIMED_EVENTS)
        self._health.start_stream(endpoint.id)
        try:
            while not answer.body.at_eof():
                content = await _read_events(request, progress, answer)
                now = asyncio.get_running_loop().time()
                self._health.record_received(endpoint.id, now)
                if await self._write_events(
                    request, client, progress, endpoint, answer, content
                ):
                    arrived_at.append(now)
                    self._record_event(request, progress, endpoint, now)
            if events.has_partial_event:
                raise AnswerTruncated("stream ended within an event")
            # Without a length or chunks, an engine that ends before its first event
            # looks the same as one whose stream is empty, and no stream is.
            if not answer.delimited and not events.count:
                raise AnswerTruncated("stream ended before its first event")
            await self._check_end(request, progress, endpoint, answer)
        except (AnswerTruncated, EventTooLong, TimeoutError) as error:
            if isinstance(error, AnswerTruncated):
                progress.record_broken()
            if isinstance(error, TimeoutError) and self.stalls is not None:
                limit = compute_wait_limit(request, progress) or 0.0
                self.stalls.log(request, progress, endpoint, limit)
            self.record_failure(endpoint, repr(error))
            raise AttemptFailed("stream broken off", may_have_run=True) from error
        finally:
            self._health.end_stream(endpoint.id)
        self._health.record_stream(endpoint.id, arrived_at)
        progress.record_ended()
        self._health.record_success(endpoint.id)
        if progress.response is None:
            progress.response = make_streamed_answer(answer, client)
            await progress.response.prepare(client)
        return progress.response

    async def _check_end(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> None:
        """Raise ``AnswerTruncated`` if an answer ended because its endpoint did.

        Only an answer without length and chunks can do so unnoticed.
        """
        if answer.delimited:
            return
        listening = await self._pool.confirm_listening(endpoint)
        log_decision(
            LOG,
            Decision.ANSWER_UNDELIMITED,
            request=request.head.id,
            endpoint=endpoint.id,
            status=answer.status,
            size=answer.taken,
            events=progress.events.count,
            listening=listening,
        )
        if not listening:
            raise AnswerTruncated("endpoint ended with its answer")

    async def _write_events(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
        content: bytes,
    ) -> bool:
        """Write the events that are complete; return whether there are any."""
        complete_events = progress.events.feed(content)
        if not complete_events:
            return False
        progress.record_answered(complete=False)
        if progress.origin is None:
            progress.origin = self.begin_stream(request, endpoint)
        if progress.response is None:
            progress.response = make_streamed_answer(answer, client)
            await progress.response.prepare(client)
        await progress.response.write(complete_events)
        return True

    def _record_event(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        now: Seconds,
    ) -> None:
        """Learn from the time between two events of an engine's stream.

        Only a pause after a client has taken the last event is the engine's.
        """
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
        self.event_times.learn(endpoint.id, pause)
        limit = request.route.max_pause
        if is_stretched(pause, limit) and not is_stretched(longest, limit):
            self.pauses.record_stretched(request.service_name)


async def _read_events(
    request: ClientRequest, progress: Progress, answer: Answer
) -> bytes:
    """Return the next bytes of a stream; raises ``TimeoutError`` if it is silent.

    An endpoint is not silent while this daemon doesn't read what it sends.
    """
    while True:
        answer.protocol.was_held = answer.protocol.held
        try:
            async with asyncio.timeout(compute_wait_limit(request, progress)):
                return await answer.read_some()
        except TimeoutError:
            if not answer.protocol.was_held:
                raise


def _record_complete(progress: Progress, answer: Answer) -> None:
    """Record that an answer is complete.

    An error answer doesn't count as a successful run: an endpoint that fails a fraction
    of its requests may have failed this one without processing it.
    """
    if answer.status < MIN_FAILURE_STATUS:
        progress.record_answered(complete=True)
    else:
        progress.record_ended()
