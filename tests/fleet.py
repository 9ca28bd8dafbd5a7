"""A fleet of daemons on fakes, callers that send to it, and checks of the results."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

import looptime
from result import Err

from kestreltally.callers.identity import authenticate_caller, digest_key
from kestreltally.callers.parsing import parse_completion, parse_service_call
from kestreltally.daemon import make_world
from kestreltally.entities.configuration import (
    Adapter,
    Caller,
    ConfigObject,
    ConfigValue,
    Effect,
    Endpoint,
    EndpointKind,
    Rule,
    encode_config_object,
    make_config_key,
)
from kestreltally.orders import StopRequested
from kestreltally.peers.messages import Envelope
from kestreltally.ports import AnswerHead
from kestreltally.requests.claims import Claims
from kestreltally.requests.flow import RequestServer
from kestreltally.requests.outcomes import Outcome, Refusal
from kestreltally.requests.relay import parse_events
from kestreltally.runtime import Ports, Runtime
from kestreltally.settings import check_settings
from kestreltally.timeline.events import Event
from standins.text import WORDS, make_token
from tests.fakes import (
    EndpointView,
    FakeEndpoint,
    FakeNet,
    FakeStore,
    FakeVms,
    Faults,
    Gate,
    PeerView,
    StoreView,
    count_runs,
)

KEY = "key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
MODEL = "base"
TOKENS = 6
T = TypeVar("T")
Watcher = Callable[["Node", Event], None]


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run under virtual time, without waiting for the real clock."""
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        loop.close()
        asyncio.set_event_loop(None)


class GatedRuntime(Runtime):
    """A runtime that does not tick while its daemon is frozen."""

    gate: Gate

    def step(self) -> None:
        if self.gate.frozen:
            self._next_tick_at = self.clock() + 0.1
        else:
            super().step()


class Sink:
    """The answer that a caller received."""

    def __init__(self, is_buffered: bool) -> None:
        self.is_buffered = is_buffered
        self.data = b""
        self.head: AnswerHead | None = None

    async def start(self, head: AnswerHead) -> None:
        self.head = head

    async def send(self, data: bytes) -> None:
        self.data += data

    def discard(self) -> None:
        self.data = b""


@dataclass
class SentRequest:
    """A request and its result as the caller sees them."""

    request: str
    vm: str
    adapter: str
    prompt: str
    repeatable: bool
    done: bool = False
    refusal: Refusal | None = None
    text: str = ""
    served_version: str = ""
    lost: bool = False
    at: float = 0.0
    ended_at: float = 0.0

    @property
    def ended(self) -> bool:
        return self.done or self.lost or self.refusal is not None


class Node:
    """One daemon process."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.vm = f"vm-{number}"
        self.gate = Gate()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        settings = check_settings(fleet.make_settings(number), "test")
        loop = asyncio.get_running_loop()
        world = make_world(settings, loop.time(), loop.time)
        ports = Ports(
            objects=StoreView(fleet.store, self.vm, self.gate),
            vms=fleet.vms,
            engines=EndpointView(fleet.endpoints, fleet.faults, self.vm, self.gate),
            services=EndpointView(fleet.endpoints, fleet.faults, self.vm, self.gate),
            peers=PeerView(fleet.net, self.vm, self.gate),
        )
        self.runtime = GatedRuntime(world, ports)
        self.runtime.gate = self.gate
        self.server = RequestServer(self.runtime, Claims(ports.objects, loop.time))
        self._hook_events()

    def _hook_events(self) -> None:
        add = self.runtime.world.events.add

        def add_and_notify(part: str, what: str, **more: str) -> Event:
            event = add(part, what, **more)
            self.fleet.watch(self, event)
            return event

        self.runtime.world.events.add = add_and_notify  # type: ignore[method-assign]

    def start(self) -> None:
        self.runtime.start()

    def deliver(self, envelope: Envelope) -> None:
        if self.gate.frozen:
            self.fleet.spawn(self._deliver_later(envelope))
        else:
            self.runtime.receive(envelope)

    async def _deliver_later(self, envelope: Envelope) -> None:
        await self.gate.pass_through()
        self.runtime.receive(envelope)

    @property
    def is_up(self) -> bool:
        return not self.gate.killed

    async def kill(self) -> None:
        """Kill the daemon at once; it sends nothing more."""
        self.gate.kill()
        self.fleet.net.nodes.pop(self.number + 1, None)
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.runtime.stop()

    async def stop_planned(self, limit: float = 60.0) -> bool:
        """Stop as planned; return whether no request was left."""
        self.stopping = True
        world = self.runtime.world
        self.runtime.post(StopRequested())
        loop = asyncio.get_running_loop()
        until = loop.time() + limit
        while loop.time() < until and self.is_up:
            if not (
                world.leaders.led_endpoints or self.server.live or world.entry.held
            ):
                break
            await asyncio.sleep(0.05)
        if not self.is_up:
            return True  # A fault killed it first, so the planned stop does not count.
        clean = not self.server.live
        await self.kill()
        return clean


@dataclass
class Fleet:
    """All daemons, fakes and callers of one run."""

    seed: int = 1
    daemons: int = 4
    engines: int = 3
    services: int = 1
    adapters: int = 6
    unfenced: int = 1
    data_centres: int = 2
    overrides: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.faults = Faults()
        self.store = FakeStore(self.faults, self.random)
        self.net = FakeNet(self.faults, self.random)
        self.vms = FakeVms(self.faults)
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.nodes: list[Node] = []
        self.sent: list[SentRequest] = []
        self.watchers: list[Watcher] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.serial = 0
        self.problems: list[str] = []

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def watch(self, node: Node, event: Event) -> None:
        for watcher in list(self.watchers):
            watcher(node, event)

    def data_centre(self, number: int) -> str:
        return f"dc-{number % self.data_centres}"

    def make_settings(self, number: int) -> dict[str, Any]:
        side = {"host": "fake", "port": max(1, number)}
        return {
            "vm": f"vm-{number}",
            "data_centre": self.data_centre(number),
            "callers": side,
            "peers": {"host": "fake", "port": number + 1},
            "operators": side,
            "platform": {"object_api": "fake", "vm_list": "fake"},
            "invariants": "raise",
            "timeline_events": 2000,
            **self.overrides,
        }

    # Setting up

    async def put_config(self, value: ConfigValue | None, kind: str, name: str) -> int:
        """Write a configuration object as an operator; return its revision."""
        self.serial += 1
        changed = ConfigObject(
            kind=kind,
            name=name,
            revision=0,
            value=value,
            by="test",
            change=str(self.serial),
        )
        stored = await self.store.put(
            make_config_key(kind, name), encode_config_object(changed)
        )
        return stored.revision

    async def start(self) -> None:
        for number in range(self.engines):
            name = f"engine-{number}"
            checks = number >= self.unfenced
            self.endpoints[name] = FakeEndpoint(name, checks_fence=checks)
            await self.put_config(self._engine(name, number, checks), "endpoint", name)
        for number in range(self.services):
            name = f"service-{number}"
            self.endpoints[name] = FakeEndpoint(name)
            spec = Endpoint(
                name=name,
                kind=EndpointKind.SERVICE,
                url=f"http://{name}",
                data_centre=self.data_centre(number),
                prefix="/ledger",
                batch_limit=32,
            )
            await self.put_config(spec, "endpoint", name)
        for number in range(self.adapters):
            name = f"a{number}"
            adapter = Adapter(name=name, model=MODEL, versions=(1,), current=1)
            await self.put_config(adapter, "adapter", name)
        caller = Caller(
            name="till",
            key_digests=(digest_key(KEY),),
            requests_per_second=10_000.0,
            concurrent=1_000,
        )
        await self.put_config(caller, "caller", "till")
        rule = Rule(name="all", caller="till", adapter="*", effect=Effect.ALLOW)
        await self.put_config(rule, "rule", "all")
        for number in range(self.daemons):
            self.start_node(number)

    def _engine(self, name: str, number: int, checks: bool) -> Endpoint:
        return Endpoint(
            name=name,
            kind=EndpointKind.ENGINE,
            url=f"http://{name}",
            data_centre=self.data_centre(number),
            model=MODEL,
            vm=f"evm-{number}",
            slots=2,
            batch_limit=4,
            checks_fence=checks,
        )

    def start_node(self, number: int) -> Node:
        node = Node(self, number)
        self.vms.add(node.vm, number + 1, self.data_centre(number))
        self.net.nodes[number + 1] = node
        if number < len(self.nodes):
            self.nodes[number] = node
        else:
            self.nodes.append(node)
        node.start()
        return node

    async def replace(self, number: int) -> Node:
        """Kill a daemon and start an empty one in its place."""
        await self.nodes[number].kill()
        await asyncio.sleep(0.01)
        return self.start_node(number)

    # Callers

    def send(
        self,
        number: int,
        adapter: str,
        repeatable: bool = True,
        request: str = "",
        deadline: float = 15.0,
        stream: bool = True,
        service: bool = False,
    ) -> SentRequest:
        """Send a request to a daemon as a caller."""
        self.serial += 1
        node = self.nodes[number]
        sent = SentRequest(
            request=request or f"r{self.serial}",
            vm=node.vm,
            adapter=adapter,
            prompt=f"p{self.serial}",
            repeatable=repeatable,
            at=asyncio.get_running_loop().time(),
        )
        self.sent.append(sent)
        work = self._serve(node, sent, deadline, stream, service)
        task = asyncio.get_running_loop().create_task(work)
        for tasks in (node.tasks, self.tasks):
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda ended: self._record_end(sent, ended))
        return sent

    def _record_end(self, sent: SentRequest, task: "asyncio.Task[None]") -> None:
        """Record how a request task ended.

        A task that is cancelled before its first step never runs, so ``_serve`` can't.
        """
        if task.cancelled():
            sent.lost = True
        elif task.exception() is not None:
            self.problems.append(f"{sent.request}: {task.exception()!r}")

    async def _serve(
        self,
        node: Node,
        sent: SentRequest,
        deadline: float,
        stream: bool,
        service: bool,
    ) -> None:
        sink = Sink(is_buffered=not stream)
        try:
            await node.gate.pass_through()
            result = await self._read_and_serve(node, sent, sink, deadline, service)
            await node.gate.pass_through()
        except asyncio.CancelledError:
            sent.lost = True
            return
        sent.ended_at = asyncio.get_running_loop().time()
        if isinstance(result, Err):
            sent.refusal = result.err_value
            return
        sent.served_version = sink.head.adapter if sink.head else ""
        if not service:
            sent.text = "".join(
                choice.text
                for event in parse_events(sink.data)
                for choice in event.choices
            )
        sent.done = True

    async def _read_and_serve(
        self, node: Node, sent: SentRequest, sink: Sink, deadline: float, service: bool
    ) -> Any:
        world, now = node.runtime.world, node.runtime.clock()
        headers = {**HEADERS, "X-Request-Id": sent.request}
        headers["X-Deadline-Seconds"] = str(deadline)
        if not sent.repeatable:
            headers["X-Not-Repeatable"] = "true"
        caller = authenticate_caller(world, headers["Authorization"])
        if isinstance(caller, Err):
            return caller
        if service:
            read = parse_service_call(
                world,
                caller.ok_value,
                "POST",
                "/ledger/x",
                "/ledger/x",
                headers,
                b"",
                now,
            )
            if isinstance(read, Err):
                return read
            return await node.server.serve(read.ok_value, sink)
        body = {"model": sent.adapter, "prompt": sent.prompt, "max_tokens": TOKENS}
        found = parse_completion(
            world,
            caller.ok_value,
            "/v1/completions",
            headers,
            json.dumps(body).encode(),
            now,
        )
        if isinstance(found, Err):
            return found
        return await node.server.serve(found.ok_value[0], sink)

    # Checks from outside

    def list_problems(self) -> list[str]:
        """Return all violations: of endpoints, answers and the daemons' invariants."""
        problems = list(self.problems)
        for endpoint in self.endpoints.values():
            problems.extend(endpoint.violations)
        runs = count_runs(self.endpoints)
        for sent in self.sent:
            problems.extend(self._check_sent(sent, runs.get(f"till:{sent.request}", 0)))
        for node in self.nodes:
            details = node.runtime.world.invariants.first_details
            problems.extend(
                f"{node.vm}: {name}: {why}" for name, why in details.items()
            )
            if node.runtime.failed.is_set():
                problems.append(f"{node.vm}: a task failed")
        return problems

    def _check_sent(self, sent: SentRequest, runs: int) -> list[str]:
        problems = []
        if not sent.repeatable and runs > 1:
            problems.append(f"{sent.request} is not repeatable and ran {runs} times")
        refusal = sent.refusal
        repeated = sum(each.request == sent.request for each in self.sent) > 1
        if refusal and refusal.outcome is Outcome.NOT_RUN and runs and not repeated:
            problems.append(f"{sent.request} was told not_run but ran {runs} times")
        if sent.done and sent.served_version:
            base = sent.adapter.partition("@")[0]
            served_version = sent.served_version
            text = "".join(
                f" {WORDS[make_token(served_version, sent.prompt, at)]}"
                for at in range(TOKENS)
            )
            if served_version.partition("@")[0] != base:
                problems.append(f"{sent.request} was answered by {served_version}")
            if sent.text != text:
                problems.append(f"{sent.request} got {sent.text!r}, not {text!r}")
        return problems

    async def settle(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def heal(self) -> None:
        """Clear all faults, and start daemons in place of killed ones."""
        clean = Faults()
        for name, value in vars(clean).items():
            setattr(self.faults, name, value)
        for node in self.nodes:
            node.gate.thaw()
        for endpoint in self.endpoints.values():
            endpoint.hung = endpoint.dead = endpoint.fail_loads = False
            endpoint.cut_streams = endpoint.no_end_mark = endpoint.wrong_version = False
            endpoint.leaving = False
        for number, node in enumerate(self.nodes):
            if not node.is_up:
                await self.replace(number)

    async def close(self) -> None:
        for node in self.nodes:
            if node.is_up:
                await node.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
