"""A planned stop takes requests that it can't finish, passes them on and cuts them."""

import asyncio
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

PATH = "/redeem/points"
TIMEOUT_MS = 3000
OBJECTIVE_MS = 1500
# How long the server works on a request, seconds: always within the objective.
WORK = (0.7, 1.2)
CHANNELS_PER_DAEMON = 120
# A till rests this long between two requests, up to four fifths of IdleTimeoutMs (15 s).
REST = (4.0, 11.5)
GRACE = 8.0
# Requests sent up to this long after the SIGTERM are left out: some are excused.
EXCUSED = 3.0
ROUNDS = 2

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "redeem",
            "Host": "shop.example",
            "PathPrefix": "/redeem/",
            "Kind": "unsafe",
            "TimeoutMs": TIMEOUT_MS,
            "ObjectiveMs": OBJECTIVE_MS,
            "Priority": 2,
            "Service": "ledger",
            "Attempts": 1,
        }
    ],
    "Services": [
        {"Name": "ledger", "HealthPath": "/health", "ConnectionCap": 230},
    ],
    "Limits": {
        "HeaderBytes": 16384,
        "BodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Ledger(Server):
    """A plain service that posts redemptions; it drops none that it has begun."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs = {}

    async def serve(self, http):
        """Run a request."""
        if http.headers.get("X-Expect-Instance", self.id) != self.id:
            return self.misdirect(http)
        await http.read()
        request_id = http.headers.get("X-Request-Id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.deployment.record.add("run", id=request_id, server=self.id)
        await asyncio.sleep(random.uniform(*WORK))
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.id}.0"}
        self.deployment.record.add("run-ends", id=request_id, server=self.id)
        return web.Response(headers=headers, text=f"posted {request_id}")


class Till:
    """A requester with a kept channel to one daemon after another."""

    def __init__(self, deployment, daemon, number):
        self.deployment = deployment
        self.record = deployment.record
        self.home = daemon
        self.daemon = daemon
        self.name = f"{daemon.name}-t{number:02d}"
        self.channel = None
        self.lost = []
        self.sent = 0
        self.served = 0

    async def run(self):
        """Send a request now and then, until cancelled."""
        await asyncio.sleep(random.uniform(0, REST[1]))
        while True:
            await self._ask_once()
            await asyncio.sleep(random.uniform(*REST))

    async def _ask_once(self):
        kept = self.channel is not None and not self.channel.is_closed
        if not kept:
            self.channel = await self._open()
            if self.channel is None:
                return
        channel, daemon = self.channel, self.daemon
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": str(TIMEOUT_MS),
        }
        clock = asyncio.get_running_loop().time
        sent_at = clock()
        self.record.add("sent", id=request_id, daemon=daemon.name, kept=kept)
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                channel.send("POST", PATH, headers, b"20 points")
                status, answered = await channel.read_head()
                async for _ in channel.read_pieces(answered):
                    pass
        except ChannelClosed as closed:
            after = round(clock() - sent_at, 3)
            self.record.add("cut", id=request_id, after=after, reason=closed)
            self.lost.append(
                (request_id, daemon.name, self.record.now() - after, after)
            )
            self.channel = None
            return
        except TimeoutError:
            self.record.add("late", id=request_id)
            channel.close()
            self.channel = None
            return
        self.served += status == 200
        self.record.add("answered", id=request_id, status=status)
        if answered.get("connection", "").lower() == "close":
            channel.close()
            self.channel = None

    async def _open(self):
        """Return a channel to a ready daemon, as the platform gives one."""
        for daemon in (self.home, *self.deployment.daemons):
            if not await daemon.is_ready():
                continue
            try:
                channel = await ClientChannel.open(daemon.host, daemon.port)
            except (OSError, TimeoutError):
                continue
            self.daemon = daemon
            return channel
        return None


async def judge(record, trouble):
    """Let tills send; with trouble, stop and start the daemons in turn."""
    deployment = Deployment(record)
    ledgers = [
        Ledger(deployment, f"i-ledger{n}", "ledger", z, f"127.0.2.{n + 1}", "v1")
        for n, z in enumerate(("zone-a", "zone-b", "zone-c"))
    ]
    tills = []
    stops = []
    try:
        await deployment.start(CONFIGURATION, ledgers)
        await asyncio.sleep(4.0)
        tills = [
            Till(deployment, daemon, number)
            for daemon in deployment.daemons
            for number in range(CHANNELS_PER_DAEMON)
        ]
        running = [asyncio.create_task(each.run()) for each in tills]
        await asyncio.sleep(12.0)
        for _ in range(ROUNDS):
            for daemon in deployment.daemons:
                if trouble:
                    await _restart(deployment, daemon, stops)
                await asyncio.sleep(5.0)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    finally:
        await deployment.close()
    return _find_broken(record, tills, ledgers, stops)


async def _restart(deployment, daemon, stops):
    """Stop a daemon as planned, and start it again."""
    stops.append((daemon.name, deployment.record.now()))
    daemon.signal(signal.SIGTERM)
    if await daemon.wait_ended(GRACE) is None:
        daemon.signal(signal.SIGKILL)
        await daemon.wait_ended()
    daemon.start()
    await daemon.wait_ready()


def _find_broken(record, tills, ledgers, stops):
    """Return the requests that were passed on, and whose channel then just closed.

    They were sent after the SIGTERM of their daemon, until 1 s after GraceS, and cut
    before their time budget and the route's timeout.
    """
    ran = {request_id for ledger in ledgers for request_id in ledger.runs}
    sent = sum(each.sent for each in tills)
    served = sum(each.served for each in tills)
    lost = [each for till in tills for each in till.lost]
    record.add("requests", sent=sent, served=served, cut=len(lost))
    if served < 0.9 * sent:
        raise RuntimeError(f"only {served} of {sent} requests served")
    broken = []
    for request_id, daemon, sent_at, after in lost:
        since = [sent_at - at for name, at in stops if name == daemon]
        stopped = [each for each in since if EXCUSED < each <= GRACE + 1.0]
        if stopped and request_id in ran and after < TIMEOUT_MS / 1000:
            broken.append(
                f"{request_id} sent {stopped[0]:.2f} s after the SIGTERM of {daemon}, "
                f"cut {after} s later, though it ran"
            )
    return broken


if __name__ == "__main__":
    run_script(judge)
