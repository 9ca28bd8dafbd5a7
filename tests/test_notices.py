"""What an endpoint says about itself in its answers takes effect at once.

Guards against daemons that ignore these headers. Without them requests go on to a
leaving engine for 2 s and more while the store is unavailable, as many per second as
before, and an engine that asks for 3 s of backoff gets 44 requests in that time.

An engine answers (200, or 503 and "not run") with a head that says that it is leaving,
or how long it asks to be left alone. The next endpoint is chosen by the store's entries
and the leader's rows, which do not contain the notice; often it is the same engine,
because it alone holds the adapter and counts as the least busy one. A second send then
follows a rejection within 1 ms. The adapter must also be loaded elsewhere.
"""

import asyncio

import pytest

from kestreltally.fleet.model import EndpointId, RequestKind
from tests.entryrig import (
    MODELS,
    STAMP,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)
from tests.test_fleet_daemon import MODEL, FleetRig, run_fleet

UNSAFE = RequestKind.UNSAFE
STREAM = RequestKind.STREAM
ADAPTER = {"X-Model-Name": "base/a1"}
LEAVING = b"Server-Leaving: 1\r\n"
# Requests in flight when an endpoint sends its notice may still reach it.
IN_TRANSIT = 0.1


def make_backing_off(retry_after: bytes) -> ScriptedEndpoint:
    """Return an endpoint that rejects all requests and names a time to retry."""

    async def turn_away(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        heads = b"X-Not-Run: 1\r\nRetry-After: " + retry_after + b"\r\n"
        writer.write(make_answer(seen, b"", b"503 Service Unavailable", heads))

    return ScriptedEndpoint("e1", turn_away)


async def answer_fully(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen))


@pytest.mark.parametrize(
    ("status", "heads"),
    [
        (b"200 OK", STAMP + LEAVING),
        (b"500 Internal Server Error", LEAVING),
        (b"503 Service Unavailable", b"X-Not-Run: 1\r\n" + LEAVING),
        (b"421 Misdirected Request", LEAVING),
    ],
)
async def test_an_endpoint_whose_answers_announce_leaving_gets_no_new_requests(
    status: bytes, heads: bytes
) -> None:
    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(seen, status=status, extra=heads))

    leaving = ScriptedEndpoint("e1", answer)
    staying = ScriptedEndpoint("e2", answer_fully)
    async with run_entry([leaving, staying], make_route()) as rig:
        await rig.ask()
        assert len(leaving.seen) == 1
        for number in range(10):
            # The leader's row is older than the notice received by this daemon.
            rig.fleet.put_endpoint(leaving.make_endpoint())
            assert (await rig.ask(request_id=f"again-{number}")).status == 200
    assert len(leaving.seen) == 1


async def test_an_endpoint_that_asks_for_backoff_is_not_called() -> None:
    backing_off = make_backing_off(b"0.8")
    available = ScriptedEndpoint("e2", answer_fully)
    async with run_entry([backing_off, available], make_route(UNSAFE)) as rig:
        replies = [
            await rig.ask("POST", body=b"x", request_id=f"q{number}")
            for number in range(20)
        ]
        assert [each.status for each in replies] == [200] * 20
        assert len(backing_off.seen) == 1
        await asyncio.sleep(0.9)
        await rig.ask("POST", body=b"x", request_id="later")
        assert len(backing_off.seen) == 2


async def test_the_only_endpoint_is_not_called_while_backing_off() -> None:
    backing_off = make_backing_off(b"3.00")
    async with run_entry([backing_off], make_route(UNSAFE, timeout=1.0)) as rig:
        loop = asyncio.get_running_loop()
        for number in range(10):
            began = loop.time()
            reply = await rig.ask("POST", body=b"x", request_id=f"q{number}")
            assert reply.status == 503
            assert loop.time() - began < 0.2
            # Correct, and spread, so that clients do not all retry at the same moment.
            assert 2.0 < float(reply.headers["retry-after"]) < 4.5
    assert len(backing_off.seen) == 1


async def test_a_request_assigned_before_a_notice_is_not_sent_after_it() -> None:
    # Many at once: all have chosen the endpoint and wait for a connection when the
    # notice arrives.
    backing_off = make_backing_off(b"2.0")
    backing_off.service = MODELS
    route = make_route(STREAM, service=MODELS, timeout=1.5, resumable=True)
    async with run_entry([backing_off], route) as rig:
        first = await rig.ask("POST", headers=ADAPTER, request_id="first")
        assert first.status == 503
        await asyncio.gather(
            *(
                rig.ask("POST", headers=ADAPTER, request_id=f"q{number}")
                for number in range(30)
            )
        )
    assert len(backing_off.seen) == 1


async def send_for_a_while(rig: FleetRig, vm: str, adapter: str, name: str) -> int:
    """Send requests for 3 s; return how many were not served."""
    loop = asyncio.get_running_loop()
    began, number, missed = loop.time(), 0, 0
    while loop.time() - began < 3.0:
        number += 1
        reply = await rig.ask(vm, "/m/x", adapter, f"{name}-{number}")
        missed += reply.status != 200
        await asyncio.sleep(0.03)
    return missed


async def test_a_leaving_engine_gets_no_requests_during_a_store_outage() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.loaded]
        rig.store.faults.set(down=True)
        engine.reports_leaving = True
        loop = asyncio.get_running_loop()
        announced_at = loop.time()
        asked = (send_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        # One daemon learns it from an answer, the other from that daemon.
        late_arrivals = [at for at in engine.arrivals if at > announced_at + 1.0]
        assert late_arrivals == []
        # Its adapter is loaded by another engine while there is a leader.
        assert sum(missed) <= 2


async def test_adapters_of_an_engine_backing_off_are_loaded_elsewhere() -> None:
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.loaded]
        assert engine.model == MODEL
        backoff_from = asyncio.get_running_loop().time()
        engine.backoff_until = backoff_from + 5.0
        asked = (send_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        # One request of each daemon is rejected with the backoff.
        during = [at for at in engine.arrivals if at > backoff_from + IN_TRANSIT]
        assert len(during) <= len(rig.daemons)
        assert sum(missed) <= 2


async def test_adapters_of_an_engine_that_rejects_all_are_loaded_elsewhere() -> None:
    # Guards against ignoring a 503 without a time: the only holder was called again
    # until the retry budget was used up.
    async with run_fleet() as rig:
        assert (await rig.ask("north-1", "/m/x", "a1", "begin")).whole
        (engine,) = [each for each in rig.engines if "a1" in each.loaded]
        engine.sheds_load = True
        began = asyncio.get_running_loop().time()
        asked = (send_for_a_while(rig, vm, "a1", vm) for vm in rig.daemons)
        missed = await asyncio.gather(*asked)
        arrived = [at for at in engine.arrivals if at > began]
        # Three requests of each daemon are rejected, then a few trials follow.
        assert len(arrived) <= 6 * len(rig.daemons)
        assert sum(missed) <= 4


async def test_an_endpoint_that_rejects_some_requests_stays_in_use() -> None:
    # Guards against backing off from an engine that was full for a moment.
    refusing = 0

    async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal refusing
        refusing += 1
        if refusing % 2:
            heads = b"X-Not-Run: 1\r\n"
            writer.write(make_answer(seen, b"", b"503 Service Unavailable", heads))
        else:
            writer.write(make_answer(seen))

    async with run_entry([ScriptedEndpoint("e1", answer)], make_route(UNSAFE)) as rig:
        replies = [
            await rig.ask("POST", body=b"x", request_id=f"q{number}")
            for number in range(4)
        ]
    assert [each.status for each in replies] == [200] * 4


async def test_all_daemons_apply_a_notice_soon() -> None:
    async with run_fleet() as rig:
        await rig.add_daemons_up_to(8)
        await asyncio.sleep(1.0)
        engine = next(each for each in rig.engines if not each.model)
        engine.reports_leaving = True
        rig.store.faults.set(down=True)
        loop = asyncio.get_running_loop()
        while not any(_is_leaving(rig, vm, engine.id) for vm in rig.daemons):
            await rig.ask("north-4", "/a/x")
        received_at = loop.time()
        while not all(_is_leaving(rig, vm, engine.id) for vm in rig.daemons):
            await asyncio.sleep(0.01)
            assert loop.time() - received_at < 1.0


def _is_leaving(rig: FleetRig, vm: str, engine: str) -> bool:
    known = rig.daemons[vm]._fleet.endpoints.get(EndpointId(engine))
    return known is not None and known.leaving
