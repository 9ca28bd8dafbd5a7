"""Loads for streams that may go on at one software version only.

Guards against streams that wait for an adapter which only engines of other versions
hold, and against leaders that all load it, or none.
"""

from dataclasses import replace

import pytest

from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    ServiceName,
    SoftwareVersion,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.bound import (
    TURN_TIME,
    BoundDemand,
    BoundDemandTable,
    BoundRound,
)
from kestreltally.placing.demand import WAITING_TTL
from kestreltally.placing.plans import EngineView
from kestreltally.streams.origins import BoundWeights, StreamOrigin
from tests.leaderrig import MODEL, make_held, make_view

MODELS = ServiceName("models")
KEY = WeightsKey(MODEL, "a1")
AT_V1 = BoundWeights(StreamOrigin(MODELS, SoftwareVersion("v1")), KEY)
NOW = 100.0


def make_engine(
    name: str, software: str, data_centre: str, *held: WeightsKey
) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        service=MODELS,
        host="127.0.0.1",
        port=1,
        data_centre=data_centre,
        slots=8,
        leaving=False,
        weights=dict.fromkeys((WeightsKey(MODEL), *held), 1),
        software=SoftwareVersion(software),
    )


def make_fleet(*endpoints: Endpoint) -> Fleet:
    fleet = Fleet()
    for each in endpoints:
        fleet.put_endpoint(each)
    return fleet


def plan(
    fleet: Fleet, *views: EngineView, led: str = "north", since: float = NOW
) -> list[str]:
    round_ = BoundRound(MODELS, fleet, frozenset({led}), NOW)
    placements = round_.plan([BoundDemand(AT_V1, 1, since)], views)
    assert all(each.key == KEY for each in placements)
    return [str(each.engine) for each in placements]


def test_adapter_is_loaded_on_an_engine_of_the_version_alone() -> None:
    fleet = make_fleet(
        make_engine("e1", "v1", "north"), make_engine("e2", "v2", "north", KEY)
    )
    views = (make_view("e2", "north"), make_view("e1", "north"))
    assert plan(fleet, *views) == ["e1"]


@pytest.mark.parametrize("state", ["held", "loading", "of a version that is gone"])
def test_adapter_is_not_loaded_if_that_is_no_help(state: str) -> None:
    engine = make_engine("e1", "v1", "north")
    if state == "held":
        engine = replace(engine, weights={KEY: 1})
    elif state == "loading":
        engine = replace(engine, loading=frozenset({KEY}))
    else:
        engine = replace(engine, software=SoftwareVersion("v2"))
    assert plan(make_fleet(engine), make_view("e1", "north")) == []


def test_leaders_of_data_centres_with_the_version_take_turns() -> None:
    fleet = make_fleet(
        make_engine("e1", "v1", "north"),
        make_engine("e2", "v1", "south"),
        make_engine("e3", "v2", "west"),
    )
    views = {name: make_view(f"e{n}", name) for n, name in ((1, "north"), (2, "south"))}
    for turn in range(4):
        since = NOW - (turn + 0.5) * TURN_TIME
        planned = [
            plan(fleet, view, led=name, since=since) for name, view in views.items()
        ]
        assert planned == ([["e1"], []] if turn % 2 == 0 else [[], ["e2"]])
    assert plan(fleet, make_view("e3", "west"), led="west") == []


def test_stream_that_waits_longer_evicts_what_is_requested_more_often() -> None:
    fleet = make_fleet(make_engine("e1", "v1", "north"))
    busy = make_view("e1", "north", make_held("b1", 2.0), make_held("b2", 3.0))
    assert plan(fleet, busy) == []
    assert plan(fleet, busy, since=NOW - 2 * TURN_TIME) == ["e1"]
    in_use = make_view(
        "e1", "north", *(make_held(name, 0.1, in_use=True) for name in ("b1", "b2"))
    )
    assert plan(fleet, in_use, since=NOW - 2 * TURN_TIME) == []


def test_reports_of_daemons_add_up_until_they_expire() -> None:
    table = BoundDemandTable()
    assert table.apply("vm-1", {AT_V1: 2}, NOW)
    assert not table.apply("vm-2", {AT_V1: 1}, NOW + 0.1)
    assert table.list_current(NOW + 0.1) == [BoundDemand(AT_V1, 3, NOW)]
    table.apply("vm-1", {}, NOW + 0.2)
    assert table.list_current(NOW + 0.2) == [BoundDemand(AT_V1, 1, NOW)]
    assert table.list_current(NOW + 0.2 + WAITING_TTL) == []
    assert table.apply("vm-2", {AT_V1: 1}, NOW + 5.0)
    assert table.list_current(NOW + 5.0) == [BoundDemand(AT_V1, 1, NOW + 5.0)]
