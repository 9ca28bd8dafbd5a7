"""The fault matrix: injects every fault at every step into the daemons' code.

``python -m tests.matrix`` runs all cells deterministically and prints each as held or
broken. The tests run a sample of the cells.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing import Pool

import click

from kestreltally.entities.configuration import Adapter
from kestreltally.entities.ids import EndpointId
from kestreltally.timeline.events import Event
from tests.fleet import MODEL, TOKENS, Fleet, Node, run_virtual

WARM_UP = 3.0
BUSY_DURATION = 9.0
FAULT_DURATION = 4.5
SETTLE = 14.0
PROBE_WAIT = 12.0
ADAPTERS = 9
DAEMONS = 4
STOPPED_DAEMON = 2
KILLED_DAEMON = 1


@dataclass(frozen=True)
class Step:
    """An injection point: the first matching event of a scenario after the warm-up."""

    name: str
    scenario: str
    part: str
    what: str
    reason: str = ""

    def matches(self, event: Event) -> bool:
        return (
            event.part == self.part
            and event.what.startswith(self.what)
            and self.reason in event.reason
        )


STEPS = (
    Step("request received", "busy", "request", "received"),
    Step("request claims its id", "busy", "request", "claims its id"),
    Step("request asks for a permit", "busy", "entry", "asks for a permit"),
    Step("permit granted", "busy", "permits", "grants a permit"),
    Step("request sent", "busy", "request", "sent"),
    Step("first token", "busy", "request", "first token"),
    Step("request done", "busy", "request", "done"),
    Step("load planned", "busy", "loads", "plans a load"),
    Step("slot closed", "busy", "loads", "closes a slot"),
    Step("unload ordered", "busy", "loads", "orders an unload"),
    Step("load ordered", "busy", "loads", "orders a load"),
    Step("load done", "busy", "loads", "load done"),
    Step("leader suspected", "take-over", "membership", "vm-1 is suspect"),
    Step("leader held dead", "take-over", "membership", "vm-1 is dead"),
    Step("claim", "take-over", "leadership", "claims leadership", "no live"),
    Step("leadership won", "take-over", "leadership", "leads", "claimed"),
    Step("fence raised", "take-over", "leadership", "acts as leader"),
    Step("stop announced", "planned stop", "membership", "leaving"),
    Step("endpoint offered", "planned stop", "leadership", "hands over"),
    Step("offer claimed", "planned stop", "leadership", "claims leadership", "offered"),
    Step("handover taken", "planned stop", "leadership", "leads", "handed"),
    Step("new leader acts", "planned stop", "leadership", "acts as leader"),
    Step("change in force first", "change", "configuration", "revision"),
    Step("endpoint leaves", "leaving", "reports", "says it is leaving"),
)

Fault = Callable[[Fleet, Node, Event], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


def find_leader_node(fleet: Fleet, node: Node, event: Event) -> Node:
    """Return the node that leads the event's endpoint, or ``node`` if none leads it."""
    for each in fleet.nodes:
        if EndpointId(event.endpoint) in each.runtime.world.leaders.led_endpoints:
            return each
    return node


@register_fault("kill")
async def kill(fleet: Fleet, node: Node, event: Event) -> None:
    await node.kill()


@register_fault("kill leader")
async def kill_leader(fleet: Fleet, node: Node, event: Event) -> None:
    await find_leader_node(fleet, node, event).kill()


@register_fault("freeze")
async def freeze(fleet: Fleet, node: Node, event: Event) -> None:
    node.gate.freeze()


@register_fault("freeze leader")
async def freeze_leader(fleet: Fleet, node: Node, event: Event) -> None:
    find_leader_node(fleet, node, event).gate.freeze()


@register_fault("cut from peers")
async def cut_from_peers(fleet: Fleet, node: Node, event: Event) -> None:
    for other in fleet.nodes:
        fleet.faults.cut |= {(node.vm, other.vm), (other.vm, node.vm)}


@register_fault("cut one way")
async def cut_one_way(fleet: Fleet, node: Node, event: Event) -> None:
    for other in fleet.nodes:
        fleet.faults.cut.add((node.vm, other.vm))


@register_fault("data centres cut")
async def cut_data_centres(fleet: Fleet, node: Node, event: Event) -> None:
    for one in fleet.nodes:
        for other in fleet.nodes:
            if fleet.data_centre(one.number) != fleet.data_centre(other.number):
                fleet.faults.cut.add((one.vm, other.vm))


@register_fault("cut from endpoints")
async def cut_endpoints(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.endpoints_cut.add(node.vm)


@register_fault("cut from store")
async def cut_store(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.store_cut.add(node.vm)


@register_fault("store down")
async def store_down(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.store_down = True


@register_fault("answers lost")
async def lose_answers(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.lose_answers = 1.0


@register_fault("slow")
async def slow(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.slow = 0.15


@register_fault("duplicate and reorder")
async def duplicate(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.duplicate, fleet.faults.reorder = 0.5, 0.5


@register_fault("drop half")
async def drop(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.drop = 0.5


@register_fault("engines restart")
async def restart_engines(fleet: Fleet, node: Node, event: Event) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.restart()


@register_fault("engines hang")
async def hang_engines(fleet: Fleet, node: Node, event: Event) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.hung = True


@register_fault("streams cut")
async def cut_streams(fleet: Fleet, node: Node, event: Event) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.cut_streams = True


@register_fault("end marks missing")
async def cut_without_end_mark(fleet: Fleet, node: Node, event: Event) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.cut_streams = endpoint.no_end_mark = True


@register_fault("loads fail")
async def fail_loads(fleet: Fleet, node: Node, event: Event) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.fail_loads = True


@register_fault("wrong version")
async def answer_wrong_version(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.endpoints["engine-1"].wrong_version = True


@register_fault("list empty")
async def hide_vms(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.vms_hidden = {each.vm for each in fleet.nodes}


@register_fault("list wrongly leaving")
async def list_leaving(fleet: Fleet, node: Node, event: Event) -> None:
    fleet.faults.vms_leaving = {node.vm}


def combine(first: str, second: str) -> Fault:
    async def fault(fleet: Fleet, node: Node, event: Event) -> None:
        await FAULTS[first](fleet, node, event)
        await FAULTS[second](fleet, node, event)

    return fault


for pair in (
    ("kill", "store down"),
    ("freeze", "engines restart"),
    ("freeze leader", "store down"),
    ("cut from peers", "answers lost"),
    ("kill leader", "duplicate and reorder"),
    ("store down", "engines restart"),
):
    FAULTS[" + ".join(pair)] = combine(*pair)


@dataclass(frozen=True)
class Cell:
    """One fault injected at one step."""

    step: str
    fault: str
    seed: int = 1
    token_time: float = 0.05


@dataclass(frozen=True)
class CellResult:
    """The result of a cell."""

    cell: Cell
    reached: bool
    problems: tuple[str, ...]
    done: int
    sent: int

    @property
    def held(self) -> bool:
        return self.reached and not self.problems


class CellRun:
    """One run of a cell."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.step = next(step for step in STEPS if step.name == cell.step)
        self.fleet = Fleet(seed=cell.seed, daemons=DAEMONS, adapters=ADAPTERS)
        self.injected = asyncio.Event()
        self.armed = False
        self.cut_off: list[str] = []

    def watch(self, node: Node, event: Event) -> None:
        if self.armed and not self.injected.is_set() and self.step.matches(event):
            self.injected.set()
            self.fleet.spawn(FAULTS[self.cell.fault](self.fleet, node, event))

    async def run(self) -> CellResult:
        fleet = self.fleet
        fleet.watchers.append(self.watch)
        await fleet.start()
        for endpoint in fleet.endpoints.values():
            endpoint.token_time = self.cell.token_time
        await fleet.settle(WARM_UP)
        fleet.spawn(self.send_all())
        await fleet.settle(1.0)
        self.armed = True
        fleet.spawn(self.run_scenario())
        await fleet.settle(BUSY_DURATION)
        await fleet.heal()
        await fleet.settle(SETTLE)
        probes = await self.probe()
        problems = [*fleet.list_problems(), *probes, *self.check_end()]
        await fleet.close()
        return CellResult(
            cell=self.cell,
            reached=self.injected.is_set(),
            problems=tuple(problems),
            done=sum(sent.done for sent in fleet.sent),
            sent=len(fleet.sent),
        )

    async def send_all(self) -> None:
        """Send a mix of requests to all running daemons."""
        fleet = self.fleet
        for number in range(int(BUSY_DURATION / 0.1)):
            target = number % DAEMONS
            node = fleet.nodes[target]
            if node.is_up and not node.stopping:
                # The popular adapters change half-way through.
                first = 0 if number < 45 else 4
                adapter = f"a{first + fleet.random.randrange(5)}"
                service = number % 5 == 0
                once = service or number % 7 == 0
                sent = fleet.send(target, adapter, repeatable=not once, service=service)
                if once and number % 3 == 0:
                    fleet.spawn(self.repeat(sent.request, adapter, target, service))
            await asyncio.sleep(0.1)

    async def repeat(
        self, request: str, adapter: str, target: int, service: bool
    ) -> None:
        """Send a not-repeatable request again, to another daemon."""
        await asyncio.sleep(self.fleet.random.choice((0.0, 0.05, 1.0)))
        other = (target + 1) % DAEMONS
        if self.fleet.nodes[other].is_up:
            self.fleet.send(
                other, adapter, repeatable=False, request=request, service=service
            )

    async def run_scenario(self) -> None:
        """Run the step's scenario; remove the fault a while after its injection."""
        fleet, scenario = self.fleet, self.step.scenario
        if scenario == "take-over":
            await fleet.nodes[KILLED_DAEMON].kill()
        elif scenario == "planned stop":
            fleet.spawn(self.stop_one())
        elif scenario == "change":
            for version in (2, 3, 4):
                adapter = Adapter("a0", MODEL, versions=(1, version), current=version)
                await fleet.put_config(adapter, "adapter", "a0")
                await asyncio.sleep(0.1)
        elif scenario == "leaving":
            now = asyncio.get_running_loop().time()
            fleet.endpoints["engine-2"].start_leaving(now)
        await self.injected.wait()
        await asyncio.sleep(FAULT_DURATION)
        await fleet.heal()

    async def stop_one(self) -> None:
        """Stop a daemon as planned; a request that it interrupts is a problem."""
        node = self.fleet.nodes[STOPPED_DAEMON]
        clean = await node.stop_planned()
        if not clean:
            self.cut_off.append(f"the planned stop of {node.vm} cut requests off")
        await asyncio.sleep(0.5)
        if self.fleet.nodes[STOPPED_DAEMON] is node:
            self.fleet.start_node(STOPPED_DAEMON)

    async def probe(self) -> list[str]:
        """Send a final request to each daemon; each must be answered."""
        answer_time = TOKENS * self.cell.token_time
        probes = [
            self.fleet.send(number, f"a{number}", deadline=10.0 + answer_time)
            for number in range(DAEMONS)
        ]
        await self.fleet.settle(PROBE_WAIT + answer_time)
        return [
            f"after the fault {probe.request} at {probe.vm} ended as {probe.refusal}"
            for probe in probes
            if not probe.done
        ]

    def check_end(self) -> list[str]:
        """Check that requests ended and daemons have the newest configuration."""
        newest = max(
            stored.revision
            for key, stored in self.fleet.store.objects.items()
            if key.startswith("config/")
        )
        lagging = [
            f"{node.vm} is not at revision {newest}"
            for node in self.fleet.nodes
            if node.is_up and node.runtime.world.config.revision != newest
        ]
        unended = [f"{s.request} never ended" for s in self.fleet.sent if not s.ended]
        return lagging + unended + self.cut_off


def run_cell(cell: Cell) -> CellResult:
    """Run one cell under virtual time."""

    async def run() -> CellResult:
        return await CellRun(cell).run()

    return run_virtual(run())


def list_cells(seed: int = 1) -> list[Cell]:
    """Return all cells."""
    return [Cell(step.name, fault, seed) for step in STEPS for fault in FAULTS]


def format_result(result: CellResult) -> str:
    state = "held" if result.held else "BROKEN"
    why = "; ".join(result.problems[:3]) if result.reached else "step not reached"
    cell = result.cell
    counts = f"{result.done}/{result.sent}"
    text = f"{state:<6} {cell.step:<26} {cell.fault:<34} {counts:>8} done"
    return text if result.held else f"{text}  {why}"


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--step", default="", help="Only steps that contain this.")
@click.option("--fault", default="", help="Only faults that contain this.")
@click.option("--processes", default=6, show_default=True)
def main(seed: int, step: str, fault: str, processes: int) -> None:
    """Run the fault matrix."""
    cells = [c for c in list_cells(seed) if step in c.step and fault in c.fault]
    held = 0
    with Pool(processes) as pool:
        for result in pool.imap(partial(run_cell), cells):
            held += result.held
            click.echo(format_result(result))
    click.echo(f"matrix: {len(cells)} cells, {held} held")
    sys.exit(0 if held == len(cells) else 1)


if __name__ == "__main__":
    main()
