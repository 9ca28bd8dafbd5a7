"""Streams go on at another software version after all daemons were killed at once."""

import asyncio
import itertools
import json
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from aiohttp import web
from harness import (
    ChannelClosed,
    ClientChannel,
    Deployment,
    Server,
    run_script,
)

EVENTS = 14
EVENT_TIME = 0.2
PATH = "/faq/ask"
BUDGET = 6.0
STREAMS_PER_S = 16.0
# More than two streams break the rule.
ALLOWED = 2
# An engine whose entry is gone serves on for DrainMs (2 s) "and a little longer".
SERVES_ON = 4.0
# A killed process is started again after a short delay.
RESTART_DELAY = 0.5

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "faq",
            "Host": "shop.example",
            "PathPrefix": "/faq/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "ObjectiveMs": 1000,
            "Priority": 0,
            "Service": "llm",
            "Attempts": 2,
            "Sticky": True,
            "Resumable": True,
            "GapTargetMs": 400,
        }
    ],
    "Services": [
        {
            "Name": "llm",
            "HealthPath": "/health",
            "ConnectionCap": 230,
            "Engine": {
                "Slots": 32,
                "KvCacheTokens": 219357,
                "WeightsMb": 66600.0,
                "AdapterSlots": 16,
                "LoadsPerS": 9.3,
                "Models": [
                    {
                        "Name": "base",
                        "WeightsMb": 65100.0,
                        "LoadS": 0.6,
                        "Adapters": 3000,
                        "AdapterMb": 12.0,
                    }
                ],
            },
        }
    ],
    "Limits": {
        "HeaderBytes": 16384,
        "BodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Engine(Server):
    """A model engine: each event names the software that wrote it."""

    async def serve(self, http):
        """Run a stream, from the event after ``Last-Event-Id`` on."""
        if http.headers.get("X-Expect-Instance", self.id) != self.id:
            return self.misdirect(http)
        await http.read()
        request_id = http.headers.get("X-Request-Id", "")
        first = int(http.headers.get("Last-Event-Id", 0)) + 1
        self.deployment.record.add(
            "run", id=request_id, server=self.id, software=self.software, first=first
        )
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request_id,
                "X-Server-Stamp": f"{self.id}.0",
                "X-Weight-Versions": "1",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(http)
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_TIME)
            data = json.dumps({"software": self.software, "number": number})
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        return response


class Requester:
    """Sends one stream, and takes it up again while its time budget lasts."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.record = deployment.record
        self.name = f"s{number:04d}"
        self.number = number
        self.events = []
        self.first_id = ""

    async def run(self):
        """Send the request, and up to three retries at other daemons."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + BUDGET
        for attempt in range(4):
            if clock() >= deadline - 0.1:
                return
            request_id = f"{self.name}-{attempt}"
            try:
                async with asyncio.timeout_at(deadline):
                    channel = await self._connect(attempt, deadline)
                    if channel is None:
                        return
                    wait = await self._ask(channel, request_id, deadline - clock())
            except TimeoutError:
                return
            except ChannelClosed as closed:
                self.record.add("broken-off", id=request_id, reason=closed)
                wait = 0.0
            if wait is None:
                return
            # Retry-After is honoured up to a third of the time left.
            await asyncio.sleep(min(wait, (deadline - clock()) / 3))

    async def _connect(self, attempt, deadline):
        """Return a channel to the first daemon that takes one, as the platform does."""
        clock = asyncio.get_running_loop().time
        until = min(deadline, clock() + 2.0)
        for turn in itertools.count():
            daemon = self.deployment.daemons[(self.number + attempt + turn) % 3]
            try:
                return await ClientChannel.open(daemon.host, daemon.port)
            except (OSError, TimeoutError):
                if clock() > until:
                    return None
                await asyncio.sleep(0.05)

    async def _ask(self, channel, request_id, left):
        """Send one attempt; return after which time to retry, None if it is served."""
        headers = {
            "X-Request-Id": request_id,
            "X-Model-Name": "base",
            "X-Token-Counts": "640,70",
            "X-Prompt-Prefix": f"5c1e07a2:155,{self.number:08x}:485",
            "X-Deadline-Milliseconds": str(int(left * 1000)),
        }
        last = self.events[-1]["number"] if self.events else None
        if last is not None:
            headers["Last-Event-Id"] = str(last)
            headers["Resumes"] = self.first_id
        self.record.add("sent", id=request_id, last=last, resumes=self.first_id)
        try:
            channel.send("POST", PATH, headers, b"question")
            status, answered = await channel.read_head()
            if status != 200:
                wait = answered.get("retry-after")
                self.record.add("answered", id=request_id, status=status, wait=wait)
                return float(wait) if wait else 0.0
            partial = b""
            async for piece in channel.read_pieces(answered):
                *whole, partial = (partial + piece).split(b"\n\n")
                for event in whole:
                    self._take(event, request_id)
            events = len(self.events)
            self.record.add("answered", id=request_id, status=200, events=events)
            return None
        finally:
            channel.close()

    def _take(self, event, request_id):
        data = json.loads(event.partition(b"data: ")[2])
        if not self.events:
            self.first_id = request_id
        self.events.append(data)


async def judge(record, trouble):
    """Replace the engines' software; with trouble, all daemons are killed meanwhile."""
    deployment = Deployment(record)
    old = [
        Engine(deployment, f"i-old{n}", "llm", z, f"127.0.2.{n + 1}", "v1", "base")
        for n, z in enumerate(("zone-a", "zone-b"))
    ]
    new = [
        Engine(deployment, f"i-new{n}", "llm", z, f"127.0.3.{n + 1}", "v2", "base")
        for n, z in enumerate(("zone-a", "zone-b"))
    ]
    requesters = []
    try:
        await deployment.start(CONFIGURATION, old)
        await asyncio.sleep(4.0)
        sending = asyncio.create_task(_send(deployment, requesters))
        await asyncio.sleep(6.0)
        # The release: the new engines start first, then the old ones leave.
        for engine in new:
            await engine.start()
            deployment.servers.append(engine)
        await asyncio.sleep(3.0)
        for engine in old:
            await engine.drop_entry()
        ends = [asyncio.create_task(_end_later(engine)) for engine in old]
        await asyncio.sleep(1.0)
        if trouble:
            for daemon in deployment.daemons:
                daemon.signal(signal.SIGKILL)
            for daemon in deployment.daemons:
                await daemon.wait_ended()
            await asyncio.sleep(RESTART_DELAY)
            for daemon in deployment.daemons:
                daemon.start()
        await asyncio.sleep(12.0)
        sending.cancel()
        await asyncio.gather(*ends)
    finally:
        await deployment.close()
    return _find_broken(record, requesters)


async def _send(deployment, requesters):
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            requester = Requester(deployment, number)
            requesters.append(requester)
            group.create_task(requester.run())
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))


async def _end_later(engine):
    await asyncio.sleep(SERVES_ON)
    await engine.stop()
    engine.deployment.record.add("engine-ended", server=engine.id)


def _find_broken(record, requesters):
    complete = sum(len(each.events) == EVENTS for each in requesters)
    record.add("streams", sent=len(requesters), complete=complete)
    mixed = []
    for requester in requesters:
        software = [event["software"] for event in requester.events]
        if len(set(software)) > 1:
            mixed.append(f"{requester.name}: {','.join(software)}")
    if complete < len(requesters) / 2:
        raise RuntimeError(f"only {complete} of {len(requesters)} streams complete")
    for each in mixed:
        record.add("mixed", stream=each)
    return mixed if len(mixed) > ALLOWED else []


if __name__ == "__main__":
    run_script(judge)
