"""Fakes of the daemon's ports under virtual time, with switchable faults.

The daemon's code runs on them unchanged. Violations that an endpoint sees are recorded
in the fakes, outside the program.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from kestreltally.entities.endpoints import EndpointReport
from kestreltally.entities.ids import AdapterVersion, DataCentre, EndpointId, VmId
from kestreltally.entities.members import ListedVm
from kestreltally.orders import OrderOutcome
from kestreltally.peers.messages import Envelope
from kestreltally.ports import (
    AnswerHead,
    AnswerLost,
    AttemptLost,
    Conflict,
    EndpointRefused,
    EngineAttempt,
    Listing,
    NotStarted,
    ObjectApiDown,
    PlatformError,
    ServiceCall,
    StoredObject,
)
from standins.engine import make_event
from standins.text import make_token

NET_DELAY = 0.001
STORE_DELAY = 0.003
CONNECT_TIMEOUT = 1.0
NEVER = asyncio.Event


@dataclass
class Faults:
    """Faults that are active in the fakes at this moment."""

    cut: set[tuple[str, str]] = field(default_factory=set)
    store_cut: set[str] = field(default_factory=set)
    endpoints_cut: set[str] = field(default_factory=set)
    slow: float = 0.0
    reorder: float = 0.0
    duplicate: float = 0.0
    drop: float = 0.0
    store_down: bool = False
    lose_answers: float = 0.0
    vms_hidden: set[str] = field(default_factory=set)
    vms_leaving: set[str] = field(default_factory=set)


class Gate:
    """Blocks all I/O of one daemon while it is frozen, and forever once killed."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self.frozen = False
        self.killed = False

    def freeze(self) -> None:
        self.frozen = True
        self._open.clear()

    def thaw(self) -> None:
        if not self.killed:
            self.frozen = False
            self._open.set()

    def kill(self) -> None:
        self.killed = True
        self.freeze()

    async def pass_through(self) -> None:
        await self._open.wait()


class FakeStore:
    """State of the object API."""

    def __init__(self, faults: Faults, random: Random) -> None:
        self.faults = faults
        self.random = random
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()

    def get(self, key: str) -> StoredObject:
        missing = StoredObject(key=key, value=None, version=0, revision=self.revision)
        return self.objects.get(key, missing)

    async def put(self, key: str, value: Any) -> StoredObject:
        self.revision += 1
        stored = StoredObject(
            key=key, value=value, version=self.revision, revision=self.revision
        )
        self.objects[key] = stored
        async with self.changed:
            self.changed.notify_all()
        return stored

    def select(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        return tuple(
            each
            for key, each in self.objects.items()
            if key.startswith(prefix) and each.revision > after
        )


class StoreView:
    """One daemon's client of the object API; implements ``ObjectApi``."""

    def __init__(self, store: FakeStore, vm: str, gate: Gate) -> None:
        self._store = store
        self._vm = vm
        self._gate = gate

    async def _reach(self, kind: str) -> None:
        await self._gate.pass_through()
        await asyncio.sleep(STORE_DELAY)
        self._store.calls[kind] += 1
        faults = self._store.faults
        if faults.store_down or self._vm in faults.store_cut:
            raise ObjectApiDown("down")

    async def read(self, key: str) -> StoredObject:
        await self._reach("reads")
        found = self._store.get(key)
        await self._gate.pass_through()
        return found

    async def list(self, prefix: str) -> Listing:
        await self._reach("reads")
        found = self._store.select(prefix, 0)
        listing = Listing(revision=self._store.revision, objects=found)
        await self._gate.pass_through()
        return listing

    async def write(
        self, key: str, value: Any, expected_version: int | None
    ) -> Result[StoredObject, Conflict]:
        await self._reach("writes")
        current = self._store.get(key)
        if expected_version is not None and current.version != expected_version:
            return Err(Conflict(current=current))
        stored = await self._store.put(key, value)
        await self._gate.pass_through()
        if self._store.random.random() < self._store.faults.lose_answers:
            raise AnswerLost("lost")
        return Ok(stored)

    async def delete(self, key: str, expected_version: int) -> bool:
        await self._reach("writes")
        if self._store.get(key).version != expected_version:
            return False
        self._store.revision += 1
        self._store.objects.pop(key, None)
        return True

    async def watch(self, prefix: str, after: int, wait: float) -> Listing:
        await self._reach("reads")
        store = self._store
        try:
            async with store.changed:
                await asyncio.wait_for(
                    store.changed.wait_for(lambda: bool(store.select(prefix, after))),
                    wait,
                )
        except TimeoutError:
            pass
        found = Listing(revision=store.revision, objects=store.select(prefix, after))
        await self._reach("watch ends")
        return found


class FakeVms:
    """The VM list; implements ``VmList``."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.vms: dict[str, ListedVm] = {}

    def add(self, vm: str, port: int, data_centre: str) -> None:
        self.vms[vm] = ListedVm(
            vm=VmId(vm),
            host="fake",
            port=port,
            data_centre=DataCentre(data_centre),
            leaving=False,
            is_daemon=True,
        )

    async def fetch(self) -> tuple[ListedVm, ...]:
        await asyncio.sleep(NET_DELAY)
        if "all" in self.faults.vms_hidden:
            raise PlatformError("no list")
        return tuple(
            ListedVm(
                vm=each.vm,
                host=each.host,
                port=each.port,
                data_centre=each.data_centre,
                leaving=each.vm in self.faults.vms_leaving,
                is_daemon=True,
            )
            for each in self.vms.values()
            if each.vm not in self.faults.vms_hidden
        )


class FakeNet:
    """The network between daemons."""

    def __init__(self, faults: Faults, random: Random) -> None:
        self.faults = faults
        self.random = random
        self.nodes: dict[int, Any] = {}

    def send(self, sender: str, port: int, envelope: Envelope) -> bool:
        node = self.nodes.get(port)
        faults = self.faults
        if node is None or (sender, node.vm) in faults.cut:
            return False
        if self.random.random() < faults.drop:
            return False
        copies = 2 if self.random.random() < faults.duplicate else 1
        for _ in range(copies):
            delay = NET_DELAY + faults.slow + self.random.random() * faults.reorder
            asyncio.get_running_loop().call_later(delay, node.deliver, envelope)
        return True


class PeerView:
    """One daemon's transport to its peers; implements ``PeerTransport``."""

    def __init__(self, net: FakeNet, vm: str, gate: Gate) -> None:
        self._net = net
        self._vm = vm
        self._gate = gate

    async def send(self, host: str, port: int, envelope: Envelope) -> bool:
        await self._gate.pass_through()
        return self._net.send(self._vm, port, envelope)


@dataclass
class Run:
    """One request that an endpoint has started to run."""

    request: str
    adapter: str
    started_at: float
    killed: bool = False


@dataclass
class FakeEndpoint:
    """An engine or a plain service, with the runs and violations that it recorded."""

    name: str
    slots: int = 2
    checks_fence: bool = True
    load_time: float = 0.2
    token_time: float = 0.05
    report_lag: float = 0.3
    instance: int = 0
    fence: int = 0
    loaded: set[str] = field(default_factory=set)
    loading: set[str] = field(default_factory=set)
    running: list[Run] = field(default_factory=list)
    history: list[tuple[float, Any]] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    leaving: bool = False
    leaving_since: float = -1.0
    hung: bool = False
    dead: bool = False
    fail_loads: bool = False
    cut_streams: bool = False
    no_end_mark: bool = False
    wrong_version: bool = False
    fenced_off: int = 0

    def restart(self) -> None:
        """Restart as a new instance with nothing loaded."""
        self.instance += 1
        self.fence = 0
        self.loaded.clear()
        for run in self.running:
            run.killed = True
        self.running.clear()
        self.history.clear()

    def start_leaving(self, now: float) -> None:
        self.leaving = True
        self.leaving_since = now

    def start_run(self, request: str, adapter: str, now: float) -> Run:
        if self.leaving and now > self.leaving_since + 3.0:
            self.violations.append(f"{self.name} got {request} while leaving")
        run = Run(request, adapter, now)
        self.runs.append(run)
        self.running.append(run)
        return run

    def end_run(self, run: Run) -> None:
        if run in self.running:
            self.running.remove(run)

    def snapshot(self, now: float) -> tuple[float, Any]:
        running = Counter(run.adapter for run in self.running)
        state = (self.instance, self.fence, set(self.loaded), running, self.leaving)
        self.history.append((now, state))
        del self.history[:-100]
        old = [each for each in self.history if each[0] <= now - self.report_lag]
        return old[-1] if old else self.history[0]


def read_version(name: str) -> AdapterVersion:
    adapter, _, version = name.partition("@")
    return AdapterVersion(adapter=adapter, version=int(version))


class FakeAnswer:
    """An answer in flight; implements ``Answer``."""

    def __init__(
        self,
        view: "EndpointView",
        endpoint: FakeEndpoint,
        run: Run,
        head: AnswerHead,
        parts: list[bytes],
    ) -> None:
        self._view = view
        self._endpoint = endpoint
        self._run = run
        self.head = head
        self._parts = parts

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            for number, part in enumerate(self._parts):
                await asyncio.sleep(self._endpoint.token_time)
                await self._view.wait_while_hung(self._endpoint)
                if self._run.killed or (self._endpoint.cut_streams and number > 1):
                    if self._endpoint.no_end_mark:
                        return
                    raise AttemptLost("cut")
                await self._view.gate.pass_through()
                yield part
        finally:
            self._endpoint.end_run(self._run)

    async def close(self) -> None:
        self._endpoint.end_run(self._run)


class EndpointView:
    """One daemon's client of all endpoints; implements the ports of both clients."""

    def __init__(
        self, endpoints: dict[str, FakeEndpoint], faults: Faults, vm: str, gate: Gate
    ) -> None:
        self._endpoints = endpoints
        self._faults = faults
        self._vm = vm
        self.gate = gate

    async def wait_while_hung(self, endpoint: FakeEndpoint) -> None:
        while endpoint.hung:
            await asyncio.sleep(0.05)

    async def _reach(self, url: str) -> FakeEndpoint:
        """Connect to an endpoint; raises ``NotStarted`` when it is unreachable."""
        await self.gate.pass_through()
        await asyncio.sleep(NET_DELAY)
        endpoint = self._endpoints[url.removeprefix("http://")]
        if endpoint.dead or self._vm in self._faults.endpoints_cut:
            await asyncio.sleep(0.01)
            raise NotStarted("no connection")
        await self.wait_while_hung(endpoint)
        return endpoint

    def _apply_fence(self, endpoint: FakeEndpoint, token: int) -> bool:
        if endpoint.checks_fence and token < endpoint.fence:
            endpoint.fenced_off += 1
            return False
        endpoint.fence = max(endpoint.fence, token)
        return True

    async def _answer(self, outcome: OrderOutcome) -> OrderOutcome:
        await asyncio.sleep(NET_DELAY)
        await self.gate.pass_through()
        return outcome

    async def raise_fence(self, url: str, token: int) -> OrderOutcome:
        try:
            endpoint = await self._reach(url)
        except NotStarted:
            return OrderOutcome.FAILED
        fresh = self._apply_fence(endpoint, token)
        outcome = OrderOutcome.DONE if fresh else OrderOutcome.FENCED_OFF
        return await self._answer(outcome)

    async def load(self, url: str, adapter: AdapterVersion, token: int) -> OrderOutcome:
        try:
            endpoint = await self._reach(url)
        except NotStarted:
            return OrderOutcome.FAILED
        if not self._apply_fence(endpoint, token):
            return await self._answer(OrderOutcome.FENCED_OFF)
        name, instance = str(adapter), endpoint.instance
        if len(endpoint.loaded | endpoint.loading | {name}) > endpoint.slots:
            return await self._answer(OrderOutcome.REFUSED)
        endpoint.loading.add(name)
        try:
            await asyncio.sleep(endpoint.load_time)
        finally:
            endpoint.loading.discard(name)
        if endpoint.fail_loads or endpoint.instance != instance:
            return await self._answer(OrderOutcome.REFUSED)
        endpoint.loaded.add(name)
        return await self._answer(OrderOutcome.DONE)

    async def unload(
        self, url: str, adapter: AdapterVersion, token: int
    ) -> OrderOutcome:
        try:
            endpoint = await self._reach(url)
        except NotStarted:
            return OrderOutcome.FAILED
        if not self._apply_fence(endpoint, token):
            return await self._answer(OrderOutcome.FENCED_OFF)
        in_use = [run for run in endpoint.running if run.adapter == str(adapter)]
        for run in in_use:
            run.killed = True
            endpoint.violations.append(f"{adapter} unloaded in use at {endpoint.name}")
        endpoint.loaded.discard(str(adapter))
        return await self._answer(OrderOutcome.DONE)

    async def report(self, endpoint: str, url: str) -> EndpointReport | None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            fake = await asyncio.wait_for(self._reach(url), CONNECT_TIMEOUT)
        except (NotStarted, TimeoutError):
            return None
        at, state = fake.snapshot(loop.time())
        age = loop.time() - at
        await self.gate.pass_through()
        instance, fence, loaded, running, leaving = state
        return EndpointReport(
            endpoint=EndpointId(endpoint),
            instance=str(instance),
            composed_at=asked_at - age,
            fence=fence,
            loaded=frozenset(read_version(name) for name in loaded),
            running={read_version(name): n for name, n in running.items() if name},
            leaving=leaving,
        )

    def _refuse_if_leaving(self, endpoint: FakeEndpoint, refuses: bool) -> None:
        if endpoint.leaving and refuses:
            raise EndpointRefused("leaving")

    async def start(self, url: str, attempt: EngineAttempt) -> FakeAnswer:
        endpoint = await self._reach(url)
        adapter = str(attempt.adapter)
        if adapter not in endpoint.loaded:
            raise EndpointRefused("not_loaded")
        loop = asyncio.get_running_loop()
        request = attempt.attempt.partition("/")[0]
        run = endpoint.start_run(request, adapter, loop.time())
        served_version = (
            f"{attempt.adapter.adapter}@99" if endpoint.wrong_version else adapter
        )
        head = AnswerHead(attempt=attempt.attempt, adapter=served_version)
        prompt = str(attempt.payload["prompt"])
        done = len(attempt.resume_token_ids)
        parts = [
            make_event(
                {},
                attempt.attempt,
                served_version,
                make_token(served_version, prompt, at),
            )
            for at in range(done, int(attempt.payload.get("max_tokens", 6)))
        ]
        if not endpoint.no_end_mark:
            parts.append(b"data: [DONE]\n\n")
        return FakeAnswer(self, endpoint, run, head, parts)

    async def call(self, url: str, call: ServiceCall) -> FakeAnswer:
        endpoint = await self._reach(url)
        self._refuse_if_leaving(endpoint, refuses=True)
        loop = asyncio.get_running_loop()
        run = endpoint.start_run(call.attempt.partition("/")[0], "", loop.time())
        try:
            await asyncio.sleep(endpoint.token_time)
            await self.wait_while_hung(endpoint)
            if run.killed or endpoint.cut_streams:
                raise AttemptLost("cut")
        except BaseException:
            endpoint.end_run(run)
            raise
        head = AnswerHead(attempt=call.attempt, adapter="", status=200, headers={})
        return FakeAnswer(self, endpoint, run, head, [b"ok"])


def count_runs(endpoints: dict[str, FakeEndpoint]) -> dict[str, int]:
    """Return the number of runs of each request over all endpoints."""
    counts: dict[str, int] = defaultdict(int)
    for endpoint in endpoints.values():
        for run in endpoint.runs:
            counts[run.request] += 1
    return counts
