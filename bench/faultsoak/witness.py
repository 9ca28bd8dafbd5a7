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
    MOST_IN_A_WINDOW,
    QUOTA_WINDOW,
    REVOCATION,
    STEADY,
)
from bench.faultsoak.system import Daemon, SoakEndpoint, SoakSystem
from bench.fleet_demo import BOUNDS, HOST_NAME, MODEL, read_events
from standins.platform_engine import EVENTS

OK: Final = 200
# A request may end so many engines, and so many more once all can know.
ENDS_ALLOWED: Final = 3
# What a refusal says of a request that ends engines.
STOPPED: Final = "ended under it"
PROMISES_NOT_RUN: Final = frozenset({408, 421, 429, 503})
TIMEOUT: Final = 8.0
LEASE_APART: Final = BOUNDS["LeaseMs"] / 1000
DRAIN: Final = BOUNDS["DrainMs"] / 1000
CONFIGURATION: Final = BOUNDS["ConfigurationMs"] / 1000
# Bounds hold after so much time without disturbance, before and throughout.
CALM: Final = 3.0
# A limit that an endpoint names bounds the calls of all daemons in any such window.
LIMIT_WINDOW: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_MORE: Final = 5
# What the machine under the soak may be late by.
SLACK: Final = 0.5
# Orders of a daemon just let go on, or over a path just healed, do not count.
THAW: Final = 0.6


@dataclass
class Ask:
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
class Witness:
    """Sends requests, keeps what came of them, and says what was broken."""

    system: SoakSystem
    asks: list[Ask] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    # When something disturbed the system: its beginning and end.
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    stops: list[tuple[Daemon, float, float]] = field(default_factory=list)
    healed: list[float] = field(default_factory=list)
    deadly: int = 0
    # The newest configuration that each process was seen to act upon.
    seen: dict[tuple[str, int], int] = field(default_factory=dict)

    def is_calm(self, begin: float, end: float) -> bool:
        """Tell whether nothing disturbed the system around a span."""
        return not any(b < end and e > begin - CALM for b, e in self.disturbed)

    async def ask(
        self,
        http: ClientSession,
        daemon: Daemon,
        path: str,
        adapter: str = "",
        key: str = "",
    ) -> Ask:
        """Send one request, and check what its answer says."""
        clock = asyncio.get_running_loop().time
        name = f"s{len(self.asks)}"
        key = key or self.system.keys.current[STEADY]
        ask = Ask(name, daemon, daemon.boots, f"{path}{name}", adapter, key, clock())
        self.asks.append(ask)
        headers = {"Host": HOST_NAME, "X-Request-Id": name, "X-Credential": key}
        if adapter:
            headers["X-Model-Name"] = f"{MODEL}/{adapter}"
        try:
            async with http.post(
                f"{daemon.url}{ask.path}",
                headers=headers,
                data=b"x",
                timeout=ClientTimeout(total=TIMEOUT),
            ) as answer:
                ask.status = answer.status
                text = await answer.text()
                ask.whole = True
                ask.reason = text if answer.status != OK else ""
        except ClientPayloadError:
            ask.whole = False
        except (TimeoutError, ClientError, OSError):
            ask.status = 0
        ask.ended = clock()
        if ask.status == 200 and ask.whole:
            self._check_answer(ask, answer.headers.get("X-Request-Id"), text)
        return ask

    def _check_answer(self, ask: Ask, answered: str | None, text: str) -> None:
        if answered != ask.id:
            self.problems.append(f"{ask.id} got the answer of {answered}")
        if not ask.adapter:
            if text != f"POST {ask.path} 1":
                self.problems.append(f"{ask.id} got {text!r} for {ask.path}")
            return
        events = read_events(text)
        if [each["number"] for each in events] != list(range(1, EVENTS + 1)):
            self.problems.append(f"{ask.id}: events {text!r}")
        ran = {each["ran"].partition("@")[0] for each in events}
        if ran != {ask.adapter}:
            self.problems.append(f"{ask.id} for {ask.adapter} was run by {ran}")

    async def probe_configuration(self, http: ClientSession, daemon: Daemon) -> None:
        """Ask on the newest configuration's own route, and judge the answer."""
        version, since = self.system.version, self.system.configured_at
        ask = await self.ask(http, daemon, f"/v{version}/")
        boot = (daemon.vm, ask.boot)
        if ask.status == 404 and self.system.version == version:
            late = ask.began > since + CONFIGURATION + SLACK
            if self.seen.get(boot, 0) >= version:
                self.problems.append(f"{daemon.vm} went back from version {version}")
            elif late and self.is_calm(since, ask.ended):
                self.problems.append(f"{daemon.vm} lacks version {version}")
        elif ask.status == 200:
            self.seen[boot] = max(version, self.seen.get(boot, 0))

    def check_end(self) -> None:
        """Judge what only the whole soak can tell."""
        endpoints = self.system.every_endpoint
        self.problems.extend(self.system.odd_ends)
        self._check_runs(endpoints)
        self._check_keys(endpoints)
        self._check_quota(endpoints)
        for endpoint in endpoints:
            self._check_orders(endpoint)
            self._check_leaving(endpoint)
        self._check_stops()
        self._check_poison(endpoints)

    async def ask_deadly(self, http: ClientSession, daemon: Daemon, body: str) -> None:
        """Send a request that ends the engine that begins to run it."""
        key = self.system.keys.current[STEADY]
        self.deadly += 1
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"d{self.deadly}",
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
            for body, times in endpoint.engine.deadly_runs.items():
                runs.setdefault(body, []).extend(times)
        for body, times in runs.items():
            times.sort()
            third = times[ENDS_ALLOWED - 1 : ENDS_ALLOWED]
            late = [at for at in times if third and at > third[0] + CALM]
            counted = [at for at in late if self.is_calm(at, at)]
            if len(counted) > ENDS_ALLOWED:
                self.problems.append(f"{body} ended {len(times)}, {len(late)} late")
        for ask in self.asks:
            if STOPPED in ask.reason:
                self.problems.append(f"{ask.id} was stopped: {ask.reason}")

    def _check_runs(self, endpoints: list[SoakEndpoint]) -> None:
        runs: Counter[str] = Counter()
        for endpoint in endpoints:
            runs.update(endpoint.engine.runs)
        for ask in self.asks:
            if ask.status in PROMISES_NOT_RUN and runs[ask.id]:
                self.problems.append(f"{ask.id}: {ask.status}, but it ran")
            if not ask.adapter and runs[ask.id] > 1:
                self.problems.append(f"{ask.id} ran {runs[ask.id]} times")

    def is_owed(self, ask: Ask) -> bool:
        """Tell whether a request is to be served: with a key, and within its quota."""
        keys = self.system.keys
        limited = keys.holders[ask.key] == LIMITED
        probes = ask.path.startswith("/v")
        return not probes and not limited and ask.key not in keys.taken_at

    def _check_keys(self, endpoints: list[SoakEndpoint]) -> None:
        """Check whose requests ran, and that none did past its key's bound."""
        keys = self.system.keys
        for ask in self.asks:
            holder = keys.holders[ask.key]
            taken_at = keys.taken_at.get(ask.key, float("inf"))
            for endpoint in endpoints:
                engine = endpoint.engine
                if ask.id not in engine.runs:
                    continue
                if engine.organisations[ask.id] != [holder]:
                    named = engine.organisations[ask.id]
                    self.problems.append(f"{ask.id} of {holder} ran for {named}")
                if ask.began > taken_at + REVOCATION:
                    late = ask.began - taken_at
                    self.problems.append(f"{ask.id} ran {late:.2f} s without its key")
            good = ask.key not in keys.taken_at
            if good and ask.status == 401 and ask.began > self._find_known(ask.key):
                self.problems.append(f"{ask.id}: 401 for a good key")
        for endpoint in endpoints:
            for name in endpoint.engine.keyed:
                self.problems.append(f"{name} was handed on with its key")

    def _find_known(self, key: str) -> float:
        """Return from when a key that was given is known to all in touch."""
        return self.system.keys.given_at.get(key, 0.0) + CONFIGURATION + SLACK

    def _check_quota(self, endpoints: list[SoakEndpoint]) -> None:
        holders = self.system.keys.holders
        limited = {ask.id for ask in self.asks if holders[ask.key] == LIMITED}
        ran = sorted(
            at
            for endpoint in endpoints
            for name, at in endpoint.engine.run_times.items()
            if name in limited
        )
        for number, at in enumerate(ran):
            in_window = number + 1 - bisect_left(ran, at - QUOTA_WINDOW)
            if in_window > MOST_IN_A_WINDOW:
                self.problems.append(f"{in_window} ran of a quota of {LIMITED}")
                return

    def _check_orders(self, endpoint: SoakEndpoint) -> None:
        engine = endpoint.engine
        if engine.falls:
            self.problems.append(f"{engine.id} was ordered beyond its places")
        orders = list(zip(engine.order_times, engine.holders, strict=True))
        for (at, (holder, fence)), (later, (next_holder, next_fence)) in pairwise(
            orders
        ):
            if any(0 <= later - healed < THAW for healed in self.healed):
                continue
            if next_fence < fence:
                self.problems.append(f"{engine.id}: number {next_fence} after {fence}")
            if next_holder != holder and next_fence == fence:
                self.problems.append(f"{engine.id}: number {fence} of two holders")
            if next_holder != holder and later - at < LEASE_APART:
                self.problems.append(
                    f"{engine.id}: {next_holder} {later - at:.2f} s after {holder}"
                )

    def _check_leaving(self, endpoint: SoakEndpoint) -> None:
        if endpoint.leaving_at is not None:
            last = endpoint.leaving_at + DRAIN + SLACK
            for name, at in endpoint.engine.run_times.items():
                if at > last and self.is_calm(endpoint.leaving_at, at):
                    self.problems.append(f"{name} ran at a leaving endpoint")

        if endpoint.said_at is None:
            return
        # Daemons learn of it from the first answer, theirs or another's.
        answered = [at for at in endpoint.engine.arrivals if at >= endpoint.said_at]
        last = min(answered, default=0.0) + DRAIN + SLACK
        for at in answered:
            if at > last and self.is_calm(endpoint.said_at, at):
                self.problems.append(f"{endpoint.engine.id}: asked though it leaves")

    def check_rest(self, endpoint: SoakEndpoint, began: float, booted: int) -> None:
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
        calls = [at for at in endpoint.engine.calls if began + CALM < at < ended]
        for number, at in enumerate(calls):
            since = max(at - LIMIT_WINDOW, began + CALM)
            in_window = number + 1 - bisect_left(calls, since)
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_MORE
            if in_window > allowed and self.is_calm(since, at):
                self.problems.append(
                    f"{endpoint.engine.id}: called {in_window} times of {allowed:.0f}"
                )
                return

    def _check_stops(self) -> None:
        for daemon, began, ended in self.stops:
            others = [span for span in self.disturbed if span != (began, ended)]
            if any(b < ended and e > began - CALM for b, e in others):
                continue
            cut = [
                ask.id
                for ask in self.asks
                if ask.daemon is daemon
                and ask.status != 404
                and not ask.whole
                and ask.began < began
                and ask.ended > began
            ]
            if cut:
                self.problems.append(f"{daemon.vm} cut {cut} in its planned stop")
