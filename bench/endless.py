"""Measures a daemon's memory while all endpoints of a service send without end.

One daemon runs as a process of its own, with the memory of its machine in its settings.
Some hundred clients ask for the service at once; they read their answers, or nothing.
Meanwhile other clients ask for a sound service.
"""

import asyncio
import contextlib
import json
import logging
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.cluster import wait_for_answer
from bench.faultsoak.proxy import HOST
from bench.faultsoak.system import Daemon, SoakSystem, read_peak_mb
from bench.fleet_demo import DATA_CENTRES, HOST_NAME, MODEL

MEMORY_MB: Final = 300.0
CLIENTS: Final = 100
DURATION: Final = 6.0
SETTLE_TIME: Final = 1.5
# Interval of the other clients' requests, and their timeout, seconds.
SOUND_INTERVAL: Final = 0.05
SOUND_TIMEOUT: Final = 3.0
BLOCK: Final = 8_192
OK: Final = 200

Prefix = Callable[[bytes], bytes]


def make_head(*fields: bytes, status: bytes = b"200 OK") -> Prefix:
    """Return the function that makes the head of an answer to a request."""
    lines = [b"HTTP/1.1 " + status, b"X-Request-Id: %s", b"X-Server-Stamp: s", *fields]
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return lambda request_id: head % request_id


LENGTH: Final = b"Content-Length: 999999999999"
CHUNKED: Final = b"Transfer-Encoding: chunked"
# What comes first, and what comes without end after it.
ROWS: Final[dict[str, tuple[Prefix, bytes]]] = {
    "garbage": (lambda _: b"", b"\x00garbage"),
    "headers": (lambda _: b"HTTP/1.1 200 OK\r\n", b"X-More: x\r\n"),
    "interim heads": (lambda _: b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk's extension": (
        lambda request_id: make_head(CHUNKED)(request_id) + b"5;a=",
        b"x",
    ),
    "body of a 200": (make_head(LENGTH), b"x"),
    "body of a 500": (make_head(LENGTH, status=b"500 Error"), b"x"),
    "body without a length": (make_head(), b"x"),
    "another request's answer": (lambda _: make_head(LENGTH)(b"other"), b"x"),
}


def read_request_id(head: bytes) -> bytes:
    """Return the id in a request's head, empty if it has none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


@dataclass
class EndlessServer:
    """An endpoint of the service ``plain`` that answers without end."""

    prefix: Prefix
    repeated: bytes
    sent: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request of a connection until that is closed."""
        block = self.repeated * (BLOCK // len(self.repeated))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(self.prefix(read_request_id(head)))
            while True:
                writer.write(block)
                await writer.drain()
                self.sent += len(block)
                await asyncio.sleep(0)
        writer.close()


class EndlessSystem(SoakSystem):
    """One daemon on a machine of known memory, and endless plain endpoints."""

    def boot(self, daemon: Daemon) -> None:
        """Start the daemon's process with the memory of its machine."""
        super().boot(daemon)
        path = self.directory / f"{daemon.vm}.json"
        settings = json.loads(path.read_text(encoding="utf-8"))
        settings["Limits"]["MemoryMb"] = MEMORY_MB
        # The process reads its settings later than this.
        path.write_text(json.dumps(settings), encoding="utf-8")

    async def replace_plain(self, server: EndlessServer) -> None:
        """Put endless endpoints in the place of the sound ones of a service."""
        for endpoint in [e for e in self.endpoints if e.engine.service == "plain"]:
            await endpoint.engine.stop_heartbeats()
            await self.remove_endpoint(endpoint)
        for number, zone in enumerate(DATA_CENTRES):
            listener = await asyncio.start_server(server.serve, HOST, 0)
            port = listener.sockets[0].getsockname()[1]
            await self.store.put(
                "servers", f"i-endless{number}", _make_entry(port, zone)
            )


def _make_entry(port: int, zone: str) -> dict[str, Any]:
    return {
        "Service": "plain",
        "Address": f"{HOST}:{port}",
        "Zone": zone,
        "Version": "v1",
        "Slots": 200,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    }


@dataclass
class Result:
    """What a row has shown."""

    peak_mb: float = 0.0
    alive: bool = True
    sent_mb: float = 0.0
    sound: Counter[int] = field(default_factory=Counter)


async def ask_endlessly(daemon: Daemon, number: int, *, reads: bool) -> None:
    """Ask for the endless service once, and read the answer or nothing of it."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(HOST, daemon.port)
        writer.write(
            f"GET /plain/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: e{number}\r\n\r\n".encode()
        )
        if not reads:
            # Its transport reads ahead otherwise.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        try:
            async with asyncio.timeout(DURATION):
                while reads and await reader.read(2**16):
                    pass
                await asyncio.sleep(DURATION)
        except TimeoutError:
            pass
        finally:
            writer.transport.abort()


async def ask_for_sound(daemon: Daemon, result: Result) -> None:
    """Ask for streams of the sound service until cancelled."""
    async with ClientSession() as http, asyncio.TaskGroup() as asking:
        for number in range(int(DURATION / SOUND_INTERVAL)):
            asking.create_task(_ask_once(http, daemon, number, result))
            await asyncio.sleep(SOUND_INTERVAL)


async def _ask_once(
    http: ClientSession, daemon: Daemon, number: int, result: Result
) -> None:
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": f"s{number}",
        "X-Model-Name": f"{MODEL}/a1",
    }
    status = 0
    with contextlib.suppress(ClientError, OSError, TimeoutError):
        async with http.post(
            f"{daemon.url}/models/x",
            headers=headers,
            data=b"x",
            timeout=ClientTimeout(total=SOUND_TIMEOUT),
        ) as answer:
            await answer.read()
            status = answer.status
    result.sound[status] += 1


async def play(row: str, base_port: int, *, reads: bool) -> Result:
    """Play one row on a system of its own."""
    server, result = EndlessServer(*ROWS[row]), Result()
    with tempfile.TemporaryDirectory() as name:
        system = EndlessSystem(Path(name), base_port, checks_keys=False)
        try:
            await system.start(1)
            (daemon,) = system.daemons
            async with ClientSession() as http:
                await wait_for_answer(http, f"http://{HOST}:{daemon.port + 1}/ready")
            await system.replace_plain(server)
            await asyncio.sleep(SETTLE_TIME)
            asking = [
                ask_endlessly(daemon, number, reads=reads) for number in range(CLIENTS)
            ]
            await asyncio.gather(*asking, ask_for_sound(daemon, result))
            assert daemon.process is not None
            result.alive = daemon.process.poll() is None
            result.peak_mb = read_peak_mb(daemon) if result.alive else 0.0
        finally:
            await system.close()
    result.sent_mb = server.sent / 2**20
    return result


@click.command()
@click.option("--base-port", default=29_000)
@click.option("--only", default="", help="Play only rows whose name contains this.")
def main(base_port: int, only: str) -> None:
    """Print a table of what comes without end, and what it costs."""
    logging.disable(logging.ERROR)
    click.echo("| without end | clients | peak, MB | sent, MB | sound, by status |")
    click.echo("| --- | --- | --- | --- | --- |")
    for row in ROWS:
        if only not in row:
            continue
        for reads in (True, False):
            result = asyncio.run(play(row, base_port, reads=reads))
            peak = f"{result.peak_mb:.0f}" if result.alive else "ended"
            click.echo(
                f"| {row} | {'read' if reads else 'read nothing'} | {peak} "
                f"| {result.sent_mb:.0f} | {dict(result.sound)} |"
            )


if __name__ == "__main__":
    main()
