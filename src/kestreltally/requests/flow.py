"""The way of one request: admitted, permitted, sent, relayed, answered."""

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
from kestreltally.entities.permits import HeldPermit, Want
from kestreltally.invariants import declare_invariant
from kestreltally.orders import (
    EndpointFailed,
    EndpointServed,
    PermitUsed,
    RefusalReason,
    UseEnd,
    WantRefused,
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
    Sink,
    Way,
)
from kestreltally.requests.claims import Claim, Claims
from kestreltally.requests.limits import CallerLimits, RetryBudget
from kestreltally.requests.outcomes import Outcome, Refusal
from kestreltally.requests.relay import Relay, WronglyNamed
from kestreltally.requests.states import (
    FINAL,
    RequestRecord,
    Stage,
    Step,
    next_stage,
)
from kestreltally.runtime import Runtime
from kestreltally.systems.granting import FAULT_WRONG_VERSION
from kestreltally.systems.leadership import TOKEN_BITS
from kestreltally.systems.membership import list_eligible

PART: Final = "request"
COME_BACK_AFTER: Final[Seconds] = 1.0
FAULT_NOT_REACHED: Final = "not_reached"
FAULT_LOST: Final = "answer_lost"
FAULT_SLOW: Final = "no_progress"
SHED_SHARE: Final = {
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
        self._retries = RetryBudget(runtime.world.settings.limits.retry_share, now)
        self.live: dict[RequestId, RequestRecord] = {}
        self.accepts = True

    # The whole way

    async def serve(self, request: CallerRequest, sink: Sink) -> Result[None, Refusal]:
        """Serve a request; return none, or why there is no whole answer."""
        refused = self._enter(request)
        if refused is not None:
            return Err(refused)
        way = Way()
        try:
            result = await self._serve_claimed(request, sink, way)
        except BaseException:
            self._close(request, Step.FAIL, "the caller is gone")
            raise
        finally:
            self._limits.leave(request.caller)
            self.live.pop(request.request, None)
        return result

    def _enter(self, request: CallerRequest) -> Refusal | None:
        """Count a request in, or return why it is refused before anything is done."""
        if request.request in self.live:
            return self._refuse(RefusalReason.DUPLICATE, Outcome.UNKNOWN, "in progress")
        shed = self._shed(request)
        if shed is not None:
            return shed
        daemons = len(list_eligible(self._runtime.world))
        wait = self._limits.enter(request.caller, daemons, self._runtime.clock())
        if wait is not None:
            return self._refuse(
                RefusalReason.CALLER_LIMIT,
                Outcome.NOT_RUN,
                f"caller {request.caller.name} is over its limit",
                wait,
            )
        self._retries.note_request()
        self.live[request.request] = RequestRecord(
            request=request.request,
            caller=request.caller.name,
            adapter=request.adapter,
            priority=request.priority,
            repeatable=request.repeatable,
            revision=request.revision,
            since=request.received_at,
        )
        self._tell(
            request,
            "received",
            reason=f"revision {request.revision}",
            detail=f"caller {request.caller.name}, priority {request.priority.name}",
        )
        self._step(request, Step.ADMIT)
        return None

    def _shed(self, request: CallerRequest) -> Refusal | None:
        limits = self._runtime.world.settings.limits
        share = SHED_SHARE[request.priority]
        waiting = len(self._runtime.world.entry.wants)
        if (
            len(self.live) < limits.concurrent_requests * share
            and waiting < limits.waiting_requests * share
        ):
            return None
        return self._refuse(
            RefusalReason.DAEMON_LIMIT,
            Outcome.NOT_RUN,
            "this daemon is full for requests of this priority",
            COME_BACK_AFTER,
        )

    async def _serve_claimed(
        self,
        request: CallerRequest,
        sink: Sink,
        way: Way,
    ) -> Result[None, Refusal]:
        claim: Claim | None = None
        if not request.repeatable:
            claimed = await self._claim(request)
            if isinstance(claimed, Err):
                refusal = claimed.err_value
                self._close(request, Step.REFUSE, refusal.reason.value)
                return claimed
            claim = claimed.ok_value
        result = await self._serve_in_time(request, sink, way)
        if isinstance(result, Err):
            refusal = self._check_outcome(request, way, result.err_value)
            if claim is not None and refusal.outcome is Outcome.NOT_RUN:
                await self._claims.release(claim)
            step = Step.REFUSE if way.sent_maybe_run == 0 else Step.FAIL
            self._close(request, step, f"{refusal.reason.value}: {refusal.message}")
            return Err(refusal)
        self._close(request, Step.FINISH, "")
        return result

    async def _claim(self, request: CallerRequest) -> Result[Claim, Refusal]:
        claimant = f"{self._runtime.world.identity.vm}/{uuid4()}"
        self._tell(request, "claims its id", reason="not repeatable")
        try:
            async with asyncio.timeout_at(request.deadline_at):
                return await self._claims.claim(
                    request.caller.name,
                    request.request,
                    claimant,
                )
        except TimeoutError:
            refusal = self._refuse(
                RefusalReason.CLAIMS_UNAVAILABLE,
                Outcome.NOT_RUN,
                "the request id could not be claimed in time",
                COME_BACK_AFTER,
            )
            return Err(refusal)

    async def _serve_in_time(
        self,
        request: CallerRequest,
        sink: Sink,
        way: Way,
    ) -> Result[None, Refusal]:
        try:
            async with asyncio.timeout_at(request.deadline_at):
                return await self._try_until_whole(request, sink, way)
        except TimeoutError:
            refusal = self._refuse(
                RefusalReason.DEADLINE,
                self._outcome_of(way),
                "the deadline is over",
                COME_BACK_AFTER,
            )
            return Err(refusal)

    async def _try_until_whole(
        self,
        request: CallerRequest,
        sink: Sink,
        way: Way,
    ) -> Result[None, Refusal]:
        while True:
            answer = await self._runtime.acquire(self._make_want(request, way))
            if isinstance(answer, WantRefused):
                refusal = self._refuse(
                    answer.reason,
                    self._outcome_of(way),
                    "no endpoint could take the request",
                    answer.retry_after,
                )
                return Err(refusal)
            result = await self._attempt(request, answer.permit, sink, way)
            if result.end is AttemptEnd.WHOLE:
                return Ok(None)
            refused = self._judge_failure(request, way, result, sink)
            if refused is not None:
                return Err(refused)
            self._step(request, Step.RETRY)

    def _make_want(self, request: CallerRequest, way: Way) -> Want:
        return Want(
            want=f"{request.request}/{way.attempts}",
            request=request.request,
            adapter=request.adapter,
            candidates=request.candidates,
            priority=request.priority,
            deadline_at=request.deadline_at,
            since=self._runtime.clock(),
            avoid=way.avoid,
        )

    def _outcome_of(self, way: Way) -> Outcome:
        return Outcome.UNKNOWN if way.sent_maybe_run else Outcome.NOT_RUN

    def _judge_failure(
        self,
        request: CallerRequest,
        way: Way,
        result: AttemptResult,
        sink: Sink,
    ) -> Refusal | None:
        """Return why a failed attempt ends the request, or none to try again."""
        if result.end is AttemptEnd.LOST:
            if not request.repeatable:
                return self._refuse(
                    RefusalReason.ENDPOINT_FAILED,
                    Outcome.UNKNOWN,
                    f"{result.fault}; not repeatable, so it is not tried again",
                )
            if way.begun and not sink.holds_back and way.cannot_resume:
                return self._refuse(
                    RefusalReason.CUT_OFF,
                    Outcome.UNKNOWN,
                    f"{result.fault}; the answer had begun",
                )
        limits = self._runtime.world.settings.limits
        if way.attempts >= limits.attempts:
            return self._refuse(
                RefusalReason.ENDPOINT_FAILED,
                self._outcome_of(way),
                f"{result.fault} at attempt {way.attempts}",
                max(result.retry_after, COME_BACK_AFTER),
            )
        if not self._retries.take(self._runtime.clock()):
            return self._refuse(
                RefusalReason.OVERLOADED,
                self._outcome_of(way),
                f"{result.fault}; the retry budget is spent",
                COME_BACK_AFTER,
            )
        return None

    # One attempt

    async def _attempt(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        sink: Sink,
        way: Way,
    ) -> AttemptResult:
        """Try once under a permit, and give its place back in every case."""
        way.attempts += 1
        own = self._runtime.world.identity
        attempt = AttemptId(
            f"{request.request}/{own.vm}.{own.incarnation}/{way.attempts}"
        )
        self._check_once(request, way)
        use_end = UseEnd.UNSURE
        started_at = self._runtime.clock()
        self._step(request, Step.SEND, permit.endpoint)
        self._tell(request, "sent", endpoint=permit.endpoint, detail=attempt)
        way.sent_maybe_run += 1
        try:
            result = await self._start_and_relay(request, permit, attempt, sink, way)
            if result.end is not AttemptEnd.LOST:
                use_end = UseEnd.ENDED
        finally:
            used = PermitUsed(permit=permit.permit, attempt=attempt, end=use_end)
            self._runtime.post(used)
        if result.end is AttemptEnd.NOT_RUN:
            way.sent_maybe_run -= 1
        self._note_result(request, permit, result, started_at)
        if result.elsewhere:
            way.avoid |= {permit.endpoint}
        return result

    def _check_once(self, request: CallerRequest, way: Way) -> None:
        self._runtime.world.invariants.require(
            NOT_REPEATABLE_SENT_ONCE,
            request.repeatable or way.sent_maybe_run == 0,
            request.request,
        )

    def _note_result(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        result: AttemptResult,
        started_at: Seconds,
    ) -> None:
        if result.end is AttemptEnd.WHOLE:
            took = self._runtime.clock() - started_at
            self._runtime.post(EndpointServed(endpoint=permit.endpoint, took=took))
            return
        self._tell(
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
        way: Way,
    ) -> AttemptResult:
        limits = self._runtime.world.settings.limits
        try:
            async with asyncio.timeout(limits.first_token):
                answer = await self._start(request, permit, attempt, way)
        except NotStarted:
            return AttemptResult(AttemptEnd.NOT_RUN, FAULT_NOT_REACHED, elsewhere=True)
        except EndpointRefused as refused:
            return AttemptResult(
                AttemptEnd.NOT_RUN,
                refused.reason,
                retry_after=refused.retry_after,
            )
        except AttemptLost:
            return AttemptResult(AttemptEnd.LOST, FAULT_LOST, elsewhere=True)
        except TimeoutError:
            return AttemptResult(AttemptEnd.LOST, FAULT_SLOW, elsewhere=True)
        try:
            return await self._relay(request, answer, attempt, sink, way)
        except WronglyNamed:
            return AttemptResult(AttemptEnd.LOST, FAULT_WRONG_VERSION, elsewhere=True)
        except AttemptLost:
            return AttemptResult(AttemptEnd.LOST, FAULT_LOST, elsewhere=True)
        except TimeoutError:
            return AttemptResult(AttemptEnd.LOST, FAULT_SLOW, elsewhere=True)
        finally:
            await answer.close()

    async def _start(
        self,
        request: CallerRequest,
        permit: HeldPermit,
        attempt: AttemptId,
        way: Way,
    ) -> Answer:
        world = self._runtime.world
        spec = world.config.endpoints.get(permit.endpoint)
        if spec is None:
            raise NotStarted("the endpoint was dropped")
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
            resume_token_ids=way.token_ids,
        )
        return await self._runtime.ports.engines.start(spec.url, engine_attempt)

    async def _relay(
        self,
        request: CallerRequest,
        answer: Answer,
        attempt: AttemptId,
        sink: Sink,
        way: Way,
    ) -> AttemptResult:
        if request.call is not None:
            return await self._relay_service(request, answer, attempt, sink, way)
        head = answer.head
        if head.attempt != attempt or head.adapter != str(request.adapter):
            raise WronglyNamed(f"{head.adapter} for {head.attempt}")
        relay = Relay(request.adapter)
        try:
            await self._relay_events(request, answer, relay, sink, way)
        except (AttemptLost, TimeoutError):
            self._plan_resume(relay, sink, way)
            raise
        if not way.begun:
            await self._begin(request, head, sink, way)
        self._runtime.world.invariants.require(
            DONE_ONLY_WITH_END_MARK,
            relay.ended,
            request.request,
        )
        return AttemptResult(AttemptEnd.WHOLE)

    async def _relay_events(
        self,
        request: CallerRequest,
        answer: Answer,
        relay: Relay,
        sink: Sink,
        way: Way,
    ) -> None:
        limits = self._runtime.world.settings.limits
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limits.first_token) as limit:
            async for chunk in answer.chunks():
                events = relay.feed(chunk)
                if events:
                    if not way.begun:
                        await self._begin(request, answer.head, sink, way)
                    elif self._stage(request) is Stage.SENT:
                        self._step(request, Step.STREAM)
                    limit.reschedule(loop.time() + limits.idle)
                    await sink.send(events)
                limit.reschedule(loop.time() + limits.between_tokens)
        if not relay.ended:
            raise AttemptLost("the stream ended without its end mark")

    async def _begin(
        self,
        request: CallerRequest,
        head: AnswerHead,
        sink: Sink,
        way: Way,
    ) -> None:
        right = head.adapter == str(request.adapter) or request.call is not None
        self._runtime.world.invariants.require(
            ANSWER_RIGHTLY_NAMED,
            right,
            f"{head.adapter} for {request.adapter}",
        )
        way.begun = True
        self._step(request, Step.STREAM)
        waited = self._runtime.clock() - request.received_at
        self._tell(request, "first token", detail=f"after {waited:.3f} s")
        await sink.begin(head)

    def _plan_resume(self, relay: Relay, sink: Sink, way: Way) -> None:
        """Keep what was delivered, so that another engine can go on from there.

        Continuing from token ids follows "Inference in production, part 3"; our
        own measurement is in docs/MEASUREMENTS.md.
        """
        if not relay.delivered:
            return
        ids = relay.list_token_ids()
        if ids is not None:
            way.token_ids += ids
        elif sink.holds_back:
            sink.forget()
            way.token_ids = ()
        else:
            way.cannot_resume = True

    async def _relay_service(
        self,
        request: CallerRequest,
        answer: Answer,
        attempt: AttemptId,
        sink: Sink,
        way: Way,
    ) -> AttemptResult:
        if answer.head.attempt != attempt:
            raise AttemptLost("the answer is to another attempt")
        limits = self._runtime.world.settings.limits
        loop = asyncio.get_running_loop()
        way.cannot_resume = True
        await self._begin(request, answer.head, sink, way)
        async with asyncio.timeout(limits.idle) as limit:
            async for chunk in answer.chunks():
                await sink.send(chunk)
                limit.reschedule(loop.time() + limits.idle)
        return AttemptResult(AttemptEnd.WHOLE)

    # Outcomes and the table of live requests

    def _refuse(
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
        way: Way,
        refusal: Refusal,
    ) -> Refusal:
        held = self._runtime.world.invariants.require(
            NOT_RUN_MEANS_NOT_SENT,
            refusal.outcome is not Outcome.NOT_RUN or way.sent_maybe_run == 0,
            request.request,
        )
        return refusal if held else replace(refusal, outcome=Outcome.UNKNOWN)

    def _stage(self, request: CallerRequest) -> Stage:
        return self.live[request.request].stage

    def _step(
        self,
        request: CallerRequest,
        step: Step,
        endpoint: EndpointId | None = None,
    ) -> None:
        record = self.live[request.request]
        stage = next_stage(record.stage, step)
        if endpoint is not None:
            record = replace(record, endpoint=endpoint, attempts=record.attempts + 1)
        self.live[request.request] = replace(record, stage=stage)

    def _close(self, request: CallerRequest, step: Step, reason: str) -> None:
        record = self.live.get(request.request)
        if record is None or record.stage in FINAL:
            return
        if step is Step.REFUSE and record.stage is Stage.STREAMING:
            step = Step.FAIL
        self._step(request, step)
        took = self._runtime.clock() - request.received_at
        stage = self._stage(request)
        self._tell(request, stage.value, reason=reason, detail=f"after {took:.3f} s")

    def _tell(self, request: CallerRequest, what: str, **more: str) -> None:
        self._runtime.world.events.add(
            PART,
            what,
            request=request.request,
            adapter=str(request.adapter),
            **more,
        )
