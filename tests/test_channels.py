"""Channels to an endpoint stay within what it accepts from all daemons, and are reused.

Guards against an endpoint that resets requests because many daemons keep idle channels
to it, against the use of a channel that its endpoint is about to close, and against
closing channels that could have been used again.
"""

import asyncio

import pytest

from kestreltally.entry.channel_rules import ChannelRules
from kestreltally.entry.channels import (
    DEFAULT_IDLE_TIME,
    KEEP_ALIVE_MARGIN,
    MIN_SURVIVORS,
    NEW_CHANNEL_COST,
    IdleTime,
    compute_channel_cost,
    compute_share,
)
from kestreltally.entry.upstream import Channel, ChannelPool, encode_head
from kestreltally.fleet.model import ServiceName, ServiceSpec
from kestreltally.fleet.notices import NoticeTable
from tests.entryrig import PLAIN, ScriptedEndpoint, SeenRequest, make_answer

CAP, SLOTS = 590, 32


@pytest.mark.parametrize(("daemons", "idle"), [(6, 68), (109, 3), (1_100, 1)])
def test_idle_channels_and_those_in_use_fit_the_cap(daemons: int, idle: int) -> None:
    share = compute_share(CAP, SLOTS, daemons)
    assert share.idle == idle
    kept = daemons * share.idle * share.idle_time_fraction
    assert kept + 2 * SLOTS <= CAP
    assert share.open >= 4


def test_share_of_an_endpoint_with_few_channels_allows_requests() -> None:
    share = compute_share(50, SLOTS, 1_100)
    assert share.open >= 1
    assert share.idle_time_fraction == 0.0


def test_reaching_an_endpoint_by_an_idle_channel_costs_nothing() -> None:
    assert compute_channel_cost(has_idle=True) == 0.0
    assert compute_channel_cost(has_idle=False) == NEW_CHANNEL_COST


def test_idle_time_grows_with_survivors_and_falls_when_endpoints_close() -> None:
    idle_time = IdleTime()
    for _ in range(MIN_SURVIVORS):
        assert idle_time.usable == DEFAULT_IDLE_TIME
        idle_time.record_open(idle_time.trial)
    assert idle_time.usable > DEFAULT_IDLE_TIME
    known = idle_time.known
    idle_time.record_closed(known + 1.0)
    assert idle_time.known == known
    idle_time.record_closed(known - 1.0)
    assert idle_time.usable == known - 1.0 - KEEP_ALIVE_MARGIN
    idle_time.record_closed(0.1)
    assert idle_time.usable == DEFAULT_IDLE_TIME


def make_pool(cap: int = 100, daemons: int = 8) -> ChannelPool:
    service = ServiceSpec(PLAIN, "/health", cap, None)
    rules = ChannelRules({PLAIN: service}.get, lambda: daemons)
    return ChannelPool(NoticeTable(), rules=rules)


async def exchange(pool: ChannelPool, channel: Channel) -> int:
    head = encode_head("GET", "/x", (("X-Request-Id", "q"),))
    answer = await channel.send(head, b"", "q")
    await answer.read_all(1_000)
    return answer.status


class Server:
    """A scripted endpoint on loopback, with the pool to it."""

    def __init__(self, extra: bytes = b"", status: bytes = b"200 OK") -> None:
        self.extra = extra
        self.status = status
        self.endpoint = ScriptedEndpoint("e", self.answer)

    async def answer(self, seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        extra = b"X-Server-Stamp: s\r\n" + self.extra
        writer.write(make_answer(seen, status=self.status, extra=extra))

    async def __aenter__(self) -> "Server":
        self.server = await asyncio.start_server(self.endpoint.serve, "127.0.0.1", 0)
        self.endpoint.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()


async def test_a_channel_is_idle_from_the_end_of_its_answer() -> None:
    async with Server(b"Keep-Alive: timeout=30\r\n") as server:
        pool = make_pool()
        endpoint = server.endpoint.make_endpoint()
        channel = await pool.acquire(endpoint)
        await exchange(pool, channel)
        await asyncio.sleep(0.2)
        pool.release(channel, keep=True)
        now = asyncio.get_running_loop().time()
        left = channel.usable_until - now
        assert left == pytest.approx(30.0 - KEEP_ALIVE_MARGIN, abs=0.1)
        assert pool.has_idle(endpoint)
        assert await pool.acquire(endpoint) is channel
        assert (pool.opened, pool.used) == (1, 2)
        pool.close()


async def test_request_takes_another_channel_each_time_it_is_sent() -> None:
    async with Server() as server:
        pool = make_pool()
        endpoint = server.endpoint.make_endpoint()
        first = await pool.acquire(endpoint, "q")
        await exchange(pool, first)
        pool.release(first, keep=True)
        second = await pool.acquire(endpoint, "q")
        assert second is not first
        assert await pool.acquire(endpoint, "another") is first
        pool.close()


async def test_answer_to_a_request_is_not_taken_for_that_to_a_daemon_s_own_call() -> (
    None
):
    """The answer to the request comes twice, the second time after the call."""

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if seen.id == b"q":
            writer.write(make_answer(seen))
            return
        surplus = SeenRequest(b"GET /x HTTP/1.1\r\nX-Request-Id: q\r\n\r\n", b"")
        writer.write(make_answer(surplus, status=b"503 Full"))
        writer.write(make_answer(seen, body=b"report"))

    async with Server() as server:
        server.endpoint.script = answer
        pool = make_pool()
        channel = await pool.acquire(server.endpoint.make_endpoint())
        await exchange(pool, channel)
        head = encode_head("GET", "/report", (("X-Request-Id", "own-1"),))
        answered = await channel.send(head, b"", "own-1", is_own=True)
        assert (answered.status, await answered.read_all(100)) == (200, b"report")
        assert not channel.reusable
        channel.abort()


async def test_channel_that_has_sent_many_requests_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("kestreltally.entry.channel.MAX_REQUESTS", 1)
    async with Server() as server:
        pool = make_pool()
        endpoint = server.endpoint.make_endpoint()
        channel = await pool.acquire(endpoint, "q")
        await exchange(pool, channel)
        pool.release(channel, keep=True)
        assert pool.open_count == 0


@pytest.mark.parametrize(
    ("status", "kept"), [(b"500 Internal Server Error", True), (b"200 OK", False)]
)
async def test_only_a_whole_error_answer_keeps_its_channel(
    status: bytes, kept: bool
) -> None:
    async with Server(status=status) as server:
        pool = make_pool()
        endpoint = server.endpoint.make_endpoint()
        channel = await pool.acquire(endpoint)
        await exchange(pool, channel)
        pool.release(channel, keep=False)
        assert pool.has_idle(endpoint) is kept
        assert pool.open_count == int(kept)
        pool.close()


async def test_beyond_its_share_a_request_waits_for_a_channel_in_use() -> None:
    async with Server() as server:
        pool = make_pool(cap=10, daemons=100)
        endpoint = server.endpoint.make_endpoint()
        used = [await pool.acquire(endpoint) for _ in range(4)]
        await exchange(pool, used[0])
        waiting = asyncio.create_task(pool.acquire(endpoint))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        pool.release(used[0], keep=True)
        assert await waiting is not None
        assert pool.waits == 1
        await pool.acquire(endpoint)
        assert pool.waits == 2
        pool.close()


async def test_a_rested_channel_is_kept_for_trial_and_not_used() -> None:
    async with Server() as server:
        pool = make_pool()
        endpoint = server.endpoint.make_endpoint()
        channel = await pool.acquire(endpoint)
        await exchange(pool, channel)
        pool.release(channel, keep=True)
        now = asyncio.get_running_loop().time()
        channel.usable_until = now - 0.1
        pool.close_expired(now)
        assert pool.idle_count == 1
        assert not pool.has_idle(endpoint)
        assert await pool.acquire(endpoint) is not channel
        pool.close_expired(channel.open_until)
        assert pool.idle_count == 0
        pool.close()


def test_an_unknown_service_has_no_share() -> None:
    rules = ChannelRules({}.get, lambda: 8)
    assert (
        rules.get_share(
            ScriptedEndpoint("e", Server().answer, ServiceName("z")).make_endpoint()
        )
        is None
    )
