"""Print how answers end while sound endpoints or daemons are silent for a while.

Beside the pauses, one engine hangs, crashes, is cut off or slow for good. The fleet
runs in this process; daemons that are paused are processes of their own.
"""

import asyncio
import json
import logging
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientSession, web

from bench.cluster import REPOSITORY, wait_for_answer
from bench.faultsoak.cuts import (
    RESOLVER,
    Address,
    CutMode,
    DaemonPaths,
    Hole,
    redirect_connections,
)
from bench.fleet_demo import make_settings
from kestreltally.decisions import COUNTS, Decision
from standins.platform_engine import PlatformEngine
from tests.entryrig import Reply, read_reply
from tests.ports import claim_ports
from tests.silencerig import (
    ADAPTERS,
    ENGINES,
    EVENTS,
    START_INTERVAL,
    SilenceRig,
    run_silence_rig,
)
from tests.test_fleet_daemon import DATA_CENTRES, MODEL

STREAMS: Final = 60
# Places of a lone engine, which serves this many streams at a time.
LONE_STREAMS: Final = 12
PLAIN_REQUESTS: Final = 300
PLAIN_TIME: Final = 0.1
PLAIN_INTERVAL: Final = 0.01
PLAIN_ENDPOINTS: Final = 6
PROCESSES: Final = 4
PORTS_PER_DAEMON: Final = 10
CLIENT_TIMEOUT: Final = 20.0
LATE: Final = 0.6
EARLY: Final = -0.2
# New requests after a fault for good: their interval, and how long they are sent.
PROBE_INTERVAL: Final = 0.05
PROBE_TIME: Final = 6.0
# A new request that gets its first event later than this has met the fault.
SLOW_FIRST_EVENT: Final = 0.35
# A stream that goes on later than this after a fault counts as late.
# What an engine wrote before a fault arrives within this time.
ARRIVAL_TIME: Final = 0.05
LONG_GAP: Final = 1.0
GREY_FACTOR: Final = 10
LEFT_OUT_TEXT: Final = Decision.ENDPOINT_LEFT_OUT.text
NO_ANSWER: Final = 0
STREAM_PREFIX: Final = "play-"


class TimedEngine(PlatformEngine):
    """An endpoint whose plain answers take a while."""

    async def _run(self, http: web.Request, request_id: str) -> web.StreamResponse:
        answer = await super()._run(http, request_id)
        if not self.model:
            await asyncio.sleep(PLAIN_TIME)
            await self._wait_for_pause()
        return answer


class TableRig(SilenceRig):
    """A fleet whose plain answers take a while, and whose engines can be crashed."""

    engine_type = TimedEngine
    hole: Hole | None = None

    def __init__(
        self, objective: float, *, resumable: bool = True, can_cut: bool = False
    ) -> None:
        super().__init__(objective, resumable=resumable)
        # Proxies before each endpoint, if they can be cut off.
        self.paths: dict[str, DaemonPaths] = {}
        if can_cut:
            self.hole = Hole()
            redirect_connections()

    async def add_endpoint(
        self, zone: str, model: str = "", software: str = "v1"
    ) -> PlatformEngine:
        """Add an endpoint, behind a proxy if it can be cut off."""
        engine = await super().add_endpoint(zone, model, software)
        if self.hole is not None:
            host, _, port = engine.address.rpartition(":")
            paths = self.paths[engine.id] = DaemonPaths(self.hole)
            await paths.add((host, int(port)))
        return engine

    async def add_daemons_up_to(self, count: int) -> None:
        """Add daemons; only their connections are directed to the proxies."""
        if self.hole is None:
            await super().add_daemons_up_to(count)
            return
        token = RESOLVER.set(self._resolve)
        await super().add_daemons_up_to(count)
        RESOLVER.reset(token)

    def _resolve(self, address: Address) -> Address:
        for paths in self.paths.values():
            if (found := paths.resolve(address)) != address:
                return found
        return address

    async def close(self) -> None:
        """Close everything, the proxies too."""
        for paths in self.paths.values():
            paths.close()
        await super().close()
        if self.hole is not None:
            self.hole.close()

    async def configure(self) -> None:
        """Give all routes the same objective."""
        await super().configure()
        self.version += 1
        content = self.store.find("config", "main")
        assert content is not None
        content = json.loads(json.dumps(content)) | {"Version": self.version}
        for route in content["Routes"]:
            route["ObjectiveMs"] = self._route["ObjectiveMs"]
        await self.store.put("config", "main", content)

    async def crash(self, engine: PlatformEngine) -> None:
        """Reset an engine's connections; new ones are refused."""
        port = int(engine.address.rpartition(":")[2])
        for runner in self._runners:
            if runner.addresses and runner.addresses[0][1] == port:
                assert runner.server is not None
                for connection in list(runner.server.connections):
                    if connection.transport is not None:
                        connection.transport.abort()
                await runner.cleanup()


class ProcessRig(TableRig):
    """The same fleet with daemons in processes of their own, which can be paused."""

    def __init__(self, objective: float, directory: Path) -> None:
        super().__init__(objective)
        self.directory = directory
        self.processes: list[subprocess.Popen[bytes]] = []

    async def add_daemons_up_to(self, count: int) -> None:
        """Start the processes, however many daemons are asked for."""
        first = claim_ports()
        for number in range(PROCESSES):
            vm, port = f"vm-{number}", first + PORTS_PER_DAEMON * number
            zone = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.client_ports[vm] = port
            settings = make_settings(vm, zone, port, self.store_proxy.port)
            path = self.directory / f"{vm}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            with (self.directory / f"{vm}.log").open("wb") as log:
                process = subprocess.Popen(
                    [sys.executable, str(REPOSITORY / "src" / "kestreltally_fleet.py")],
                    stdout=log,
                    stderr=log,
                    env={**os.environ, "KESTRELTALLY_CONFIG": str(path)},
                )
            self.processes.append(process)
        async with asyncio.timeout(20.0), ClientSession() as http:
            for port in self.client_ports.values():
                await wait_for_answer(http, f"http://127.0.0.1:{port + 1}/ready")

    async def stream(self, number: int) -> Reply:
        """Return the answer of a stream, sent to one daemon after the other."""
        vms = list(self.client_ports)
        adapter = f"a{number % ADAPTERS}"
        return await self.ask(
            vms[number % len(vms)], f"/m/{number}", adapter, f"s{number}"
        )

    def count_left_out(self) -> int:
        """Return how often the daemons' logs say that an endpoint is left out."""
        logs = self.directory.glob("*.log")
        return sum(each.read_text("utf-8").count(LEFT_OUT_TEXT) for each in logs)

    async def close(self) -> None:
        """End the processes that this rig has started."""
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        await super().close()


@dataclass(frozen=True)
class Answer:
    """How an answer ended, and when its events came, by the loop's clock."""

    name: str
    status: int
    whole: bool
    asked_at: float
    events_at: tuple[float, ...] = ()
    reason: str = ""


@dataclass(frozen=True)
class Row:
    """One play: what is silent, when after the last request, and for how long."""

    name: str
    objective: float = 0.3
    duration: float = 1.2
    times: tuple[float, ...] = (LATE,)
    silent_engines: int = ENGINES
    engines: int = ENGINES
    silent_daemons: int = 0
    resumable: bool = True
    plain: bool = False
    fault: str = ""

    def __str__(self) -> str:
        when = ", ".join(f"{at:+.1f}" for at in self.times)
        what = self.fault or f"{self.duration:.1f} s"
        return f"{self.name:<34} {what:<7} {1000 * self.objective:4.0f}  {when:<11}"


@dataclass
class Result:
    """What callers and endpoints saw of a play."""

    answers: list[Answer]
    runs: int
    left_out: int
    notes: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        whole = sum(each.whole for each in self.answers)
        broken = sum(each.status == 200 and not each.whole for each in self.answers)
        by = Counter(each.status for each in self.answers if each.status != 200)
        refused = by[503] + by[504]
        other = by.total() - by[502] - refused
        counts = f"{whole:5} {broken:6} {by[502]:4} {refused:7} {other:5}"
        line = f"{counts} {self.runs:5} {self.left_out:8}"
        reasons = Counter((a.status, a.reason) for a in self.answers if a.reason)
        refusals = [f"{n} x {a} {text!r}" for (a, text), n in reasons.most_common(3)]
        return "  ".join([line, *refusals, *self.notes])


async def ask(rig: SilenceRig, number: int, name: str, row: Row) -> Answer:
    """Send one request and read its answer; status 0 means that there was none."""
    clock = asyncio.get_running_loop().time
    vms = list(rig.client_ports)
    port = rig.client_ports[vms[number % len(vms)]]
    path = f"/a/{number}" if row.plain else f"/m/{number}"
    model = "" if row.plain else f"X-Model-Name: {MODEL}/a{number % ADAPTERS}\r\n"
    asked_at = clock()
    events_at: list[float] = []
    text = b""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n{model}"
            head += f"X-Request-Id: {name}\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: 1\r\n\r\nx".encode())
            while content := await reader.read(2**16):
                text += content
                events_at += [clock()] * (text.count(b"data:") - len(events_at))
    except (TimeoutError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    played = asyncio.StreamReader()
    played.feed_data(text)
    played.feed_eof()
    try:
        reply = await read_reply(played)
    except (asyncio.IncompleteReadError, ValueError):
        return Answer(name, NO_ANSWER, False, asked_at)
    whole = reply.status == 200 and reply.whole
    whole = whole and (row.plain or len(events_at) == EVENTS)
    reason = "" if reply.status == 200 else reply.body.decode()
    return Answer(name, reply.status, whole, asked_at, tuple(events_at), reason)


async def probe(rig: SilenceRig, number: int, row: Row) -> float | None:
    """Return how long a new stream's first event takes, None if none comes."""
    vms = list(rig.client_ports)
    began = asyncio.get_running_loop().time()
    port = rig.client_ports[vms[number % len(vms)]]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(
            f"POST /m/p HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: n{number}\r\n"
            f"X-Model-Name: {MODEL}/a{number % ADAPTERS}\r\n"
            "Content-Length: 1\r\n\r\nx".encode()
        )
        async with asyncio.timeout(CLIENT_TIMEOUT):
            await reader.readuntil(b"data:")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
    return asyncio.get_running_loop().time() - began


async def probe_after_fault(rig: SilenceRig, row: Row) -> str:
    """Return how long new requests met a fault that is there for good."""
    clock = asyncio.get_running_loop().time
    began, probes = clock(), []
    for number in range(int(PROBE_TIME / PROBE_INTERVAL)):
        probes.append((clock(), asyncio.create_task(probe(rig, number, row))))
        await asyncio.sleep(PROBE_INTERVAL)
    slow = []
    for sent_at, sending in probes:
        took = await sending
        if took is None or took > SLOW_FIRST_EVENT:
            slow.append((sent_at - began, took))
    if not slow:
        return f"new: 0 of {len(probes)} slow"
    failed = sum(took is None for _, took in slow)
    longest = max(took or 0.0 for _, took in slow)
    return (
        f"new: {len(slow)} of {len(probes)} slow, last sent at {slow[-1][0]:.2f} s, "
        f"{failed} failed, slowest {longest:.2f} s"
    )


def describe_moves(answers: list[Answer], moved: set[str], fault_at: float) -> str:
    """Return when streams of a faulty engine brought their first event after all."""
    gaps = sorted(
        next(
            (at for at in each.events_at if at > fault_at + ARRIVAL_TIME), float("inf")
        )
        - fault_at
        for each in answers
        if each.name in moved
    )
    if not gaps:
        return "its streams: none"
    lost = sum(gap == float("inf") for gap in gaps)
    late = sum(LONG_GAP < gap < float("inf") for gap in gaps)
    return (
        f"its streams: {len(gaps)}, next event after {gaps[len(gaps) // 2]:.2f} s "
        f"(median), {gaps[-1]:.2f} s (longest), {late} after 1 s, none {lost}"
    )


def list_streams(engine: PlatformEngine) -> set[str]:
    """Return the streams of the play that an engine has begun."""
    return {each for each in engine.runs if each.startswith(STREAM_PREFIX)}


async def apply_fault(rig: TableRig, engine: PlatformEngine, row: Row) -> None:
    """Make an engine faulty for good."""
    if row.fault == "hang":
        engine.pause(3600.0)
    elif row.fault == "crash":
        await rig.crash(engine)
    elif row.fault == "grey":
        engine.event_time *= GREY_FACTOR
    else:
        rig.paths[engine.id].cut(CutMode.HANG)


async def play_pauses(rig: TableRig, row: Row, last_at: float) -> None:
    """Pause engines and daemons at the times of a row."""
    clock = asyncio.get_running_loop().time
    endpoints = [each for each in rig.engines if bool(each.model) != row.plain]
    for at in row.times:
        await asyncio.sleep(last_at + at - clock())
        for engine in endpoints[: row.silent_engines]:
            engine.pause(row.duration)
        if isinstance(rig, ProcessRig) and row.silent_daemons:
            chosen = rig.processes[: row.silent_daemons]
            for process in chosen:
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(row.duration)
            for process in chosen:
                process.send_signal(signal.SIGCONT)


async def play_fault(
    rig: TableRig, row: Row, last_at: float
) -> tuple[float, set[str], str]:
    """Return the time of a fault for good, its engine's streams, and its effect."""
    clock = asyncio.get_running_loop().time
    await asyncio.sleep(last_at + LATE - clock())
    engine = max(rig.model_engines, key=lambda each: len(list_streams(each)))
    moved = list_streams(engine)
    fault_at = clock()
    await apply_fault(rig, engine, row)
    return fault_at, moved, await probe_after_fault(rig, row)


async def play_row(row: Row, directory: Path) -> Result:
    """Play one row on a fleet of its own."""
    if row.silent_daemons:
        rig: TableRig = ProcessRig(row.objective, directory)
    else:
        rig = TableRig(
            row.objective, resumable=row.resumable, can_cut=row.fault == "cut"
        )
    async with run_silence_rig(rig, row.engines):
        for number in range(PLAIN_ENDPOINTS * row.plain):
            await rig.add_endpoint(DATA_CENTRES[number % len(DATA_CENTRES)])
        await asyncio.sleep(1.0 * row.plain)
        result = await _measure(rig, row)
    if isinstance(rig, ProcessRig):
        result.left_out = rig.count_left_out()
    return result


async def _measure(rig: TableRig, row: Row) -> Result:
    clock = asyncio.get_running_loop().time
    count = STREAMS if row.engines > 1 else LONE_STREAMS
    count = PLAIN_REQUESTS if row.plain else count
    interval = PLAIN_INTERVAL if row.plain else START_INTERVAL
    runs_before, left_out_before = rig.run_count, COUNTS[Decision.ENDPOINT_LEFT_OUT]

    async def ask_later(number: int) -> Answer:
        await asyncio.sleep(number * interval)
        return await ask(rig, number, f"{STREAM_PREFIX}{number}", row)

    asking = [asyncio.create_task(ask_later(number)) for number in range(count)]
    # Plain answers are short: what is silent falls among them.
    last_at = clock() + (count * interval if not row.plain else 0.0)
    notes = []
    if row.fault:
        fault_at, moved, effect = await play_fault(rig, row, last_at)
        answers = await asyncio.gather(*asking)
        notes = [describe_moves(answers, moved, fault_at), effect]
    else:
        await play_pauses(rig, row, last_at)
        answers = await asyncio.gather(*asking)
    left_out = COUNTS[Decision.ENDPOINT_LEFT_OUT] - left_out_before
    return Result(answers, rig.run_count - runs_before, left_out, notes)


def list_rows() -> list[Row]:
    """Return all rows of the table, the most telling first."""
    first = [
        Row(name, objective, 1.2, silent_engines=silent)
        for name, silent in (("all engines", ENGINES), ("one of six", 1))
        for objective in (0.3, 0.815)
    ]
    faults = [
        Row("one engine for good", objective, fault=fault)
        for fault in ("hang", "crash", "cut", "grey")
        for objective in (0.3, 0.815)
    ]
    plain = [
        Row(f"plain, {name}", duration=1.2, plain=True, silent_engines=silent)
        for name, silent in (("all", ENGINES), ("four of six", 4), ("one of six", 1))
    ]
    daemons = [
        Row("one daemon of four", silent_engines=0, silent_daemons=1),
        Row("all daemons", silent_engines=0, silent_daemons=PROCESSES),
        Row("one daemon and all engines", silent_daemons=1),
        Row("all daemons and all engines", silent_daemons=PROCESSES),
    ]
    others = [
        Row("four of six", silent_engines=4),
        Row("lone engine", engines=1),
        Row("all engines, not resumable", resumable=False),
        Row("all engines, first event", times=(EARLY,)),
        Row("one of six, first event", times=(EARLY,), silent_engines=1),
        Row("all engines, twice", duration=0.6, times=(LATE, LATE + 1.0)),
        Row("all engines, twice", duration=1.2, times=(LATE, LATE + 1.6)),
    ]
    matrix = [
        Row(name, objective, duration, silent_engines=silent, engines=engines)
        for duration in (0.4, 0.8, 1.6, 3.0)
        for name, silent, engines in (
            ("all engines", ENGINES, ENGINES),
            ("four of six", 4, ENGINES),
            ("one of six", 1, ENGINES),
            ("lone engine", 1, 1),
        )
        for objective in (0.3, 0.815)
    ]
    four = [replace(each, objective=0.815) for each in others[:2]]
    return [*first, *faults, *plain, *daemons, *others, *four, *matrix]


def run_row(play: Coroutine[Any, Any, Result]) -> Result | str:
    """Return a row's result, or the error that ended it."""
    try:
        return asyncio.run(play)
    except Exception as error:
        return f"not played: {error!r}"


@click.command()
@click.option("--rows", default="", help="Numbers of the rows, as 0-3,7; else all.")
def main(rows: str) -> None:
    """Play the rows and print the table."""
    logging.disable(logging.CRITICAL)
    table = list_rows()
    chosen = set(range(len(table)))
    if rows:
        spans = [each.partition("-") for each in rows.split(",")]
        chosen = {n for a, _, b in spans for n in range(int(a), int(b or a) + 1)}
    click.echo(
        f"{'row':<37} {'what':<7} {'ms':>4}  {'at':<11} "
        "whole broken  502 503/504 other  runs left out"
    )
    for number, row in enumerate(table):
        if number in chosen:
            with tempfile.TemporaryDirectory() as directory:
                result = run_row(play_row(row, Path(directory)))
            click.echo(f"{number:2} {row} {result}")


if __name__ == "__main__":
    main()
