"""Answers that last longer than usual while their daemon is in a planned stop.

Guards against a request that is passed on although the planned stop may end before its
answer does: the answer is cut off, and a request that must not run twice is lost. It
comes about with requests on kept connections, which the load balancer can't divert.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bench.faultsoak.proxy import ProxyMode
from kestreltally.entry.stopping import (
    ACCEPT_DURATION,
    STOPPING,
    STOPS_BEFORE_DEADLINE,
    PendingRequest,
    PlannedStop,
    find_stop_refusal,
)
from kestreltally.fleet.model import RequestKind
from kestreltally.fleet_daemon import MIN_STOP_DURATION
from kestreltally.platform.store import WRITE_TIMEOUT
from standins.platform_engine import PlatformEngine
from tests.entryrig import (
    BOUNDS,
    MODELS,
    EntryRig,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)
from tests.test_entry import (
    MODEL,
    STREAM,
    make_chunk,
    make_engine,
    make_event,
    make_stream_head,
    refuse,
)
from tests.test_fleet_daemon import FleetRig, make_configuration

SAFE, UNSAFE = RequestKind.SAFE, RequestKind.UNSAFE
# The stop has begun so long ago that the load balancer sends nothing new.
ELAPSED = 4.0
ANSWER_TIME = 0.9
TIMEOUT = 1.2
# The time that a process takes to close its connections and end, at the least.
EXIT_TIME = 0.15
# Time left of a stop that ends while a request is served.
STOP_LEFT = 0.4


async def answer_slowly(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(ANSWER_TIME)
    writer.write(make_answer(seen))


async def pause_in_the_middle(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    answer = make_answer(seen, b"x" * 100_000)
    writer.write(answer[:50_000])
    await asyncio.sleep(1.0)
    writer.write(answer[50_000:])


async def stream_with_a_pause(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_stream_head(seen) + make_chunk(make_event(1)))
    await asyncio.sleep(1.0)
    writer.write(make_chunk(make_event(2)) + b"0\r\n\r\n")


def begin_stop(rig: EntryRig, left: float, elapsed: float = ELAPSED) -> float:
    """Begin a planned stop some time ago; return when it ends."""
    ends_at = asyncio.get_running_loop().time() + left
    rig.api.stop_by(ends_at)
    rig.api._stop_started_at -= elapsed
    return ends_at


@asynccontextmanager
async def run_stopping(
    endpoint: ScriptedEndpoint,
    left: float,
    kind: RequestKind = RequestKind.SAFE,
    timeout: float = TIMEOUT,
) -> AsyncIterator[EntryRig]:
    route = make_route(kind, timeout=timeout, attempts=1)
    async with run_entry([endpoint], route) as rig:
        begin_stop(rig, left)
        yield rig


async def close_after(
    rig: EntryRig, asked: asyncio.Task[Reply], left: float
) -> Reply | None:
    """Return the answer to a request of a daemon that ends; None if there is none."""
    await asyncio.sleep(left)
    await rig.api.close()
    try:
        return await asked
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def ask_until_closed(rig: EntryRig, left: float) -> Reply | None:
    return await close_after(rig, asyncio.create_task(rig.ask()), left)


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
@pytest.mark.parametrize("script", [answer_slowly, pause_in_the_middle])
async def test_a_plain_request_that_may_outlast_the_stop_is_not_passed_on(
    kind: RequestKind, script: object
) -> None:
    endpoint = ScriptedEndpoint("p1", script)  # type: ignore[arg-type]
    async with run_stopping(endpoint, left=0.7, kind=kind) as rig:
        reply = await ask_until_closed(rig, 0.7)
    assert reply is not None, "cut off"
    assert (reply.status, reply.whole) == (503, True)
    assert reply.headers["connection"] == "close"
    assert "retry-after" in reply.headers
    assert not endpoint.seen


@pytest.mark.parametrize("script", [answer_slowly, pause_in_the_middle])
async def test_a_plain_request_that_ends_within_the_stop_is_served(
    script: object,
) -> None:
    endpoint = ScriptedEndpoint("p1", script)  # type: ignore[arg-type]
    async with run_stopping(endpoint, left=1.4) as rig:
        reply = await ask_until_closed(rig, 1.4)
    assert reply is not None, "cut off"
    assert (reply.status, reply.whole) == (200, True)


async def test_a_deadline_of_the_client_s_own_makes_room_within_the_stop() -> None:
    endpoint = ScriptedEndpoint("p1", answer_slowly)
    async with run_stopping(endpoint, left=1.4, timeout=10.0) as rig:
        headers = {"X-Deadline-Milliseconds": "1200"}
        reply = await rig.ask(headers=headers)
    assert (reply.status, reply.whole) == (200, True)


async def test_plain_requests_are_served_while_the_balancer_may_send_them() -> None:
    endpoint = ScriptedEndpoint("p1", answer_slowly)
    route = make_route(timeout=30.0)
    async with run_entry([endpoint], route) as rig:
        begin_stop(rig, left=6.0, elapsed=1.0)
        reply = await rig.ask()
    assert (reply.status, reply.whole) == (200, True)


async def test_a_stream_that_pauses_in_the_middle_outlives_the_start_of_a_stop() -> (
    None
):
    engine = make_engine("e1", stream_with_a_pause, "north")
    route = make_route(STREAM, service=MODELS, timeout=10.0)
    async with run_entry([engine], route) as rig:
        asked = asyncio.create_task(rig.ask("POST", headers=MODEL, body=b"p"))
        await asyncio.sleep(0.1)
        begin_stop(rig, left=2.0)
        reply = await asked
    assert (reply.status, reply.whole) == (200, True)
    assert reply.body == make_event(1) + make_event(2)


async def ask_until_the_stop_ends(
    rig: EntryRig, headers: dict[str, str] | None = None
) -> Reply | None:
    """Return the answer to a request that is served until a stop ends; None if cut."""
    asked = asyncio.create_task(rig.ask("POST", headers=headers, body=b"p"))
    await asyncio.sleep(0.1)
    begin_stop(rig, STOP_LEFT, elapsed=0.0)
    return await close_after(rig, asked, STOP_LEFT + 0.1)


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
async def test_request_that_runs_as_a_stop_ends_fails_instead_of_being_cut(
    kind: RequestKind,
) -> None:
    endpoint = ScriptedEndpoint("p1", answer_slowly)
    async with run_entry([endpoint], make_route(kind, timeout=30.0)) as rig:
        reply = await ask_until_the_stop_ends(rig)
    assert reply is not None, "cut off"
    assert (reply.status, reply.whole) == (502, True)
    assert reply.headers["connection"] == "close"
    assert len(endpoint.seen) == 1


async def test_request_that_waits_as_a_stop_ends_is_told_that_it_has_not_run() -> None:
    engine = make_engine("e1", answer_slowly, "north")
    engine.holds_model = False
    route = make_route(RequestKind.UNSAFE, service=MODELS, timeout=30.0, objective=20.0)
    async with run_entry([engine], route) as rig:
        rig.relay.finder.load_wait = 10.0
        reply = await ask_until_the_stop_ends(rig, MODEL)
    assert reply is not None, "cut off"
    assert (reply.status, reply.whole) == (503, True)
    assert float(reply.headers["retry-after"]) < 0.1
    assert not engine.seen


async def test_stream_that_has_begun_as_a_stop_ends_does_not_look_whole() -> None:
    engine = make_engine("e1", stream_with_a_pause, "north")
    async with run_entry(
        [engine], make_route(STREAM, service=MODELS, timeout=30.0)
    ) as rig:
        reply = await ask_until_the_stop_ends(rig, MODEL)
    assert reply is not None
    assert not reply.whole


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
async def test_request_that_is_rejected_until_late_in_a_stop_is_not_passed_on(
    kind: RequestKind,
) -> None:
    full_until = asyncio.get_running_loop().time() + 0.3
    passed_on_late = []

    async def be_full_at_first(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if asyncio.get_running_loop().time() < full_until:
            await refuse(seen, writer)
            return
        passed_on_late.append(seen.id)
        await answer_slowly(seen, writer)

    endpoint = ScriptedEndpoint("p1", be_full_at_first)
    # Longer than what is left of the stop.
    route = make_route(kind, timeout=1.5)
    async with run_entry([endpoint], route) as rig:
        begin_stop(rig, left=0.8, elapsed=ACCEPT_DURATION - 0.2)
        reply = await ask_until_closed(rig, 0.8)
    assert reply is not None, "cut off"
    assert (reply.status, reply.whole) == (503, True)
    assert not passed_on_late


STOP = PlannedStop(started_at=10.0, ends_at=17.6)


@pytest.mark.parametrize(
    ("kind", "repeatable", "at", "deadline", "reason"),
    [
        (SAFE, True, 12.9, 40.0, None),
        (SAFE, True, 13.0, 17.6, None),
        (SAFE, True, 13.0, 17.7, STOPS_BEFORE_DEADLINE),
        (SAFE, True, 17.5, 17.55, None),
        (SAFE, True, 17.6, 17.6, STOPPING),
        (UNSAFE, False, 10.1, 17.6, None),
        (UNSAFE, False, 10.1, 17.7, STOPS_BEFORE_DEADLINE),
        (UNSAFE, False, 13.0, 17.7, STOPS_BEFORE_DEADLINE),
        (STREAM, True, 12.9, 40.0, None),
        (STREAM, True, 13.0, 14.0, STOPPING),
        (STREAM, False, 12.9, 17.6, None),
        (STREAM, False, 10.1, 17.7, STOPS_BEFORE_DEADLINE),
    ],
)
def test_what_is_passed_on_in_a_planned_stop(
    kind: RequestKind, repeatable: bool, at: float, deadline: float, reason: str | None
) -> None:
    pending = PendingRequest(kind, repeatable, at, deadline)
    assert find_stop_refusal(STOP, pending) == reason


def test_nothing_is_passed_on_after_a_stop_has_ended_early() -> None:
    ended = PlannedStop(started_at=10.0, ends_at=10.5)
    late = PendingRequest(SAFE, True, 11.0, 12.0)
    assert find_stop_refusal(ended, late) == STOPPING


class StoppingRig(FleetRig):
    """One daemon, which leads, and a plain endpoint; the store may be silent."""

    async def start(self) -> PlatformEngine:
        await self.serve_store()
        configuration = make_configuration(1, "/a/")
        await self.store.put("config", "main", configuration)
        endpoint = await self.add_endpoint("north")
        await self.add_daemon("north-1", "north", first_start=True)
        await self.ask_until("north-1", "/a/x", 200, 4.0)
        await asyncio.sleep(1.0)
        return endpoint


async def test_a_request_that_arrives_as_the_leases_are_released_is_not_cut() -> None:
    rig = StoppingRig()
    endpoint = await rig.start()
    try:
        daemon = rig.daemons["north-1"]
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(MIN_STOP_DURATION - 0.1)
        held = sum(lease.leads for lease in daemon._leases.values())
        assert held
        # The release of the leases is not answered.
        rig.store_proxy.set_mode(ProxyMode.SILENT)
        await asyncio.sleep(0.1 + held * WRITE_TIMEOUT - 0.4)
        assert not stopping.done()
        # Shorter than the timeout of the route, but longer than the release.
        endpoint.pause(0.9)
        asked = asyncio.create_task(rig.ask("north-1", "/a/x", request_id="late"))
        await stopping
        await daemon.close()
        reply = await asked
        assert (reply.status, reply.headers["connection"]) == (503, "close")
        assert not endpoint.runs["late"]
    finally:
        await rig.close()


async def test_daemon_ends_within_the_grace_while_the_store_is_silent() -> None:
    rig = StoppingRig()
    await rig.start()
    try:
        daemon = rig.daemons["north-1"]
        # A request is served until the end.
        daemon._entry_api.active_requests += 1
        rig.store_proxy.set_mode(ProxyMode.SILENT)
        began = asyncio.get_running_loop().time()
        await daemon.stop()
        took = asyncio.get_running_loop().time() - began
    finally:
        daemon._entry_api.active_requests -= 1
        await rig.close()
    assert took < BOUNDS.grace - EXIT_TIME
