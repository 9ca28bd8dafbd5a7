"""Measure the CPU time and bytes of decision log lines.

Measures the usual rate, ten times that rate, and a reader that has stopped. The usual
rate is that of one daemon at peak on the first sites, some 35 requests per second.
"""

import asyncio
import logging
import os
import threading
import time
from dataclasses import dataclass
from typing import Final

import click

from kestreltally.decisions import Decision, log_decision, log_suppressed
from kestreltally.logs import LineWriter

USUAL_RATE: Final = 35
SECONDS: Final = 5.0
CHUNK: Final = 2**16
LOG: Final = logging.getLogger("bench.logcost")


@dataclass(frozen=True)
class LogCost:
    """Cost of the log lines of one run."""

    case: str
    lines: int
    bytes: int
    cpu_fraction: float
    longest_call: float


class _Reader(threading.Thread):
    """Reads the lines, or leaves the pipe unread."""

    def __init__(self, descriptor: int, *, is_reading: bool) -> None:
        super().__init__(daemon=True)
        self._descriptor = descriptor
        self._is_reading = is_reading
        self.bytes = 0
        self.lines = 0

    def run(self) -> None:
        while self._is_reading:
            content = os.read(self._descriptor, CHUNK)
            if not content:
                return
            self.bytes += len(content)
            self.lines += content.count(b"\n")


async def log_requests(rate: int) -> float:
    """Log the line of a request at a rate; return the longest call in seconds."""
    longest_call = 0.0
    for number in range(int(rate * SECONDS)):
        began = time.perf_counter()
        log_decision(
            LOG,
            Decision.REQUEST_DONE,
            request=f"request-{number:08x}",
            route="r-wewyf3w",
            weights="govo10305c/a1211",
            configuration=7,
            status=200,
            reason=None,
            retry_after=None,
            waited=0.0,
            first=0.036,
            took=1.613,
            trail=["i-54cdb84ec1 of 3, 2 under way"],
        )
        longest_call = max(longest_call, time.perf_counter() - began)
        await asyncio.sleep(1 / rate)
    log_suppressed(LOG, 0)
    return longest_call


def measure(case: str, rate: int, *, is_reading: bool) -> LogCost:
    """Return the cost of the lines at a rate."""
    source, target = os.pipe()
    reader = _Reader(source, is_reading=is_reading)
    reader.start()
    writer = LineWriter(os.fdopen(target, "w"), "vm-1")
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(logging.INFO)
    baseline = time.process_time()
    asyncio.run(_idle(rate))
    baseline = time.process_time() - baseline
    began = time.process_time()
    longest_call = asyncio.run(log_requests(rate))
    time.sleep(0.2)
    spent = time.process_time() - began
    return LogCost(
        case, reader.lines, reader.bytes, (spent - baseline) / SECONDS, longest_call
    )


async def _idle(rate: int) -> None:
    """Run the same loop without logging, as the baseline."""
    for _ in range(int(rate * SECONDS)):
        await asyncio.sleep(1 / rate)


@click.command()
def main() -> None:
    """Print the table."""
    click.echo("| case | lines/s read | kB/s read | of a core | longest call, ms |")
    click.echo("| --- | ---: | ---: | ---: | ---: |")
    for case, rate, is_reading in (
        ("usual rate", USUAL_RATE, True),
        ("ten times the usual rate", 10 * USUAL_RATE, True),
        ("ten times, the reader has stopped", 10 * USUAL_RATE, False),
    ):
        cost = measure(case, rate, is_reading=is_reading)
        click.echo(
            f"| {cost.case} | {cost.lines / SECONDS:.0f} "
            f"| {cost.bytes / SECONDS / 1000:.1f} | {cost.cpu_fraction:.4f} "
            f"| {1000 * cost.longest_call:.2f} |"
        )


if __name__ == "__main__":
    main()
