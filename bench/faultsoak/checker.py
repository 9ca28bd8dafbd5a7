"""What clients and endpoints see, held against the promises of docs/PROMISES.md."""

import asyncio
import contextlib
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

from aiohttp import ClientError, ClientPayloadError, ClientSession, ClientTimeout

from bench.faultsoak.organisations import (
    LIMITED,
    MAX_PER_WINDOW,
    QUOTA_WINDOW,
    REVOCATION,
    STEADY,
)
from bench.faultsoak.system import Daemon, SoakEndpoint, SoakSystem
from bench.fleet_demo import BOUNDS, HOST_NAME, MODEL, read_events
from standins.platform_engine import EVENTS

OK: Final = 200
# A request may end so many engines, and so many more once all can know.
MAX_ENGINE_CRASHES: Final = 3
# What a refusal says of a request that ends engines.
STOPPED_TEXT: Final = "ended under it"
PROMISES_NOT_RUN: Final = frozenset({408, 421, 429, 503})
TIMEOUT: Final = 8.0
MIN_LEASE_GAP: Final = BOUNDS["LeaseMs"] / 1000
DRAIN_TIME: Final = BOUNDS["DrainMs"] / 1000
CONFIGURATION_BOUND: Final = BOUNDS["ConfigurationMs"] / 1000
# Bounds hold after so much time without disturbance, before and throughout.
UNDISTURBED_TIME: Final = 3.0
# A limit that an endpoint names bounds the calls of all daemons in any such window.
LIMIT_WINDOW: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_ALLOWANCE: Final = 5
# What the machine under the soak may be late by.
SLACK: Final = 0.5
# Orders of a daemon just let go on, or over a path just healed, do not count.
RESUME_GRACE: Final = 0.6


@dataclass
class RequestRecord:
    """One request and what came of it; ``status`` 0 means no answer."""

    id: str
    daemon: Daemon
    boot: int
    path: str
    adapter: str
    key: str
    began: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    reason: str = ""


@dataclass
class Checker:
    """Sends requests, keeps what came of them, and says what was broken."""

    system: SoakSystem
    records: list[RequestRecord] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    # When something disturbed the system: its beginning and end.
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    stops: list[tuple[Daemon, float, float]] = field(default_factory=list)
    healed: list[float] = field(default_factory=list)
    poison_count: int = 0
    # The newest configuration that each process was seen to act upon.
    seen_versions: dict[tuple[str, int], int] = field(default_factory=dict)

    def is_undisturbed(self, begin: float, end: float) -> bool:
        """Tell whether nothing disturbed the system around a span."""
        return not any(
            b < end and e > begin - UNDISTURBED_TIME for b, e in self.disturbances
        )

    async def send(
        self,
        http: ClientSession,
        daemon: Daemon,
        path: str,
        adapter: str = "",
        key: str = "",
    ) -> RequestRecord:
        """Send one request, and check what its answer says."""
        clock = asyncio.get_running_loop().time
        name = f"s{len(self.records)}"
        key = key or self.system.keys.current[STEADY]
        record = RequestRecord(
            name, daemon, daemon.boots, f"{path}{name}", adapter, key, clock()
        )
        self.records.append(record)
        headers = {"Host": HOST_NAME, "X-Request-Id": name, "X-Credential": key}
        if adapter:
            headers["X-Model-Name"] = f"{MODEL}/{adapter}"
        try:
            async with http.post(
                f"{daemon.url}{record.path}",
                headers=headers,
                data=b"x",
                timeout=ClientTimeout(total=TIMEOUT),
            ) as answer:
                record.status = answer.status
                text = await answer.text()
                record.whole = True
                record.reason = text if answer.status != OK else ""
        except ClientPayloadError:
            record.whole = False
        except (TimeoutError, ClientError, OSError):
            record.status = 0
        record.ended = clock()
        if record.status == 200 and record.whole:
            self._check_answer(record, answer.headers.get("X-Request-Id"), text)
        return record

    def _check_answer(
        self, record: RequestRecord, answered: str | None, text: str
    ) -> None:
        if answered != record.id:
            self.problems.append(f"{record.id} got the answer of {answered}")
        if not record.adapter:
            if text != f"POST {record.path} 1":
                self.problems.append(f"{record.id} got {text!r} for {record.path}")
            return
        events = read_events(text)
        if [each["number"] for each in events] != list(range(1, EVENTS + 1)):
            self.problems.append(f"{record.id}: events {text!r}")
        ran = {each["ran"].partition("@")[0] for each in events}
        if ran != {record.adapter}:
            self.problems.append(f"{record.id} for {record.adapter} was run by {ran}")

    async def probe_configuration(self, http: ClientSession, daemon: Daemon) -> None:
        """Ask on the newest configuration's own route, and judge the answer."""
        version, since = self.system.version, self.system.configured_at
        record = await self.send(http, daemon, f"/v{version}/")
        boot = (daemon.vm, record.boot)
        if record.status == 404 and self.system.version == version:
            late = record.began > since + CONFIGURATION_BOUND + SLACK
            if self.seen_versions.get(boot, 0) >= version:
                self.problems.append(f"{daemon.vm} went back from version {version}")
            elif late and self.is_undisturbed(since, record.ended):
                self.problems.append(f"{daemon.vm} lacks version {version}")
        elif record.status == 200:
            self.seen_versions[boot] = max(version, self.seen_versions.get(boot, 0))

    def check_final(self) -> None:
        """Judge what only the whole soak can tell."""
        endpoints = self.system.all_endpoints
        self.problems.extend(self.system.unexpected_exits)
        self._check_runs(endpoints)
        self._check_keys(endpoints)
        self._check_quota(endpoints)
        for endpoint in endpoints:
            self._check_orders(endpoint)
            self._check_leaving(endpoint)
        self._check_stops()
        self._check_poison(endpoints)

    async def send_poison(self, http: ClientSession, daemon: Daemon, body: str) -> None:
        """Send a request that ends the engine that begins to run it."""
        key = self.system.keys.current[STEADY]
        self.poison_count += 1
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"d{self.poison_count}",
            "X-Credential": key,
            "X-Model-Name": f"{MODEL}/a1",
        }
        with contextlib.suppress(TimeoutError, ClientError, OSError):
            async with http.post(
                f"{daemon.url}/models/deadly",
                headers=headers,
                data=body.encode(),
                timeout=ClientTimeout(total=TIMEOUT),
            ) as answer:
                await answer.read()

    def _check_poison(self, endpoints: list[SoakEndpoint]) -> None:
        """Check that what ends engines is stopped, and nothing else."""
        runs: dict[str, list[float]] = {}
        for endpoint in endpoints:
            for body, times in endpoint.engine.poison_runs.items():
                runs.setdefault(body, []).extend(times)
        for body, times in runs.items():
            times.sort()
            third = times[MAX_ENGINE_CRASHES - 1 : MAX_ENGINE_CRASHES]
            late = [at for at in times if third and at > third[0] + UNDISTURBED_TIME]
            counted = [at for at in late if self.is_undisturbed(at, at)]
            if len(counted) > MAX_ENGINE_CRASHES:
                self.problems.append(f"{body} ended {len(times)}, {len(late)} late")
        for record in self.records:
            if STOPPED_TEXT in record.reason:
                self.problems.append(f"{record.id} was stopped: {record.reason}")

    def _check_runs(self, endpoints: list[SoakEndpoint]) -> None:
        runs: Counter[str] = Counter()
        for endpoint in endpoints:
            runs.update(endpoint.engine.runs)
        for record in self.records:
            if record.status in PROMISES_NOT_RUN and runs[record.id]:
                self.problems.append(f"{record.id}: {record.status}, but it ran")
            if not record.adapter and runs[record.id] > 1:
                self.problems.append(f"{record.id} ran {runs[record.id]} times")

    def must_be_served(self, record: RequestRecord) -> bool:
        """Tell whether a request is to be served: with a key, and within its quota."""
        keys = self.system.keys
        limited = keys.holders[record.key] == LIMITED
        probes = record.path.startswith("/v")
        return not probes and not limited and record.key not in keys.revoked_at

    def _check_keys(self, endpoints: list[SoakEndpoint]) -> None:
        """Check whose requests ran, and that none did past its key's bound."""
        keys = self.system.keys
        for record in self.records:
            holder = keys.holders[record.key]
            revoked_at = keys.revoked_at.get(record.key, float("inf"))
            for endpoint in endpoints:
                engine = endpoint.engine
                if record.id not in engine.runs:
                    continue
                if engine.organisations[record.id] != [holder]:
                    named = engine.organisations[record.id]
                    self.problems.append(f"{record.id} of {holder} ran for {named}")
                if record.began > revoked_at + REVOCATION:
                    late = record.began - revoked_at
                    self.problems.append(
                        f"{record.id} ran {late:.2f} s without its key"
                    )
            good = record.key not in keys.revoked_at
            if (
                good
                and record.status == 401
                and record.began > self._compute_known_at(record.key)
            ):
                self.problems.append(f"{record.id}: 401 for a good key")
        for endpoint in endpoints:
            for name in endpoint.engine.requests_with_key:
                self.problems.append(f"{name} was handed on with its key")

    def _compute_known_at(self, key: str) -> float:
        """Return from when a key that was given is known to all in touch."""
        return self.system.keys.issued_at.get(key, 0.0) + CONFIGURATION_BOUND + SLACK

    def _check_quota(self, endpoints: list[SoakEndpoint]) -> None:
        holders = self.system.keys.holders
        limited = {
            record.id for record in self.records if holders[record.key] == LIMITED
        }
        ran = sorted(
            at
            for endpoint in endpoints
            for name, at in endpoint.engine.run_times.items()
            if name in limited
        )
        for number, at in enumerate(ran):
            in_window = number + 1 - bisect_left(ran, at - QUOTA_WINDOW)
            if in_window > MAX_PER_WINDOW:
                self.problems.append(f"{in_window} ran of a quota of {LIMITED}")
                return

    def _check_orders(self, endpoint: SoakEndpoint) -> None:
        engine = endpoint.engine
        if engine.overload_restarts:
            self.problems.append(f"{engine.id} was ordered beyond its places")
        orders = list(zip(engine.order_times, engine.holders, strict=True))
        for (at, (holder, fence)), (later, (next_holder, next_fence)) in pairwise(
            orders
        ):
            if any(0 <= later - healed < RESUME_GRACE for healed in self.healed):
                continue
            if next_fence < fence:
                self.problems.append(f"{engine.id}: number {next_fence} after {fence}")
            if next_holder != holder and next_fence == fence:
                self.problems.append(f"{engine.id}: number {fence} of two holders")
            if next_holder != holder and later - at < MIN_LEASE_GAP:
                self.problems.append(
                    f"{engine.id}: {next_holder} {later - at:.2f} s after {holder}"
                )

    def _check_leaving(self, endpoint: SoakEndpoint) -> None:
        if endpoint.leaving_at is not None:
            last = endpoint.leaving_at + DRAIN_TIME + SLACK
            for name, at in endpoint.engine.run_times.items():
                if at > last and self.is_undisturbed(endpoint.leaving_at, at):
                    self.problems.append(f"{name} ran at a leaving endpoint")

        if endpoint.announced_at is None:
            return
        # Daemons learn of it from the first answer, theirs or another's.
        answered = [
            at for at in endpoint.engine.arrivals if at >= endpoint.announced_at
        ]
        last = min(answered, default=0.0) + DRAIN_TIME + SLACK
        for at in answered:
            if at > last and self.is_undisturbed(endpoint.announced_at, at):
                self.problems.append(f"{endpoint.engine.id}: asked though it leaves")

    def check_backoff(self, endpoint: SoakEndpoint, began: float, booted: int) -> None:
        """Check that an endpoint that asked for rest got it.

        Each process learns of it by a request of its own, or two sent at once.
        """
        arrivals = [at for at in endpoint.engine.arrivals if at > began + SLACK]
        allowed = 2 * (len(self.system.daemons) + booted)
        if len(arrivals) > allowed:
            self.problems.append(
                f"{endpoint.engine.id}: asked {len(arrivals)} times while it rested"
            )

    def check_limit(
        self, endpoint: SoakEndpoint, limit: float, began: float, ended: float
    ) -> None:
        """Check that what all daemons called kept a limit, in any window.

        Only where all were in touch throughout, and had heard of it before.
        """
        calls = [
            at for at in endpoint.engine.calls if began + UNDISTURBED_TIME < at < ended
        ]
        for number, at in enumerate(calls):
            since = max(at - LIMIT_WINDOW, began + UNDISTURBED_TIME)
            in_window = number + 1 - bisect_left(calls, since)
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_ALLOWANCE
            if in_window > allowed and self.is_undisturbed(since, at):
                self.problems.append(
                    f"{endpoint.engine.id}: called {in_window} times of {allowed:.0f}"
                )
                return

    def _check_stops(self) -> None:
        for daemon, began, ended in self.stops:
            others = [span for span in self.disturbances if span != (began, ended)]
            if any(b < ended and e > began - UNDISTURBED_TIME for b, e in others):
                continue
            cut = [
                record.id
                for record in self.records
                if record.daemon is daemon
                and record.status != 404
                and not record.whole
                and record.began < began
                and record.ended > began
            ]
            if cut:
                self.problems.append(f"{daemon.vm} cut {cut} in its planned stop")
