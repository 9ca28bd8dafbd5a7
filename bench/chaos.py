"""Daemon processes under load and faults, checked from outside.

Runs six daemons and the stand-ins. Daemons are killed, suspended for longer than the
lease, and replaced one after the other; engines restart and hang; the object API and
the weight store become unavailable; adapter popularity shifts. Each answer is checked
against its adapter, version and prompt, and each request id against the endpoints'
counts of runs.
"""

import asyncio
import json
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from bench.cluster import Cluster, ClusterSpec, set_faults, wait_for_answer
from kestreltally.callers.identity import digest_key
from standins.text import make_answer

KEY: Final = "chaos-key"
MODEL: Final = "base"
ADAPTERS: Final = 24
TOKENS: Final = 10
DAEMONS: Final = 6
ENGINES: Final = 6
SERVICES: Final = 2
UNREPEATABLE_FRACTION: Final = 0.05
SERVICE_FRACTION: Final = 0.1
NO_ANSWER: Final = "no_answer"
FREEZE_DURATION: Final = 5.0


@dataclass(frozen=True)
class Result:
    """Result of one request as seen by its caller."""

    request: str
    outcome: str
    reason: str
    took: float
    at: float
    unrepeatable: bool
    wrong: bool = False
    is_cut: bool = False


class Load:
    """Callers that send to random ready daemons, as through a load balancer."""

    def __init__(self, cluster: Cluster, http: ClientSession, rate: float) -> None:
        self._cluster = cluster
        self._http = http
        self._rate = rate
        self._random = random.Random(1)
        self._serial = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.results: list[Result] = []
        self.ready: set[int] = set(range(DAEMONS))
        self.most_popular = 0
        self.running = True

    async def run(self) -> None:
        """Send at the rate until ``running`` is false."""
        while self.running:
            task = asyncio.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(self._rate))
        await asyncio.gather(*self._tasks)

    async def watch_ready(self) -> None:
        """Poll which daemons are ready, as a load balancer does."""
        while True:
            checks = [self._check_ready(number) for number in range(DAEMONS)]
            found = await asyncio.gather(*checks)
            self.ready = {number for number, is_ready in enumerate(found) if is_ready}
            await asyncio.sleep(0.3)

    async def _check_ready(self, number: int) -> bool:
        url = f"{self._cluster.operators_url(number)}/ready"
        try:
            async with self._http.get(url, timeout=ClientTimeout(total=0.5)) as answer:
                return answer.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    def _draw_adapter(self) -> str:
        number = int(self._random.expovariate(0.3)) % ADAPTERS
        return f"a{(self.most_popular + number) % ADAPTERS}"

    async def _send_one(self) -> None:
        self._serial += 1
        if not self.ready:
            return
        number = self._random.choice(sorted(self.ready))
        service = self._random.random() < SERVICE_FRACTION
        unrepeatable = service or self._random.random() < UNREPEATABLE_FRACTION
        request = f"c{self._serial}"
        adapter = self._draw_adapter()
        begin = time.monotonic()
        headers = {
            "Authorization": f"Bearer {KEY}",
            "X-Request-Id": request,
            "X-Deadline-Seconds": "15",
        }
        if unrepeatable:
            headers["X-Not-Repeatable"] = "true"
        prompt = f"prompt {self._serial}"
        body: dict[str, Any] = {
            "model": adapter,
            "prompt": prompt,
            "max_tokens": TOKENS,
            "stream": self._serial % 2 == 0,
        }
        path = "/ledger/redeem" if service else "/v1/completions"
        url = self._cluster.callers_url(number) + path
        expected = None if service else make_answer(f"{adapter}@1", prompt, TOKENS)
        outcome, reason, wrong, is_cut = await self._post(url, body, headers, expected)
        self.results.append(
            Result(
                request=request,
                outcome=outcome,
                reason=reason,
                took=time.monotonic() - begin,
                at=begin,
                unrepeatable=unrepeatable,
                wrong=wrong,
                is_cut=is_cut,
            )
        )

    async def _post(
        self,
        url: str,
        body: dict[str, Any],
        headers: dict[str, str],
        expected: str | None,
    ) -> tuple[str, str, bool, bool]:
        """Return outcome, reason, and whether the answer was wrong and was cut off."""
        try:
            async with self._http.post(url, json=body, headers=headers) as response:
                text = await response.text()
                status, kind = response.status, response.content_type
        except (ClientError, TimeoutError, OSError) as error:
            return NO_ANSWER, type(error).__name__, False, True
        if status != 200:
            error_body = json.loads(text)["error"]
            return error_body["outcome"], error_body["type"], False, False
        if expected is None:
            return "done", "", False, False
        if kind == "text/event-stream":
            return self._check_stream(text, expected)
        answer = json.loads(text)["choices"][0]["text"]
        return "done", "", answer != expected, False

    def _check_stream(self, text: str, expected: str) -> tuple[str, str, bool, bool]:
        events = [part[6:] for part in text.split("\n\n") if part]
        if events and events[-1] == "[DONE]":
            words = "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])
            return "done", "", words != expected, False
        last = json.loads(events[-1]) if events else {}
        error = last.get("error", {"outcome": NO_ANSWER, "type": "cut"})
        return error["outcome"], error["type"], False, "error" not in last


class Chaos:
    """The sequence of faults."""

    def __init__(self, cluster: Cluster, http: ClientSession, load: Load) -> None:
        self._cluster = cluster
        self._http = http
        self._load = load
        self.cut_in_planned_stops = 0
        self.takeover_times: list[float] = []
        self.statuses: list[int] = []

    async def run(self) -> None:
        """Inject all faults, one after the other."""
        for work in (
            self.kill_daemon,
            self.freeze_daemon,
            self.restart_engines,
            self.hang_engine,
            self.stop_objects,
            self.slow_weights,
            self.shift_popularity,
            self.replace_all,
            self.kill_two,
        ):
            click.echo(f"chaos: {work.__name__.replace('_', ' ')}", err=True)
            await work()
            await asyncio.sleep(2.0)

    async def kill_daemon(self, number: int = 1) -> None:
        """Kill a daemon; measure the time until its endpoints have new leaders."""
        led = await self._list_leading(number)
        self._cluster.kill(f"vm-{number}")
        begin = time.monotonic()
        if led and await self._wait_for_leaders(led, without=number):
            self.takeover_times.append(time.monotonic() - begin)
        self._cluster.start_daemon(number)
        await asyncio.sleep(2.0)

    async def _list_leading(self, number: int) -> set[str]:
        url = f"{self._cluster.operators_url(number)}/state/leaders"
        try:
            async with self._http.get(url, timeout=ClientTimeout(total=1)) as answer:
                rows = (await answer.json())["rows"]
        except (ClientError, TimeoutError, OSError):
            return set()
        return {row["endpoint"] for row in rows if row["acts"]}

    async def _wait_for_leaders(self, endpoints: set[str], without: int) -> bool:
        others = [number for number in range(DAEMONS) if number != without]
        for _ in range(300):
            led = await asyncio.gather(
                *(self._list_leading(number) for number in others)
            )
            if endpoints <= set().union(*led):
                return True
            await asyncio.sleep(0.05)
        return False

    async def freeze_daemon(self, number: int = 2) -> None:
        """Suspend a daemon for longer than its lease, then resume it."""
        self._cluster.signal(f"vm-{number}", signal.SIGSTOP)
        await asyncio.sleep(FREEZE_DURATION)
        self._cluster.signal(f"vm-{number}", signal.SIGCONT)
        await asyncio.sleep(2.0)

    async def restart_engines(self) -> None:
        """Restart two engines with nothing loaded."""
        for number in (0, 3):
            url = f"{self._cluster.url(f'engine-{number}')}/restart"
            async with self._http.post(url) as answer:
                answer.raise_for_status()
            await asyncio.sleep(1.0)

    async def hang_engine(self) -> None:
        """Make an engine hang with its sockets open."""
        url = self._cluster.url("engine-1")
        await set_faults(self._http, url, hang=True)
        await asyncio.sleep(4.0)
        await set_faults(self._http, url, hang=False)

    async def stop_objects(self) -> None:
        """Make the object API unavailable, then lose answers."""
        url = self._cluster.url("objects")
        await set_faults(self._http, url, down=True)
        await asyncio.sleep(5.0)
        await set_faults(self._http, url, down=False, lose_answers=0.5)
        await asyncio.sleep(3.0)
        await set_faults(self._http, url, lose_answers=0.0)

    async def slow_weights(self) -> None:
        """Make the weight store slow, then unavailable."""
        url = self._cluster.url("weights")
        await set_faults(self._http, url, slow=3.0)
        await asyncio.sleep(3.0)
        await set_faults(self._http, url, down=True, slow=1.0)
        await asyncio.sleep(3.0)
        await set_faults(self._http, url, down=False)

    async def shift_popularity(self) -> None:
        """Shift the popularity to rarely used adapters."""
        self._load.most_popular = ADAPTERS // 2

    async def replace_all(self) -> None:
        """Stop each daemon as planned and start an empty one in its place."""
        for number in range(DAEMONS):
            before = len(self._load.results)
            name = f"vm-{number}"
            self.statuses.append(await self._cluster.stop_planned(name))
            cut = [r for r in self._load.results[before:] if r.is_cut]
            self.cut_in_planned_stops += len(cut)
            self._cluster.start_daemon(number)
            async with asyncio.timeout(15):
                url = f"{self._cluster.operators_url(number)}/ready"
                await wait_for_answer(self._http, url)
            await asyncio.sleep(1.0)

    async def kill_two(self) -> None:
        """Kill two daemons at once."""
        for number in (0, 3):
            self._cluster.kill(f"vm-{number}")
        await asyncio.sleep(4.0)
        for number in (0, 3):
            self._cluster.start_daemon(number)
        await asyncio.sleep(2.0)


async def write_configuration(cluster: Cluster, http: ClientSession) -> None:
    """Write the configuration directly to the object API."""

    async def put(of_kind: str, name: str, /, **value: Any) -> None:
        stored = {
            "by": "chaos",
            "at": 0.0,
            "change": name,
            "value": {"name": name, **value},
        }
        url = f"{cluster.url('objects')}/object"
        query = {"key": f"config/{of_kind}/{name}"}
        async with http.put(url, params=query, json={"value": stored}) as answer:
            answer.raise_for_status()

    for number in range(ENGINES):
        name = f"engine-{number}"
        await put(
            "endpoint",
            name,
            kind="engine",
            url=cluster.url(name),
            data_centre=cluster.data_centre(number),
            model=MODEL,
            slots=4,
            batch_limit=8,
        )
    for number in range(SERVICES):
        name = f"service-{number}"
        await put(
            "endpoint",
            name,
            kind="service",
            url=cluster.url(name),
            data_centre=cluster.data_centre(number),
            prefix="/ledger",
            batch_limit=64,
        )
    for number in range(ADAPTERS):
        await put("adapter", f"a{number}", model=MODEL, versions=[1], current=1)
    digests = [digest_key(KEY)]
    await put(
        "caller",
        "chaos",
        key_digests=digests,
        requests_per_second=10_000,
        concurrent=1000,
    )
    await put("rule", "all", caller="chaos", adapter="*", effect="allow")


@dataclass(frozen=True)
class Counts:
    """Counts of runs and violations at the endpoints."""

    runs: Counter[str]
    unloaded_in_use: int


async def fetch_counts(cluster: Cluster, http: ClientSession) -> Counts:
    """Return the totals of the endpoints' counts."""
    runs: Counter[str] = Counter()
    violations = 0
    names = [f"engine-{n}" for n in range(ENGINES)]
    names += [f"service-{n}" for n in range(SERVICES)]
    for name in names:
        async with http.get(f"{cluster.url(name)}/counts") as answer:
            plain = await answer.json()
        runs.update(plain["runs"])
        violations += plain.get("violations", {}).get("unloaded_in_use", 0)
    return Counts(runs=runs, unloaded_in_use=violations)


def report(load: Load, chaos: Chaos, counts: Counts) -> bool:
    """Print the metrics; return whether all promises were kept."""
    results = load.results
    outcomes = Counter(result.outcome for result in results)
    reasons = Counter(r.reason for r in results if r.outcome != "done")
    wrong = sum(result.wrong for result in results)
    doubled = sum(
        r.unrepeatable and counts.runs[f"chaos:{r.request}"] > 1 for r in results
    )
    false_not_run = sum(
        r.outcome == "not_run" and counts.runs[f"chaos:{r.request}"] > 0
        for r in results
    )
    done = [result.took for result in results if result.outcome == "done"]
    click.echo(f"refusals and failures by reason: {dict(reasons)}")
    click.echo(
        f"availability {len(done) / len(results):.4f}; "
        f"seconds to a whole answer: median {statistics.median(done):.3f}, "
        f"p95 {statistics.quantiles(done, n=20)[-1]:.3f}; "
        f"take-over seconds: {[round(each, 2) for each in chaos.takeover_times]}"
    )
    click.echo(
        f"planned stops: exit statuses {chaos.statuses}, "
        f"answers cut {chaos.cut_in_planned_stops}; "
        f"adapters unloaded in use {counts.unloaded_in_use}"
    )
    click.echo(
        f"chaos: requests {len(results)}, done {outcomes['done']}, "
        f"not_run {outcomes['not_run']}, "
        f"unknown {outcomes['unknown'] + outcomes[NO_ANSWER]}, wrong {wrong}, "
        f"doubled {doubled}, false not_run {false_not_run}"
    )
    broken = wrong + doubled + false_not_run + counts.unloaded_in_use
    broken += chaos.cut_in_planned_stops + sum(chaos.statuses)
    return broken == 0


async def run_chaos(directory: Path, base_port: int, rate: float) -> bool:
    """Run the load and the faults; return whether all promises were kept."""
    spec = ClusterSpec(
        directory=directory,
        base_port=base_port,
        daemons=DAEMONS,
        engines=ENGINES,
        services=SERVICES,
    )
    cluster = Cluster(spec)
    connector = TCPConnector(limit=0, force_close=True)
    try:
        await cluster.start()
        async with ClientSession(
            connector=connector,
            timeout=ClientTimeout(total=30),
        ) as http:
            await write_configuration(cluster, http)
            await asyncio.sleep(4.0)
            load = Load(cluster, http, rate)
            sending = asyncio.create_task(load.run())
            watching = asyncio.create_task(load.watch_ready())
            chaos = Chaos(cluster, http, load)
            await chaos.run()
            load.running = False
            await sending
            watching.cancel()
            counts = await fetch_counts(cluster, http)
        await cluster.stop()
        return report(load, chaos, counts)
    finally:
        cluster.kill_all()


@click.command()
@click.option("--base-port", default=21_000)
@click.option("--rate", default=40.0, help="Requests a second.")
@click.option("--keep", type=click.Path(path_type=Path), default=None)
def main(base_port: int, rate: float, keep: Path | None) -> None:
    """Run daemon processes under load and faults."""
    with tempfile.TemporaryDirectory() as directory:
        passed = asyncio.run(run_chaos(keep or Path(directory), base_port, rate))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
