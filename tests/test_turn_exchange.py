"""Turns between daemons on true sockets: asked of the engine's leader, and answered.

Guards against a list that overtakes a newer one and brings back prompts that have been
read, and against turns that a daemon issues though it leads no more.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import EndpointId
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.structs import Datagram, PromptRow, TurnsAsked
from kestreltally.knowledge.turns import TurnExchange
from kestreltally.knowledge.updates import KnownLeader
from kestreltally.pacing.issuer import TurnIssuer
from kestreltally.pacing.line import EnginePace
from kestreltally.pacing.turns import PromptNeed, TurnTable
from kestreltally.placing.lease import Lease
from tests.entryrig import MODELS, ScriptedEndpoint
from tests.ports import reserve_port

ENGINE = EndpointId("e1")
PACE = EnginePace(token_time=1 / 40_000, event_time=0.03, max_pause=0.6, streams=3)
LEADER, FOLLOWER = "vm-1", "vm-2"


@dataclass
class FakeLease:
    leads: bool
    data_centre: str = "north"


@dataclass
class FakeLeaders:
    leads: bool
    address: SocketAddress

    def find_known_leader(self, _: str) -> KnownLeader:
        return KnownLeader(LEADER, self.address, 1)


@dataclass
class Daemon:
    """One daemon's part of the exchange."""

    name: str
    address: SocketAddress
    lease: FakeLease
    leader: SocketAddress
    port: DatagramPort = field(init=False)
    table: TurnTable = field(init=False)

    def __post_init__(self) -> None:
        clock = asyncio.get_running_loop().time
        fleet = Fleet()
        engine = ScriptedEndpoint("e1", cast(Any, None), service=MODELS, port=9)
        fleet.put_endpoint(engine.make_endpoint())
        self.port = DatagramPort(self.name)
        self.table = TurnTable(clock)
        self.issuer = TurnIssuer(
            lambda *_: PACE, lambda *answer: self.exchange.send_answer(*answer), clock
        )
        self.exchange = TurnExchange(
            self.name,
            fleet,
            cast(Leaders, FakeLeaders(self.lease.leads, self.leader)),
            lambda _: cast(Lease, self.lease),
            self.port,
            self.table,
            self.issuer,
            clock,
        )

    async def start(self) -> None:
        await self.port.start(self.address.host, self.address.port)


async def start_two() -> tuple[Daemon, Daemon]:
    addresses = [SocketAddress("127.0.0.1", reserve_port()) for _ in range(2)]
    leader = Daemon(LEADER, addresses[0], FakeLease(leads=True), addresses[0])
    follower = Daemon(FOLLOWER, addresses[1], FakeLease(leads=False), addresses[0])
    await leader.start()
    await follower.start()
    return leader, follower


def make_need() -> PromptNeed:
    now = asyncio.get_running_loop().time()
    return PromptNeed(12_000, 1, "", now + 5.0, now + 9.0)


async def test_a_follower_and_the_leader_itself_take_turns() -> None:
    leader, follower = await start_two()
    first = await leader.table.obtain(ENGINE, make_need())
    waiting = asyncio.create_task(follower.table.obtain(ENGINE, make_need()))
    await asyncio.sleep(0.15)
    assert first.granted
    assert not waiting.done()
    first.end()
    second = await asyncio.wait_for(waiting, 2.0)
    assert second.granted
    second.end()
    leader.port.close()
    follower.port.close()


async def test_a_list_that_was_overtaken_is_dropped() -> None:
    leader, follower = await start_two()
    row = PromptRow(
        number=1, tokens=9, urgency=1, waited=0.0, begin_in=1.0, give_up_in=1.0
    )
    newer = TurnsAsked(endpoint=ENGINE, prompts=[])
    older = TurnsAsked(endpoint=ENGINE, prompts=[row])
    handle = leader.port.handlers["turns_asked"]
    for serial, asked in ((8, newer), (7, older)):
        message = Datagram(vm=FOLLOWER, boot=5, serial=serial, turns_asked=asked)
        handle(message, follower.address)
    assert leader.issuer.count_prompts() == 0
    restarted = Datagram(vm=FOLLOWER, boot=6, serial=1, turns_asked=older)
    handle(restarted, follower.address)
    assert leader.issuer.count_prompts() == 1
    leader.port.close()
    follower.port.close()


async def test_a_daemon_that_lost_its_lease_answers_nobody() -> None:
    leader, follower = await start_two()
    leader.lease.leads = False
    turn = await asyncio.wait_for(follower.table.obtain(ENGINE, make_need()), 2.0)
    assert not turn.granted
    assert leader.issuer.count_prompts() == 0
    turn.end()
    leader.port.close()
    follower.port.close()
