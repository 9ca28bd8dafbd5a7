"""Hands an endpoint's answer on to the client, whole, long or event by event."""

import asyncio
import logging
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.answers import make_streamed_answer, make_whole_answer
from kestreltally.entry.events import EventTooLong
from kestreltally.entry.health import HealthTable
from kestreltally.entry.patience import find_first_look
from kestreltally.entry.progress import MoveOn, Progress, StreamBroken
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.upstream import Answer, AnswerTorn
from kestreltally.fleet.model import Endpoint, RequestKind, Seconds

LOG = logging.getLogger("kestreltally.relay")

FAILED_FROM: Final = 500
# Statuses that promise that a request has not run: an endpoint's own is handed on
# only where it says so itself.
PROMISING: Final = frozenset({408, 421, 429, 503})
# Bodies up to this many bytes are handed on whole, so that a torn one can be retried.
WHOLE_LIMIT: Final = 2**18


def find_patience(request: ClientRequest, progress: Progress) -> Seconds | None:
    """Return how long an endpoint may be silent; none where no other may be asked."""
    route = request.route
    if not route.repeatable or progress.runs >= route.attempts:
        return None
    return find_first_look(route.objective)


class Delivery:
    """Hands answers on, and notes how they ended at their endpoints."""

    def __init__(self, health: HealthTable, budget: RetryBudget) -> None:
        self._health = health
        self._budget = budget

    def record_failure(self, endpoint: Endpoint, fault: str) -> None:
        """Count a failure of an endpoint, and tell where it is left out for it."""
        now = asyncio.get_running_loop().time()
        if self._health.record_failure(endpoint.id, now):
            log_decision(
                LOG, Decision.ENDPOINT_LEFT_OUT, endpoint=endpoint.id, fault=fault
            )

    async def hand_on(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        """Return the answer as it went to the client.

        Raises ``MoveOn`` where another endpoint may better it, and ``StreamBroken``
        where the client has seen too much of it for that.
        """
        if request.route.kind is RequestKind.STREAM and answer.status < 300:
            return await self._hand_on_events(
                request, client, progress, endpoint, answer
            )
        try:
            body = await answer.read_whole(WHOLE_LIMIT)
        except AnswerTorn as error:
            progress.note_broken()
            self.record_failure(endpoint, str(error))
            raise MoveOn("the answer was torn", may_have_run=True) from error
        if body is None:
            return await self._hand_on_long(client, progress, endpoint, answer)
        _note_whole(progress, answer)
        self._judge_status(request, progress, endpoint, answer)
        return make_whole_answer(answer, body)

    def _judge_status(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> None:
        """Raise ``MoveOn`` for an answer that another endpoint may better."""
        if answer.status < FAILED_FROM:
            self._health.note_success(endpoint.id)
            return
        now = asyncio.get_running_loop().time()
        self._health.row(endpoint.id).answered_at = now
        again = request.route.repeatable and progress.runs < request.route.attempts
        if progress.response is not None:
            raise MoveOn(f"status {answer.status}", may_have_run=True)
        if answer.status in PROMISING:
            raise MoveOn(f"status {answer.status}", may_have_run=True)
        if again and self._budget.left(request.service_name, now) >= 1:
            raise MoveOn(f"status {answer.status}", may_have_run=True)

    async def _hand_on_long(
        self,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        response = make_streamed_answer(answer)
        progress.response = response
        await response.prepare(client)
        try:
            while not answer.body.at_eof():
                await response.write(await answer.read_some())
        except AnswerTorn as error:
            progress.note_broken()
            self.record_failure(endpoint, str(error))
            raise StreamBroken(str(error)) from error
        _note_whole(progress, answer)
        self._health.note_success(endpoint.id)
        return response

    async def _hand_on_events(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        events = progress.events
        events.restart()
        try:
            while not answer.body.at_eof():
                async with asyncio.timeout(find_patience(request, progress)):
                    content = await answer.read_some()
                self._health.record_received(
                    endpoint.id, asyncio.get_running_loop().time()
                )
                await self._write_events(client, progress, answer, content)
            if events.has_rest:
                raise AnswerTorn("ended within an event")
        except (AnswerTorn, EventTooLong, TimeoutError) as error:
            if isinstance(error, AnswerTorn):
                progress.note_broken()
            self.record_failure(endpoint, repr(error))
            raise MoveOn("the stream broke off", may_have_run=True) from error
        progress.note_ended()
        self._health.note_success(endpoint.id)
        if progress.response is None:
            progress.response = make_streamed_answer(answer)
            await progress.response.prepare(client)
        return progress.response

    async def _write_events(
        self,
        client: web.BaseRequest,
        progress: Progress,
        answer: Answer,
        content: bytes,
    ) -> None:
        whole = progress.events.feed(content)
        if not whole:
            return
        progress.note_answered(whole=False)
        if progress.response is None:
            progress.response = make_streamed_answer(answer)
            await progress.response.prepare(client)
        await progress.response.write(whole)


def _note_whole(progress: Progress, answer: Answer) -> None:
    """Note that an answer is whole; a failure shows of no request that it runs well.

    An endpoint that fails a part of its requests may have failed it unlooked at.
    """
    if answer.status < FAILED_FROM:
        progress.note_answered(whole=True)
    else:
        progress.note_ended()
