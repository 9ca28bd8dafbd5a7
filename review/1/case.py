"""One odd entry of another writer hides all later changes of servers from all daemons."""

import asyncio
import itertools
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from aiohttp import web
from harness import (
    BOUNDS,
    HEARTBEAT,
    ChannelClosed,
    ClientChannel,
    Deployment,
    Server,
    run_script,
)
from store import make_nested

PATH = "/redeem/points"
TIMEOUT_MS = 1500
WORK = (0.02, 0.12)
REQUESTS_PER_S = 30.0
DRAIN = BOUNDS["DrainMs"] / 1000
# A draining server serves on for DrainMs and a little longer, at times many seconds.
SERVES_ON = DRAIN + 4.0
# The odd entry's field "Slots" is a list of lists, this many deep: 3 kB.
DEPTH = 1500

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "redeem",
            "Host": "shop.example",
            "PathPrefix": "/redeem/",
            "Kind": "unsafe",
            "TimeoutMs": TIMEOUT_MS,
            "ObjectiveMs": 200,
            "Priority": 2,
            "Service": "ledger",
            "Attempts": 1,
        }
    ],
    "Services": [
        {"Name": "ledger", "HealthPath": "/health", "ConnectionCap": 96},
    ],
    "Limits": {
        "HeaderBytes": 16384,
        "BodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Ledger(Server):
    """A plain service; while it leaves, its answers carry ``Connection: close``."""

    def __init__(self, *args):
        super().__init__(*args)
        self.arrivals = []

    async def health(self, _):
        """Answer 503 while leaving."""
        status = 200 if self.state == "ready" else 503
        return web.Response(status=status, headers={"X-Instance-Id": self.id})

    async def serve(self, http):
        """Run a request."""
        if http.headers.get("X-Expect-Instance", self.id) != self.id:
            return self.misdirect(http)
        record = self.deployment.record
        request_id = http.headers.get("X-Request-Id", "")
        self.arrivals.append((record.now(), request_id))
        await http.read()
        record.add("run", id=request_id, server=self.id, state=self.state)
        await asyncio.sleep(random.uniform(*WORK))
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.id}.0"}
        response = web.Response(headers=headers, text=f"posted {request_id}")
        if self.state != "ready":
            response.force_close()
        return response

    async def drain(self):
        """Say that this server leaves; return when the store has taken that."""
        self.state = "draining"
        await self.write_entry()
        self.deployment.record.add("draining-acked", server=self.id)
        return self.deployment.record.now()


async def _ask(deployment, number, outcomes):
    record = deployment.record
    daemon = random.choice(deployment.daemons)
    request_id = f"r{number:05d}"
    headers = {"X-Request-Id": request_id, "X-Deadline-Milliseconds": str(TIMEOUT_MS)}
    record.add("sent", id=request_id, daemon=daemon.name)
    try:
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            channel = await ClientChannel.open(daemon.host, daemon.port)
            try:
                channel.send("POST", PATH, headers, b"20 points")
                status, answered = await channel.read_head()
                async for _ in channel.read_pieces(answered):
                    pass
            finally:
                channel.close()
    except (ChannelClosed, TimeoutError, OSError) as error:
        record.add("failed", id=request_id, reason=repr(error))
        outcomes["failed"] += 1
        return
    record.add("answered", id=request_id, status=status)
    outcomes[status] += 1


async def _send(deployment, outcomes):
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(_ask(deployment, number, outcomes))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def judge(record, trouble):
    """Take a server away as planned; with trouble, an odd entry was written before."""
    deployment = Deployment(record)
    ledgers = [
        Ledger(deployment, f"i-ledger{n}", "ledger", z, f"127.0.2.{n + 1}", "v1")
        for n, z in enumerate(("zone-a", "zone-b", "zone-c"))
    ]
    outcomes = Counter()
    try:
        await deployment.start(CONFIGURATION, ledgers)
        await asyncio.sleep(5.0)
        sending = asyncio.create_task(_send(deployment, outcomes))
        await asyncio.sleep(5.0)
        if trouble:
            entry = {
                "Service": "ledger",
                "Address": "127.0.2.9:9",
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": make_nested(DEPTH),
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": 1,
            }
            await deployment.store.put("servers", "i-other", entry)
            record.add("odd-entry", depth=DEPTH)
        # Longer than ContactMs.
        await asyncio.sleep(5.0)
        leaver = ledgers[0]
        acked_at = await leaver.drain()
        await asyncio.sleep(SERVES_ON)
        await leaver.drop_entry()
        await leaver.stop()
        await asyncio.sleep(HEARTBEAT)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    finally:
        await deployment.close()
    record.add("outcomes", **{f"s{k}": v for k, v in outcomes.items()})
    if outcomes[200] < 200:
        raise RuntimeError(f"only {outcomes[200]} requests served")
    return [
        f"{request_id} reached {leaver.id} {at - acked_at:.2f} s after the ack"
        for at, request_id in leaver.arrivals
        if at - acked_at > DRAIN
    ]


if __name__ == "__main__":
    run_script(judge)
