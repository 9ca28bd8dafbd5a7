"""Adapters without a place on a leader's engines are loaded by another leader."""

from dataclasses import dataclass, field, replace

from kestreltally.entry.demand import WeightsDemand
from kestreltally.fleet.model import Endpoint, EndpointId, WeightsKey
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import DemandTable
from kestreltally.placing.handover import FORWARD_TIMEOUT, HANDOVER_TIMEOUT, Handover
from tests.entryrig import MODELS

LOCAL = "north"
LED_DATA_CENTRES = {LOCAL}
KEY_1, KEY_2, KEY_3 = (WeightsKey("base", f"a{n}") for n in (1, 2, 3))


@dataclass
class HandoverRig:
    """A leader of ``north`` with waiting requests, and other leaders' capacity."""

    free_capacity: dict[str, int]
    fleet: Fleet = field(default_factory=Fleet)
    demand: DemandTable = field(default_factory=DemandTable)
    expedited: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.handover = Handover(self.fleet, self.demand)
        self.handover.get_free_capacity = lambda: self.free_capacity
        self.handover.can_load_quickly = lambda name: name in self.free_capacity
        self.handover.expedite = self.expedited.append

    def wait(self, key: WeightsKey, data_centre: str = LOCAL, at: float = 0.0) -> None:
        reported = WeightsDemand(MODELS, key, arrivals=1, waiting=1, missed=0)
        self.demand.apply("vm", data_centre, reported, at)

    def forward(self, *keys: WeightsKey, at: float = 0.0) -> int:
        return self.handover.forward(
            [(MODELS, key) for key in keys], LED_DATA_CENTRES, at
        )


def make_engine(*held: WeightsKey) -> Endpoint:
    weights = dict.fromkeys(held, 1)
    return Endpoint(EndpointId("s1"), MODELS, "h", 1, "south", 8, False, weights)


def test_leader_with_most_free_capacity_is_asked_until_full() -> None:
    rig = HandoverRig({"south": 2, "west": 0})
    for key in (KEY_1, KEY_2, KEY_3):
        rig.wait(key)
    assert rig.forward(KEY_1, KEY_2, KEY_3) == 2
    assert rig.handover.list_assigned("south") == [(MODELS, KEY_1), (MODELS, KEY_2)]
    assert rig.handover.is_handed_over((MODELS, KEY_1))
    assert not rig.handover.is_handed_over((MODELS, KEY_3))
    assert rig.expedited == ["south", "south"]


def test_forwarded_adapters_reduce_the_reported_free_capacity() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(KEY_1)
    rig.wait(KEY_2)
    assert rig.forward(KEY_1) == 1
    assert rig.forward(KEY_2) == 0


def test_forwarded_demand_is_not_forwarded_again() -> None:
    rig = HandoverRig({"south": 5})
    rig.wait(KEY_1, data_centre="west")
    assert rig.forward(KEY_1) == 0


def test_forwarded_adapter_returns_after_the_timeout() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(KEY_1)
    rig.forward(KEY_1)
    rig.handover.update_requests(LED_DATA_CENTRES, FORWARD_TIMEOUT / 2)
    assert rig.handover.is_handed_over((MODELS, KEY_1))
    rig.handover.update_requests(LED_DATA_CENTRES, FORWARD_TIMEOUT)
    assert not rig.handover.is_handed_over((MODELS, KEY_1))


def test_loaded_adapter_is_no_longer_handed_over() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(KEY_1)
    rig.forward(KEY_1)
    rig.fleet.put_endpoint(make_engine(KEY_1))
    rig.handover.update_requests(LED_DATA_CENTRES, 0.1)
    assert not rig.handover.is_handed_over((MODELS, KEY_1))


def test_engine_with_a_copy_is_asked_first_for_a_short_time() -> None:
    rig = HandoverRig({"south": 0})
    rig.fleet.put_endpoint(make_engine(KEY_1))
    rig.fleet.put_endpoint(replace(make_engine(), weights={}))
    rig.wait(KEY_1)
    rig.handover.update_requests(LED_DATA_CENTRES, 0.0)
    assert rig.handover.list_assigned("south") == [(MODELS, KEY_1)]
    rig.wait(KEY_1, at=HANDOVER_TIMEOUT)
    rig.handover.update_requests(LED_DATA_CENTRES, HANDOVER_TIMEOUT + 0.01)
    assert not rig.handover.is_handed_over((MODELS, KEY_1))


def test_copy_holder_with_more_free_capacity_is_asked() -> None:
    rig = HandoverRig({"south": 0, "west": 3})
    for name, data_centre in (("s1", "south"), ("w1", "west")):
        engine = replace(
            make_engine(KEY_1), id=EndpointId(name), data_centre=data_centre
        )
        rig.fleet.put_endpoint(engine)
        rig.fleet.put_endpoint(replace(engine, weights={}))
    rig.wait(KEY_1)
    rig.handover.update_requests(LED_DATA_CENTRES, 0.0)
    assert rig.handover.list_assigned("west") == [(MODELS, KEY_1)]


def test_adapter_with_a_local_copy_is_not_handed_over() -> None:
    rig = HandoverRig({"south": 5})
    for name, data_centre in (("s1", "south"), ("n1", LOCAL)):
        engine = replace(
            make_engine(KEY_1), id=EndpointId(name), data_centre=data_centre
        )
        rig.fleet.put_endpoint(engine)
        rig.fleet.put_endpoint(replace(engine, weights={}))
    rig.wait(KEY_1)
    rig.handover.update_requests(LED_DATA_CENTRES, 0.0)
    assert not rig.handover.is_handed_over((MODELS, KEY_1))
