"""Clients that leave their streams in the middle and take them up again elsewhere.

Each event names the software that wrote it, so a stream of two versions shows.
"""

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.faultsoak.contact import ContactRecord
from bench.faultsoak.system import Daemon, SoakSystem
from bench.fleet_demo import HOST_NAME, MODEL
from kestreltally.entry.answer_head import InvalidHead
from standins.platform_engine import EVENTS

# Attempts after the first one, and the range of pauses before each, seconds.
MAX_TAKE_UPS: Final = 2
PAUSES: Final = (0.0, 1.0)
ATTEMPT_TIMEOUT: Final = 4.0
# Streams that may hold events of two versions.
MAX_MIXED: Final = 2
# Of the fraction of new streams that begin, this part of those taken up must go on,
# while two engines of their version serve.
MIN_GONE_ON: Final = 0.5
MIN_TAKEN_UP: Final = 12
MIN_ENGINES: Final = 2


@dataclass
class Attempt:
    """One attempt of a stream at a daemon."""

    vm: str
    began: float
    first: bool
    # Whether an event came, and whether enough engines of the version served.
    went_on: bool = False
    could_go_on: bool = True
    # Whether the daemon that began the stream has ended since.
    is_orphan: bool = False


@dataclass
class Stream:
    """A stream over all attempts of its client."""

    name: str
    adapter: str
    key: str
    daemon: Daemon
    boot: int
    events: list[dict[str, Any]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def software(self) -> set[str]:
        """Return the versions that wrote its events."""
        return {each["software"] for each in self.events}


@dataclass
class StreamClients:
    """Sends streams, takes them up, and checks what they hold."""

    system: SoakSystem
    attempt_times: list[float]
    streams: list[Stream] = field(default_factory=list)
    # Answers that have no head in HTTP.
    broken: list[str] = field(default_factory=list)

    async def run(
        self, http: ClientSession, daemon: Daemon, adapter: str, key: str
    ) -> None:
        """Begin a stream, leave it in the middle, and take it up at other daemons."""
        stream = Stream(f"t{len(self.streams)}", adapter, key, daemon, daemon.boots)
        self.streams.append(stream)
        await self._attempt(http, stream, daemon, random.randint(1, EVENTS - 1))
        for _ in range(MAX_TAKE_UPS):
            if not stream.events or len(stream.events) >= EVENTS:
                return
            await asyncio.sleep(random.uniform(*PAUSES))
            await self._attempt(
                http, stream, random.choice(self.system.daemons), EVENTS
            )

    async def _attempt(
        self, http: ClientSession, stream: Stream, daemon: Daemon, limit: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        attempt = Attempt(daemon.vm, now, first=not stream.events)
        stream.attempts.append(attempt)
        self.attempt_times.append(now)
        request_id = f"{stream.name}.{len(stream.attempts)}"
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Credential": stream.key,
            "X-Model-Name": f"{MODEL}/{stream.adapter}",
        }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1]["number"])
            headers["Resumes"] = stream.events[0]["request"]
            attempt.is_orphan = stream.daemon.boots != stream.boot
            attempt.could_go_on = self._count_serving(stream) >= MIN_ENGINES
        before = len(stream.events)
        try:
            async with http.post(
                f"{daemon.url}/models/{stream.name}",
                headers=headers,
                data=b"x",
                timeout=ClientTimeout(total=ATTEMPT_TIMEOUT),
            ) as answer:
                async for line in answer.content:
                    if line.startswith(b"data:"):
                        event = json.loads(line.removeprefix(b"data:"))
                        stream.events.append({**event, "request": request_id})
                    if len(stream.events) >= limit:
                        answer.close()
                        break
        except InvalidHead as error:
            self.broken.append(f"{request_id} got a broken head: {error}")
        except (TimeoutError, ClientError, OSError):
            pass  # What has come counts; the client takes the stream up.
        attempt.went_on = len(stream.events) > before

    def _count_serving(self, stream: Stream) -> int:
        engines = (each.engine for each in self.system.endpoints)
        return sum(
            each.software in stream.software and each.state == "ready"
            for each in engines
            if each.model
        )

    def check(self, contact: ContactRecord, mixed_answers: list[str]) -> list[str]:
        """Return the problems of all streams; some answers are known to be mixed."""
        mixed = mixed_answers + [
            each.name for each in self.streams if len(each.software) > 1
        ]
        problems = list(self.broken)
        if len(mixed) > MAX_MIXED:
            problems.append(f"streams of two software versions: {mixed}")
        attempts = [a for stream in self.streams for a in stream.attempts]
        in_touch = [
            each
            for each in attempts
            if contact.is_in_touch(each.vm, "", each.began, each.began)
        ]
        new = [each for each in in_touch if each.first]
        taken_up = [each for each in in_touch if not each.first and each.could_go_on]
        orphans = [each for each in taken_up if each.is_orphan]
        for name, those in (("streams", taken_up), ("streams of ended ones", orphans)):
            enough = MIN_GONE_ON * _compute_share(new)
            if len(those) >= MIN_TAKEN_UP and _compute_share(those) < enough:
                problems.append(
                    f"{sum(each.went_on for each in those)} of {len(those)} {name} "
                    f"taken up went on, of new ones {_compute_share(new):.2f} began"
                )
        return problems

    def describe(self) -> str:
        """Return how many streams there were, and what became of them."""
        taken_up = [
            a for stream in self.streams for a in stream.attempts if not a.first
        ]
        mixed = sum(len(each.software) > 1 for each in self.streams)
        return (
            f"streams {len(self.streams)}, take-ups {len(taken_up)}, "
            f"gone on {sum(each.went_on for each in taken_up)}, of two versions {mixed}"
        )


def _compute_share(attempts: Sequence[Attempt]) -> float:
    return sum(each.went_on for each in attempts) / max(1, len(attempts))
