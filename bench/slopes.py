"""Measure the costs of one daemon at several sizes, and fit their slopes.

The daemon's code runs on one core in this process, and costs are CPU time of the
process. The resulting tables are those of docs/CAPACITY.md; ``--write`` writes them
into the page.
"""

import asyncio
import gc
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import web
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.transport import TMemoryBuffer

from bench.capacity import Slope, Slopes, format_page_tables
from kestreltally.daemon import make_world
from kestreltally.endpoints.engines import fetch_report
from kestreltally.entities.configuration import (
    Adapter,
    ConfigObject,
    Effect,
    Endpoint,
    EndpointKind,
    Rule,
)
from kestreltally.entities.endpoints import LeaderRecord, LedEndpoint, Phase, Slot
from kestreltally.entities.ids import (
    AdapterVersion,
    AttemptId,
    DataCentre,
    EndpointId,
    Priority,
    RequestId,
    VmId,
)
from kestreltally.entities.members import ListedVm, Member, MemberState
from kestreltally.entities.permits import Waiter
from kestreltally.objectapi.http import open_session
from kestreltally.orders import (
    ConfigArrived,
    MessageArrived,
    PermitUsed,
    SendMessage,
    UseEnd,
    WaiterAdded,
    WaiterGranted,
)
from kestreltally.peers.codec import read_envelope, write_envelope
from kestreltally.peers.messages import Envelope, PeerMessage
from kestreltally.requests.relay import Relay
from kestreltally.settings import check_settings
from kestreltally.systems.catalog import SYSTEMS
from kestreltally.systems.configuration import list_changes_after
from kestreltally.systems.holding import return_permits
from kestreltally.systems.leadership import find_owner
from kestreltally.systems.registry import run_step
from kestreltally.world import World

MARK_BEGIN: Final = "<!-- tables from make bench-slopes: begin -->"
MARK_END: Final = "<!-- tables from make bench-slopes: end -->"
REPEATS: Final = 5
TICK: Final = 0.1
TICKS: Final = 50
MODEL: Final = "base"
ADAPTER: Final = AdapterVersion(adapter="a", version=1)
START: Final = 1000.0


def make_test_world(vm: str = "vm-0", port: int = 1) -> World:
    """Return a daemon's world with empty tables."""
    assert SYSTEMS
    side = {"host": "127.0.0.1", "port": port}
    settings = check_settings(
        {
            "vm": vm,
            "data_centre": "dc-0",
            "callers": side,
            "peers": side,
            "operators": side,
            "platform": {"object_api": "-", "vm_list": "-"},
        },
        "bench",
    )
    return make_world(settings, START, time.time)


def add_members(world: World, count: int) -> None:
    """Add daemons to the tables, all in state ALIVE."""
    for number in range(1, count):
        vm = VmId(f"vm-{number}")
        centre = DataCentre(f"dc-{number % 12}")
        world.members.known[vm] = Member(
            vm=vm,
            host="127.0.0.1",
            port=number + 1,
            data_centre=centre,
            incarnation=1,
            counter=0,
            state=MemberState.ALIVE,
            acked_at=world.now,
        )
        world.members.listed[vm] = ListedVm(
            vm=vm,
            host="127.0.0.1",
            port=number + 1,
            data_centre=centre,
            leaving=False,
            is_daemon=True,
        )


def add_config(world: World, adapters: int, endpoints: int) -> None:
    """Apply a configuration with adapters and endpoints."""
    objects = [
        ConfigObject(
            kind="adapter",
            name=f"a{number}",
            revision=number + 1,
            value=Adapter(f"a{number}", MODEL, versions=(1, 2), current=2, previous=1),
        )
        for number in range(adapters)
    ]
    objects += [
        ConfigObject(
            kind="endpoint",
            name=f"engine-{number}",
            revision=adapters + number + 1,
            value=Endpoint(
                name=f"engine-{number}",
                kind=EndpointKind.ENGINE,
                url="http://127.0.0.1:1",
                data_centre=f"dc-{number % 12}",
                model=MODEL,
                batch_limit=256,
            ),
        )
        for number in range(endpoints)
    ]
    arrived = ConfigArrived(
        after=0,
        revision=adapters + endpoints,
        complete=True,
        objects=tuple(objects),
        confirmed_at=world.now,
    )
    world.inbox.append(arrived)
    run_step(world, world.now)
    world.outbox.clear()


def lead(world: World, endpoint: str) -> None:
    """Make a world lead an endpoint that has ``ADAPTER`` loaded."""
    name = EndpointId(endpoint)
    record = LeaderRecord(name, world.identity.vm, 1, 1, "c", 1)
    world.leaders.records[name] = record
    world.leaders.led_endpoints[name] = LedEndpoint(
        endpoint=name,
        record=record,
        phase=Phase.FENCED,
        since=world.now,
        confirmed_at=world.now + 1e6,
        slots={ADAPTER: Slot(adapter=ADAPTER, loaded_at=world.now, used_at=world.now)},
    )


def measure_cpu(work: Callable[[], Any], per: int) -> float:
    """Return the median CPU time of ``work`` divided by ``per``, in microseconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        begin = time.process_time()
        work()
        times.append((time.process_time() - begin) / per * 1e6)
    return statistics.median(times)


def measure_memory(work: Callable[[], Any]) -> int:
    """Return the bytes still allocated after ``work``."""
    gc.collect()
    tracemalloc.start()
    retained = work()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line; the residual is the largest deviation over the largest value."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    if len(points) == 1:
        return Slope(name, unit, base=0.0, slope=ys[0] / xs[0], residual=0.0, points=())
    slope, base = statistics.linear_regression(xs, ys)
    deviation = max(abs(base + slope * x - y) for x, y in points)
    residual = deviation / max(abs(y) for y in ys) if any(ys) else 0.0
    return Slope(name, unit, base, slope, residual, tuple(points))


def run_ticks(world: World, count: int) -> None:
    """Run ticks without input."""
    for _ in range(count):
        run_step(world, world.now + TICK)
        for member in world.members.pending.copy():
            del world.members.pending[member]
        world.outbox.clear()


def measure_ticks(sizes: Sequence[int], build: Callable[[int], World]) -> list[Any]:
    """Return CPU microseconds per second of ticks for each size."""
    found = []
    for size in sizes:
        world = build(size)
        run_ticks(world, 5)
        cost = measure_cpu(partial(run_ticks, world, TICKS), TICKS)
        found.append((float(size), cost / TICK))
    return found


def build_members(count: int) -> World:
    """Return a world with ``count`` daemons."""
    world = make_test_world()
    add_members(world, count)
    add_config(world, 100, 36)
    return world


def build_adapters(count: int) -> World:
    """Return a world with ``count`` idle adapters."""
    world = make_test_world()
    add_members(world, 12)
    add_config(world, count, 36)
    return world


def build_endpoints(count: int) -> World:
    """Return a world with ``count`` endpoints that leads three of them."""
    world = make_test_world()
    add_members(world, 1100)
    add_config(world, 100, count)
    for number in range(3):
        lead(world, f"engine-{number}")
    return world


def encode(messages: Sequence[PeerMessage]) -> bytes:
    """Return messages as encoded on the wire."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolFactory().get_protocol(buffer)
    envelope = Envelope(VmId("vm-0"), 1, 0.0, tuple(messages))
    protocol.write_struct(write_envelope(envelope))
    return bytes(buffer.getvalue())


def transfer(orders: Sequence[Any], to: World, sender: World) -> int:
    """Transfer messages from an outbox to a world, encoded; return the bytes."""
    messages = [order.message for order in orders if isinstance(order, SendMessage)]
    if not messages:
        return 0
    envelope = Envelope(sender.identity.vm, 1, 0.0, tuple(messages))
    read = read_envelope(write_envelope(envelope))
    for message in read.messages:
        to.inbox.append(MessageArrived(sender.identity.vm, 1, message))
    return len(encode(messages))


@dataclass
class PermitRoundTrip:
    """Permit requests from an entry daemon to a leader and back."""

    entry: World
    leader: World
    bytes_sent: int = 0
    entry_cpu: float = 0.0
    leader_cpu: float = 0.0

    def step_entry(self) -> None:
        """Run one step of the entry daemon and transfer its messages."""
        begin = time.process_time()
        run_step(self.entry, self.entry.now + 0.0001, woken=True)
        return_permits(self.entry)
        orders, self.entry.outbox = self.entry.outbox, []
        self.bytes_sent += transfer(orders, self.leader, self.entry)
        self.entry_cpu += time.process_time() - begin

    def step_leader(self) -> None:
        """Run one step of the leader and transfer its messages."""
        begin = time.process_time()
        run_step(self.leader, self.leader.now + 0.0001, woken=True)
        orders, self.leader.outbox = self.leader.outbox, []
        self.bytes_sent += transfer(orders, self.entry, self.leader)
        self.leader_cpu += time.process_time() - begin

    def serve(self, number: int) -> None:
        """Acquire and return the permit of one request."""
        waiter = Waiter(
            waiter=str(number),
            request=RequestId(f"till:{number}"),
            adapter=ADAPTER,
            candidates=(EndpointId("engine-0"),),
            priority=Priority.STANDARD,
            deadline_at=self.entry.now + 1e6,
            since=self.entry.now,
        )
        self.entry.inbox.append(WaiterAdded(waiter))
        self.step_entry()
        self.step_leader()
        self.step_entry()
        (answer,) = self.entry.entry.answers
        self.entry.entry.answers.clear()
        assert isinstance(answer, WaiterGranted)
        permit = answer.permit.permit
        used = PermitUsed(permit, AttemptId(""), UseEnd.ENDED)
        self.entry.inbox.append(used)
        self.entry.now += 1.0
        self.entry.last_step = self.entry.now
        self.leader.now = self.leader.last_step = self.entry.now
        self.step_entry()
        self.step_leader()
        self.step_entry()


def measure_permits(members: int, count: int = 300) -> tuple[float, float, float]:
    """Return µs at the entry, µs at the leader and bytes per request."""
    entry, leader = make_test_world("vm-0"), make_test_world("vm-1", port=2)
    for world, other in ((entry, leader), (leader, entry)):
        add_members(world, members)
        world.members.known[other.identity.vm] = Member(
            vm=other.identity.vm,
            host="127.0.0.1",
            port=2,
            data_centre=DataCentre("dc-0"),
            incarnation=1,
            counter=0,
            state=MemberState.ALIVE,
        )
        add_config(world, 100, 36)
    lead(leader, "engine-0")
    entry.leaders.records[EndpointId("engine-0")] = leader.leaders.records[
        EndpointId("engine-0")
    ]
    round_trip = PermitRoundTrip(entry, leader)
    for number in range(count):
        round_trip.serve(number)
    return (
        round_trip.entry_cpu / count * 1e6,
        round_trip.leader_cpu / count * 1e6,
        round_trip.bytes_sent / count,
    )


def measure_change(count: int = 300) -> tuple[float, float]:
    """Return µs and bytes per change, applied and encoded for a push."""
    world = make_test_world()
    add_config(world, 1000, 36)
    sizes = []

    def change() -> None:
        for number in range(count):
            before = world.config.revision
            rule = Rule(f"r{number}", "till", f"a{number}", Effect.ALLOW)
            changed = ConfigObject("rule", rule.name, before + 1, rule, "op", 1.0, "c")
            arrived = ConfigArrived(before, before + 1, False, (changed,), world.now)
            world.inbox.append(arrived)
            run_step(world, world.now + 0.001, woken=True)
            sizes.append(len(encode([list_changes_after(world, before)])))
            world.outbox.clear()

    return measure_cpu(change, count), statistics.mean(sizes)


def measure_heartbeat() -> tuple[float, float]:
    """Return the bytes of a heartbeat and its answer, without and with rumours."""
    world = make_test_world()
    add_members(world, 50)
    sizes = []
    for rumours in (0, 8):
        world.members.rumours = {VmId(f"vm-{n}"): 9 for n in range(1, rumours + 1)}
        world.members.next_heartbeat_at = 0.0
        world.outbox.clear()
        run_step(world, world.now + TICK)
        pings = [o.message for o in world.outbox if isinstance(o, SendMessage)]
        sizes.append(float(len(encode(pings[:1]))) * 2)
    return sizes[0], sizes[1]


def measure_heartbeat_cpu(count: int = 2_000) -> float:
    """Return µs to decode a heartbeat, answer it and encode the answer."""
    world, other = make_test_world(), make_test_world("vm-1", port=2)
    for each in (world, other):
        add_members(each, 50)
    other.members.rumours = {VmId(f"vm-{n}"): 1_000_000 for n in range(2, 6)}
    run_step(other, other.now + TICK)
    pings = [o for o in other.outbox if isinstance(o, SendMessage)][:1]

    def answer_heartbeats() -> None:
        for _ in range(count):
            transfer(pings, world, other)
            run_step(world, world.now + 0.0001, woken=True)
            encode([o.message for o in world.outbox if isinstance(o, SendMessage)])
            world.outbox.clear()

    return measure_cpu(answer_heartbeats, count)


async def _fetch_reports(count: int) -> None:
    async def answer(_: web.Request) -> web.Response:
        return web.json_response({"instance": "x", "loaded": ["a@1"] * 16})

    app = web.Application()
    app.router.add_get("/report", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with open_session() as session:
        for _ in range(count):
            report = await fetch_report(session, "e", f"http://127.0.0.1:{port}")
            assert report is not None
    await runner.cleanup()


def measure_report(count: int = 500) -> float:
    """Return µs per fetched report, client and server together."""
    return measure_cpu(lambda: asyncio.run(_fetch_reports(count)), count)


def measure_relay(count: int = 20_000) -> float:
    """Return µs per relayed token of an answer."""
    event = (
        b'data: {"id":"till:1/vm-0.1/1","model":"a@1","choices":'
        b'[{"index":0,"token_ids":[7],"text":" word"}]}\n\n'
    )

    def relay() -> None:
        follower = Relay(ADAPTER)
        for _ in range(count):
            follower.feed(event)

    return measure_cpu(relay, count)


def measure_events(count: int = 20_000) -> tuple[float, float]:
    """Return µs and bytes per event of the timeline."""

    def add() -> Any:
        world = make_test_world()
        for number in range(count):
            world.events.add(
                "request",
                "sent",
                request=f"till:{number}",
                endpoint="engine-0",
                adapter=str(ADAPTER),
                detail=f"attempt {number}",
            )
        return world

    return measure_cpu(add, count), measure_memory(add) / count


def measure_idle_memory() -> float:
    """Return the resident megabytes of a process that has only imported the daemon."""
    # getrusage would give the peak of this process, which is inherited through exec.
    code = (
        "import resource, kestreltally.daemon;"
        "pages = int(open('/proc/self/statm').read().split()[1]);"
        "print(pages * resource.getpagesize())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(done.stdout) / 1e6


def measure_owners(members: int, endpoints: int) -> float:
    """Return µs to recompute all owners after a change of members."""
    world = make_test_world()
    add_members(world, members)
    add_config(world, 10, endpoints)

    def work() -> None:
        world.members.changes += 1
        find_owner(world, EndpointId("engine-0"))

    return measure_cpu(work, 1)


def measure_all() -> Slopes:
    """Run all measurements."""
    click.echo("ticks: members, adapters, endpoints", err=True)
    member_sizes, adapter_sizes = (6, 100, 400, 1100), (300, 3000, 9000, 27000)
    endpoint_sizes = (12, 300, 1100, 3300)
    ticks = {
        "member": fit(
            "tick per member", "µs/s", measure_ticks(member_sizes, build_members)
        ),
        "adapter": fit(
            "tick per idle adapter",
            "µs/s",
            measure_ticks(adapter_sizes, build_adapters),
        ),
        "endpoint": fit(
            "tick per endpoint", "µs/s", measure_ticks(endpoint_sizes, build_endpoints)
        ),
    }
    click.echo("memory", err=True)
    memory = {
        "member": fit(
            "memory per member",
            "B",
            [(n, measure_memory(partial(build_members, n))) for n in member_sizes],
        ),
        "adapter": fit(
            "memory per adapter",
            "B",
            [(n, measure_memory(partial(build_adapters, n))) for n in adapter_sizes],
        ),
        "endpoint": fit(
            "memory per endpoint",
            "B",
            [(n, measure_memory(partial(build_endpoints, n))) for n in endpoint_sizes],
        ),
    }
    click.echo("permits, changes, heartbeats, tokens, events, owners", err=True)
    round_trips = [(n, measure_permits(n)) for n in (6, 100, 400, 1100)]
    entry = fit(
        "entry per request", "µs", [(n, round_trip[0]) for n, round_trip in round_trips]
    )
    leader = fit(
        "leader per request",
        "µs",
        [(n, round_trip[1]) for n, round_trip in round_trips],
    )
    change_cpu, change_bytes = measure_change()
    empty, with_rumours = measure_heartbeat()
    event_cpu, event_bytes = measure_events()
    owners = fit(
        "owners worked out anew, per endpoint",
        "µs",
        [(n, measure_owners(1100, n)) for n in (300, 1100, 3300)],
    )
    return Slopes(
        tick_member=ticks["member"],
        tick_adapter=ticks["adapter"],
        tick_endpoint=ticks["endpoint"],
        memory_member=memory["member"],
        memory_adapter=memory["adapter"],
        memory_endpoint=memory["endpoint"],
        entry_request=entry,
        leader_request=leader,
        request_bytes=round_trips[-1][1][2],
        change_cpu=change_cpu,
        change_bytes=change_bytes,
        heartbeat_empty_bytes=empty,
        heartbeat_rumour_bytes=with_rumours,
        heartbeat_cpu=measure_heartbeat_cpu(),
        report_cpu=measure_report(),
        relay_token=measure_relay(),
        event_cpu=event_cpu,
        event_bytes=event_bytes,
        idle_memory=measure_idle_memory(),
        owners=owners,
    )


@click.command()
@click.option("--write", type=click.Path(exists=True, path_type=Path), default=None)
def main(write: Path | None) -> None:
    """Measure the slopes and print the tables of docs/CAPACITY.md."""
    random.seed(1)
    tables = format_page_tables(measure_all())
    click.echo(tables)
    if write is not None:
        page = write.read_text(encoding="utf-8")
        head, _, rest = page.partition(MARK_BEGIN)
        _, _, tail = rest.partition(MARK_END)
        text = f"{head}{MARK_BEGIN}\n\n{tables}\n{MARK_END}{tail}"
        write.write_text(text, encoding="utf-8")
        click.echo(f"written into {write}", err=True)


if __name__ == "__main__":
    main()
