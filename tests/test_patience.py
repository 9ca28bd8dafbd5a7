"""A request keeps its turn at a live engine, and leaves one that has lost it."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestreltally.entry.health import HealthTable
from kestreltally.entry.patience import Unanswered, Verdict, judge_silence
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
LONG_AGO = 60.0


def make_unanswered(
    *,
    serves: bool = True,
    others: bool = False,
    quiet_for: float = 0.0,
    overtaken: bool = False,
) -> Unanswered:
    return Unanswered(serves, others, quiet_for, overtaken)


@pytest.mark.parametrize(
    ("request_", "verdict"),
    [
        (make_unanswered(), Verdict.WAIT),
        (make_unanswered(others=True), Verdict.WAIT),
        (make_unanswered(quiet_for=LONG_AGO), Verdict.WAIT),
        (make_unanswered(others=True, quiet_for=LONG_AGO), Verdict.SILENT),
        (make_unanswered(overtaken=True), Verdict.OVERTAKEN),
        (make_unanswered(serves=False), Verdict.CLOSED),
    ],
)
def test_what_is_done_about_a_silent_endpoint(
    request_: Unanswered, verdict: Verdict
) -> None:
    assert judge_silence(request_) is verdict


@given(st.booleans(), st.booleans(), st.floats(0.0, LONG_AGO))
def test_a_request_that_its_engine_has_passed_over_is_never_left_there(
    serves: bool, others: bool, quiet_for: float
) -> None:
    lost = make_unanswered(
        serves=serves, others=others, quiet_for=quiet_for, overtaken=True
    )
    assert judge_silence(lost) is not Verdict.WAIT


def test_only_a_later_request_that_is_not_more_urgent_overtakes() -> None:
    health = HealthTable()
    first = health.begin(ENGINE, now=1.0, priority=1)
    urgent = health.begin(ENGINE, now=1.1, priority=0)
    health.note_head(ENGINE, urgent, now=1.2)
    assert not health.is_overtaken(ENGINE, first)
    later = health.begin(ENGINE, now=1.3, priority=1)
    health.note_head(ENGINE, later, now=1.4)
    assert health.is_overtaken(ENGINE, first)


async def test_a_request_that_waits_for_its_turn_is_not_sent_again() -> None:
    # Seen on scale-1 of the radar tiles' days: a fifth of the long prompts was sent
    # to the same engine once more after 1.3 times its objective, and lost its turn.
    async def answer_late(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.8)
        writer.write(make_answer(seen, b"id: 1\ndata: x\n\n"))

    engine = ScriptedEndpoint("e1", answer_late, service=MODELS)
    route = make_route(RequestKind.STREAM, service=MODELS, resumable=True)
    async with run_entry([engine], route) as rig:
        reply = await rig.ask("POST", headers=MODEL, body=b"p")
    assert reply.status == 200
    assert len(engine.seen) == 1
