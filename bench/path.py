"""Measure the latency that a daemon adds to direct access to the engine.

Both paths alternate in one run. Reported are the time to the first token, the time
between tokens, and the tokens that one daemon relays per second of its CPU time with
50 streams.
"""

import asyncio
import json
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import click
from aiohttp import ClientSession, ClientTimeout, TCPConnector

from bench.chaos import KEY, write_configuration
from bench.cluster import Cluster, ClusterSpec

ROUNDS: Final = 200
STREAMS: Final = 50
STREAM_TOKENS: Final = 2_000
LATENCY_TOKENS: Final = 20
ADAPTER: Final = "a0"
CLOCK_TICKS: Final = 100


@dataclass(frozen=True)
class Sample:
    """Time to the first token and times between later tokens, in seconds."""

    first: float
    gaps: tuple[float, ...]


async def stream(http: ClientSession, url: str, headers: dict[str, str]) -> Sample:
    """Stream one answer; return the times of its tokens."""
    body = {
        "model": ADAPTER,
        "prompt": "p",
        "max_tokens": LATENCY_TOKENS,
        "stream": True,
    }
    begin = time.perf_counter()
    times = []
    async with http.post(
        f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        assert response.status == 200, await response.text()
        async for _ in response.content.iter_any():
            times.append(time.perf_counter())
    gaps = tuple(b - a for a, b in zip(times, times[1:], strict=False))
    return Sample(first=times[0] - begin, gaps=gaps)


async def count_tokens(http: ClientSession, url: str, headers: dict[str, str]) -> int:
    """Stream one long answer; return the number of its tokens."""
    body = {
        "model": ADAPTER,
        "prompt": "p",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    count = 0
    async with http.post(
        f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        assert response.status == 200, await response.text()
        async for chunk in response.content.iter_any():
            count += chunk.count(b"\n\n")
    return count - 1


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def describe(name: str, direct: list[float], through: list[float]) -> None:
    """Print medians, 95th percentiles, and the ratio of the medians."""
    rows = []
    for samples in (direct, through):
        p95 = statistics.quantiles(samples, n=20)[-1]
        rows.append((statistics.median(samples) * 1e3, p95 * 1e3))
    (d50, d95), (t50, t95) = rows
    click.echo(
        f"{name}: direct {d50:.2f} / {d95:.2f} ms, through a daemon "
        f"{t50:.2f} / {t95:.2f} ms (p50 / p95); ratio {t50 / d50:.2f}, "
        f"added at p95 {t95 - d95:.2f} ms"
    )


async def run(directory: Path, base_port: int) -> None:
    """Measure latency on both paths, then the throughput of the relay."""
    spec = ClusterSpec(
        directory=directory,
        base_port=base_port,
        daemons=1,
        engines=6,
        services=0,
        engine_options={"batch_limit": 64, "token_time": 0.0},
    )
    cluster = Cluster(spec)
    engine_headers = {"X-Adapter-Version": f"{ADAPTER}@1", "X-Attempt-Id": "direct/1"}
    headers = {"Authorization": f"Bearer {KEY}"}
    try:
        await cluster.start()
        timeout = ClientTimeout(total=120)
        connector = TCPConnector(limit=0)
        async with ClientSession(timeout=timeout, connector=connector) as http:
            await write_configuration(cluster, http)
            await asyncio.sleep(3.0)
            daemon, engine = cluster.callers_url(0), ""
            await stream(http, daemon, headers)
            await asyncio.sleep(1.0)
            for number in range(spec.engines):
                url = cluster.url(f"engine-{number}")
                async with http.get(f"{url}/report") as response:
                    if json.loads(await response.text())["loaded"]:
                        engine = url
            direct, through = [], []
            for _ in range(ROUNDS):
                direct.append(await stream(http, engine, engine_headers))
                through.append(await stream(http, daemon, headers))
            describe(
                "first token", [s.first for s in direct], [s.first for s in through]
            )
            describe(
                "between tokens",
                [gap for s in direct for gap in s.gaps],
                [gap for s in through for gap in s.gaps],
            )
            pid = cluster.processes["vm-0"].pid
            before, begin = read_cpu(pid), time.perf_counter()
            counts = await asyncio.gather(
                *(count_tokens(http, daemon, headers) for _ in range(STREAMS))
            )
            took, used = time.perf_counter() - begin, read_cpu(pid) - before
            click.echo(
                f"relay: {sum(counts)} tokens over {STREAMS} streams in {took:.2f} s; "
                f"{sum(counts) / used:.0f} tokens per CPU second of the daemon"
            )
        await cluster.stop()
    finally:
        cluster.kill_all()


@click.command()
@click.option("--base-port", default=22_000)
def main(base_port: int) -> None:
    """Measure the latency that a daemon adds."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(Path(directory), base_port))


if __name__ == "__main__":
    main()
