"""What has no place on a leader's engines is brought by another leader."""

from dataclasses import dataclass, field, replace

from kestreltally.entry.demand import WeightsDemand
from kestreltally.fleet.model import Endpoint, EndpointId, WeightsKey
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import DemandTable
from kestreltally.placing.handover import HAND_FOR, PASS_FOR, Handover
from tests.entryrig import MODELS

OWN = "north"
LED = {OWN}
FIRST, SECOND, THIRD = (WeightsKey("base", f"a{n}") for n in (1, 2, 3))


@dataclass
class HandoverRig:
    """A leader of the north with requests that wait, and other leaders' rooms."""

    rooms: dict[str, int]
    fleet: Fleet = field(default_factory=Fleet)
    demand: DemandTable = field(default_factory=DemandTable)
    hurried: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.handover = Handover(self.fleet, self.demand)
        self.handover.get_free_capacity = lambda: self.rooms
        self.handover.can_hand_over = lambda name: name in self.rooms
        self.handover.expedite = self.hurried.append

    def wait(self, key: WeightsKey, data_centre: str = OWN, at: float = 0.0) -> None:
        told = WeightsDemand(MODELS, key, arrivals=1, waiting=1, missed=0)
        self.demand.pop_demand("vm", data_centre, told, at)

    def pass_on(self, *keys: WeightsKey, at: float = 0.0) -> int:
        return self.handover.pass_on([(MODELS, key) for key in keys], LED, at)


def make_engine(*held: WeightsKey) -> Endpoint:
    weights = dict.fromkeys(held, 1)
    return Endpoint(EndpointId("s1"), MODELS, "h", 1, "south", 8, False, weights)


def test_the_leader_with_most_room_is_asked_until_no_room_is_left() -> None:
    rig = HandoverRig({"south": 2, "west": 0})
    for key in (FIRST, SECOND, THIRD):
        rig.wait(key)
    assert rig.pass_on(FIRST, SECOND, THIRD) == 2
    assert rig.handover.list_for("south") == [(MODELS, FIRST), (MODELS, SECOND)]
    assert rig.handover.is_handed((MODELS, FIRST))
    assert not rig.handover.is_handed((MODELS, THIRD))
    assert rig.hurried == ["south", "south"]


def test_what_was_passed_on_counts_against_the_room_told_before() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(FIRST)
    rig.wait(SECOND)
    assert rig.pass_on(FIRST) == 1
    assert rig.pass_on(SECOND) == 0


def test_what_another_leader_passed_on_goes_no_further() -> None:
    rig = HandoverRig({"south": 5})
    rig.wait(FIRST, data_centre="west")
    assert rig.pass_on(FIRST) == 0


def test_what_is_not_brought_in_time_is_looked_after_here_again() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(FIRST)
    rig.pass_on(FIRST)
    rig.handover.renew(LED, PASS_FOR / 2)
    assert rig.handover.is_handed((MODELS, FIRST))
    rig.handover.renew(LED, PASS_FOR)
    assert not rig.handover.is_handed((MODELS, FIRST))


def test_what_has_come_is_asked_for_no_more() -> None:
    rig = HandoverRig({"south": 1})
    rig.wait(FIRST)
    rig.pass_on(FIRST)
    rig.fleet.put_endpoint(make_engine(FIRST))
    rig.handover.renew(LED, 0.1)
    assert not rig.handover.is_handed((MODELS, FIRST))


def test_the_engine_that_had_it_lately_is_asked_first_for_a_moment() -> None:
    rig = HandoverRig({"south": 0})
    rig.fleet.put_endpoint(make_engine(FIRST))
    rig.fleet.put_endpoint(replace(make_engine(), weights={}))
    rig.wait(FIRST)
    rig.handover.renew(LED, 0.0)
    assert rig.handover.list_for("south") == [(MODELS, FIRST)]
    rig.wait(FIRST, at=HAND_FOR)
    rig.handover.renew(LED, HAND_FOR + 0.01)
    assert not rig.handover.is_handed((MODELS, FIRST))


def test_of_two_engines_that_keep_a_copy_the_one_with_room_is_asked() -> None:
    rig = HandoverRig({"south": 0, "west": 3})
    for name, where in (("s1", "south"), ("w1", "west")):
        engine = replace(make_engine(FIRST), id=EndpointId(name), data_centre=where)
        rig.fleet.put_endpoint(engine)
        rig.fleet.put_endpoint(replace(engine, weights={}))
    rig.wait(FIRST)
    rig.handover.renew(LED, 0.0)
    assert rig.handover.list_for("west") == [(MODELS, FIRST)]


def test_what_an_own_engine_keeps_a_copy_of_is_asked_of_nobody() -> None:
    rig = HandoverRig({"south": 5})
    for name, where in (("s1", "south"), ("n1", OWN)):
        engine = replace(make_engine(FIRST), id=EndpointId(name), data_centre=where)
        rig.fleet.put_endpoint(engine)
        rig.fleet.put_endpoint(replace(engine, weights={}))
    rig.wait(FIRST)
    rig.handover.renew(LED, 0.0)
    assert not rig.handover.is_handed((MODELS, FIRST))
