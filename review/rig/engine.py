"""A stand-in for an engine: a plain service, or one that holds a model."""

import asyncio
import contextlib
import json
import time
import uuid

from rig.system import MODEL
from rig.wire import read_request

BEAT = 1.2


class Engine:
    """One engine: its entry in the store, its orders and its runs.

    ``answer`` is a coroutine function of a case, called with (engine, request, writer)
    for each request that runs; it returns whether the channel stays open.
    """

    def __init__(self, system, number, service, answer, zone=None, software="v1"):
        from rig.system import ZONES

        self.system = system
        self.service = service
        self.zone = zone or ZONES[number % 3]
        self.host = f"{system.prefix}.2.{number + 1}"
        self.port = system.ports["engine"]
        self.software = software
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.answer = answer
        self.adapters = {}
        self.sequence = 0
        self.state = "ready"
        self.is_llm = service.startswith("llm")
        self.runs = []
        self.arrivals = []
        self.orders = []
        self.beats = 0
        self.tasks = set()
        self.writers = set()
        self.newest = {}
        self.before_order = None
        self.has_model, self.loading_model = True, False
        self.first_beat = 0.0
        # Times in seconds that a base model takes from disk, and an adapter.
        self.model_time, self.adapter_time = 0.49, 0.25

    async def start(self):
        """Listen, and write the entry from now on."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**22)
        self.beating = asyncio.create_task(self._beat())

    async def stop(self):
        """Stop as a process that is killed."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def make_entry(self):
        """Return the entry in the store."""
        return {
            "Service": self.service, "Address": f"{self.host}:{self.port}",
            "Zone": self.zone, "Version": self.software, "Slots": 32 if self.is_llm else 6,
            "State": self.state, "ColdLeftMs": 0, "Sequence": self.beats,
            "born": self.born, "Stage": "both", "Models": self.list_models(),
        }

    def list_models(self):
        """Return what the engine holds."""
        if not self.is_llm or not self.has_model:
            return []
        held = [f"{n}@{v}" for n, v in self.adapters.items() if v]
        return [{"Name": MODEL, "Version": 1, "Adapters": held}]

    def restart(self, software):
        """Become another boot under the same id, which holds and knows nothing."""
        self.software = software
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence = self.beats = 0
        self.adapters = {}
        self.has_model = not self.is_llm

    async def _beat(self):
        await asyncio.sleep(self.first_beat)
        while True:
            self.beats += 1
            if self.system.store.is_down:
                # The next beat tries again.
                await asyncio.sleep(BEAT)
                continue
            await self.system.store.put("servers", self.id, self.make_entry())
            await asyncio.sleep(BEAT)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self._handle(request, reader, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer):
        method, path, _ = request.start.split(" ")
        rid = request.get("X-Request-Id")
        expected = request.get("X-Expect-Instance", self.id)
        if path == "/report":
            send(writer, 200, rid, self.make_report())
            return True
        if path == "/health":
            send(writer, 200, rid, {}, [("X-Instance-Id", self.id)])
            return True
        if path == "/order":
            if self.before_order is not None:
                await self.before_order(request)
            if expected != self.id:
                self._refuse(writer, rid, 421)
                return True
            send(writer, self._order(json.loads(request.body)), rid, {})
            return True
        self.arrivals.append((self.system.now(), rid))
        if expected != self.id:
            self._refuse(writer, rid, 421)
            return True
        if self.is_llm:
            adapter = request.get("X-Model-Name").partition("/")[2]
            held = self.adapters.get(adapter) if adapter else self.has_model
            version = request.get("X-Expect-Version")
            if not held or (version and int(version) != held):
                self._refuse(writer, rid, 421)
                return True
        self.runs.append((self.system.now(), rid))
        watch = asyncio.create_task(self._run(request, writer))
        gone = asyncio.create_task(_wait_for_close(reader))
        await asyncio.wait({watch, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not watch.done():
            watch.cancel()
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        return watch.result()

    async def _run(self, request, writer):
        try:
            return await self.answer(self, request, writer)
        except OSError:
            return False

    def _refuse(self, writer, rid, status):
        send(writer, status, rid, {}, [("X-Not-Run", "1"), ("X-Instance-Id", self.id)])

    def make_report(self):
        """Return the report."""
        return {
            "Stage": "both", "Models": self.list_models(), "BusySlots": self.loading_model,
            "Sequence": self.sequence, "WaitingCount": 0, "RunningCount": 0,
            "KvCacheUsed": 0, "KvCacheTotal": 219357, "Handles": 0, "born": self.born,
            "Incoming": [f"{MODEL}/{n}@1" for n, v in self.adapters.items() if not v],
        }

    def _order(self, order):
        self.orders.append((self.system.now(), order))
        if order.get("ExpectedRevision", self.sequence) != self.sequence:
            return 409
        name = order.get("Adapter")
        if not name:
            return self._order_model(order)
        if not self.has_model:
            return 400
        if order["Operation"] == "unload":
            if not self.adapters.get(name):
                return 421
            del self.adapters[name]
            self.sequence += 1
            return 200
        if name in self.adapters:
            return 200 if self.adapters[name] else 202
        self.sequence += 1
        self.adapters[name] = 0
        asyncio.get_running_loop().call_later(self.adapter_time, self._loaded, name)
        return 202

    def _order_model(self, order):
        if order["Operation"] != "load":
            return 400
        if self.has_model:
            return 200
        if self.loading_model:
            return 202
        self.loading_model = True
        self.sequence += 1
        asyncio.get_running_loop().call_later(self.model_time, self._loaded_model)
        return 202

    def _loaded_model(self):
        self.has_model, self.loading_model = True, False

    def _loaded(self, name):
        if self.adapters.get(name) == 0:
            self.adapters[name] = self.newest.get(name, 1)


async def _wait_for_close(reader):
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def send(writer, status, rid, content, headers=()):
    """Write a JSON answer."""
    body = json.dumps(content).encode()
    lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json",
             f"X-Request-Id: {rid}", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def make_head(engine, request, status=200, headers=()):
    """Return the head of an answer that carries the engine's stamp."""
    lines = [f"HTTP/1.1 {status} OK", f"X-Request-Id: {request.get('X-Request-Id')}",
             f"X-Server-Stamp: {engine.id}.{len(engine.runs)}"]
    lines += [f"{n}: {v}" for n, v in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
