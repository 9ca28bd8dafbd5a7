"""Clients that come back after a promise that their request has not run.

Guards against a promise (408, 421, 429, 503) for a request that ran or is running: its
client sends the same work again, and it runs twice. It comes about with an endpoint
that answers with such a status after the run, and with one that sends a rejection once
more, in the place of the answer to the request that was sent to it again.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from kestreltally.entry.upstream import Channel, ChannelPool
from kestreltally.fleet.model import Endpoint, RequestKind, Seconds, ServiceName
from tests.entryrig import (
    MODELS,
    PLAIN,
    STAMP,
    EntryRig,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)

PROMISES = frozenset({408, 421, 429, 503})
STATUSES = {
    408: b"408 Request Timeout",
    421: b"421 Misdirected Request",
    429: b"429 Too Many Requests",
    503: b"503 Service Unavailable",
}
NOT_RUN = b"X-Not-Run: 1\r\n"
MODEL = {"X-Model-Name": "base/a1"}
CLIENTS = 4
MAX_CLIENT_ATTEMPTS = 2
WORK_TIME: Seconds = 0.25
# A body beyond what is buffered before it is forwarded.
LONG_BODY = b"x" * (2**18 + 1)

Worker = Callable[[SeenRequest, asyncio.StreamWriter], Awaitable[None]]


class Witness:
    """Counts, over all endpoints, the runs of a client's attempts and of its wishes.

    A wish is what a client wants done once; each of its attempts has an id of its own.
    """

    def __init__(self) -> None:
        self.runs: Counter[bytes] = Counter()
        self.statuses: dict[str, int] = {}

    def record_run(self, seen: SeenRequest) -> None:
        self.runs[seen.id] += 1

    def list_false_promises(self) -> list[str]:
        return [
            attempt
            for attempt, status in self.statuses.items()
            if status in PROMISES and self.runs[attempt.encode()]
        ]

    def list_doubled(self) -> list[bytes]:
        """Return the wishes that were carried out more than once."""
        wishes: Counter[bytes] = Counter()
        for attempt, runs in self.runs.items():
            wishes[attempt.partition(b"/")[0]] += runs
        return [wish for wish, runs in sorted(wishes.items()) if runs > 1]

    def assert_kept(self) -> None:
        assert (self.list_false_promises(), self.list_doubled()) == ([], [])


async def insist(rig: EntryRig, witness: Witness, wish: str) -> None:
    """Ask until no promise is given."""
    for attempt in range(MAX_CLIENT_ATTEMPTS):
        request_id = f"{wish}/{attempt}"
        try:
            reply = await rig.ask("POST", headers=MODEL, request_id=request_id)
        except (asyncio.IncompleteReadError, ConnectionError):
            break
        witness.statuses[request_id] = reply.status
        if reply.status not in PROMISES:
            break
        await asyncio.sleep(0.01)


async def play(
    witness: Witness, kind: RequestKind, *endpoints: ScriptedEndpoint
) -> list[int]:
    """Have some clients ask; return the statuses that they got."""
    route = make_route(kind, service=endpoints[0].service)
    async with run_entry(list(endpoints), route) as rig:
        for number in range(CLIENTS):
            await insist(rig, witness, f"wish{number}")
        # What an endpoint still works on counts too.
        await asyncio.sleep(2 * WORK_TIME)
    return list(witness.statuses.values())


def make_runner(witness: Witness, status: bytes, extra: bytes, body: bytes) -> Worker:
    """Return an endpoint that runs requests and answers with a status all the same."""

    async def run(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        witness.record_run(seen)
        writer.write(make_answer(seen, body, status, extra))

    return run


def make_sound(witness: Witness, service: ServiceName) -> ScriptedEndpoint:
    async def run(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        witness.record_run(seen)
        writer.write(make_answer(seen))

    return ScriptedEndpoint("sound", run, service, data_centre="south")


@pytest.mark.parametrize("body", [b"", LONG_BODY], ids=["short", "long"])
@pytest.mark.parametrize("beside", [False, True], ids=["alone", "beside a sound one"])
@pytest.mark.parametrize("service", [PLAIN, MODELS])
@pytest.mark.parametrize("kind", [RequestKind.UNSAFE, RequestKind.STREAM])
@pytest.mark.parametrize("status", PROMISES)
async def test_status_of_an_endpoint_that_ran_a_request_is_no_promise(
    status: int, kind: RequestKind, service: ServiceName, beside: bool, body: bytes
) -> None:
    witness = Witness()
    script = make_runner(witness, STATUSES[status], STAMP, body)
    endpoints = [ScriptedEndpoint("odd", script, service)]
    if beside:
        endpoints.append(make_sound(witness, service))
    await play(witness, kind, *endpoints)
    witness.assert_kept()
    assert witness.runs
    ran = {attempt.decode() for attempt in witness.runs}
    assert {witness.statuses[attempt] for attempt in ran} <= {200, 502}


@pytest.mark.parametrize("status", [200, 201])
async def test_success_that_is_said_not_to_have_run_is_no_promise(status: int) -> None:
    witness = Witness()
    line = str(status).encode() + b" OK"
    script = make_runner(witness, line, STAMP + NOT_RUN, b"")
    await play(witness, RequestKind.UNSAFE, ScriptedEndpoint("odd", script))
    witness.assert_kept()


class RepeatingEndpoint(ScriptedEndpoint):
    """Rejects each request at first, sends that rejection twice, and then works."""

    def __init__(self, witness: Witness, status: bytes, delay: Seconds) -> None:
        super().__init__("repeating", self.answer)
        self.witness = witness
        self.status = status
        self.delay = delay

    async def answer(self, seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if [each.id for each in self.seen].count(seen.id) > 1:
            self.witness.record_run(seen)
            await asyncio.sleep(WORK_TIME)
            writer.write(make_answer(seen))
            return
        rejection = make_answer(seen, b"", self.status, NOT_RUN)
        writer.write(rejection)
        asyncio.get_running_loop().call_later(self.delay, writer.write, rejection)


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.06, 0.2])
@pytest.mark.parametrize("status", [421, 429, 503])
async def test_repeated_rejection_is_not_the_answer_to_a_later_send(
    status: int, delay: Seconds
) -> None:
    witness = Witness()
    endpoint = RepeatingEndpoint(witness, STATUSES[status], delay)
    statuses = await play(witness, RequestKind.UNSAFE, endpoint)
    witness.assert_kept()
    # Each client's request is served in the end, at its first attempt or a later one.
    assert statuses.count(200) == CLIENTS


@pytest.mark.parametrize("status", [421, 429, 503])
async def test_rejection_that_says_so_stays_a_promise(status: int) -> None:
    async def reject(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"", STATUSES[status], NOT_RUN))

    witness = Witness()
    endpoint = ScriptedEndpoint("full", reject)
    statuses = await play(witness, RequestKind.UNSAFE, endpoint)
    assert statuses == [503] * CLIENTS * MAX_CLIENT_ATTEMPTS


async def test_endpoint_of_another_instance_has_not_run_the_request() -> None:
    async def misdirect(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        extra = b"X-Instance-Id: i-other\r\n"
        writer.write(make_answer(seen, b"", STATUSES[421], extra))

    witness = Witness()
    endpoints = [ScriptedEndpoint("gone", misdirect), make_sound(witness, PLAIN)]
    statuses = await play(witness, RequestKind.UNSAFE, *endpoints)
    assert statuses == [200] * CLIENTS
    witness.assert_kept()


async def test_request_whose_channel_closes_before_it_is_sent_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    acquire, acquired = ChannelPool.acquire, []

    async def acquire_closing(
        pool: ChannelPool, endpoint: Endpoint, request_id: str
    ) -> Channel:
        channel = await acquire(pool, endpoint, request_id)
        acquired.append(channel)
        if len(acquired) == 1:
            channel.close()
        return channel

    monkeypatch.setattr(ChannelPool, "acquire", acquire_closing)
    witness = Witness()
    endpoint = make_sound(witness, PLAIN)
    async with run_entry([endpoint], make_route(RequestKind.UNSAFE)) as rig:
        reply = await rig.ask("POST")
    assert reply.status == 200
    assert (len(acquired), len(endpoint.seen)) == (2, 1)
