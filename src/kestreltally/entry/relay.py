"""Relays one request: chooses an endpoint, sends the request, forwards the answer.

A request that must not run twice is sent to one endpoint only, unless that endpoint
states that it did not run. A resumable stream continues at another endpoint after the
last forwarded event.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.choice import Option
from kestreltally.entry.delivery import MAX_BUFFERED_BYTES, Delivery, compute_wait_limit
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import (
    DEFAULT_RETRY_DELAY,
    UNAVAILABLE,
    AttemptFailed,
    Prediction,
    Progress,
    StreamBroken,
    make_final_error,
)
from kestreltally.entry.request import (
    BODY_METHODS,
    Caller,
    ClientRequest,
    Refused,
)
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.silence import (
    POLL_INTERVAL,
    UnansweredRequest,
    Verdict,
    evaluate_silence,
)
from kestreltally.entry.upstream import (
    Answer,
    AnswerLost,
    AnswerTruncated,
    Channel,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.entry.waiting import LOWEST_URGENCY
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
)
from kestreltally.fleet.notices import Unavailable
from kestreltally.fleet.tables import Fleet
from kestreltally.platform.headers import (
    LAST_EVENT_ID,
    MISDIRECTED,
    encode_request,
    is_genuine,
    read_instance,
    was_not_run,
)
from kestreltally.poison.guard import PoisonGuard

LOG = logging.getLogger("kestreltally.relay")

GATEWAY_TIMEOUT: Final = 504
MIN_ERROR_STATUS: Final = 400
# Added to the priority of late requests, which places them in the less urgent half.
LATE_PRIORITY_OFFSET: Final = 5
# A request is given up this long before its deadline, so that the refusal still
# arrives.
REFUSAL_MARGIN: Final[Seconds] = 0.03
# Pause before the endpoints are tried again after all of them have been tried.
RETRY_PAUSE: Final[Seconds] = 0.1


def compute_urgency(
    request: ClientRequest, first_event_at: Seconds, *, resumes: bool
) -> int:
    """Return the priority to send to an engine, 0 the most urgent.

    A request that misses its objective yields to those that can still meet theirs;
    such late requests keep their order. A stream that has started is not late.
    """
    priority = request.priority
    if resumes or first_event_at <= request.arrived_at + request.route.objective:
        return priority
    return min(LOWEST_URGENCY, LATE_PRIORITY_OFFSET + priority)


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
        self.finder = EndpointFinder(data_centre, fleet, health)
        self._delivery = Delivery(health, budget)
        self.poison = PoisonGuard(lambda endpoint: health.get_row(endpoint).received_at)
        self.poison.crash_detector.get_serving = self._get_serving
        # Called with a prompt's token count when an endpoint starts or ends its
        # prefill.
        self.record_reading: Callable[[int], None] = lambda _: None
        # Called when this daemon's use of an adapter on an engine starts or ends.
        self.notify_use_change: Callable[[], None] = lambda: None
        # Raises ``Refused`` if a key was revoked after its request was read.
        self.check_caller: Callable[[Caller], None] = lambda _: None

    def _get_serving(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint if it is listed and not leaving."""
        known = self._fleet.endpoints.get(endpoint)
        return known if known is not None and not known.leaving else None

    async def serve(
        self, request: ClientRequest, client: web.BaseRequest, progress: Progress
    ) -> web.StreamResponse:
        """Return the answer to a request; raises ``Refused`` or ``StreamBroken``."""
        self._check_poison(request, progress)
        self.budget.record_request(request.service_name, request.arrived_at)
        if request.head.weights is not None and request.service.engine is not None:
            self.finder.demand.record_arrival(
                request.service_name, request.head.weights
            )
        try:
            async with asyncio.timeout_at(request.deadline - REFUSAL_MARGIN):
                return await self._serve_with_retries(request, client, progress)
        except TimeoutError as error:
            if progress.response is not None:
                raise StreamBroken(
                    "request deadline exceeded during the answer"
                ) from error
            if progress.runs:
                raise Refused(
                    GATEWAY_TIMEOUT, "no answer before the request deadline"
                ) from error
            raise Refused(
                UNAVAILABLE,
                "request deadline exceeded while waiting for an endpoint",
                DEFAULT_RETRY_DELAY,
            ) from error

    async def _serve_with_retries(
        self, request: ClientRequest, client: web.BaseRequest, progress: Progress
    ) -> web.StreamResponse:
        while True:
            option = await self.finder.find(request, progress)
            if request.caller is not None and not progress.runs:
                self.check_caller(request.caller)
            self._check_poison(request, progress)
            if progress.sends and not self._acquire_retry(request):
                raise make_final_error(progress)
            try:
                return await self._attempt(request, client, progress, option)
            except AttemptFailed as failure:
                progress.last_fault = failure.fault
                self._log_failed_attempt(request, progress, option.endpoint, failure)
                if not self._can_try_another(request, progress, failure):
                    raise make_final_error(progress) from failure
                if len(progress.trail) > 2 * len(progress.tried):
                    # All endpoints have been tried: pause before the next round.
                    await asyncio.sleep(RETRY_PAUSE)

    def _check_poison(self, request: ClientRequest, progress: Progress) -> None:
        """Stop a suspected poison request: endpoints have ended while they ran it.

        It would probably end the next endpoint too, and all other requests there.
        """
        block = self.poison.find_block(request)
        if block is None:
            return
        progress.content = block.content
        progress.last_fault = f"stopped: {block.ends} endpoints ended under it"
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
            fault=failure.fault,
            may_have_run=failure.may_have_run,
            retries_left=round(
                self.budget.compute_remaining(request.service_name, now), 1
            ),
            left=round(request.deadline - now, 3),
        )

    def _acquire_retry(self, request: ClientRequest) -> bool:
        now = asyncio.get_running_loop().time()
        return self.budget.acquire(request.service_name, now)

    def _can_try_another(
        self, request: ClientRequest, progress: Progress, failure: AttemptFailed
    ) -> bool:
        if not failure.may_have_run and not progress.runs:
            return True
        return request.route.repeatable and progress.runs < request.route.attempts

    async def _attempt(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        option: Option,
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        endpoint, predicted = option.endpoint, option.first_event_delay
        progress.tried.add(endpoint.id)
        started_at = loop.time()
        prefill_times = self.finder.prefill_times
        urgency = compute_urgency(
            request, started_at + predicted, resumes=progress.response is not None
        )
        work = replace(option.work, priority=urgency)
        prefill_duration = (
            prefill_times.compute_token_time(endpoint.id) * work.uncached_tokens
        )
        token = self.health.start(
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
        try:
            channel = await self._connect(request, endpoint)
            progress.sends += 1
            progress.attempt = self.poison.crash_detector.start(request, endpoint)
            answer = await self._send_request(
                request, progress, endpoint, channel, token, urgency
            )
            self.health.record_answer_start(endpoint.id, token, loop.time())
            self.record_reading(work.uncached_tokens)
            progress.first_byte_at = progress.first_byte_at or loop.time()
            if request.service.engine is not None and answer.status < MIN_ERROR_STATUS:
                took = loop.time() - started_at
                prefill_times.learn(endpoint.id, work, took)
                progress.predictions.append(Prediction(predicted, took))
            channel.apply_keep_alive(answer, loop.time())
            response = await self._forward(request, client, progress, endpoint, answer)
            keep = True
            return response
        except AttemptFailed as failure:
            keep = not failure.may_have_run
            if not failure.may_have_run:
                progress.record_ended()
            raise
        finally:
            self._end_attempt(progress)
            self.health.end(endpoint.id, token)
            self._record_use(request, endpoint, -1)
            if channel is not None:
                self._pool.release(channel, keep=keep)

    def _end_attempt(self, progress: Progress) -> None:
        if progress.attempt is not None:
            self.poison.crash_detector.end(progress.attempt)
            progress.attempt = None

    def _record_use(
        self, request: ClientRequest, endpoint: Endpoint, step: int
    ) -> None:
        key = request.head.weights
        if key is None or not key.adapter:
            return
        if self.finder.demand.record_use(endpoint.id, key, step):
            self.notify_use_change()

    async def _connect(self, request: ClientRequest, endpoint: Endpoint) -> Channel:
        try:
            return await self._pool.acquire(endpoint)
        except NotConnected as error:
            if error.refused:
                self.poison.crash_detector.record_refused(endpoint)
            self._delivery.record_failure(endpoint, str(error))
            self._record_unreachable(request, endpoint)
            raise AttemptFailed(
                "no connection to the endpoint", may_have_run=False
            ) from error

    def _record_unreachable(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Exclude the engine for these weights, and report it to the leader."""
        key = request.head.weights
        if key is None or request.service.engine is None:
            return
        now = asyncio.get_running_loop().time()
        self._fleet.record_missing_weights(endpoint.id, key, now)
        self.finder.demand.record_refused(endpoint.id, key)
        self.finder.expedite()

    async def _send_request(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        channel: Channel,
        token: int,
        urgency: int,
    ) -> Answer:
        head = self._encode(request, progress, endpoint, urgency)
        # From this point the request may run, whatever interrupts the wait for its
        # answer.
        progress.runs += 1
        sending = channel.send(head, request.body, request.head.id)
        wait_limit = compute_wait_limit(request, progress)
        try:
            if wait_limit is None:
                answer = await sending
            else:
                answer = await self._wait_for_answer(
                    request, progress, endpoint, token, sending, wait_limit
                )
        except Unavailable as error:
            progress.runs -= 1
            progress.sends -= 1
            raise AttemptFailed(
                "endpoint accepts no requests at present", may_have_run=False
            ) from error
        except AnswerLost as error:
            progress.record_broken()
            self._delivery.record_failure(endpoint, str(error))
            raise AttemptFailed(
                "connection lost before the answer", may_have_run=True
            ) from error
        if was_not_run(answer.status, answer.headers):
            progress.runs -= 1
            await self._handle_not_run(request, endpoint, answer)
        if not is_genuine(answer.status, answer.headers):
            self._delivery.record_failure(endpoint, "answer encoded or without stamp")
            raise AttemptFailed("answer not genuine", may_have_run=True)
        return answer

    async def _wait_for_answer(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        token: int,
        sending: Coroutine[Any, Any, Answer],
        wait_limit: Seconds,
    ) -> Answer:
        """Return an answer; raises ``AttemptFailed`` to try another endpoint."""
        answering = asyncio.create_task(sending)
        try:
            while not (await asyncio.wait({answering}, timeout=wait_limit))[0]:
                verdict = self._evaluate_silence(request, progress, endpoint, token)
                if verdict is not Verdict.WAIT:
                    self._delivery.record_failure(endpoint, "silent")
                    raise AttemptFailed(verdict.value, may_have_run=True)
                wait_limit = POLL_INTERVAL
            return await answering
        finally:
            answering.cancel()

    def _evaluate_silence(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        token: int,
    ) -> Verdict:
        now = asyncio.get_running_loop().time()
        key = request.head.weights
        if request.service.engine is None or key is None:
            return Verdict.SILENT
        holders = self._fleet.list_holders(request.service_name, key, now)
        return evaluate_silence(
            UnansweredRequest(
                serves=any(each.id == endpoint.id for each in holders)
                or self._fleet.is_backing_off(endpoint, now),
                has_alternative=any(each.id not in progress.tried for each in holders),
                silent_for=now - self.health.get_row(endpoint.id).received_at,
                overtaken=self.health.is_overtaken(endpoint.id, token),
            )
        )

    async def _handle_not_run(
        self, request: ClientRequest, endpoint: Endpoint, answer: Answer
    ) -> None:
        """Record why an endpoint did not run a request; raises ``AttemptFailed``."""
        now = asyncio.get_running_loop().time()
        key = request.head.weights
        if answer.status == MISDIRECTED:
            instance = read_instance(answer.headers)
            if instance and instance != endpoint.id:
                self.poison.crash_detector.record_replaced(endpoint)
                self._fleet.drop_endpoint(endpoint.id)
            elif key is not None:
                self._fleet.record_missing_weights(endpoint.id, key, now)
                self.finder.demand.record_refused(endpoint.id, key)
                self.finder.expedite()
        try:
            await answer.read_all(MAX_BUFFERED_BYTES)
        except AnswerTruncated as error:
            LOG.debug(
                "relay: refusal from endpoint %s truncated: %s", endpoint.id, error
            )
        raise AttemptFailed(
            f"request not run (status {answer.status})", may_have_run=False
        )

    def _encode(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        urgency: int,
    ) -> bytes:
        now = asyncio.get_running_loop().time()
        headers = list(request.headers)
        last = progress.events.last_id
        if last is not None:
            headers = [h for h in headers if h[0].lower() != LAST_EVENT_ID.lower()]
            headers.append((LAST_EVENT_ID, last))
        is_engine = request.service.engine is not None
        headers.extend(
            encode_request(
                remaining=request.deadline - now,
                instance=endpoint.id,
                priority=urgency if is_engine else None,
                version=self._choose_version(request, endpoint),
                organisation=request.organisation_name,
            )
        )
        if request.body or request.method in BODY_METHODS:
            headers.append(("Content-Length", str(len(request.body))))
        return encode_head(request.method, request.path, headers)

    def _choose_version(self, request: ClientRequest, endpoint: Endpoint) -> int | None:
        """Return the newest version if the endpoint has it, to require it there."""
        key = request.head.weights
        if key is None or not key.adapter:
            return None
        newest = self._fleet.get_newest_version(key)
        return newest if endpoint.weights.get(key) == newest else None

    async def _forward(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        endpoint: Endpoint,
        answer: Answer,
    ) -> web.StreamResponse:
        if request.head.weights is not None:
            self.finder.affinity.record(request, request.head.weights, endpoint.id)
        return await self._delivery.forward(request, client, progress, endpoint, answer)
