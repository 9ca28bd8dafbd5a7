"""Streams that clients take up after their daemon froze as a release began."""

import asyncio
import signal
from pathlib import Path

from rig.engine import Engine
from rig.streams import ROUTE, SILENCE_S, Stream, follow, make_answer
from rig.system import Unable, make_configuration, make_route, run_case

EVENTS = 36
STREAMS = 16
FREEZE_S = 6.3
# The new engine joins so long after the freeze.
JOIN_S = 0.5


def find_followers(system):
    """Return the daemons that have not held a lease."""
    return [d for d in system.daemons
            if not any('"lease: held"' in line for line in d.read_log())]


async def main(system, trouble):
    """Return the exit status of the case."""
    answer = make_answer(EVENTS)
    system.engines = [Engine(system, n, "llm", answer) for n in range(3)]
    system.engines += [Engine(system, 5, "ledger", answer)]
    for engine in system.engines[:3]:
        engine.adapters["a1"] = 1
    route = make_route("/chat/", "llm", "streaming", **ROUTE)
    await system.start(make_configuration(1, [route]))
    await asyncio.sleep(5)
    followers = find_followers(system)
    if len(followers) < 2:
        raise Unable("not enough daemons without a lease")
    frozen = followers[0]
    others = [d for d in system.daemons if d is not frozen]
    streams = [Stream(system, f"s{n}") for n in range(STREAMS)]
    following = [
        asyncio.create_task(follow(s, [frozen, others[n % len(others)],
                                       others[(n + 1) % len(others)]]))
        for n, s in enumerate(streams)
    ]
    await asyncio.sleep(2)
    if trouble:
        frozen.signal(signal.SIGSTOP)
        system.note("froze", frozen.name)
    froze_at = system.now()
    await asyncio.sleep(JOIN_S)
    joining = Engine(system, 6, "llm", answer, software="v2")
    system.engines.append(joining)
    await joining.start()
    system.note("an engine of software v2 joins:", joining.id)
    fresh = []
    while system.now() < froze_at + FREEZE_S:
        if system.now() > froze_at + SILENCE_S:
            stream = Stream(system, f"new{len(fresh)}")
            fresh.append(asyncio.create_task(
                follow(stream, [others[len(fresh) % len(others)]], tries=1)))
        await asyncio.sleep(0.25)
    if trouble:
        frozen.signal(signal.SIGCONT)
        system.note("thawed", frozen.name)
    ends = await asyncio.gather(*following)
    fresh_ends = await asyncio.gather(*fresh)
    for engine in system.engines:
        system.note("run at", engine.id, engine.software, [r for _, r in engine.runs])
    taken_up = [(s, e) for s, e in zip(streams, ends) if len(e) > 1]
    went_on = [s for s, e in taken_up if e[-1] == "whole"]
    first_went_on = [s for s, e in taken_up if e[1] == "whole"]
    begun = [e for e in fresh_ends if e[0] == "whole"]
    mixed = [s.name for s in streams if len({v for _, v, _ in s.events}) > 1]
    system.note(f"{len(taken_up)} streams taken up, {len(went_on)} go on "
                f"({len(first_went_on)} at the first try); "
                f"{len(fresh_ends)} new streams, {len(begun)} begin; mixed: {mixed}")
    if not trouble:
        return int(bool(taken_up) or len(begun) < len(fresh_ends))
    if len(taken_up) < 12 or not fresh_ends:
        raise Unable("too few streams")
    share, new = len(went_on) / len(taken_up), len(begun) / len(fresh_ends)
    return int(share < new / 2)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent, daemons=6)
