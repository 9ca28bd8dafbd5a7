"""What each action of a plan does to the system."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable
from typing import Any, Final

from bench.cluster import REPOSITORY
from bench.faultsoak.checker import Cut, Silence
from bench.faultsoak.contact import Scope
from bench.faultsoak.cuts import CutMode
from bench.faultsoak.fragile import be_brittle, send_deadly_parts
from bench.faultsoak.plan import Action, Step
from bench.faultsoak.proxy import Proxy, ProxyMode
from bench.faultsoak.soak import ADAPTERS, Perform, Soak
from bench.faultsoak.system import (
    ENDPOINTS,
    SOFTWARE,
    SoakEndpoint,
    SoakSystem,
    read_peak_mb,
)
from bench.faultsoak.waiting import name_version_while_requests_wait
from bench.fleet_demo import DATA_CENTRES
from kestreltally.objectapi.http import open_session
from standins.platform_engine import HEARTBEAT, POISON_PREFIX
from standins.platform_store import NESTED_VALUE

LEAVING_DURATION: Final = 4.0
# Two heartbeats of the stand-ins, within which an entry is written to the store.
ENTRY_WRITE_TIME: Final = 2 * HEARTBEAT
ENTRY_POLL_INTERVAL: Final = 0.005
# Delay of a slow store, seconds, and fraction of answers that a store loses.
STORE_DELAY: Final = 0.2
STORE_LOSS_FRACTION: Final = 0.3
# Range of pauses between poison requests, seconds.
POISON_REPEAT_INTERVALS: Final = (0.2, 1.0)
POISON_TEXT: Final = POISON_PREFIX.decode()
# Delays between a silence of the store for one leader, the departure of an endpoint and
# the kill of all other daemons, seconds.
SILENCE_TO_DEPARTURE: Final = (0.0, 1.2)
DEPARTURE_TO_KILL: Final = 0.3
# Delay of a change of the configuration behind a silence: daemons count as in touch
# again when the change has to be in force, seconds.
SILENCE_TO_CHANGE: Final = 1.0
# Delay between the departure of a version and the kill of all daemons, seconds.
VERSION_TO_KILL: Final = 1.0
KILL_SERIES: Final = 3
# Clients that come to one daemon while engines are brittle.
CROWD: Final = 4
# Clients added to each daemon meanwhile.
EXTRA_CLIENTS: Final = 1
# Clients that don't behave, and how many of them come to a daemon.
SOAK_CROWDS: Final = (
    "bodies short of their length",
    "chunked bodies without an end",
    "chunks of one byte without an end",
    "bodies over the limit",
    "bodies that were asked for and never come",
    "refused requests sent ahead",
    "heads over the limit, without an end",
    "heads of many small fields without an end",
    "silent connections",
)
CROWD_CONNECTIONS: Final = 250
# Downtime of the store before it is restored from a backup, and delay until operators
# have rewritten what was lost, seconds.
RESTORE_DOWNTIME: Final = 0.4
REWRITE_DELAY: Final = 1.0
# Rate limits of endpoints, requests per second, and range of the factors by which they
# vary.
LIMITS: Final = (0.5, 2.9, 8.0)
LIMIT_JITTER: Final = (0.8, 1.0)
LIMIT_CHANGE_INTERVAL: Final = 0.5
# Runs that plain endpoints answer with a promise all the same, and requests that they
# reject once and say so twice, as fractions.
FALSE_PROMISE_FRACTION: Final = 0.1
REPEATED_REJECTION_FRACTION: Final = 0.4
# Fraction of runs that are answered with a broken head.
BROKEN_HEAD_FRACTION: Final = 0.15

PERFORMERS: Final[dict[Action, Perform]] = {}


def performs(*actions: Action) -> Callable[[Perform], Perform]:
    """Register the function that performs the actions."""

    def register(perform: Perform) -> Perform:
        PERFORMERS.update(dict.fromkeys(actions, perform))
        return perform

    return register


@performs(Action.STORE_PATH)
async def disturb_store_path(soak: Soak, step: Step) -> None:
    """Disturb a daemon's path to the store."""
    await disturb_path(soak.pick_daemon(step).store, step)


@performs(Action.ENDPOINT_PATH)
async def disturb_endpoint_path(soak: Soak, step: Step) -> None:
    """Disturb the path to an endpoint."""
    await disturb_path(soak.pick_endpoint(step).proxy, step)


async def disturb_path(proxy: Proxy, step: Step) -> None:
    """Set a proxy's fault mode for the duration of a step."""
    proxy.set_mode(step.mode)
    await asyncio.sleep(step.duration)
    proxy.set_mode(ProxyMode.PASS)


@performs(Action.STORE_DOWN, Action.STORE_SLOW, Action.STORE_LOSES_ANSWERS)
async def disturb_store(soak: Soak, step: Step) -> None:
    """Make the store unavailable, slow, or lose answers to writes."""
    faults = soak.system.store.faults
    settings: dict[Action, dict[str, Any]] = {
        Action.STORE_DOWN: {"down": True},
        Action.STORE_SLOW: {"slow": STORE_DELAY},
        Action.STORE_LOSES_ANSWERS: {"lose_answers": STORE_LOSS_FRACTION},
    }
    faults.set(**settings[step.action])
    await asyncio.sleep(step.duration)
    faults.set(down=False, slow=0.0, lose_answers=0.0)


@performs(Action.STORE_COMPACTS)
async def compact_history(soak: Soak, _: Step) -> None:
    """Compact the history of the store."""
    soak.system.store.compact()


@performs(Action.STORE_RESTORED)
async def restore_from_backup(soak: Soak, step: Step) -> None:
    """Restore the store from a backup, losing the writes acknowledged since."""
    store = soak.system.store
    backup = store.make_snapshot()
    await asyncio.sleep(step.duration)
    store.faults.set(down=True)
    await asyncio.sleep(RESTORE_DOWNTIME)
    await store.restore(backup)
    store.faults.set(down=False)
    soak.checker.contact.restored_at.append(asyncio.get_running_loop().time())
    await asyncio.sleep(REWRITE_DELAY)
    await soak.system.rewrite_objects()


@performs(Action.LEAVING_NOTICE)
async def announce_leaving(soak: Soak, step: Step) -> None:
    """Have an endpoint leave that can't write its state to the store; replace it."""
    endpoint = soak.pick_endpoint(step)
    if _has_left(endpoint):
        return
    await soak.system.add_endpoint(endpoint.engine.service, endpoint.engine.zone)
    endpoint.engine.pause_heartbeats(LEAVING_DURATION)
    endpoint.engine.reports_leaving = True
    endpoint.announced_at = asyncio.get_running_loop().time()
    await asyncio.sleep(LEAVING_DURATION)
    await soak.system.remove_endpoint(endpoint)


@performs(Action.BACKOFF_NOTICE)
async def request_backoff(soak: Soak, step: Step) -> None:
    """Have an endpoint reject all requests for a while, with Retry-After."""
    endpoint = soak.pick_endpoint(step)
    now = asyncio.get_running_loop().time()
    if now < endpoint.engine.backoff_until:
        return
    boots = sum(daemon.boots for daemon in soak.system.daemons)
    endpoint.engine.backoff_until = now + step.duration
    await asyncio.sleep(step.duration)
    booted = sum(daemon.boots for daemon in soak.system.daemons) - boots
    soak.checker.check_backoff(endpoint, now, booted)


@performs(Action.RATE_LIMIT_NOTICE)
async def announce_rate_limit(soak: Soak, step: Step) -> None:
    """Have an endpoint announce a rate limit that varies slightly all the time."""
    endpoint = soak.pick_endpoint(step)
    engine = endpoint.engine
    if engine.limit is not None:
        return
    clock = asyncio.get_running_loop().time
    limit = LIMITS[step.target % len(LIMITS)]
    began = clock()
    while clock() < began + step.duration:
        engine.limit = limit * random.uniform(*LIMIT_JITTER)
        await asyncio.sleep(LIMIT_CHANGE_INTERVAL)
    engine.limit = None
    soak.checker.check_limit(endpoint, limit, began, clock())


@performs(Action.PAUSE)
async def pause(soak: Soak, step: Step) -> None:
    """Suspend a daemon's process for a while."""
    daemon = soak.pick_daemon(step)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(step.duration)
    daemon.signal(signal.SIGCONT)


@performs(Action.KILL)
async def kill(soak: Soak, step: Step) -> None:
    """Kill a daemon and wait for its restart."""
    daemon = soak.pick_daemon(step)
    daemon.signal(signal.SIGKILL)
    await soak.system.wait_for_restart(daemon)


@performs(Action.KILL_MANY)
async def kill_many(soak: Soak, _: Step) -> None:
    """Kill all daemons but one at once."""
    await soak.kill(soak.system.daemons[1:])


@performs(Action.ODD_ANSWERS)
async def answer_oddly(soak: Soak, step: Step) -> None:
    """Have plain endpoints promise what is not so, and send rejections twice."""
    plain = [e.engine for e in soak.system.endpoints if e.engine.service == "plain"]
    for engine in plain:
        engine.odd_answers.false_fraction = FALSE_PROMISE_FRACTION
        engine.odd_answers.repeated_fraction = REPEATED_REJECTION_FRACTION
    await asyncio.sleep(step.duration)
    for engine in plain:
        engine.odd_answers.false_fraction = engine.odd_answers.repeated_fraction = 0.0


@performs(Action.BROKEN_HEADS)
async def break_heads(soak: Soak, step: Step) -> None:
    """Have all endpoints answer some requests with heads that are none."""
    engines = [each.engine for each in soak.system.endpoints]
    for engine in engines:
        engine.odd_answers.draw.seed(f"{step.target} {engine.id}")
        engine.odd_answers.broken_fraction = BROKEN_HEAD_FRACTION
    await asyncio.sleep(step.duration)
    for engine in engines:
        engine.odd_answers.broken_fraction = 0.0


@performs(Action.CROWD)
async def send_crowd(soak: Soak, step: Step) -> None:
    """Have clients that don't behave come to a daemon; nothing that they send runs."""
    daemon = soak.pick_daemon(step)
    boots = daemon.boots
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.faultsoak.crowd",
        SOAK_CROWDS[step.target % len(SOAK_CROWDS)],
        "--base-port",
        str(daemon.port),
        "--connections",
        str(CROWD_CONNECTIONS),
        "--seconds",
        str(step.duration),
        stdout=asyncio.subprocess.DEVNULL,
        cwd=REPOSITORY,
    )
    await crowd.wait()
    limits = soak.system.vm_limits
    if limits is None or daemon.boots != boots:
        return
    peak = read_peak_mb(daemon)
    if peak > limits.memory_mb:
        soak.checker.problems.append(
            f"{daemon.vm} took {peak:.0f} MB beside a crowd, {limits.memory_mb} allowed"
        )


@performs(Action.KILL_SERIES)
async def kill_in_series(soak: Soak, step: Step) -> None:
    """Kill all daemons three times within a retry window while all engines fail.

    More requests than usual are sent meanwhile, so that each process has many failures.
    """
    engines = [e for e in soak.system.endpoints if e.engine.service == "models"]
    for endpoint in engines:
        endpoint.engine.faults.set(errors=True)
    clients = [
        asyncio.create_task(soak.send_requests(daemon, step.target + number))
        for number, daemon in enumerate(EXTRA_CLIENTS * soak.system.daemons)
    ]
    for _ in range(KILL_SERIES):
        await asyncio.sleep(step.duration / (KILL_SERIES + 1))
        await soak.kill(soak.system.daemons)
    await asyncio.sleep(step.duration / (KILL_SERIES + 1))
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for endpoint in engines:
        endpoint.engine.faults.set(errors=False)


@performs(Action.STORE_CHANNELS_SILENT)
async def silence_store_channels(soak: Soak, _: Step) -> None:
    """Silence all open channels to the store, while new ones work."""
    for daemon in soak.system.daemons:
        daemon.store.silence_open()
    clock = asyncio.get_running_loop().time
    soak.checker.silences.append(clock())
    everybody = Scope(vms=frozenset(each.vm for each in soak.system.daemons))
    with soak.checker.contact.record(everybody, clock):
        pass
    await asyncio.sleep(SILENCE_TO_CHANGE)
    soak.system.version += 1
    await soak.system.configure()


@performs(Action.PLANNED_STOP)
async def stop_as_planned(soak: Soak, step: Step) -> None:
    """Stop a daemon as planned and wait for its restart."""
    daemon = soak.pick_daemon(step)
    daemon.signal(signal.SIGTERM)
    await soak.system.wait_for_restart(daemon)


@performs(Action.RELOAD)
async def reload(soak: Soak, step: Step) -> None:
    """Signal a daemon to reload its settings."""
    soak.pick_daemon(step).signal(signal.SIGHUP)


@performs(Action.ENGINE_CRASH)
async def crash_engine(soak: Soak, step: Step) -> None:
    """Stop an engine at once, and start a new one after a while."""
    endpoint = soak.pick_engine(step)
    if endpoint is None:
        return
    await soak.system.remove_endpoint(endpoint)
    await asyncio.sleep(step.duration)
    await soak.system.add_endpoint(endpoint.engine.service, endpoint.engine.zone)


@performs(Action.ENGINE_LEAVES)
async def drain_endpoint(soak: Soak, step: Step) -> None:
    """Start a replacement for an endpoint, then drain and remove the endpoint."""
    endpoint = soak.pick_endpoint(step)
    if _has_left(endpoint):
        return
    await soak.system.add_endpoint(endpoint.engine.service, endpoint.engine.zone)
    endpoint.engine.state = "draining"
    clock = asyncio.get_running_loop().time
    until = clock() + ENTRY_WRITE_TIME
    while clock() < until and not soak.system.is_listed_as_leaving(endpoint):
        await asyncio.sleep(ENTRY_POLL_INTERVAL)
    if soak.system.is_listed_as_leaving(endpoint):
        endpoint.leaving_at = clock()
    await asyncio.sleep(LEAVING_DURATION)
    await soak.system.remove_endpoint(endpoint)


def _has_left(endpoint: SoakEndpoint) -> bool:
    """Return whether an endpoint has begun to leave in any way."""
    times = (endpoint.leaving_at, endpoint.announced_at, endpoint.gone_at)
    return any(each is not None for each in times)


@performs(Action.ENGINE_GOES)
async def withdraw_endpoint(soak: Soak, step: Step) -> None:
    """Start a replacement for an endpoint, then withdraw its entry without a word."""
    endpoint = soak.pick_endpoint(step)
    if not _has_left(endpoint):
        await _withdraw(soak.system, endpoint)


async def _withdraw(
    system: SoakSystem, endpoint: SoakEndpoint, software: str | None = None
) -> None:
    """Start a replacement, of a software version if it is given, and withdraw."""
    engine = endpoint.engine
    await system.add_endpoint(engine.service, engine.zone, software=software)
    await system.withdraw_entry(endpoint, LEAVING_DURATION)
    await asyncio.sleep(LEAVING_DURATION)
    await system.remove_endpoint(endpoint)


@performs(Action.LEADER_SILENT, Action.LEADER_OUTLIVES)
async def silence_store_for_leader(soak: Soak, step: Step) -> None:
    """Silence the store for one leader, and withdraw an endpoint it leads.

    In the second case all other daemons are killed right after, and those that start
    again hear a leader that knows less than the store.
    """
    zone = DATA_CENTRES[step.target % len(DATA_CENTRES)]
    leader = soak.system.find_leader(zone)
    endpoints = [
        each
        for each in soak.system.endpoints
        if each.engine.zone == zone and not _has_left(each)
    ]
    if leader is None or not endpoints:
        return
    scope = Scope(vms=frozenset({leader.vm}))
    with soak.checker.contact.record(scope, asyncio.get_running_loop().time):
        leader.store.set_mode(ProxyMode.SILENT)
        await asyncio.sleep(random.Random(step.target).uniform(*SILENCE_TO_DEPARTURE))
        victim = endpoints[step.target % len(endpoints)]
        leaving = asyncio.create_task(_withdraw(soak.system, victim))
        if step.action is Action.LEADER_OUTLIVES:
            await asyncio.sleep(DEPARTURE_TO_KILL)
            others = [each for each in soak.system.daemons if each is not leader]
            await soak.kill(others)
        await asyncio.sleep(step.duration)
        leader.store.set_mode(ProxyMode.PASS)
    await leaving


@performs(Action.ODD_ENTRY)
async def write_odd_entry(soak: Soak, step: Step) -> None:
    """Have another writer keep an entry for a while that cannot be decoded."""
    name = f"odd-{step.target}"
    await soak.system.store.put("servers", name, {"Slots": NESTED_VALUE})
    await asyncio.sleep(step.duration)
    await soak.system.store.drop("servers", name)


@performs(Action.VERSION_LEAVES)
async def withdraw_version(soak: Soak, step: Step) -> None:
    """Replace all engines of a software version, then kill all daemons at once."""
    former, newer = random.Random(step.target).sample(SOFTWARE, 2)
    leaving = [
        asyncio.create_task(_withdraw(soak.system, each, newer))
        for each in list(soak.system.endpoints)
        if each.engine.service == "models"
        and each.engine.software == former
        and not _has_left(each)
    ]
    await asyncio.sleep(VERSION_TO_KILL)
    await soak.kill(soak.system.daemons)
    await asyncio.gather(*leaving)


@performs(Action.CUT_OFF)
async def cut_off(soak: Soak, step: Step) -> None:
    """Cut some daemons off from all endpoints, and check what they serve."""
    draw = random.Random(step.target)
    free = [d for d in soak.system.daemons if d.paths and d.paths.mode is None]
    count = draw.randint(1, max(1, len(soak.system.daemons) - 1))
    chosen = draw.sample(free, min(count, max(0, len(free) - 1)))
    mode = draw.choice(list(CutMode))
    clock = asyncio.get_running_loop().time
    began = clock()
    for daemon in chosen:
        assert daemon.paths is not None
        daemon.paths.cut(mode)
        soak.system.write_paths(daemon)
    await asyncio.sleep(step.duration)
    for daemon in chosen:
        assert daemon.paths is not None
        daemon.paths.heal()
        soak.system.write_paths(daemon)
    soak.checker.cuts.append(Cut(frozenset(d.vm for d in chosen), began, clock()))


@performs(Action.ENDPOINTS_SILENT)
async def silence_endpoints(soak: Soak, step: Step) -> None:
    """Pause some or all endpoints of a service, which then go on as before."""
    draw = random.Random(step.target)
    service = draw.choice(list(ENDPOINTS))
    endpoints = [e for e in soak.system.endpoints if e.engine.service == service]
    count = draw.choice([len(endpoints), draw.randint(1, max(1, len(endpoints)))])
    began = asyncio.get_running_loop().time()
    for endpoint in draw.sample(endpoints, min(count, len(endpoints))):
        endpoint.engine.pause(step.duration)
    soak.checker.silent_times.append(Silence(service, began, began + step.duration))
    await asyncio.sleep(step.duration)


@performs(Action.ENGINE_ERRORS)
async def inject_errors(soak: Soak, step: Step) -> None:
    """Make an endpoint answer 500 for a while."""
    faults = soak.pick_endpoint(step).engine.faults
    faults.set(errors=True)
    await asyncio.sleep(step.duration)
    faults.set(errors=False)


@performs(Action.CONFIGURE)
async def configure(soak: Soak, _: Step) -> None:
    """Write a new configuration."""
    soak.system.version += 1
    await soak.system.configure()


@performs(Action.REVOKE)
async def revoke(soak: Soak, _: Step) -> None:
    """Revoke a key."""
    await soak.system.revoke()


@performs(Action.POISON)
async def repeat_poison(soak: Soak, step: Step) -> None:
    """Send a poison request repeatedly, each time to a random daemon."""
    draw = random.Random(step.target)
    clock = asyncio.get_running_loop().time
    until = clock() + step.duration
    async with open_session() as http:
        while clock() < until:
            daemon = draw.choice(soak.system.daemons)
            await soak.checker.send_poison(http, daemon, f"{POISON_TEXT} {step.target}")
            await asyncio.sleep(draw.uniform(*POISON_REPEAT_INTERVALS))


@performs(Action.BRITTLE_NOTICE)
async def make_engines_brittle(soak: Soak, step: Step) -> None:
    """Make all engines brittle, while most clients come to one daemon."""
    daemon = soak.pick_daemon(step)
    clients = [
        asyncio.create_task(soak.send_requests(daemon, step.target + number))
        for number in range(CROWD)
    ]
    await be_brittle(soak.system, soak.checker, step)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


@performs(Action.DEADLY_PART)
async def crash_engines_by_a_part(soak: Soak, step: Step) -> None:
    """Send requests that crash engines by one part of their prompts."""
    async with open_session() as http:
        await send_deadly_parts(http, soak.system, soak.checker, step)


@performs(Action.VERSION)
async def publish_version(soak: Soak, step: Step) -> None:
    """Publish a new version of an adapter."""
    await soak.system.publish_version(f"a{step.target % ADAPTERS + 1}")


@performs(Action.VERSION_WAITS)
async def publish_version_while_requests_wait(soak: Soak, step: Step) -> None:
    """Publish a new version of an adapter that no engine loads for a while."""
    await name_version_while_requests_wait(soak.system, soak.checker, step)
