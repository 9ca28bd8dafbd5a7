"""Answers that end with their connection, and another process at the address.

An engine that crashes in the middle of an answer without length and chunks may be
restarted at once, or its address given to another one. That the address accepts
connections then says nothing of the engine that wrote the answer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from kestreltally.entry.answer_end import (
    AnsweringProcess,
    ConnectionOutcome,
    EndedAnswer,
    EndVerdict,
    evaluate_end,
)
from kestreltally.fleet.model import RequestKind
from tests.entryrig import (
    MODELS,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)
from tests.test_answer_ends import MODEL, ONE_EVENT, make_events, make_head, stream_rest

STARTED_AT_MS = 1_000
MISDIRECTED = b"421 Misdirected Request"

# Returns the answer to a report's request, None for none.
Report = Callable[[SeenRequest], bytes | None]


def is_report(seen: SeenRequest) -> bool:
    return seen.head.startswith(b"GET /report ")


def report_start(start_time_ms: int) -> Report:
    body = b'{"Models": [], "BusySlots": false, "Sequence": 0, "RunningCount": 0, '
    body += b'"WaitingCount": 0, "born": %d}' % start_time_ms
    return lambda seen: make_answer(seen, body)


def misdirect(seen: SeenRequest) -> bytes:
    return make_answer(seen, b"", MISDIRECTED, b"X-Instance-Id: e2\r\n")


def reject(seen: SeenRequest) -> bytes:
    return make_answer(seen, b"", b"404 Not Found", b"")


def stay_silent(_: SeenRequest) -> None:
    return None


def make_engine(content: bytes, report: Report) -> ScriptedEndpoint:
    """Return an engine that ends its stream with its connection.

    ``report`` answers for the process that has the address from then on.
    """

    async def serve(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if not is_report(seen):
            writer.write(make_head(seen) + content)
            await writer.drain()
            writer.close()
            return
        answer = report(seen)
        if answer is None:
            await asyncio.sleep(60)
        else:
            writer.write(answer)

    return ScriptedEndpoint("e1", serve, MODELS)


async def ask(
    engine: ScriptedEndpoint, *others: ScriptedEndpoint, resumable: bool = False
) -> Reply:
    route = make_route(RequestKind.STREAM, service=MODELS, resumable=resumable)
    async with run_entry([engine, *others], route) as rig:
        listed = replace(engine.make_endpoint(), start_time_ms=STARTED_AT_MS)
        rig.fleet.put_endpoint(listed)
        return await rig.ask("POST", headers=MODEL, body=b"prompt")


@pytest.mark.parametrize("report", [report_start(STARTED_AT_MS + 1), misdirect])
async def test_stream_of_a_replaced_engine_is_not_called_complete(
    report: Report,
) -> None:
    reply = await ask(make_engine(ONE_EVENT, report))
    assert reply.body == ONE_EVENT
    assert not reply.whole


async def test_resumable_stream_of_a_replaced_engine_goes_on_at_another() -> None:
    second = ScriptedEndpoint("e2", stream_rest, MODELS, "south")
    engine = make_engine(ONE_EVENT, report_start(STARTED_AT_MS + 1))
    reply = await ask(engine, second, resumable=True)
    assert reply.whole
    assert reply.body == make_events(1)


@pytest.mark.parametrize("report", [report_start(STARTED_AT_MS), reject, stay_silent])
async def test_whole_stream_is_not_lost_whatever_else_a_report_says(
    report: Report,
) -> None:
    engine = make_engine(make_events(1), report)
    reply = await ask(engine)
    assert reply.whole
    assert reply.body == make_events(1)


@pytest.mark.parametrize(
    ("process", "verdict"),
    [
        (AnsweringProcess.SAME, EndVerdict.COMPLETE),
        (AnsweringProcess.UNKNOWN, EndVerdict.COMPLETE),
        (AnsweringProcess.OTHER, EndVerdict.TRUNCATED),
    ],
)
def test_another_process_shows_that_an_engine_has_ended(
    process: AnsweringProcess, verdict: EndVerdict
) -> None:
    accepted = EndedAnswer(ConnectionOutcome.ACCEPTED, 0.0, process)
    assert evaluate_end(accepted) is verdict
