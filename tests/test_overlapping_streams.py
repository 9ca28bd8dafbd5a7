"""Streams that clients take up at another daemon while the first still writes them.

Guards against events that come twice, are missing or are of another version in either
answer, and ends in order before the last event: also where an answer has gone on at
another engine before, and where engines end their answers with their connections.
"""

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.streamrig import ADAPTERS, EVENTS, MODEL, StreamRig, run_stream_rig

STREAMS = 60
# Events before a stream is taken up.
MAX_FIRST_EVENTS = 6
MAX_START_DELAY = 0.6
BROKEN_FRACTION = 0.35
PAUSE_AT = 0.5
PAUSE = 0.8
TIMEOUT = 6.0


@dataclass
class Attempt:
    """One answer: its events, and whether it ended in order."""

    status: int = 0
    events: list[dict[str, Any]] = field(default_factory=list)
    whole: bool = False
    has_enough: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def numbers(self) -> list[int]:
        return [each["number"] for each in self.events]

    @property
    def software(self) -> set[str]:
        return {each["software"] for each in self.events}


async def read_attempt(
    rig: StreamRig,
    vm: str,
    name: str,
    request_id: str,
    attempt: Attempt,
    extra: str = "",
    enough: int = EVENTS,
) -> None:
    """Send a request of a stream and read its answer to the end."""
    adapter = f"a{int(name[1:]) % ADAPTERS}"
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.client_ports[vm])
    head = (
        f"POST /m/{name} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Model-Name: {MODEL}/{adapter}\r\n"
        f"{extra}Content-Length: 1\r\n\r\n"
    )
    writer.write(head.encode() + b"x")
    try:
        async with asyncio.timeout(TIMEOUT):
            attempt.status = int((await reader.readline()).split()[1])
            is_chunked = False
            while line := await reader.readline():
                is_chunked |= line.lower() == b"transfer-encoding: chunked\r\n"
                if is_chunked and line == b"0\r\n":
                    attempt.whole = True
                if line.startswith(b"data:"):
                    attempt.events.append(json.loads(line.removeprefix(b"data:")))
                if len(attempt.events) >= enough or attempt.whole:
                    attempt.has_enough.set()
                if attempt.whole:
                    return
            attempt.whole = not is_chunked
    except (OSError, TimeoutError):
        pass  # Broken off: what has come counts.
    finally:
        attempt.has_enough.set()
        writer.transport.abort()


async def run_stream(rig: StreamRig, number: int) -> tuple[Attempt, Attempt | None]:
    """Begin a stream, and take it up elsewhere while its first answer goes on."""
    first_vm, second_vm = random.sample(list(rig.daemons), 2)
    name, enough = f"s{number}", random.randint(1, MAX_FIRST_EVENTS)
    await asyncio.sleep(random.uniform(0.0, MAX_START_DELAY))
    first = Attempt()
    reading = asyncio.create_task(
        read_attempt(rig, first_vm, name, f"{name}.1", first, enough=enough)
    )
    await first.has_enough.wait()
    if not first.events:
        await reading
        return first, None
    taken_up_at = len(first.events)
    second = Attempt()
    extra = f"Last-Event-Id: {taken_up_at}\r\nResumes: {name}.1\r\n"
    await read_attempt(rig, second_vm, name, f"{name}.2", second, extra)
    await reading
    if second.events:
        assert second.numbers[0] == taken_up_at + 1, (taken_up_at, second.numbers)
    return first, second


def check(first: Attempt, second: Attempt | None) -> None:
    """Check that no event is missing, twice or of another version."""
    assert first.numbers == list(range(1, len(first.events) + 1))
    assert len(first.software) <= 1
    if first.status == 200 and first.whole:
        assert len(first.events) == EVENTS
    if second is None or not second.events:
        return
    start = second.numbers[0]
    assert second.numbers == list(range(start, start + len(second.events)))
    assert second.software == first.software
    if second.whole:
        assert second.numbers[-1] == EVENTS


@pytest.mark.parametrize(
    ("broken", "paused"), [(0.0, False), (BROKEN_FRACTION, False), (0.0, True)]
)
async def test_stream_taken_up_while_it_is_written_keeps_its_order(
    broken: float, paused: bool
) -> None:
    async with run_stream_rig() as rig:
        rig.break_streams(broken)
        rig.allow_retries()
        # An engine that closes in order between two events, and lives on, can't be told
        # from one whose stream is complete if it sends neither a length nor chunks.
        for engine in rig.engines[::2]:
            engine.undelimited = not broken
        running = [asyncio.create_task(run_stream(rig, n)) for n in range(STREAMS)]
        if paused:
            await asyncio.sleep(PAUSE_AT)
            for engine in rig.engines:
                engine.pause(PAUSE)
        streams = await asyncio.gather(*running)
    gone_on = sum(second is not None and second.whole for _, second in streams)
    whole = sum(first.whole for first, _ in streams)
    print(f"{len(streams)} streams: {whole} whole, {gone_on} taken up to the end")
    for first, second in streams:
        check(first, second)
    assert gone_on >= STREAMS / 2
