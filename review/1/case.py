"""One odd entry of another writer hides all later changes of servers from all daemons."""

import asyncio
import itertools
import random
import sys
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
SERVES_ON = DRAIN + 2.0
# Requests are sent this long after the last server was replaced.
AFTERWARDS = 6.0
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
        self.drained_at = None

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

    async def leave(self):
        """Say that this server leaves, serve on for a while, and end."""
        self.state = "draining"
        await self.write_entry()
        self.drained_at = self.deployment.record.now()
        self.deployment.record.add("draining-acked", server=self.id)
        await asyncio.sleep(SERVES_ON)
        await self.drop_entry()
        await self.stop()

    def list_late(self):
        """Return the arrivals later than the bound after the ack."""
        return [
            f"{request_id} reached {self.id} {at - self.drained_at:.2f} s after the ack"
            for at, request_id in self.arrivals
            if self.drained_at is not None and at - self.drained_at > DRAIN
        ]


async def _ask(deployment, number, ends):
    record = deployment.record
    daemon = random.choice(deployment.daemons)
    request_id = f"r{number:05d}"
    headers = {"X-Request-Id": request_id, "X-Deadline-Milliseconds": str(TIMEOUT_MS)}
    sent_at = record.now()
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
        status = 0
    else:
        record.add("answered", id=request_id, status=status)
    ends.append((sent_at, status))


async def _send(deployment, ends):
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(_ask(deployment, number, ends))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


def _make_ledgers(deployment, generation):
    return [
        Ledger(
            deployment,
            f"i-ledger{generation}-{number}",
            "ledger",
            zone,
            f"127.0.{generation}.{number + 1}",
            "v1",
        )
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c"))
    ]


async def judge(record, trouble):
    """Replace the servers as planned; with trouble, an odd entry was written before."""
    deployment = Deployment(record)
    ledgers = _make_ledgers(deployment, 2)
    ends = []
    try:
        await deployment.start(CONFIGURATION, ledgers)
        await asyncio.sleep(5.0)
        sending = asyncio.create_task(_send(deployment, ends))
        await asyncio.sleep(5.0)
        if trouble:
            await _write_odd_entry(deployment)
        # Longer than ContactMs.
        await asyncio.sleep(5.0)
        for former, successor in zip(
            ledgers, _make_ledgers(deployment, 3), strict=True
        ):
            deployment.servers.append(successor)
            await successor.start()
            await asyncio.sleep(1.0)
            await former.leave()
        replaced_at = record.now()
        record.add("all-replaced")
        await asyncio.sleep(AFTERWARDS)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    finally:
        await deployment.close()
    _record_ends(record, "before", [s for at, s in ends if at < replaced_at])
    _record_ends(record, "afterwards", [s for at, s in ends if at >= replaced_at])
    if sum(status == 200 for _, status in ends) < 200:
        raise RuntimeError("less than 200 requests served")
    return [late for ledger in ledgers for late in ledger.list_late()]


async def _write_odd_entry(deployment):
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
    deployment.record.add("odd-entry", depth=DEPTH)


def _record_ends(record, when, statuses):
    served = sum(status == 200 for status in statuses)
    failed = sum(status == 502 or status == 0 for status in statuses)
    record.add(when, sent=len(statuses), served=served, failed=failed)
    print(f"{when}: {len(statuses)} sent, {served} served, {failed} failed")


if __name__ == "__main__":
    run_script(judge)
