"""Checks what clients and endpoints see against the promises of docs/PROMISES.md."""

import asyncio
import contextlib
from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

from aiohttp import ClientError, ClientPayloadError, ClientSession, ClientTimeout

from bench.faultsoak.contact import ContactRecord
from bench.faultsoak.organisations import (
    LIMITED,
    MAX_PER_WINDOW,
    QUOTA_WINDOW,
    REVOCATION,
    STEADY,
)
from bench.faultsoak.system import Daemon, SoakEndpoint, SoakSystem
from bench.fleet_demo import BOUNDS, HOST_NAME, MODEL, read_events
from kestreltally.entry.answer_head import InvalidHead
from standins.broken_heads import MARK
from standins.platform_engine import EVENTS

OK: Final = 200
BAD_GATEWAY: Final = 502
# Engines that a request may crash before it must be known as poison, and engines that
# it may crash after that.
MAX_ENGINE_CRASHES: Final = 3
# Text in the refusal of a poison request.
STOPPED_TEXT: Final = "ended under"
PROMISES_NOT_RUN: Final = frozenset({408, 421, 429, 503})
# Delay before a client comes back after such a status, seconds.
COME_BACK_DELAY: Final = 0.05
TIMEOUT: Final = 8.0
MIN_LEASE_GAP: Final = BOUNDS["LeaseMs"] / 1000
DRAIN_TIME: Final = BOUNDS["DrainMs"] / 1000
CONFIGURATION_BOUND: Final = BOUNDS["ConfigurationMs"] / 1000
# Bounds apply where nothing was disturbed for this long before, and throughout.
UNDISTURBED_TIME: Final = 3.0
# The rate limit of an endpoint bounds the calls of all daemons in any such window.
LIMIT_WINDOW: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_ALLOWANCE: Final = 5
# Allowance for delays of the machine that runs the soak, seconds.
SLACK: Final = 0.5
# Orders are not checked for this long after a daemon is resumed or a path healed.
RESUME_GRACE: Final = 0.6


# Daemons that are cut off serve this part of what others do, unless few requests fail.
MIN_CUT_SERVED: Final = 2 / 3
MAX_CUT_FAILURES: Final = 10
MAX_CUT_FAILED_FRACTION: Final = 1 / 50

# Services, and the paths that only they serve.
SERVICE_PREFIXES: Final = {"models": ("/models/",), "plain": ("/plain/", "/v")}
POISONED_SERVICE: Final = "models"
RETRY_WINDOW: Final = BOUNDS["BudgetWindowS"]


def count_served(records: list["RequestRecord"]) -> int:
    """Return how many requests got a whole answer."""
    return sum(record.status == OK and record.whole for record in records)


def list_repeats(arrivals: list[tuple[float, str]]) -> list[float]:
    """Return the times of all arrivals but the first of each request."""
    seen: set[str] = set()
    repeats = []
    for at, name in arrivals:
        if name in seen:
            repeats.append(at)
        seen.add(name)
    return repeats


def find_excess(repeats: list[float], requests: list[float]) -> str | None:
    """Return a window with more repeats than allowed, None if there is none.

    The requests are those of the window, of the one before, or of the one half a
    window before, whichever has most.
    """
    for number, begin in enumerate(repeats):
        count = bisect_right(repeats, begin + RETRY_WINDOW) - number
        most = max(
            bisect_right(requests, begin + RETRY_WINDOW - shift)
            - bisect_left(requests, begin - shift)
            for shift in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
        )
        allowed = BOUNDS["BudgetRatio"] * most + BOUNDS["BudgetSlack"]
        if count > allowed:
            return f"{count} repeats in {RETRY_WINDOW} s, {allowed:.0f} allowed"
    return None


@dataclass(frozen=True)
class Cut:
    """A span in which some daemons reached no endpoint."""

    vms: frozenset[str]
    began: float
    ended: float


@dataclass(frozen=True)
class Silence:
    """A span in which sound endpoints of a service were silent."""

    service: str
    began: float
    ended: float

    def concerns(self, record: "RequestRecord") -> bool:
        """Return whether a request was under way meanwhile."""
        is_served = record.path.startswith(SERVICE_PREFIXES[self.service])
        return is_served and record.began < self.ended and record.ended > self.began


@dataclass
class RequestRecord:
    """One request and its result; ``status`` 0 means no answer."""

    id: str
    daemon: Daemon
    boot: int
    path: str
    adapter: str
    key: str
    began: float
    # The first attempt at what the client wants done once.
    wish: str = ""
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    reason: str = ""


@dataclass
class Checker:
    """Sends requests, records their results, and collects violations."""

    system: SoakSystem
    records: list[RequestRecord] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    # What the report tells besides the problems.
    notes: list[str] = field(default_factory=list)
    # Start and end of each disturbance of the system.
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    contact: ContactRecord = field(default_factory=ContactRecord)
    # Times at which open channels to the store fell silent.
    silences: list[float] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    silent_times: list[Silence] = field(default_factory=list)
    # Start and end of each step but those silences.
    other_steps: list[tuple[float, float]] = field(default_factory=list)
    stops: list[tuple[Daemon, float, float]] = field(default_factory=list)
    healed: list[float] = field(default_factory=list)
    poison_times: list[float] = field(default_factory=list)
    # Answers that hold events of two software versions.
    mixed: list[str] = field(default_factory=list)
    # Start times of the attempts of streams that clients leave and take up.
    stream_times: list[float] = field(default_factory=list)
    # The newest configuration that each process has been seen to apply.
    seen_versions: dict[tuple[str, int], int] = field(default_factory=dict)

    def is_undisturbed(self, begin: float, end: float) -> bool:
        """Return whether nothing disturbed the system in a span or shortly before."""
        return not any(
            b < end and e > begin - UNDISTURBED_TIME for b, e in self.disturbances
        )

    async def insist(
        self, http: ClientSession, daemon: Daemon, path: str, adapter: str, key: str
    ) -> None:
        """Send a request, and again after a promise that it has not run."""
        record = await self.send(http, daemon, path, adapter, key)
        if record.status in PROMISES_NOT_RUN and not adapter:
            await asyncio.sleep(COME_BACK_DELAY)
            await self.send(http, daemon, path, adapter, key, wish=record.id)

    async def send(
        self,
        http: ClientSession,
        daemon: Daemon,
        path: str,
        adapter: str = "",
        key: str = "",
        wish: str = "",
    ) -> RequestRecord:
        """Send one request and check its answer."""
        clock = asyncio.get_running_loop().time
        name = f"s{len(self.records)}"
        key = key or self.system.keys.current[STEADY]
        record = RequestRecord(
            name,
            daemon,
            daemon.boots,
            f"{path}{name}",
            adapter,
            key,
            clock(),
            wish or name,
        )
        self.records.append(record)
        headers = {"Host": HOST_NAME, "X-Request-Id": name, "X-Credential": key}
        if adapter:
            headers["X-Model-Name"] = f"{MODEL}/{adapter}"
            number = len(self.records)
            headers["X-Prompt-Prefix"] = f"f{number % 2}:9,c{number % 4}:9,{number}:9"
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
                if MARK in text:
                    self.problems.append(f"{name} got a broken answer: {text!r}")
        except InvalidHead as error:
            self.problems.append(f"{name} got a broken head: {error}")
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
            self.problems.append(f"{record.id} got the answer to {answered}")
        if not record.adapter:
            if text != f"POST {record.path} 1":
                self.problems.append(f"{record.id} got {text!r} for {record.path}")
            return
        events = read_events(text)
        if [each["number"] for each in events] != list(range(1, EVENTS + 1)):
            self.problems.append(f"{record.id}: events {text!r}")
        if len({each["software"] for each in events}) > 1:
            self.mixed.append(record.id)
        ran = {each["ran"].partition("@")[0] for each in events}
        if ran != {record.adapter}:
            self.problems.append(f"{record.id} for {record.adapter} was run by {ran}")

    async def probe_configuration(self, http: ClientSession, daemon: Daemon) -> None:
        """Request the probe route of the newest configuration and check the answer."""
        version, since = self.system.version, self.system.configured_at
        record = await self.send(http, daemon, f"/v{version}/")
        boot = (daemon.vm, record.boot)
        if record.status == 404 and self.system.version == version:
            late = record.began > since + CONFIGURATION_BOUND + SLACK
            if self.seen_versions.get(boot, 0) >= version:
                self.problems.append(
                    f"{daemon.vm} reverted from configuration {version}"
                )
            elif (
                late
                and self.is_undisturbed(since, record.ended)
                and not self._is_silenced(record)
            ):
                self.problems.append(
                    f"{daemon.vm} has not applied configuration {version}"
                )
        elif record.status == 200:
            self.seen_versions[boot] = max(version, self.seen_versions.get(boot, 0))

    def _is_silenced(self, record: RequestRecord) -> bool:
        """Return whether channels had fallen silent shortly before a request."""
        since = record.began - UNDISTURBED_TIME
        return any(since < at < record.ended for at in self.silences)

    def check_final(self) -> None:
        """Run the checks that need the records of the complete soak."""
        endpoints = self.system.all_endpoints
        self.problems.extend(self.system.unexpected_exits)
        self._check_runs(endpoints)
        if self.system.checks_keys:
            self._check_keys(endpoints)
            self._check_quota(endpoints)
        for endpoint in endpoints:
            self._check_orders(endpoint)
            self._check_departure(endpoint)
            self._check_leaving(endpoint)
        self._check_stops()
        for cut in self.cuts:
            self._check_cut(cut)
        self._check_poison(endpoints)
        self._check_retries(endpoints)
        self._check_silences()

    def _check_silences(self) -> None:
        """Check that no answer ends because sound endpoints are silent for a while."""
        answers = [
            record
            for record in self.records
            if any(silence.concerns(record) for silence in self.silent_times)
            and not any(
                began < record.ended and ended > record.began - UNDISTURBED_TIME
                for began, ended in self.other_steps
            )
        ]
        broken_off = [r.id for r in answers if r.status == OK and not r.whole]
        failed = [r.id for r in answers if r.status == BAD_GATEWAY]
        if self.silent_times:
            self.notes.append(
                f"silences {len(self.silent_times)}, answers under way in them and "
                f"nothing else {len(answers)}"
            )
        if broken_off or failed:
            self.problems.append(
                f"silences alone: broken off {broken_off}, failed {failed}"
            )

    def _check_retries(self, endpoints: list[SoakEndpoint]) -> None:
        """Check the bound on retries of all daemons, which holds in any window."""
        for service, prefixes in SERVICE_PREFIXES.items():
            arrivals = sorted(
                arrival
                for endpoint in endpoints
                if endpoint.engine.service == service
                for arrival in endpoint.engine.requests
            )
            requests = [r.began for r in self.records if r.path.startswith(prefixes)]
            if service == POISONED_SERVICE:
                requests.extend(self.poison_times)
                requests.extend(self.stream_times)
            worst = find_excess(list_repeats(arrivals), sorted(requests))
            if worst is not None:
                self.problems.append(f"{service}: {worst}")

    async def send_poison(self, http: ClientSession, daemon: Daemon, body: str) -> None:
        """Send a poison request, which crashes the engine that starts to run it."""
        key = self.system.keys.current[STEADY]
        self.poison_times.append(asyncio.get_running_loop().time())
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"d{len(self.poison_times)}",
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

    async def send_deadly_part(
        self, http: ClientSession, daemon: Daemon, parts: list[str]
    ) -> None:
        """Send a request with a part that crashes engines; its last part is its own."""
        self.poison_times.append(asyncio.get_running_loop().time())
        number = len(self.poison_times)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"p{number}",
            "X-Credential": self.system.keys.current[STEADY],
            "X-Model-Name": f"{MODEL}/a{number % 3 + 1}",
            "X-Prompt-Prefix": ",".join(f"{each}:9" for each in [*parts, f"{number}"]),
        }
        with contextlib.suppress(TimeoutError, ClientError, OSError):
            async with http.post(
                f"{daemon.url}/models/p{number}",
                headers=headers,
                data=f"{number}".encode(),
                timeout=ClientTimeout(total=TIMEOUT),
            ) as answer:
                await answer.read()

    def _check_poison(self, endpoints: list[SoakEndpoint]) -> None:
        """Check that poison requests are stopped and no other requests are."""
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
                self.problems.append(
                    f"{body} crashed {len(times)} engines, {len(late)} late"
                )
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
        wishes: Counter[str] = Counter()
        for record in self.records:
            if not record.adapter:
                wishes[record.wish] += runs[record.id]
        for wish, count in wishes.items():
            if count > 1:
                self.problems.append(f"{wish} ran {count} times, over all attempts")

    def must_be_served(self, record: RequestRecord) -> bool:
        """Return whether a request must be served: valid key, no quota, no probe."""
        keys = self.system.keys
        limited = keys.holders[record.key] == LIMITED
        probes = record.path.startswith("/v")
        return not probes and not limited and record.key not in keys.revoked_at

    def _check_keys(self, endpoints: list[SoakEndpoint]) -> None:
        """Check the organisation of each run, and that revoked keys are refused."""
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
                        f"{record.id} ran {late:.2f} s after its key was revoked"
                    )
            good = record.key not in keys.revoked_at
            if (
                good
                and record.status == 401
                and record.began > self._compute_known_at(record.key)
            ):
                self.problems.append(f"{record.id}: 401 for a valid key")
        for endpoint in endpoints:
            for name in endpoint.engine.requests_with_key:
                self.problems.append(f"{name} was forwarded with its key")

    def _compute_known_at(self, key: str) -> float:
        """Return the time by which all connected daemons must know an issued key."""
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
                self.problems.append(f"{in_window} runs in a quota window of {LIMITED}")
                return

    def _check_orders(self, endpoint: SoakEndpoint) -> None:
        engine = endpoint.engine
        if engine.overload_restarts:
            self.problems.append(
                f"{engine.id} was ordered to load more adapters than it has places"
            )
        orders = list(zip(engine.order_times, engine.holders, strict=True))
        for (at, (holder, fence)), (later, (next_holder, next_fence)) in pairwise(
            orders
        ):
            if any(0 <= later - healed < RESUME_GRACE for healed in self.healed):
                continue
            if next_fence < fence:
                self.problems.append(f"{engine.id}: fence {next_fence} after {fence}")
            if next_holder != holder and next_fence == fence:
                self.problems.append(f"{engine.id}: fence {fence} used by two holders")
            if next_holder != holder and later - at < MIN_LEASE_GAP:
                self.problems.append(
                    f"{engine.id}: {next_holder} {later - at:.2f} s after {holder}"
                )

    def _check_departure(self, endpoint: SoakEndpoint) -> None:
        """Check that no daemon in touch sent requests to an endpoint that had left."""
        left = [endpoint.leaving_at, endpoint.gone_at]
        left_at = min((each for each in left if each is not None), default=None)
        if left_at is None:
            return
        senders = {record.id: record.daemon.vm for record in self.records}
        for at, name in endpoint.engine.requests:
            vm = senders.get(name)
            if vm is None or at <= left_at + DRAIN_TIME:
                continue
            if self.contact.is_in_touch(vm, endpoint.engine.id, left_at, at):
                how = "left" if endpoint.leaving_at is not None else "gone"
                self.problems.append(
                    f"{name} of {vm} reached an endpoint {how} {at - left_at:.2f} s ago"
                )

    def _check_leaving(self, endpoint: SoakEndpoint) -> None:
        if endpoint.announced_at is None:
            return
        # Daemons learn of it from the first answer, to themselves or to another daemon.
        answered = [
            at for at in endpoint.engine.arrivals if at >= endpoint.announced_at
        ]
        last = min(answered, default=0.0) + DRAIN_TIME + SLACK
        for at in answered:
            if at > last and self.is_undisturbed(endpoint.announced_at, at):
                self.problems.append(
                    f"{endpoint.engine.id}: called although it is leaving"
                )

    def check_backoff(self, endpoint: SoakEndpoint, began: float, booted: int) -> None:
        """Check that an endpoint's backoff was respected.

        Each process learns of it by its own request, or by two sent concurrently.
        """
        arrivals = [at for at in endpoint.engine.arrivals if at > began + SLACK]
        allowed = 2 * (len(self.system.daemons) + booted)
        if len(arrivals) > allowed:
            self.problems.append(
                f"{endpoint.engine.id}: called {len(arrivals)} times during its backoff"
            )

    def check_limit(
        self, endpoint: SoakEndpoint, limit: float, began: float, ended: float
    ) -> None:
        """Check that the calls of all daemons respected a rate limit in any window.

        Applies only where all daemons were connected throughout and had received the
        limit before.
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
                    f"{endpoint.engine.id}: called {in_window} times, "
                    f"limit {allowed:.0f}"
                )
                return

    def _check_cut(self, cut: Cut) -> None:
        """Check that daemons in touch serve although they reach no endpoint."""
        since = cut.began + UNDISTURBED_TIME
        if since >= cut.ended or not self.is_undisturbed(since, cut.ended):
            return
        others_cut = [each for each in self.cuts if each is not cut]
        if any(each.began < cut.ended and each.ended > since for each in others_cut):
            return
        tries = [r for r in self.records if since <= r.began and r.ended < cut.ended]
        tries = [record for record in tries if self.must_be_served(record)]
        there = [record for record in tries if record.daemon.vm in cut.vms]
        others = [record for record in tries if record.daemon.vm not in cut.vms]
        failed = len(there) - count_served(there)
        allowed = MAX_CUT_FAILURES + MAX_CUT_FAILED_FRACTION * len(tries)
        if failed > allowed and count_served(there) * len(others) < (
            MIN_CUT_SERVED * count_served(others) * len(there)
        ):
            self.problems.append(
                f"{sorted(cut.vms)} cut off served {count_served(there)} of "
                f"{len(there)}, others {count_served(others)} of {len(others)}"
            )

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
