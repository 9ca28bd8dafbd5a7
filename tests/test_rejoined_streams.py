"""Streams that clients take up after all daemons have ended, with several versions.

Guards against refusals of streams whose version still serves: the daemons of before are
gone, and those of after know no stream. And against the opposite: streams that go on at
a version that did not begin them.
"""

import pytest

from tests import rejoinedrig as rejoined
from tests.rejoinedrig import Rejoined, Relation, run_relation
from tests.streamrig import StreamRig, run_stream_rig, summarise

ONE = {"v1": 4}
TWO = {"v1": 2, "v1.1": 2}
THREE = {"v1": 2, "v1.1": 2, "v1.2": 2}
# Of the share of new streams that begin, this part of those taken up must go on.
MIN_GONE_ON = 0.5
MIN_TAKEN_UP = 12

RECORD_KIND = "kestreltally-daemons"
ORIGINS_SUFFIX = ".streams"


def list_kept_objects(rig: StreamRig) -> list[str]:
    stored = rig.store._objects.get(RECORD_KIND, {})
    return [name for name in stored if name.endswith(ORIGINS_SUFFIX)]


def check_shares(outcome: Rejoined) -> None:
    print(outcome)
    assert outcome.former.mixed == 0, outcome
    assert outcome.former.taken_up >= MIN_TAKEN_UP, outcome
    assert outcome.new.share_began >= MIN_GONE_ON, outcome
    least = MIN_GONE_ON * outcome.new.share_began
    assert outcome.former.share_gone_on >= least, outcome


@pytest.mark.parametrize("counts", [TWO, THREE], ids=["two", "three"])
async def test_streams_go_on_after_the_loss_of_all_daemons_in_a_release(
    counts: dict[str, int],
) -> None:
    async with run_stream_rig(counts) as rig:
        outcome = await run_relation(rig, rejoined.lose_all)
    check_shares(outcome)


@pytest.mark.parametrize(
    "lose",
    [
        rejoined.lose_all_before_first_list,
        rejoined.lose_all_twice,
        rejoined.lose_most_then_all,
        rejoined.lose_all_without_store,
        rejoined.lose_all_and_backup,
    ],
    ids=["before a list", "twice", "most, then all", "no store", "backup"],
)
async def test_streams_go_on_however_all_daemons_are_lost(lose: Relation) -> None:
    async with run_stream_rig(TWO) as rig:
        outcome = await run_relation(rig, lose)
    check_shares(outcome)


@pytest.mark.parametrize(
    "lose",
    [rejoined.lose_all_after_version_left, rejoined.lose_all_as_version_leaves],
    ids=["a second before", "at once"],
)
async def test_kept_streams_of_a_version_that_left_go_on_at_no_other(
    lose: Relation,
) -> None:
    async with run_stream_rig(TWO) as rig:
        outcome = await run_relation(rig, lose)
    print(outcome)
    assert outcome.former.mixed == 0, outcome
    assert outcome.former.taken_up >= MIN_TAKEN_UP, outcome
    leaving = rejoined.get_leaving(outcome.streams)
    left = summarise([s for s in outcome.streams if leaving in s.software])
    stayed = summarise([s for s in outcome.streams if leaving not in s.software])
    print(left, stayed)
    assert left.taken_up > 0 and left.gone_on == 0, left
    if stayed.taken_up >= MIN_TAKEN_UP:
        least = MIN_GONE_ON * outcome.new.share_began
        assert stayed.share_gone_on >= least, stayed


async def test_streams_younger_than_the_last_write_are_not_mixed() -> None:
    async with run_stream_rig(TWO) as rig:
        outcome = await run_relation(rig, rejoined.lose_all, age=0.0)
    print(outcome)
    assert outcome.former.mixed == 0, outcome


async def test_nothing_is_kept_while_one_version_serves() -> None:
    async with run_stream_rig(ONE) as rig:
        outcome = await run_relation(rig, rejoined.lose_all)
        assert list_kept_objects(rig) == []
    check_shares(outcome)
