"""Sends a request to an endpoint and waits for the head of its answer."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.beginnings import log_beginning
from kestreltally.entry.delivery import Delivery
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.hedging import Hedging, compute_wait_limit
from kestreltally.entry.progress import AttemptFailed, Progress
from kestreltally.entry.recall import VersionRecall
from kestreltally.entry.rejections import RejectionCheck
from kestreltally.entry.request import BODY_METHODS, ClientRequest
from kestreltally.entry.run import Run
from kestreltally.entry.sends import Proof
from kestreltally.entry.silence import UnansweredRequest, Verdict, evaluate_silence
from kestreltally.entry.upstream import (
    Answer,
    AnswerInvalid,
    AnswerLost,
    Channel,
    ChannelClosed,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.notices import Unavailable
from kestreltally.fleet.tables import Fleet
from kestreltally.platform.headers import (
    LAST_EVENT_ID,
    encode_request,
    is_genuine,
)
from kestreltally.poison.guard import PoisonGuard

LOG = logging.getLogger("kestreltally.relay")


class Sender:
    """Sends requests, and returns the answers of endpoints that may have run them."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ChannelPool,
        health: HealthTable,
        finder: EndpointFinder,
        delivery: Delivery,
        hedging: Hedging,
        poison: PoisonGuard,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._health = health
        self._finder = finder
        self._delivery = delivery
        self._hedging = hedging
        self._poison = poison
        self._recall = VersionRecall(fleet)
        self._rejections = RejectionCheck(fleet, health, finder, poison)

    async def connect(self, request: ClientRequest, endpoint: Endpoint) -> Channel:
        """Return a channel to an endpoint; raises ``AttemptFailed``."""
        try:
            return await self._pool.acquire(endpoint, request.head.id)
        except NotConnected as error:
            if error.refused:
                self._poison.crash_detector.record_refused(endpoint)
            self._delivery.record_failure(endpoint, str(error))
            self._record_unreachable(request, endpoint)
            raise AttemptFailed(
                "no connection to the endpoint",
                may_have_run=False,
                unreached=True,
            ) from error

    def _record_unreachable(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Exclude the engine for these weights, and report it to the leader."""
        key = request.head.weights
        if key is None or request.service.engine is None:
            return
        now = asyncio.get_running_loop().time()
        self._fleet.record_missing_weights(endpoint.id, key, now)
        self._pool.contact.believe_later(
            lambda: self._finder.report_missing(endpoint.id, key)
        )

    async def send(self, run: Run, channel: Channel, urgency: int) -> Answer:
        """Send a request and return its answer; raises ``AttemptFailed``."""
        request, progress, endpoint = run.request, run.progress, run.endpoint
        if self._recall.is_too_late(run):
            progress.sends -= 1
            raise AttemptFailed(
                f"{request.head.weights} is outdated at the endpoint",
                may_have_run=False,
            )
        head = self._encode(request, progress, endpoint, urgency)
        self._log_resumption(request, progress, endpoint)
        # From this point the request may run, whatever interrupts the wait for its
        # answer.
        send = progress.send_log.start()
        sent_at = asyncio.get_running_loop().time()
        sending = self._recall.wait(
            run, channel.send(head, request.body, request.head.id)
        )
        wait_limit = compute_wait_limit(run)
        try:
            if wait_limit is None:
                answer = await sending
            else:
                answer = await self._wait_for_answer(run, sending, wait_limit)
        except (ChannelClosed, Unavailable) as error:
            send.disprove(Proof.NOT_WRITTEN)
            progress.sends -= 1
            raise AttemptFailed(
                f"nothing was sent: {error!r}", may_have_run=False
            ) from error
        except AnswerLost as error:
            run.record_broken()
            self._delivery.record_failure(endpoint, str(error))
            is_invalid = isinstance(error, AnswerInvalid)
            fault = str(error) if is_invalid else "connection lost before the answer"
            raise AttemptFailed(fault, may_have_run=True) from error
        await self._rejections.check(run, send, channel, answer)
        if not is_genuine(answer.status, answer.headers):
            self._delivery.record_failure(endpoint, "answer encoded or without stamp")
            raise AttemptFailed("answer not genuine", may_have_run=True)
        log_beginning(self._fleet, run, answer, sent_at)
        return answer

    async def _wait_for_answer(
        self, run: Run, sending: Coroutine[Any, Any, Answer], wait_limit: Seconds
    ) -> Answer:
        """Return an answer; raises ``AttemptFailed`` if another endpoint has it."""
        sent_at = asyncio.get_running_loop().time()
        answering = asyncio.create_task(sending)
        try:
            while not (await asyncio.wait({answering}, timeout=wait_limit))[0]:
                if not run.is_second:
                    return await self._hedging.wait(
                        run, answering, lambda: self._evaluate_silence(run, sent_at)
                    )
            return answering.result()
        finally:
            answering.cancel()

    def _evaluate_silence(self, run: Run, sent_at: Seconds) -> Verdict:
        verdict = self._evaluate_unanswered(run)
        if verdict is not Verdict.SILENT:
            return verdict
        return self._hedging.stalls.evaluate(run, sent_at)

    def _evaluate_unanswered(self, run: Run) -> Verdict:
        request, progress, endpoint = run.request, run.progress, run.endpoint
        now = asyncio.get_running_loop().time()
        key = request.head.weights
        if request.service.engine is None or key is None:
            return Verdict.SILENT
        holders = self._fleet.list_holders(
            request.service_name, key, now, progress.software
        )
        return evaluate_silence(
            UnansweredRequest(
                serves=any(each.id == endpoint.id for each in holders)
                or self._fleet.is_backing_off(endpoint, now),
                has_alternative=any(each.id not in progress.tried for each in holders),
                silent_for=now - self._health.get_row(endpoint.id).received_at,
                overtaken=self._health.is_overtaken(endpoint.id, run.token),
            )
        )

    def _log_resumption(
        self, request: ClientRequest, progress: Progress, endpoint: Endpoint
    ) -> None:
        """Log at which software version a stream goes on, within an answer or not."""
        within_answer = progress.last_event_id is not None
        if not within_answer and not request.head.resumes:
            return
        log_decision(
            LOG,
            Decision.STREAM_GOES_ON,
            request=request.head.id,
            began_as=request.head.resumed or request.head.id,
            endpoint=endpoint.id,
            software=endpoint.software,
            within_answer=within_answer,
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
        last = progress.last_event_id
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
