"""Streams that clients take up after the weights of their route's split changed."""

import asyncio
import signal
from pathlib import Path

from rig.engine import Engine
from rig.streams import ROUTE, Stream, follow, make_answer
from rig.system import Unable, make_configuration, make_route, run_case

EVENTS = 40
STREAMS = 30
# Weights of the two services before and after the change.
BEFORE, AFTER = (90, 10), (10, 90)
SERVICES = ("llm", "llm-b")
SOFTWARE = {"llm": ("v1", "v2"), "llm-b": ("b1", "b1")}
# After the streams began, in seconds; ConfigurationMs is 2,000.
CHANGE_AT, KILL_AT, RESTART_AT = 1.0, 4.0, 4.6


def configure(version, weights):
    """Return a configuration whose streaming route is split by weights."""
    split = [{"Service": s, "Weight": w} for s, w in zip(SERVICES, weights)]
    route = make_route("/chat/", SERVICES[0], "streaming", **ROUTE, Split=split)
    configuration = make_configuration(version, [route])
    llm = next(s for s in configuration["Services"] if s["Name"] == "llm")
    configuration["Services"].append({**llm, "Name": "llm-b"})
    return configuration


async def main(system, trouble):
    """Return the exit status of the case."""
    answer = make_answer(EVENTS)
    # Two software versions of the first service serve side by side, two engines of each.
    system.engines = [
        Engine(system, 4 * m + n, service, answer, software=SOFTWARE[service][n % 2])
        for m, service in enumerate(SERVICES) for n in range(4)
    ]
    for engine in system.engines:
        engine.adapters["a1"] = 1
    await system.start(configure(1, BEFORE))
    await asyncio.sleep(5)
    killed, *others = system.daemons
    streams = [Stream(system, f"s{n}") for n in range(STREAMS)]
    began = system.now()
    following = [
        asyncio.create_task(follow(s, [killed, others[n % len(others)],
                                       others[(n + 1) % len(others)]]))
        for n, s in enumerate(streams)
    ]

    async def wait_until(at):
        await asyncio.sleep(began + at - system.now())

    await wait_until(CHANGE_AT)
    if trouble and trouble != "kill":
        await system.store.put("config", "main", configure(5, AFTER))
        system.note("configuration 5 acknowledged: weights", AFTER)
    await wait_until(KILL_AT)
    if trouble:
        killed.process.send_signal(signal.SIGKILL)
        killed.process.wait()
        system.note("killed", killed.name)
    fresh = []
    while system.now() < began + RESTART_AT + 3:
        if trouble and system.now() > began + RESTART_AT and killed.process.poll() is not None:
            killed.start()
        stream = Stream(system, f"new{len(fresh)}")
        fresh.append(asyncio.create_task(
            follow(stream, [others[len(fresh) % len(others)]], tries=1)))
        await asyncio.sleep(0.15)
    ends = await asyncio.gather(*following)
    fresh_ends = await asyncio.gather(*fresh)
    for engine in system.engines:
        system.note("run at", engine.service, engine.id, engine.software,
                    [r for _, r in engine.runs])
    taken_up = [(s, e) for s, e in zip(streams, ends) if len(e) > 1]
    went_on = [s for s, e in taken_up if e[-1] == "whole"]
    begun = [e for e in fresh_ends if e[0] == "whole"]
    system.note(f"{len(taken_up)} streams taken up, {len(went_on)} go on; "
                f"{len(fresh_ends)} new streams, {len(begun)} begin")
    if not trouble:
        return int(bool(taken_up) or len(begun) < len(fresh_ends))
    if len(taken_up) < 12 or not fresh_ends:
        raise Unable("too few streams")
    share, new = len(went_on) / len(taken_up), len(begun) / len(fresh_ends)
    return int(share < new / 2)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent, daemons=4)
