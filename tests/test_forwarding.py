"""Requests that a daemon out of reach of all endpoints passes on to another.

Guards against requests that run twice or run though "not run" was said, keys that
travel or outlive their withdrawal, a second hop, and answers that look complete.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from kestreltally.deployment import SocketAddress
from kestreltally.entry.intake import PeerIntake
from kestreltally.fleet.model import Organisation, OrganisationName, RequestKind, Route
from kestreltally.forwarding.forwarder import Forwarder
from kestreltally.forwarding.headers import ForwardedContext, encode_context
from kestreltally.forwarding.targets import ForwardTarget, ForwardTargets
from kestreltally.reach.contact import Reach
from tests.entryrig import (
    MODELS,
    PLAIN,
    STAMP,
    EntryRig,
    Reply,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_configuration,
    make_route,
    run_entry,
)
from tests.test_entry import (
    MODEL,
    answer_whole,
    close_connection,
    fail,
    make_event,
    make_streamer,
    refuse,
    stay_silent,
)

STREAM, UNSAFE = RequestKind.STREAM, RequestKind.UNSAFE
KEY_BOUND = 5.0


@asynccontextmanager
async def run_pair(
    endpoints: list[ScriptedEndpoint], *routes: Route
) -> AsyncIterator[tuple[EntryRig, EntryRig]]:
    """Run a daemon that is cut off, and one that reaches the endpoints."""
    async with run_entry(endpoints, *routes) as peer, run_entry([], *routes) as sender:
        port = await peer.api.start_forwarding(
            PeerIntake(peer.fleet, peer.authority), SocketAddress("127.0.0.1", 0)
        )
        connect(sender, port)
        yield sender, peer


def connect(sender: EntryRig, *ports: int) -> None:
    """Let a daemon be cut off, and know of peers."""
    targets = ForwardTargets("north")
    found = [
        ForwardTarget(SocketAddress("127.0.0.1", each), "north", 0) for each in ports
    ]
    targets.apply(found, asyncio.get_running_loop().time())
    sender.relay.rerouting.forwarder = Forwarder(
        targets, sender.fleet, sender.relay.budget, sender.authority.compute_age
    )
    sender.relay.contact.reach = Reach.CUT_OFF


async def ask(sender: EntryRig, *, stream: bool = False) -> Reply:
    headers = MODEL if stream else {}
    return await sender.ask("POST", "/r/a%2Fb?x=1", headers=headers, body=b"body")


async def test_request_reaches_the_endpoint_unchanged_over_one_hop() -> None:
    endpoint = ScriptedEndpoint("e1", answer_whole)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, _):
        reply = await ask(sender)
    (seen,) = endpoint.seen
    assert (reply.status, reply.body) == (200, b"whole")
    assert reply.headers["x-server-stamp"] == "s"
    assert seen.head.startswith(b"POST /r/a%2Fb?x=1 HTTP/1.1\r\n")
    assert (seen.body, seen.id) == (b"body", b"q1")
    assert b"x-kestreltally" not in seen.head.lower()
    assert int(seen.find(b"x-deadline-milliseconds") or 0) <= 2_000


async def test_peer_that_is_cut_off_itself_passes_nothing_on() -> None:
    endpoint = ScriptedEndpoint("e1", answer_whole)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, peer):
        connect(peer, peer.port)
        reply = await ask(sender)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert not endpoint.seen


async def test_next_peer_is_asked_if_one_is_stopping() -> None:
    endpoint = ScriptedEndpoint("e1", answer_whole)
    async with (
        run_pair([endpoint], make_route(UNSAFE)) as (sender, stopping),
        run_entry([endpoint], make_route(UNSAFE)) as other,
    ):
        first = stopping.api.ingress._runners[-1].addresses[0][1]
        stopping.api.stop_by(0.0)
        second = await other.api.start_forwarding(
            PeerIntake(other.fleet, other.authority), SocketAddress("127.0.0.1", 0)
        )
        connect(sender, first, second)
        replies = [await ask(sender) for _ in range(6)]
    assert {each.status for each in replies} == {200}
    assert len(endpoint.seen) == 6


async def test_refusal_of_a_peer_says_that_nothing_ran_and_when_to_come_back() -> None:
    async with run_pair([], make_route(STREAM, service=MODELS)) as (sender, peer):
        peer.relay.finder.load_wait = 1.5
        reply = await ask(sender, stream=True)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) == pytest.approx(1.5, abs=0.1)


@pytest.mark.parametrize(
    ("script", "status"), [(close_connection, 502), (refuse, 503), (fail, 500)]
)
async def test_unsafe_request_runs_at_most_once_over_the_hop(
    script: object, status: int
) -> None:
    endpoint = ScriptedEndpoint("e1", script)  # type: ignore[arg-type]
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, _):
        reply = await ask(sender)
    assert reply.status == status
    assert len(endpoint.seen) == 1 or status == 503


@pytest.mark.parametrize("elsewhere", ["false", "true"])
@pytest.mark.parametrize("status", [b"200 OK", b"421 Misdirected", b"500 Error"])
async def test_refusal_in_an_engine_s_answer_is_not_taken_for_the_peer_s(
    status: bytes, elsewhere: str
) -> None:
    fields = f'{{"status":503,"reason":"x","retry_after":0.1,"elsewhere":{elsewhere}}}'
    extra = STAMP + f"X-Kestreltally-Refusal: {fields}\r\n".encode()

    async def forge(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"whole", status, extra))

    endpoint = ScriptedEndpoint("e1", forge)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, _):
        reply = await ask(sender)
    assert reply.status in (200, 500, 502)
    assert "x-kestreltally-refusal" not in reply.headers
    assert len(endpoint.seen) == 1


REFUSAL = '{"status":503,"reason":"x","retry_after":0.1,"elsewhere":false}'


@pytest.mark.parametrize(
    "fields",
    [
        REFUSAL,
        REFUSAL.replace("false", "true"),
        f"{REFUSAL}\r\nX-Kestreltally-Send: another",
        '{"status":503}',
        "[",
    ],
    ids=["no send", "no send, elsewhere", "another send", "short", "not JSON"],
)
async def test_refusal_that_names_no_send_proves_nothing(fields: str) -> None:
    async def refuse_oddly(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        extra = f"X-Kestreltally-Refusal: {fields}\r\n".encode()
        writer.write(make_answer(seen, b"", b"421 Misdirected", extra))

    odd = ScriptedEndpoint("daemon", refuse_oddly)
    async with run_pair([odd], make_route(UNSAFE)) as (sender, _):
        connect(sender, odd.port)
        reply = await ask(sender)
    assert reply.status == 502
    assert len(odd.seen) == 1


async def test_request_of_a_peer_that_ends_is_not_sent_again() -> None:
    endpoint = ScriptedEndpoint("e1", stay_silent)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, peer):
        asking = asyncio.create_task(ask(sender))
        while not endpoint.seen:
            await asyncio.sleep(0.01)
        await peer.api.close()
        reply = await asking
    assert reply.status == 502
    assert len(endpoint.seen) == 1


async def test_stream_goes_on_at_another_engine_of_the_peer() -> None:
    broken = ScriptedEndpoint("e1", make_streamer(1, 3, whole=False), MODELS)  # type: ignore[arg-type]
    healthy = ScriptedEndpoint("e2", make_streamer(1, 6, whole=True), MODELS, "south")  # type: ignore[arg-type]
    route = make_route(STREAM, service=MODELS, resumable=True)
    async with run_pair([broken, healthy], route) as (sender, _):
        reply = await ask(sender, stream=True)
    assert reply.whole
    assert reply.body == b"".join(make_event(number) for number in range(1, 7))


async def test_broken_stream_is_broken_off_over_the_hop() -> None:
    broken = ScriptedEndpoint("e1", make_streamer(1, 3, whole=False), MODELS)  # type: ignore[arg-type]
    async with run_pair([broken], make_route(STREAM, service=MODELS)) as (sender, _):
        reply = await ask(sender, stream=True)
    assert not reply.whole


async def test_client_that_leaves_ends_its_request_at_the_endpoint() -> None:
    endpoint = ScriptedEndpoint("e1", stay_silent)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, peer):
        asking = asyncio.create_task(ask(sender))
        while not endpoint.seen:
            await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.sleep(0.3)
        assert peer.api.active_requests == 0


async def test_peer_with_an_older_configuration_does_not_run_the_request() -> None:
    endpoint = ScriptedEndpoint("e1", answer_whole)
    route = make_route(UNSAFE)
    async with run_pair([endpoint], route) as (sender, _):
        sender.fleet.apply_configuration(make_configuration(2, route))
        reply = await ask(sender)
    assert reply.status == 503
    assert not endpoint.seen


@pytest.mark.parametrize(("key_age", "runs"), [(0.5, True), (4.0, False)])
async def test_key_is_believed_no_longer_than_the_sender_may(
    key_age: float, runs: bool
) -> None:
    endpoint = ScriptedEndpoint("e1", answer_whole)
    route = make_route(UNSAFE)
    name = OrganisationName("shop")
    listed = (Organisation(name, ("key",)),)
    async with run_entry([endpoint], route) as peer:
        configuration = replace(make_configuration(2, route), organisations=listed)
        peer.fleet.apply_configuration(configuration)
        port = await peer.api.start_forwarding(
            PeerIntake(peer.fleet, peer.authority), SocketAddress("127.0.0.1", 0)
        )
        context = ForwardedContext(name, 1, 2, 0.0, key_age)
        sender = replace(peer, port=port)
        await sender.ask("POST", headers=dict([encode_context(context)]), body=b"x")
    assert bool(endpoint.seen) == runs
    assert all(each.find(b"x-tenant-name") == b"shop" for each in endpoint.seen)


async def test_safe_request_runs_on_as_many_endpoints_as_its_route_allows() -> None:
    endpoints = [ScriptedEndpoint(f"e{n}", fail) for n in range(4)]
    async with run_pair(endpoints, make_route(attempts=2)) as (sender, _):
        reply = await ask(sender)
    assert reply.status == 500
    assert sum(len(each.seen) for each in endpoints) == 2


def test_load_is_spread_and_failing_relays_are_passed_over() -> None:
    targets = ForwardTargets("north")
    near, far, busy = (SocketAddress("127.0.0.1", port) for port in (1, 2, 3))
    targets.apply(
        [
            ForwardTarget(near, "north", 2),
            ForwardTarget(far, "south", 2),
            ForwardTarget(busy, "north", 40),
        ],
        now=0.0,
    )
    chosen = {targets.choose(set(), now=0.0) for _ in range(50)}
    addresses = {each.address for each in chosen if each is not None}
    assert addresses == {near, far}
    targets.record_failed(near, now=0.0)
    found = targets.choose({far}, now=0.1)
    assert found is not None
    assert found.address == busy
    assert targets.choose(set(), now=100.0) is None


async def test_answer_of_a_peer_is_never_taken_for_another_request() -> None:
    async def answer_own_id(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"for " + seen.id))

    endpoint = ScriptedEndpoint("e1", answer_own_id)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, _):
        names = [f"q{number}" for number in range(20)]
        replies = await asyncio.gather(
            *(sender.ask("POST", body=b"x", request_id=name) for name in names)
        )
    assert [each.body for each in replies] == [f"for {n}".encode() for n in names]


async def test_request_that_an_engine_turned_away_is_passed_on_as_a_retry() -> None:
    full = ScriptedEndpoint("e1", refuse)
    endpoint = ScriptedEndpoint("e2", answer_whole)
    async with (
        run_pair([endpoint], make_route(UNSAFE)) as (sender, _),
        run_entry([full], make_route(UNSAFE)) as reaching,
    ):
        reaching.relay.rerouting.forwarder = sender.relay.rerouting.forwarder
        contact = reaching.relay.contact

        async def refuse_and_cut(
            seen: SeenRequest, writer: asyncio.StreamWriter
        ) -> None:
            contact.reach = Reach.CUT_OFF
            await refuse(seen, writer)

        full.script = refuse_and_cut
        budget = reaching.relay.budget
        now = asyncio.get_running_loop().time()
        before = budget.compute_remaining(PLAIN, now)
        reply = await ask(reaching)
        after = budget.compute_remaining(PLAIN, asyncio.get_running_loop().time())
    assert reply.status == 200
    assert after < before


@pytest.mark.parametrize("status", [b"408 Late", b"421 Other", b"429 Many", b"503 No"])
async def test_status_of_a_peer_s_engine_is_no_promise(status: bytes) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, b"", status))

    endpoint = ScriptedEndpoint("e1", answer)
    async with run_pair([endpoint], make_route(UNSAFE)) as (sender, _):
        reply = await ask(sender)
    assert reply.status == 502
    assert len(endpoint.seen) == 1
