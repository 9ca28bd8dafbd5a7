"""Turns at engines, asked for and issued by messages that may be lost.

Guards against prompts that two daemons begin at one engine at the same moment, so that
its streams pause too long; against requests that wait for an issuer that is gone; and
against requests that are sent after their client, key or engine went while they waited.
"""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import pytest

from kestreltally.entry.pacer import PromptPacer
from kestreltally.fleet.model import EndpointId, RequestKind, Seconds
from kestreltally.pacing.issuer import TurnIssuer
from kestreltally.pacing.line import EnginePace, Prompt
from kestreltally.pacing.pauses import EventTimes
from kestreltally.pacing.turns import Ask, PromptNeed, Turn, TurnTable, TurnTooLate
from tests.entryrig import (
    KEY,
    MODELS,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_route,
    run_entry,
)

ENGINE = EndpointId("e1")
PACE = EnginePace(token_time=1 / 40_000, event_time=0.03, max_pause=0.6, streams=3)
LONG = 12_000
# The time to read a long prompt, and the longest time that a message takes here.
READING = LONG * PACE.token_time
HOP = 0.005


@dataclass
class Network:
    """Daemons and an issuer in one process; ``lost`` daemons are cut off."""

    tables: dict[str, TurnTable] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    drop_next_grant: bool = False

    def __post_init__(self) -> None:
        self.clock = asyncio.get_running_loop().time
        self.issuer = TurnIssuer(lambda *_: PACE, self.answer, self.clock)

    def add(self, name: str) -> TurnTable:
        table = self.tables[name] = TurnTable(self.clock)
        table.send_list = lambda endpoint, asks: self.ask(name, endpoint, asks)
        return table

    def ask(self, name: str, endpoint: EndpointId, asks: Sequence[Ask]) -> bool:
        prompts = [
            Prompt(
                daemon=name,
                number=each.number,
                tokens=each.need.tokens,
                urgency=each.need.urgency,
                organisation=each.need.organisation,
                asked_at=each.asked_at,
                begin_by=each.need.begin_by,
                give_up_at=each.need.give_up_at,
                reading=each.reading,
            )
            for each in asks
        ]
        if name not in self.lost:
            loop = asyncio.get_running_loop()
            loop.call_later(HOP, self.issuer.apply, name, endpoint, prompts)
        return True

    def answer(
        self,
        name: str,
        endpoint: EndpointId,
        granted: Sequence[int],
        waits: Mapping[int, Seconds],
    ) -> None:
        if granted and self.drop_next_grant:
            self.drop_next_grant = False
            return
        if name not in self.lost:
            loop = asyncio.get_running_loop()
            table = self.tables[name]
            loop.call_later(HOP, table.apply_answer, endpoint, granted, dict(waits))

    def need(self, patience: Seconds = 5.0, tokens: int = LONG) -> PromptNeed:
        now = self.clock()
        return PromptNeed(tokens, 1, "", now + 1.0, now + patience)


async def read(turn: Turn) -> tuple[Seconds, Seconds]:
    """Let an engine read a prompt; return when it began and ended."""
    clock = asyncio.get_running_loop().time
    began_at = clock()
    await asyncio.sleep(READING)
    turn.end()
    return began_at, clock()


@pytest.mark.looptime
async def test_prompts_of_two_daemons_begin_one_after_another() -> None:
    network = Network()
    tables = [network.add("vm-1"), network.add("vm-2")]

    async def run(table: TurnTable) -> tuple[Seconds, Seconds]:
        return await read(await table.obtain(ENGINE, network.need()))

    spans = sorted(await asyncio.gather(*(run(each) for each in tables)))
    assert spans[1][0] >= spans[0][1]
    assert spans[1][0] - spans[0][1] < PACE.event_time + 6 * HOP
    await asyncio.sleep(3 * HOP)
    assert network.issuer.count_prompts() == 0


@pytest.mark.looptime
async def test_a_lost_grant_is_repeated() -> None:
    network = Network(drop_next_grant=True)
    table = network.add("vm-1")
    turn = await table.obtain(ENGINE, network.need())
    assert turn.waited < 0.5
    turn.end()


@pytest.mark.looptime
async def test_a_prompt_is_sent_without_a_turn_if_nobody_answers() -> None:
    network = Network(lost={"vm-1"})
    turn = await network.add("vm-1").obtain(ENGINE, network.need())
    assert not turn.granted
    assert turn.waited < 0.15


@pytest.mark.looptime
async def test_an_issuer_that_falls_silent_holds_nobody_for_long() -> None:
    network = Network()
    first = await network.add("vm-1").obtain(ENGINE, network.need())
    table = network.add("vm-2")
    waiting = asyncio.create_task(table.obtain(ENGINE, network.need()))
    await asyncio.sleep(0.1)
    network.lost.add("vm-2")
    turn = await asyncio.wait_for(waiting, 1.0)
    assert not turn.granted
    first.end()


@pytest.mark.looptime
async def test_the_next_issuer_goes_on_from_the_daemons_lists() -> None:
    network = Network()
    first = await network.add("vm-1").obtain(ENGINE, network.need())
    waiting = asyncio.create_task(network.add("vm-2").obtain(ENGINE, network.need()))
    await asyncio.sleep(4 * HOP)
    network.issuer.clear()
    await asyncio.sleep(0.25)
    assert not waiting.done()
    first.end()
    assert (await asyncio.wait_for(waiting, 0.5)).granted


@pytest.mark.looptime
async def test_a_turn_that_would_come_too_late_is_refused_at_once() -> None:
    network = Network()
    first = await network.add("vm-1").obtain(ENGINE, network.need())
    table = network.add("vm-2")
    with pytest.raises(TurnTooLate) as late:
        await table.obtain(ENGINE, network.need(patience=0.05))
    assert 0 < late.value.wait < 2 * READING
    assert table.count_waiting() == 0
    first.end()


@pytest.mark.looptime
async def test_a_client_that_leaves_frees_its_place() -> None:
    network = Network()
    first = await network.add("vm-1").obtain(ENGINE, network.need())
    leaving = asyncio.create_task(network.add("vm-2").obtain(ENGINE, network.need()))
    await asyncio.sleep(3 * HOP)
    leaving.cancel()
    await asyncio.sleep(3 * HOP)
    assert network.issuer.count_prompts() == 1
    first.end()


HEADERS = {"X-Model-Name": "base/a1", "X-Token-Counts": f"{LONG},50"}
STREAM = make_route(RequestKind.STREAM, service=MODELS, objective=1.0)


async def answer_stream(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen, b"id: 1\ndata: x\n\n"))


async def test_a_request_is_checked_again_once_its_turn_has_come() -> None:
    engine = ScriptedEndpoint("e1", answer_stream, service=MODELS)
    async with run_entry([engine], STREAM) as rig:
        network = Network()
        other = await network.add("vm-2").obtain(ENGINE, network.need())
        rig.relay.runner.pacer = PromptPacer(
            rig.fleet,
            network.add("vm-1"),
            lambda _: True,
            EventTimes(),
            rig.relay.finder.prefill_times,
        )
        served = asyncio.create_task(rig.ask("POST", headers=HEADERS))
        stopped = asyncio.create_task(rig.ask("POST", headers=HEADERS, request_id="q2"))
        await asyncio.sleep(0.2)
        assert not engine.seen
        assert rig.relay.health.is_healthy(ENGINE, network.clock() + 2.0)
        other.end()
        first = next(
            iter(await asyncio.wait([served, stopped], return_when="FIRST_COMPLETED"))
        )
        assert {task.result().status for task in first} == {200}
        # The engine stops holding the adapter while the second request waits.
        rig.fleet.record_missing_weights(ENGINE, KEY, network.clock())
        statuses = sorted([(await served).status, (await stopped).status])
        assert statuses[0] == 200
        assert len(engine.seen) == statuses.count(200)


@pytest.mark.looptime
async def test_operators_see_the_lines_of_a_leader() -> None:
    network = Network()
    first = await network.add("vm-1").obtain(ENGINE, network.need())
    waiting = asyncio.create_task(network.add("vm-2").obtain(ENGINE, network.need()))
    await asyncio.sleep(4 * HOP)
    (line,) = network.issuer.list_lines()
    assert (line.waiting, line.reading, line.tokens) == (1, 1, 2 * LONG)
    assert 0 < line.longest_wait < 5 * HOP
    waiting.cancel()
    first.end()
