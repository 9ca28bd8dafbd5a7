"""Configuration changes by operators: conflicts, lost responses, outages."""

import asyncio
from random import Random
from typing import Any

import pytest
from result import Err, Ok

from kestreltally.entities.configuration import Adapter
from kestreltally.operators.statements import parse_statements
from kestreltally.operators.writing import ChangeFailure, Writer
from tests.fakes import FakeStore, Faults, Gate, StoreView
from tests.fleet import run_virtual


def make_writers(faults: Faults) -> tuple[FakeStore, Writer, Writer]:
    store = FakeStore(faults, Random(1))
    views = [StoreView(store, name, Gate()) for name in ("a", "b")]
    wall_clock = asyncio.get_running_loop().time
    one, other = (
        Writer(v, n, wall_clock) for v, n in zip(views, ("aida", "bo"), strict=True)
    )
    return store, one, other


async def make(writer: Writer, text: str) -> Any:
    (statement,) = parse_statements(text)
    return await writer.make(statement)  # type: ignore[arg-type]


async def publish_concurrently() -> list[Any]:
    store, one, other = make_writers(Faults())
    await make(one, "create adapter a with model = m")
    return await asyncio.gather(
        make(one, "publish a version 1"), make(other, "publish a version 2")
    )


def test_concurrent_change_conflicts_and_names_the_other_operator() -> None:
    results = run_virtual(publish_concurrently())
    assert [isinstance(result, Ok) for result in results] == [True, False]
    refused = results[1].err_value
    assert refused.failure is ChangeFailure.CONFLICT
    assert "aida changed it to" in refused.message


async def create_with_lost_answer(times: int) -> tuple[Any, FakeStore]:
    faults = Faults()
    store, one, _ = make_writers(faults)
    faults.lose_answers = 1.0
    result = await make(one, "create adapter a with model = m")
    return result, store


def test_a_lost_answer_is_resolved_by_reading() -> None:
    result, store = run_virtual(create_with_lost_answer(1))
    assert isinstance(result, Ok)
    assert result.ok_value.revision == store.revision == 1


async def write_while_down() -> tuple[Any, FakeStore]:
    faults = Faults(store_down=True)
    store, one, _ = make_writers(faults)
    return await make(one, "create adapter a with model = m"), store


def test_outage_changes_nothing_and_is_reported() -> None:
    result, store = run_virtual(write_while_down())
    assert result.err_value.failure is ChangeFailure.UNAVAILABLE
    assert store.objects == {}


INVALID = {
    "create adapter a with modle = m": "did you mean 'model'?",
    "create adapter a": "model",
    "alter adapter b set model = m": "there is no adapter 'b'",
    "publish b version 1": "there is no adapter 'b'",
    "create endpoint e with kind = car, url = http://x, data_centre = d": "kind",
    "create caller c with priority = 7": "priority",
}


@pytest.mark.parametrize("text", INVALID)
def test_invalid_change_is_refused_with_its_reason(text: str) -> None:
    async def run() -> Any:
        _, one, _ = make_writers(Faults())
        return await make(one, text)

    result = run_virtual(run())
    assert isinstance(result, Err)
    assert result.err_value.failure is ChangeFailure.INVALID
    assert str(INVALID[text]) in result.err_value.message


def test_publish_roll_back_and_drop() -> None:
    async def run() -> list[Any]:
        _, one, _ = make_writers(Faults())
        await make(one, "create adapter a with model = m")
        await make(one, "publish a version 1")
        await make(one, "publish a version 2")
        rolled = await make(one, "rollback a")
        dropped = await make(one, "drop adapter a")
        again = await make(one, "create adapter a with model = m")
        return [rolled.ok_value.after, dropped.ok_value.after, again.ok_value.after]

    rolled, dropped, again = run_virtual(run())
    assert rolled == Adapter("a", "m", versions=(1, 2), current=1, previous=2)
    assert dropped is None
    assert again == Adapter("a", "m")
