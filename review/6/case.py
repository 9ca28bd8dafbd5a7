"""A part that crashes engines, and sound requests with the same first part."""

import asyncio
import itertools
import signal
from pathlib import Path

from rig.engine import Engine
from rig.streams import ROUTE, make_answer
from rig.system import BOUNDS, HOST, MODEL, Unable, make_configuration, make_route, run_case
from rig.wire import read_head

CONTACT_S = BOUNDS["ContactMs"] / 1000
ENGINES, EVENTS = 3, 10
DEADLINE_MS = 8_000
# An engine begins to write after so long; one that has crashed is back so long after it.
PREFILL_S, DOWN_S = 0.2, 3.0
# The parts of prompts: the one that crashes engines, the one that both share, and the
# one of all other clients.
DEADLY, FIRST, OTHER = "dd01", "f901", "aa01"
# Requests a second: sound ones with the first part, deadly ones, and other clients'.
SOUND_RATE, DEADLY_RATE, OTHER_RATE = 24, 2, 6
CALM_S, BATCH_S = 5, 24
# The deadly requests begin so long after the sound ones of the second batch.
LAG_S = 0.05


class Engines:
    """The engines, which the deadly part crashes."""

    def __init__(self, system):
        self.system = system
        self.crashes = []
        self.down = set()
        self.tasks = set()
        self.stream = make_answer(EVENTS)

    async def answer(self, engine, request, writer):
        """Stream an answer; crash as one begins on the deadly part."""
        await asyncio.sleep(PREFILL_S)
        if f"{DEADLY}:" not in request.get("X-Prompt-Prefix"):
            return await self.stream(engine, request, writer)
        if engine not in self.down:
            self.down.add(engine)
            task = asyncio.create_task(self._crash(engine, request.get("X-Request-Id")))
            self.tasks.add(task)
        await asyncio.sleep(DOWN_S)
        return False

    async def _crash(self, engine, rid):
        self.crashes.append(self.system.now())
        self.system.note(engine.id, "crashes under", rid)
        await engine.stop()
        await asyncio.sleep(DOWN_S)
        engine.restart(engine.software)
        await engine.start()
        self.down.discard(engine)
        self.system.note(engine.id, "is back")


class Clients:
    """Clients that try each request once; ``asked`` lists (name, time, began)."""

    def __init__(self, system):
        self.system = system
        self.asked = []
        self.tasks = set()

    async def send(self, name, rate, seconds, parts):
        """Send requests evenly, to each daemon in turn."""
        until = self.system.now() + seconds
        for number, daemon in enumerate(itertools.cycle(self.system.daemons)):
            if self.system.now() >= until:
                return
            self.tasks.add(asyncio.create_task(self._ask(daemon, name, number, parts)))
            await asyncio.sleep(1 / rate)

    async def _ask(self, daemon, name, number, parts):
        rid, sent = f"{name}.{number}", self.system.now()
        self.system.note("sent", rid, "to", daemon.name)
        prompt = ",".join([*(f"{each}:155" for each in parts), f"{rid.encode().hex()}:300"])
        end, began = "", False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(*daemon.front)
                writer.write((
                    f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {rid}\r\n"
                    f"X-Model-Name: {MODEL}/a1\r\nX-Token-Counts: 455,70\r\n"
                    f"X-Prompt-Prefix: {prompt}\r\nConnection: close\r\n"
                    f"X-Deadline-Milliseconds: {DEADLINE_MS}\r\n"
                    f"Content-Length: {len(rid)}\r\n\r\n{rid}").encode())
                head = await read_head(reader)
                end = head.start if head else "closed"
                if " 200 " in end:
                    await reader.readuntil(b"\n\n")
                    began = True
                rest = await reader.read(200)
                if not began:
                    end += " " + rest.decode(errors="replace")[:80]
                while await reader.read(65536):
                    pass
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            end += f" {error!r}"
        self.system.note("answered", rid, "began:" if began else "not begun:", end)
        self.asked.append((name, sent, began))

    def count(self, name, since=0.0):
        """Return how many were sent since a time, and how many of them began."""
        found = [began for each, sent, began in self.asked if each == name and sent >= since]
        return len(found), sum(found)


async def restart_all(system):
    """Stop and start the daemons in turn, as planned."""
    for daemon in system.daemons:
        daemon.signal(signal.SIGTERM)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.1)
        daemon.start()
        while not await daemon.is_ready():
            await asyncio.sleep(0.1)
        system.note(daemon.name, "restarted")


async def main(system, trouble):
    """Return the exit status of the case."""
    engines, clients = Engines(system), Clients(system)
    system.engines = [Engine(system, n, "llm", engines.answer) for n in range(ENGINES)]
    for engine in system.engines:
        engine.adapters["a1"] = 1
    route = make_route("/chat/", "llm", "streaming", **ROUTE)
    await system.start(make_configuration(1, [route]))
    await asyncio.sleep(CONTACT_S + 1)
    other = asyncio.create_task(clients.send("other", OTHER_RATE, 100, [OTHER]))
    await clients.send("calm", SOUND_RATE, CALM_S, [FIRST])
    await asyncio.sleep(4)
    await restart_all(system)
    await asyncio.sleep(CONTACT_S + 1)
    system.note("the second batch begins")
    began = system.now()
    sound = asyncio.create_task(clients.send("sound", SOUND_RATE, BATCH_S, [FIRST]))
    await asyncio.sleep(LAG_S)
    if trouble:
        await clients.send("deadly", DEADLY_RATE, BATCH_S - LAG_S, [FIRST, DEADLY])
    await sound
    await asyncio.sleep(4)
    other.cancel()
    crashes = engines.crashes
    if trouble and not crashes:
        raise Unable("no engine has crashed")
    last = crashes[min(len(crashes), 5) - 1] if crashes else began
    for engine in system.engines:
        system.note("run at", engine.id, [f"{at:.2f} {rid}" for at, rid in engine.runs])
    calm, calm_began = clients.count("calm")
    after, after_began = clients.count("sound", last + 2 * CONTACT_S)
    system.note(f"{len(crashes)} crashes, {[round(at - began, 2) for at in crashes]} s after "
                f"the second batch began; in calm {calm_began} of {calm} sound requests "
                f"begin, from 2 x ContactMs after the crashes on {after_began} of {after}")
    if calm < 20 or after < 20:
        raise Unable("too few requests")
    return int(after_began / after < calm_began / calm / 2)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent, daemons=6)
