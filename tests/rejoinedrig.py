"""Streams that clients take up after all daemons have ended, beside new streams.

Each relation is a way in which all daemons end while some versions serve or have left.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from tests.streamrig import Outcome, Stream, StreamRig, summarise

STREAMS = 60
# Streams are this old when the daemons end.
AGE_AT_LOSS = 2.5
SETTLE_TIME = 1.0
STORE_AWAY_TIME = 1.5
# After a start before a restored store, daemons refuse new streams for about a second.
RESTORED_TIME = 2.5
# New streams have higher numbers than those before the loss.
NEW_NUMBERS = 500

Relation = Callable[[StreamRig, list[Stream]], Awaitable[None]]


@dataclass(frozen=True)
class Rejoined:
    """What became of streams taken up, and of new streams at the same time."""

    former: Outcome
    new: Outcome
    streams: Sequence[Stream]

    def __str__(self) -> str:
        former = self.former
        return (
            f"mixed {former.mixed}, taken up {former.taken_up}, "
            f"refused {former.taken_up - former.gone_on}, gone on {former.gone_on} "
            f"({former.share_gone_on:.2f}), new that begin {self.new.share_began:.2f}"
        )


async def take_up_beside_new(rig: StreamRig, streams: Sequence[Stream]) -> Rejoined:
    """Take streams up at daemons other than those that began them; begin new ones."""
    vms = list(rig.daemons)

    async def take_up(number: int, stream: Stream) -> None:
        others = [vm for vm in vms if vm != stream.vm]
        first = number % len(others)
        await rig.take_up(stream, [others[first], others[first - 1]])

    async def begin(number: int) -> Stream:
        return await rig.begin(vms[number % len(vms)], NEW_NUMBERS + number)

    taken_up = [take_up(number, each) for number, each in enumerate(streams)]
    begun = [begin(number) for number in range(STREAMS)]
    new, _ = await asyncio.gather(asyncio.gather(*begun), asyncio.gather(*taken_up))
    return Rejoined(summarise(streams), summarise(new), streams)


async def lose_all(rig: StreamRig, _: list[Stream]) -> None:
    """End all daemons, and start them again."""
    await rig.replace_all_daemons()
    await asyncio.sleep(SETTLE_TIME)


async def lose_all_before_first_list(rig: StreamRig, _: list[Stream]) -> None:
    """End all daemons; clients come back before a daemon has its first list."""
    await rig.replace_all_daemons()


async def lose_all_twice(rig: StreamRig, _: list[Stream]) -> None:
    """End all daemons twice within the time of a start."""
    await rig.replace_all_daemons()
    await rig.replace_all_daemons()
    await asyncio.sleep(SETTLE_TIME)


async def lose_most_then_all(rig: StreamRig, _: list[Stream]) -> None:
    """End three in five daemons, and all of them while those start."""
    for vm in list(rig.daemons)[:4]:
        await rig.daemons.pop(vm).close()
        await rig.add_daemon(vm, vm.partition("-")[0])
    await lose_all(rig, [])


def get_leaving(streams: Sequence[Stream]) -> str:
    """Return the version that leaves: one that began streams."""
    return str(streams[0].events[0]["software"])


async def lose_all_after_version_left(rig: StreamRig, streams: list[Stream]) -> None:
    """End all daemons a second after the entries of a version are gone."""
    await rig.drop_entries(get_leaving(streams))
    await asyncio.sleep(1.0)
    await lose_all(rig, [])


async def lose_all_as_version_leaves(rig: StreamRig, streams: list[Stream]) -> None:
    """End all daemons in the second in which the entries of a version go."""
    vms = list(rig.daemons)
    closing = [rig.daemons.pop(vm).close() for vm in vms]
    await asyncio.gather(rig.drop_entries(get_leaving(streams)), *closing)
    for vm in vms:
        await rig.add_daemon(vm, vm.partition("-")[0])
    await asyncio.sleep(SETTLE_TIME)


async def lose_all_without_store(rig: StreamRig, _: list[Stream]) -> None:
    """End all daemons while the store is away; it answers again later."""
    rig.store.faults.set(down=True)
    await rig.replace_all_daemons()
    await asyncio.sleep(STORE_AWAY_TIME)
    rig.store.faults.set(down=False)
    await asyncio.sleep(SETTLE_TIME)


async def lose_all_and_backup(rig: StreamRig, _: list[Stream]) -> None:
    """End all daemons as the store comes back from a copy of a second ago."""
    backup = rig.store.make_snapshot()
    await asyncio.sleep(1.0)
    await rig.store.restore(backup)
    await lose_all(rig, [])
    await asyncio.sleep(RESTORED_TIME)


async def run_relation(
    rig: StreamRig, lose: Relation, age: float = AGE_AT_LOSS
) -> Rejoined:
    """Begin streams, end the daemons when the streams are of an age, take them up."""
    streams = await rig.begin_many(STREAMS)
    await asyncio.sleep(age)
    await lose(rig, streams)
    return await take_up_beside_new(rig, streams)
