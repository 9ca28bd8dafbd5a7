"""Serves one request: admission, permit, attempts, relaying of the answer."""

import asyncio
from dataclasses import replace
from typing import Final
from uuid import uuid4

from result import Err, Ok, Result

from kestreltally.entities.ids import (
    AttemptId,
    EndpointId,
    Priority,
    RequestId,
    Seconds,
)
from kestreltally.entities.permits import HeldPermit, Waiter
from kestreltally.invariants import declare_invariant
from kestreltally.orders import (
    EndpointFailed,
    EndpointServed,
    PermitUsed,
    RefusalReason,
    UseEnd,
    WaiterRefused,
)
from kestreltally.ports import (
    Answer,
    AnswerHead,
    AttemptLost,
    EndpointRefused,
    EngineAttempt,
    NotStarted,
)
from kestreltally.requests.attempts import (
    AttemptEnd,
    AttemptResult,
    CallerRequest,
    RequestProgress,
    Sink,
)
from kestreltally.requests.claims import Claim, Claims
from kestreltally.requests.limits import CallerLimits, RetryBudget
from kestreltally.requests.outcomes import Outcome, Refusal
from kestreltally.requests.relay import AdapterMismatch, Relay
from kestreltally.requests.states import (
    FINAL_STAGES,
    RequestRecord,
    Stage,
    Step,
    get_next_stage,
)
from kestreltally.runtime import Runtime
from kestreltally.systems.granting import FAULT_WRONG_VERSION
from kestreltally.systems.leadership import TOKEN_BITS
from kestreltally.systems.membership import list_eligible

PART: Final = "request"
RETRY_AFTER: Final[Seconds] = 1.0
FAULT_NOT_REACHED: Final = "not_reached"
FAULT_ANSWER_LOST: Final = "answer_lost"
FAULT_NO_PROGRESS: Final = "no_progress"
SHED_FRACTION: Final = {
    Priority.INTERACTIVE: 1.0,
    Priority.STANDARD: 0.9,
    Priority.BATCH: 0.7,
}

NOT_RUN_MEANS_NOT_SENT = declare_invariant(
    "not-run-means-not-sent",
    promise="not run means not run",
    owner="requests/flow.py",
)
NOT_REPEATABLE_SENT_ONCE = declare_invariant(
    "not-repeatable-sent-once",
    promise="a not-repeatable request runs at most once",
    owner="requests/flow.py",
)
ANSWER_RIGHTLY_NAMED = declare_invariant(
    "answer-rightly-named",
    promise="the right adapter and version; each caller its own answer",
    owner="requests/flow.py",
)
DONE_ONLY_WITH_END_MARK = declare_invariant(
    "done-only-with-end-mark",
    promise="each caller gets the whole of its own answer",
    owner="requests/flow.py",
)


class RequestServer:
    """Serves requests at one daemon."""

    def __init__(self, runtime: Runtime, claims: Claims) -> None:
        self._runtime = runtime
        self._claims = claims
        self._limits = CallerLimits()
        now = runtime.world.now
        self._retry_budget = RetryBudget(runtime.world.settings.limits.retry_share, now)
        self.live: dict[RequestId, RequestRecord] = {}
        self.is_accepting = True

    # Admission, claim, deadline and retries

    async def serve(self, request: CallerRequest, sink: Sink) -> Result[None, Refusal]:
        """Serve a request; return None, or why the answer is not complete."""
        refused = self._admit(request)
        if refused is not None:
            return Err(refused)
        progress = RequestProgress()
        try:
            result = await self._serve_claimed(request, sink, progress)
        except BaseException:
            self._close(request, Step.FAIL, "the caller disconnected")
            raise
        finally:
            self._limits.release(request.caller)
            self.live.pop(request.request, None)
        return result

    def _admit(self, request: CallerRequest) -> Refusal | None:
        """Admit a request and count it, or return why it is refused."""
        if request.request in self.live:
            return self._make_refusal(
                RefusalReason.DUPLICATE,
                Outcome.UNKNOWN,
                "a request with this id is in progress",
            )
        refusal = self._check_daemon_load(request)
        if refusal is not None:
            return refusal
        daemon_count = len(list_eligible(self._runtime.world))
        wait = self._limits.acquire(request.caller, daemon_count, self._runtime.clock())
        if wait is not None:
            return self._make_refusal(
                RefusalReason.CALLER_LIMIT,
                Outcome.NOT_RUN,
                f"caller {request.caller.name} exceeds its rate or concurrency limit",
                wait,
            )
        self._retry_budget.record_request()
        self.live[request.request] = RequestRecord(
            request=request.request,
            caller=request.caller.name,
            adapter=request.adapter,
            priority=request.priority,
            repeatable=request.repeatable,
            revision=request.revision,
            since=request.received_at,
        )
        self._add_event(
            request,
            "received",
            reason=f"revision {request.revision}",
            detail=f"caller {request.caller.name}, priority {request.priority.name}",
        )
        self._apply_step(request, Step.ADMIT)
        return None

    def _check_daemon_load(self, request: CallerRequest) -> Refusal | None:
        limits = self._runtime.world.settings.limits
        fraction = SHED_FRACTION[request.priority]
        waiting = len(self._runtime.world.entry.waiters)
        if (
            len(self.live) < limits.concurrent_requests * fraction
            and waiting < limits.waiting_requests * fraction
        ):
            return None
        return self._make_refusal(
            RefusalReason.DAEMON_LIMIT,
            Outcome.NOT_RUN,
            "this daemon has reached its limit for requests of this priority",
            RETRY_AFTER,
        )

    async def _serve_claimed(
        self,
        request: CallerRequest,
        sink: Sink,
        progress: RequestProgress,
    ) -> Result[None, Refusal]:
        claim: Claim | None = None
        if not request.repeatable:
            claimed = await self._claim(request)
            if isinstance(claimed, Err):
                refusal = claimed.err_value
                self._close(request, Step.REFUSE, refusal.reason.value)
                return claimed
            claim = claimed.ok_value
        result = await self._serve_before_deadline(request, sink, progress)
        if isinstance(result, Err):
            refusal = self._check_outcome(request, progress, result.err_value)
            if claim is not None and refusal.outcome is Outcome.NOT_RUN:
                await self._claims.release(claim)
            step = Step.REFUSE if progress.possibly_run_attempts == 0 else Step.FAIL
            self._close(request, step, f"{refusal.reason.value}: {refusal.message}")
            return Err(refusal)
        self._close(request, Step.FINISH, "")
        return result

    async def _claim(self, request: CallerRequest) -> Result[Claim, Refusal]:
        claimant = f"{self._runtime.world.identity.vm}/{uuid4()}"
        self._add_event(request, "claims its id", reason="not repeatable")
        try:
            async with asyncio.timeout_at(request.deadline_at):
                return await self._claims.claim(
                    request.caller.name,
                    request.request,
                    claimant,
                )
        except TimeoutError:
            refusal = self._make_refusal(
                RefusalReason.CLAIMS_UNAVAILABLE,
                Outcome.NOT_RUN,
                "the request id could not be claimed before the deadline",
                RETRY_AFTER,
            )
            return Err(refusal)

    async def _serve_before_deadline(
        self,
        request: CallerRequest,
        sink: Sink,
        progress: RequestProgress,
    ) -> Result[None, Refusal]:
        try:
            async with asyncio.timeout_at(request.deadline_at):
                return await self._try_until_complete(request, sink, progress)
        except TimeoutError:
            refusal = self._make_refusal(
                RefusalReason.DEADLINE,
                self._get_outcome(progress),
                "the deadline has passed",
                RETRY_AFTER,
            )
            return Err(refusal)

    async def _try_until_complete(
        self,
        request: CallerRequest,
        sink: Sink,
        progress: RequestProgress,
    ) -> Result[None, Refusal]:
        while True:
            answer = await self._runtime.acquire(self._make_waiter(request, progress))
            if isinstance(answer, WaiterRefused):
                refusal = self._make_refusal(
                    answer.reason,
                    self._get_outcome(progress),
                    "no endpoint accepted the request",
                    answer.retry_after,
                )
                return Err(refusal)
            result = await self._attempt(request, answer.permit, sink, progress)
            if result.end is AttemptEnd.COMPLETE:
                return Ok(None)
            refused = self._evaluate_failure(request, progress, result, sink)
            if refused is not None:
                return Err(refused)
            self._apply_step(request, Step.RETRY)

    def _make_waiter(self, request: CallerRequest, progress: RequestProgress) -> Waiter:
        return Waiter(
            waiter=f"{request.request}/{progress.attempts}",
            request=request.request,
            adapter=request.adapter,
            candidates=request.candidates,
            priority=request.priority,
            deadline_at=request.deadline_at,
            since=self._runtime.clock(),
            avoid=progress.avoid,
        )

    def _get_outcome(self, progress: RequestProgress) -> Outcome:
        return Outcome.UNKNOWN if progress.possibly_run_attempts else Outcome.NOT_RUN

    def _evaluate_failure(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        result: AttemptResult,
        sink: Sink,
    ) -> Refusal | None:
        """Return why a failed attempt ends the request, or None if it is retried."""
        if result.end is AttemptEnd.LOST:
            if not request.repeatable:
                return self._make_refusal(
                    RefusalReason.ENDPOINT_FAILED,
                    Outcome.UNKNOWN,
                    f"{result.fault}; not retried, as the request is not repeatable",
                )
            if (
                progress.answer_started
                and not sink.is_buffered
                and progress.cannot_resume
            ):
                return self._make_refusal(
                    RefusalReason.CUT_OFF,
                    Outcome.UNKNOWN,
                    f"{result.fault}; the answer had already started",
                )
        limits = self._runtime.world.settings.limits
        if progress.attempts >= limits.attempts:
            return self._make_refusal(
                RefusalReason.ENDPOINT_FAILED,
                self._get_outcome(progress),
                f"{result.fault} in attempt {progress.attempts}",
                max(result.retry_after, RETRY_AFTER),
            )
        if not self._retry_budget.acquire(self._runtime.clock()):
            return self._make_refusal(
                RefusalReason.OVERLOADED,
                self._get_outcome(progress),
                f"{result.fault}; the retry budget is exhausted",
                RETRY_AFTER,
            )
        return None

    # One attempt

    async def _attempt(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        sink: Sink,
        progress: RequestProgress,
    ) -> AttemptResult:
        """Make one attempt under a permit; its batch slot is always released."""
        progress.attempts += 1
        identity = self._runtime.world.identity
        attempt = AttemptId(
            f"{request.request}/{identity.vm}.{identity.incarnation}/{progress.attempts}"
        )
        self._check_sent_once(request, progress)
        use_end = UseEnd.UNSURE
        started_at = self._runtime.clock()
        self._apply_step(request, Step.SEND, permit.endpoint)
        self._add_event(request, "sent", endpoint=permit.endpoint, detail=attempt)
        progress.possibly_run_attempts += 1
        try:
            result = await self._start_and_relay(
                request, permit, attempt, sink, progress
            )
            if result.end is not AttemptEnd.LOST:
                use_end = UseEnd.ENDED
        finally:
            used = PermitUsed(permit=permit.permit, attempt=attempt, end=use_end)
            self._runtime.post(used)
        if result.end is AttemptEnd.NOT_RUN:
            progress.possibly_run_attempts -= 1
        self._report_result(request, permit, result, started_at)
        if result.avoid_endpoint:
            progress.avoid |= {permit.endpoint}
        return result

    def _check_sent_once(
        self, request: CallerRequest, progress: RequestProgress
    ) -> None:
        self._runtime.world.invariants.require(
            NOT_REPEATABLE_SENT_ONCE,
            request.repeatable or progress.possibly_run_attempts == 0,
            request.request,
        )

    def _report_result(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        result: AttemptResult,
        started_at: Seconds,
    ) -> None:
        if result.end is AttemptEnd.COMPLETE:
            took = self._runtime.clock() - started_at
            self._runtime.post(EndpointServed(endpoint=permit.endpoint, took=took))
            return
        self._add_event(
            request,
            f"attempt {result.end.value}",
            reason=result.fault,
            endpoint=permit.endpoint,
        )
        failed = EndpointFailed(
            endpoint=permit.endpoint,
            adapter=request.adapter,
            fault=result.fault,
            counts=result.end is AttemptEnd.LOST or result.fault == FAULT_NOT_REACHED,
        )
        self._runtime.post(failed)

    async def _start_and_relay(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        attempt: AttemptId,
        sink: Sink,
        progress: RequestProgress,
    ) -> AttemptResult:
        limits = self._runtime.world.settings.limits
        try:
            async with asyncio.timeout(limits.first_token):
                answer = await self._start(request, permit, attempt, progress)
        except NotStarted:
            return AttemptResult(
                AttemptEnd.NOT_RUN, FAULT_NOT_REACHED, avoid_endpoint=True
            )
        except EndpointRefused as refused:
            return AttemptResult(
                AttemptEnd.NOT_RUN,
                refused.reason,
                retry_after=refused.retry_after,
            )
        except AttemptLost:
            return AttemptResult(
                AttemptEnd.LOST, FAULT_ANSWER_LOST, avoid_endpoint=True
            )
        except TimeoutError:
            return AttemptResult(
                AttemptEnd.LOST, FAULT_NO_PROGRESS, avoid_endpoint=True
            )
        try:
            return await self._relay(request, answer, attempt, sink, progress)
        except AdapterMismatch:
            return AttemptResult(
                AttemptEnd.LOST, FAULT_WRONG_VERSION, avoid_endpoint=True
            )
        except AttemptLost:
            return AttemptResult(
                AttemptEnd.LOST, FAULT_ANSWER_LOST, avoid_endpoint=True
            )
        except TimeoutError:
            return AttemptResult(
                AttemptEnd.LOST, FAULT_NO_PROGRESS, avoid_endpoint=True
            )
        finally:
            await answer.close()

    async def _start(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        attempt: AttemptId,
        progress: RequestProgress,
    ) -> Answer:
        world = self._runtime.world
        spec = world.config.endpoints.get(permit.endpoint)
        if spec is None:
            raise NotStarted("the endpoint was removed from the configuration")
        if request.call is not None:
            call = replace(request.call, attempt=attempt)
            return await self._runtime.ports.services.call(spec.url, call)
        engine_attempt = EngineAttempt(
            attempt=attempt,
            adapter=request.adapter,
            path=request.path,
            payload=request.payload,
            priority=int(request.priority),
            fence=permit.epoch << TOKEN_BITS,
            resume_token_ids=progress.token_ids,
        )
        return await self._runtime.ports.engines.start(spec.url, engine_attempt)

    async def _relay(
        self,
        request: CallerRequest,
        answer: Answer,
        attempt: AttemptId,
        sink: Sink,
        progress: RequestProgress,
    ) -> AttemptResult:
        if request.call is not None:
            return await self._relay_service(request, answer, attempt, sink, progress)
        head = answer.head
        if head.attempt != attempt or head.adapter != str(request.adapter):
            raise AdapterMismatch(
                f"answer for adapter {head.adapter} and attempt {head.attempt},"
                f" expected {request.adapter} and {attempt}"
            )
        relay = Relay(request.adapter)
        try:
            await self._relay_events(request, answer, relay, sink, progress)
        except (AttemptLost, TimeoutError):
            self._plan_resume(relay, sink, progress)
            raise
        if not progress.answer_started:
            await self._start_answer(request, head, sink, progress)
        self._runtime.world.invariants.require(
            DONE_ONLY_WITH_END_MARK,
            relay.ended,
            request.request,
        )
        return AttemptResult(AttemptEnd.COMPLETE)

    async def _relay_events(
        self,
        request: CallerRequest,
        answer: Answer,
        relay: Relay,
        sink: Sink,
        progress: RequestProgress,
    ) -> None:
        limits = self._runtime.world.settings.limits
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limits.first_token) as timeout:
            async for chunk in answer.chunks():
                events = relay.feed(chunk)
                if events:
                    if not progress.answer_started:
                        await self._start_answer(request, answer.head, sink, progress)
                    elif self._get_stage(request) is Stage.SENT:
                        self._apply_step(request, Step.STREAM)
                    timeout.reschedule(loop.time() + limits.idle)
                    await sink.send(events)
                timeout.reschedule(loop.time() + limits.between_tokens)
        if not relay.ended:
            raise AttemptLost("the stream ended before its [DONE] event")

    async def _start_answer(
        self,
        request: CallerRequest,
        head: AnswerHead,
        sink: Sink,
        progress: RequestProgress,
    ) -> None:
        is_named_correctly = (
            head.adapter == str(request.adapter) or request.call is not None
        )
        self._runtime.world.invariants.require(
            ANSWER_RIGHTLY_NAMED,
            is_named_correctly,
            f"{head.adapter} for {request.adapter}",
        )
        progress.answer_started = True
        self._apply_step(request, Step.STREAM)
        waited = self._runtime.clock() - request.received_at
        self._add_event(request, "first token", detail=f"after {waited:.3f} s")
        await sink.start(head)

    def _plan_resume(self, relay: Relay, sink: Sink, progress: RequestProgress) -> None:
        """Record the delivered tokens, so that another engine can continue after them.

        Resuming from token ids follows "Inference in production, part 3"; its effect
        is measured in docs/MEASUREMENTS.md.
        """
        if not relay.delivered:
            return
        ids = relay.list_token_ids()
        if ids is not None:
            progress.token_ids += ids
        elif sink.is_buffered:
            sink.discard()
            progress.token_ids = ()
        else:
            progress.cannot_resume = True

    async def _relay_service(
        self,
        request: CallerRequest,
        answer: Answer,
        attempt: AttemptId,
        sink: Sink,
        progress: RequestProgress,
    ) -> AttemptResult:
        if answer.head.attempt != attempt:
            raise AttemptLost(
                f"answer for attempt {answer.head.attempt}, expected {attempt}"
            )
        limits = self._runtime.world.settings.limits
        loop = asyncio.get_running_loop()
        progress.cannot_resume = True
        await self._start_answer(request, answer.head, sink, progress)
        async with asyncio.timeout(limits.idle) as timeout:
            async for chunk in answer.chunks():
                await sink.send(chunk)
                timeout.reschedule(loop.time() + limits.idle)
        return AttemptResult(AttemptEnd.COMPLETE)

    # Outcomes and states of live requests

    def _make_refusal(
        self,
        reason: RefusalReason,
        outcome: Outcome,
        message: str,
        retry_after: Seconds = 0.0,
    ) -> Refusal:
        return Refusal(
            reason=reason,
            outcome=outcome,
            message=message,
            retry_after=retry_after,
        )

    def _check_outcome(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        refusal: Refusal,
    ) -> Refusal:
        is_upheld = self._runtime.world.invariants.require(
            NOT_RUN_MEANS_NOT_SENT,
            refusal.outcome is not Outcome.NOT_RUN
            or progress.possibly_run_attempts == 0,
            request.request,
        )
        return refusal if is_upheld else replace(refusal, outcome=Outcome.UNKNOWN)

    def _get_stage(self, request: CallerRequest) -> Stage:
        return self.live[request.request].stage

    def _apply_step(
        self,
        request: CallerRequest,
        step: Step,
        endpoint: EndpointId | None = None,
    ) -> None:
        record = self.live[request.request]
        stage = get_next_stage(record.stage, step)
        if endpoint is not None:
            record = replace(record, endpoint=endpoint, attempts=record.attempts + 1)
        self.live[request.request] = replace(record, stage=stage)

    def _close(self, request: CallerRequest, step: Step, reason: str) -> None:
        record = self.live.get(request.request)
        if record is None or record.stage in FINAL_STAGES:
            return
        if step is Step.REFUSE and record.stage is Stage.STREAMING:
            step = Step.FAIL
        self._apply_step(request, step)
        took = self._runtime.clock() - request.received_at
        stage = self._get_stage(request)
        self._add_event(
            request, stage.value, reason=reason, detail=f"after {took:.3f} s"
        )

    def _add_event(self, request: CallerRequest, what: str, **more: str) -> None:
        self._runtime.world.events.add(
            PART,
            what,
            request=request.request,
            adapter=str(request.adapter),
            **more,
        )
