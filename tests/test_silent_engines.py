"""Sound engines that fall silent for a second or so, and go on as if nothing had been.

Guards against answers that are broken off, or refused with 502, because a latency
objective is taken for the longest silence of a sound engine.
"""

import pytest

from tests.silencerig import ENGINES, Pause, SilenceRig, run_silence_rig

STREAMS = 60
PAUSE = 1.2


@pytest.mark.parametrize(
    "pauses",
    [
        [Pause(0.6, PAUSE)],
        [Pause(0.6, PAUSE, engines=4)],
        [Pause(0.6, PAUSE, engines=1)],
        [Pause(0.6, 0.6), Pause(1.6, 0.6)],
    ],
    ids=["all", "four of six", "one", "all twice"],
)
async def test_streams_outlive_a_pause_of_sound_engines(pauses: list[Pause]) -> None:
    async with run_silence_rig() as rig:
        outcome = await rig.stream_through(STREAMS, pauses)
    assert (outcome.whole, outcome.broken_off) == (STREAMS, 0)


async def test_streams_outlive_a_pause_of_the_only_engine() -> None:
    async with run_silence_rig(engines=1) as rig:
        outcome = await rig.stream_through(12, [Pause(0.6, PAUSE, engines=ENGINES)])
    assert (outcome.whole, outcome.broken_off) == (12, 0)


async def test_requests_outlive_a_pause_before_their_first_event() -> None:
    async with run_silence_rig(SilenceRig(objective=0.3)) as rig:
        outcome = await rig.stream_through(STREAMS, [Pause(-0.2, PAUSE)])
    assert (outcome.whole, outcome.broken_off) == (STREAMS, 0)
