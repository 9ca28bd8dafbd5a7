"""Unanswered requests stay at a live engine and leave one that has lost them."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.health import HealthTable
from kestreltally.entry.silence import UnansweredRequest, Verdict, evaluate_silence
from kestreltally.fleet.model import EndpointId, RequestKind
from tests.entryrig import (
    MODELS,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)

ENGINE = EndpointId("e1")
MODEL = {"X-Model-Name": "base/a1"}
LONG_SILENCE = 60.0


def make_unanswered_request(
    *,
    serves: bool = True,
    has_alternative: bool = False,
    silent_for: float = 0.0,
    overtaken: bool = False,
) -> UnansweredRequest:
    return UnansweredRequest(serves, has_alternative, silent_for, overtaken)


@pytest.mark.parametrize(
    ("request_", "verdict"),
    [
        (make_unanswered_request(), Verdict.WAIT),
        (make_unanswered_request(has_alternative=True), Verdict.WAIT),
        (make_unanswered_request(silent_for=LONG_SILENCE), Verdict.WAIT),
        (
            make_unanswered_request(has_alternative=True, silent_for=LONG_SILENCE),
            Verdict.SILENT,
        ),
        (make_unanswered_request(overtaken=True), Verdict.OVERTAKEN),
        (make_unanswered_request(serves=False), Verdict.CLOSED),
    ],
)
def test_verdict_on_a_silent_endpoint(
    request_: UnansweredRequest, verdict: Verdict
) -> None:
    assert evaluate_silence(request_) is verdict


@given(st.booleans(), st.booleans(), st.floats(0.0, LONG_SILENCE))
def test_overtaken_request_is_never_left_waiting(
    serves: bool, has_alternative: bool, silent_for: float
) -> None:
    lost = make_unanswered_request(
        serves=serves,
        has_alternative=has_alternative,
        silent_for=silent_for,
        overtaken=True,
    )
    assert evaluate_silence(lost) is not Verdict.WAIT


def test_only_a_later_request_of_no_higher_urgency_overtakes() -> None:
    health = HealthTable()
    first = health.start(ENGINE, now=1.0, priority=1)
    urgent = health.start(ENGINE, now=1.1, priority=0)
    health.record_answer_start(ENGINE, urgent, now=1.2)
    assert not health.is_overtaken(ENGINE, first)
    later = health.start(ENGINE, now=1.3, priority=1)
    health.record_answer_start(ENGINE, later, now=1.4)
    assert health.is_overtaken(ENGINE, first)


async def test_queued_request_is_not_sent_again() -> None:
    # Guards against sending a long prompt to the same engine again after 1.3 times its
    # objective, by which it loses its place in the engine's queue. Under load this hit
    # a fifth of the long prompts.
    async def answer_late(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.8)
        writer.write(make_answer(seen, b"id: 1\ndata: x\n\n"))

    engine = ScriptedEndpoint("e1", answer_late, service=MODELS)
    route = make_route(RequestKind.STREAM, service=MODELS, resumable=True)
    async with run_entry([engine], route) as rig:
        reply = await rig.ask("POST", headers=MODEL, body=b"p")
    assert reply.status == 200
    assert len(engine.seen) == 1
