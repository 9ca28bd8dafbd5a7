"""Stand-in for a model engine.

It batches continuously up to a limit, keeps adapters in a few slots, obeys fenced
orders, honours priorities, resumes and cancels requests, and reports with a lag. It
counts violations, above all an adapter that is unloaded while requests use it.
"""

import asyncio
import itertools
import json
import random
import time
from collections import Counter, OrderedDict
from dataclasses import asdict, dataclass, field
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins.common import Faults, make_command
from standins.text import WORDS, make_token

PREFIX_LENGTH: Final = 256
MAX_CACHE_EVENTS: Final = 1_000
ROLES: Final = frozenset({"mixed", "prefill", "decode"})


@dataclass(order=True)
class Job:
    """A request that is queued for the batch or running."""

    priority: int
    serial: int
    adapter: str = field(compare=False)
    admitted: asyncio.Event = field(compare=False)
    killed: bool = field(compare=False, default=False)


@dataclass(frozen=True)
class CacheEvent:
    """A prefix that was cached or evicted; ``at`` is monotonic seconds."""

    number: int
    at: float
    kind: str
    prefix: str


class Engine:
    """The state of one engine."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.faults = Faults(
            hang=False,
            refuse=False,
            leaving=False,
            cut_after=0,
            wrong_version=False,
            fail_loads=0.0,
            slow=1.0,
            no_end_mark=False,
            cache_gaps=0.1,
        )
        self._random = random.Random(options.get("seed", 1))
        self.slots = options.get("slots", 4)
        self.batch_limit = options.get("batch_limit", 8)
        self.checks_fence = options.get("checks_fence", True)
        self._lag = options.get("report_lag", 0.2)
        self._weights = options.get("weights", "")
        self._token_time = options.get("token_time", 0.004)
        self._load_time = options.get("load_time", 0.15)
        self._serial = itertools.count()
        self.runs: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.busy_since = 0.0
        self.busy_seconds = 0.0
        self.together_seconds = 0.0
        self._measured_at = time.monotonic()
        self._session: ClientSession | None = None
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[CacheEvent] = []
        self.role = "mixed"
        self.restart()

    def restart(self) -> None:
        """Restart with a new instance id and empty memory."""
        for job in getattr(self, "jobs", []):
            job.killed = True
        self.instance = f"{self._random.getrandbits(64):x}"
        self.fence = 0
        self.loaded: set[str] = set()
        self.loading: set[str] = set()
        self.jobs: list[Job] = []
        self.running: list[Job] = []
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._prefixes.clear()

    # Orders

    def _apply_fence(self, token: int) -> web.Response | None:
        if self.checks_fence and token < self.fence:
            self.counts["fenced_off"] += 1
            return web.json_response({"reason": "fenced"}, status=409)
        self.fence = max(self.fence, token)
        return None

    async def raise_fence(self, http: web.Request) -> web.Response:
        """Raise the fence: orders with a lower token are refused from now on."""
        await self._hang()
        body = await http.json()
        return self._apply_fence(body["token"]) or web.json_response({})

    async def load(self, http: web.Request) -> web.Response:
        """Load an adapter version through the weight store."""
        await self._hang()
        body = await http.json()
        refused = self._apply_fence(body["token"])
        if refused is not None:
            return refused
        adapter = body["adapter"]
        if adapter in self.loaded:
            return web.json_response({})
        if len(self.loaded | self.loading | {adapter}) > self.slots:
            return web.json_response({"reason": "no_slot"}, status=507)
        instance = self.instance
        self.loading.add(adapter)
        self.counts["loads"] += 1
        try:
            fetched = await self._fetch_weights(adapter)
        finally:
            self.loading.discard(adapter)
        if not fetched or instance != self.instance:
            return web.json_response({"reason": "load_failed"}, status=503)
        self.loaded.add(adapter)
        self._record_report()
        return web.json_response({})

    async def _fetch_weights(self, adapter: str) -> bool:
        fails = self._random.random() < self.faults.get("fail_loads")
        await asyncio.sleep(self._load_time * (0.5 if fails else 1.0))
        if fails:
            return False
        if not self._weights:
            return True
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=30))
        try:
            url = f"{self._weights}/weights"
            async with self._session.get(url, params={"adapter": adapter}) as response:
                return response.status == 200
        except (ClientError, TimeoutError):
            return False

    async def unload(self, http: web.Request) -> web.Response:
        """Unload an adapter version.

        Requests that use it are aborted and counted as a violation.
        """
        await self._hang()
        body = await http.json()
        refused = self._apply_fence(body["token"])
        if refused is not None:
            return refused
        adapter = body["adapter"]
        in_use = [job for job in self.jobs if job.adapter == adapter]
        if in_use:
            self.violations["unloaded_in_use"] += 1
        for job in in_use:
            job.killed = True
        self.loaded.discard(adapter)
        self.counts["unloads"] += 1
        self._record_report()
        return web.json_response({})

    async def _hang(self) -> None:
        while self.faults.get("hang"):
            await asyncio.sleep(0.05)

    # Reports

    def _compose(self) -> dict[str, Any]:
        running = Counter(job.adapter for job in self.jobs)
        return {
            "instance": self.instance,
            "fence": self.fence,
            "loaded": sorted(self.loaded),
            "running": dict(running),
            "leaving": self.faults.get("leaving"),
        }

    def _record_report(self) -> None:
        self._reports.append((time.monotonic(), self._compose()))
        del self._reports[:-500]

    async def report(self, http: web.Request) -> web.Response:
        """Serve a report that is at least ``report_lag`` seconds old, with its age."""
        await self._hang()
        now = time.monotonic()
        self._record_report()
        old = [each for each in self._reports if each[0] <= now - self._lag]
        at, composed = old[-1] if old else self._reports[0]
        return web.json_response({**composed, "age": now - at})

    # Requests

    def _refuse(self, reason: str) -> web.Response:
        self.counts[f"refused_{reason}"] += 1
        body = {"reason": reason, "retry_after": 0.5}
        return web.json_response(body, status=409)

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Run a request and stream the answer."""
        await self._hang()
        adapter = http.headers["X-Adapter-Version"]
        attempt = http.headers["X-Attempt-Id"]
        if self.faults.get("leaving") or self.faults.get("refuse"):
            return self._refuse("leaving" if self.faults.get("leaving") else "refused")
        if adapter not in self.loaded:
            return self._refuse("not_loaded")
        body = await http.json()
        job = Job(
            priority=int(http.headers.get("X-Priority", "1")),
            serial=next(self._serial),
            adapter=adapter,
            admitted=asyncio.Event(),
        )
        self.jobs.append(job)
        self._admit()
        self._record_report()
        self.runs[attempt.partition("/")[0]] += 1
        try:
            await self._wait_for_admission(job)
            return await self._stream(http, body, job, attempt)
        finally:
            if job in self.jobs:
                self.jobs.remove(job)
            self._measure()
            if job in self.running:
                self.running.remove(job)
            self._admit()
            self._record_report()

    def _admit(self) -> None:
        self._measure()
        waiting = sorted(job for job in self.jobs if not job.admitted.is_set())
        for job in waiting[: max(0, self.batch_limit - len(self.running))]:
            self.running.append(job)
            job.admitted.set()

    async def _wait_for_admission(self, job: Job) -> None:
        while not job.admitted.is_set() and not job.killed:
            try:
                await asyncio.wait_for(job.admitted.wait(), 0.1)
            except TimeoutError:
                continue

    def _measure(self) -> None:
        now = time.monotonic()
        if self.running:
            self.busy_seconds += now - self._measured_at
            self.together_seconds += (now - self._measured_at) * len(self.running)
        self._measured_at = now

    async def _stream(
        self,
        http: web.Request,
        body: dict[str, Any],
        job: Job,
        attempt: str,
    ) -> web.StreamResponse:
        prompt = read_prompt(body)
        served_version = job.adapter
        if self.faults.get("wrong_version"):
            served_version = f"{job.adapter.partition('@')[0]}@999"
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": attempt,
                "X-Adapter-Version": served_version,
            }
        )
        done = len(body.get("resume_token_ids", []))
        await self._prefill(prompt, done)
        await response.prepare(http)
        for position in range(done, int(body.get("max_tokens", 16))):
            await self._hang()
            await asyncio.sleep(self._token_time * self.faults.get("slow"))
            cut_after = self.faults.get("cut_after")
            if job.killed or (cut_after and position - done >= cut_after):
                return self._abort_stream(http, response)
            token = make_token(served_version, prompt, position)
            await response.write(make_event(body, attempt, served_version, token))
            self.counts["tokens"] += 1
        if not self.faults.get("no_end_mark"):
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        self.counts["whole"] += 1
        return response

    async def _prefill(self, prompt: str, done: int) -> None:
        """Wait for the prefill time, a fifth of it where the prefix is cached."""
        head = prompt[:PREFIX_LENGTH]
        is_cached = head in self._prefixes
        self._store_prefix(head)
        per_character = self.options.get("prefill_time", 0.000002)
        characters = (len(prompt) + done) * (0.2 if is_cached else 1.0)
        await asyncio.sleep(per_character * characters)

    def _store_prefix(self, head: str) -> None:
        """Cache a prefix; evict the least recently used one over the limit."""
        if head not in self._prefixes:
            self._record_cache_event("cached", head)
        self._prefixes[head] = None
        self._prefixes.move_to_end(head)
        if len(self._prefixes) > self.options.get("prefixes", 64):
            oldest, _ = self._prefixes.popitem(last=False)
            self._record_cache_event("dropped", oldest)

    def _record_cache_event(self, kind: str, prefix: str) -> None:
        number = next(self._serial)
        if self._random.random() >= self.faults.get("cache_gaps"):
            event = CacheEvent(number, time.monotonic(), kind, prefix)
            self._cache_events.append(event)
        del self._cache_events[:-MAX_CACHE_EVENTS]

    async def show_cache_events(self, http: web.Request) -> web.Response:
        """Serve the cache events after a number, delayed by the lag and with gaps."""
        after = int(http.query.get("after", "-1"))
        until = time.monotonic() - self._lag
        visible = [e for e in self._cache_events if e.number > after and e.at <= until]
        return web.json_response([asdict(event) for event in visible])

    async def change_role(self, http: web.Request) -> web.Response:
        """Apply a fenced order that sets the role: prefill, decode or mixed."""
        await self._hang()
        body = await http.json()
        refused = self._apply_fence(body["token"])
        if refused is not None:
            return refused
        if body["role"] not in ROLES:
            return web.json_response({"reason": "unknown_role"}, status=400)
        self.role = body["role"]
        return web.json_response({"role": self.role})

    async def export_cache(self, http: web.Request) -> web.Response:
        """Serve the cache entry of a prompt's prefix, if it is cached."""
        head = http.query["prompt"][:PREFIX_LENGTH]
        if head not in self._prefixes:
            return web.json_response({"reason": "not_cached"}, status=404)
        return web.json_response({"prefix": head})

    async def import_cache(self, http: web.Request) -> web.Response:
        """Import a cache entry that another engine exported."""
        self._store_prefix((await http.json())["prefix"])
        return web.json_response({})

    def _abort_stream(
        self,
        http: web.Request,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Abort the connection within a stream, without an end mark or an error."""
        self.counts["cut"] += 1
        if http.transport is not None:
            http.transport.abort()
        return response

    async def show_counts(self, http: web.Request) -> web.Response:
        """Serve the counts of runs, violations and events, and the busy times."""
        self._measure()
        return web.json_response(
            {
                "runs": dict(self.runs),
                "violations": dict(self.violations),
                "counts": dict(self.counts),
                "busy_seconds": self.busy_seconds,
                "together_seconds": self.together_seconds,
                "batch_limit": self.batch_limit,
            }
        )

    async def handle_restart(self, http: web.Request) -> web.Response:
        """Restart the engine on request."""
        self.restart()
        return web.json_response({})


def read_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or chat request."""
    if "messages" in body:
        return "\n".join(str(each.get("content", "")) for each in body["messages"])
    return str(body.get("prompt", ""))


def make_event(
    body: dict[str, Any], attempt: str, served_version: str, token: int
) -> bytes:
    """Return one event of a streamed answer."""
    text = f" {WORDS[token]}"
    choice: dict[str, Any] = {"index": 0, "token_ids": [token]}
    if "messages" in body:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    event = {"id": attempt, "model": served_version, "choices": [choice]}
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + b"\n\n"


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the stand-in's application."""
    engine = Engine(options)
    app = web.Application()
    app.router.add_post("/orders/fence", engine.raise_fence)
    app.router.add_post("/orders/load", engine.load)
    app.router.add_post("/orders/unload", engine.unload)
    app.router.add_get("/report", engine.report)
    app.router.add_post("/v1/completions", engine.complete)
    app.router.add_post("/v1/chat/completions", engine.complete)
    app.router.add_post("/orders/role", engine.change_role)
    app.router.add_get("/cache/events", engine.show_cache_events)
    app.router.add_get("/cache", engine.export_cache)
    app.router.add_put("/cache", engine.import_cache)
    app.router.add_get("/counts", engine.show_counts)
    app.router.add_post("/restart", engine.handle_restart)
    engine.faults.add_routes(app)
    return app


if __name__ == "__main__":
    make_command(make_app, "Stand-in for a model engine.")()
