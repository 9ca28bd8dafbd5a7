"""Answers that end with their connection while their endpoint's address is silent.

An answer without length and chunks ends as its endpoint does. Where no new connection
shows whether the endpoint lives on, the end must not be called that of the answer; and
an endpoint that is silent for a moment must not lose what it has completed.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import pytest

from kestreltally.entry.answer_end import (
    MAX_UNKNOWN_TIME,
    ConnectionOutcome,
    EndedAnswer,
    EndVerdict,
    evaluate_end,
)
from kestreltally.entry.delivery import MAX_BUFFERED_BYTES
from kestreltally.fleet.model import RequestKind, Seconds, ServiceName
from tests.entryrig import (
    MODELS,
    PLAIN,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_route,
    run_entry,
)
from tests.test_answer_ends import (
    MODEL,
    ONE_EVENT,
    answer_whole,
    make_events,
    make_head,
    stream_rest,
)

HOST = "127.0.0.1"
# So many connections fill the queue of a listener that accepts none.
QUEUE_FILLERS = 3
# A sound endpoint may be silent for about a second.
PAUSE: Seconds = 1.0
TIMEOUT: Seconds = 4.0

End = Callable[[ScriptedEndpoint], Awaitable[None]]


class SilentAddress:
    """A listener that takes up no connection: those that are opened hang."""

    def __init__(self, port: int) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, port))
        self._listener.listen(0)
        self._fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        for each in self._fillers:
            each.setblocking(False)
            each.connect_ex((HOST, port))

    def close(self) -> None:
        for each in (*self._fillers, self._listener):
            each.close()


@asynccontextmanager
async def fall_silent(endpoint: ScriptedEndpoint) -> AsyncIterator[None]:
    """Leave connections to an endpoint's address unanswered."""
    endpoint.stop_listening()
    silent = SilentAddress(endpoint.port)
    try:
        yield
    finally:
        silent.close()


async def fall_silent_for_good(endpoint: ScriptedEndpoint) -> None:
    async with fall_silent(endpoint):
        await asyncio.sleep(TIMEOUT)


async def fall_silent_for_a_moment(endpoint: ScriptedEndpoint) -> None:
    async with fall_silent(endpoint):
        await asyncio.sleep(PAUSE)
    endpoint.listener = await asyncio.start_server(endpoint.serve, HOST, endpoint.port)


def make_ending(
    content: bytes, end: End, service: ServiceName = MODELS
) -> ScriptedEndpoint:
    """Return an endpoint that closes its connection in order, and then does ``end``."""
    ends = []

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_head(seen) + content)
        await writer.drain()
        ends.append(asyncio.create_task(end(endpoint)))  # type: ignore[arg-type]
        await asyncio.sleep(0)
        writer.close()

    endpoint = ScriptedEndpoint("e1", answer, service)
    return endpoint


make_silent = partial(make_ending, end=fall_silent_for_good)
make_paused = partial(make_ending, end=fall_silent_for_a_moment)


async def ask_alone(engine: ScriptedEndpoint) -> Reply:
    """Return the answer to a stream's request that no other engine may serve."""
    route = make_route(RequestKind.STREAM, service=MODELS, timeout=TIMEOUT)
    async with run_entry([engine], route) as rig:
        return await rig.ask("POST", headers=MODEL, body=b"prompt")


async def test_stream_of_a_silent_address_is_not_called_complete() -> None:
    reply = await ask_alone(make_silent(ONE_EVENT))
    assert reply.body == ONE_EVENT
    assert not reply.whole


async def test_resumable_stream_of_a_silent_address_goes_on_at_another_engine() -> None:
    second = ScriptedEndpoint("e2", stream_rest, MODELS, "south")
    route = make_route(
        RequestKind.STREAM, service=MODELS, timeout=TIMEOUT, resumable=True
    )
    async with run_entry([make_silent(ONE_EVENT), second], route) as rig:
        reply = await rig.ask("POST", headers=MODEL, body=b"prompt")
    assert reply.whole
    assert reply.body == make_events(1)


@pytest.mark.parametrize("size", [4, MAX_BUFFERED_BYTES + 1])
async def test_plain_answer_of_a_silent_address_is_not_called_complete(
    size: int,
) -> None:
    endpoint = make_silent(b"x" * size, service=PLAIN)
    route = make_route(RequestKind.UNSAFE, timeout=TIMEOUT)
    async with run_entry([endpoint], route) as rig:
        reply = await rig.ask("POST", body=b"x")
    assert reply.status == 502 or not reply.whole


async def test_plain_answer_of_a_silent_address_is_asked_for_again() -> None:
    endpoints = [
        make_silent(b"body", service=PLAIN),
        ScriptedEndpoint("e2", answer_whole),
    ]
    async with run_entry(endpoints, make_route(timeout=TIMEOUT)) as rig:
        reply = await rig.ask()
    assert (reply.status, reply.body) == (200, b"whole")


async def test_whole_stream_of_an_address_silent_for_a_moment_is_not_lost() -> None:
    reply = await ask_alone(make_paused(make_events(1)))
    assert reply.body == make_events(1)
    assert reply.whole


async def test_plain_answer_of_an_address_silent_for_a_moment_is_not_lost() -> None:
    endpoint = make_paused(b"body", service=PLAIN)
    route = make_route(RequestKind.UNSAFE, timeout=TIMEOUT)
    async with run_entry([endpoint], route) as rig:
        reply = await rig.ask("POST", body=b"x")
    assert (reply.status, reply.body) == (200, b"body")
    assert reply.whole


@pytest.mark.parametrize(
    ("connection", "unknown_for", "verdict"),
    [
        (ConnectionOutcome.ACCEPTED, 0.0, EndVerdict.COMPLETE),
        (ConnectionOutcome.ACCEPTED, 2 * MAX_UNKNOWN_TIME, EndVerdict.COMPLETE),
        (ConnectionOutcome.REFUSED, 0.0, EndVerdict.TRUNCATED),
        (ConnectionOutcome.UNANSWERED, 0.0, EndVerdict.UNKNOWN),
        (ConnectionOutcome.UNANSWERED, MAX_UNKNOWN_TIME, EndVerdict.TRUNCATED),
    ],
)
def test_only_an_accepted_connection_shows_an_answer_complete(
    connection: ConnectionOutcome, unknown_for: Seconds, verdict: EndVerdict
) -> None:
    assert evaluate_end(EndedAnswer(connection, unknown_for)) is verdict
